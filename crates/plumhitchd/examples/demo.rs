//! Shows plumhitch at work with real processes on loopback, for both users:
//! bookings and page views, a resent booking, a limit met, a data centre out
//! and back. Says what it shows; ends with an error when a step fails.
//!
//! The binaries must have been built: see the README.

use reqwest::header::HeaderMap;
use serde_json::Value;
use std::collections::BTreeMap;
use std::error::Error;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Longest wait for something to come true.
const LIMIT: Duration = Duration::from_secs(20);
/// Requests that use up a small plan.
const SMALL_PLAN: usize = 300;
/// The operators' token.
const TOKEN: &str = "demo";
/// Time after which a data centre that is out receives no new work.
const OUT_AFTER: Duration = Duration::from_secs(5);

/// What differs between the users.
struct User {
    name: &'static str,
    /// Folder of sample settings and lists.
    samples: &'static str,
    /// Service that the demo calls.
    service: &'static str,
    /// Class that may not run twice, and one that may.
    once: &'static str,
    often: &'static str,
    customer: &'static str,
    /// Customer with a small plan.
    small: &'static str,
    /// Data centre that is taken out.
    out: &'static str,
}

const USERS: [User; 2] = [
    User {
        name: "Stichting Baanvrij",
        samples: "baanvrij",
        service: "booking",
        once: "reservation",
        often: "free-courts",
        customer: "court-status",
        small: "tc-ameland",
        out: "zwolle",
    },
    User {
        name: "Te Matakitaki",
        samples: "te-matakitaki",
        service: "panel",
        once: "payment",
        often: "ratings",
        customer: "panel-meters",
        small: "broadcaster-new",
        out: "hamilton",
    },
];

/// A process that the demo started; it is ended with the demo.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A daemon and the upstream beside it.
struct Vm {
    name: String,
    data_centre: String,
    callers: SocketAddr,
    operators: SocketAddr,
    upstream: SocketAddr,
    settings: PathBuf,
}

impl Vm {
    /// Returns the service that runs there: the first part of the name.
    fn service(&self) -> &str {
        self.name.split('-').next().unwrap_or_default()
    }
}

struct Demo {
    user: &'static User,
    samples: PathBuf,
    binaries: PathBuf,
    folder: TempDir,
    client: reqwest::Client,
    vms: Vec<Vm>,
    processes: Vec<Process>,
}

/// Returns a free loopback address, below the range from which the system
/// takes ports for outgoing connections.
fn free_address(next: &mut u16) -> SocketAddr {
    loop {
        *next += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], *next));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Copies the sample settings to a folder, with loopback addresses and paths
/// in that folder.
fn copy_settings(samples: &Path, folder: &Path) -> Result<Vec<Vm>> {
    let mut port = rand::random_range(12_000..30_000);
    let mut vms = Vec::new();
    let mut texts = Vec::new();
    let mut addresses = Vec::new();
    for entry in fs::read_dir(samples)? {
        let path = entry?.path();
        let Ok(cfg) = conf::Settings::load(&path) else {
            continue; // One of the two lists.
        };
        let vm = Vm {
            name: cfg.daemon.name.to_string(),
            data_centre: cfg.daemon.data_centre.to_string(),
            callers: free_address(&mut port),
            operators: free_address(&mut port),
            upstream: free_address(&mut port),
            settings: folder.join(format!("{}.ini", cfg.daemon.name)),
        };
        let (Some(callers), Some(upstream)) = (cfg.listen.callers, &cfg.upstream) else {
            continue;
        };
        addresses.push((callers, vm.callers));
        addresses.push((cfg.listen.operators, vm.operators));
        addresses.push((cfg.listen.peers, free_address(&mut port)));
        let text = fs::read_to_string(&path)?
            .replace(&upstream.address.to_string(), &vm.upstream.to_string())
            .replace(
                "/var/lib/plumhitch",
                &format!("{}/{}", folder.display(), vm.name),
            )
            .replace("/etc/plumhitch", &folder.display().to_string());
        texts.push(text);
        vms.push(vm);
    }
    for (vm, mut text) in vms.iter().zip(texts) {
        for (old, new) in &addresses {
            text = text.replace(&old.to_string(), &new.to_string());
        }
        fs::write(&vm.settings, text)?;
    }
    vms.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(vms)
}

impl Demo {
    fn new(user: &'static User, binaries: &Path) -> Result<Self> {
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
        let samples = samples.join(user.samples);
        let folder = TempDir::new()?;
        fs::write(folder.path().join("token"), TOKEN)?;
        Ok(Self {
            user,
            vms: copy_settings(&samples, folder.path())?,
            samples,
            binaries: binaries.to_owned(),
            folder,
            client: reqwest::Client::builder().no_proxy().build()?,
            processes: Vec::new(),
        })
    }

