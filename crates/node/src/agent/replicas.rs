//! Selects the control replica to which a daemon sends its heartbeats and
//! requests.

use compact_str::{CompactString, ToCompactString};
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::Duration;
use wire::ReplicaAddress;

/// Maximum number of addresses kept from replies.
const MAX_LEARNED: usize = 16;
/// Maximum number of doublings of the retry delay.
const MAX_DOUBLINGS: u32 = 1;
/// Number of consecutive replies without a known leader after which the daemon
/// tries another replica, since this one may be partitioned. A replica replies
/// only after it has waited for a leader itself.
const MAX_LEADERLESS_REPLIES: u32 = 4;

/// The addresses of the replicas, the current target, and its failures.
#[derive(Debug)]
pub(super) struct Replicas {
    configured: Vec<CompactString>,
    learned: Vec<CompactString>,
    target: Option<CompactString>,
    /// The replica whose connection failed last, or that did not reply in time.
    last_failed: Option<CompactString>,
    failures: u32,
    /// Number of consecutive replies in which the target knew no leader.
    leaderless_replies: u32,
}

impl Replicas {
    pub(super) fn new(configured: &[SocketAddr]) -> Self {
        let configured = addresses(configured);
        Self {
            target: configured.first().cloned(),
            configured,
            learned: Vec::new(),
            last_failed: None,
            failures: 0,
            leaderless_replies: 0,
        }
    }

    /// Replaces the addresses from the settings; those from replies are kept.
    pub(super) fn set_configured(&mut self, configured: &[SocketAddr]) {
        self.configured = addresses(configured);
    }

    /// Returns the replica that heartbeats and requests are sent to.
    pub(super) fn target(&self) -> Option<&CompactString> {
        self.target.as_ref()
    }

    /// Replaces the addresses learned from replies, unless the list is empty.
    pub(super) fn set_learned(&mut self, replicas: &[ReplicaAddress]) {
        if replicas.is_empty() {
            return;
        }
        let addresses = replicas.iter().map(|r| r.address.as_str().into());
        self.learned = addresses.take(MAX_LEARNED).collect();
    }

    /// Switches to the leader that a replica named and returns whether the
    /// target changed. Ignores the replica that failed last, since the others
    /// may not have noticed its failure yet.
    pub(super) fn follow_hint(&mut self, leader: &str) -> bool {
        if leader.is_empty() || self.last_failed.as_deref() == Some(leader) {
            return false;
        }
        self.set_target(leader)
    }

    /// Records that the target's connection failed or that it did not reply in
    /// time.
    pub(super) fn target_failed(&mut self) {
        self.last_failed.clone_from(&self.target);
    }

    /// Records that the target knows no leader and returns whether to retry it.
    /// The other replicas may be down, and would not learn of a leader earlier.
    pub(super) fn retry_leaderless(&mut self) -> bool {
        self.leaderless_replies += 1;
        self.leaderless_replies < MAX_LEADERLESS_REPLIES
    }

    fn set_target(&mut self, address: &str) -> bool {
        let changed = self.target.as_deref() != Some(address);
        self.leaderless_replies = 0;
        self.target = Some(address.into());
        changed
    }

    /// Switches to the next address.
    pub(super) fn select_next(&mut self) {
        let mut all: Vec<&CompactString> = self.configured.iter().collect();
        all.extend(self.learned.iter().filter(|a| !self.configured.contains(a)));
        let position = all.iter().position(|a| Some(*a) == self.target.as_ref());
        let next = position.map_or(0, |p| (p + 1) % all.len().max(1));
        self.target = all.get(next).map(|a| (*a).clone());
        self.leaderless_replies = 0;
    }

    /// Switches to a replica that replied as the confirmed leader and returns
    /// whether the target changed.
    pub(super) fn leader_confirmed(&mut self, address: &str) -> bool {
        self.failures = 0;
        self.last_failed = None;
        self.set_target(address)
    }

    /// Records a failure and returns the delay before the next attempt. The
    /// delay is random, so that daemons do not reconnect at the same time, and
    /// its maximum doubles once after the first failure.
    pub(super) fn next_retry_delay(&mut self, interval: Duration, rng: &mut SmallRng) -> Duration {
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
