//! Which control replica a daemon talks to.

use compact_str::{CompactString, ToCompactString};
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::Duration;
use wire::ReplicaAddress;

/// Addresses learned at most.
const MAX_LEARNED: usize = 16;
/// Doublings of the delay after failures in a row.
const MAX_DOUBLINGS: u32 = 1;
/// Answers in a row of a replica that knows no leader, after which another one
/// is asked: this one may be cut off. It answers after a wait for a leader.
const MAX_LEADERLESS: u32 = 4;

/// The replicas' addresses, the one talked to, and failures in a row.
#[derive(Debug)]
pub(super) struct Replicas {
    configured: Vec<CompactString>,
    learned: Vec<CompactString>,
    target: Option<CompactString>,
    /// The replica that last broke off or was silent.
    broken: Option<CompactString>,
    failures: u32,
    /// Answers in a row of the target that knew no leader.
    leaderless: u32,
}

impl Replicas {
    pub(super) fn new(configured: &[SocketAddr]) -> Self {
        let configured = addresses(configured);
        Self {
            target: configured.first().cloned(),
            configured,
            learned: Vec::new(),
            broken: None,
            failures: 0,
            leaderless: 0,
        }
    }

    /// Takes in other configured addresses; those learned stay.
    pub(super) fn configure(&mut self, configured: &[SocketAddr]) {
        self.configured = addresses(configured);
    }

    /// Returns the replica that is talked to.
    pub(super) fn target(&self) -> Option<&CompactString> {
        self.target.as_ref()
    }

    /// Learns where the replicas listen now.
    pub(super) fn learn(&mut self, replicas: &[ReplicaAddress]) {
        if replicas.is_empty() {
            return;
        }
        let addresses = replicas.iter().map(|r| r.address.as_str().into());
        self.learned = addresses.take(MAX_LEARNED).collect();
    }

    /// Turns to the leader that another replica named; returns whether that
    /// is a change. A replica that has just broken off is not followed to: the
    /// others may not know yet that it is lost.
    pub(super) fn follow(&mut self, leader: &str) -> bool {
        if leader.is_empty() || self.broken.as_deref() == Some(leader) {
            return false;
        }
        self.turn_to(leader)
    }

    /// Records that the target broke off or was silent.
    pub(super) fn broke(&mut self) {
        self.broken.clone_from(&self.target);
    }

    /// Records that the target knows no leader; returns whether it is to be
    /// asked again. Others may be down, and learn of a leader no sooner.
    pub(super) fn knows_no_leader(&mut self) -> bool {
        self.leaderless += 1;
        self.leaderless < MAX_LEADERLESS
    }

    fn turn_to(&mut self, address: &str) -> bool {
        let turned = self.target.as_deref() != Some(address);
        self.leaderless = 0;
        self.target = Some(address.into());
        turned
    }

    /// Turns to the next address.
    pub(super) fn rotate(&mut self) {
        let mut all: Vec<&CompactString> = self.configured.iter().collect();
        all.extend(self.learned.iter().filter(|a| !self.configured.contains(a)));
        let position = all.iter().position(|a| Some(*a) == self.target.as_ref());
        let next = position.map_or(0, |p| (p + 1) % all.len().max(1));
        self.target = all.get(next).map(|a| (*a).clone());
        self.leaderless = 0;
    }

    /// Records that a replica answered as the confirmed leader, and turns to
    /// it; returns whether that is a change.
    pub(super) fn succeeded(&mut self, address: &str) -> bool {
        self.failures = 0;
        self.broken = None;
        self.turn_to(address)
    }

    /// Records a failure and returns the delay before the next try: random,
    /// so that daemons don't come back together, and longer after each one.
    pub(super) fn failed(&mut self, interval: Duration, rng: &mut SmallRng) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let longest = interval / 4 * 2u32.pow(doublings);
        longest.mul_f64(rng.random::<f64>())
    }
}

fn addresses(replicas: &[SocketAddr]) -> Vec<CompactString> {
    let replicas = replicas.iter();
    replicas.map(ToCompactString::to_compact_string).collect()
}
