//! The service times by which a gate ranks the requests in its queue, and how they are renewed.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use gate::{Gate, GateLimits, Outcome, Placement, SlotRequest, Ticket};
use std::collections::BTreeMap;
use std::time::Duration;
use support::slot_request;
use wire::{Announcement, ClassId};

/// Service time of the requests that keep the gate full.
const WORK: Duration = Duration::from_millis(20);
/// Time before the end of a request at which others arrive, less than they may wait.
const SHORTLY: Duration = Duration::from_millis(1);
/// Latency objective of all classes.
const OBJECTIVE: Duration = Duration::from_millis(500);

/// A gate with one slot, which is always taken.
struct BusyGate {
    gate: Gate,
    now: Duration,
    last: Ticket,
    running: Option<Ticket>,
    classes: BTreeMap<Ticket, ClassId>,
}

impl BusyGate {
    fn new() -> Self {
        let mut gate = Gate::new(GateLimits {
            cold_slots: 1,
            ramp_answers: 1,
            queue_ratio: 2.0,
            idle: Duration::MAX,
            finds_knee: false,
            expects_reports: false,
            unlimited: false,
        });
        gate.announce(
            Duration::ZERO,
            Announcement {
                service: "booking".to_owned(),
                slots: 1,
                boot: "b1".to_owned(),
                ..Announcement::default()
            },
        );
        Self {
            gate,
            now: Duration::from_secs(1),
            last: 0,
            running: None,
            classes: BTreeMap::new(),
        }
    }

    fn request(&mut self, class: &str) -> SlotRequest {
        self.last += 1;
        SlotRequest {
            class: class.into(),
            weight: if class == "page" { 1 } else { 2 },
            objective: Some(self.now + OBJECTIVE),
            ..slot_request(self.last)
        }
    }

    /// Runs a request alone for a time.
    fn measure(&mut self, class: &str, service_time: Duration) {
        let request = self.request(class);
        self.gate.admit(self.now, &request).unwrap();
        self.now += service_time;
        self.gate
            .finish(self.now, request.ticket, Outcome::Whole(200));
    }

    /// Offers more requests of "page" than fit, and one of `class` beside them, which has more weight, for the time
    /// of one request; returns whether one of that class has started.
    fn step(&mut self, class: &str) -> bool {
        self.now += WORK - SHORTLY;
        for class in ["page", "page", class, "page"] {
            let request = self.request(class);
            self.classes.insert(request.ticket, request.class.clone());
            let placed = self.gate.admit(self.now, &request);
            if placed == Ok(Placement::Running) {
                self.running = Some(request.ticket);
            }
        }
        self.now += SHORTLY;
        if let Some(ticket) = self.running.take() {
            self.gate.finish(self.now, ticket, Outcome::Whole(200));
        }
        self.gate.remove_expired(self.now);
        self.running = self.gate.admit_queued(self.now);
        let running = self.running.and_then(|ticket| self.classes.get(&ticket));
        running.is_some_and(|running| running == class)
    }
}

/// Guards against a class that was slow once and gets no slot of a busy gate for good, because
/// each of its requests ranks as late and none renews that (issue 56).
#[test]
fn class_that_was_slow_gets_slots_of_a_busy_gate_again() {
    let mut busy = BusyGate::new();
    busy.measure("page", WORK);
    busy.measure("report", Duration::from_secs(5));
    let steps = 60_000 / u64::try_from(WORK.as_millis()).unwrap();
    let started: Vec<bool> = (0..steps).map(|_| busy.step("report")).collect();
    let (first, last) = started.split_at(started.len() / 2);
    let in_first_second = first.iter().take(50).filter(|s| **s).count();
    assert_eq!(in_first_second, 0, "an estimate that is new is relied on");
    let count = last.iter().filter(|s| **s).count();
    assert!(count > 100, "{count} of {} slots", last.len());
}
