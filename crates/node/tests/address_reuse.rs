//! Requests that wait at a gate while the address of its upstream passes to an upstream of
//! another service, or to another start of the same one.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod one_daemon;

use gate::{Outcome, Ticket};
use node::admission::{self, Arrival};
use node::{Effect, Event, Node};
use one_daemon::{admit, configured, run};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use test_case::{test_case, test_matrix};
use wire::{Announcement, RefuseReason};

const SLOTS: u32 = 2;
const SERVICES: [&str; 2] = ["booking", "club"];
const DEADLINE: Duration = Duration::from_secs(10);
/// Seeds and events of the shuffle.
const SEEDS: u64 = 200;
const EVENTS: u32 = 400;

/// What the announcement of the upstream that has taken over the address states of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStart {
    /// It is new.
    New,
    /// It is that of the upstream before.
    Same,
    /// It is one that was announced before that.
    Earlier,
    /// It is new, but a request has survived such a start.
    Untrusted,
}

/// Where a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    Slot,
    ClaimedSlot,
    Exclusive,
}

/// Returns a daemon with a configuration that knows no upstream yet.
fn daemon() -> Node {
    let mut settings = one_daemon::settings("booking-1");
    settings.gate.cold_slots = SLOTS;
    settings.gate.queue_ratio = 2.0;
    configured(settings)
}

fn announce(node: &mut Node, at_ms: u64, service: &str, boot: &str) -> Vec<admission::Effect> {
    let announcement = Announcement {
        service: service.into(),
        slots: SLOTS,
        target: format!("i-{boot}"),
        boot: boot.into(),
        ..Announcement::default()
    };
    admit(node, at_ms, admission::Event::Announced(announcement))
}

fn arrival(ticket: Ticket, service: &str) -> Arrival {
    Arrival {
        ticket,
        link: 1,
        believed_slow_percent: 0,
        service: service.into(),
        customer: "".into(),
        class: "page".into(),
        deadline: DEADLINE,
        fingerprint: ticket,
        claim: 0,
        idempotent: false,
        weight: 1,
        objective: None,
        is_call: false,
        suspected: false,
    }
}

fn arrive(node: &mut Node, at_ms: u64, arrival: Arrival) -> Vec<admission::Effect> {
    admit(node, at_ms, admission::Event::Arrived(arrival))
}

fn runs(effects: &[admission::Effect]) -> Vec<Ticket> {
    let runs = effects.iter().filter_map(|effect| match effect {
        admission::Effect::Run { ticket, .. } => Some(*ticket),
        _ => None,
    });
    runs.collect()
}

fn refusals(effects: &[admission::Effect]) -> Vec<(Ticket, RefuseReason)> {
    let refusals = effects.iter().filter_map(|effect| match effect {
        admission::Effect::Refuse { ticket, reason, .. } => Some((*ticket, *reason)),
        _ => None,
    });
    refusals.collect()
}

/// Announces upstreams so that the next one can state such a start; the address is then that
/// of an upstream of the service `booking`. Returns the start that the next one states.
fn prepare(node: &mut Node, next: NextStart) -> &'static str {
    match next {
        NextStart::New => {}
        NextStart::Same => {
            announce(node, 2, "booking", "b1");
            return "b1";
        }
        NextStart::Earlier => {
            announce(node, 2, "club", "b0");
        }
        NextStart::Untrusted => {
            announce(node, 2, "booking", "b0");
            arrive(node, 3, arrival(90, "booking"));
            announce(node, 4, "booking", "b1");
            admit(node, 5, admission::Event::Ended(90, Outcome::Whole(200)));
        }
    }
    announce(node, 6, "booking", "b1");
    match next {
        NextStart::Earlier => "b0",
        _ => "b2",
    }
}

