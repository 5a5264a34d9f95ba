//! Control replicas whose disks have no space for a while, one after the other.
//!
//! CI runs fixed seeds. For a longer run:
//! `SHUFFLE_SEEDS=500 cargo test --release -p node --test control_disks`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::{Simulation, TICK};
use node::Event;
use rand::Rng;
use rand::seq::SliceRandom;
use replica::{DiskError, Replica, Role};
use std::io::ErrorKind;
use std::time::Duration;
use wire::{
    ChangeOperation, ChangeOutcome, ChangeRequest, ChangeResult, OperationKind, control_reply,
    control_request,
};

/// Longest time until a change is acknowledged while no disk is full.
const ACK_TIME: Duration = Duration::from_secs(4);
/// Longest time for the replicas to settle after their start and after all faults.
const SETTLE_TIME: Duration = Duration::from_secs(40);
/// Time after which an operator sends an unanswered change again.
const ATTEMPT_TIME: Duration = Duration::from_secs(1);
/// Times that each disk is full.
const ROUNDS: usize = 2;
/// Seeds of disks that fail in turn.
const FAILED_SEEDS: u64 = 6;
/// Longest time until a replica meets the error of its disk.
const FAULT_TIME: Duration = Duration::from_secs(10);
/// Longest time until a change is acknowledged after the last disk works again.
const FAILED_ACK_TIME: Duration = Duration::from_secs(6);
/// Voters that the group maintains.
const VOTERS: usize = 3;

/// An operator that makes one change after the other, and sends a change again until
/// there is a definite outcome.
#[derive(Default)]
struct Operator {
    /// Number of accepted changes.
    accepted: u64,
    /// Daemon and id of the request that waits for a reply, and when it was sent.
    request: Option<(usize, u64, Duration)>,
    last_id: u64,
}

impl Operator {
    fn tick(&mut self, sim: &mut Simulation) {
        if let Some((i, id, sent)) = self.request {
            match sim.daemons[i].operator_replies.remove(&id) {
                Some(Some(control_reply::Kind::Change(outcome))) => self.take_outcome(&outcome),
                Some(_) => self.request = None,
                None if sim.now >= sent + ATTEMPT_TIME => self.request = None,
                None => {}
            }
        }
        if self.request.is_none() {
            self.send(sim);
        }
    }

    /// A change must not be refused, however often it was sent: nobody else makes any.
    fn take_outcome(&mut self, outcome: &ChangeOutcome) {
        self.request = None;
        match outcome.result() {
            ChangeResult::Accepted => self.accepted += 1,
            ChangeResult::Unknown => {}
            refused => panic!("change {} is refused: {refused:?}", self.accepted),
        }
    }

    fn send(&mut self, sim: &mut Simulation) {
        let i = sim.rng.random_range(0..sim.daemons.len());
        if sim.daemons[i].node.is_none() {
            return;
        }
        self.last_id += 1;
        let target = format!("u{}", self.accepted);
        let request = ChangeRequest {
            change: target.clone(),
            base: self.accepted + 1,
            author: "op".to_owned(),
            operation: Some(ChangeOperation {
                kind: OperationKind::UpstreamOut as i32,
                target,
                lists: None,
            }),
        };
        let kind = control_request::Kind::Change(request);
        sim.send_request(i, self.last_id, kind);
        self.request = Some((i, self.last_id, sim.now));
    }
}

/// What else happens to the replicas while a disk is full.
#[derive(Clone, Copy, Debug)]
enum Beside {
    Nothing,
    LeaderKilled,
    LeaderFrozen,
    LeaderCut,
    SameRestarted,
    SameRestartedUnopened,
    OtherEmptied,
}

impl Beside {
    const ALL: [Self; 7] = [
        Self::Nothing,
        Self::LeaderKilled,
        Self::LeaderFrozen,
        Self::LeaderCut,
        Self::SameRestarted,
        Self::SameRestartedUnopened,
        Self::OtherEmptied,
    ];
}

struct Shuffle {
    sim: Simulation,
    operator: Operator,
    controls: usize,
    log: Vec<String>,
}

