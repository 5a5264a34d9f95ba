//! Tests that an upstream whose leave was acknowledged stays out of use, whatever arrives
//! late and whichever daemon has started again meanwhile.
//!
//! CI runs fixed seeds. For a longer run:
//! `SHUFFLE_SEEDS=500 cargo test --release -p node --test leaving`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::Simulation;
use node::{Event, admission};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use test_case::test_case;
use wire::Announcement;

const SERVICE: &str = "booking";
const SETTLE: Duration = Duration::from_secs(40);
/// Daemon beside the upstream, and one that sends requests to it.
const GATE: usize = 3;
const ENTRY: usize = 4;
const TARGET: &str = "i-1";
const BORN: u64 = 1_800_000_000_000;

fn announcement(start: u64, sequence: u64) -> Announcement {
    Announcement {
        service: SERVICE.to_owned(),
        slots: 4,
        boot: format!("{TARGET}/{start}"),
        target: TARGET.to_owned(),
        incarnation: start,
        sequence,
        ..Announcement::default()
    }
}

fn draining(start: u64, sequence: u64) -> Announcement {
    Announcement {
        leaving: true,
        ..announcement(start, sequence)
    }
}

fn deregistration(start: u64, sequence: u64) -> Announcement {
    Announcement {
        deregistered: true,
        ..draining(start, sequence)
    }
}

/// A deregistration at a daemon that has not heard of the upstream.
fn unknown_deregistration() -> Announcement {
    Announcement {
        slots: 0,
        ..deregistration(0, 0)
    }
}

struct Cluster {
    sim: Simulation,
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let mut sim = Simulation::new(3, 2, seed);
        sim.event(0, Event::Initialise);
        let mut cluster = Self { sim };
        cluster.settle();
        cluster
    }

    fn settle(&mut self) {
        let fresh = |s: &Simulation| s.daemons.iter().all(|d| d.is_fresh(s.now));
        self.sim.run_until(SETTLE, fresh).expect("settles");
        let entry = self.sim.daemons[ENTRY].node.as_mut().unwrap();
        entry.agent.service(SERVICE);
        self.sim.run(Duration::from_secs(3));
    }

    fn announce(&mut self, announcement: Announcement) {
        let event = admission::Event::Announced(announcement);
        self.sim.event(GATE, Event::Admission(event));
        self.sim.run(Duration::from_millis(200));
    }

    /// Returns the time of day.
    fn unix_ms(&self) -> u64 {
        BORN + u64::try_from(self.sim.now.as_millis()).unwrap()
    }

    /// Passes on an announcement of a start, with its age.
    fn announce_aged(&mut self, start: u64, sequence: u64) {
        self.announce(Announcement {
            age_ms: Some(self.unix_ms() - start),
            ..announcement(start, sequence)
        });
    }

    /// Passes on that the upstream leaves, until it is acknowledged as the platform does:
    /// once control knows it.
    fn leave(&mut self, announcement: Announcement) {
        let boot = announcement.boot.clone();
        let end = self.sim.now + SETTLE;
        while !self.is_leave_reported(&boot) {
            assert!(self.sim.now < end, "not acknowledged");
            self.announce(announcement.clone());
        }
    }

    fn is_leave_reported(&self, boot: &str) -> bool {
        let node = self.sim.daemons[GATE].node.as_ref();
        node.is_some_and(|n| n.agent.is_leave_reported(boot))
    }

    fn leader(&self) -> usize {
        let leader = self.sim.daemons.iter().position(common::Daemon::is_leader);
        leader.expect("a leader")
    }

    /// Returns the index of the last committed entry, as far as the leader knows.
    fn commit_index(&self) -> u64 {
        let leader = self.sim.daemons[self.leader()].node();
        leader.control.as_ref().unwrap().replica().commit_index()
    }

    fn restart(&mut self, i: usize) {
        self.sim.kill(i);
        self.sim.run(Duration::from_millis(300));
        self.sim.start(i);
    }

    /// Lets the upstream answer a health request under its own id.
    fn answer(&mut self) {
        let event = admission::Event::Answered {
            target: TARGET.to_owned(),
            sent_at: self.sim.now,
        };
        self.sim.event(GATE, Event::Admission(event));
    }

    /// Returns whether the gate admits requests to the upstream, whatever other entries
    /// state its address.
    fn admits_upstream(&mut self) -> bool {
        let announced = self.sim.daemons[GATE].node().admission.announced();
        announced.is_some_and(|a| a.target == TARGET && !a.leaving)
    }

    /// Returns whether entries select the upstream.
    fn is_selected(&mut self) -> bool {
        let entry = self.sim.daemons[ENTRY].node.as_mut().unwrap();
        let view = entry.agent.service(SERVICE);
        view.is_some_and(|v| v.upstreams.values().any(|u| !u.leaving))
    }

    /// Returns whether requests would be sent to the upstream: its gate admits them, or
    /// entries select it.
    fn is_used(&mut self) -> bool {
        let gate = self.sim.daemons[GATE].node();
        let admits = gate.admission.announced().is_some_and(|a| !a.leaving);
        admits || self.is_selected()
    }
}

