//! Randomised fault injection with three to five replicas and two further
//! daemons. The invariants of the control plane are checked after every tick.
//!
//! CI runs fixed seeds. For a longer run:
//! `SHUFFLE_SEEDS=500 cargo test --release -p node --test control_shuffle`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::{Simulation, TICK};
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

/// A request sent through a daemon that has no reply yet.
enum Pending {
    Change(String),
    Claim { key: String, nonce: u64 },
    Settle,
}

/// An accepted change, and the time at which the operator got the reply.
struct Accepted {
    target: String,
    version: u64,
    at: Duration,
}

/// The replies that the clients of the cluster have received.
#[derive(Default)]
struct Model {
    pending: BTreeMap<(usize, u64), Pending>,
    next_id: u64,
    accepted: Vec<Accepted>,
    /// Number and nonce of each claim held or finished, by key.
    held: BTreeMap<String, (u64, u64)>,
    releasable: Vec<(usize, String, u64)>,
    versions: BTreeMap<(usize, u64), u64>,
    granted: u64,
}

struct Shuffle {
    sim: Simulation,
    model: Model,
    seed: u64,
}

impl Shuffle {
    fn new(seed: u64) -> Self {
        let controls = 3 + (seed % 3) as usize;
        let mut sim = Simulation::new(controls, 2, seed);
        sim.duplicate_ratio = 0.02;
        sim.delay = Duration::from_millis(15);
        sim.event(0, Event::Initialise);
        let mut shuffle = Self {
            sim,
            model: Model::default(),
            seed,
        };
        shuffle.wait_until("settled", |s| all_vote(s) && converged(s));
        shuffle
    }

