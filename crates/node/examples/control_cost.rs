//! Measures the CPU time and memory cost of the control plane in one process,
//! without sockets: `cargo run --release -p node --example control_cost`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "../tests/common/mod.rs"]
mod common;

use bytes::Bytes;
use claims::{ClaimKey, Claims, Limits};
use common::{Simulation, TICK};
use conf::{ConfigState, Configuration, PageOutcome, TransferReceiver, Transfers, prepare_change};
use node::Event;
use prost::Message;
use std::ops::Range;
use std::time::{Duration, Instant};
use wire::{
    Announcement, Body, ChangeOperation, ChangeRequest, ClaimDecision, ClaimRequest, ClaimSettle,
    ConfigDelta, ControlRequest, Frame, Heartbeat, Lists, OperationKind, Route, RouteDestination,
    RouteKind, RoutingChange, ServiceRules, SettleKind, Subscription, control_reply,
    control_request,
};

/// Simulated duration of a measurement, in seconds.
const SECONDS: u32 = 10;
/// Number of services in the fleet.
const SERVICES: usize = 42;
/// Number of services that each daemon subscribes to.
const SUBSCRIPTIONS: usize = 10;
const CUSTOMERS: usize = 100_000;
const CLAIMS: u64 = 100_000;
const LIMITS: Limits = Limits {
    retention_ms: 86_400_000,
    max_claims: 1_000_000,
};

fn main() {
    println!("heartbeat sessions at the leader of three replicas, one heartbeat a second each,");
    println!("{SUBSCRIPTIONS} subscriptions; steps, decoding and encoding, without sockets");
    for daemons in [100, 300, 960] {
        sessions(daemons);
    }
    for rate in [100, 1_000, 5_000] {
        claim_rate(rate);
    }
    memory();
    lists();
    routings();
    failover();
}

/// The heartbeat session of a daemon that does nothing else.
struct Session {
    heartbeat: Heartbeat,
}

impl Session {
    fn new(i: usize) -> Self {
        let service = |n: usize| format!("service-{:02}", n % SERVICES);
        let subscriptions = (0..SUBSCRIPTIONS).map(|n| Subscription {
            service: service(i + n * 4),
            epoch: 0,
            version: 0,
            checksums: Vec::new(),
        });
        Self {
            heartbeat: Heartbeat {
                daemon: format!("daemon-{i:04}"),
                incarnation: i as u64,
                address: format!("10.0.{}.{}:7300", i / 250, i % 250),
                data_centre: format!("dc{}", i % 5),
                upstream: Some(Announcement {
                    service: service(i),
                    slots: 12,
                    boot: format!("boot-{i}"),
                    leaving: false,
                    ..Announcement::default()
                }),
                subscriptions: subscriptions.collect(),
                age_ms: 1_000_000,
                ..Heartbeat::default()
            },
        }
    }

    fn next(&mut self) -> Vec<u8> {
        self.heartbeat.sequence += 1;
        let body = Body::Heartbeat(self.heartbeat.clone());
        Frame::new(body).encode_to_vec()
    }

    fn apply(&mut self, reply: &wire::HeartbeatReply) {
        self.heartbeat.config_version = reply.config_version;
        if !reply.homes.is_empty() {
            self.heartbeat.homes_hash = fleet::homes_hash(&reply.homes);
        }
        for delta in &reply.services {
            for held in &mut self.heartbeat.subscriptions {
                if held.service == delta.service {
                    (held.epoch, held.version) = (delta.epoch, delta.version);
                }
            }
        }
    }
}

fn sessions(count: usize) {
    let mut sim = Simulation::new(3, 0, 1);
    sim.event(0, Event::Initialise);
    sim.run(Duration::from_secs(15));
    let leader = sim
        .daemons
        .iter()
        .position(|d| d.is_leader())
        .expect("a leader");
    let mut sessions: Vec<Session> = (0..count).map(Session::new).collect();
    // Measures the idle cost, then runs two unmeasured seconds in which all
    // daemons register and receive the configuration and services.
    let idle = round(&mut sim, leader, &mut [], SECONDS);
    round(&mut sim, leader, &mut sessions, 2);
    let busy = round(&mut sim, leader, &mut sessions, SECONDS);
    let time = (busy.time - idle.time) / SECONDS / count as u32;
    println!(
        "daemons={count} core_share={:.3}% (idle {:.3}%) per_heartbeat={:.1}us heartbeat={}B reply={}B",
        100.0 * busy.time.as_secs_f64() / f64::from(SECONDS),
        100.0 * idle.time.as_secs_f64() / f64::from(SECONDS),
        time.as_secs_f64() * 1e6,
        busy.sent / busy.count.max(1),
        busy.received / busy.count.max(1),
    );
}

