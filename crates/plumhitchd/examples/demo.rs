//! Demonstrates plumhitch with real processes on loopback, for both sample
//! deployments: requests of two classes, a retry with the same idempotency key,
//! an exceeded rate limit, and a data centre taken out and returned. Prints each
//! step and fails if one does.
//!
//! The binaries must be built beforehand, as the README describes.

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

/// Maximum wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of requests that exceeds the limits of a small plan.
const SMALL_PLAN_REQUESTS: usize = 300;
/// Bearer token of the operators.
const TOKEN: &str = "demo";
/// Time until a data centre that was taken out receives no new requests.
const OUT_DELAY: Duration = Duration::from_secs(5);

/// Parameters of a sample deployment.
struct Deployment {
    name: &'static str,
    /// Folder with its sample settings and lists.
    samples: &'static str,
    /// Service that is called.
    service: &'static str,
    /// Request class that is not idempotent.
    non_idempotent: &'static str,
    /// Request class that is idempotent.
    idempotent: &'static str,
    customer: &'static str,
    /// Customer with a small plan.
    small_customer: &'static str,
    /// Data centre that is taken out.
    data_centre_out: &'static str,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Stichting Baanvrij",
        samples: "baanvrij",
        service: "booking",
        non_idempotent: "reservation",
        idempotent: "free-courts",
        customer: "court-status",
        small_customer: "tc-ameland",
        data_centre_out: "zwolle",
    },
    Deployment {
        name: "Te Matakitaki",
        samples: "te-matakitaki",
        service: "panel",
        non_idempotent: "payment",
        idempotent: "ratings",
        customer: "panel-meters",
        small_customer: "broadcaster-new",
        data_centre_out: "hamilton",
    },
];

/// A child process, which is killed when dropped.
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
    /// Returns the service of the upstream: the first part of the VM's name.
    fn service(&self) -> &str {
        self.name.split('-').next().unwrap_or_default()
    }
}

