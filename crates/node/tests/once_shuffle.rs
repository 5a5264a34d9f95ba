//! Tests that non-idempotent requests run at most once under randomised fault
//! injection: three replicas and two gates, with an entry at every daemon and
//! callers that resend.
//!
//! Upstreams survive their daemons and count the runs of each key. For a longer
//! run:
//! `SHUFFLE_SEEDS=500 cargo test --release -p node --test once_shuffle`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;
mod requests;

use common::Simulation;
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

/// One run of a daemon: its index and the number of its start.
type Incarnation = (usize, u64);
/// A request at an entry: the run of the daemon and the request's id there.
type RequestId = (Incarnation, u64);

/// An attempt of a request at a gate.
#[derive(Clone)]
struct Call {
    request: RequestId,
    attempt: u32,
    gate: Incarnation,
    claim: u64,
}

/// A frame in transit, or work of an upstream that has not ended.
enum InTransit {
    Open(Call),
    ToEntry(RequestId, entry::Event),
    UpstreamDone(Call, u64, gate::Outcome),
}

struct OnceShuffle {
    sim: Simulation,
    seed: u64,
    in_transit: BTreeMap<(Duration, u64), InTransit>,
    counter: u64,
    /// Calls that a gate has accepted and not finished, by ticket.
    tickets: BTreeMap<u64, Call>,
    keys: BTreeMap<RequestId, String>,
    resends: BTreeMap<String, u32>,
    runs: BTreeMap<String, u32>,
    ran: BTreeSet<RequestId>,
    not_run: BTreeSet<RequestId>,
    responses: u64,
    sends: u64,
}

impl OnceShuffle {
    fn new(seed: u64) -> Self {
        let mut sim = Simulation::new(CONTROLS, GATES, seed);
        sim.event(0, Event::Initialise);
        sim.run(Duration::from_secs(12));
        let mut shuffle = Self {
            sim,
            seed,
            in_transit: BTreeMap::new(),
            counter: 0,
            tickets: BTreeMap::new(),
            keys: BTreeMap::new(),
            resends: BTreeMap::new(),
            runs: BTreeMap::new(),
            ran: BTreeSet::new(),
            not_run: BTreeSet::new(),
            responses: 0,
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
        shuffle.sim.send_request(0, 1, lists);
        shuffle.announce();
        shuffle.sim.run(Duration::from_secs(5));
        shuffle
    }

    fn incarnation(&self, i: usize) -> Incarnation {
        (i, self.sim.daemons[i].starts)
    }

    fn is_alive(&self, (i, starts): Incarnation) -> bool {
        let d = &self.sim.daemons[i];
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
            self.sim.event(i, Event::Admission(event));
        }
    }

    fn schedule(&mut self, max_delay: Duration, transit: InTransit) {
        let delay = max_delay.mul_f64(self.sim.rng.random::<f64>());
        self.counter += 1;
        let at = (self.sim.now + delay, self.counter);
        self.in_transit.insert(at, transit);
    }

    fn send(&mut self, i: usize, key: &str) {
        if self.sim.daemons[i].node.is_none() {
            return;
        }
        self.counter += 1;
        let id = self.counter;
        self.keys.insert((self.incarnation(i), id), key.to_owned());
        let request = entry::Request {
            customer: "tc".into(),
            service: "booking".into(),
            class: Some("booking".into()),
            safe_method: false,
            fingerprint: wire::fingerprint("tc", "booking", "POST", "/", key.as_bytes(), None),
            key: Some(key.into()),
            ..requests::request(id)
        };
        let event = entry::Event::Arrived(request);
        self.sim.event(i, Event::Entry(event));
    }

    fn tick(&mut self) {
        self.sim.tick();
        while let Some(next) = self
            .in_transit
            .first_entry()
            .filter(|e| e.key().0 <= self.sim.now)
        {
            let transit = next.remove();
            self.arrive(transit);
        }
        self.break_lost_calls();
        for i in 0..CONTROLS + GATES {
            for effect in std::mem::take(&mut self.sim.daemons[i].entry) {
                self.entry_effect(i, effect);
            }
            for effect in std::mem::take(&mut self.sim.daemons[i].admission) {
                self.gate_effect(i, effect);
            }
        }
    }

