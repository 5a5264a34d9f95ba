//! A seeded shuffle of faults over three to five replicas and two daemons;
//! what must always hold is asserted after every tick.
//!
//! CI runs the fixed seeds; a longer run is
//! `SHUFFLE_SEEDS=500 cargo test --release -p node --test control_shuffle`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::{TICK, World};
use node::Event;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use test_case::test_case;
use wire::{
    ChangeOperation, ChangeRequest, ChangeResult, ClaimDecision, ClaimRequest, ClaimSettle,
    OperationKind, SettleKind, control_reply, control_request,
};

const STEPS: u64 = 200;
const SETTLE: Duration = Duration::from_secs(40);

/// What was asked through a daemon.
enum Asked {
    Change(String),
    Claim { key: String, nonce: u64 },
    Settle,
}

/// An accepted change: its target, its version, when the operator heard.
struct Accepted {
    target: String,
    version: u64,
    at: Duration,
}

/// What the outside world knows.
#[derive(Default)]
struct Model {
    asked: BTreeMap<(usize, u64), Asked>,
    next_id: u64,
    accepted: Vec<Accepted>,
    /// Claims held or finished: key, number, nonce.
    held: BTreeMap<String, (u64, u64)>,
    releasable: Vec<(usize, String, u64)>,
    versions: BTreeMap<(usize, u64), u64>,
    granted: u64,
}

struct Shuffle {
    world: World,
    model: Model,
    seed: u64,
}

impl Shuffle {
    fn new(seed: u64) -> Self {
        let controls = 3 + (seed % 3) as usize;
        let mut world = World::new(controls, 2, seed);
        world.doubled = 0.02;
        world.delay = Duration::from_millis(15);
        world.event(0, Event::Initialise);
        let mut shuffle = Self {
            world,
            model: Model::default(),
            seed,
        };
        shuffle.until("settled", |w| all_vote(w) && level(w));
        shuffle
    }

