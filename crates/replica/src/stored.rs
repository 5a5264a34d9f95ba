//! What a replica keeps on its disk.

use crate::disk::DiskError;
use bytes::Bytes;
use wire::{LogEntry, LogIndex, Membership, ReplicaId, Term};

/// Who a replica is, its term and its vote.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HardState {
    /// Number of the replica, drawn when its data folder was created.
    #[prost(fixed64, tag = "1")]
    pub id: ReplicaId,
    /// Number of the cluster, or 0 before it belongs to one.
    #[prost(fixed64, tag = "2")]
    pub cluster: u64,
    /// Highest term seen.
    #[prost(uint64, tag = "3")]
    pub term: Term,
    /// Replica that got this one's vote in that term, or 0.
    #[prost(fixed64, tag = "4")]
    pub vote: ReplicaId,
}

/// A snapshot of the state machine.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// Last index that it covers.
    #[prost(uint64, tag = "1")]
    pub index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: Term,
    /// Membership at that index.
    #[prost(message, required, tag = "3")]
    pub membership: Membership,
    /// State of the state machine.
    #[prost(bytes = "bytes", tag = "4")]
    pub state: Bytes,
}

/// What the disk gave at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// Identity, term and vote; `None` when the data folder was empty.
    pub hard_state: Option<HardState>,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
    /// Why the data folder can't be used; the replica is then faulty.
    pub fault: Option<DiskError>,
}

impl Recovered {
    /// Returns what makes a faulty replica out of a data folder that could not
    /// be opened.
    #[must_use]
    pub fn faulty(error: DiskError) -> Self {
        Self {
            fault: Some(error),
            ..Self::default()
        }
    }
}
