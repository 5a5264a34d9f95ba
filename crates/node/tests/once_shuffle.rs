//! Non-idempotent requests run at most once: three replicas, two gates, every
//! daemon an entry, callers that resend, and a seeded shuffle of faults.
//!
//! Upstreams outlive their daemons and count every run by key. A longer run is
//! `SHUFFLE_SEEDS=500 cargo test --release -p node --test once_shuffle`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::World;
use node::entry::RunState;
use node::{Event, admission, entry};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use test_case::test_case;
use wire::{
    Announcement, ChangeOperation, ChangeRequest, Lists, OperationKind, Refuse, RefuseReason,
    control_request,
};

const STEPS: u64 = 150;
const CONTROLS: usize = 3;
const GATES: usize = 2;
const PLANS: &str = "[plan gold]\nrate = 100000\nin-flight = 1000\n\
    [class booking]\nweight = 10\nidempotent = no\nkey = required\ndeadline = 2 s\n";
const CUSTOMERS: &str = "[customers]\ntc = gold\n";

/// A daemon at one of its starts.
type Life = (usize, u64);
/// A request at an entry.
type Asked = (Life, u64);

/// An attempt of a request at a gate.
#[derive(Clone)]
struct Call {
    asked: Asked,
    attempt: u32,
    gate: Life,
    claim: u64,
}

/// A frame or an end of work under way.
enum Transit {
    Open(Call),
    ToEntry(Asked, entry::Event),
    UpstreamDone(Call, u64, gate::Outcome),
}

struct Once {
    world: World,
    seed: u64,
    transit: BTreeMap<(Duration, u64), Transit>,
    counter: u64,
    /// Calls that a gate knows, by its ticket.
    tickets: BTreeMap<u64, Call>,
    keys: BTreeMap<Asked, String>,
    resends: BTreeMap<String, u32>,
    runs: BTreeMap<String, u32>,
    ran: BTreeSet<Asked>,
    not_run: BTreeSet<Asked>,
    answered: u64,
    sends: u64,
}

impl Once {
    fn new(seed: u64) -> Self {
        let mut world = World::new(CONTROLS, GATES, seed);
        world.event(0, Event::Initialise);
        world.run(Duration::from_secs(12));
        let mut once = Self {
            world,
            seed,
            transit: BTreeMap::new(),
            counter: 0,
            tickets: BTreeMap::new(),
            keys: BTreeMap::new(),
            resends: BTreeMap::new(),
            runs: BTreeMap::new(),
            ran: BTreeSet::new(),
            not_run: BTreeSet::new(),
            answered: 0,
            sends: 0,
        };
        let lists = control_request::Kind::Change(ChangeRequest {
            change: "lists".to_owned(),
            base: 1,
            author: "op".to_owned(),
            operation: Some(ChangeOperation {
                kind: OperationKind::Lists as i32,
                target: String::new(),
                lists: Some(Lists {
                    customers: Some(CUSTOMERS.to_owned()),
                    plans: Some(PLANS.to_owned()),
                }),
            }),
        });
        once.world.ask(0, 1, lists);
        once.announce();
        once.world.run(Duration::from_secs(5));
        once
    }

    fn life(&self, i: usize) -> Life {
        (i, self.world.daemons[i].starts)
    }

    fn is_alive(&self, (i, starts): Life) -> bool {
        let d = &self.world.daemons[i];
        d.node.is_some() && d.starts == starts
    }

    fn announce(&mut self) {
        for i in CONTROLS..CONTROLS + GATES {
            let announced = Announcement {
                service: "booking".to_owned(),
                slots: 6,
                boot: "b1".to_owned(),
                leaving: false,
                ..Announcement::default()
            };
            let event = admission::Event::Announced(announced);
            self.world.event(i, Event::Admission(event));
        }
    }

    fn later(&mut self, most: Duration, transit: Transit) {
        let delay = most.mul_f64(self.world.rng.random::<f64>());
        self.counter += 1;
        let at = (self.world.now + delay, self.counter);
        self.transit.insert(at, transit);
    }

    fn send(&mut self, i: usize, key: &str) {
        if self.world.daemons[i].node.is_none() {
            return;
        }
        self.counter += 1;
        let id = self.counter;
        self.keys.insert((self.life(i), id), key.to_owned());
        let request = entry::Request {
            id,
            customer: "tc".into(),
            service: "booking".into(),
            class: Some("booking".into()),
            safe_method: false,
            fingerprint: wire::fingerprint("tc", "booking", "POST", "/", key.as_bytes(), None),
            key: Some(key.into()),
            deadline: None,
            retry_budget: None,
            depth: 1,
            body_buffered: true,
            route_key: None,
            body_bytes: 0,
        };
        let event = entry::Event::Arrived(request);
        self.world.event(i, Event::Entry(event));
    }

