//! Measures the latency that two daemons add to a call on loopback: in one run,
//! the same load goes through an entry and a gate and directly to the same
//! upstream. Fails if the added latency exceeds the target.
//!
//! The binaries must be built beforehand, as the README describes.

use argh::FromArgs;
use serde_json::json;
use std::error::Error;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Maximum 99th percentile of the latency added by two daemons, in milliseconds.
const TARGET_P99_MS: f64 = 0.98;
/// Maximum wait until the daemons serve requests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Measures the latency that two daemons add to a call.
#[derive(FromArgs)]
struct Options {
    /// requests per second on each path
    #[argh(option, default = "500")]
    rate: u32,
    /// duration of the measurement, in seconds
    #[argh(option, default = "10")]
    seconds: u32,
    /// connections on each path
    #[argh(option, default = "16")]
    connections: u32,
    /// size of a request body, in bytes
    #[argh(option, default = "0")]
    bytes: u32,
}

/// A child process, which is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a free loopback address with a port below the kernel's range of
/// ephemeral ports.
fn free_address(next: &mut u16) -> SocketAddr {
    loop {
        *next += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], *next));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) -> Result<()> {
    let start = Instant::now();
    while !condition().await {
        if start.elapsed() > WAIT_TIMEOUT {
            return Err(format!("not reached within {WAIT_TIMEOUT:?}: {what}").into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Posts until the request succeeds.
async fn post(client: &reqwest::Client, url: String, body: serde_json::Value) -> Result<()> {
    wait_until(&url, async || {
        let sent = client.post(&url).json(&body).send().await;
        sent.is_ok_and(|res| res.status().is_success())
    })
    .await
}

/// Returns the value of a column for a flow in the load generator's CSV report.
fn column(csv: &str, flow: &str, name: &str) -> Result<f64> {
    let mut lines = csv.lines().map(|line| line.split(','));
    let index = lines
        .next()
        .and_then(|mut head| head.position(|cell| cell == name));
    let mut row = lines
        .find(|row| row.clone().next() == Some(flow))
        .ok_or("the load report has no such flow")?;
    Ok(row
        .nth(index.ok_or("the load report has no such column")?)
        .ok_or("the load report has an incomplete row")?
        .parse()?)
}

/// Listen addresses of all processes.
struct Addresses {
    callers: SocketAddr,
    operators: SocketAddr,
    control: SocketAddr,
    gate_operators: SocketAddr,
    upstream: SocketAddr,
}

/// Starts an entry with the control replica, a gate and its upstream.
fn start(
    binaries: &Path,
    folder: &Path,
    addresses: &Addresses,
    port: &mut u16,
) -> Result<Vec<Process>> {
    let unused = free_address(port);
    let (gate_callers, gate_peers) = (free_address(port), free_address(port));
    let daemons = [
        (
            "entry",
            addresses.callers,
            addresses.operators,
            addresses.control,
            unused,
        ),
        (
            "gate",
            gate_callers,
            addresses.gate_operators,
            gate_peers,
            addresses.upstream,
        ),
    ];
    let mut processes = Vec::new();
    for (name, callers, operators, peers, upstream) in daemons {
        let data = match name {
            "entry" => format!("data = {}\n", folder.join("data").display()),
            _ => String::new(),
        };
        let settings = format!(
            "[daemon]\nname = {name}\ndata-centre = here\n\n[listen]\ncallers = {callers}\n\
             operators = {operators}\npeers = {peers}\n\n[upstream]\naddress = {upstream}\n\n\
             [gate]\ncold-slots = 64\n\n[log]\nsample = 0.01\n\n\
             [control]\nreplicas = {}\n{data}",
            addresses.control
        );
        let path = folder.join(format!("{name}.ini"));
        fs::write(&path, settings)?;
        let mut daemon = Command::new(binaries.join("plumhitchd"));
        daemon.arg("--settings").arg(path).stderr(Stdio::null());
        processes.push(Process(daemon.spawn()?));
    }
    let mut upstream = Command::new(binaries.join("examples/upstream"));
    upstream.args(["--listen", &addresses.upstream.to_string(), "--slots", "64"]);
    upstream.args(["--daemon", &addresses.gate_operators.to_string()]);
    processes.push(Process(upstream.spawn()?));
    Ok(processes)
}

/// Creates the control cluster with the entry's replica, applies the lists and
/// waits until requests are served.
async fn prepare(addresses: &Addresses) -> Result<()> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let operators = addresses.operators;
    post(
        &client,
        format!("http://{operators}/v1/initialise"),
        json!({}),
    )
    .await?;
    let lists = json!({
        "change": "first", "base": 1, "author": "added_latency",
        "operation": {
            "kind": "lists",
            "customers": "[customers]\nmeasured = large\n",
            "plans": "[plan large]\nrate = 100000\nburst = 100000\nin-flight = 10000\n\n\
                      [class page]\nweight = 10\nidempotent = yes\ndeadline = 5 s\n",
        },
    });
    post(&client, format!("http://{operators}/v1/changes"), lists).await?;
    wait_until("requests are served", async || {
        let req = client.get(format!("http://{}/", addresses.callers));
        let req = req.header("plumhitch-customer", "measured");
        let req = req.header("plumhitch-service", "booking");
        let sent = req.header("plumhitch-class", "page").send().await;
        sent.is_ok_and(|res| res.status().is_success())
    })
    .await
}

/// Runs the load generator; returns its report as CSV.
fn measure(
    binaries: &Path,
    folder: &Path,
    addresses: &Addresses,
    options: &Options,
) -> Result<String> {
    let csv = folder.join("results.csv");
    let flow = format!(
        "service=booking customer=measured class=page method=POST rate={} bytes={}",
        options.rate, options.bytes
    );
    let status = Command::new(binaries.join("examples/load"))
        .args([
            "--daemon",
            &addresses.callers.to_string(),
            "--direct",
            &addresses.upstream.to_string(),
        ])
        .args(["--flow", &flow, "--seconds", &options.seconds.to_string()])
        .args(["--connections", &options.connections.to_string()])
        .arg("--csv")
        .arg(&csv)
        .status()?;
    match status.success() {
        true => Ok(fs::read_to_string(csv)?),
        false => Err("the load generator failed".into()),
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let exe = std::env::current_exe()?;
    let binaries = exe
        .parent()
        .and_then(Path::parent)
        .ok_or("the executable is not in a target folder")?;
    let folder = TempDir::new()?;
    let mut port = rand::random_range(12_000..30_000);
    let addresses = Addresses {
        callers: free_address(&mut port),
        operators: free_address(&mut port),
        control: free_address(&mut port),
        gate_operators: free_address(&mut port),
        upstream: free_address(&mut port),
    };
    let _processes = start(binaries, folder.path(), &addresses, &mut port)?;
    prepare(&addresses).await?;
    let csv = measure(binaries, folder.path(), &addresses, &options)?;
    let added = |name| -> Result<f64> {
        Ok(column(&csv, "measured/page", name)? - column(&csv, "direct", name)?)
    };
    let (p50, p99) = (added("p50_ms")?, added("p99_ms")?);
    println!("added: p50 {p50:.3} ms, p99 {p99:.3} ms; target for p99 {TARGET_P99_MS} ms");
    match p99 <= TARGET_P99_MS {
        true => Ok(()),
        false => Err("the added latency exceeds the target".into()),
    }
}