/// Guards against requests that wait at a gate and are run by an upstream of another service
/// which has taken over the address (issue 76, review/11).
#[test_matrix(
    [NextStart::New, NextStart::Same, NextStart::Earlier, NextStart::Untrusted],
    [Wait::Slot, Wait::ClaimedSlot, Wait::Exclusive]
)]
fn waiting_request_is_refused_once_another_service_has_the_address(next: NextStart, wait: Wait) {
    let mut node = daemon();
    let boot = prepare(&mut node, next);
    for ticket in [1, 2] {
        let effects = arrive(&mut node, 10, arrival(ticket, "booking"));
        assert_eq!(runs(&effects), [ticket]);
    }
    let waiting = Arrival {
        claim: u64::from(wait == Wait::ClaimedSlot) * 7,
        suspected: wait == Wait::Exclusive,
        ..arrival(3, "booking")
    };
    let effects = arrive(&mut node, 11, waiting);
    assert_eq!(effects, [], "the request waits");
    let effects = announce(&mut node, 12, "club", boot);
    assert_eq!(runs(&effects), []);
    assert_eq!(refusals(&effects), [(3, RefuseReason::NoUpstream)]);
    for ticket in [1, 2] {
        let ended = admission::Event::Ended(ticket, Outcome::Broken);
        assert_eq!(runs(&admit(&mut node, 13, ended)), []);
    }
    let ticks = (20..3_000).step_by(10);
    let later = ticks.flat_map(|at_ms| run(&mut node, at_ms, Event::Tick { unix_ms: 0 }));
    let later = later.filter(|effect| matches!(effect, Effect::Admission(_)));
    assert_eq!(later.count(), 0, "nothing is left of the request");
}

/// Guards against a body that is received while the address passes to another service, and
/// then run there.
#[test]
fn offered_request_is_refused_once_another_service_has_the_address() {
    let mut node = daemon();
    announce(&mut node, 2, "booking", "b1");
    let offered = admission::Event::Offered(arrival(1, "booking"));
    let effects = admit(&mut node, 10, offered);
    assert_eq!(effects, [admission::Effect::Receive(1)]);
    announce(&mut node, 20, "club", "b2");
    let effects = arrive(&mut node, 30, arrival(1, "booking"));
    assert_eq!(refusals(&effects), [(1, RefuseReason::NoUpstream)]);
}

/// A new start of the same service runs what waited for the one before.
#[test]
fn waiting_request_is_run_by_the_next_start_of_its_service() {
    let mut node = daemon();
    announce(&mut node, 2, "booking", "b1");
    for ticket in 1..=3 {
        arrive(&mut node, 10, arrival(ticket, "booking"));
    }
    let effects = announce(&mut node, 12, "booking", "b2");
    assert_eq!(runs(&effects), [3]);
    assert_eq!(refusals(&effects), []);
}

/// Guards against a request that is sent to the upstream after its deadline, because a slot
/// became free before the next tick.
#[test_case(Wait::Slot)]
#[test_case(Wait::Exclusive)]
fn waiting_request_is_not_run_after_its_deadline(wait: Wait) {
    let mut node = daemon();
    announce(&mut node, 2, "booking", "b1");
    for ticket in [1, 2] {
        arrive(&mut node, 10, arrival(ticket, "booking"));
    }
    let waiting = Arrival {
        deadline: Duration::from_millis(3),
        suspected: wait == Wait::Exclusive,
        ..arrival(3, "booking")
    };
    arrive(&mut node, 10, waiting);
    let mut effects = Vec::new();
    for ticket in [1, 2] {
        let ended = admission::Event::Ended(ticket, Outcome::Whole(200));
        effects.extend(admit(&mut node, 14, ended));
    }
    assert_eq!(runs(&effects), []);
    assert_eq!(refusals(&effects), [(3, RefuseReason::Deadline)]);
}

/// A gate and what its requests have come to.
struct Shuffle {
    node: Node,
    rng: SmallRng,
    now_ms: u64,
    tickets: Ticket,
    /// Service of each request that was not dispatched, refused or cancelled.
    waiting: BTreeMap<Ticket, &'static str>,
    running: BTreeSet<Ticket>,
    foreign_runs: Vec<String>,
}

