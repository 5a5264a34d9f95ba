//! Measures the agent of an idle daemon: processor time, memory, and bytes
//! exchanged with control, by number of subscribed services, while upstreams of
//! all services leave and return.
//!
//! The upstreams are registered by simulated agents. Bytes are those of the
//! daemon's TCP connections to the control replicas, as the kernel counts them.

use argh::FromArgs;
use bench::cost::measure_cost;
use bench::fit::Line;
use bench::fleet::{Fleet, FleetOptions, ServiceOptions};
use bench::session::{SessionOptions, SessionStats, run};
use miette::{IntoDiagnostic, Result, miette};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

const CLASSES: &str =
    "[class page]\nweight = 1\nidempotent = yes\nkey = optional\ndeadline = 1 s\n";
/// Interval between heartbeats; the daemon's default.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for sessions to register and for updates to reach the daemon.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Timeout for the sessions to register.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Measures the agent of an idle daemon.
#[derive(FromArgs)]
struct Options {
    /// numbers of subscribed services, ascending, separated by commas
    #[argh(option, default = "String::from(\"1,5,17,42\")")]
    subscriptions: String,
    /// upstreams of each service
    #[argh(option, default = "23")]
    upstreams: usize,
    /// changes of registrations per second
    #[argh(option, default = "1.0")]
    changes: f64,
    /// seconds to measure at each number of services
    #[argh(option, default = "20")]
    seconds: u64,
}

struct Row {
    services: f64,
    cpu: f64,
    memory: f64,
    bytes: f64,
}

struct Sessions {
    stats: Vec<Arc<SessionStats>>,
    leaving: Vec<Arc<AtomicBool>>,
    // Aborts the sessions when dropped.
    tasks: JoinSet<()>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let sizes: Vec<usize> = options
        .subscriptions
        .split(',')
        .filter_map(|s| s.trim().parse().ok())
        .collect();
    let services = sizes.iter().copied().max().unwrap_or(0);
    let fleet = Fleet::start(&fleet_options()).await?;
    let idle = *fleet
        .members_of("idle")
        .first()
        .ok_or_else(|| miette!("the fleet has no member of service idle"))?;
    let mut sessions = start(&fleet, services, options.upstreams);
    wait_registered(&sessions).await?;
    change_registrations(&mut sessions, options.changes);
    println!("services  cpu_%  MB  bytes/s");
    let mut rows = Vec::new();
    let mut subscribed = 0;
    for size in sizes {
        for number in subscribed..size {
            subscribe(fleet.members[idle].callers, number).await;
        }
        subscribed = size;
        sleep(SETTLE_TIME).await;
        let row = measure(&fleet, idle, size, options.seconds).await?;
        println!(
            "{:8}  {:5.2}  {:.1}  {:7.0}",
            row.services, row.cpu, row.memory, row.bytes
        );
        rows.push(row);
    }
    print_fit("cpu_%", &rows, |r| r.cpu);
    print_fit("MB", &rows, |r| r.memory);
    print_fit("bytes/s", &rows, |r| r.bytes);
    Ok(())
}

fn fleet_options() -> FleetOptions {
    let services = vec![
        ServiceOptions::immediate("control", 3, 1),
        ServiceOptions::immediate("idle", 1, 1),
    ];
    FleetOptions::unlimited(services, CLASSES)
}

fn start(fleet: &Fleet, services: usize, upstreams: usize) -> Sessions {
    let control: Vec<SocketAddr> = fleet.members[..3].iter().map(|m| m.peers).collect();
    let total = services * upstreams;
    let mut sessions = Sessions {
        stats: Vec::new(),
        leaving: Vec::new(),
        tasks: JoinSet::new(),
    };
    for number in 0..total {
        let leaving = Arc::new(AtomicBool::new(false));
        let options = SessionOptions {
            daemon: format!("session-{number}"),
            service: service(number % services),
            subscriptions: Vec::new(),
            data_centre: format!("dc{}", number % 5 + 1),
            interval: HEARTBEAT_INTERVAL,
            offset: HEARTBEAT_INTERVAL.mul_f64(number as f64 / total as f64),
            control: control.clone(),
            leaving: leaving.clone(),
        };
        let stats = Arc::new(SessionStats::default());
        sessions.stats.push(stats.clone());
        sessions.leaving.push(leaving);
        sessions.tasks.spawn(run(options, stats));
    }
    sessions
}