    fn tick(&mut self) {
        self.world.tick();
        while let Some(next) = self
            .transit
            .first_entry()
            .filter(|e| e.key().0 <= self.world.now)
        {
            let transit = next.remove();
            self.arrive(transit);
        }
        self.break_off();
        for i in 0..CONTROLS + GATES {
            for effect in std::mem::take(&mut self.world.daemons[i].entry) {
                self.entry_effect(i, effect);
            }
            for effect in std::mem::take(&mut self.world.daemons[i].admission) {
                self.gate_effect(i, effect);
            }
        }
    }

    fn arrive(&mut self, transit: Transit) {
        match transit {
            Transit::Open(call) if self.is_alive(call.gate) => self.arrived(call),
            Transit::Open(call) => self.broken(&call),
            Transit::ToEntry(asked, event) if self.is_alive(asked.0) => {
                self.world.event(asked.0.0, Event::Entry(event));
            }
            Transit::UpstreamDone(call, ticket, outcome) if self.is_alive(call.gate) => {
                self.tickets.remove(&ticket);
                let ended = admission::Event::Ended(ticket, outcome);
                self.world.event(call.gate.0, Event::Admission(ended));
                self.answer(&call, outcome);
            }
            Transit::ToEntry(..) | Transit::UpstreamDone(..) => {}
        }
    }

    fn arrived(&mut self, call: Call) {
        self.counter += 1;
        let ticket = self.counter;
        let arrival = admission::Arrival {
            ticket,
            service: "booking".into(),
            customer: "tc".into(),
            class: "booking".into(),
            deadline: Duration::from_secs(2),
            fingerprint: ticket,
            claim: call.claim,
            idempotent: false,
            weight: 10,
            suspected: false,
            objective: None,
            link: 0,
            believed_slow_percent: 0,
        };
        let gate = call.gate.0;
        self.tickets.insert(ticket, call);
        let event = admission::Event::Arrived(arrival);
        self.world.event(gate, Event::Admission(event));
    }

    fn answer(&mut self, call: &Call, outcome: gate::Outcome) {
        if outcome != gate::Outcome::Whole(201) || !self.link(call.gate.0, call.asked.0.0) {
            return self.broken(call);
        }
        let (id, attempt) = (call.asked.1, call.attempt);
        let answering = entry::Event::Answering(id, attempt, 201, None);
        let ended = entry::Event::Ended(id, attempt, 0, None);
        self.later(Duration::ZERO, Transit::ToEntry(call.asked, answering));
        self.later(Duration::ZERO, Transit::ToEntry(call.asked, ended));
    }

    fn broken(&mut self, call: &Call) {
        let event = entry::Event::Broken(call.asked.1, call.attempt, None);
        self.later(
            Duration::from_millis(20),
            Transit::ToEntry(call.asked, event),
        );
    }

    /// Returns whether a frame gets through; now and then it is lost.
    fn link(&mut self, from: usize, to: usize) -> bool {
        self.world.reaches(from, to) && self.world.rng.random_bool(0.97)
    }

    /// Breaks the calls at gates that are gone.
    fn break_off(&mut self) {
        let gone: Vec<u64> = self
            .tickets
            .iter()
            .filter(|(_, call)| !self.is_alive(call.gate))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in gone {
            if let Some(call) = self.tickets.remove(&ticket) {
                self.broken(&call);
            }
        }
    }

    fn entry_effect(&mut self, i: usize, effect: entry::Effect) {
        let life = self.life(i);
        match effect {
            entry::Effect::Forward(attempt) => self.forward(life, &attempt),
            entry::Effect::Refuse(id, refusal) => self.refused((life, id), refusal.run),
            entry::Effect::Relay(..) => self.answered += 1,
            entry::Effect::Cancel(..) | entry::Effect::Forget(_) => {}
        }
    }

    fn forward(&mut self, life: Life, attempt: &entry::Attempt) {
        let address = attempt.address.as_str();
        let mut daemons = self.world.daemons.iter();
        let gate = daemons.position(|d| d.address.to_string() == address);
        let gate = gate.expect("a known gate");
        let asked = (life, attempt.request);
        if self.world.daemons[gate].node.is_none() {
            let event = entry::Event::NotSent(attempt.request, attempt.attempt);
            return self.later(Duration::ZERO, Transit::ToEntry(asked, event));
        }
        let call = Call {
            asked,
            attempt: attempt.attempt,
            gate: self.life(gate),
            claim: attempt.claim,
        };
        // A frame that doesn't get through comes late, or never.
        if self.link(life.0, gate) {
            self.later(Duration::from_millis(10), Transit::Open(call));
        } else if self.world.rng.random_bool(0.7) {
            self.later(Duration::from_secs(8), Transit::Open(call));
        }
    }

