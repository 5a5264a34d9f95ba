//! A seeded shuffle of everything that can happen to a gate. After every step
//! the count must be exact, within the limit at each admission, and within
//! what the evidence since the last doubt allows.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use gate::{Gate, GateLimits, LoadReport, Outcome, Placement, SlotRequest, Ticket};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use test_case::test_case;
use wire::Announcement;

const COLD_SLOTS: u32 = 2;
const RAMP_ANSWERS: u32 = 3;
const STEPS: u32 = 20_000;

/// What must hold, kept apart from the gate's own books.
struct Model {
    slots: u32,
    boot: u32,
    /// Requests that run, with the number of doubts before each.
    running: BTreeMap<Ticket, u32>,
    cancelled: BTreeSet<Ticket>,
    waiting: BTreeSet<Ticket>,
    doubts: u32,
    answers: u32,
    last_busy: Duration,
}

impl Model {
    fn doubt(&mut self) {
        self.doubts += 1;
        self.answers = 0;
    }

    fn allowed(&self) -> u32 {
        self.slots.min(COLD_SLOTS + self.answers / RAMP_ANSWERS)
    }
}

struct Shuffle {
    rng: SmallRng,
    gate: Gate,
    model: Model,
    now: Duration,
    next: Ticket,
    admitted: u32,
    full: u32,
    waited: u32,
}

