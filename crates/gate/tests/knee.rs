//! Load pattern: an upstream that slows down when it is nearly full.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use gate::{Gate, GateLimits, LoadReport, Outcome, Placement, Ticket};
use std::collections::BTreeMap;
use std::time::Duration;
use support::ask;
use test_case::test_case;
use wire::Announcement;

const SLOTS: u32 = 12;
/// Time of a request at an upstream that is not nearly full.
const WORK_MS: f64 = 100.0;

fn gate(finds_knee: bool) -> Gate {
    let mut gate = Gate::new(GateLimits {
        cold_slots: 100,
        ramp_answers: 1,
        queue_ratio: 0.0,
        idle: Duration::from_secs(600),
        finds_knee,
        expects_reports: false,
        unlimited: false,
    });
    gate.announce(
        Duration::ZERO,
        Announcement {
            service: "booking".into(),
            slots: SLOTS,
            boot: "b1".into(),
            ..Announcement::default()
        },
    );
    gate
}

/// Length of a spell, every fourth of which is slow if any are; and how much
/// longer work takes then.
const SPELL_MS: u64 = 500;
const SPELL_X: f64 = 7.0;
/// Time between two reports of the upstream's pace.
const REPORT_MS: u64 = 100;

/// A gate and its upstream, on which work takes `x` times as long while more
/// than `knee` requests run.
struct Model {
    gate: Gate,
    knee: usize,
    x: f64,
    /// Whether there are slow spells, of which the upstream tells.
    spells: bool,
    now_ms: u64,
    ticket: Ticket,
    /// Work left of each request, in milliseconds.
    left: BTreeMap<Ticket, f64>,
}

impl Model {
    /// Creates one that has learnt the usual time at low load, as an upstream
    /// does before a rush.
    fn after_calm(finds_knee: bool, knee: usize, x: f64) -> Self {
        Self::after_spells(finds_knee, knee, x, false)
    }

    /// Creates one that may have had slow spells in the calm.
    fn after_spells(finds_knee: bool, knee: usize, x: f64, spells: bool) -> Self {
        let mut model = Self {
            gate: gate(finds_knee),
            knee,
            x,
            spells,
            now_ms: 20_000,
            ticket: 0,
            left: BTreeMap::new(),
        };
        model.offer(30.0, 5);
        model
    }

    /// Offers `per_s` requests a second for `seconds`; returns how many were
    /// answered in the second half.
    fn offer(&mut self, per_s: f64, seconds: u32) -> usize {
        let (mut answered, mut offered) = (0, 0.0);
        for ms in 0..seconds * 1_000 {
            self.now_ms += 1;
            let done = self.work();
            if ms >= seconds * 500 {
                answered += done;
            }
            offered += per_s / 1_000.0;
            while offered >= 1.0 {
                offered -= 1.0;
                self.arrive();
            }
        }
        answered
    }

    fn work(&mut self) -> usize {
        let slow = self.spells && (self.now_ms / SPELL_MS).is_multiple_of(4);
        let spell = if slow { SPELL_X } else { 1.0 };
        let full = if self.left.len() > self.knee {
            self.x
        } else {
            1.0
        };
        let pace = 1.0 / (spell * full);
        if self.spells && self.now_ms.is_multiple_of(REPORT_MS) {
            let report = LoadReport {
                in_flight: u32::try_from(self.left.len()).unwrap(),
                limit: None,
                cold_remaining: None,
                slow_percent: Some(if slow { 700 } else { 100 }),
            };
            self.gate
                .record_report(Duration::from_millis(self.now_ms), report);
        }
        self.left.values_mut().for_each(|l| *l -= pace);
        let done: Vec<Ticket> = self
            .left
            .iter()
            .filter(|(_, l)| **l <= 0.0)
            .map(|(t, _)| *t)
            .collect();
        for ticket in &done {
            self.left.remove(ticket);
            let now = Duration::from_millis(self.now_ms);
            self.gate.finish(now, *ticket, Outcome::Whole(200));
        }
        done.len()
    }

    fn arrive(&mut self) {
        self.ticket += 1;
        let ask = ask(self.ticket);
        let now = Duration::from_millis(self.now_ms);
        if self.gate.admit(now, &ask) == Ok(Placement::Running) {
            self.left.insert(self.ticket, WORK_MS);
        }
    }
}

#[test]
fn overload_with_a_knee_answers_more_below_it() {
    let with = Model::after_calm(true, 9, 2.0).offer(300.0, 20);
    let without = Model::after_calm(false, 9, 2.0).offer(300.0, 20);
    assert!(with * 10 > without * 12, "with {with}, without {without}");
}

/// Requests that span a slow spell say nothing of the knee.
#[test]
fn overload_after_slow_spells_answers_more_below_the_knee() {
    let mut with = Model::after_spells(true, 9, 1.7, true);
    with.offer(30.0, 20);
    with.spells = false;
    with.offer(300.0, 10);
    assert_eq!(with.gate.load().limit, 9);
}

#[test_case(1.0; "no slowdown")]
#[test_case(1.05; "a slowdown not worth a slot")]
fn overload_without_a_knee_uses_every_slot(x: f64) {
    let mut model = Model::after_calm(true, 9, x);
    model.offer(300.0, 20);
    assert_eq!(model.gate.load().limit, SLOTS);
}

#[test]
fn announce_of_another_service_forgets_the_knee() {
    let mut model = Model::after_calm(true, 9, 2.0);
    model.offer(300.0, 20);
    assert!(model.gate.load().limit < SLOTS);
    model.gate.announce(
        Duration::from_secs(100),
        Announcement {
            service: "club".into(),
            slots: SLOTS,
            boot: "b2".into(),
            ..Announcement::default()
        },
    );
    assert_eq!(model.gate.load().limit, SLOTS);
}
