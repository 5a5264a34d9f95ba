//! Measures the cost of claims: non-idempotent requests, each with its own
//! idempotency key, run beside as many idempotent ones at several rates until
//! control can no longer sustain them. A run with only idempotent requests
//! comes first at each rate; the cost of the claims is the difference.

use argh::FromArgs;
use bench::cost::{LoadMeasurement, measure_under_load};
use bench::fit::Line;
use bench::fleet::{Fleet, FleetOptions, ServiceOptions};
use bench::load::LoadOptions;
use miette::{Result, miette};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const CLASSES: &str = "[class once]\nweight = 1\nidempotent = no\nkey = required\ndeadline = 5 s\n\
     [class often]\nweight = 1\nidempotent = yes\nkey = optional\ndeadline = 5 s\n";
/// Minimum fraction of the requested claims that are made, and of their requests
/// that get a response, for the rate to count as sustained.
const MIN_COMPLETION_RATIO: f64 = 0.95;
/// Median latency above which requests are queueing, in milliseconds.
const MAX_MEDIAN_MS: f64 = 50.0;
const ROLES: [&str; 3] = ["leader", "follower", "entry"];

/// Measures the cost of claims.
#[derive(FromArgs)]
struct Options {
    /// rates in claims per second, separated by commas
    #[argh(option, default = "String::from(\"100,500,1000,2000,4000\")")]
    rates: String,
    /// measured seconds of each run
    #[argh(option, default = "10")]
    seconds: u64,
    /// connections of each flow
    #[argh(option, default = "64")]
    connections: usize,
}

/// Claims per second, with the processor time per second spent on them by role.
struct Row {
    claims: f64,
    cores: [f64; 3],
    sustained: bool,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let fleet = Fleet::start(&fleet_options()).await?;
    let leader = fleet.leader().await?;
    let entry = *fleet.members_of("front").first().ok_or_else(no_entry)?;
    let roles = [leader, (leader + 1) % 3, entry];
    println!(
        "   asked  claims/s  once_p50  once_p99  often_p50  often_p99  added_p50_ms  added_p99_ms  \
         leader_us  follower_us  entry_us  reasons"
    );
    let mut rows = Vec::new();
    for rate in options
        .rates
        .split(',')
        .filter_map(|r| r.trim().parse().ok())
    {
        let row = measure(&fleet, &roles, rate, &options).await?;
        if !row.sustained {
            println!("control does not sustain {rate} claims per second");
            break;
        }
        rows.push(row);
    }
    print_fit(&rows);
    Ok(())
}

fn no_entry() -> miette::Report {
    miette!("the fleet has no member of service front")
}

fn fleet_options() -> FleetOptions {
    let services = vec![
        ServiceOptions::immediate("control", 3, 1),
        ServiceOptions::immediate("front", 1, 1),
        ServiceOptions::immediate("booking", 3, 256),
    ];
    FleetOptions::unlimited(services, CLASSES)
}

async fn measure(fleet: &Fleet, roles: &[usize; 3], rate: f64, options: &Options) -> Result<Row> {
    let entry = fleet.members[roles[2]].callers;
    let load = |flows: Vec<String>| LoadOptions {
        daemons: vec![entry],
        flows,
        seconds: options.seconds,
        warm_up: 2,
        connections: options.connections,
        args: Vec::new(),
    };
    let idempotent = "service=booking customer=members class=often method=POST";
    let non_idempotent = "service=booking customer=members class=once method=POST key=yes";
    let baseline = load(vec![format!("{idempotent} rate={}", rate * 2.0)]);
    let mixed = load(vec![
        format!("{non_idempotent} rate={rate}"),
        format!("{idempotent} rate={rate}"),
    ]);
    let baseline = measure_under_load(fleet, &baseline, roles).await?;
    let (mixed, claims) = tokio::join!(
        measure_under_load(fleet, &mixed, roles),
        accepted_claim_rate(fleet, mixed.warm_up, options.seconds)
    );
    print_row(rate, &baseline, &mixed?, claims?, options.seconds as f64)
}

/// Returns the claims per second that control accepted during the measured time
/// of a load. Requests still waiting at the end of the load would otherwise be
/// counted although their responses come too late.
async fn accepted_claim_rate(fleet: &Fleet, warm_up: u64, seconds: u64) -> Result<f64> {
    let claim_count = async || {
        let status = fleet.operator.status(fleet.members[0].operators);
        status.await.map(|s| s.claims)
    };
    sleep(Duration::from_secs(warm_up)).await;
    let (begin, before) = (Instant::now(), claim_count().await?);
    sleep(Duration::from_secs(seconds)).await;
    let after = claim_count().await?;
    Ok(after.saturating_sub(before) as f64 / begin.elapsed().as_secs_f64())
}

fn print_row(
    rate: f64,
    baseline: &LoadMeasurement,
    mixed: &LoadMeasurement,
    claims: f64,
    seconds: f64,
) -> Result<Row> {
    let (once, often) = (mixed.class("once")?, mixed.class("often")?);
    let mut cores = [0.0; 3];
    for (index, cost) in cores.iter_mut().enumerate() {
        *cost = mixed.daemons[index].cores - baseline.daemons[index].cores;
    }
    let asked = once.requests() as f64 / seconds;
    let sustained = claims >= asked * MIN_COMPLETION_RATIO
        && once.answered as f64 >= asked * seconds * MIN_COMPLETION_RATIO
        && once.latency_ms[0] <= MAX_MEDIAN_MS;
    let [leader, follower, entry] = cores.map(|c| c / claims * 1e6);
    let added = |q: usize| once.latency_ms[q] - often.latency_ms[q];
    println!(
        "{rate:8}  {claims:8.1}  {:8.3}  {:8.3}  {:9.3}  {:9.3}  {:12.3}  {:12.3}  {leader:9.0}  \
         {follower:11.0}  {entry:8.0}  {}",
        once.latency_ms[0],
        once.latency_ms[1],
        often.latency_ms[0],
        often.latency_ms[1],
        added(0),
        added(1),
        once.reasons,
    );
    Ok(Row {
        claims,
        cores,
        sustained,
    })
}

fn print_fit(rows: &[Row]) {
    if rows.len() < 3 {
        println!("no fit: control sustained fewer than three rates");
        return;
    }
    for (index, role) in ROLES.iter().enumerate() {
        let points: Vec<(f64, f64)> = rows
            .iter()
            .map(|r| (r.claims, r.cores[index] * 1e6))
            .collect();
        let line = Line::fit(&points);
        println!(
            "fit {role}: {:.0} us/s + {:.1} us per claim, largest error {:.0} %",
            line.intercept,
            line.slope,
            line.max_relative_error * 100.0
        );
    }
}
