//! What a replica is made from.

use std::time::Duration;

const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(800);
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const DEFAULT_SNAPSHOT_ENTRIES: u64 = 10_000;

/// What a replica is made from.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Address at which the other replicas reach this one, `ip:port`.
    pub address: String,
    /// Shortest election timeout; each timeout is drawn between this and its
    /// double.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats; well under the election timeout.
    pub heartbeat_interval: Duration,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Seed of every random choice: drawn anew for each start of a daemon,
    /// since the numbers of replicas and clusters come from it.
    pub rng_seed: u64,
    /// Addresses of the other configured replicas, which a replica with an
    /// empty data folder asks to join. A member that is not among them is
    /// removed when it falls silent for long.
    pub configured_replicas: Vec<String>,
    /// Addresses of the replicas that found a cluster together, all of them
    /// with empty data folders; empty when none is to be founded.
    pub initial_voters: Vec<String>,
    /// Voters that the cluster keeps, if it replaces lost ones by whoever
    /// joins. A replacement is added before the lost one is removed, so that
    /// the number of copies never falls.
    pub target_voters: Option<usize>,
}

impl ReplicaOptions {
    /// Returns the defaults for a replica at an address, without others.
    #[must_use]
    pub fn new(address: &str, rng_seed: u64) -> Self {
        Self {
            address: address.to_owned(),
            election_timeout: DEFAULT_ELECTION_TIMEOUT,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            snapshot_entries: DEFAULT_SNAPSHOT_ENTRIES,
            rng_seed,
            configured_replicas: Vec::new(),
            initial_voters: Vec::new(),
            target_voters: None,
        }
    }
}
