//! Measures the start of a daemon with a control replica after many accepted
//! changes, at several sizes of the customer list: the time from the start of
//! the process until its status shows the configuration version, and until it
//! serves requests.

use api::{Operation, Verdict};
use argh::FromArgs;
use bench::fit::Line;
use bench::fleet::{Fleet, FleetOptions, ServiceOptions};
use miette::{Result, miette};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const CLASSES: &str =
    "[class page]\nweight = 1\nidempotent = yes\nkey = optional\ndeadline = 5 s\n";
/// Timeout for a start.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Measures the start of a daemon.
#[derive(FromArgs)]
struct Options {
    /// numbers of changes, ascending, separated by commas
    #[argh(option, default = "String::from(\"10,300,1000,3000\")")]
    changes: String,
    /// numbers of customers, separated by commas
    #[argh(option, default = "String::from(\"100,100000\")")]
    customers: String,
    /// number of starts at each size; the table shows their median
    #[argh(option, default = "3")]
    starts: usize,
}

/// Times from the start of the process.
#[derive(Clone, Copy)]
struct StartTimes {
    version: Duration,
    ready: Duration,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    println!("customers  changes  version_ms  takes_work_ms  longest_work_ms  data_KB  MB");
    for customers in parse_numbers(&options.customers) {
        measure(customers, &options).await?;
    }
    Ok(())
}

fn parse_numbers(text: &str) -> impl Iterator<Item = usize> {
    text.split(',').filter_map(|n| n.trim().parse().ok())
}

async fn measure(customers: usize, options: &Options) -> Result<()> {
    let services = vec![ServiceOptions::immediate("control", 3, 6)];
    let mut fleet_options = FleetOptions::unlimited(services, CLASSES);
    fleet_options.customers = customer_list(customers);
    let mut fleet = Fleet::start(&fleet_options).await?;
    let mut made = 0;
    let mut points = Vec::new();
    for changes in parse_numbers(&options.changes) {
        make_changes(&fleet, made, changes).await?;
        made = changes;
        let mut starts = Vec::new();
        for _ in 0..options.starts {
            starts.push(restart(&mut fleet).await?);
        }
        let ready = print(&fleet, [customers, changes], &mut starts)?;
        points.push((changes as f64, ready.as_secs_f64() * 1e3));
    }
    let line = Line::fit(&points);
    println!(
        "fit takes_work_ms, {customers} customers: {:.0} + {:.4} per change, largest error {:.0} %",
        line.intercept,
        line.slope,
        line.max_relative_error * 100.0
    );
    Ok(())
}

fn customer_list(customers: usize) -> String {
    let mut text = String::from("[customers]\nmembers = all\n");
    for number in 1..customers {
        // Writing to a string can't fail.
        let _ = writeln!(text, "customer-{number} = all");
    }
    text
}

/// Makes changes one after the other until `target` changes have been made.
async fn make_changes(fleet: &Fleet, made: usize, target: usize) -> Result<()> {
    let first = fleet.members[0].operators;
    let mut version = fleet.operator.status(first).await?.version;
    for number in made..target {
        let data_centre = "dc9".to_owned();
        let operation = match number % 2 {
            0 => Operation::DataCentreOut { data_centre },
            _ => Operation::DataCentreReturn { data_centre },
        };
        let id = format!("change-{number}");
        let outcome = fleet
            .operator
            .change(first, &id, version, operation)
            .await?;
        if outcome.verdict != Verdict::Accepted {
            return Err(miette!("change {id} was not accepted: {outcome:?}"));
        }
        version = outcome.version;
    }
    fleet.wait_for_version(version).await
}

/// Kills a follower's daemon and starts it again.
async fn restart(fleet: &mut Fleet) -> Result<StartTimes> {
    let follower = (fleet.leader().await? + 1) % 3;
    let leader = fleet.members[(follower + 2) % 3].operators;
    let target = fleet.operator.status(leader).await?.version;
    let started = Instant::now();
    fleet.restart_daemon(follower)?;
    let member = &fleet.members[follower];
    let (callers, operators) = (member.callers, member.operators);
    let version = time_until(started, async || {
        let status = fleet.operator.status(operators).await;
        status.is_ok_and(|s| s.daemon_version >= target)
    });
    let http = reqwest::Client::new();
    let ready = time_until(started, async || is_served(&http, callers).await);
    let (version, ready) = tokio::join!(version, ready);
    Ok(StartTimes {
        version: version?,
        ready: ready?,
    })
}

/// Returns the time from `started` until a condition holds.
async fn time_until(started: Instant, condition: impl AsyncFn() -> bool) -> Result<Duration> {
    while !condition().await {
        if started.elapsed() > TIMEOUT {
            return Err(miette!("daemon did not start within {TIMEOUT:?}"));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(started.elapsed())
}

/// Returns whether a request through a daemon succeeds.
async fn is_served(http: &reqwest::Client, callers: SocketAddr) -> bool {
    let req = http
        .post(format!("http://{callers}/"))
        .header("plumhitch-customer", "members")
        .header("plumhitch-service", "control")
        .header("plumhitch-class", "page");
    let res = req.send().await;
    res.is_ok_and(|res| res.status().is_success())
}

fn print(fleet: &Fleet, sizes: [usize; 2], starts: &mut [StartTimes]) -> Result<Duration> {
    let memory = fleet.members[0].daemon.memory()?;
    let data = folder_bytes(&fleet.dir().join(&fleet.members[0].name));
    let median = starts.len() / 2;
    starts.sort_by_key(|t| t.version);
    let version = starts[median].version;
    starts.sort_by_key(|t| t.ready);
    let ready = starts[median].ready;
    println!(
        "{:9}  {:7}  {:10.0}  {:13.0}  {:15.0}  {:7}  {:.1}",
        sizes[0],
        sizes[1],
        version.as_secs_f64() * 1e3,
        ready.as_secs_f64() * 1e3,
        starts[starts.len() - 1].ready.as_secs_f64() * 1e3,
        data / 1024,
        memory as f64 / 1e6,
    );
    Ok(ready)
}

/// Returns the total size of the files in a directory, in bytes.
fn folder_bytes(dir: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(dir) else {
        return 0;
    };
    let sizes = entries.flatten().filter_map(|e| e.metadata().ok());
    sizes.map(|m| m.len()).sum()
}
