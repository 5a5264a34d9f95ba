//! Scenarios of control state over a few daemons: each script runs a few
//! instances of the reducer with fakes of link, disk and clock.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::World;
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

/// Time in which a cluster must settle.
const SETTLE: Duration = Duration::from_secs(30);

/// Fingerprint of a request that crashes upstreams.
const CONVICTED: u64 = 77;

#[derive(Default)]
struct Script {
    world: Option<World>,
    aliases: BTreeMap<String, usize>,
    /// Number of the claim granted last.
    last_claim: u64,
}

impl Script {
    fn world(&mut self) -> &mut World {
        self.world.as_mut().expect("the script starts with world")
    }

    /// Returns a daemon by name or alias; `leader` and `follower` are those
    /// of the moment.
    fn daemon(&mut self, name: &str) -> usize {
        if let Some(i) = self.aliases.get(name) {
            return *i;
        }
        let world = self.world();
        let controls = world.daemons.iter().enumerate();
        let mut controls = controls.filter(|(_, d)| d.is_control && d.node.is_some());
        match name {
            "leader" => controls.find(|(_, d)| d.leads()).expect("no leader").0,
            "follower" => controls.find(|(_, d)| !d.leads()).expect("no follower").0,
            name => world.index(name),
        }
    }

    fn wait(&mut self, what: &str) -> Output {
        let took = self.world().run_until(SETTLE, |w| match what {
            "leader" => w.daemons.iter().filter(|d| d.leads()).count() == 1,
            "voters" => w.daemons.iter().all(|d| !d.is_control || all_vote(w, d)),
            "fresh" => w
                .daemons
                .iter()
                .all(|d| d.node.is_none() || d.is_fresh(w.now)),
            "level" => {
                let highest = w.daemons.iter().map(common::Daemon::committed).max();
                let mut up = w.daemons.iter().filter(|d| d.node.is_some());
                up.all(|d| Some(d.version()) == highest && d.is_fresh(w.now))
            }
            other => panic!("unknown condition {other}"),
        });
        took.map(|_| String::new())
            .ok_or_else(|| format!("never came: {what}").into())
    }

    fn status(&mut self) -> String {
        let world = self.world();
        let mut out = String::new();
        for d in &world.daemons {
            let state = match &d.node {
                None => "down".to_owned(),
                Some(_) if d.frozen => "frozen".to_owned(),
                Some(node) => {
                    let outs: Vec<&str> = node
                        .agent
                        .config
                        .out_data_centres
                        .iter()
                        .map(|n| n.as_str())
                        .collect();
                    let fresh = if d.is_fresh(world.now) {
                        "fresh"
                    } else {
                        "stale"
                    };
                    format!(
                        "version={} customers={} out=[{}] {fresh}",
                        node.agent.config.version,
                        node.agent.config.customers.len(),
                        outs.join(" ")
                    )
                }
            };
            writeln!(out, "{}: {state}", d.name).unwrap();
        }
        out
    }

    fn answers(&mut self, i: usize) -> String {
        let answers = std::mem::take(&mut self.world().daemons[i].answers);
        for kind in answers.values().flatten() {
            if let control_reply::Kind::Claim(outcome) = kind
                && outcome.decision() == ClaimDecision::Granted
            {
                self.last_claim = outcome.claim;
            }
        }
        let lines = answers.into_iter().map(|(id, kind)| {
            let text = kind.map_or("unknown".to_owned(), |k| describe(&k));
            format!("{id}: {text}\n")
        });
        lines.collect()
    }
}

fn all_vote(world: &World, d: &common::Daemon) -> bool {
    let controls = world.daemons.iter().filter(|d| d.is_control).count();
    let control = d.node.as_ref().and_then(|n| n.control.as_ref());
    control.is_none_or(|c| c.replica().membership().voters.len() == controls)
}

/// Returns what a gate says of a request that crashed two upstreams.
fn convict() -> control_request::Kind {
    control_request::Kind::Suspect(Suspect {
        service: "booking".to_owned(),
        states: vec![SuspectState {
            fingerprint: CONVICTED,
            verdict: Verdict::Convicted as i32,
            only_at: String::new(),
            expires_ms: 5_000,
        }],
    })
}

/// Sends a request to a daemon's gate and lets it end at once.
fn admit(world: &mut World, i: usize) -> String {
    world.daemons[i].admission.clear();
    let ticket = u64::try_from(world.now.as_millis()).unwrap();
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
        link: 0,
        believed_slow_percent: 0,
    };
    let arrived = admission::Event::Arrived(arrival);
    world.event(i, node::Event::Admission(arrived));
    let ended = admission::Event::Ended(ticket, gate::Outcome::Whole(200));
    world.event(i, node::Event::Admission(ended));
    match world.daemons[i].admission.first() {
        Some(admission::Effect::Run(_)) => "run".to_owned(),
        Some(admission::Effect::Refuse { reason, .. }) => format!("refused {reason:?}"),
        other => format!("{other:?}"),
    }
}

