//! Randomised test of all operations of a gate, with fixed seeds. After every
//! step the count must be exact. At each admission the count must be within the
//! limit, and within what the responses since the last reset to the cold state
//! allow.
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

/// Expected state, tracked independently of the gate.
struct Model {
    slots: u32,
    boot: u32,
    /// Running requests, with the number of resets before each.
    running: BTreeMap<Ticket, u32>,
    cancelled: BTreeSet<Ticket>,
    waiting: BTreeSet<Ticket>,
    resets: u32,
    normal_responses: u32,
    last_active: Duration,
}

impl Model {
    fn reset(&mut self) {
        self.resets += 1;
        self.normal_responses = 0;
    }

    fn allowed(&self) -> u32 {
        self.slots
            .min(COLD_SLOTS + self.normal_responses / RAMP_ANSWERS)
    }
}

struct RandomTest {
    rng: SmallRng,
    gate: Gate,
    model: Model,
    now: Duration,
    next: Ticket,
    admitted: u32,
    full: u32,
    waited: u32,
}

impl RandomTest {
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
                resets: 0,
                normal_responses: 0,
                last_active: Duration::ZERO,
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
                self.model.reset();
            }
            20..40 => self.gate.record_report(
                self.now,
                LoadReport {
                    in_flight: self.rng.random_range(0..3),
                    limit: self
                        .rng
                        .random_bool(0.3)
                        .then(|| self.rng.random_range(0..9)),
                    slow_percent: None,
                },
            ),
            40..100 => {
                if let Some(ticket) = self.random_running() {
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
            self.model.reset();
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
        let request = SlotRequest {
            ticket: self.next,
            service: "booking".into(),
            customer: if self.rng.random_bool(0.7) { "a" } else { "b" }.into(),
            share: 1,
            class: "page".into(),
            weight: self.rng.random_range(1..3),
            objective: None,
            is_call: false,
        };
        let idle = self.now.saturating_sub(self.model.last_active) >= Duration::from_secs(5);
        if idle && self.model.running.is_empty() {
            self.model.reset();
        }
        match self.gate.admit(self.now, &request) {
            Ok(Placement::Running) => self.check_running(self.next),
            Ok(Placement::Queued { displaced }) => {
                self.model.waiting.insert(self.next);
                if let Some(ticket) = displaced {
                    assert!(self.model.waiting.remove(&ticket), "{ticket} did not wait");
                }
            }
            Err(_) => {}
        }
    }

    /// Runs queued requests as long as there are free slots.
    fn run_waiting(&mut self) {
        for ticket in self.gate.remove_expired(self.now) {
            assert!(self.model.waiting.remove(&ticket), "{ticket} did not wait");
        }
        while let Some(ticket) = self.gate.admit_queued(self.now) {
            assert!(self.model.waiting.remove(&ticket), "{ticket} did not wait");
            self.check_running(ticket);
            self.waited += 1;
        }
        let load = self.gate.load();
        assert_eq!(load.waiting as usize, self.model.waiting.len());
        let idle = load.in_flight < load.limit && load.waiting > 0;
        assert!(!idle, "a slot stands idle while requests wait: {load:?}");
    }

    /// Checks a request that has just received a slot.
    fn check_running(&mut self, ticket: Ticket) {
        self.model.last_active = self.now;
        self.model.running.insert(ticket, self.model.resets);
        self.admitted += 1;
        let running = u32::try_from(self.model.running.len()).unwrap();
        let limit = self.gate.load().limit;
        assert!(running <= limit, "{running} run at a limit of {limit}");
        let allowed = self.model.allowed();
        assert!(running <= allowed, "{running} run where {allowed} may");
        self.full += u32::from(running == self.model.slots);
    }

    fn finish(&mut self) {
        let running = self.random_running().filter(|_| self.rng.random_bool(0.95));
        // Sometimes ends a request twice, late, or one that never existed.
        let late = self.rng.random_range(0..self.next + 2);
        let ticket = running.unwrap_or(late);
        let outcome = match self.rng.random_range(0..300) {
            0 => Outcome::Refused,
            1 => Outcome::Broken,
            2..8 => Outcome::Whole(503),
            _ => Outcome::Whole(200),
        };
        let held = self.model.running.remove(&ticket);
        // A late complete response makes the gate distrust boot ids; the
        // scenario scripts cover that.
        let outcome = if held.is_none() {
            Outcome::Broken
        } else {
            outcome
        };
        assert_eq!(self.gate.finish(self.now, ticket, outcome), held.is_some());
        if held.is_none() {
            return;
        }
        self.model.last_active = self.now;
        match outcome {
            Outcome::Whole(200) if held == Some(self.model.resets) => {
                self.model.normal_responses += 1
            }
            Outcome::Whole(_) | Outcome::Rejected => {}
            // A connection that broke because of a cancellation does not reset
            // the upstream.
            Outcome::Broken if self.model.cancelled.contains(&ticket) => {}
            Outcome::Broken | Outcome::Refused => self.model.reset(),
        }
    }

    fn random_running(&mut self) -> Option<Ticket> {
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
    let mut test = RandomTest::new(seed);
    for _ in 0..STEPS {
        test.step();
    }
    // Checks that the test reaches the states it is meant for.
    assert!(test.admitted > 1_000, "{} admitted", test.admitted);
    assert!(test.full > 50, "full {} times", test.full);
    assert!(test.waited > 50, "{} waited", test.waited);
}