    fn arrive(&mut self, transit: InTransit) {
        match transit {
            InTransit::Open(call) if self.is_alive(call.gate) => self.arrived(call),
            InTransit::Open(call) => self.broken(&call),
            InTransit::ToEntry(request, event) if self.is_alive(request.0) => {
                self.sim.event(request.0.0, Event::Entry(event));
            }
            InTransit::UpstreamDone(call, ticket, outcome) if self.is_alive(call.gate) => {
                self.tickets.remove(&ticket);
                let ended = admission::Event::Ended(ticket, outcome);
                self.sim.event(call.gate.0, Event::Admission(ended));
                self.respond(&call, outcome);
            }
            InTransit::ToEntry(..) | InTransit::UpstreamDone(..) => {}
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
            is_call: false,
            link: 0,
            believed_slow_percent: 0,
        };
        let gate = call.gate.0;
        self.tickets.insert(ticket, call);
        let event = admission::Event::Arrived(arrival);
        self.sim.event(gate, Event::Admission(event));
    }

    fn respond(&mut self, call: &Call, outcome: gate::Outcome) {
        if outcome != gate::Outcome::Whole(201) || !self.link(call.gate.0, call.request.0.0) {
            return self.broken(call);
        }
        let (id, attempt) = (call.request.1, call.attempt);
        let started = entry::Event::ResponseStarted(id, attempt, 201, None);
        let ended = entry::Event::Ended(id, attempt, 0, None);
        self.schedule(Duration::ZERO, InTransit::ToEntry(call.request, started));
        self.schedule(Duration::ZERO, InTransit::ToEntry(call.request, ended));
    }

    fn broken(&mut self, call: &Call) {
        let event = entry::Event::Broken(call.request.1, call.attempt, None);
        self.schedule(
            Duration::from_millis(20),
            InTransit::ToEntry(call.request, event),
        );
    }

    /// Returns whether a frame gets through: the link is not cut, and the frame
    /// is not among the 3% held back at random.
    fn link(&mut self, from: usize, to: usize) -> bool {
        self.sim.reaches(from, to) && self.sim.rng.random_bool(0.97)
    }

    /// Fails the calls at gates that are down or restarted.
    fn break_lost_calls(&mut self) {
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
        let incarnation = self.incarnation(i);
        match effect {
            entry::Effect::Forward(attempt) => self.forward(incarnation, &attempt),
            entry::Effect::Refuse(id, refusal) => self.refused((incarnation, id), refusal.run),
            entry::Effect::Relay(..) => self.responses += 1,
            entry::Effect::Cancel(..) | entry::Effect::Forget(_) => {}
        }
    }

    fn forward(&mut self, incarnation: Incarnation, attempt: &entry::Attempt) {
        let address = attempt.address.as_str();
        let mut daemons = self.sim.daemons.iter();
        let gate = daemons.position(|d| d.address.to_string() == address);
        let gate = gate.expect("a known gate");
        let request = (incarnation, attempt.request);
        if self.sim.daemons[gate].node.is_none() {
            let event = entry::Event::NotSent(attempt.request, attempt.attempt);
            return self.schedule(Duration::ZERO, InTransit::ToEntry(request, event));
        }
        let call = Call {
            request,
            attempt: attempt.attempt,
            gate: self.incarnation(gate),
            claim: attempt.claim,
        };
        // A frame that is held back arrives late or is lost.
        if self.link(incarnation.0, gate) {
            self.schedule(Duration::from_millis(10), InTransit::Open(call));
        } else if self.sim.rng.random_bool(0.7) {
            self.schedule(Duration::from_secs(8), InTransit::Open(call));
        }
    }

