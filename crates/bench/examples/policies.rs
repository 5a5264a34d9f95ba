//! Compares the daemon's default policy for choosing upstreams with baselines
//! under load and faults: random and round robin behind the same gate, and
//! least in flight without a gate. Uses real processes on loopback in the sizes
//! of two users' fleets.

use argh::FromArgs;
use bench::fleet::{Fleet, FleetOptions, ServiceOptions};
use bench::load::{FlowResult, LoadOptions, finish, start};
use miette::{IntoDiagnostic, Result, miette};
use serde_json::Value;
use std::time::Duration;
use tokio::time::sleep;

const POLICIES: [Option<&str>; 4] = [
    None,
    Some("random"),
    Some("round_robin"),
    Some("least_in_flight_without_gate"),
];
const FAULTS: [&str; 5] = ["none", "straggler", "fast_failing", "restarting", "noisy"];
/// Loads without a fault, as fractions of the slots' capacity.
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.5];
/// Load with a fault.
const FAULT_LOAD: f64 = 0.8;
/// Factor on the service time of a straggler.
const STRAGGLER_FACTOR: u64 = 10;
/// Classes: name, fraction of the requests, weight.
const CLASSES: [(&str, f64, f64); 3] = [
    ("page", 0.7, 1.0),
    ("slots", 0.2, 4.0),
    ("check", 0.1, 10.0),
];

/// Compares policies for choosing upstreams.
#[derive(FromArgs)]
struct Options {
    /// users whose fleets are started, separated by commas
    #[argh(option, default = "String::from(\"baanvrij,te-matakitaki\")")]
    users: String,
    /// faults, separated by commas
    #[argh(option, default = "FAULTS.join(\",\")")]
    faults: String,
    /// measured seconds of each run
    #[argh(option, default = "6")]
    seconds: u64,
    /// responses after which a cold gate opens another slot, if not the default
    #[argh(option)]
    ramp_answers: Option<u32>,
    /// runs only the default policy, without baselines
    #[argh(switch)]
    alone: bool,
}

struct User {
    name: &'static str,
    data_centres: usize,
    service: &'static str,
    instances: usize,
    slots: u32,
    service_us: u64,
}

const USERS: [User; 2] = [
    User {
        name: "baanvrij",
        data_centres: 4,
        service: "booking",
        instances: 5,
        slots: 6,
        service_us: 20_000,
    },
    User {
        name: "te-matakitaki",
        data_centres: 3,
        service: "panel",
        instances: 5,
        slots: 12,
        service_us: 40_000,
    },
];

