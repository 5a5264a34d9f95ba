//! Load pattern: a request that ends each upstream that runs it, and that callers send
//! again, where suspected requests are not isolated.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;
mod requests;

use common::Simulation;
use gate::{LoadReport, Outcome, Ticket};
use node::admission::{self, Arrival, Effect};
use node::{Event, entry};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;
use wire::{Announcement, Fingerprint, RefuseReason};

const CONTROLS: usize = 3;
const GATES: usize = 4;
const SERVICE: &str = "booking";
/// Fingerprint of the request that ends upstreams.
const CRASHING: Fingerprint = 666;
/// Fingerprint of a request that many callers send and that harms nothing.
const POPULAR: Fingerprint = 111;
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
    /// Requests that gates refused because they crash upstreams.
    convicted: Vec<Fingerprint>,
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
            convicted: Vec::new(),
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
            is_call: false,
            suspected: false,
        };
        self.gate_event(gate, admission::Event::Arrived(arrival));
        for effect in std::mem::take(&mut self.sim.daemons[CONTROLS + gate].admission) {
            match effect {
                Effect::Run { ticket, .. } => self.run_at_upstream(gate, ticket, fingerprint),
                Effect::Refuse {
                    reason: RefuseReason::Convicted,
                    ..
                } => self.convicted.push(fingerprint),
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
        while self.sim.now < until {
            (0..GATES).for_each(|gate| {
                self.send(gate, CRASHING);
                self.run(RESEND_INTERVAL);
            });
        }
    }

    /// Has the crashing request run at one gate, and waits until its upstream is back.
    fn crash_once(&mut self, gate: usize) {
        let crashes = self.crashes.len();
        self.send(gate, CRASHING);
        self.run(CRASH_AFTER + DOWN + Duration::from_millis(100));
        assert_eq!(self.crashes.len(), crashes + 1);
    }

    /// Has the crashing request end the upstreams of the first three gates at once.
    fn crash_at_first_gates(&mut self) {
        (0..3).for_each(|gate| {
            self.send(gate, CRASHING);
        });
        self.run(CRASH_AFTER + Duration::from_millis(20));
        assert_eq!(self.crashes.len(), 3);
    }

    /// Kills the daemons of the first three gates and starts them again.
    fn restart_first_gates(&mut self, down: Duration) {
        let daemons = CONTROLS..CONTROLS + 3;
        daemons.clone().for_each(|daemon| self.sim.kill(daemon));
        self.run(down);
        daemons.for_each(|daemon| self.sim.start(daemon));
    }

    /// Runs until [`SETTLE`] after the last crash.
    fn settle(&mut self) {
        let last = self.crashes.last().copied().unwrap_or_default();
        self.run((last + SETTLE).saturating_sub(self.sim.now));
    }

    /// Sends a request to a gate and has it run to its end.
    fn complete(&mut self, gate: usize, fingerprint: Fingerprint) {
        let ticket = self.send(gate, fingerprint);
        if self.upstreams[gate].running.contains_key(&ticket) {
            self.end(gate, ticket, Outcome::Whole(200));
        }
    }

    /// Returns whether a gate refuses the crashing request.
    fn refuses_crashing(&mut self, gate: usize) -> bool {
        self.convicted.clear();
        self.send(gate, CRASHING);
        self.convicted.contains(&CRASHING)
    }

    /// Returns the number of log lines with this event, at all daemons.
    fn logged(&self, event: &str) -> usize {
        let lines = self.sim.daemons.iter().flat_map(|d| &d.logs);
        lines.filter(|line| line.event == event).count()
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

/// Guards against crashes that are forgotten when another replica becomes the leader.
#[test]
fn crash_count_survives_change_of_leader() {
    let mut fleet = Fleet::new(2);
    fleet.crash_once(0);
    fleet.crash_once(1);
    let leader = fleet.sim.daemons.iter().position(|d| d.is_leader());
    fleet.sim.kill(leader.unwrap());
    fleet.run(Duration::from_secs(5));
    fleet.crash_once(2);
    fleet.settle();
    assert!(fleet.refuses_crashing(3), "it runs at a fourth upstream");
}

/// Guards against convictions that end with the leader: a daemon that starts later must
/// learn them from its successor, also if the gates that counted have restarted.
#[test]
fn conviction_survives_change_of_leader_and_restart_of_gates() {
    let mut fleet = Fleet::new(9);
    (0..3).for_each(|gate| fleet.crash_once(gate));
    fleet.run(Duration::from_secs(1));
    let leader = fleet.sim.daemons.iter().position(|d| d.is_leader());
    let gates = (0..3).map(|gate| CONTROLS + gate);
    for daemon in gates.clone().chain(leader) {
        fleet.sim.kill(daemon);
    }
    fleet.run(Duration::from_secs(5));
    gates.for_each(|daemon| fleet.sim.start(daemon));
    fleet.run(Duration::from_secs(1));
    (0..3).for_each(|gate| fleet.announce(gate));
    fleet.run(Duration::from_secs(3));
    assert!(fleet.refuses_crashing(0), "it runs at an upstream again");
}

/// Guards against a conviction of a request that was in flight at crashes by chance:
/// it runs to its end elsewhere.
#[test]
fn popular_request_in_flight_at_each_crash_is_not_convicted() {
    let mut fleet = Fleet::new(3);
    for gate in 0..3 {
        fleet.send(gate, POPULAR);
        fleet.crash_once(gate);
        fleet.complete(3, POPULAR);
        fleet.run(Duration::from_secs(1));
    }
    assert!(fleet.refuses_crashing(3));
    assert_eq!(
        fleet.logged("request_convicted"),
        1,
        "only the crashing one"
    );
}

/// Guards against a wrong conviction that lasts: what ran to its end since the first
/// crash overturns it.
#[test]
fn conviction_is_overturned_by_completion_in_flight() {
    let mut fleet = Fleet::new(4);
    let running = fleet.send(3, POPULAR);
    for gate in 0..3 {
        fleet.send(gate, POPULAR);
        fleet.crash_once(gate);
    }
    fleet.run(Duration::from_secs(1));
    fleet.send(0, POPULAR);
    assert!(
        fleet.convicted.contains(&POPULAR),
        "it was at three crashes"
    );
    fleet.end(3, running, Outcome::Whole(200));
    fleet.run(Duration::from_secs(2));
    fleet.convicted.clear();
    fleet.send(0, POPULAR);
    assert!(!fleet.convicted.contains(&POPULAR));
}

/// Guards against resets that are taken for crashes: the upstream still accepts
/// connections.
#[test]
fn broken_connection_of_live_upstream_is_no_crash() {
    let mut fleet = Fleet::new(5);
    for _ in 0..8 {
        let ticket = fleet.send(0, POPULAR);
        fleet.end(0, ticket, Outcome::Broken);
        fleet.run(Duration::from_secs(1));
    }
    assert!(fleet.convicted.is_empty());
    assert_eq!(fleet.logged("upstream_crashed"), 0);
}

/// Guards against an overloaded upstream that is taken for one that ended: it resets
/// connections and refuses new ones, and responds in between.
#[test]
fn refused_connection_of_live_upstream_is_no_crash() {
    let mut fleet = Fleet::new(10);
    let report = LoadReport {
        in_flight: 0,
        limit: None,
        slow_percent: Some(700),
    };
    for _ in 0..8 {
        let ticket = fleet.send(0, POPULAR);
        fleet.end(0, ticket, Outcome::Broken);
        fleet.run(REPORT_INTERVAL);
        fleet.gate_event(0, admission::Event::ConnectionRefused);
        fleet.run(REPORT_INTERVAL);
        fleet.gate_event(0, admission::Event::Reported(report));
        fleet.run(REPORT_INTERVAL);
        fleet.gate_event(0, admission::Event::ConnectionRefused);
        fleet.run(REPORT_INTERVAL);
        fleet.gate_event(0, admission::Event::ConnectionRefused);
        fleet.run(Duration::from_secs(1));
    }
    assert!(fleet.convicted.is_empty());
    assert_eq!(fleet.logged("upstream_crashed"), 0);
}

/// Guards against a conviction for crashes that were none: an overloaded upstream refuses
/// connections for a while, responds again and has not started anew.
#[test]
fn refusals_without_new_start_convict_nothing() {
    let mut fleet = Fleet::new(11);
    let report = LoadReport {
        in_flight: 0,
        limit: None,
        slow_percent: Some(700),
    };
    for gate in 0..3 {
        let ticket = fleet.send(gate, POPULAR);
        fleet.end(gate, ticket, Outcome::Broken);
        for _ in 0..3 {
            fleet.gate_event(gate, admission::Event::ConnectionRefused);
            fleet.run(REPORT_INTERVAL);
        }
        fleet.gate_event(gate, admission::Event::Reported(report));
        fleet.run(Duration::from_secs(1));
    }
    fleet.send(3, POPULAR);
    assert!(!fleet.convicted.contains(&POPULAR));
}

/// Guards against broken connections that count as a crash with each routine
/// announcement: the upstream that sends it has not started anew.
#[test]
fn announcement_of_known_start_after_broken_connections_convicts_nothing() {
    let mut fleet = Fleet::new(12);
    for gate in 0..3 {
        let ticket = fleet.send(gate, POPULAR);
        fleet.end(gate, ticket, Outcome::Broken);
        fleet.run(REPORT_INTERVAL);
        fleet.announce(gate);
        fleet.run(Duration::from_secs(1));
    }
    fleet.send(3, POPULAR);
    assert!(!fleet.convicted.contains(&POPULAR));
    assert_eq!(fleet.logged("upstream_crashed"), 0);
}

/// Guards against an upstream that is overloaded for long and taken for one that ended:
/// it refuses connections and responds to nothing, but announces itself.
#[test]
fn long_refusals_with_announcements_convict_nothing() {
    let mut fleet = Fleet::new(13);
    for gate in 0..3 {
        let ticket = fleet.send(gate, POPULAR);
        fleet.end(gate, ticket, Outcome::Broken);
        for _ in 0..3 {
            for _ in 0..15 {
                fleet.gate_event(gate, admission::Event::ConnectionRefused);
                fleet.run(REPORT_INTERVAL);
            }
            fleet.announce(gate);
        }
    }
    fleet.send(3, POPULAR);
    assert!(!fleet.convicted.contains(&POPULAR));
    assert_eq!(fleet.logged("upstream_crashed"), 0);
}

/// Guards against a crash that is not counted because the new start responds before it
/// has announced itself.
#[test]
fn crash_counts_although_the_new_start_responds_before_its_announcement() {
    let mut fleet = Fleet::new(14);
    for gate in 0..3 {
        fleet.send(gate, CRASHING);
        fleet.run(CRASH_AFTER + DOWN - Duration::from_millis(50));
        let report = LoadReport {
            in_flight: 0,
            limit: None,
            slow_percent: Some(100),
        };
        fleet.gate_event(gate, admission::Event::Reported(report));
        fleet.run(Duration::from_millis(150));
    }
    assert!(fleet.refuses_crashing(3));
}

/// Guards against crashes that are not counted at a gate that has stopped freeing slots
/// at new starts: a response of the start before had arrived after the announcement.
#[test]
fn crashes_count_at_gates_that_do_not_trust_new_starts() {
    let mut fleet = Fleet::new(16);
    for gate in 0..3 {
        let ticket = fleet.send(gate, POPULAR);
        fleet.upstreams[gate].boot += 1;
        fleet.announce(gate);
        fleet.end(gate, ticket, Outcome::Whole(200));
        fleet.run(Duration::from_secs(3));
        fleet.crash_once(gate);
    }
    fleet.settle();
    assert!(fleet.refuses_crashing(3));
}

/// Guards against a crash that is not counted because the upstream never starts again.
#[test]
fn crashes_of_upstreams_that_stay_away_are_counted() {
    let mut fleet = Fleet::new(15);
    for gate in 0..3 {
        fleet.send(gate, CRASHING);
        fleet.run(CRASH_AFTER + Duration::from_millis(40));
        fleet.upstreams[gate].starts_at = Some(Duration::MAX);
    }
    fleet.run(Duration::from_secs(3));
    assert!(fleet.refuses_crashing(3));
}

/// Guards against a request that ends upstream after upstream because its callers leave
/// before each crash: a cancelled request was not counted.
#[test_case(false; "connection_kept_open")]
#[test_case(true; "connection_closed")]
fn crash_is_counted_after_its_caller_left(closed: bool) {
    let mut fleet = Fleet::new(17);
    for gate in 0..3 {
        let ticket = fleet.send(gate, CRASHING);
        fleet.run(CRASH_AFTER / 2);
        fleet.gate_event(gate, admission::Event::Cancelled(ticket));
        if closed {
            fleet.end(gate, ticket, Outcome::Broken);
        }
        fleet.run(CRASH_AFTER + DOWN);
        assert_eq!(fleet.crashes.len(), gate + 1);
    }
    fleet.settle();
    assert!(fleet.refuses_crashing(3), "it runs at a fourth upstream");
}

/// Guards against a crash that is forgotten because the upstream responds to others
/// between the end of the caller's connection and its own end.
#[test]
fn crash_is_counted_after_its_caller_left_and_others_got_responses() {
    let mut fleet = Fleet::new(18);
    for gate in 0..3 {
        let ticket = fleet.send(gate, CRASHING);
        fleet.gate_event(gate, admission::Event::Cancelled(ticket));
        fleet.end(gate, ticket, Outcome::Broken);
        fleet.run(CRASH_AFTER - Duration::from_millis(20));
        fleet.complete(gate, POPULAR);
        fleet.run(CRASH_AFTER + DOWN);
        assert_eq!(fleet.crashes.len(), gate + 1);
    }
    fleet.settle();
    assert!(fleet.refuses_crashing(3), "it runs at a fourth upstream");
}

/// Guards against a request that is never stopped because its caller leaves and the upstream
/// works on for longer than half a second before it ends, while others get responses.
#[test_case(Duration::from_millis(850); "within its deadline")]
#[test_case(Duration::from_millis(1_950); "just before its deadline")]
#[test_case(Duration::from_millis(2_200); "shortly after its deadline")]
fn crash_is_counted_long_after_its_caller_left(work: Duration) {
    let mut fleet = Fleet::new(22);
    for gate in 0..3 {
        let ticket = fleet.send(gate, CRASHING);
        fleet.upstreams[gate].ends_at = Some(fleet.sim.now + work);
        fleet.run(Duration::from_millis(150));
        fleet.gate_event(gate, admission::Event::Cancelled(ticket));
        fleet.end(gate, ticket, Outcome::Broken);
        while fleet.crashes.len() == gate {
            fleet.complete(gate, POPULAR);
            fleet.run(Duration::from_millis(50));
        }
        fleet.run(DOWN + Duration::from_millis(100));
    }
    fleet.settle();
    assert!(fleet.refuses_crashing(3), "it runs at a fourth upstream");
}

/// Guards against requests that are convicted because their callers left: the upstream
/// lives on.
#[test]
fn cancelled_request_of_live_upstream_is_no_crash() {
    let mut fleet = Fleet::new(19);
    let report = LoadReport {
        in_flight: 0,
        limit: None,
        slow_percent: Some(700),
    };
    for gate in [0, 1, 2, 0, 1, 2] {
        let ticket = fleet.send(gate, POPULAR);
        fleet.gate_event(gate, admission::Event::Cancelled(ticket));
        fleet.end(gate, ticket, Outcome::Broken);
        fleet.gate_event(gate, admission::Event::ConnectionRefused);
        fleet.run(REPORT_INTERVAL);
        fleet.gate_event(gate, admission::Event::Reported(report));
        fleet.announce(gate);
        fleet.run(Duration::from_secs(1));
    }
    assert!(fleet.convicted.is_empty());
    assert_eq!(fleet.logged("upstream_crashed"), 0);
}

/// Guards against a request whose crashes are forgotten because an upstream turned it
/// away or failed before it got to the part that ends upstreams.
#[test_case(429; "rejected")]
#[test_case(500; "failed")]
#[test_case(503; "overloaded")]
fn failure_response_does_not_acquit(status: u16) {
    let mut fleet = Fleet::new(20);
    fleet.crash_once(0);
    fleet.crash_once(1);
    fleet.run(Duration::from_secs(1));
    let ticket = fleet.send(3, CRASHING);
    fleet.upstreams[3].ends_at = None;
    fleet.end(3, ticket, Outcome::Whole(status));
    fleet.run(Duration::from_secs(1));
    fleet.crash_once(2);
    fleet.settle();
    assert!(fleet.refuses_crashing(3), "it runs at a fourth upstream");
}

/// Guards against a request that harms nothing and is refused for ten minutes, because it
/// was in flight at the same three crashes as the one that ends upstreams.
#[test]
fn request_retried_beside_crashing_one_is_served_again() {
    let mut fleet = Fleet::new(21);
    for gate in 0..3 {
        fleet.send(gate, POPULAR);
        fleet.crash_once(gate);
    }
    fleet.settle();
    assert!(fleet.refuses_crashing(3));
    let mut served = false;
    for _ in 0..60 {
        fleet.convicted.clear();
        fleet.complete(3, POPULAR);
        served |= fleet.convicted.is_empty();
        fleet.send(3, CRASHING);
        fleet.run(Duration::from_secs(1));
    }
    assert!(served, "refused for a minute");
    let late = fleet.reached_late();
    assert!(late <= MAX_LATE, "sent {late} times after its third crash");
}

/// Guards against retrials that end upstream after upstream: a request that was convicted
/// beside another one is tried once, one that was convicted alone not at all.
#[test_case(true, 1; "beside another")]
#[test_case(false, 0; "alone")]
fn crashing_request_is_retried_once_at_most(beside_another: bool, most: usize) {
    let mut fleet = Fleet::new(25);
    for gate in 0..3 {
        if beside_another {
            fleet.send(gate, POPULAR);
        }
        fleet.crash_once(gate);
    }
    fleet.settle();
    fleet.resend_crashing(Duration::from_secs(120));
    let late = fleet.reached_late();
    assert!(late <= most, "sent {late} times after its third crash");
}

/// Guards against crashes that are forgotten because the daemons that saw them are killed
/// before they are certain (review/5): the request ended upstream after upstream.
#[test_case(true; "upstreams start again")]
#[test_case(false; "upstreams stay down")]
fn crashes_seen_by_killed_gates_count(upstreams_return: bool) {
    let mut fleet = Fleet::new(22);
    fleet.crash_at_first_gates();
    fleet.run(Duration::from_millis(800));
    fleet.restart_first_gates(Duration::from_millis(500));
    if !upstreams_return {
        let down = &mut fleet.upstreams[..3];
        down.iter_mut()
            .for_each(|u| u.starts_at = Some(Duration::MAX));
    }
    fleet.run(Duration::from_secs(4));
    assert!(fleet.refuses_crashing(3), "it runs at a fourth upstream");
    assert_eq!(fleet.logged("upstream_crash_inferred"), 3);
}

/// Guards against a crash that is counted although the upstream is alive: it was overloaded
/// when its daemon was killed.
#[test]
fn crashes_suspected_by_killed_gates_do_not_count_if_upstreams_live() {
    let mut fleet = Fleet::new(23);
    fleet.crash_at_first_gates();
    fleet.run(Duration::from_millis(800));
    for upstream in &mut fleet.upstreams[..3] {
        upstream.starts_at = None;
    }
    fleet.restart_first_gates(Duration::from_millis(500));
    (0..3).for_each(|gate| fleet.announce(gate));
    fleet.run(Duration::from_secs(5));
    assert!(!fleet.refuses_crashing(3), "no upstream has ended");
    assert_eq!(fleet.logged("upstream_crash_inferred"), 0);
}

/// Guards against a crash that counts twice, at the gate and at the leader.
#[test]
fn crash_counted_by_gate_is_not_counted_again_after_its_restart() {
    let mut fleet = Fleet::new(24);
    fleet.crash_once(0);
    fleet.sim.kill(CONTROLS);
    fleet.run(Duration::from_millis(500));
    fleet.sim.start(CONTROLS);
    fleet.run(Duration::from_secs(5));
    fleet.crash_once(1);
    fleet.run(Duration::from_secs(3));
    assert!(!fleet.refuses_crashing(2), "two crashes do not convict it");
}

/// Guards against reports that count twice because they arrive twice.
#[test]
fn repeated_crash_report_counts_once() {
    let mut fleet = Fleet::new(6);
    fleet.sim.duplicate_ratio = 1.0;
    fleet.crash_once(0);
    fleet.crash_once(1);
    fleet.run(Duration::from_secs(5));
    assert!(!fleet.refuses_crashing(2), "two crashes do not convict it");
}

/// Guards against a daemon that needs the control plane to see that one request ends
/// its own upstream again and again.
#[test]
fn gate_without_control_refuses_after_third_crash_of_its_upstream() {
    let mut fleet = Fleet::new(7);
    (0..CONTROLS).for_each(|control| fleet.sim.kill(control));
    (0..3).for_each(|_| fleet.crash_once(0));
    assert!(fleet.refuses_crashing(0));
}

/// Guards against convicted requests that cost an attempt at a gate each time.
#[test]
fn entry_refuses_convicted_request_as_not_run() {
    let mut fleet = Fleet::new(8);
    (0..3).for_each(|gate| fleet.crash_once(gate));
    fleet.run(Duration::from_secs(1));
    let request = entry::Request {
        service: SERVICE.into(),
        fingerprint: CRASHING,
        ..requests::request(1)
    };
    let daemon = CONTROLS + 3;
    let arrived = Event::Entry(entry::Event::Arrived(request));
    fleet.sim.event(daemon, arrived);
    let effects = &fleet.sim.daemons[daemon].entry;
    let Some(entry::Effect::Refuse(1, refusal)) = effects.first() else {
        panic!("not refused: {effects:?}");
    };
    assert_eq!(refusal.reason, entry::Reason::Convicted);
    assert_eq!(refusal.run, entry::RunState::NotRun);
}