#[derive(Default)]
struct Cost {
    time: Duration,
    count: usize,
    sent: usize,
    received: usize,
}

fn round(sim: &mut Simulation, leader: usize, sessions: &mut [Session], seconds: u32) -> Cost {
    let mut cost = Cost::default();
    let before = sim.step_time[leader];
    let ticks = 1_000 / TICK.as_millis() as usize;
    for tick in 0..seconds as usize * ticks {
        let count = sessions.len();
        let due = (0..count).filter(|i| i * ticks / count == tick % ticks);
        for i in due {
            let bytes = sessions[i].next();
            cost.sent += bytes.len();
            let start = Instant::now();
            let frame = Frame::decode(bytes.as_slice()).expect("a frame");
            cost.time += start.elapsed();
            let event = Event::Received {
                link: Some(1_000_000 + i as u64),
                daemon: sessions[i].heartbeat.daemon.as_str().into(),
                body: frame.body.expect("a body"),
            };
            sim.event(leader, event);
        }
        sim.tick();
        for (link, body) in std::mem::take(&mut sim.unrouted_replies) {
            let start = Instant::now();
            let bytes = Frame::new(body.clone()).encode_to_vec();
            cost.time += start.elapsed();
            cost.received += bytes.len();
            cost.count += 1;
            if let Body::HeartbeatReply(reply) = &body {
                assert!(reply.confirmed);
                sessions[(link - 1_000_000) as usize].apply(reply);
            }
        }
    }
    cost.time += sim.step_time[leader] - before;
    cost
}

/// Measures claims at a given rate per second at the leader of three replicas.
/// Each granted claim is settled a tick later.
fn claim_rate(rate: usize) {
    let mut sim = Simulation::new(3, 0, 1);
    sim.event(0, Event::Initialise);
    sim.run(Duration::from_secs(15));
    let leader = sim
        .daemons
        .iter()
        .position(|d| d.is_leader())
        .expect("a leader");
    let per_tick = rate * TICK.as_millis() as usize / 1_000;
    let before = sim.step_time.clone();
    let (mut granted, mut nonce) = (0, 0);
    for _ in 0..SECONDS as usize * 1_000 / TICK.as_millis() as usize {
        for _ in 0..per_tick {
            nonce += 1;
            let claim = ClaimRequest {
                customer: "customer-000007".to_owned(),
                service: "booking".to_owned(),
                key: format!("key-{nonce:032}"),
                fingerprint: nonce,
                daemon: "daemon-0001".to_owned(),
                nonce,
            };
            send_request(&mut sim, leader, nonce, control_request::Kind::Claim(claim));
        }
        sim.tick();
        for (_, body) in std::mem::take(&mut sim.unrouted_replies) {
            let Body::ControlReply(reply) = body else {
                continue;
            };
            let Some(control_reply::Kind::Claim(outcome)) = reply.kind else {
                continue;
            };
            if outcome.decision() != ClaimDecision::Granted {
                continue;
            }
            granted += 1;
            let settle = ClaimSettle {
                customer: "customer-000007".to_owned(),
                service: "booking".to_owned(),
                key: format!("key-{:032}", reply.id),
                claim: outcome.claim,
                kind: SettleKind::Finished as i32,
                status: 201,
                nonce: 0,
            };
            send_request(
                &mut sim,
                leader,
                reply.id,
                control_request::Kind::Settle(settle),
            );
        }
    }
    let core_shares: Vec<f64> = (0..3)
        .map(|i| (sim.step_time[i] - before[i]).as_secs_f64() / f64::from(SECONDS))
        .collect();
    let followers = core_shares.iter().sum::<f64>() - core_shares[leader];
    println!(
        "claims={rate}/s granted={granted} leader={:.2}% of a core, a follower={:.2}% (steps only, settlements too)",
        100.0 * core_shares[leader],
        100.0 * followers / 2.0
    );
}

