//! Measures requests that crash upstreams. The caller of such a request retries
//! at once through the next daemon; the run shows how many upstreams crash, how
//! many tries it takes until the request is refused as convicted, and how long
//! normal requests in flight at the first crashed upstream are refused. Exits
//! with an error if too many upstreams crash or a normal request is convicted.

use argh::FromArgs;
use bench::fleet::{Fleet, FleetOptions, ServiceOptions};
use miette::{Result, miette};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

const CLASSES: &str =
    "[class page]\nweight = 1\nidempotent = yes\nkey = optional\ndeadline = 5 s\n";
const SLOTS: u32 = 6;
/// Service time of a normal request.
const SERVICE_TIME: Duration = Duration::from_millis(500);
/// Delay before the crashing request, in which the normal requests reach the
/// upstreams.
const IN_FLIGHT_DELAY: Duration = Duration::from_millis(200);
/// Delay before a crashed upstream is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of tries of the crashing request.
const MAX_TRIES: usize = 30;
/// Pause before the final try, and between rounds.
const ROUND_PAUSE: Duration = Duration::from_secs(3);
/// Maximum time for which a normal request is retried.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks of the upstreams.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Status of a refusal because of the limits of the customer's plan. Such a
/// refusal is not an effect of a crash.
const PLAN_REFUSAL_STATUS: u16 = 429;
/// Reason of the permanent refusal of a request that crashed upstreams.
const CONVICTED_REASON: &str = "convicted";
/// Maximum number of upstreams that one request may crash.
const MAX_CRASHED: usize = 2;

/// Measures requests that crash upstreams.
#[derive(FromArgs)]
struct Options {
    /// numbers of upstreams, separated by commas
    #[argh(option, default = "String::from(\"5,23\")")]
    sizes: String,
    /// rounds at each number of upstreams
    #[argh(option, default = "5")]
    rounds: usize,
    /// pause between the tries of the crashing request, in milliseconds
    #[argh(option, default = "0")]
    pause_ms: u64,
}

/// A response: HTTP status, and the reason if no upstream sent it.
type Response = (u16, String);

/// Outcome of the crashing request.
struct CrashOutcome {
    /// Number of tries until it was refused as convicted.
    convicted: Option<usize>,
    duration: Duration,
    responses: Vec<Response>,
}

/// Outcome of a normal request.
struct NormalOutcome {
    duration: Duration,
    /// Time from its first refusal, except for the plan's limits, to its final
    /// response.
    refused: Option<Duration>,
    responses: Vec<Response>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    println!(
        "upstreams  round  lost  tries_until_convicted  convicted_ms  afterwards  hit  hit_convicted  \
         innocent_ms  refused_ms"
    );
    let mut failed_rounds = 0;
    let sizes = options
        .sizes
        .split(',')
        .filter_map(|s| s.trim().parse().ok());
    for size in sizes {
        let mut fleet = Fleet::start(&fleet_options(size)).await?;
        sleep(Duration::from_secs(2)).await;
        for number in 1..=options.rounds {
            let targets_met = run_round(&mut fleet, number, &options).await?;
            failed_rounds += usize::from(!targets_met);
        }
    }
    match failed_rounds {
        0 => Ok(()),
        rounds => Err(miette!(
            "more than {MAX_CRASHED} upstreams crashed, or a normal request was convicted, in \
             {rounds} rounds"
        )),
    }
}

fn fleet_options(size: usize) -> FleetOptions {
    let mut service = ServiceOptions::immediate("booking", size, SLOTS);
    let micros = SERVICE_TIME.as_micros().to_string();
    service.upstream_args = ["--service-us", &micros, "--jitter", "0"]
        .map(str::to_owned)
        .to_vec();
    FleetOptions::unlimited(vec![service], CLASSES)
}

