//! Scenarios of the control plane with a few daemons. Each script in
//! `tests/scenarios/control` runs on the simulation of the `common` module.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::Simulation;
use goldenscript::{Command, Runner};
use node::admission;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::time::Duration;
use test_case::test_case;
use wire::{
    Announcement, ChangeOperation, ChangeOutcome, ChangeRequest, ChangeResult, ClaimDecision,
    ClaimOutcome, ClaimRequest, ClaimSettle, HistoryRequest, Lists, OperationKind, SettleKind,
    StatusRequest, Suspect, SuspectState, Verdict, control_reply, control_request,
};

type Output = Result<String, Box<dyn Error>>;

/// Time within which a condition must hold.
const SETTLE: Duration = Duration::from_secs(30);

/// Fingerprint of a request that crashes upstreams.
const CONVICTED: u64 = 77;

#[derive(Default)]
struct Script {
    sim: Option<Simulation>,
    aliases: BTreeMap<String, usize>,
    /// Number of the last granted claim.
    last_claim: u64,
}

impl Script {
    fn sim(&mut self) -> &mut Simulation {
        self.sim
            .as_mut()
            .expect("the script must start with the command cluster")
    }

    /// Returns the index of a daemon by name or alias. `leader` and `follower`
    /// refer to the current roles.
    fn daemon(&mut self, name: &str) -> usize {
        if let Some(i) = self.aliases.get(name) {
            return *i;
        }
        let sim = self.sim();
        let controls = sim.daemons.iter().enumerate();
        let mut controls = controls.filter(|(_, d)| d.is_control && d.node.is_some());
        match name {
            "leader" => controls.find(|(_, d)| d.is_leader()).expect("no leader").0,
            "follower" => {
                controls
                    .find(|(_, d)| !d.is_leader())
                    .expect("no follower")
                    .0
            }
            name => sim.index(name),
        }
    }

    fn wait(&mut self, what: &str) -> Output {
        let took = self.sim().run_until(SETTLE, |s| match what {
            "leader" => s.daemons.iter().filter(|d| d.is_leader()).count() == 1,
            "voters" => s.daemons.iter().all(|d| !d.is_control || all_vote(s, d)),
            "fresh" => s
                .daemons
                .iter()
                .all(|d| d.node.is_none() || d.is_fresh(s.now)),
            "converged" => {
                let highest = s.daemons.iter().map(common::Daemon::committed).max();
                let mut up = s.daemons.iter().filter(|d| d.node.is_some());
                up.all(|d| Some(d.version()) == highest && d.is_fresh(s.now))
            }
            other => panic!("unknown condition {other}"),
        });
        took.map(|_| String::new())
            .ok_or_else(|| format!("not reached within {SETTLE:?}: {what}").into())
    }

    fn status(&mut self) -> String {
        let sim = self.sim();
        let mut out = String::new();
        for d in &sim.daemons {
            let state = match &d.node {
                None => "down".to_owned(),
                Some(_) if d.frozen => "frozen".to_owned(),
                Some(node) => {
                    let out_data_centres: Vec<&str> = node
                        .agent
                        .config
                        .out_data_centres
                        .iter()
                        .map(|n| n.as_str())
                        .collect();
                    let fresh = if d.is_fresh(sim.now) {
                        "fresh"
                    } else {
                        "stale"
                    };
                    format!(
                        "version={} customers={} out=[{}] {fresh}",
                        node.agent.config.version,
                        node.agent.config.customers.len(),
                        out_data_centres.join(" ")
                    )
                }
            };
            writeln!(out, "{}: {state}", d.name).unwrap();
        }
        out
    }

    fn take_replies(&mut self, i: usize) -> String {
        let replies = std::mem::take(&mut self.sim().daemons[i].operator_replies);
        for kind in replies.values().flatten() {
            if let control_reply::Kind::Claim(outcome) = kind
                && outcome.decision() == ClaimDecision::Granted
            {
                self.last_claim = outcome.claim;
            }
        }
        let lines = replies.into_iter().map(|(id, kind)| {
            let text = kind.map_or("unknown".to_owned(), |k| describe(&k));
            format!("{id}: {text}\n")
        });
        lines.collect()
    }
}

