//! Data that a replica stores on disk.

use crate::disk::DiskError;
use bytes::Bytes;
use wire::{LogEntry, LogIndex, Membership, ReplicaId, Term};

/// Id, term and vote of a replica.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HardState {
    /// Id of the replica, generated when its data folder is created.
    #[prost(fixed64, tag = "1")]
    pub id: ReplicaId,
    /// Id of the cluster, or 0 if the replica belongs to none.
    #[prost(fixed64, tag = "2")]
    pub cluster: u64,
    /// Highest term seen.
    #[prost(uint64, tag = "3")]
    pub term: Term,
    /// Replica that received this replica's vote in the current term, or 0.
    #[prost(fixed64, tag = "4")]
    pub vote: ReplicaId,
}

/// A snapshot of the state machine.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// Last index covered by the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: LogIndex,
    /// Term of the entry at `index`.
    #[prost(uint64, tag = "2")]
    pub term: Term,
    /// Membership at `index`.
    #[prost(message, required, tag = "3")]
    pub membership: Membership,
    /// State of the state machine.
    #[prost(bytes = "bytes", tag = "4")]
    pub state: Bytes,
}

/// State recovered from disk at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// Id, term and vote, or `None` if the data folder was empty.
    pub hard_state: Option<HardState>,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Consecutive entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Names of the files that were set aside, because the folder was corrupt. It held
    /// another replica before, so that the new one bootstraps no cluster.
    pub set_aside: Vec<String>,
    /// Reason why the data folder cannot be used. The replica then starts as
    /// faulty.
    pub fault: Option<DiskError>,
}

impl Recovered {
    /// Returns the state for a faulty replica, whose data folder could not be
    /// opened.
    #[must_use]
    pub fn faulty(error: DiskError) -> Self {
        Self {
            fault: Some(error),
            ..Self::default()
        }
    }
}
