//! Tests a gate whose upstream slows down when it is nearly full.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use gate::{Gate, GateLimits, LoadReport, Outcome, Placement, Ticket};
use std::collections::BTreeMap;
use std::time::Duration;
use support::slot_request;
use test_case::test_case;
use wire::Announcement;

const SLOTS: u32 = 12;
/// Service time below the knee.
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

/// Length of a period. Every fourth period is slow if slow periods are enabled;
/// the service time is multiplied by `SLOW_FACTOR` then.
const PERIOD_MS: u64 = 500;
const SLOW_FACTOR: f64 = 7.0;
/// Time between two load reports of the upstream.
const REPORT_MS: u64 = 100;

/// A gate and its upstream, whose service time is multiplied by `slowdown`
/// while more than `knee` requests run.
struct Model {
    gate: Gate,
    knee: usize,
    slowdown: f64,
    /// Whether there are slow periods, which the upstream reports.
    slow_periods: bool,
    now_ms: u64,
    ticket: Ticket,
    /// Remaining work of each request, in milliseconds.
    remaining: BTreeMap<Ticket, f64>,
}

impl Model {
    /// Creates a model that has measured the normal service time at low load,
    /// as an upstream does before a load peak.
    fn after_low_load(finds_knee: bool, knee: usize, slowdown: f64) -> Self {
        Self::after_slow_periods(finds_knee, knee, slowdown, false)
    }

    /// Like [`Self::after_low_load`], optionally with slow periods during the
    /// low load.
    fn after_slow_periods(
        finds_knee: bool,
        knee: usize,
        slowdown: f64,
        slow_periods: bool,
    ) -> Self {
        let mut model = Self {
            gate: gate(finds_knee),
            knee,
            slowdown,
            slow_periods,
            now_ms: 20_000,
            ticket: 0,
            remaining: BTreeMap::new(),
        };
        model.offer(30.0, 5);
        model
    }

    /// Sends `per_second` requests per second for `seconds`; returns the number of
    /// responses in the second half.
    fn offer(&mut self, per_second: f64, seconds: u32) -> usize {
        let (mut answered, mut offered) = (0, 0.0);
        for ms in 0..seconds * 1_000 {
            self.now_ms += 1;
            let done = self.work();
            if ms >= seconds * 500 {
                answered += done;
            }
            offered += per_second / 1_000.0;
            while offered >= 1.0 {
                offered -= 1.0;
                self.send();
            }
        }
        answered
    }

    fn work(&mut self) -> usize {
        let slow = self.slow_periods && (self.now_ms / PERIOD_MS).is_multiple_of(4);
        let period_factor = if slow { SLOW_FACTOR } else { 1.0 };
        let knee_factor = if self.remaining.len() > self.knee {
            self.slowdown
        } else {
            1.0
        };
        let progress = 1.0 / (period_factor * knee_factor);
        if self.slow_periods && self.now_ms.is_multiple_of(REPORT_MS) {
            let report = LoadReport {
                in_flight: u32::try_from(self.remaining.len()).unwrap(),
                limit: None,
                slow_percent: Some(if slow { 700 } else { 100 }),
            };
            self.gate
                .record_report(Duration::from_millis(self.now_ms), report);
        }
        self.remaining
            .values_mut()
            .for_each(|work| *work -= progress);
        let done: Vec<Ticket> = self
            .remaining
            .iter()
            .filter(|(_, work)| **work <= 0.0)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in &done {
            self.remaining.remove(ticket);
            let now = Duration::from_millis(self.now_ms);
            self.gate.finish(now, *ticket, Outcome::Whole(200));
        }
        done.len()
    }

    fn send(&mut self) {
        self.ticket += 1;
        let request = slot_request(self.ticket);
        let now = Duration::from_millis(self.now_ms);
        if self.gate.admit(now, &request) == Ok(Placement::Running) {
            self.remaining.insert(self.ticket, WORK_MS);
        }
    }
}

#[test]
fn overload_with_a_knee_answers_more_below_it() {
    let with = Model::after_low_load(true, 9, 2.0).offer(300.0, 20);
    let without = Model::after_low_load(false, 9, 2.0).offer(300.0, 20);
    assert!(with * 10 > without * 12, "with {with}, without {without}");
}

/// Requests that overlap a slow period must not affect the knee.
#[test]
fn overload_after_slow_periods_answers_more_below_the_knee() {
    let mut with = Model::after_slow_periods(true, 9, 1.7, true);
    with.offer(30.0, 20);
    with.slow_periods = false;
    with.offer(300.0, 10);
    assert_eq!(with.gate.load().limit, 9);
}

#[test_case(1.0; "no slowdown")]
#[test_case(1.05; "a slowdown not worth a slot")]
fn overload_without_a_knee_uses_every_slot(slowdown: f64) {
    let mut model = Model::after_low_load(true, 9, slowdown);
    model.offer(300.0, 20);
    assert_eq!(model.gate.load().limit, SLOTS);
}

#[test]
fn announce_of_another_service_resets_the_knee() {
    let mut model = Model::after_low_load(true, 9, 2.0);
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