impl User {
    /// Returns the requests per second that all slots can serve.
    fn capacity(&self) -> f64 {
        let slots = self.instances as f64 * f64::from(self.slots);
        slots / Duration::from_micros(self.service_us).as_secs_f64()
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    println!(
        "user           policy                        fault        load  p50_ms  p99_ms  p999_ms  \
         answered_%  of_capacity_%  errors  overloads"
    );
    for user in USERS.iter().filter(|u| options.users.contains(u.name)) {
        for fault in FAULTS.iter().filter(|f| options.faults.contains(**f)) {
            for policy in POLICIES
                .iter()
                .take(if options.alone { 1 } else { POLICIES.len() })
            {
                measure(user, *policy, fault, &options).await?;
            }
        }
    }
    Ok(())
}

async fn measure(user: &User, policy: Option<&str>, fault: &str, options: &Options) -> Result<()> {
    let mut fleet = Fleet::start(&fleet_options(user, policy, fault, options)).await?;
    warm_up(user, &fleet).await?;
    let loads: &[f64] = if fault == "none" {
        &LOADS
    } else {
        &[FAULT_LOAD]
    };
    for load in loads {
        let before = fetch_counts(&fleet).await;
        let run = start(
            &load_options(user, &fleet, *load, options.seconds),
            fleet.dir(),
        )?;
        if fault == "restarting" {
            sleep(Duration::from_secs(1 + options.seconds / 3)).await;
            fleet.restart_upstream(0)?;
        }
        let results = finish(run, fleet.dir()).await?;
        let counts = fetch_counts(&fleet).await.since(before);
        let run = Run {
            user,
            policy: policy.unwrap_or("two_choices"),
            fault,
            load: *load,
            seconds: options.seconds,
        };
        print(&run, &results, counts);
    }
    Ok(())
}

fn fleet_options(
    user: &User,
    policy: Option<&str>,
    fault: &str,
    options: &Options,
) -> FleetOptions {
    let arg = |name: &str, value: String| [format!("--{name}"), value];
    let jitter = if fault == "noisy" { "0.95" } else { "0.3" };
    let mut upstream_args = arg("jitter", jitter.into()).to_vec();
    upstream_args.extend(arg("cold-ms", "2000".into()));
    let normal_args = arg("service-us", user.service_us.to_string()).to_vec();
    let mut first_args = normal_args.clone();
    match fault {
        "straggler" => first_args[1] = (user.service_us * STRAGGLER_FACTOR).to_string(),
        "fast_failing" => first_args.extend(arg("fail", "1.0".into())),
        _ => {}
    }
    FleetOptions {
        data_centres: (1..=user.data_centres).map(|n| format!("dc{n}")).collect(),
        services: vec![ServiceOptions {
            name: user.service.into(),
            instances: user.instances,
            slots: user.slots,
            upstream_args,
            first_args,
            other_args: normal_args,
        }],
        replicas: 3,
        policy: policy.map(str::to_owned),
        settings: settings(options),
        control: String::new(),
        plans: plans(),
        customers: "[customers]\nmembers = all\n".into(),
    }
}

fn settings(options: &Options) -> String {
    let ramp = options.ramp_answers;
    let gate = ramp.map(|responses| format!("[gate]\nramp-answers = {responses}\n"));
    format!("[log]\nsample = 0\n{}", gate.unwrap_or_default())
}

fn plans() -> String {
    let mut text =
        "[plan all]\nrate = 100000\nburst = 100000\nin-flight = 100000\nshare = 1\n".to_owned();
    for (name, _, weight) in CLASSES {
        text.push_str(&format!(
            "[class {name}]\nweight = {weight}\nidempotent = yes\nkey = optional\ndeadline = 2 s\n"
        ));
    }
    text
}

fn load_options(user: &User, fleet: &Fleet, load: f64, seconds: u64) -> LoadOptions {
    let flows = CLASSES
        .iter()
        .map(|(class, share, _)| {
            let rate = user.capacity() * load * share;
            format!(
                "service={} customer=members class={class} rate={rate:.1}",
                user.service
            )
        })
        .collect();
    LoadOptions {
        daemons: fleet.callers(),
        flows,
        seconds,
        warm_up: 2,
        connections: 64,
        args: Vec::new(),
    }
}

/// Sends a light load until the upstreams are warm.
async fn warm_up(user: &User, fleet: &Fleet) -> Result<()> {
    sleep(Duration::from_secs(11)).await;
    let run = start(&load_options(user, fleet, 0.5, 1), fleet.dir())?;
    finish(run, fleet.dir()).await.map(drop)
}

/// Sum of the counters of all upstreams.
#[derive(Clone, Copy, Default)]
struct Counts {
    finished: u64,
    busy_us: u64,
    overloads: u64,
}

impl Counts {
    fn since(self, before: Self) -> Self {
        Self {
            finished: self.finished.saturating_sub(before.finished),
            busy_us: self.busy_us.saturating_sub(before.busy_us),
            overloads: self.overloads.saturating_sub(before.overloads),
        }
    }

    /// Returns the mean service time of a request.
    fn service_time(self) -> Duration {
        Duration::from_micros(self.busy_us / self.finished.max(1))
    }
}

async fn fetch_counts(fleet: &Fleet) -> Counts {
    let mut sum = Counts::default();
    for member in &fleet.members {
        // An upstream that has just been restarted may not respond yet.
        let one = fetch_upstream_counts(member.upstream)
            .await
            .unwrap_or_default();
        sum.finished += one.finished;
        sum.busy_us += one.busy_us;
        sum.overloads += one.overloads;
    }
    sum
}

async fn fetch_upstream_counts(upstream: std::net::SocketAddr) -> Result<Counts> {
    let res = reqwest::get(format!("http://{upstream}/counts"))
        .await
        .into_diagnostic()?;
    let counts: Value = res.json().await.into_diagnostic()?;
    let count = |name: &str| {
        counts[name]
            .as_u64()
            .ok_or_else(|| miette!("upstream {upstream} reports no counter {name}"))
    };
    Ok(Counts {
        finished: count("finished")?,
        busy_us: count("busy_us")?,
        overloads: count("overloads")?,
    })
}

struct Run<'a> {
    user: &'a User,
    policy: &'a str,
    fault: &'a str,
    load: f64,
    seconds: u64,
}

fn print(run: &Run<'_>, results: &[FlowResult], counts: Counts) {
    let Some((all, classes)) = results.split_last() else {
        return;
    };
    let weighted = |f: fn(&FlowResult) -> f64| -> f64 {
        let flows = classes.iter().zip(CLASSES);
        flows.map(|(r, (_, _, weight))| f(r) * weight).sum()
    };
    let answered = weighted(|r| r.answered as f64) / weighted(|r| r.requests() as f64);
    // The used fraction of the slots' time, based on the measured service time.
    let slots = run.user.instances as f64 * f64::from(run.user.slots);
    let work = all.answered as f64 * counts.service_time().as_secs_f64();
    let of_capacity = work / (run.seconds as f64 * slots);
    println!(
        "{:13}  {:28}  {:11}  {:4.0}  {:6.1}  {:6.1}  {:7.1}  {:10.2}  {:13.1}  {:6}  {:9}",
        run.user.name,
        run.policy,
        run.fault,
        run.load * 100.0,
        all.latency_ms[0],
        all.latency_ms[1],
        all.latency_ms[2],
        answered * 100.0,
        of_capacity * 100.0,
        all.errors + all.unanswered,
        counts.overloads,
    );
}