/// Guards against late announcements that bring back an upstream which has deregistered
/// without a number (review/3).
#[test]
fn late_announcements_do_not_bring_back_deregistered_upstream() {
    let mut cluster = Cluster::new(1);
    cluster.announce(announcement(BORN, 5));
    assert!(cluster.is_used());
    // Numbered after the last announcement that has arrived; 6 and 7 are on their way.
    cluster.leave(deregistration(BORN, 6));
    cluster.settle();
    for late in [6, 7, 8] {
        cluster.announce(announcement(BORN, late));
        assert!(!cluster.is_used(), "brought back by announcement {late}");
    }
    cluster.announce(announcement(BORN + 9_000, 1));
    assert!(cluster.is_used(), "the next start is used");
}

/// Guards against the same at a daemon that has never heard of the upstream, so that it
/// doesn't know which start has deregistered (review/3).
#[test]
fn late_announcement_after_unknown_deregistration_does_not_bring_it_back() {
    let mut cluster = Cluster::new(2);
    cluster.leave(unknown_deregistration());
    let late = Announcement {
        age_ms: Some(60_000),
        ..announcement(BORN, 7)
    };
    cluster.announce(late);
    assert!(!cluster.is_used());
    let next = Announcement {
        age_ms: Some(100),
        ..announcement(BORN + 60_000, 1)
    };
    cluster.announce(next);
    assert!(cluster.is_used(), "the next start is used");
}

#[test]
fn deregistration_that_is_resent_is_not_outdated() {
    let mut cluster = Cluster::new(3);
    cluster.announce(announcement(BORN, 5));
    cluster.leave(deregistration(BORN, 6));
    let now = cluster.sim.now;
    let gate = cluster.sim.daemons[GATE].node();
    let admission = &gate.admission;
    assert!(!admission.is_outdated(now, &deregistration(BORN, 6)));
    assert!(!admission.is_outdated(now, &deregistration(BORN, 7)));
    assert!(admission.is_outdated(now, &announcement(BORN, 8)));
}

/// Guards against a daemon that has started again and brings back an upstream whose leave
/// its predecessor had acknowledged (review/4).
#[test_case(deregistration(BORN, 6); "deregistered")]
#[test_case(draining(BORN, 9); "draining")]
fn late_announcement_at_restarted_daemon_does_not_bring_it_back(leave: Announcement) {
    let mut cluster = Cluster::new(4);
    cluster.announce(announcement(BORN, 5));
    cluster.leave(leave);
    cluster.restart(GATE);
    cluster.announce(announcement(BORN, 7));
    cluster.settle();
    cluster.announce(announcement(BORN, 8));
    let entry = cluster.sim.daemons[ENTRY].node.as_mut().unwrap();
    let view = entry.agent.service(SERVICE).expect("a view");
    assert!(view.upstreams.values().all(|u| u.leaving));
}

/// Guards against the same by a late announcement of the start before: the daemon that has
/// started again knows neither of the two (issue 76, review/13).
#[test]
fn late_announcement_of_an_earlier_start_at_restarted_daemon_does_not_bring_it_back() {
    let mut cluster = Cluster::new(8);
    cluster.announce(announcement(BORN, 5));
    cluster.announce(announcement(BORN + 1_000, 1));
    cluster.leave(deregistration(BORN + 1_000, 2));
    cluster.restart(GATE);
    let late = Announcement {
        age_ms: Some(7_000),
        ..announcement(BORN, 7)
    };
    cluster.announce(late);
    cluster.settle();
    assert!(!cluster.is_used());
}

/// The time of day was set back between two starts of an upstream, and the daemon has
/// started again in between.
#[test_case(100, Duration::ZERO; "the start before lies in the future")]
#[test_case(5_000, Duration::from_secs(61); "announced for longer than announcements are delayed")]
fn later_start_with_a_lower_number_is_used_at_restarted_daemon(age_ms: u64, after: Duration) {
    let mut cluster = Cluster::new(9);
    cluster.announce(announcement(BORN + 1_000, 1));
    cluster.leave(deregistration(BORN + 1_000, 2));
    cluster.restart(GATE);
    cluster.settle();
    let start = |sequence| Announcement {
        age_ms: Some(age_ms),
        ..announcement(BORN, sequence)
    };
    cluster.announce(start(1));
    cluster.sim.run(after);
    cluster.announce(start(2));
    cluster.sim.run(Duration::from_secs(3));
    assert!(cluster.is_used());
}