/// Returns a daemon's view of the service booking.
fn view(world: &mut World, i: usize) -> String {
    let Some(node) = &mut world.daemons[i].node else {
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
        fingerprint: args.lookup_parse("print")?.unwrap_or(7),
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
    /// Asks something and runs until its answer is there, unless `nowait`.
    fn ask(&mut self, command: &Command, kind: control_request::Kind) -> Output {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("which daemon?")?.value.clone();
        let nowait = args.next_pos().is_some_and(|a| a.value == "nowait");
        let id: u64 = args.lookup_parse("id")?.unwrap_or(1);
        let i = self.daemon(&name);
        self.world().ask(i, id, kind);
        if nowait {
            return Ok(String::new());
        }
        let limit = Duration::from_secs(5);
        let answered = |w: &World| w.daemons[i].answers.contains_key(&id);
        self.world().run_until(limit, answered);
        Ok(self.answers(i))
    }

    /// Makes many changes, one after the other.
    fn changes(&mut self, command: &Command) -> Output {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("which daemon?")?.value.clone();
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
            self.world().ask(i, 1, kind);
            let limit = Duration::from_secs(5);
            self.world()
                .run_until(limit, |w| w.daemons[i].answers.contains_key(&1));
            let answer = self.answers(i);
            let expected = format!("1: accepted version={}\n", base + n + 1);
            if answer != expected {
                return Err(answer.into());
            }
        }
        Ok(String::new())
    }

    /// Runs while a daemon sends a heartbeat every 50 ms; its newest confirmed
    /// word must be as old as that.
    fn old_word(&mut self, command: &Command) -> Output {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("whose?")?.value.clone();
        let ms: u64 = args.next_pos().ok_or("how long?")?.value.parse()?;
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
            self.world().event(i, node::Event::Admission(event));
            self.world().run(Duration::from_millis(50));
        }
        let world = self.world();
        let age = world.daemons[i].node().agent.freshness_age(world.now);
        if age < Some(Duration::from_millis(ms)) {
            return Err(format!("word of {age:?} ago was confirmed").into());
        }
        Ok(String::new())
    }

    /// Runs; the daemons named, or all that are up, must stay fresh.
    fn stays_fresh(&mut self, command: &Command) -> Output {
        let mut args = command.consume_args();
        let ms: u64 = args.next_pos().ok_or("how long?")?.value.parse()?;
        let mut names = Vec::new();
        while let Some(arg) = args.next_pos() {
            names.push(arg.value.clone());
        }
        let stale = |w: &World| {
            let mut daemons = w.daemons.iter().filter(|d| d.node.is_some());
            daemons
                .position(|d| (names.is_empty() || names.contains(&d.name)) && !d.is_fresh(w.now))
        };
        let world = self.world();
        let after = world.run_until(Duration::from_millis(ms), |w| stale(w).is_some());
        match after {
            Some(after) => Err(format!("stale after {after:?}: {:?}", stale(world)).into()),
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
            let world = self.world();
            match command.name.as_str() {
                "kill" => world.kill(i),
                "start" => world.start(i),
                "wipe" => world.daemons[i].disk.wipe(),
                "freeze" => world.freeze(i),
                "thaw" => world.thaw(i),
                _ => world.isolate(i),
            }
        }
        Ok(String::new())
    }
}