fn all_vote(sim: &Simulation, d: &common::Daemon) -> bool {
    let controls = sim.daemons.iter().filter(|d| d.is_control).count();
    let control = d.node.as_ref().and_then(|n| n.control.as_ref());
    control.is_none_or(|c| c.replica().membership().voters.len() == controls)
}

/// Returns a gate's report that a request crashed two upstreams.
fn convict() -> control_request::Kind {
    control_request::Kind::Suspect(Suspect {
        service: "booking".to_owned(),
        states: vec![SuspectState {
            fingerprint: CONVICTED,
            verdict: Verdict::Convicted as i32,
            only_at: String::new(),
            expires_ms: 5_000,
            ..SuspectState::default()
        }],
        ..Suspect::default()
    })
}

/// Sends a request to a daemon's gate and lets it end immediately; returns the
/// gate's decision.
fn admit(sim: &mut Simulation, i: usize) -> String {
    sim.daemons[i].admission.clear();
    let ticket = u64::try_from(sim.now.as_millis()).unwrap();
    let arrival = admission::Arrival {
        ticket,
        service: "booking".into(),
        customer: "tc".into(),
        class: "page".into(),
        deadline: Duration::from_secs(1),
        fingerprint: ticket,
        claim: 0,
        idempotent: true,
        weight: 1,
        suspected: false,
        objective: None,
        is_call: false,
        link: 0,
        believed_slow_percent: 0,
    };
    let arrived = admission::Event::Arrived(arrival);
    sim.event(i, node::Event::Admission(arrived));
    let ended = admission::Event::Ended(ticket, gate::Outcome::Whole(200));
    sim.event(i, node::Event::Admission(ended));
    match sim.daemons[i].admission.first() {
        Some(admission::Effect::Run { .. }) => "run".to_owned(),
        Some(admission::Effect::Refuse { reason, .. }) => format!("refused {reason:?}"),
        other => format!("{other:?}"),
    }
}

/// Returns a daemon's view of the service `booking`.
fn view(sim: &mut Simulation, i: usize) -> String {
    let Some(node) = &mut sim.daemons[i].node else {
        return "down".to_owned();
    };
    let Some(view) = node.agent.service("booking") else {
        return "none".to_owned();
    };
    let upstreams = view.upstreams.iter();
    let names = upstreams.map(|(name, u)| format!("{name}:{}", u.slots));
    names.collect::<Vec<_>>().join(" ")
}

fn describe(kind: &control_reply::Kind) -> String {
    match kind {
        control_reply::Kind::Change(outcome) => describe_change(outcome),
        control_reply::Kind::Claim(outcome) => describe_claim(outcome),
        control_reply::Kind::Status(s) => format!(
            "status version={} lowest={} daemons={} voters={} learners={} claims={} customers={} upstreams={}",
            s.config_version,
            s.lowest_version,
            s.daemons,
            s.membership.as_ref().map_or(0, |m| m.voters.len()),
            s.membership.as_ref().map_or(0, |m| m.learners.len()),
            s.claims,
            s.customers,
            s.services.iter().map(|s| s.upstreams.len()).sum::<usize>(),
        ),
        control_reply::Kind::Routing(routing) => {
            format!("routing version={}", routing.version)
        }
        control_reply::Kind::History(history) => {
            let entries = history.entries.iter();
            let lines: Vec<String> = entries
                .map(|e| format!("{}={} by {}: {}", e.version, e.change, e.author, e.summary))
                .collect();
            lines.join("; ")
        }
        control_reply::Kind::NewestOrder(newest) => {
            format!("newest order {} of term {}", newest.number, newest.term)
        }
        control_reply::Kind::Rollout(outcome) => {
            let state = outcome.rollout.as_ref().map(|r| (r.stage(), r.share_ppm));
            format!("rollout {:?} {state:?}", outcome.result())
        }
    }
}