    fn wait_until(&mut self, what: &str, f: impl Fn(&Simulation) -> bool) {
        let end = self.sim.now + SETTLE;
        while !f(&self.sim) {
            assert!(
                self.sim.now < end,
                "seed {}: not reached within {SETTLE:?}: {what}\n{}",
                self.seed,
                describe(&self.sim)
            );
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.sim.tick();
        self.take_replies();
        self.check();
    }

    fn step(&mut self) {
        let i = self.sim.rng.random_range(0..self.sim.daemons.len());
        let other = self.sim.rng.random_range(0..self.sim.daemons.len());
        let up = self.sim.daemons[i].node.is_some();
        match self.sim.rng.random_range(0..48) {
            0 if up => self.sim.kill(i),
            1 if up => self.sim.freeze(i),
            2 if i != other => self.sim.cut(i, other),
            3 => self.sim.isolate(i),
            4 => self.sim.daemons[i].disk_stalled = true,
            5 if up && self.sim.daemons[i].is_control && repaired(&self.sim) => {
                self.sim.kill(i);
                self.sim.daemons[i].disk.wipe();
                self.sim.start(i);
            }
            6 | 7 if !up => self.sim.start(i),
            8 | 9 if self.sim.daemons[i].frozen => self.sim.thaw(i),
            10 | 11 => self.sim.heal(),
            12 => {
                self.sim.drop_held();
                self.sim.heal();
            }
            13 => self.sim.daemons[i].disk_stalled = false,
            14..=17 => self.repair(),
            18..=27 if up => self.change(i),
            28..=37 if up => self.claim(i),
            38..=41 if up => {
                self.claim(i);
                self.claim(other);
            }
            _ => self.release(),
        }
        let ticks = self.sim.rng.random_range(1..40);
        (0..ticks).for_each(|_| self.tick());
    }

    fn send_request(&mut self, i: usize, pending: Pending, kind: control_request::Kind) {
        self.model.next_id += 1;
        let id = self.model.next_id;
        self.model.pending.insert((i, id), pending);
        self.sim.send_request(i, id, kind);
    }

    /// Takes a new upstream out with every change, so that the version equals
    /// the number of upstreams out plus one.
    fn change(&mut self, i: usize) {
        let target = format!("u{}", self.model.next_id);
        let newest = self.sim.daemons.iter().map(|d| d.version()).max();
        let base = match self.sim.rng.random_bool(0.7) {
            true => newest.unwrap_or_default(),
            false => self.sim.daemons[i].version(),
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
        self.send_request(i, Pending::Change(target), kind);
    }

    fn claim(&mut self, i: usize) {
        if self.sim.daemons[i].node.is_none() {
            return;
        }
        let last = 3 + self.model.next_id / 12;
        let key = format!("k{}", self.sim.rng.random_range(last - 3..=last));
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
        self.send_request(i, Pending::Claim { key, nonce }, kind);
    }

    /// Settles a claim. After a release, the key may be granted again.
    fn release(&mut self) {
        let Some((i, key, claim)) = self.model.releasable.pop() else {
            return;
        };
        if self.sim.daemons[i].node.is_none() {
            return;
        }
        let finished = self.sim.rng.random_bool(0.3);
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
        self.send_request(i, Pending::Settle, control_request::Kind::Settle(settle));
    }

    fn take_replies(&mut self) {
        for i in 0..self.sim.daemons.len() {
            for (id, kind) in std::mem::take(&mut self.sim.daemons[i].operator_replies) {
                let pending = self.model.pending.remove(&(i, id));
                let pending = pending.expect("each request gets one reply");
                if let Some(kind) = kind {
                    self.handle_reply(i, pending, kind);
                }
            }
        }
    }

    fn handle_reply(&mut self, i: usize, pending: Pending, kind: control_reply::Kind) {
        match (pending, kind) {
            (Pending::Change(target), control_reply::Kind::Change(outcome))
                if outcome.result() == ChangeResult::Accepted =>
            {
                self.model.accepted.push(Accepted {
                    target,
                    version: outcome.version,
                    at: self.sim.now,
                });
            }
            (Pending::Claim { key, nonce }, control_reply::Kind::Claim(outcome))
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
        let lease = self.sim.daemons[0].settings.control.lease;
        let mut by_version: BTreeMap<u64, &BTreeSet<wire::UpstreamId>> = BTreeMap::new();
        for (i, d) in self.sim.daemons.iter().enumerate() {
            let Some(node) = &d.node else {
                continue;
            };
            let seed = self.seed;
            let config = &node.agent.config;
            let held = self.model.versions.insert((i, d.starts), config.version);
            let held = held.unwrap_or_default();
            assert!(
                config.version >= held,
                "seed {seed}: {} reverted from version {held} to {}",
                d.name,
                config.version
            );
            let control = node.control.as_ref().map(|c| c.config());
            for config in std::iter::once(config).chain(control) {
                let out_upstreams = &config.out_upstreams;
                let version = config.version;
                assert_eq!(
                    out_upstreams.len() as u64,
                    version.saturating_sub(1),
                    "seed {seed}"
                );
                let same = by_version.entry(version).or_insert(out_upstreams);
                assert_eq!(
                    *same, out_upstreams,
                    "seed {seed}: daemons hold different contents of version {version}"
                );
                for change in self.model.accepted.iter().filter(|a| a.version <= version) {
                    assert!(
                        out_upstreams.contains(change.target.as_str()),
                        "seed {seed}: {} lost the accepted change {}",
                        d.name,
                        change.target
                    );
                }
            }
            if d.is_fresh(self.sim.now) {
                let before = self.sim.now.saturating_sub(lease);
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

    /// Ends all faults and starts the daemons that are down.
    fn repair(&mut self) {
        self.sim.heal();
        for i in 0..self.sim.daemons.len() {
            self.sim.daemons[i].disk_stalled = false;
            if self.sim.daemons[i].frozen {
                self.sim.thaw(i);
            }
            if self.sim.daemons[i].node.is_none() {
                self.sim.start(i);
            }
        }
    }

    /// Submits changes until one is accepted. As an operator does, it repeats a
    /// change that conflicts with the new base: a delayed frame of an earlier
    /// change may win.
    fn accept_one(&mut self) {
        let last = self.sim.daemons.len() - 1;
        let accepted = self.model.accepted.len();
        let end = self.sim.now + SETTLE;
        let mut id = 0;
        while self.model.accepted.len() == accepted {
            assert!(
                self.sim.now < end,
                "seed {}: no change accepted within {SETTLE:?}",
                self.seed
            );
            if !self.model.pending.contains_key(&(last, id)) {
                self.change(last);
                id = self.model.next_id;
            }
            self.tick();
        }
    }

    /// Ends all faults; the daemons must converge to one version and accept a
    /// change again.
    fn recover(&mut self) {
        self.repair();
        self.wait_until("converged", |s| repaired(s) && converged(s));
        self.accept_one();
        self.wait_until("in force", converged);
    }
}

/// Returns whether every daemon is fresh at the newest version.
fn converged(sim: &Simulation) -> bool {
    let newest = sim.daemons.iter().map(|d| d.committed()).max();
    let mut daemons = sim.daemons.iter();
    daemons.all(|d| Some(d.version()) == newest && d.is_fresh(sim.now))
}

fn describe(sim: &Simulation) -> String {
    let lines = sim.daemons.iter().map(|d| {
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
        let fresh = d.is_fresh(sim.now);
        format!(
            "{}: version {} fresh {fresh} {replica:?}\n",
            d.name,
            d.version()
        )
    });
    lines.collect()
}

fn all_vote(sim: &Simulation) -> bool {
    let controls = sim.daemons.iter().filter(|d| d.is_control).count();
    leader_voters(sim).is_some_and(|voters| voters.len() == controls)
}

/// Returns whether exactly the current replicas are voters.
fn repaired(sim: &Simulation) -> bool {
    let mut daemons = sim.daemons.iter().filter(|d| d.is_control);
    all_vote(sim)
        && leader_voters(sim).is_some_and(|voters| {
            daemons.all(|d| {
                let control = d.node.as_ref().and_then(|n| n.control.as_ref());
                control.is_some_and(|c| voters.contains(&c.replica().id()))
            })
        })
}

fn leader_voters(sim: &Simulation) -> Option<BTreeSet<u64>> {
    let controls = sim.daemons.iter().filter_map(|d| d.node.as_ref());
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
    assert!(shuffle.sim.now > TICK);
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
    for seed in common::shuffle_seeds(100, 2) {
        let (accepted, granted) = shuffle(seed);
        println!("seed {seed}: {accepted} changes accepted, {granted} claims granted");
    }
}