fn service(number: usize) -> String {
    format!("service-{number}")
}

async fn wait_registered(sessions: &Sessions) -> Result<()> {
    let started = std::time::Instant::now();
    let registered = |s: &Arc<SessionStats>| s.confirmed.load(Ordering::Relaxed) > 0;
    while !sessions.stats.iter().all(registered) {
        if started.elapsed() > TIMEOUT {
            return Err(miette!(
                "control did not confirm all sessions within {TIMEOUT:?}"
            ));
        }
        sleep(HEARTBEAT_INTERVAL / 10).await;
    }
    sleep(SETTLE_TIME).await;
    Ok(())
}

/// Lets the upstreams leave or return, one after the other.
fn change_registrations(sessions: &mut Sessions, changes: f64) {
    if changes <= 0.0 {
        return;
    }
    let leaving = sessions.leaving.clone();
    let pause = Duration::from_secs_f64(1.0 / changes);
    sessions.tasks.spawn(async move {
        for upstream in leaving.iter().cycle() {
            upstream.fetch_xor(true, Ordering::Relaxed);
            sleep(pause).await;
        }
    });
}

/// Makes a daemon subscribe to a service by a request for it. The response is
/// ignored, because nothing listens at the addresses of the simulated
/// upstreams.
async fn subscribe(daemon: SocketAddr, number: usize) {
    let req = reqwest::Client::new()
        .post(format!("http://{daemon}/"))
        .header("plumhitch-customer", "members")
        .header("plumhitch-service", service(number))
        .header("plumhitch-class", "page");
    let _ = req.send().await;
}

async fn measure(fleet: &Fleet, idle: usize, services: usize, seconds: u64) -> Result<Row> {
    let before = control_bytes(fleet, idle)?;
    let costs = measure_cost(fleet, &[idle], Duration::from_secs(seconds)).await?;
    let after = control_bytes(fleet, idle)?;
    let cost = costs.first().copied().unwrap_or_default();
    Ok(Row {
        services: services as f64,
        cpu: cost.cores * 100.0,
        memory: cost.memory as f64 / 1e6,
        bytes: after.saturating_sub(before) as f64 / seconds as f64,
    })
}

/// Returns the bytes sent and received on a daemon's connections to control.
fn control_bytes(fleet: &Fleet, index: usize) -> Result<u64> {
    let output = Command::new("ss")
        .args(["-tinpHO", "state", "established"])
        .output()
        .into_diagnostic()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let process = format!("pid={},", fleet.members[index].daemon.pid());
    let peers: Vec<String> = fleet.members[..3]
        .iter()
        .map(|m| m.peers.to_string())
        .collect();
    let connections = text.lines().filter(|l| l.contains(&process));
    let to_control = connections.filter(|l| {
        l.split_whitespace()
            .nth(3)
            .is_some_and(|p| peers.iter().any(|q| q == p))
    });
    let bytes = to_control
        .flat_map(|line| line.split_whitespace())
        .filter_map(|field| {
            let value = field
                .strip_prefix("bytes_sent:")
                .or_else(|| field.strip_prefix("bytes_received:"));
            value.and_then(|v| v.parse::<u64>().ok())
        });
    Ok(bytes.sum())
}

fn print_fit(name: &str, rows: &[Row], value: impl Fn(&Row) -> f64) {
    let points: Vec<(f64, f64)> = rows.iter().map(|r| (r.services, value(r))).collect();
    let line = Line::fit(&points);
    println!(
        "fit {name}: {:.3} + {:.4} per service, largest error {:.0} %, at 42: {:.2}",
        line.intercept,
        line.slope,
        line.max_relative_error * 100.0,
        line.value_at(42.0)
    );
}