fn describe_change(outcome: &ChangeOutcome) -> String {
    let winner = outcome.winner.as_ref();
    let winner = winner.map_or(String::new(), |w| {
        format!(" winner={} by {}: {}", w.change, w.author, w.summary)
    });
    let findings = outcome.findings.iter().map(|f| format!("\n   {f}"));
    let result = match outcome.result() {
        ChangeResult::Accepted => "accepted",
        ChangeResult::Conflict => "conflict",
        ChangeResult::Invalid => "invalid",
        ChangeResult::Unknown => "unknown",
    };
    format!(
        "{result} version={}{winner}{}",
        outcome.version,
        findings.collect::<String>()
    )
}

fn describe_claim(outcome: &ClaimOutcome) -> String {
    match outcome.decision() {
        ClaimDecision::Granted => "granted".to_owned(),
        ClaimDecision::Ran => format!("ran status={}", outcome.status),
        decision => format!("{decision:?}"),
    }
}

fn change(command: &Command) -> Result<control_request::Kind, Box<dyn Error>> {
    let mut args = command.consume_args();
    let op: String = args.lookup_parse("op")?.unwrap_or_default();
    let kind = match op.as_str() {
        "out" => OperationKind::DataCentreOut,
        "return" => OperationKind::DataCentreReturn,
        "upstream-out" => OperationKind::UpstreamOut,
        "upstream-return" => OperationKind::UpstreamReturn,
        _ => OperationKind::Lists,
    };
    let customers: Option<String> = args.lookup_parse("customers")?;
    let customers = customers.map(|c| {
        let lines = c.split(',').filter(|c| !c.is_empty());
        let lines = lines.map(|c| format!("{}\n", c.replace(':', " = ")));
        format!("[customers]\n{}", lines.collect::<String>())
    });
    let plans: Option<String> = args.lookup_parse("plans")?;
    let plans = plans.map(|p| {
        let sections = p
            .split(',')
            .map(|p| format!("[plan {p}]\nrate = 5\nin-flight = 2\n"));
        sections.collect::<String>()
    });
    Ok(control_request::Kind::Change(ChangeRequest {
        change: args.lookup_parse("change")?.unwrap_or_default(),
        base: args.lookup_parse("base")?.unwrap_or_default(),
        author: args.lookup_parse("by")?.unwrap_or("op".to_owned()),
        operation: Some(ChangeOperation {
            kind: kind as i32,
            target: args.lookup_parse("target")?.unwrap_or_default(),
            lists: (kind == OperationKind::Lists).then_some(Lists { customers, plans }),
        }),
    }))
}

fn claim(command: &Command) -> Result<control_request::Kind, Box<dyn Error>> {
    let mut args = command.consume_args();
    Ok(control_request::Kind::Claim(ClaimRequest {
        customer: "tc".to_owned(),
        service: "booking".to_owned(),
        key: args.lookup_parse("key")?.unwrap_or_default(),
        fingerprint: args.lookup_parse("fingerprint")?.unwrap_or(7),
        daemon: String::new(),
        nonce: args.lookup_parse("nonce")?.unwrap_or_default(),
    }))
}

fn settle(command: &Command, claim: u64) -> Result<control_request::Kind, Box<dyn Error>> {
    let mut args = command.consume_args();
    let status: u32 = args.lookup_parse("status")?.unwrap_or_default();
    let kind = if status > 0 {
        SettleKind::Finished
    } else {
        SettleKind::Released
    };
    Ok(control_request::Kind::Settle(ClaimSettle {
        customer: "tc".to_owned(),
        service: "booking".to_owned(),
        key: args.lookup_parse("key")?.unwrap_or_default(),
        claim,
        kind: kind as i32,
        status,
        nonce: args.lookup_parse("nonce")?.unwrap_or_default(),
    }))
}