impl Shuffle {
    fn new(seed: u64) -> Self {
        let mut node = daemon();
        announce(&mut node, 2, SERVICES[0], "b1");
        Self {
            node,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 10,
            tickets: 0,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            foreign_runs: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now_ms += self.rng.random_range(0..30);
        let effects = match self.rng.random_range(0..20) {
            0..10 => self.arrive(),
            10..14 => self.end(),
            14 => self.cancel(),
            15..17 => self.announce(),
            _ => {
                let effects = run(&mut self.node, self.now_ms, Event::Tick { unix_ms: 0 });
                let admissions = effects.into_iter().filter_map(|effect| match effect {
                    Effect::Admission(effect) => Some(effect),
                    _ => None,
                });
                admissions.collect()
            }
        };
        effects.into_iter().for_each(|effect| self.check(effect));
    }

    fn arrive(&mut self) -> Vec<admission::Effect> {
        self.tickets += 1;
        let service = SERVICES.choose(&mut self.rng).unwrap();
        self.waiting.insert(self.tickets, service);
        let arrival = Arrival {
            suspected: self.rng.random_ratio(1, 8),
            claim: self.tickets * u64::from(self.rng.random_ratio(1, 4)),
            deadline: Duration::from_millis(self.rng.random_range(1..3_000)),
            objective: Some(Duration::from_millis(self.rng.random_range(1..2_000))),
            ..arrival(self.tickets, service)
        };
        arrive(&mut self.node, self.now_ms, arrival)
    }

    fn announce(&mut self) -> Vec<admission::Effect> {
        let service = SERVICES.choose(&mut self.rng).unwrap();
        let boot = format!("b{}", self.rng.random_range(0..6));
        announce(&mut self.node, self.now_ms, service, &boot)
    }

    fn end(&mut self) -> Vec<admission::Effect> {
        let running: Vec<Ticket> = self.running.iter().copied().collect();
        let Some(ticket) = running.choose(&mut self.rng) else {
            return Vec::new();
        };
        self.running.remove(ticket);
        let outcomes = [
            Outcome::Whole(200),
            Outcome::Refused,
            Outcome::Rejected,
            Outcome::Broken,
        ];
        let outcome = *outcomes.choose(&mut self.rng).unwrap();
        admit(
            &mut self.node,
            self.now_ms,
            admission::Event::Ended(*ticket, outcome),
        )
    }

    fn cancel(&mut self) -> Vec<admission::Effect> {
        let waiting: Vec<Ticket> = self.waiting.keys().copied().collect();
        let Some(ticket) = waiting.choose(&mut self.rng) else {
            return Vec::new();
        };
        admit(
            &mut self.node,
            self.now_ms,
            admission::Event::Cancelled(*ticket),
        )
    }

    fn check(&mut self, effect: admission::Effect) {
        let announced = self.node.admission.announced().unwrap().service.clone();
        match effect {
            admission::Effect::Run { ticket, .. } => {
                let service = self.waiting.remove(&ticket).expect("it waited");
                self.running.insert(ticket);
                if service != announced {
                    let text = format!("{ticket} of {service} by {announced} at {}", self.now_ms);
                    self.foreign_runs.push(text);
                }
            }
            admission::Effect::Refuse { ticket, .. } => {
                assert!(self.waiting.remove(&ticket).is_some(), "{ticket} twice");
            }
            admission::Effect::Cancel(ticket) | admission::Effect::Expire(ticket) => {
                self.waiting.remove(&ticket);
            }
            admission::Effect::Receive(_) => {}
        }
    }
}

/// Guards against the same in any order of arrivals, starts, ends and cancellations.
#[test]
fn address_shuffle_runs_each_request_at_its_service() {
    for seed in 0..SEEDS {
        let mut shuffle = Shuffle::new(seed);
        for _ in 0..EVENTS {
            shuffle.step();
        }
        let foreign = &shuffle.foreign_runs;
        assert!(foreign.is_empty(), "seed {seed}: {foreign:?}");
        shuffle.now_ms += 10_000;
        for effect in run(
            &mut shuffle.node,
            shuffle.now_ms,
            Event::Tick { unix_ms: 0 },
        ) {
            if let Effect::Admission(effect) = effect {
                shuffle.check(effect);
            }
        }
        let left = &shuffle.waiting;
        assert!(left.is_empty(), "seed {seed}: without an outcome {left:?}");
    }
}