impl Shuffle {
    fn new(seed: u64) -> Self {
        let controls = 3 + usize::try_from(seed % 3).unwrap();
        let target = (seed.is_multiple_of(2)).then_some(VOTERS);
        let mut sim = Simulation::with_settings(controls, 2, seed, |settings| {
            settings.control.snapshot_entries = 20;
            settings.control.target_voters = target;
        });
        sim.event(0, Event::Initialise);
        let voters = target.unwrap_or(controls);
        let settled = sim.run_until(SETTLE_TIME, |sim| voters_of_leader(sim) == Some(voters));
        assert!(
            settled.is_some(),
            "seed {seed}: the replicas did not settle"
        );
        Self {
            sim,
            operator: Operator::default(),
            controls,
            log: Vec::new(),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.sim.now + time;
        while self.sim.now < end {
            self.sim.tick();
            self.operator.tick(&mut self.sim);
        }
    }

    fn run_ms(&mut self, ms: std::ops::Range<u64>) {
        let ms = self.sim.rng.random_range(ms);
        self.run(Duration::from_millis(ms));
    }

    /// Runs until a replica has stopped because of its disk.
    fn run_until_faulty(&mut self, i: usize) -> bool {
        let end = self.sim.now + FAULT_TIME;
        while self.sim.now < end {
            let node = self.sim.daemons[i].node.as_ref();
            let control = node.and_then(|node| node.control.as_ref()).unwrap();
            if control.replica().role() == Role::Faulty {
                return true;
            }
            self.run(Duration::from_millis(20));
        }
        false
    }

    /// Fills the disks in turn, in a drawn order.
    fn fill_disks(&mut self) {
        let mut order: Vec<usize> = (0..self.controls).collect();
        order.shuffle(&mut self.sim.rng);
        if self.sim.rng.random_bool(0.5) {
            // The leader's disk first.
            order.sort_by_key(|i| !self.sim.daemons[*i].is_leader());
        }
        let without_pause = self.sim.rng.random_bool(0.5);
        for full in order {
            self.fill_disk(full);
            if !without_pause {
                self.run_ms(100..5_000);
            }
        }
    }

    fn fill_disk(&mut self, full: usize) {
        let beside = Beside::ALL[self.sim.rng.random_range(0..Beside::ALL.len())];
        self.log.push(format!("{full} full, {beside:?}"));
        self.sim.daemons[full].disk_stalled = true;
        self.run_ms(0..3_000);
        self.begin(beside, full);
        self.run_ms(200..3_000);
        self.end(beside, full);
        self.run_ms(0..1_000);
        self.sim.daemons[full].disk_stalled = false;
    }

    fn begin(&mut self, beside: Beside, full: usize) {
        let leader = (0..self.controls).find(|i| self.sim.daemons[*i].is_leader());
        match (beside, leader) {
            (Beside::LeaderKilled, Some(leader)) => {
                self.sim.kill(leader);
                self.sim.start(leader);
            }
            (Beside::LeaderFrozen, Some(leader)) => self.sim.freeze(leader),
            (Beside::LeaderCut, Some(leader)) => self.sim.isolate(leader),
            (Beside::SameRestarted, _) => {
                self.sim.kill(full);
                self.sim.start(full);
            }
            (Beside::SameRestartedUnopened, _) => {
                self.sim.kill(full);
                self.sim.start_without_space(full);
            }
            (Beside::OtherEmptied, Some(leader)) if leader != full && self.may_lose_disk() => {
                self.sim.kill(leader);
                self.sim.daemons[leader].disk.wipe();
                self.sim.start(leader);
            }
            _ => {}
        }
    }

    /// Returns whether the last lost disk has been replaced, and a majority is left
    /// without the full one and another.
    fn may_lose_disk(&self) -> bool {
        let replicas = self.sim.daemons.iter().filter_map(|d| {
            let control = d.node.as_ref()?.control.as_ref()?;
            Some(control.replica())
        });
        let ids: Vec<u64> = replicas.clone().map(Replica::id).collect();
        let mut leaders = replicas.filter(|r| r.role() == Role::Leader);
        let replaced = leaders.next().is_some_and(|leader| {
            let voters = leader.membership().voters;
            leader.membership_is_complete() && voters.iter().all(|v| ids.contains(&v.id))
        });
        replaced && self.controls > 3
    }

    fn end(&mut self, beside: Beside, full: usize) {
        match beside {
            Beside::LeaderFrozen => (0..self.controls).for_each(|i| {
                if self.sim.daemons[i].frozen {
                    self.sim.thaw(i);
                }
            }),
            Beside::LeaderCut => self.sim.heal(),
            Beside::SameRestartedUnopened => self.sim.open_disk(full),
            _ => {}
        }
    }

    /// Checks that changes are acknowledged again in time.
    fn check_changes(&mut self, seed: u64) -> Duration {
        let accepted = self.operator.accepted;
        let started = self.sim.now;
        while self.operator.accepted == accepted {
            assert!(
                self.sim.now < started + ACK_TIME,
                "seed {seed}: no change acknowledged within {ACK_TIME:?} after {:#?}\n{}",
                self.log,
                describe(&self.sim)
            );
            self.run(TICK);
        }
        self.sim.now - started
    }
}

/// Returns the number of voters that the leader knows of, if there is one.
fn voters_of_leader(sim: &Simulation) -> Option<usize> {
    let leader = sim.daemons.iter().find(|d| d.is_leader())?;
    let control = leader.node().control.as_ref()?;
    Some(control.replica().membership().voters.len())
}

fn describe(sim: &Simulation) -> String {
    let controls = sim.daemons.iter().filter_map(|d| d.node().control.as_ref());
    let lines = controls.map(|control| {
        let replica = control.replica();
        format!(
            "{} {:?} term {} commit {} {:?}\n",
            replica.id(),
            replica.role(),
            replica.term(),
            replica.commit_index(),
            replica.membership()
        )
    });
    lines.collect()
}

fn shuffle(seed: u64) -> Duration {
    let mut shuffle = Shuffle::new(seed);
    shuffle.run_ms(100..2_000);
    let mut longest = Duration::ZERO;
    for _ in 0..ROUNDS {
        shuffle.fill_disks();
        longest = longest.max(shuffle.check_changes(seed));
    }
    longest
}

/// Guards against changes that stay refused or unanswered after the last of the disks
/// that were full in turn has space again.
#[test]
fn changes_are_acknowledged_after_disks_were_full_in_turn() {
    for seed in common::shuffle_seeds(1, 6) {
        let longest = shuffle(seed);
        println!("seed {seed}: acknowledged after {longest:?}");
    }
}

/// Guards against a replica that stays out until its process restarts, because its disk
/// was full when the process started and its data folder could not be opened.
#[test]
fn replica_takes_part_once_its_folder_can_be_opened() {
    let mut sim = Simulation::new(3, 0, 1);
    sim.event(0, Event::Initialise);
    let settled = sim.run_until(SETTLE_TIME, |sim| voters_of_leader(sim) == Some(3));
    assert!(settled.is_some(), "the replicas did not settle");
    sim.kill(2);
    sim.start_without_space(2);
    sim.run(Duration::from_secs(1));
    assert_eq!(role(&sim, 2), Role::Faulty);
    sim.open_disk(2);
    sim.run(Duration::from_secs(1));
    assert_eq!(role(&sim, 2), Role::Follower);

    // It is needed for a majority.
    let leader = (0..2).find(|i| sim.daemons[*i].is_leader()).unwrap();
    sim.kill(leader);
    let replaced = sim.run_until(ACK_TIME, |sim| sim.daemons.iter().any(|d| d.is_leader()));
    assert!(replaced.is_some(), "there is no leader");
}

fn role(sim: &Simulation, i: usize) -> Role {
    let control = sim.daemons[i].node().control.as_ref().unwrap();
    control.replica().role()
}

/// Guards against changes that are not acknowledged any more after the disks of all control
/// machines have failed in turn, each of which works again: each replica was out until its
/// process restarted.
#[test]
fn changes_are_acknowledged_after_disks_failed_in_turn() {
    for seed in 1..=FAILED_SEEDS {
        let mut shuffle = Shuffle::new(seed);
        for failing in (0..shuffle.controls).chain(0..shuffle.controls) {
            shuffle.run_ms(100..3_000);
            shuffle.sim.daemons[failing].disk.fail(io_error());
            let failed = shuffle.run_until_faulty(failing);
            assert!(failed, "seed {seed}: {failing} goes on without its disk");
            let is_complete = shuffle.sim.rng.random_bool(0.5);
            shuffle.sim.daemons[failing].disk.mend(is_complete);
            shuffle.sim.open_disk(failing);
        }
        let accepted = shuffle.operator.accepted;
        shuffle.run(FAILED_ACK_TIME);
        assert!(shuffle.operator.accepted > accepted, "seed {seed}");
        let controls = shuffle
            .sim
            .daemons
            .iter()
            .filter_map(|d| d.node.as_ref()?.control.as_ref());
        let versions: Vec<u64> = controls.map(|c| c.config().version).collect();
        let newest = versions.iter().max().unwrap();
        assert!(
            versions.iter().all(|v| v + 1 >= *newest),
            "seed {seed}: {versions:?}"
        );
    }
}

fn io_error() -> DiskError {
    DiskError::Io {
        path: "memory".to_owned(),
        kind: ErrorKind::Other,
    }
}