impl Script {
    /// Sends a request and, unless `nowait` is given, runs until the reply arrives.
    fn send_request(&mut self, command: &Command, kind: control_request::Kind) -> Output {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("missing daemon")?.value.clone();
        let nowait = args.next_pos().is_some_and(|a| a.value == "nowait");
        let id: u64 = args.lookup_parse("id")?.unwrap_or(1);
        let i = self.daemon(&name);
        self.sim().send_request(i, id, kind);
        if nowait {
            return Ok(String::new());
        }
        let limit = Duration::from_secs(5);
        let replied = |s: &Simulation| s.daemons[i].operator_replies.contains_key(&id);
        self.sim().run_until(limit, replied);
        Ok(self.take_replies(i))
    }

    /// Submits a number of changes, one after the other.
    fn changes(&mut self, command: &Command) -> Output {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("missing daemon")?.value.clone();
        let count: u64 = args.lookup_parse("count")?.unwrap_or(1);
        let base: u64 = args.lookup_parse("base")?.unwrap_or(1);
        let i = self.daemon(&name);
        for n in 0..count {
            let kind = control_request::Kind::Change(ChangeRequest {
                change: format!("{name}-{base}-{n}"),
                base: base + n,
                author: "op".to_owned(),
                operation: Some(ChangeOperation {
                    kind: OperationKind::UpstreamOut as i32,
                    target: format!("u{n}"),
                    lists: None,
                }),
            });
            self.sim().send_request(i, 1, kind);
            let limit = Duration::from_secs(5);
            self.sim()
                .run_until(limit, |s| s.daemons[i].operator_replies.contains_key(&1));
            let reply = self.take_replies(i);
            let expected = format!("1: accepted version={}\n", base + n + 1);
            if reply != expected {
                return Err(reply.into());
            }
        }
        Ok(String::new())
    }

    /// Runs while a daemon sends a heartbeat every 50 ms; none of them may be
    /// confirmed.
    fn stays_unconfirmed(&mut self, command: &Command) -> Output {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("missing daemon")?.value.clone();
        let ms: u64 = args
            .next_pos()
            .ok_or("missing duration in ms")?
            .value
            .parse()?;
        let i = self.daemon(&name);
        for slots in 1..=ms / 50 {
            let announced = Announcement {
                service: "club".to_owned(),
                slots: u32::try_from(slots)?,
                boot: "b1".to_owned(),
                leaving: false,
                ..Announcement::default()
            };
            let event = admission::Event::Announced(announced);
            self.sim().event(i, node::Event::Admission(event));
            self.sim().run(Duration::from_millis(50));
        }
        let sim = self.sim();
        let age = sim.daemons[i].node().agent.freshness_age(sim.now);
        if age < Some(Duration::from_millis(ms)) {
            return Err(format!("a heartbeat sent {age:?} ago was confirmed").into());
        }
        Ok(String::new())
    }

    /// Runs while the named daemons, or all that are up, must stay fresh.
    fn stays_fresh(&mut self, command: &Command) -> Output {
        let mut args = command.consume_args();
        let ms: u64 = args
            .next_pos()
            .ok_or("missing duration in ms")?
            .value
            .parse()?;
        let mut names = Vec::new();
        while let Some(arg) = args.next_pos() {
            names.push(arg.value.clone());
        }
        let stale = |s: &Simulation| {
            let mut daemons = s.daemons.iter().filter(|d| d.node.is_some());
            daemons
                .position(|d| (names.is_empty() || names.contains(&d.name)) && !d.is_fresh(s.now))
        };
        let sim = self.sim();
        let after = sim.run_until(Duration::from_millis(ms), |s| stale(s).is_some());
        match after {
            Some(after) => Err(format!("stale after {after:?}: {:?}", stale(sim)).into()),
            None => Ok(String::new()),
        }
    }