    fn until(&mut self, what: &str, f: impl Fn(&World) -> bool) {
        let end = self.world.now + SETTLE;
        while !f(&self.world) {
            assert!(
                self.world.now < end,
                "seed {}: never {what}\n{}",
                self.seed,
                describe(&self.world)
            );
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.world.tick();
        self.take_answers();
        self.check();
    }

    fn step(&mut self) {
        let i = self.world.rng.random_range(0..self.world.daemons.len());
        let other = self.world.rng.random_range(0..self.world.daemons.len());
        let up = self.world.daemons[i].node.is_some();
        match self.world.rng.random_range(0..48) {
            0 if up => self.world.kill(i),
            1 if up => self.world.freeze(i),
            2 if i != other => self.world.cut(i, other),
            3 => self.world.isolate(i),
            4 => self.world.daemons[i].slow_disk = true,
            5 if up && self.world.daemons[i].is_control && repaired(&self.world) => {
                self.world.kill(i);
                self.world.daemons[i].disk.wipe();
                self.world.start(i);
            }
            6 | 7 if !up => self.world.start(i),
            8 | 9 if self.world.daemons[i].frozen => self.world.thaw(i),
            10 | 11 => self.world.heal(),
            12 => {
                self.world.drop_held();
                self.world.heal();
            }
            13 => self.world.daemons[i].slow_disk = false,
            14..=17 => self.repair(),
            18..=27 if up => self.change(i),
            28..=37 if up => self.claim(i),
            38..=41 if up => {
                self.claim(i);
                self.claim(other);
            }
            _ => self.release(),
        }
        let ticks = self.world.rng.random_range(1..40);
        (0..ticks).for_each(|_| self.tick());
    }

    fn ask(&mut self, i: usize, asked: Asked, kind: control_request::Kind) {
        self.model.next_id += 1;
        let id = self.model.next_id;
        self.model.asked.insert((i, id), asked);
        self.world.ask(i, id, kind);
    }

    /// Every change takes another upstream out, so that the number of those
    /// out tells the version.
    fn change(&mut self, i: usize) {
        let target = format!("u{}", self.model.next_id);
        let newest = self.world.daemons.iter().map(|d| d.version()).max();
        let base = match self.world.rng.random_bool(0.7) {
            true => newest.unwrap_or_default(),
            false => self.world.daemons[i].version(),
        };
        let request = ChangeRequest {
            change: target.clone(),
            base,
            author: "op".to_owned(),
            operation: Some(ChangeOperation {
                kind: OperationKind::UpstreamOut as i32,
                target: target.clone(),
                lists: None,
            }),
        };
        let kind = control_request::Kind::Change(request);
        self.ask(i, Asked::Change(target), kind);
    }

    fn claim(&mut self, i: usize) {
        if self.world.daemons[i].node.is_none() {
            return;
        }
        let last = 3 + self.model.next_id / 12;
        let key = format!("k{}", self.world.rng.random_range(last - 3..=last));
        let nonce = self.model.next_id + 1;
        let request = ClaimRequest {
            customer: "tc".to_owned(),
            service: "booking".to_owned(),
            key: key.clone(),
            fingerprint: 7,
            daemon: String::new(),
            nonce,
        };
        let kind = control_request::Kind::Claim(request);
        self.ask(i, Asked::Claim { key, nonce }, kind);
    }

    /// A holder says that nothing ran; from then on another may be granted.
    fn release(&mut self) {
        let Some((i, key, claim)) = self.model.releasable.pop() else {
            return;
        };
        if self.world.daemons[i].node.is_none() {
            return;
        }
        let finished = self.world.rng.random_bool(0.3);
        let kind = if finished {
            SettleKind::Finished
        } else {
            SettleKind::Released
        };
        if !finished {
            self.model.held.remove(&key);
        }
        let settle = ClaimSettle {
            customer: "tc".to_owned(),
            service: "booking".to_owned(),
            key,
            claim,
            kind: kind as i32,
            status: 200,
            nonce: 0,
        };
        self.ask(i, Asked::Settle, control_request::Kind::Settle(settle));
    }

    fn take_answers(&mut self) {
        for i in 0..self.world.daemons.len() {
            for (id, kind) in std::mem::take(&mut self.world.daemons[i].answers) {
                let asked = self.model.asked.remove(&(i, id));
                let asked = asked.expect("an answer comes once");
                if let Some(kind) = kind {
                    self.answered(i, asked, kind);
                }
            }
        }
    }

    fn answered(&mut self, i: usize, asked: Asked, kind: control_reply::Kind) {
        match (asked, kind) {
            (Asked::Change(target), control_reply::Kind::Change(outcome))
                if outcome.result() == ChangeResult::Accepted =>
            {
                self.model.accepted.push(Accepted {
                    target,
                    version: outcome.version,
                    at: self.world.now,
                });
            }
            (Asked::Claim { key, nonce }, control_reply::Kind::Claim(outcome))
                if outcome.decision() == ClaimDecision::Granted =>
            {
                let grant = (outcome.claim, nonce);
                let before = self.model.held.insert(key.clone(), grant);
                assert_eq!(before, None, "seed {}: {key} granted twice", self.seed);
                self.model.releasable.push((i, key, outcome.claim));
                self.model.granted += 1;
            }
            _ => {}
        }
    }

    fn check(&mut self) {
        let lease = self.world.daemons[0].settings.control.lease;
        let mut by_version: BTreeMap<u64, &BTreeSet<wire::UpstreamId>> = BTreeMap::new();
        for (i, d) in self.world.daemons.iter().enumerate() {
            let Some(node) = &d.node else {
                continue;
            };
            let seed = self.seed;
            let config = &node.agent.config;
            let held = self.model.versions.insert((i, d.starts), config.version);
            let held = held.unwrap_or_default();
            assert!(
                config.version >= held,
                "seed {seed}: {} went back from {held} to {}",
                d.name,
                config.version
            );
            let control = node.control.as_ref().map(|c| c.config());
            for config in std::iter::once(config).chain(control) {
                let outs = &config.out_upstreams;
                let version = config.version;
                assert_eq!(outs.len() as u64, version.saturating_sub(1), "seed {seed}");
                let same = by_version.entry(version).or_insert(outs);
                assert_eq!(
                    *same, outs,
                    "seed {seed}: two contents of version {version}"
                );
                for change in self.model.accepted.iter().filter(|a| a.version <= version) {
                    assert!(
                        outs.contains(change.target.as_str()),
                        "seed {seed}: {} lost {}",
                        d.name,
                        change.target
                    );
                }
            }
            if d.is_fresh(self.world.now) {
                let before = self.world.now.saturating_sub(lease);
                for change in self.model.accepted.iter().filter(|a| a.at <= before) {
                    assert!(
                        config.version >= change.version,
                        "seed {seed}: {} is fresh without version {}",
                        d.name,
                        change.version
                    );
                }
            }
        }
    }

    /// Ends all faults.
    fn repair(&mut self) {
        self.world.heal();
        for i in 0..self.world.daemons.len() {
            self.world.daemons[i].slow_disk = false;
            if self.world.daemons[i].frozen {
                self.world.thaw(i);
            }
            if self.world.daemons[i].node.is_none() {
                self.world.start(i);
            }
        }
    }

    /// Changes something, and after a conflict again with the new base, as an
    /// operator does: a late frame of an earlier change may win.
    fn accept_one(&mut self) {
        let last = self.world.daemons.len() - 1;
        let accepted = self.model.accepted.len();
        let end = self.world.now + SETTLE;
        let mut id = 0;
        while self.model.accepted.len() == accepted {
            assert!(
                self.world.now < end,
                "seed {}: no change accepted",
                self.seed
            );
            if !self.model.asked.contains_key(&(last, id)) {
                self.change(last);
                id = self.model.next_id;
            }
            self.tick();
        }
    }

    /// Ends all faults; everything must come to the same version and accept
    /// a change again.
    fn recover(&mut self) {
        self.repair();
        self.until("level", |w| repaired(w) && level(w));
        self.accept_one();
        self.until("in force", level);
    }
}

/// Returns whether every daemon that is up is fresh at the newest version.
fn level(world: &World) -> bool {
    let newest = world.daemons.iter().map(|d| d.committed()).max();
    let mut daemons = world.daemons.iter();
    daemons.all(|d| Some(d.version()) == newest && d.is_fresh(world.now))
}

fn describe(world: &World) -> String {
    let lines = world.daemons.iter().map(|d| {
        let control = d.node.as_ref().and_then(|n| n.control.as_ref());
        let replica = control.map(|c| {
            let r = c.replica();
            let members = r.membership();
            let voters: Vec<_> = members.voters.iter().map(|m| (m.id, &m.address)).collect();
            let learners: Vec<_> = members
                .learners
                .iter()
                .map(|m| (m.id, &m.address))
                .collect();
            format!(
                "{} {:?} term {} commit {} applied {} voters {voters:?} learners {learners:?}",
                r.id(),
                r.role(),
                r.term(),
                r.commit_index(),
                r.applied_index()
            )
        });
        let fresh = d.is_fresh(world.now);
        format!(
            "{}: version {} fresh {fresh} {replica:?}\n",
            d.name,
            d.version()
        )
    });
    lines.collect()
}

fn all_vote(world: &World) -> bool {
    let controls = world.daemons.iter().filter(|d| d.is_control).count();
    leader_voters(world).is_some_and(|voters| voters.len() == controls)
}

/// Returns whether every replica of today, and no other, votes.
fn repaired(world: &World) -> bool {
    let mut daemons = world.daemons.iter().filter(|d| d.is_control);
    all_vote(world)
        && leader_voters(world).is_some_and(|voters| {
            daemons.all(|d| {
                let control = d.node.as_ref().and_then(|n| n.control.as_ref());
                control.is_some_and(|c| voters.contains(&c.replica().id()))
            })
        })
}

fn leader_voters(world: &World) -> Option<BTreeSet<u64>> {
    let controls = world.daemons.iter().filter_map(|d| d.node.as_ref());
    let controls = controls.filter_map(|n| n.control.as_ref());
    let leader = controls
        .filter(|c| c.replica().role() == replica::Role::Leader)
        .max_by_key(|c| c.replica().term())?;
    let membership = leader.replica().membership();
    let settled = membership.learners.is_empty();
    settled.then(|| membership.voters.iter().map(|m| m.id).collect())
}

fn shuffle(seed: u64) -> (usize, u64) {
    let mut shuffle = Shuffle::new(seed);
    (0..STEPS).for_each(|_| shuffle.step());
    shuffle.recover();
    assert!(shuffle.world.now > TICK);
    (shuffle.model.accepted.len(), shuffle.model.granted)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
fn shuffle_keeps_the_invariants(seed: u64) {
    shuffle(seed);
}

#[test]
fn shuffle_longer_run() {
    let seeds = std::env::var("SHUFFLE_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|s| s.parse().ok()).unwrap_or(2);
    for seed in 100..100 + seeds {
        let (accepted, granted) = shuffle(seed);
        println!("seed {seed}: {accepted} changes accepted, {granted} claims granted");
    }
}