    /// The caller has its final answer; without a run it sends again, through
    /// any daemon.
    fn refused(&mut self, asked: Asked, run: RunState) {
        if run != RunState::NotRun {
            return;
        }
        assert!(
            !self.ran.contains(&asked),
            "seed {}: said not run",
            self.seed
        );
        self.not_run.insert(asked);
        let key = self.keys[&asked].clone();
        let resends = self.resends.entry(key.clone()).or_default();
        *resends += 1;
        if *resends < 8 {
            let i = self.world.rng.random_range(0..CONTROLS + GATES);
            self.send(i, &key);
        }
    }

    fn gate_effect(&mut self, gate: usize, effect: admission::Effect) {
        match effect {
            admission::Effect::Run(ticket) => self.run(ticket),
            admission::Effect::Refuse { ticket, reason, .. } => {
                let Some(call) = self.tickets.remove(&ticket) else {
                    return;
                };
                self.gate_refused(gate, &call, reason);
            }
            admission::Effect::Expire(ticket) => {
                if let Some(call) = self.tickets.get(&ticket).cloned() {
                    self.broken(&call);
                }
            }
            admission::Effect::Cancel(_) => {}
        }
    }

    fn gate_refused(&mut self, gate: usize, call: &Call, reason: RefuseReason) {
        if !self.link(gate, call.asked.0.0) {
            return;
        }
        let refuse = Refuse {
            reason: reason as i32,
            ..Refuse::default()
        };
        let event = entry::Event::Refused(call.asked.1, call.attempt, refuse);
        self.later(
            Duration::from_millis(10),
            Transit::ToEntry(call.asked, event),
        );
    }

    /// The upstream runs the request, whatever becomes of its daemon.
    fn run(&mut self, ticket: u64) {
        let Some(call) = self.tickets.get(&ticket).cloned() else {
            return;
        };
        let seed = self.seed;
        let key = self.keys[&call.asked].clone();
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        assert!(*runs <= 1, "seed {seed}: {key} ran {runs} times");
        assert!(
            !self.not_run.contains(&call.asked),
            "seed {seed}: {key} ran after all"
        );
        self.ran.insert(call.asked);
        if self.world.rng.random_bool(0.05) {
            self.later(Duration::from_millis(50), Transit::Open(call.clone()));
        }
        let outcome = match self.world.rng.random_bool(0.05) {
            true => gate::Outcome::Broken,
            false => gate::Outcome::Whole(201),
        };
        let done = Transit::UpstreamDone(call, ticket, outcome);
        self.later(Duration::from_millis(80), done);
    }

    fn step(&mut self) {
        let i = self.world.rng.random_range(0..CONTROLS + GATES);
        let other = self.world.rng.random_range(0..CONTROLS + GATES);
        let up = self.world.daemons[i].node.is_some();
        match self.world.rng.random_range(0..24) {
            0 if up => self.world.kill(i),
            1 if up => self.world.freeze(i),
            2 if i != other => self.world.cut(i, other),
            3 => self.world.isolate(i),
            4..=6 => self.repair(),
            _ => {
                // The same key at the same moment through two daemons.
                self.sends += 1;
                let newest = self.sends / 2;
                let key = format!("k{}", self.world.rng.random_range(newest..newest + 3));
                self.send(i, &key);
                if self.world.rng.random_bool(0.4) {
                    self.send(other, &key);
                }
            }
        }
        let ticks = self.world.rng.random_range(1..40);
        (0..ticks).for_each(|_| self.tick());
    }

    fn repair(&mut self) {
        self.world.heal();
        for i in 0..CONTROLS + GATES {
            if self.world.daemons[i].frozen {
                self.world.thaw(i);
            }
            if self.world.daemons[i].node.is_none() {
                self.world.start(i);
            }
        }
        self.announce();
    }
}

/// Returns how many keys ran, and how many requests were answered.
fn shuffle(seed: u64) -> (usize, u64) {
    let mut once = Once::new(seed);
    (0..STEPS).for_each(|_| once.step());
    once.repair();
    (0..1_500).for_each(|_| once.tick());
    (once.runs.len(), once.answered)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn shuffle_runs_no_key_twice(seed: u64) {
    let (ran, answered) = shuffle(seed);
    assert!(
        ran > 10 && answered > 10,
        "seed {seed}: {ran} ran, {answered} answered"
    );
}

#[test]
fn shuffle_longer_run() {
    let seeds = std::env::var("SHUFFLE_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|s| s.parse().ok()).unwrap_or(2);
    for seed in 100..100 + seeds {
        let (ran, answered) = shuffle(seed);
        println!("seed {seed}: {ran} keys ran, {answered} requests answered");
    }
}