    fn fault(&mut self, command: &Command) -> Output {
        let mut args = command.consume_args();
        let mut names = Vec::new();
        while let Some(arg) = args.next_pos() {
            names.push(arg.value.clone());
        }
        for name in &names {
            let i = self.daemon(name);
            let sim = self.sim();
            match command.name.as_str() {
                "kill" => sim.kill(i),
                "start" => sim.start(i),
                "wipe" => sim.daemons[i].disk.wipe(),
                "freeze" => sim.freeze(i),
                "thaw" => sim.thaw(i),
                _ => sim.isolate(i),
            }
        }
        Ok(String::new())
    }
}

impl Runner for Script {
    fn run(&mut self, command: &Command) -> Output {
        let mut args = command.consume_args();
        match command.name.as_str() {
            "cluster" => {
                let controls = args.lookup_parse("controls")?.unwrap_or(3);
                let plain = args.lookup_parse("plain")?.unwrap_or(2);
                let seed = args.lookup_parse("seed")?.unwrap_or(1);
                let mut sim = Simulation::new(controls, plain, seed);
                let delay: Option<u64> = args.lookup_parse("delay")?;
                sim.delay = delay.map_or(sim.delay, Duration::from_millis);
                self.sim = Some(sim);
            }
            "settled" => {
                self.sim().event(0, node::Event::Initialise);
                for what in ["leader", "voters", "converged"] {
                    self.wait(what)?;
                }
            }
            "run" => {
                let ms: u64 = args
                    .next_pos()
                    .ok_or("missing duration in ms")?
                    .value
                    .parse()?;
                self.sim().run(Duration::from_millis(ms));
            }
            "step-clock" => {
                let ms: i64 = args
                    .next_pos()
                    .ok_or("missing offset in ms")?
                    .value
                    .parse()?;
                let sim = self.sim();
                sim.unix_ms = sim.unix_ms.saturating_add_signed(ms);
            }
            "wait" => return self.wait(&args.next_pos().ok_or("missing condition")?.value),
            "alias" => {
                let arg = args.next_key().ok_or("missing NAME=DAEMON")?;
                let i = self.daemon(&arg.value);
                self.aliases.insert(arg.key.clone().unwrap_or_default(), i);
            }
            "kill" | "start" | "wipe" | "freeze" | "thaw" | "isolate" => {
                return self.fault(command);
            }
            "set-clock" => {
                let i = self.daemon(&args.next_pos().ok_or("missing daemon")?.value);
                let ahead: i64 = args.lookup_parse("ahead")?.unwrap_or_default();
                let behind: i64 = args.lookup_parse("behind")?.unwrap_or_default();
                self.sim().daemons[i].clock_offset_ms = ahead - behind;
            }
            "cut" => {
                let from = args.next_pos().ok_or("missing sender")?.value.clone();
                let to = args.next_pos().ok_or("missing receiver")?.value.clone();
                let (from, to) = (self.daemon(&from), self.daemon(&to));
                self.sim().cut(from, to);
            }
            "cut-replicas" => {
                let i = self.daemon(&args.next_pos().ok_or("missing daemon")?.value);
                for other in (0..self.sim().daemons.len()).filter(|o| *o != i) {
                    if self.sim().daemons[other].is_control {
                        self.sim().cut(i, other);
                        self.sim().cut(other, i);
                    }
                }
            }
            "stays-unconfirmed" => return self.stays_unconfirmed(command),
            "stays-fresh" => return self.stays_fresh(command),
            "heal" => self.sim().heal(),
            "drop-held" => self.sim().drop_held(),
            "status" => return Ok(self.status()),
            "replies" => {
                let name = args.next_pos().ok_or("missing daemon")?.value.clone();
                let i = self.daemon(&name);
                return Ok(self.take_replies(i));
            }
            "change" => return self.send_request(command, change(command)?),
            "claim" => return self.send_request(command, claim(command)?),
            "settle" => {
                let claim: String = args.lookup_parse("claim")?.unwrap_or_default();
                let claim = match claim.as_str() {
                    "last" => self.last_claim,
                    number => number.parse().unwrap_or_default(),
                };
                return self.send_request(command, settle(command, claim)?);
            }
            "control" => {
                return self.send_request(command, control_request::Kind::Status(StatusRequest {}));
            }
            "changes" => return self.changes(command),
            "snapshots" => {
                let controls = self.sim().daemons.iter().filter(|d| d.is_control);
                let snapshots = controls.map(|d| d.disk.recover().snapshot.is_some());
                return Ok(format!("{:?}\n", snapshots.collect::<Vec<_>>()));
            }
            "history" => {
                let kind = control_request::Kind::History(HistoryRequest { limit: 10 });
                return self.send_request(command, kind);
            }
            "announce" => {
                let name = args.next_pos().ok_or("missing daemon")?.value.clone();
                let i = self.daemon(&name);
                let announced = Announcement {
                    service: "booking".to_owned(),
                    slots: args.lookup_parse("slots")?.unwrap_or(6),
                    boot: "b1".to_owned(),
                    leaving: args.lookup_parse("leaving")?.unwrap_or(false),
                    ..Announcement::default()
                };
                let event = admission::Event::Announced(announced);
                self.sim().event(i, node::Event::Admission(event));
            }
            "convict" => {
                let name = args.next_pos().ok_or("missing daemon")?.value.clone();
                let i = self.daemon(&name);
                self.sim().send_request(i, 99, convict());
            }
            "convicted" => {
                let daemons = self.sim().daemons.iter();
                let daemons = daemons.filter_map(|d| d.node.as_ref().map(|n| (&d.name, n)));
                let convicted = daemons.filter(|(_, n)| n.agent.convicted(CONVICTED));
                let names: Vec<&str> = convicted.map(|(name, _)| name.as_str()).collect();
                return Ok(format!("{}\n", names.join(" ")));
            }
            "admit" => {
                let name = args.next_pos().ok_or("missing daemon")?.value.clone();
                let i = self.daemon(&name);
                return Ok(format!("{name}: {}\n", admit(self.sim(), i)));
            }
            "view" => {
                let name = args.next_pos().ok_or("missing daemon")?.value.clone();
                let i = self.daemon(&name);
                return Ok(format!("{}\n", view(self.sim(), i)));
            }
            "view-stays" => {
                let name = args.next_pos().ok_or("missing daemon")?.value.clone();
                let ms: u64 = args
                    .next_pos()
                    .ok_or("missing duration in ms")?
                    .value
                    .parse()?;
                let i = self.daemon(&name);
                let before = view(self.sim(), i);
                for _ in 0..ms / 10 {
                    self.sim().tick();
                    let now = view(self.sim(), i);
                    if now != before {
                        return Err(format!("the view changed from {before} to {now}").into());
                    }
                }
                return Ok(format!("{before}\n"));
            }
            name => return Err(format!("unknown command {name}").into()),
        }
        Ok(String::new())
    }
}