/// Runs one round and returns whether the targets were met.
async fn run_round(fleet: &mut Fleet, number: usize, options: &Options) -> Result<bool> {
    let daemons: Arc<Vec<SocketAddr>> = Arc::new(fleet.callers());
    let mut normal_requests = JoinSet::new();
    // Two for each upstream, so that one is in flight wherever the crash is.
    for index in 0..daemons.len() * 2 {
        normal_requests.spawn(send_normal(daemons.clone(), number, index));
    }
    sleep(IN_FLIGHT_DELAY).await;
    let pause = Duration::from_millis(options.pause_ms);
    let done = Arc::new(Notify::new());
    let crashing = tokio::spawn(send_crashing(daemons.clone(), number, pause, done.clone()));
    let crashed = restart_crashed(fleet, &done).await?;
    let crashing = crashing.await.map_err(|err| miette!("{err}"))?;
    let normal_requests = normal_requests.join_all().await;
    print(
        fleet.members.len(),
        number,
        crashed,
        &crashing,
        &normal_requests,
    );
    wait_registered(fleet).await?;
    Ok(crashed <= MAX_CRASHED && convicted_count(&normal_requests) == 0)
}

/// Counts crashed upstreams and starts them again, until the crashing request
/// is finished and every upstream runs.
async fn restart_crashed(fleet: &mut Fleet, done: &Notify) -> Result<usize> {
    let mut crashed = 0;
    let mut down: Vec<(usize, Instant)> = Vec::new();
    let mut finished = false;
    while !finished || !down.is_empty() {
        for index in 0..fleet.members.len() {
            let is_down = down.iter().any(|(i, _)| *i == index);
            if !is_down && !fleet.members[index].upstream_process.is_running() {
                crashed += 1;
                down.push((index, Instant::now()));
            }
        }
        let due = |(_, at): &(usize, Instant)| at.elapsed() >= RESTART_DELAY;
        for (index, _) in down.iter().filter(|d| due(d)) {
            fleet.restart_upstream(*index)?;
        }
        down.retain(|d| !due(d));
        tokio::select! {
            () = done.notified() => finished = true,
            () = sleep(POLL_INTERVAL) => {}
        }
    }
    Ok(crashed)
}

/// Sends the crashing request until it is refused as convicted, and once more
/// after a pause.
async fn send_crashing(
    daemons: Arc<Vec<SocketAddr>>,
    number: usize,
    pause: Duration,
    done: Arc<Notify>,
) -> CrashOutcome {
    let http = reqwest::Client::new();
    let path = format!("crash-{number}");
    let started = Instant::now();
    let mut crashing = CrashOutcome {
        convicted: None,
        duration: Duration::ZERO,
        responses: Vec::new(),
    };
    for index in 0..MAX_TRIES {
        let response = send(&http, daemons[index % daemons.len()], &path, true).await;
        let convicted = response.1 == CONVICTED_REASON;
        crashing.responses.push(response);
        if convicted {
            crashing.convicted = Some(index + 1);
            break;
        }
        sleep(pause).await;
    }
    crashing.duration = started.elapsed();
    sleep(ROUND_PAUSE).await;
    let last = daemons[daemons.len() - 1];
    crashing
        .responses
        .push(send(&http, last, &path, true).await);
    // Waits for the detection of a crash that the last try may have caused.
    sleep(POLL_INTERVAL * 10).await;
    done.notify_one();
    crashing
}

/// Sends a normal request through the daemons in turn until it succeeds or
/// is refused as convicted, or [`TIMEOUT`] has passed.
async fn send_normal(daemons: Arc<Vec<SocketAddr>>, round: usize, index: usize) -> NormalOutcome {
    let http = reqwest::Client::new();
    let path = format!("innocent-{round}-{index}");
    let started = Instant::now();
    let mut first_refusal = None;
    let mut responses = Vec::new();
    for try_index in index.. {
        let response = send(&http, daemons[try_index % daemons.len()], &path, false).await;
        let status = response.0;
        let finished = status == 200 || response.1 == CONVICTED_REASON;
        responses.push(response);
        if finished || started.elapsed() > TIMEOUT {
            break;
        }
        if status != PLAN_REFUSAL_STATUS {
            first_refusal.get_or_insert_with(Instant::now);
        }
        sleep(POLL_INTERVAL).await;
    }
    NormalOutcome {
        duration: started.elapsed(),
        refused: first_refusal.map(|at| at.elapsed()),
        responses,
    }
}