impl Shuffle {
    fn new(seed: u64) -> Self {
        let gate = Gate::new(GateLimits {
            cold_slots: COLD_SLOTS,
            ramp_answers: RAMP_ANSWERS,
            queue_ratio: 0.5,
            idle: Duration::from_secs(5),
            finds_knee: false,
            expects_reports: seed.is_multiple_of(2),
            unlimited: false,
        });
        Self {
            rng: SmallRng::seed_from_u64(seed),
            gate,
            model: Model {
                slots: 0,
                boot: 0,
                running: BTreeMap::new(),
                cancelled: BTreeSet::new(),
                waiting: BTreeSet::new(),
                doubts: 0,
                answers: 0,
                last_busy: Duration::ZERO,
            },
            now: Duration::ZERO,
            next: 0,
            admitted: 0,
            full: 0,
            waited: 0,
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..20));
        match self.rng.random_range(0..1000) {
            0..10 => self.announce(),
            10..12 => self.now += Duration::from_secs(6),
            12..20 => {
                self.gate.assume_cold(self.now);
                self.model.doubt();
            }
            20..40 => self.gate.record_report(
                self.now,
                LoadReport {
                    in_flight: self.rng.random_range(0..3),
                    limit: self
                        .rng
                        .random_bool(0.3)
                        .then(|| self.rng.random_range(0..9)),
                    cold_remaining: None,
                    slow_percent: None,
                },
            ),
            40..100 => {
                if let Some(ticket) = self.any_running() {
                    self.gate.cancel(ticket);
                    self.model.cancelled.insert(ticket);
                }
            }
            100..560 => self.finish(),
            _ => self.admit(),
        }
        self.run_waiting();
        let load = self.gate.load();
        assert_eq!(load.in_flight as usize, self.model.running.len());
        assert!(load.limit <= self.model.slots, "{load:?}");
    }

    fn announce(&mut self) {
        if self.rng.random_bool(0.3) {
            self.model.boot += 1;
            self.model.doubt();
            self.model.running.clear();
        }
        self.model.slots = self.rng.random_range(0..9);
        self.gate.announce(
            self.now,
            Announcement {
                service: "booking".into(),
                slots: self.model.slots,
                boot: self.model.boot.to_string(),
                leaving: false,
                ..Announcement::default()
            },
        );
    }

    fn admit(&mut self) {
        self.next += 1;
        let ask = SlotRequest {
            ticket: self.next,
            service: "booking".into(),
            customer: if self.rng.random_bool(0.7) { "a" } else { "b" }.into(),
            share: 1,
            class: "page".into(),
            weight: self.rng.random_range(1..3),
            objective: None,
        };
        let idle = self.now.saturating_sub(self.model.last_busy) >= Duration::from_secs(5);
        if idle && self.model.running.is_empty() {
            self.model.doubt();
        }
        match self.gate.admit(self.now, &ask) {
            Ok(Placement::Running) => self.runs(self.next),
            Ok(Placement::Queued { displaced }) => {
                self.model.waiting.insert(self.next);
                if let Some(other) = displaced {
                    assert!(self.model.waiting.remove(&other), "{other} did not wait");
                }
            }
            Err(_) => {}
        }
    }

    /// Runs what waits, as far as there are slots.
    fn run_waiting(&mut self) {
        for ticket in self.gate.remove_expired(self.now) {
            assert!(self.model.waiting.remove(&ticket), "{ticket} did not wait");
        }
        while let Some(ticket) = self.gate.admit_queued(self.now) {
            assert!(self.model.waiting.remove(&ticket), "{ticket} did not wait");
            self.runs(ticket);
            self.waited += 1;
        }
        let load = self.gate.load();
        assert_eq!(load.waiting as usize, self.model.waiting.len());
        let idle = load.in_flight < load.limit && load.waiting > 0;
        assert!(!idle, "a slot stands idle while requests wait: {load:?}");
    }

    /// Checks a request that has just got a slot.
    fn runs(&mut self, ticket: Ticket) {
        self.model.last_busy = self.now;
        self.model.running.insert(ticket, self.model.doubts);
        self.admitted += 1;
        let running = u32::try_from(self.model.running.len()).unwrap();
        let limit = self.gate.load().limit;
        assert!(running <= limit, "{running} run at a limit of {limit}");
        let allowed = self.model.allowed();
        assert!(running <= allowed, "{running} run where {allowed} may");
        self.full += u32::from(running == self.model.slots);
    }

    fn finish(&mut self) {
        let known = self.any_running().filter(|_| self.rng.random_bool(0.95));
        // Now and then an end that comes twice, late, or for nothing at all.
        let late = self.rng.random_range(0..self.next + 2);
        let ticket = known.unwrap_or(late);
        let outcome = match self.rng.random_range(0..300) {
            0 => Outcome::Refused,
            1 => Outcome::Broken,
            2..8 => Outcome::Whole(503),
            _ => Outcome::Whole(200),
        };
        let held = self.model.running.remove(&ticket);
        // A late whole answer makes the gate distrust boot ids, which is the
        // scenarios' matter.
        let outcome = if held.is_none() {
            Outcome::Broken
        } else {
            outcome
        };
        assert_eq!(self.gate.finish(self.now, ticket, outcome), held.is_some());
        if held.is_none() {
            return;
        }
        self.model.last_busy = self.now;
        match outcome {
            Outcome::Whole(200) if held == Some(self.model.doubts) => self.model.answers += 1,
            Outcome::Whole(_) | Outcome::Rejected => {}
            // What broke because the gate cancelled it is no doubt.
            Outcome::Broken if self.model.cancelled.contains(&ticket) => {}
            Outcome::Broken | Outcome::Refused => self.model.doubt(),
        }
    }

    fn any_running(&mut self) -> Option<Ticket> {
        let len = self.model.running.len();
        if len == 0 {
            return None;
        }
        let at = self.rng.random_range(0..len);
        self.model.running.keys().nth(at).copied()
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn shuffle_seed(seed: u64) {
    let mut shuffle = Shuffle::new(seed);
    for _ in 0..STEPS {
        shuffle.step();
    }
    // The shuffle reaches what it is about.
    assert!(shuffle.admitted > 1_000, "{} admitted", shuffle.admitted);
    assert!(shuffle.full > 50, "full {} times", shuffle.full);
    assert!(shuffle.waited > 50, "{} waited", shuffle.waited);
}