    /// Handles a final refusal. If the request did not run, the caller resends
    /// it through any daemon, up to seven times.
    fn refused(&mut self, request: RequestId, run: RunState) {
        if run != RunState::NotRun {
            return;
        }
        assert!(
            !self.ran.contains(&request),
            "seed {}: a request that ran was refused as not run",
            self.seed
        );
        self.not_run.insert(request);
        let key = self.keys[&request].clone();
        let resends = self.resends.entry(key.clone()).or_default();
        *resends += 1;
        if *resends < 8 {
            let i = self.sim.rng.random_range(0..CONTROLS + GATES);
            self.send(i, &key);
        }
    }

    fn gate_effect(&mut self, gate: usize, effect: admission::Effect) {
        match effect {
            admission::Effect::Receive(ticket) => panic!("{ticket} was not offered"),
            admission::Effect::Run { ticket, .. } => self.run(ticket),
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
        if !self.link(gate, call.request.0.0) {
            return;
        }
        let refuse = Refuse {
            reason: reason as i32,
            ..Refuse::default()
        };
        let event = entry::Event::Refused(call.request.1, call.attempt, refuse);
        self.schedule(
            Duration::from_millis(10),
            InTransit::ToEntry(call.request, event),
        );
    }

    /// Runs the request at the upstream, even if the daemon fails meanwhile.
    fn run(&mut self, ticket: u64) {
        let Some(call) = self.tickets.get(&ticket).cloned() else {
            return;
        };
        let seed = self.seed;
        let key = self.keys[&call.request].clone();
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        assert!(*runs <= 1, "seed {seed}: {key} ran {runs} times");
        assert!(
            !self.not_run.contains(&call.request),
            "seed {seed}: {key} ran after it was refused as not run"
        );
        self.ran.insert(call.request);
        if self.sim.rng.random_bool(0.05) {
            self.schedule(Duration::from_millis(50), InTransit::Open(call.clone()));
        }
        let outcome = match self.sim.rng.random_bool(0.05) {
            true => gate::Outcome::Broken,
            false => gate::Outcome::Whole(201),
        };
        let done = InTransit::UpstreamDone(call, ticket, outcome);
        self.schedule(Duration::from_millis(80), done);
    }

    fn step(&mut self) {
        let i = self.sim.rng.random_range(0..CONTROLS + GATES);
        let other = self.sim.rng.random_range(0..CONTROLS + GATES);
        let up = self.sim.daemons[i].node.is_some();
        match self.sim.rng.random_range(0..24) {
            0 if up => self.sim.kill(i),
            1 if up => self.sim.freeze(i),
            2 if i != other => self.sim.cut(i, other),
            3 => self.sim.isolate(i),
            4..=6 => self.repair(),
            _ => {
                // Sometimes sends the same key through two daemons at once.
                self.sends += 1;
                let newest = self.sends / 2;
                let key = format!("k{}", self.sim.rng.random_range(newest..newest + 3));
                self.send(i, &key);
                if self.sim.rng.random_bool(0.4) {
                    self.send(other, &key);
                }
            }
        }
        let ticks = self.sim.rng.random_range(1..40);
        (0..ticks).for_each(|_| self.tick());
    }

    fn repair(&mut self) {
        self.sim.heal();
        for i in 0..CONTROLS + GATES {
            if self.sim.daemons[i].frozen {
                self.sim.thaw(i);
            }
            if self.sim.daemons[i].node.is_none() {
                self.sim.start(i);
            }
        }
        self.announce();
    }
}

/// Returns the number of keys that ran and of responses relayed to callers.
fn shuffle(seed: u64) -> (usize, u64) {
    let mut shuffle = OnceShuffle::new(seed);
    (0..STEPS).for_each(|_| shuffle.step());
    shuffle.repair();
    (0..1_500).for_each(|_| shuffle.tick());
    (shuffle.runs.len(), shuffle.responses)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn shuffle_runs_no_key_twice(seed: u64) {
    let (ran, responses) = shuffle(seed);
    assert!(
        ran > 10 && responses > 10,
        "seed {seed}: {ran} ran, {responses} responses"
    );
}

#[test]
fn shuffle_longer_run() {
    for seed in common::shuffle_seeds(100, 2) {
        let (ran, responses) = shuffle(seed);
        println!("seed {seed}: {ran} keys ran, {responses} responses");
    }
}