    /// Starts the daemons, and an upstream beside each.
    fn start(&mut self) -> Result<()> {
        for vm in &self.vms {
            let log = File::create(self.folder.path().join(format!("{}.log", vm.name)))?;
            let daemon = Command::new(self.binaries.join("plumhitchd"))
                .arg("--settings")
                .arg(&vm.settings)
                .stdin(Stdio::null())
                .stderr(log)
                .spawn()?;
            self.processes.push(Process(daemon));
            let upstream = Command::new(self.binaries.join("examples/upstream"))
                .args(["--listen", &vm.upstream.to_string()])
                .args(["--daemon", &vm.operators.to_string()])
                .args(["--service", vm.service()])
                .args(["--service-us", "5000", "--lag-ms", "200"])
                .stdin(Stdio::null())
                .spawn()?;
            self.processes.push(Process(upstream));
        }
        Ok(())
    }

    /// Runs `plumhitch`, as an operator would.
    fn operate(&self, daemons: &[Vm], args: &[&str]) -> Result<()> {
        let mut command = Command::new(self.binaries.join("plumhitch"));
        for vm in daemons {
            command.args(["--daemon", &vm.operators.to_string()]);
        }
        command
            .arg("--token-file")
            .arg(self.folder.path().join("token"));
        println!("  $ plumhitch {}", args.join(" "));
        match command.args(args).status()? {
            status if status.success() => Ok(()),
            status => Err(format!("plumhitch {}: {status}", args.join(" ")).into()),
        }
    }

    /// Sends one request to a daemon; returns status and headers.
    async fn call(
        &self,
        vm: usize,
        customer: &str,
        class: &str,
        key: Option<&str>,
    ) -> Result<(u16, HeaderMap)> {
        let url = format!("http://{}/", self.vms[vm % self.vms.len()].callers);
        let mut req = self
            .client
            .post(url)
            .header("plumhitch-customer", customer)
            .header("plumhitch-service", self.user.service)
            .header("plumhitch-class", class);
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let res = req.send().await?;
        Ok((res.status().as_u16(), res.headers().clone()))
    }