impl Runner for Script {
    fn run(&mut self, command: &Command) -> Output {
        let mut args = command.consume_args();
        match command.name.as_str() {
            "world" => {
                let controls = args.lookup_parse("controls")?.unwrap_or(3);
                let plain = args.lookup_parse("plain")?.unwrap_or(2);
                let seed = args.lookup_parse("seed")?.unwrap_or(1);
                let mut world = World::new(controls, plain, seed);
                let delay: Option<u64> = args.lookup_parse("delay")?;
                world.delay = delay.map_or(world.delay, Duration::from_millis);
                self.world = Some(world);
            }
            "settled" => {
                self.world().event(0, node::Event::Initialise);
                for what in ["leader", "voters", "level"] {
                    self.wait(what)?;
                }
            }
            "run" => {
                let ms: u64 = args.next_pos().ok_or("how long?")?.value.parse()?;
                self.world().run(Duration::from_millis(ms));
            }
            "step-clock" => {
                let ms: i64 = args.next_pos().ok_or("by how much?")?.value.parse()?;
                let world = self.world();
                world.unix_ms = world.unix_ms.saturating_add_signed(ms);
            }
            "wait" => return self.wait(&args.next_pos().ok_or("for what?")?.value),
            "mark" => {
                let arg = args.next_key().ok_or("mark NAME=DAEMON")?;
                let i = self.daemon(&arg.value);
                self.aliases.insert(arg.key.clone().unwrap_or_default(), i);
            }
            "kill" | "start" | "wipe" | "freeze" | "thaw" | "isolate" => {
                return self.fault(command);
            }
            "cut" => {
                let from = args.next_pos().ok_or("from?")?.value.clone();
                let to = args.next_pos().ok_or("to?")?.value.clone();
                let (from, to) = (self.daemon(&from), self.daemon(&to));
                self.world().cut(from, to);
            }
            "cut-replicas" => {
                let i = self.daemon(&args.next_pos().ok_or("whose?")?.value);
                for other in (0..self.world().daemons.len()).filter(|o| *o != i) {
                    if self.world().daemons[other].is_control {
                        self.world().cut(i, other);
                        self.world().cut(other, i);
                    }
                }
            }
            "old-word" => return self.old_word(command),
            "stays-fresh" => return self.stays_fresh(command),
            "heal" => self.world().heal(),
            "drop-held" => self.world().drop_held(),
            "status" => return Ok(self.status()),
            "answers" => {
                let name = args.next_pos().ok_or("whose?")?.value.clone();
                let i = self.daemon(&name);
                return Ok(self.answers(i));
            }
            "change" => return self.ask(command, change(command)?),
            "claim" => return self.ask(command, claim(command)?),
            "settle" => {
                let claim: String = args.lookup_parse("claim")?.unwrap_or_default();
                let claim = match claim.as_str() {
                    "last" => self.last_claim,
                    number => number.parse().unwrap_or_default(),
                };
                return self.ask(command, settle(command, claim)?);
            }
            "control" => {
                return self.ask(command, control_request::Kind::Status(StatusRequest {}));
            }
            "changes" => return self.changes(command),
            "snapshots" => {
                let controls = self.world().daemons.iter().filter(|d| d.is_control);
                let snapshots = controls.map(|d| d.disk.recover().snapshot.is_some());
                return Ok(format!("{:?}\n", snapshots.collect::<Vec<_>>()));
            }
            "history" => {
                let kind = control_request::Kind::History(HistoryRequest { limit: 10 });
                return self.ask(command, kind);
            }
            "announce" => {
                let name = args.next_pos().ok_or("who?")?.value.clone();
                let i = self.daemon(&name);
                let announced = Announcement {
                    service: "booking".to_owned(),
                    slots: args.lookup_parse("slots")?.unwrap_or(6),
                    boot: "b1".to_owned(),
                    leaving: args.lookup_parse("leaving")?.unwrap_or(false),
                    ..Announcement::default()
                };
                let event = admission::Event::Announced(announced);
                self.world().event(i, node::Event::Admission(event));
            }
            "convict" => {
                let name = args.next_pos().ok_or("where?")?.value.clone();
                let i = self.daemon(&name);
                self.world().ask(i, 99, convict());
            }
            "convicted" => {
                let daemons = self.world().daemons.iter();
                let daemons = daemons.filter_map(|d| d.node.as_ref().map(|n| (&d.name, n)));
                let convicted = daemons.filter(|(_, n)| n.agent.convicted(CONVICTED));
                let names: Vec<&str> = convicted.map(|(name, _)| name.as_str()).collect();
                return Ok(format!("{}\n", names.join(" ")));
            }
            "admit" => {
                let name = args.next_pos().ok_or("where?")?.value.clone();
                let i = self.daemon(&name);
                return Ok(format!("{name}: {}\n", admit(self.world(), i)));
            }
            "view" => {
                let name = args.next_pos().ok_or("whose?")?.value.clone();
                let i = self.daemon(&name);
                return Ok(format!("{}\n", view(self.world(), i)));
            }
            "view-stays" => {
                let name = args.next_pos().ok_or("whose?")?.value.clone();
                let ms: u64 = args.next_pos().ok_or("how long?")?.value.parse()?;
                let i = self.daemon(&name);
                let before = view(self.world(), i);
                for _ in 0..ms / 10 {
                    self.world().tick();
                    let now = view(self.world(), i);
                    if now != before {
                        return Err(format!("it was {before}, and is {now}").into());
                    }
                }
                return Ok(format!("{before}\n"));
            }
            name => return Err(format!("unknown command {name}").into()),
        }
        Ok(String::new())
    }
}

#[test_case("race"; "operators_race")]
#[test_case("resend"; "resend_gets_first_answer")]
#[test_case("lists"; "bad_list_is_refused_whole")]
#[test_case("isolated_leader"; "isolated_leader_confirms_nothing")]
#[test_case("unconfirmed"; "leader_without_majority_confirms_nothing")]
#[test_case("killed_leader"; "killed_leader_leaves_nobody_stale")]
#[test_case("frozen_leader"; "frozen_leader_wakes")]
#[test_case("restart"; "configuration_never_reverts")]
#[test_case("claims"; "claims_run_at_most_once")]
#[test_case("claims_faults"; "claims_survive_faults")]
#[test_case("lost_disk"; "lost_disk_then_second_loss")]
#[test_case("convicted"; "conviction_reaches_every_daemon")]
#[test_case("taken_out"; "data_centre_taken_out_behind_a_cut")]
#[test_case("views"; "views_never_shrink_by_a_half_heard_fleet")]
#[test_case("long_isolation"; "long_isolation_and_hundreds_of_changes")]
fn scenario(name: &str) {
    let path = format!("tests/scenarios/control/{name}.txt");
    goldenscript::run(&mut Script::default(), path).expect("scenario runs");
}