#[test_case("stepped_clock"; "changes_ignore_the_time_of_day")]
#[test_case("race"; "operators_race")]
#[test_case("resend"; "resend_gets_first_reply")]
#[test_case("lists"; "invalid_list_is_rejected_entirely")]
#[test_case("isolated_leader"; "isolated_leader_confirms_nothing")]
#[test_case("unconfirmed"; "leader_without_majority_confirms_nothing")]
#[test_case("killed_leader"; "killed_leader_keeps_daemons_fresh")]
#[test_case("frozen_leader"; "frozen_leader_resumes")]
#[test_case("restart"; "configuration_never_reverts")]
#[test_case("claims"; "claims_run_at_most_once")]
#[test_case("claims_faults"; "claims_survive_faults")]
#[test_case("lost_disk"; "lost_disk_then_second_loss")]
#[test_case("convicted"; "conviction_reaches_every_daemon")]
#[test_case("taken_out"; "data_centre_taken_out_during_partition")]
#[test_case("views"; "views_survive_a_leader_change")]
#[test_case("long_isolation"; "long_isolation_and_hundreds_of_changes")]
fn scenario(name: &str) {
    let path = format!("tests/scenarios/control/{name}.txt");
    goldenscript::run(&mut Script::default(), path).expect("scenario runs");
}