/// Guards against the same by the gate itself, and when the leader that knew it has gone
/// too, once it has told the daemon (review/4).
#[test]
fn deregistration_learned_from_control_outlasts_the_leader() {
    let mut cluster = Cluster::new(5);
    cluster.announce(announcement(BORN, 5));
    cluster.leave(deregistration(BORN, 6));
    cluster.restart(GATE);
    cluster.settle();
    let leader = cluster.leader();
    cluster.sim.kill(leader);
    cluster.sim.run(Duration::from_secs(10));
    cluster.announce(announcement(BORN, 7));
    cluster.sim.run(Duration::from_secs(3));
    assert!(!cluster.is_used());
}

/// Guards against an upstream that leaves at a daemon which has started again and has not
/// heard of it: the daemon after that one is reached by a late announcement (review/4).
#[test]
fn unknown_deregistration_is_that_of_the_start_known_to_control() {
    let mut cluster = Cluster::new(6);
    cluster.announce(announcement(BORN, 5));
    cluster.restart(GATE);
    cluster.settle();
    cluster.leave(unknown_deregistration());
    cluster.restart(GATE);
    cluster.settle();
    cluster.announce(announcement(BORN, 7));
    assert!(!cluster.is_used());
}

/// Guards against a leave that is known to one leader only: it ends right after the
/// acknowledgement, and the daemon starts again before it has reported the leave to the next
/// one (issue 22).
#[test_case(deregistration(BORN, 6); "deregistered")]
#[test_case(draining(BORN, 9); "draining")]
fn acknowledged_leave_outlasts_leader_and_daemon(leave: Announcement) {
    let mut cluster = Cluster::new(7);
    cluster.announce(announcement(BORN, 5));
    cluster.leave(leave);
    let leader = cluster.leader();
    cluster.sim.kill(leader);
    cluster.sim.kill(GATE);
    cluster.sim.run(Duration::from_secs(5));
    cluster.sim.start(GATE);
    cluster.announce(announcement(BORN, 7));
    cluster.sim.start(leader);
    cluster.settle();
    cluster.announce(announcement(BORN, 8));
    assert!(!cluster.is_selected());
    cluster.announce(announcement(BORN + 9_000, 1));
    cluster.sim.run(Duration::from_secs(3));
    assert!(cluster.is_selected(), "the next start is used");
}

/// Guards against the same when all daemons lose power after the acknowledgement, and when
/// the daemon's registration has expired meanwhile (issue 22).
#[test_case(true; "power of all is lost")]
#[test_case(false; "registration has expired")]
fn acknowledged_leave_outlasts_registration(power_lost: bool) {
    let mut cluster = Cluster::new(8);
    cluster.announce(announcement(BORN, 5));
    cluster.leave(deregistration(BORN, 6));
    let first = if power_lost { 0 } else { GATE };
    (first..=GATE).for_each(|i| cluster.sim.kill(i));
    cluster.sim.run(Duration::from_secs(30));
    (first..=GATE).for_each(|i| cluster.sim.start(i));
    cluster.announce(announcement(BORN, 7));
    cluster.settle();
    assert!(!cluster.is_used());
}

/// Guards against a leave that is acknowledged although the log cannot be written: the leader
/// alone would know it (issue 22).
#[test]
fn leave_is_not_acknowledged_before_a_majority_has_recorded_it() {
    let mut cluster = Cluster::new(9);
    cluster.announce(announcement(BORN, 5));
    (0..3).for_each(|i| cluster.sim.daemons[i].disk_stalled = true);
    let leave = deregistration(BORN, 6);
    cluster.announce(leave.clone());
    cluster.sim.run(Duration::from_secs(2));
    assert!(!cluster.is_leave_reported(&leave.boot));
    (0..3).for_each(|i| cluster.sim.daemons[i].disk_stalled = false);
    let boot = leave.boot.as_str();
    let reported = |s: &Simulation| {
        let node = s.daemons[GATE].node.as_ref();
        node.is_some_and(|n| n.agent.is_leave_reported(boot))
    };
    let took = cluster.sim.run_until(SETTLE, reported).expect("recorded");
    assert!(took < Duration::from_secs(1), "{took:?}");
}

