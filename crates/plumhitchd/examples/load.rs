//! An open-loop load generator: the request rate does not depend on the latency.
//!
//! Requests are due at random times with a given mean rate. Latency counts from
//! the due time, even if no connection was free then, which avoids coordinated
//! omission. Each flow has its own rate, for instance
//!
//! `--flow "service=booking customer=tc-utrecht class=page path=/free rate=200"`
//!
//! Optional keys are `method`, `bytes` (size of the body) and `key=yes` (a new
//! idempotency key for each request). `--direct` sends the same load as the first
//! flow directly to an upstream, as the flow `direct`, for comparison in one run.

use argh::FromArgs;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, mpsc};

/// Time after which a request counts as unanswered.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Name of the flow that goes directly to an upstream.
const DIRECT: &str = "direct";

/// An open-loop load generator.
#[derive(FromArgs)]
struct Options {
    /// callers' address of a daemon; repeat to spread the load over several
    #[argh(option)]
    daemon: Vec<SocketAddr>,
    /// a flow of requests, as "key=value …"; repeat for several
    #[argh(option)]
    flow: Vec<String>,
    /// address of an upstream that gets the load of the first flow directly
    #[argh(option)]
    direct: Option<SocketAddr>,
    /// connections per flow and daemon
    #[argh(option, default = "16")]
    connections: usize,
    /// duration of the measurement, in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// warm-up before the measurement, in seconds
    #[argh(option, default = "2")]
    warm_up: u64,
    /// maximum number of retries of a refused or unanswered request
    #[argh(option, default = "0")]
    resends: u32,
    /// random seed of the due times
    #[argh(option, default = "1")]
    seed: u64,
    /// file for the report as CSV
    #[argh(option)]
    csv: Option<PathBuf>,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    name: String,
    service: String,
    customer: String,
    class: String,
    method: String,
    path: String,
    rate: f64,
    bytes: usize,
    key: bool,
}

impl Flow {
    fn parse(text: &str) -> Result<Self, String> {
        let mut flow = Self {
            method: "GET".into(),
            path: "/".into(),
            ..Self::default()
        };
        for part in text.split_whitespace() {
            let (key, value) = part
                .split_once('=')
                .ok_or(format!("expected key=value in --flow: {part}"))?;
            let not_a_number = |_| format!("expected a number in --flow: {part}");
            match key {
                "service" => flow.service = value.into(),
                "customer" => flow.customer = value.into(),
                "class" => flow.class = value.into(),
                "method" => flow.method = value.into(),
                "path" => flow.path = value.into(),
                "rate" => flow.rate = value.parse().map_err(|_| not_a_number(()))?,
                "bytes" => flow.bytes = value.parse().map_err(|_| not_a_number(()))?,
                "key" => flow.key = value == "yes",
                _ => return Err(format!("unknown key in --flow: {key}")),
            }
        }
        flow.name = format!("{}/{}", flow.customer, flow.class);
        Ok(flow)
    }
}

/// Latency and outcomes of a flow's requests.
struct Results {
    latency: Histogram<u64>,
    answered: u64,
    errors: u64,
    unanswered: u64,
    refused: BTreeMap<String, u64>,
}

impl Results {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            latency: Histogram::new_with_bounds(1, 120_000_000, 3)?,
            answered: 0,
            errors: 0,
            unanswered: 0,
            refused: BTreeMap::new(),
        })
    }

    fn add(&mut self, other: &Self) -> Result<(), hdrhistogram::AdditionError> {
        self.latency.add(&other.latency)?;
        self.answered += other.answered;
        self.errors += other.errors;
        self.unanswered += other.unanswered;
        for (reason, count) in &other.refused {
            *self.refused.entry(reason.clone()).or_default() += count;
        }
        Ok(())
    }

    fn row(&self, name: &str, seconds: u64) -> [String; 9] {
        let ms = |q| format!("{:.3}", self.latency.value_at_quantile(q) as f64 / 1000.0);
        let refused: u64 = self.refused.values().sum();
        let reasons: Vec<String> = self
            .refused
            .iter()
            .map(|(r, n)| format!("{r}:{n}"))
            .collect();
        [
            name.to_owned(),
            (self.answered / seconds.max(1)).to_string(),
            self.answered.to_string(),
            self.errors.to_string(),
            refused.to_string(),
            self.unanswered.to_string(),
            format!("{} {} {}", ms(0.5), ms(0.99), ms(0.999)).replace(' ', ","),
            ms(1.0),
            reasons.join(" "),
        ]
    }
}

enum Outcome {
    Answered,
    Error,
    Refused(String),
    Unanswered,
}