fn send_request(sim: &mut Simulation, leader: usize, id: u64, kind: control_request::Kind) {
    let request = ControlRequest {
        id,
        kind: Some(kind),
    };
    let event = Event::Received {
        link: Some(1_000_000),
        daemon: "daemon-0001".into(),
        body: Body::ControlRequest(request),
    };
    sim.event(leader, event);
}

fn customers(changed: Option<usize>) -> String {
    let lines = (0..CUSTOMERS).map(|n| {
        let plan = if Some(n) == changed { "basic" } else { "gold" };
        format!("customer-{n:06} = {plan}\n")
    });
    format!("[customers]\n{}", lines.collect::<String>())
}

fn lists_request(change: &str, base: u64, customers: String) -> ChangeRequest {
    let plans = ["gold", "basic"].map(|p| format!("[plan {p}]\nrate = 5\nin-flight = 2\n"));
    ChangeRequest {
        change: change.to_owned(),
        base,
        author: "operator".to_owned(),
        operation: Some(ChangeOperation {
            kind: OperationKind::Lists as i32,
            target: String::new(),
            lists: Some(Lists {
                customers: Some(customers),
                plans: (base == 1).then(|| plans.concat()),
            }),
        }),
    }
}

fn timed<T>(f: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let value = f();
    (value, start.elapsed().as_secs_f64() * 1e3)
}

fn lists() {
    println!("a list of {CUSTOMERS} customers, then a change of one; times in ms");
    let mut state = ConfigState::default();
    state.initialise();
    let mut config = Configuration::default();
    for (name, request) in [
        ("whole", lists_request("a", 1, customers(None))),
        ("one", lists_request("b", 2, customers(Some(7)))),
    ] {
        let request_bytes = request.encoded_len();
        let (command, prepared) = timed(|| prepare_change(state.current(), &request, 0));
        let logged = command.encoded_len();
        let (_, applied) = timed(|| state.apply(command));
        let mut transfers = Transfers::default();
        let mut receiver = TransferReceiver::default();
        let (mut pages, mut bytes, mut first) = (0, 0, 0.0);
        let (mut taken, mut longest) = (0.0, 0.0f64);
        loop {
            let held = config.version;
            let (page, split) = timed(|| transfers.page(&state, held, receiver.next_page(), true));
            let page = page.expect("a configuration page");
            first += split;
            pages += 1;
            bytes += page.encoded_len();
            let (received, took) = timed(|| receiver.receive_page(&mut config, 1, page));
            taken += took;
            longest = longest.max(took);
            if received == Ok(PageOutcome::Applied) {
                break;
            }
        }
        println!(
            "change={name} asked={request_bytes}B logged={logged}B prepare={prepared:.1} apply={applied:.1} pages={pages} sent={bytes}B split={first:.1} daemon_apply={taken:.1} longest_page={longest:.1}"
        );
    }
    let (snapshot, encode) = timed(|| state.snapshot().encode_to_vec());
    println!("snapshot={}B encode={encode:.1}", snapshot.len());
}

/// Returns a change that sets routes on top of the current routing.
fn routing_change(state: &ConfigState, routes: Range<usize>) -> RoutingChange {
    let base = state.current().routing.content().version;
    let route = |n| Route {
        name: format!("route-{n:06}"),
        host: "a.example".to_owned(),
        prefix: format!("/{n:06}/"),
        kind: RouteKind::Idempotent.into(),
        timeout_ms: 800 + base,
        attempts: 2,
        destinations: vec![RouteDestination {
            service: "booking".to_owned(),
            weight: 1,
        }],
        ..Route::default()
    };
    RoutingChange {
        version: base + 1,
        base,
        full: base == 0,
        routes: routes.map(route).collect(),
        services: vec![ServiceRules {
            name: "booking".to_owned(),
            ..ServiceRules::default()
        }],
        ..RoutingChange::default()
    }
}