/// Guards against an acknowledgement that takes long, and against log entries for each
/// announcement of an upstream that leaves.
#[test]
fn leave_is_acknowledged_at_once_with_one_log_entry() {
    let mut cluster = Cluster::new(10);
    cluster.announce(announcement(BORN, 5));
    cluster.sim.run(Duration::from_secs(1));
    let before = cluster.commit_index();
    let leave = draining(BORN, 6);
    let start = cluster.sim.now;
    cluster.leave(leave);
    assert!(cluster.sim.now - start < Duration::from_millis(500));
    for sequence in 7..20 {
        cluster.announce(draining(BORN, sequence));
        cluster.sim.run(Duration::from_millis(800));
    }
    let entries = cluster.commit_index() - before;
    assert_eq!(entries, 1, "log entries of one leave");
}

/// Announces, deregisters and starts an upstream in turn, with copies of what it has sent
/// that arrive later, beside restarts of its daemon and freezes of others.
fn shuffle(seed: u64) {
    let mut cluster = Cluster::new(seed);
    cluster.sim.duplicate_ratio = 0.05;
    let mut starts = Vec::new();
    for _ in 1..12 {
        let start = cluster.unix_ms();
        starts.push(start);
        let last = cluster.sim.rng.random_range(2..6);
        for sequence in 1..=last {
            cluster.announce_aged(start, sequence);
        }
        assert!(cluster.is_used(), "seed {seed}: start {start} is not used");
        // Some of the announcements have not arrived when the upstream deregisters.
        let sent = last + cluster.sim.rng.random_range(0..4);
        cluster.leave(deregistration(start, last + 1));
        for _ in 0..cluster.sim.rng.random_range(2..8) {
            match cluster.sim.rng.random_range(0..6) {
                0 => cluster.restart(GATE),
                1 => cluster.restart(ENTRY),
                2 => {
                    let frozen = cluster.sim.rng.random_range(0..3);
                    cluster.sim.freeze(frozen);
                    cluster.sim.run(Duration::from_millis(700));
                    cluster.sim.thaw(frozen);
                }
                3 => {
                    let earlier = starts[cluster.sim.rng.random_range(0..starts.len())];
                    cluster.announce_aged(earlier, 20);
                }
                _ => {
                    let late = cluster.sim.rng.random_range(1..=sent);
                    cluster.announce_aged(start, late);
                }
            }
        }
        cluster.settle();
        assert!(!cluster.is_used(), "seed {seed}: start {start} is back");
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(116; "daemon restarted right after a change of the leader")]
fn shuffle_keeps_deregistered_upstreams_out_of_use(seed: u64) {
    shuffle(seed);
}

#[test]
fn shuffle_longer_run() {
    common::shuffle_seeds(100, 2).for_each(shuffle);
}

/// Returns an entry of another writer for the address of the upstream, whose start is
/// earlier, equal or later.
fn stray(start: u64, rng: &mut SmallRng) -> Announcement {
    let start = start - 2_000 + 1_000 * rng.random_range(1..4);
    Announcement {
        boot: format!("i-stray/{start}"),
        target: "i-stray".to_owned(),
        ..announcement(start, rng.random_range(1..20))
    }
}

/// Announces, deregisters and starts an upstream in turn, beside entries of another writer,
/// late announcements, restarts of its daemon and freezes of others.
fn shuffle_with_strays(seed: u64) {
    let mut cluster = Cluster::new(seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    for start in (1..12).map(|n| BORN + n * 10_000) {
        for sequence in 1..=4 {
            if rng.random_bool(0.5) {
                cluster.announce(stray(start, &mut rng));
            }
            if rng.random_bool(0.2) {
                cluster.restart(GATE);
                cluster.announce(stray(start, &mut rng));
            }
            cluster.answer();
            cluster.announce(announcement(start, sequence));
            assert!(
                cluster.admits_upstream(),
                "seed {seed}: {start} is displaced"
            );
        }
        cluster.leave(deregistration(start, 5));
        for _ in 0..rng.random_range(2..8) {
            match rng.random_range(0..6) {
                0 => cluster.restart(GATE),
                1 => cluster.restart(ENTRY),
                2 => {
                    let frozen = rng.random_range(0..3);
                    cluster.sim.freeze(frozen);
                    cluster.sim.run(Duration::from_millis(700));
                    cluster.sim.thaw(frozen);
                }
                3 => cluster.answer(),
                4 => cluster.announce(stray(start, &mut rng)),
                _ => cluster.announce(announcement(start, rng.random_range(1..9))),
            }
        }
        cluster.settle();
        assert!(!cluster.admits_upstream(), "seed {seed}: {start} is back");
    }
}

/// Guards against an upstream that another writer's entry keeps out of use, or brings back
/// after it has left (issue 50).
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(110; "late announcement of a start that has left")]
fn shuffle_with_strays_keeps_the_upstream(seed: u64) {
    shuffle_with_strays(seed);
}

#[test]
fn shuffle_with_strays_longer_run() {
    common::shuffle_seeds(100, 2).for_each(shuffle_with_strays);
}