    async fn until(&self, what: &str, condition: impl AsyncFn() -> bool) -> Result<()> {
        let begun = Instant::now();
        while !condition().await {
            if begun.elapsed() > LIMIT {
                return Err(format!("did not happen within {LIMIT:?}: {what}").into());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Ok(())
    }

    /// Sends requests through every daemon in turn; returns the statuses.
    async fn traffic(&self, class: &str, count: usize) -> Result<BTreeMap<u16, usize>> {
        let mut statuses = BTreeMap::new();
        for i in 0..count {
            let key = format!("{class}-{i}-{:x}", rand::random::<u64>());
            let (status, _) = self.call(i, self.user.customer, class, Some(&key)).await?;
            *statuses.entry(status).or_default() += 1;
        }
        Ok(statuses)
    }

    async fn get(&self, vm: &Vm, path: &str) -> Result<Value> {
        let url = format!("http://{}{path}", vm.upstream);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Returns how many requests the upstreams of a data centre have started.
    async fn started(&self, data_centre: &str) -> Result<u64> {
        let mut sum = 0;
        for vm in self.vms.iter().filter(|vm| vm.data_centre == data_centre) {
            sum += self.get(vm, "/counts").await?["started"]
                .as_u64()
                .unwrap_or(0);
        }
        Ok(sum)
    }

    /// Returns how often the upstreams ran a key.
    async fn runs(&self, key: &str) -> Result<u64> {
        let mut sum = 0;
        for vm in &self.vms {
            sum += self.get(vm, "/runs").await?[key].as_u64().unwrap_or(0);
        }
        Ok(sum)
    }

    async fn begin(&self) -> Result<()> {
        let first = self
            .vms
            .iter()
            .position(|vm| vm.service() == self.user.service);
        let first = &self.vms[first.unwrap_or(0)..][..1];
        self.until("the first daemon listens", async || {
            let health = format!("http://{}/v1/health", first[0].operators);
            self.client.get(health).send().await.is_ok()
        })
        .await?;
        self.operate(first, &["initialise"])?;
        let list = |name: &str| self.samples.join(name).display().to_string();
        let (customers, plans) = (list("customers.ini"), list("plans.ini"));
        let apply = ["apply", "--customers", &customers, "--plans", &plans];
        self.operate(&self.vms, &apply)?;
        for vm in 0..self.vms.len() {
            self.until("every daemon serves", async || {
                let sent = self
                    .call(vm, self.user.customer, self.user.often, None)
                    .await;
                sent.is_ok_and(|(status, _)| status == 200)
            })
            .await?;
        }
        Ok(())
    }

    async fn show_all(&self) -> Result<()> {
        self.begin().await?;
        println!("\nRequests through every daemon:");
        self.show_traffic().await?;
        println!("\nA request of class {} is resent:", self.user.once);
        self.show_once().await?;
        println!("\nCustomer {} uses up its plan:", self.user.small);
        self.show_limit().await?;
        let out = self.user.out;
        println!("\nData centre {out} goes out and comes back:");
        self.show_out_and_back().await
    }

    async fn show_traffic(&self) -> Result<()> {
        for class in [self.user.often, self.user.once] {
            let statuses = self.traffic(class, 50).await?;
            println!("  50 requests of class {class}: by status {statuses:?}");
            check(statuses.get(&200) == Some(&50), "every request is answered")?;
        }
        Ok(())
    }

    async fn show_once(&self) -> Result<()> {
        let key = format!("demo-{:x}", rand::random::<u64>());
        let (customer, class) = (self.user.customer, self.user.once);
        let (first, _) = self.call(0, customer, class, Some(&key)).await?;
        let (again, headers) = self.call(3, customer, class, Some(&key)).await?;
        let reason = headers.get("plumhitch-reason");
        println!("  sent: {first}; sent again through another daemon: {again} {reason:?}");
        check(
            first == 200 && again == 409,
            "the resend is told that it already ran",
        )?;
        let runs = self.runs(&key).await?;
        println!("  runs of that key at all upstreams: {runs}");
        check(runs == 1, "it ran once")
    }

    async fn show_limit(&self) -> Result<()> {
        let mut limited = 0;
        let mut retry_after = None;
        for i in 0..SMALL_PLAN {
            let (status, headers) = self.call(i, self.user.small, self.user.often, None).await?;
            if status == 429 {
                limited += 1;
                retry_after = headers.get("retry-after").cloned().or(retry_after);
            }
        }
        println!("  {SMALL_PLAN} requests one after the other: {limited} of them got 429,");
        println!("  with Retry-After {retry_after:?}");
        check(
            limited > 0 && retry_after.is_some(),
            "the limit is met and says when to return",
        )
    }

    async fn show_out_and_back(&self) -> Result<()> {
        let data_centre = self.user.out;
        self.operate(&self.vms, &["data-centre", "out", data_centre])?;
        tokio::time::sleep(OUT_AFTER).await;
        let before = self.started(data_centre).await?;
        let statuses = self.traffic(self.user.often, 100).await?;
        let during = self.started(data_centre).await? - before;
        println!("  100 requests by status {statuses:?}; {during} of them in {data_centre}");
        check(during == 0, "the data centre receives no new work")?;
        check(
            statuses.get(&200) == Some(&100),
            "every request is answered meanwhile",
        )?;
        self.operate(&self.vms, &["data-centre", "return", data_centre])?;
        self.until("the data centre gets work again", async || {
            let sent = self.traffic(self.user.often, 20).await;
            sent.is_ok()
                && self
                    .started(data_centre)
                    .await
                    .is_ok_and(|now| now > before)
        })
        .await?;
        println!("  {data_centre} gets work again");
        self.operate(&self.vms, &["status"])
    }
}

fn check(holds: bool, what: &str) -> Result<()> {
    println!("  {}: {what}", if holds { "ok" } else { "FAILED" });
    match holds {
        true => Ok(()),
        false => Err(format!("failed: {what}").into()),
    }
}

async fn show(user: &'static User, binaries: &Path) -> Result<()> {
    println!("\n{}: its sample settings, on loopback", user.name);
    let mut demo = Demo::new(user, binaries)?;
    for vm in &demo.vms {
        println!("  daemon {} in {}", vm.name, vm.data_centre);
    }
    demo.start()?;
    let shown = demo.show_all().await;
    if shown.is_err() {
        let folder = demo.folder.keep();
        eprintln!("logs and settings are kept in {}", folder.display());
    }
    shown
}
#[tokio::main]
async fn main() -> Result<()> {
    let own = std::env::current_exe()?;
    let binaries = own
        .parent()
        .and_then(Path::parent)
        .ok_or("no target folder")?;
    for name in ["plumhitchd", "plumhitch", "examples/upstream"] {
        if !binaries.join(name).exists() {
            let build = "cargo build --release --workspace --bins --examples";
            return Err(format!("{name} is not built; run: {build}").into());
        }
    }
    for user in &USERS {
        show(user, binaries).await?;
    }
    println!("\nEverything shown held.");
    Ok(())
}