async fn send(client: &reqwest::Client, to: SocketAddr, flow: &Flow, key: &str) -> Outcome {
    let url = format!("http://{to}{}", flow.path);
    let method = reqwest::Method::from_bytes(flow.method.as_bytes()).unwrap_or_default();
    let mut req = client
        .request(method, url)
        .header("plumhitch-customer", &flow.customer)
        .header("plumhitch-service", &flow.service);
    if !flow.class.is_empty() {
        req = req.header("plumhitch-class", &flow.class);
    }
    if flow.key {
        req = req.header("idempotency-key", key);
    }
    if flow.bytes > 0 {
        req = req.body(vec![b'x'; flow.bytes]);
    }
    let Ok(res) = req.send().await else {
        return Outcome::Unanswered;
    };
    let status = res.status();
    let reason = res.headers().get("plumhitch-reason").cloned();
    if res.bytes().await.is_err() {
        return Outcome::Unanswered;
    }
    match reason {
        Some(reason) => Outcome::Refused(reason.to_str().unwrap_or("?").to_owned()),
        None if status.is_server_error() => Outcome::Error,
        None => Outcome::Answered,
    }
}

/// Generates due times with exponential intervals and sends each to the connections
/// when it is reached.
fn generate_due_times(
    flow: &Flow,
    options: &Options,
    begin: Instant,
    tx: &mpsc::UnboundedSender<Instant>,
) {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let end = begin + Duration::from_secs(options.warm_up + options.seconds);
    let mut due = begin;
    while due < end {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / flow.rate);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if tx.send(due).is_err() {
            return;
        }
    }
}

struct Connection {
    client: reqwest::Client,
    to: SocketAddr,
    flow: Flow,
    due: Arc<Mutex<mpsc::UnboundedReceiver<Instant>>>,
    results: Arc<Mutex<Results>>,
    measured_from: Instant,
    resends: u32,
}

impl Connection {
    async fn run(self) {
        loop {
            let Some(due) = self.due.lock().await.recv().await else {
                return;
            };
            let key = format!("{:016x}", rand::random::<u64>());
            let mut outcome = send(&self.client, self.to, &self.flow, &key).await;
            for _ in 0..self.resends {
                if matches!(outcome, Outcome::Answered | Outcome::Error) {
                    break;
                }
                outcome = send(&self.client, self.to, &self.flow, &key).await;
            }
            if due >= self.measured_from {
                self.record(due, outcome).await;
            }
        }
    }

    async fn record(&self, due: Instant, outcome: Outcome) {
        let latency_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut results = self.results.lock().await;
        match outcome {
            Outcome::Answered => {
                results.answered += 1;
                results.latency.saturating_record(latency_us);
            }
            Outcome::Error => results.errors += 1,
            Outcome::Unanswered => results.unanswered += 1,
            Outcome::Refused(reason) => *results.refused.entry(reason).or_default() += 1,
        }
    }
}

const COLUMNS: &str = "flow,answered_per_s,answered,errors,refused,unanswered,p50_ms,p99_ms,\
                       p999_ms,max_ms,reasons";

fn report(rows: &[String], csv: Option<&PathBuf>) -> std::io::Result<()> {
    let lines: Vec<Vec<&str>> = std::iter::once(COLUMNS)
        .chain(rows.iter().map(String::as_str))
        .map(|line| line.split(',').collect())
        .collect();
    for line in &lines {
        let cells: Vec<String> = line.iter().map(|cell| format!("{cell:>15}")).collect();
        println!("{}", cells.join(" "));
    }
    match csv {
        Some(path) => std::fs::write(path, format!("{COLUMNS}\n{}\n", rows.join("\n"))),
        None => Ok(()),
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options: Options = argh::from_env();
    let mut flows = Vec::new();
    for text in &options.flow {
        flows.push((Flow::parse(text)?, options.daemon.clone()));
    }
    if let Some(upstream) = options.direct {
        let first = flows
            .first()
            .ok_or("--direct needs at least one --flow")?
            .0
            .clone();
        let name = DIRECT.to_owned();
        flows.push((Flow { name, ..first }, vec![upstream]));
    }
    let options = Arc::new(options);
    let begin = Instant::now() + Duration::from_millis(100);
    let measured_from = begin + Duration::from_secs(options.warm_up);
    let mut tasks = Vec::new();
    let mut all = Vec::new();
    for (flow, targets) in flows {
        let (tx, rx) = mpsc::unbounded_channel();
        let due = Arc::new(Mutex::new(rx));
        let results = Arc::new(Mutex::new(Results::new()?));
        for to in targets
            .iter()
            .flat_map(|to| std::iter::repeat_n(*to, options.connections))
        {
            let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT);
            let connection = Connection {
                client: client.pool_max_idle_per_host(1).build()?,
                to,
                flow: flow.clone(),
                due: due.clone(),
                results: results.clone(),
                measured_from,
                resends: options.resends,
            };
            tasks.push(tokio::spawn(connection.run()));
        }
        let (due_flow, options) = (flow.clone(), options.clone());
        std::thread::spawn(move || generate_due_times(&due_flow, &options, begin, &tx));
        all.push((flow.name, results));
    }
    for task in tasks {
        task.await?;
    }
    let mut rows = Vec::new();
    let mut total = Results::new()?;
    for (name, results) in all {
        let results = results.lock().await;
        rows.push(results.row(&name, options.seconds).join(","));
        if name != DIRECT {
            total.add(&results)?;
        }
    }
    rows.push(total.row("all", options.seconds).join(","));
    report(&rows, options.csv.as_ref())?;
    Ok(())
}
