//! Load pattern: a request that ends each upstream that runs it, and that callers send
//! again, where suspected requests are not isolated.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::Simulation;
use gate::{Outcome, Ticket};
use node::Event;
use node::admission::{self, Arrival, Effect};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Announcement, Fingerprint};

const CONTROLS: usize = 3;
const GATES: usize = 4;
const SERVICE: &str = "booking";
/// Fingerprint of the request that ends upstreams.
const CRASHING: Fingerprint = 666;
/// Time from a request's arrival at an upstream to the end of that upstream.
const CRASH_AFTER: Duration = Duration::from_millis(100);
/// Time for which an upstream is down.
const DOWN: Duration = Duration::from_secs(2);
/// Interval of the load reports, which fail while the upstream is down.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which callers send the crashing request again.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Time after its third crash within which a request may still reach upstreams.
const SETTLE: Duration = Duration::from_secs(3);
/// Highest number of times that it may reach upstreams later.
const MAX_LATE: usize = 3;
const SLOTS: u32 = 6;

/// An upstream beside a gate.
struct Upstream {
    running: BTreeMap<Ticket, Fingerprint>,
    /// When it ends, if it runs the crashing request.
    ends_at: Option<Duration>,
    /// When it starts again, while it is down.
    starts_at: Option<Duration>,
    boot: u64,
    sequence: u64,
}

/// Gates beside upstreams, and a control plane.
struct Fleet {
    sim: Simulation,
    upstreams: Vec<Upstream>,
    next_ticket: Ticket,
    /// When the crashing request reached an upstream.
    reached: Vec<Duration>,
    /// When an upstream ended.
    crashes: Vec<Duration>,
    refused: usize,
    next_report: Duration,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let sim = Simulation::with_settings(CONTROLS, GATES, seed, |settings| {
            settings.gate.isolate_suspects = false;
            settings.gate.cold_slots = SLOTS;
            settings.control.serve_stale = true;
            settings.control.heartbeat_interval = Duration::from_millis(500);
        });
        let upstream = || Upstream {
            running: BTreeMap::new(),
            ends_at: None,
            starts_at: None,
            boot: 0,
            sequence: 0,
        };
        let mut fleet = Self {
            sim,
            upstreams: (0..GATES).map(|_| upstream()).collect(),
            next_ticket: 0,
            reached: Vec::new(),
            crashes: Vec::new(),
            refused: 0,
            next_report: Duration::ZERO,
        };
        fleet.sim.run(Duration::from_secs(1));
        fleet.sim.event(0, Event::Initialise);
        let fresh = |sim: &Simulation| sim.daemons.iter().all(|d| d.is_fresh(sim.now));
        fleet.sim.run_until(Duration::from_secs(30), fresh).unwrap();
        (0..GATES).for_each(|gate| fleet.announce(gate));
        fleet.run(Duration::from_secs(3));
        fleet
    }

    fn gate_event(&mut self, gate: usize, event: admission::Event) {
        self.sim.event(CONTROLS + gate, Event::Admission(event));
    }

    fn announce(&mut self, gate: usize) {
        let upstream = &mut self.upstreams[gate];
        upstream.sequence += 1;
        let announcement = Announcement {
            service: SERVICE.into(),
            slots: SLOTS,
            boot: format!("b{}", upstream.boot),
            incarnation: upstream.boot + 1,
            sequence: upstream.sequence,
            ..Announcement::default()
        };
        self.gate_event(gate, admission::Event::Announced(announcement));
    }

    /// Sends a request to a gate, and to the upstream if the gate admits it.
    fn send(&mut self, gate: usize, fingerprint: Fingerprint) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let arrival = Arrival {
            ticket,
            link: 1,
            believed_slow_percent: 0,
            service: SERVICE.into(),
            customer: "".into(),
            class: "page".into(),
            deadline: Duration::from_secs(2),
            fingerprint,
            claim: 0,
            idempotent: true,
            weight: 1,
            objective: None,
            suspected: false,
        };
        self.gate_event(gate, admission::Event::Arrived(arrival));
        for effect in std::mem::take(&mut self.sim.daemons[CONTROLS + gate].admission) {
            match effect {
                Effect::Run(ticket) => self.run_at_upstream(gate, ticket, fingerprint),
                Effect::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
        ticket
    }

    fn run_at_upstream(&mut self, gate: usize, ticket: Ticket, fingerprint: Fingerprint) {
        if self.upstreams[gate].starts_at.is_some() {
            return self.end(gate, ticket, Outcome::Refused);
        }
        let now = self.sim.now;
        self.upstreams[gate].running.insert(ticket, fingerprint);
        if fingerprint == CRASHING {
            self.reached.push(now);
            let ends_at = &mut self.upstreams[gate].ends_at;
            ends_at.get_or_insert(now + CRASH_AFTER);
        }
    }

    fn end(&mut self, gate: usize, ticket: Ticket, outcome: Outcome) {
        self.upstreams[gate].running.remove(&ticket);
        self.gate_event(gate, admission::Event::Ended(ticket, outcome));
    }

    /// Ends an upstream with all that it runs.
    fn crash(&mut self, gate: usize) {
        self.crashes.push(self.sim.now);
        let upstream = &mut self.upstreams[gate];
        upstream.ends_at = None;
        upstream.starts_at = Some(self.sim.now + DOWN);
        for ticket in std::mem::take(&mut upstream.running).into_keys() {
            self.end(gate, ticket, Outcome::Broken);
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.sim.now + time;
        while self.sim.now < until {
            self.sim.tick();
            let now = self.sim.now;
            let reports_due = now >= self.next_report;
            if reports_due {
                self.next_report = now + REPORT_INTERVAL;
            }
            for gate in 0..GATES {
                if self.upstreams[gate].ends_at.is_some_and(|at| at <= now) {
                    self.crash(gate);
                }
                if self.upstreams[gate].starts_at.is_some_and(|at| at <= now) {
                    self.upstreams[gate].starts_at = None;
                    self.upstreams[gate].boot += 1;
                    self.announce(gate);
                }
                if reports_due && self.upstreams[gate].starts_at.is_some() {
                    self.gate_event(gate, admission::Event::ConnectionRefused);
                }
            }
        }
    }

    /// Has callers send the crashing request again and again, at one gate after the
    /// other.
    fn resend_crashing(&mut self, time: Duration) {
        let until = self.sim.now + time;
        let mut gate = 0;
        while self.sim.now < until {
            self.send(gate, CRASHING);
            gate = (gate + 1) % GATES;
            self.run(RESEND_INTERVAL);
        }
    }

    /// Returns how often the crashing request reached an upstream later than
    /// [`SETTLE`] after the third crash.
    fn reached_late(&self) -> usize {
        let third = self.crashes.get(2).copied().unwrap_or(Duration::MAX);
        let late = self.reached.iter().filter(|at| **at > third + SETTLE);
        late.count()
    }
}

/// Guards against a request that ends upstream after upstream for as long as callers
/// send it: each attempt was new to every daemon.
#[test]
fn resend_of_crashing_request_stops_after_third_crash() {
    let mut fleet = Fleet::new(1);
    fleet.resend_crashing(Duration::from_secs(30));
    assert!(fleet.crashes.len() >= 3, "it crashes upstreams");
    let late = fleet.reached_late();
    assert!(late <= MAX_LATE, "sent {late} times after its third crash");
}