/// Measures a change of a routing at a replica, the leader and a daemon.
fn routings() {
    println!("routings, then a change of 1,900 routes and one of one route; times in ms");
    for count in [2_000, 6_000, 20_000, 60_000] {
        let mut state = ConfigState::default();
        state.initialise();
        let mut config = Configuration::default();
        for (name, routes) in [("whole", 0..count), ("1900", 0..1_900), ("one", 7..8)] {
            let change = routing_change(&state, routes);
            let (outcome, applied) = timed(|| state.apply_routing(&change));
            assert!(outcome.findings.is_empty());
            let mut transfers = Transfers::default();
            let held = config.version;
            let page = transfers.page(&state, held, 0, true).expect("a page");
            let mut transfers = Transfers::default();
            let (compressed, first) = timed(|| transfers.compressed_page(&state, held, 0));
            let (_, next) = timed(|| transfers.compressed_page(&state, held, 0));
            let (plain_bytes, bytes) = (
                page.encoded_len(),
                compressed.as_ref().map_or(0, Bytes::len),
            );
            let (_, received) = timed(|| {
                let page = match compressed {
                    Some(compressed) => ConfigDelta::decompress(&compressed).expect("a page"),
                    None => page,
                };
                TransferReceiver::default().receive_page(&mut config, 1, page)
            });
            assert_eq!(config.version, state.current().version);
            println!(
                "routes={count} change={name} apply={applied:.1} plain={plain_bytes}B compressed={bytes}B build={first:.1} next={next:.3} daemon_apply={received:.1}"
            );
        }
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").expect("statm");
    let pages = statm.split_whitespace().nth(1).expect("resident");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

/// Returns the mean memory of a value over several copies, in bytes.
fn copies<T>(f: impl Fn() -> T) -> f64 {
    const COPIES: usize = 10;
    let before = resident();
    let copies: Vec<T> = (0..COPIES).map(|_| f()).collect();
    let bytes = resident().saturating_sub(before);
    drop(copies);
    bytes as f64 / COPIES as f64
}

fn memory() {
    let mut state = ConfigState::default();
    state.initialise();
    let request = lists_request("a", 1, customers(None));
    let command = prepare_change(state.current(), &request, 0);
    state.apply(command);
    let customers = copies(|| state.current().clone());
    let claims = copies(|| {
        let mut claims = Claims::default();
        for n in 0..CLAIMS {
            let key = ClaimKey::new(0, "customer-000007", "booking", &format!("key-{n:032}"));
            claims.claim(key, n, n, n + 1, LIMITS);
        }
        claims
    });
    println!(
        "memory, mean of ten copies: {CUSTOMERS} customers {:.1}MB, {CLAIMS} claims {:.1}MB",
        customers / 1e6,
        claims / 1e6
    );
}

/// Measures, in simulated time, how long three replicas with 20 further daemons
/// have no leader after the leader was killed.
fn failover() {
    const SEEDS: u64 = 50;
    let mut without_leader = Vec::new();
    let mut oldest_confirmation = Vec::new();
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(3, 20, seed);
        sim.event(0, Event::Initialise);
        sim.run(Duration::from_secs(15));
        let leader = sim
            .daemons
            .iter()
            .position(|d| d.is_leader())
            .expect("a leader");
        sim.run(Duration::from_millis(seed * 37 % 1_000));
        sim.kill(leader);
        let limit = Duration::from_secs(20);
        let elected = sim.run_until(limit, |s| s.daemons.iter().any(|d| d.is_leader()));
        without_leader.push(elected.expect("a new leader"));
        let mut oldest = Duration::ZERO;
        for _ in 0..500 {
            sim.tick();
            let nodes = sim.daemons.iter().filter_map(|d| d.node.as_ref());
            let ages = nodes.filter_map(|n| n.agent.freshness_age(sim.now));
            oldest = oldest.max(ages.max().unwrap_or_default());
        }
        oldest_confirmation.push(oldest);
    }
    without_leader.sort();
    oldest_confirmation.sort();
    println!(
        "leader killed, {SEEDS} seeds, in simulated time: without leader median={:?} most={:?}, oldest confirmation at a daemon median={:?} most={:?}",
        without_leader[SEEDS as usize / 2],
        without_leader[SEEDS as usize - 1],
        oldest_confirmation[SEEDS as usize / 2],
        oldest_confirmation[SEEDS as usize - 1],
    );
}