async fn send(http: &reqwest::Client, daemon: SocketAddr, path: &str, crash: bool) -> Response {
    let mut req = http
        .post(format!("http://{daemon}/{path}"))
        .header("plumhitch-customer", "members")
        .header("plumhitch-service", "booking")
        .header("plumhitch-class", "page");
    if crash {
        req = req.header("x-crash", "yes");
    }
    let Ok(res) = req.send().await else {
        return (0, "unanswered".into());
    };
    let reason = res.headers().get("plumhitch-reason");
    let reason = reason
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_owned();
    (res.status().as_u16(), reason)
}

async fn wait_registered(fleet: &Fleet) -> Result<()> {
    let all = fleet.members.len();
    let first = fleet.members[0].operators;
    let registered =
        |s: &api::StatusBody| s.services.iter().map(|s| s.upstreams.len()).sum::<usize>() >= all;
    fleet
        .operator
        .wait_for_status(first, TIMEOUT, registered)
        .await?;
    sleep(ROUND_PAUSE).await;
    Ok(())
}

fn print(
    size: usize,
    number: usize,
    crashed: usize,
    crashing: &CrashOutcome,
    normal_requests: &[NormalOutcome],
) {
    let ms = |time: Duration| time.as_millis();
    let affected = normal_requests.iter().filter(|n| was_affected(n));
    let longest = normal_requests
        .iter()
        .map(|n| n.duration)
        .max()
        .unwrap_or_default();
    let refused = normal_requests
        .iter()
        .filter_map(|n| n.refused)
        .max()
        .unwrap_or_default();
    println!(
        "{size:9}  {number:5}  {crashed:4}  {:>21}  {:12}  {:>10}  {:3}  {:13}  {:11}  {:10}",
        crashing.convicted.map_or("never".into(), |n| n.to_string()),
        ms(crashing.duration),
        crashing.responses.last().map_or("", |(_, reason)| reason),
        affected.count(),
        convicted_count(normal_requests),
        ms(longest),
        ms(refused),
    );
    println!("  request: {}", summarise(&crashing.responses));
    let slowest = normal_requests.iter().max_by_key(|n| n.duration);
    println!(
        "  slowest innocent: {}",
        slowest.map_or(String::new(), |n| summarise(&n.responses))
    );
}

/// Returns whether a crash caused a refusal or a delay of a request.
fn was_affected(normal: &NormalOutcome) -> bool {
    let plan_refused = normal
        .responses
        .iter()
        .any(|(s, _)| *s == PLAN_REFUSAL_STATUS);
    let late = normal.duration > SERVICE_TIME + IN_FLIGHT_DELAY;
    normal.refused.is_some() || (late && !plan_refused)
}

/// Returns the number of requests that were refused as convicted.
fn convicted_count(normal_requests: &[NormalOutcome]) -> usize {
    let last = normal_requests.iter().filter_map(|n| n.responses.last());
    last.filter(|(_, reason)| reason == CONVICTED_REASON)
        .count()
}

/// Returns a text with the count of each response and the status of the last
/// one.
fn summarise(responses: &[Response]) -> String {
    let mut counts: Vec<(&Response, usize)> = Vec::new();
    for response in responses {
        match counts.iter_mut().find(|(counted, _)| *counted == response) {
            Some((_, count)) => *count += 1,
            None => counts.push((response, 1)),
        }
    }
    let one =
        |((status, reason), count): &(&Response, usize)| format!("{count}x {status} {reason}");
    let all: Vec<String> = counts.iter().map(one).collect();
    let last = responses.last().map_or(0, |(status, _)| *status);
    format!("{}; last {last}", all.join(", "))
}