struct Demo {
    deployment: &'static Deployment,
    samples: PathBuf,
    binaries: PathBuf,
    folder: TempDir,
    client: reqwest::Client,
    vms: Vec<Vm>,
    processes: Vec<Process>,
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

/// Copies the sample settings to a folder, replacing addresses by loopback
/// addresses and paths by paths in that folder.
fn copy_settings(samples: &Path, folder: &Path) -> Result<Vec<Vm>> {
    let mut port = rand::random_range(12_000..30_000);
    let mut vms = Vec::new();
    let mut texts = Vec::new();
    let mut addresses = Vec::new();
    for entry in fs::read_dir(samples)? {
        let path = entry?.path();
        let Ok(cfg) = conf::Settings::load(&path) else {
            continue; // The file is one of the two lists, not settings.
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
    fn new(deployment: &'static Deployment, binaries: &Path) -> Result<Self> {
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
        let samples = samples.join(deployment.samples);
        let folder = TempDir::new()?;
        fs::write(folder.path().join("token"), TOKEN)?;
        Ok(Self {
            deployment,
            vms: copy_settings(&samples, folder.path())?,
            samples,
            binaries: binaries.to_owned(),
            folder,
            client: reqwest::Client::builder().no_proxy().build()?,
            processes: Vec::new(),
        })
    }

    /// Starts the daemons and an upstream for each.
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

    /// Runs the operators' command `plumhitch`.
    fn run_plumhitch(&self, daemons: &[Vm], args: &[&str]) -> Result<()> {
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

    /// Sends one request to a daemon; returns the status and headers.
    async fn send_request(
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
            .header("plumhitch-service", self.deployment.service)
            .header("plumhitch-class", class);
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let res = req.send().await?;
        Ok((res.status().as_u16(), res.headers().clone()))
    }

    async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) -> Result<()> {
        let start = Instant::now();
        while !condition().await {
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(format!("not reached within {WAIT_TIMEOUT:?}: {what}").into());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Ok(())
    }

    /// Sends requests through all daemons in turn; returns the count by status.
    async fn send_requests(&self, class: &str, count: usize) -> Result<BTreeMap<u16, usize>> {
        let mut statuses = BTreeMap::new();
        for i in 0..count {
            let key = format!("{class}-{i}-{:x}", rand::random::<u64>());
            let (status, _) = self
                .send_request(i, self.deployment.customer, class, Some(&key))
                .await?;
            *statuses.entry(status).or_default() += 1;
        }
        Ok(statuses)
    }

    async fn get(&self, vm: &Vm, path: &str) -> Result<Value> {
        let url = format!("http://{}{path}", vm.upstream);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Returns the number of requests started by the upstreams of a data centre.
    async fn started_requests(&self, data_centre: &str) -> Result<u64> {
        let mut sum = 0;
        for vm in self.vms.iter().filter(|vm| vm.data_centre == data_centre) {
            sum += self.get(vm, "/counts").await?["started"]
                .as_u64()
                .unwrap_or(0);
        }
        Ok(sum)
    }

    /// Returns the number of runs of an idempotency key at all upstreams.
    async fn runs_of_key(&self, key: &str) -> Result<u64> {
        let mut sum = 0;
        for vm in &self.vms {
            sum += self.get(vm, "/runs").await?[key].as_u64().unwrap_or(0);
        }
        Ok(sum)
    }

    async fn bootstrap(&self) -> Result<()> {
        let first = self
            .vms
            .iter()
            .position(|vm| vm.service() == self.deployment.service);
        let first = &self.vms[first.unwrap_or(0)..][..1];
        self.wait_until("the first daemon accepts connections", async || {
            let health = format!("http://{}/v1/health", first[0].operators);
            self.client.get(health).send().await.is_ok()
        })
        .await?;
        self.run_plumhitch(first, &["initialise"])?;
        let list = |name: &str| self.samples.join(name).display().to_string();
        let (customers, plans) = (list("customers.ini"), list("plans.ini"));
        let apply = ["apply", "--customers", &customers, "--plans", &plans];
        self.run_plumhitch(&self.vms, &apply)?;
        for vm in 0..self.vms.len() {
            self.wait_until("every daemon serves requests", async || {
                let sent = self
                    .send_request(
                        vm,
                        self.deployment.customer,
                        self.deployment.idempotent,
                        None,
                    )
                    .await;
                sent.is_ok_and(|(status, _)| status == 200)
            })
            .await?;
        }
        Ok(())
    }

    async fn run_steps(&self) -> Result<()> {
        self.bootstrap().await?;
        println!("\nRequests through every daemon:");
        self.demonstrate_requests().await?;
        println!(
            "\nA request of class {} is sent twice with the same idempotency key:",
            self.deployment.non_idempotent
        );
        self.demonstrate_idempotency_key().await?;
        println!(
            "\nCustomer {} exceeds the rate limit of its plan:",
            self.deployment.small_customer
        );
        self.demonstrate_rate_limit().await?;
        let out = self.deployment.data_centre_out;
        println!("\nData centre {out} is taken out and returned:");
        self.demonstrate_data_centre_out().await
    }

    async fn demonstrate_requests(&self) -> Result<()> {
        for class in [self.deployment.idempotent, self.deployment.non_idempotent] {
            let statuses = self.send_requests(class, 50).await?;
            println!("  50 requests of class {class}, by status: {statuses:?}");
            check(
                statuses.get(&200) == Some(&50),
                "every request gets status 200",
            )?;
        }
        Ok(())
    }

    async fn demonstrate_idempotency_key(&self) -> Result<()> {
        let key = format!("demo-{:x}", rand::random::<u64>());
        let (customer, class) = (self.deployment.customer, self.deployment.non_idempotent);
        let (first, _) = self.send_request(0, customer, class, Some(&key)).await?;
        let (again, headers) = self.send_request(3, customer, class, Some(&key)).await?;
        let reason = headers.get("plumhitch-reason");
        println!("  first: {first}; again through another daemon: {again} {reason:?}");
        check(
            first == 200 && again == 409,
            "the second request is refused because it already ran",
        )?;
        let runs = self.runs_of_key(&key).await?;
        println!("  runs of the key at all upstreams: {runs}");
        check(runs == 1, "the request ran once")
    }

    async fn demonstrate_rate_limit(&self) -> Result<()> {
        let mut limited = 0;
        let mut retry_after = None;
        for i in 0..SMALL_PLAN_REQUESTS {
            let (status, headers) = self
                .send_request(
                    i,
                    self.deployment.small_customer,
                    self.deployment.idempotent,
                    None,
                )
                .await?;
            if status == 429 {
                limited += 1;
                retry_after = headers.get("retry-after").cloned().or(retry_after);
            }
        }
        println!("  {SMALL_PLAN_REQUESTS} sequential requests: {limited} of them got status 429,");
        println!("  with retry-after {retry_after:?}");
        check(
            limited > 0 && retry_after.is_some(),
            "the limit applies and the refusal has a retry-after header",
        )
    }

    async fn demonstrate_data_centre_out(&self) -> Result<()> {
        let data_centre = self.deployment.data_centre_out;
        self.run_plumhitch(&self.vms, &["data-centre", "out", data_centre])?;
        tokio::time::sleep(OUT_DELAY).await;
        let before = self.started_requests(data_centre).await?;
        let statuses = self.send_requests(self.deployment.idempotent, 100).await?;
        let during = self.started_requests(data_centre).await? - before;
        println!("  100 requests, by status: {statuses:?}; {during} of them ran in {data_centre}");
        check(during == 0, "the data centre receives no new requests")?;
        check(
            statuses.get(&200) == Some(&100),
            "every request gets status 200 meanwhile",
        )?;
        self.run_plumhitch(&self.vms, &["data-centre", "return", data_centre])?;
        self.wait_until("the data centre receives requests again", async || {
            let sent = self.send_requests(self.deployment.idempotent, 20).await;
            sent.is_ok()
                && self
                    .started_requests(data_centre)
                    .await
                    .is_ok_and(|now| now > before)
        })
        .await?;
        println!("  {data_centre} receives requests again");
        self.run_plumhitch(&self.vms, &["status"])
    }
}

fn check(holds: bool, what: &str) -> Result<()> {
    println!("  {}: {what}", if holds { "ok" } else { "FAILED" });
    match holds {
        true => Ok(()),
        false => Err(format!("failed: {what}").into()),
    }
}

async fn run_demo(deployment: &'static Deployment, binaries: &Path) -> Result<()> {
    println!("\n{}: sample settings on loopback", deployment.name);
    let mut demo = Demo::new(deployment, binaries)?;
    for vm in &demo.vms {
        println!("  daemon {} in {}", vm.name, vm.data_centre);
    }
    demo.start()?;
    let result = demo.run_steps().await;
    if result.is_err() {
        let folder = demo.folder.keep();
        eprintln!("logs and settings are in {}", folder.display());
    }
    result
}

#[tokio::main]
async fn main() -> Result<()> {
    let exe = std::env::current_exe()?;
    let binaries = exe
        .parent()
        .and_then(Path::parent)
        .ok_or("the executable is not in a target folder")?;
    for name in ["plumhitchd", "plumhitch", "examples/upstream"] {
        if !binaries.join(name).exists() {
            let build = "cargo build --release --workspace --bins --examples";
            return Err(format!("{name} is not built; run: {build}").into());
        }
    }
    for deployment in &DEPLOYMENTS {
        run_demo(deployment, binaries).await?;
    }
    println!("\nAll steps succeeded.");
    Ok(())
}
