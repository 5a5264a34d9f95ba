//! Measures control under heartbeat sessions, at several numbers of sessions:
//! resources of the leader and a follower, the time until a change is used by
//! all sessions, and the time without a leader after it is killed. Prints a
//! linear fit of each.
//!
//! Control replicas are real daemons; the sessions are simulated agents.

use api::Operation;
use argh::FromArgs;
use bench::fit::Line;
use bench::fleet::{Fleet, FleetOptions, ServiceOptions};
use bench::session::{SessionOptions, SessionStats, run};
use miette::{Result, miette};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Interval between heartbeats; the daemon's default.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of services in a fleet of the target size.
const SERVICE_COUNT: usize = 42;
/// Number of services that each session subscribes to.
const SUBSCRIPTION_COUNT: usize = 5;
/// Timeout for each condition.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Measures control by number of daemons.
#[derive(FromArgs)]
struct Options {
    /// numbers of sessions, separated by commas
    #[argh(option, default = "String::from(\"100,300,960\")")]
    sizes: String,
    /// number of control replicas
    #[argh(option, default = "3")]
    replicas: usize,
    /// seconds to measure at each number of sessions
    #[argh(option, default = "10")]
    seconds: u64,
}

struct Sessions {
    stats: Vec<Arc<SessionStats>>,
    // Aborts the sessions when dropped.
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Row {
    size: f64,
    leader_cpu: f64,
    follower_cpu: f64,
    leader_memory: f64,
    bytes: f64,
    propagation: Duration,
    without_leader: Duration,
    all_back: Duration,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let mut rows = Vec::new();
    println!(
        "sessions  leader_cpu_%  follower_cpu_%  leader_MB  bytes/s/session  spread_ms  \
         no_leader_ms  all_back_ms"
    );
    for size in options
        .sizes
        .split(',')
        .filter_map(|s| s.trim().parse().ok())
    {
        let row = measure(size, &options).await?;
        println!(
            "{:8}  {:12.2}  {:14.2}  {:9.1}  {:15.0}  {:9}  {:12}  {:11}",
            row.size,
            row.leader_cpu,
            row.follower_cpu,
            row.leader_memory / 1e6,
            row.bytes,
            row.propagation.as_millis(),
            row.without_leader.as_millis(),
            row.all_back.as_millis(),
        );
        rows.push(row);
    }
    print_fit("leader_cpu_%", &rows, |r| r.leader_cpu);
    print_fit("follower_cpu_%", &rows, |r| r.follower_cpu);
    print_fit("leader_MB", &rows, |r| r.leader_memory / 1e6);
    print_fit("bytes/s/session", &rows, |r| r.bytes);
    print_fit("spread_ms", &rows, |r| r.propagation.as_secs_f64() * 1e3);
    print_fit("all_back_ms", &rows, |r| r.all_back.as_secs_f64() * 1e3);
    Ok(())
}

fn print_fit(name: &str, rows: &[Row], value: impl Fn(&Row) -> f64) {
    let points: Vec<(f64, f64)> = rows.iter().map(|r| (r.size, value(r))).collect();
    let line = Line::fit(&points);
    println!(
        "fit {name}: {:.3} + {:.6} per session, largest error {:.0} %, at 960: {:.2}",
        line.intercept,
        line.slope,
        line.max_relative_error * 100.0,
        line.value_at(960.0)
    );
}

async fn measure(size: usize, options: &Options) -> Result<Row> {
    let mut fleet = Fleet::start(&fleet_options(options.replicas)).await?;
    let control: Vec<SocketAddr> = fleet.members.iter().map(|m| m.peers).collect();
    let sessions = start(size, &control);
    let first = fleet.members[0].operators;
    let version = fleet.operator.status(first).await?.version;
    wait_for_version(&sessions, version).await?;
    sleep(HEARTBEAT_INTERVAL * 5).await;

    let leader = leader(&fleet, &sessions)?;
    let follower = (leader + 1) % options.replicas;
    let before = take_sample(&fleet, leader, follower, &sessions)?;
    sleep(Duration::from_secs(options.seconds)).await;
    let after = take_sample(&fleet, leader, follower, &sessions)?;
    let propagation = measure_propagation(&fleet, version, &sessions).await?;
    let (without_leader, all_back) = failover(&mut fleet, leader, version + 1, &sessions).await?;
    let seconds = options.seconds as f64;
    Ok(Row {
        size: size as f64,
        leader_cpu: (after.leader - before.leader).as_secs_f64() / seconds * 100.0,
        follower_cpu: (after.follower - before.follower).as_secs_f64() / seconds * 100.0,
        leader_memory: after.memory as f64,
        bytes: (after.bytes - before.bytes) as f64 / seconds / size as f64,
        propagation,
        without_leader,
        all_back,
    })
}

fn fleet_options(replicas: usize) -> FleetOptions {
    FleetOptions {
        data_centres: (1..=replicas).map(|n| format!("dc{n}")).collect(),
        services: vec![ServiceOptions {
            name: "control".into(),
            instances: replicas,
            slots: 12,
            upstream_args: Vec::new(),
            first_args: Vec::new(),
            other_args: Vec::new(),
        }],
        replicas,
        policy: None,
        settings: String::new(),
        control: String::new(),
        plans: "[plan club]\nrate = 100\nburst = 100\nin-flight = 50\nshare = 1\n".into(),
        customers: "[customers]\ntc-utrecht = club\n".into(),
    }
}

fn start(size: usize, control: &[SocketAddr]) -> Sessions {
    let mut tasks = JoinSet::new();
    let mut stats = Vec::new();
    for number in 0..size {
        let options = SessionOptions {
            daemon: format!("session-{number}"),
            service: format!("service-{}", number % SERVICE_COUNT),
            subscriptions: (0..SUBSCRIPTION_COUNT)
                .map(|i| format!("service-{}", (number + i) % SERVICE_COUNT))
                .collect(),
            data_centre: format!("dc{}", number % 5 + 1),
            interval: HEARTBEAT_INTERVAL,
            offset: HEARTBEAT_INTERVAL * u32::try_from(number).unwrap_or(0)
                / u32::try_from(size).unwrap_or(1),
            control: control.to_vec(),
            leaving: Arc::default(),
        };
        let session_stats = Arc::new(SessionStats::default());
        stats.push(session_stats.clone());
        tasks.spawn(run(options, session_stats));
    }
    Sessions {
        stats,
        _tasks: tasks,
    }
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) -> Result<Duration> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > TIMEOUT {
            return Err(miette!("condition not met within {TIMEOUT:?}: {what}"));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(started.elapsed())
}

async fn wait_for_version(sessions: &Sessions, version: u64) -> Result<Duration> {
    wait_for("configuration version received by every session", || {
        sessions
            .stats
            .iter()
            .all(|s| s.version.load(Ordering::Relaxed) >= version)
    })
    .await
}

/// Returns the index of the leader, which is the member that sent the latest
/// confirmation.
fn leader(fleet: &Fleet, sessions: &Sessions) -> Result<usize> {
    let last = sessions
        .stats
        .iter()
        .filter_map(|s| s.last_confirmation())
        .max_by_key(|(at, _)| *at);
    let address = last.map(|(_, address)| address);
    fleet
        .members
        .iter()
        .position(|m| Some(m.peers) == address)
        .ok_or_else(|| miette!("no member of the fleet has confirmed a heartbeat"))
}

struct Sample {
    leader: Duration,
    follower: Duration,
    memory: u64,
    bytes: u64,
}

fn take_sample(
    fleet: &Fleet,
    leader: usize,
    follower: usize,
    sessions: &Sessions,
) -> Result<Sample> {
    Ok(Sample {
        leader: fleet.members[leader].daemon.cpu()?,
        follower: fleet.members[follower].daemon.cpu()?,
        memory: fleet.members[leader].daemon.memory()?,
        bytes: sessions
            .stats
            .iter()
            .map(|s| s.bytes.load(Ordering::Relaxed))
            .sum(),
    })
}

/// Makes a change and returns the time from its acceptance until the last
/// session has received it.
async fn measure_propagation(fleet: &Fleet, version: u64, sessions: &Sessions) -> Result<Duration> {
    let first = fleet.members[0].operators;
    let operation = Operation::DataCentreOut {
        data_centre: "dc9".into(),
    };
    let outcome = fleet
        .operator
        .change(first, "spread", version, operation)
        .await?;
    if outcome.verdict != api::Verdict::Accepted {
        return Err(miette!("change was not accepted: {outcome:?}"));
    }
    wait_for_version(sessions, outcome.version).await
}

/// Kills the leader. Returns the time until a change is accepted again, and
/// until every session has a confirmation from the new leader.
async fn failover(
    fleet: &mut Fleet,
    leader: usize,
    version: u64,
    sessions: &Sessions,
) -> Result<(Duration, Duration)> {
    let killed = Instant::now();
    let old_leader = fleet.members[leader].peers;
    fleet.members[leader].daemon.kill();
    let survivor = fleet.members[(leader + 1) % fleet.members.len()].operators;
    let accepted = async {
        loop {
            let operation = Operation::DataCentreReturn {
                data_centre: "dc9".into(),
            };
            let outcome = fleet
                .operator
                .change(survivor, "failover", version, operation)
                .await;
            if outcome.is_ok_and(|o| o.verdict == api::Verdict::Accepted) {
                return killed.elapsed();
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    let all_back = wait_for("confirmation from a new leader at every session", || {
        let last = sessions.stats.iter().map(|s| s.last_confirmation());
        last.into_iter()
            .all(|l| l.is_some_and(|(at, from)| at > killed && from != old_leader))
    });
    let (accepted, all_back) = tokio::join!(accepted, all_back);
    Ok((accepted, all_back?))
}
