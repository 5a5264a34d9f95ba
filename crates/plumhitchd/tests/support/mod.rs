//! Real daemons on loopback, and a fake upstream.
#![allow(dead_code, unreachable_pub, missing_docs)]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod upstream;

use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Timeout of every wait.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a free loopback address that no other process uses: each test process
/// has its own IP address in 127.0.0.0/8.
///
/// Probes the address by connecting instead of listening. A process that another
/// thread forks at that moment would inherit the listener until it calls `exec`,
/// and the daemon that gets the address would find it in use.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(10_000);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    loop {
        let port = NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, a + 1, b, c], port));
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
}

/// A running daemon, which is killed when dropped.
pub struct Daemon {
    pub child: Child,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub folder: TempDir,
}

/// Options of a daemon to start.
pub struct Options<'a> {
    pub name: &'a str,
    pub upstream: SocketAddr,
    pub peers: SocketAddr,
    /// Peer addresses of the control replicas.
    pub replicas: &'a [SocketAddr],
    /// Additional lines of the settings file.
    pub settings: &'a str,
}

impl Daemon {
    pub fn start(options: Options<'_>) -> Self {
        Self::start_with_log(options, Stdio::inherit())
    }

    /// Starts a daemon whose standard error goes to `log`.
    pub fn start_with_log(options: Options<'_>, log: Stdio) -> Self {
        let (callers, operators, peers) = (free_address(), free_address(), options.peers);
        let folder = TempDir::new().unwrap();
        let data = match options.replicas.contains(&peers) {
            true => format!("data = {}\n", folder.path().join("data").display()),
            false => String::new(),
        };
        let replicas: Vec<String> = options.replicas.iter().map(ToString::to_string).collect();
        let text = format!(
            "[daemon]\nname = {}\ndata-centre = ams\n\n\
             [listen]\ncallers = {callers}\noperators = {operators}\npeers = {peers}\n\n\
             [upstream]\naddress = {}\ncancel-path = /cancel\n\n\
             [control]\nreplicas = {}\n{data}\n{}",
            options.name,
            options.upstream,
            replicas.join(", "),
            options.settings
        );
        std::fs::write(folder.path().join("plumhitchd.ini"), text).unwrap();
        let child = spawn(&folder.path().join("plumhitchd.ini"), log);
        Self {
            child,
            callers,
            operators,
            peers,
            folder,
        }
    }

    /// Starts a killed daemon again with the same settings and data folder.
    pub fn restart(&mut self) {
        let settings = self.folder.path().join("plumhitchd.ini");
        self.child = spawn(&settings, Stdio::inherit());
    }

    /// Kills the daemon with `SIGKILL`.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.unwrap().success());
    }
}

fn spawn(settings: &Path, log: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_plumhitchd"))
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap()
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Customers and plans with limits that the tests do not reach.
const CUSTOMERS: &str = "[customers]\ntc-utrecht = club\n";
const PLANS: &str = "[plan club]\nrate = 5000\nburst = 5000\nin-flight = 500\n\n\
                     [class page]\nweight = 10\nidempotent = yes\ndeadline = 30 s\n\n\
                     [class reservation]\nweight = 100\nidempotent = no\ndeadline = 5 s\n";

/// Posts to the operators' API of a daemon until the request succeeds.
pub async fn post(client: &reqwest::Client, daemon: &Daemon, path: &str, body: &Value) {
    let url = format!("http://{}{path}", daemon.operators);
    wait_until(path, async || {
        let sent = client.post(&url).json(body).send().await;
        sent.is_ok_and(|res| res.status().is_success())
    })
    .await;
}

/// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "not reached within {WAIT_TIMEOUT:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Creates the control cluster with a daemon's replica and applies the lists of
/// customers and plans.
pub async fn bootstrap_cluster(client: &reqwest::Client, daemon: &Daemon) {
    post(client, daemon, "/v1/initialise", &json!({})).await;
    let lists = json!({
        "change": "first",
        "base": 1,
        "author": "test",
        "operation": {"kind": "lists", "customers": CUSTOMERS, "plans": PLANS},
    });
    post(client, daemon, "/v1/changes", &lists).await;
}

/// Announces the upstream beside a daemon.
pub async fn announce(client: &reqwest::Client, daemon: &Daemon, boot: &str) {
    let body = json!({"service": "booking", "slots": 6, "boot": boot});
    post(client, daemon, "/v1/announce", &body).await;
}

/// Builds a request from the customer of the tests.
pub fn request(
    client: &reqwest::Client,
    method: &str,
    daemon: &Daemon,
    path: &str,
) -> reqwest::RequestBuilder {
    let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap();
    client
        .request(method, format!("http://{}{path}", daemon.callers))
        .header("plumhitch-customer", "tc-utrecht")
        .header("plumhitch-service", "booking")
        .header("plumhitch-class", "page")
}

/// An entry with the control replica, and a gate with an upstream.
pub struct Pair {
    pub entry: Daemon,
    pub gate: Daemon,
    pub client: reqwest::Client,
    pub upstream_stats: Arc<upstream::Stats>,
}

impl Pair {
    /// Starts the daemons and waits until they serve requests.
    pub async fn start(entry_settings: &str, gate_settings: &str) -> Self {
        let started = upstream::start().await;
        Self::start_with_upstream(started, entry_settings, gate_settings).await
    }

    /// Does the same, with this upstream beside the gate.
    pub async fn start_with_upstream(
        (address, upstream_stats): (SocketAddr, Arc<upstream::Stats>),
        entry_settings: &str,
        gate_settings: &str,
    ) -> Self {
        let control = free_address();
        let entry = Daemon::start(Options {
            name: "entry-1",
            upstream: free_address(),
            peers: control,
            replicas: &[control],
            settings: entry_settings,
        });
        let gate = Daemon::start(Options {
            name: "booking-1",
            upstream: address,
            peers: free_address(),
            replicas: &[control],
            settings: gate_settings,
        });
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let pair = Self {
            entry,
            gate,
            client,
            upstream_stats,
        };
        pair.prepare().await;
        pair
    }

    async fn prepare(&self) {
        bootstrap_cluster(&self.client, &self.entry).await;
        announce(&self.client, &self.gate, "b1").await;
        wait_until("requests are served", async || {
            let sent = self.request("GET", "/ready").send().await;
            sent.is_ok_and(|res| res.status().is_success())
        })
        .await;
    }

    /// Builds a request to the entry.
    pub fn request(&self, method: &str, path: &str) -> reqwest::RequestBuilder {
        request(&self.client, method, &self.entry, path)
    }
}
