//! Options of a replica.

use std::time::Duration;

const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(800);
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const DEFAULT_SNAPSHOT_ENTRIES: u64 = 10_000;

/// Options of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Peer address of this replica, `ip:port`.
    pub address: String,
    /// Minimum election timeout. Each timeout is chosen at random between this
    /// value and twice this value.
    pub election_timeout: Duration,
    /// Interval between a leader's heartbeats, which has to be well below the
    /// election timeout.
    pub heartbeat_interval: Duration,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Seed of the random generator. Must differ on every start of a daemon,
    /// since replica and cluster ids are generated from it.
    pub rng_seed: u64,
    /// Addresses of the other replicas in the settings. A replica with an empty
    /// data folder asks them to join their cluster. Without `target_voters`, a
    /// member that is not among them is removed when it has been silent for
    /// long.
    pub configured_replicas: Vec<String>,
    /// Addresses of the replicas that bootstrap a cluster together, all with
    /// empty data folders. Empty if no cluster is to be bootstrapped.
    pub initial_voters: Vec<String>,
    /// Number of voters to maintain by replacing silent voters with any
    /// learner. The number of copies never falls meanwhile. If `None`, every learner becomes
    /// a voter once it has caught up, and only a silent voter at its address is
    /// replaced.
    pub target_voters: Option<usize>,
}

impl ReplicaOptions {
    /// Returns the default options for a replica without peers.
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
