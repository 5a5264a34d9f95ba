//! Inputs and outputs of the replica.

use crate::disk::DiskError;
use crate::stored::{HardState, Snapshot};
use bytes::Bytes;
use wire::{LogEntry, LogIndex, ReplicaMessage, Term};

/// An input of the replica.
#[derive(Debug)]
pub enum Input {
    /// Signals that time has passed. Must be sent at least every 20 ms.
    Tick,
    /// Delivers a message from another replica.
    Message(ReplicaMessage),
    /// Proposes a command. Rejected unless this replica is the leader.
    Propose {
        /// Token that identifies the proposal in the outputs.
        token: u64,
        /// Command of the state machine.
        command: Bytes,
    },
    /// Requests a linearizable read: a majority has to confirm that this
    /// replica is still the leader.
    Read {
        /// Token that identifies the read in the outputs.
        token: u64,
    },
    /// Reports a finished disk operation. Operations finish in the order in
    /// which they were started.
    DiskDone(DiskDone),
    /// Delivers the snapshot requested by [`Output::TakeSnapshot`].
    SnapshotTaken {
        /// Last index covered by the snapshot.
        index: LogIndex,
        /// State of the state machine.
        state: Bytes,
    },
    /// Creates a new cluster with this replica as its only voter. Ignored if
    /// the replica belongs to a cluster or has received a message from one.
    Initialise,
    /// Reports that the process is about to stop. The replica passes its leadership and its
    /// vote on; see [`Replica::has_left`](crate::Replica::has_left).
    Leave,
}

/// An action requested by the replica.
#[derive(Debug)]
pub enum Output {
    /// Sends a message to another replica.
    Send {
        /// Peer address, `ip:port`.
        address: String,
        /// Message to send.
        message: ReplicaMessage,
    },
    /// Starts a disk operation. Operations are performed in order.
    Disk(DiskOp),
    /// Applies a committed command.
    Apply {
        /// Index of the entry.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
        /// Command of the state machine.
        command: Bytes,
        /// Token of the proposal, if it was proposed on this replica.
        token: Option<u64>,
    },
    /// Replaces the state of the state machine with a snapshot.
    Restore {
        /// Last index covered by the snapshot.
        index: LogIndex,
        /// State of the state machine.
        state: Bytes,
    },
    /// Requests a snapshot of the state machine after all commands applied so
    /// far.
    TakeSnapshot {
        /// Last applied index.
        index: LogIndex,
    },
    /// Reports that a majority has confirmed this replica's leadership after
    /// the read was requested.
    ReadReady {
        /// Token of the read.
        token: u64,
    },
    /// Reports that a proposal or read was not accepted, or that leadership was
    /// lost before its outcome was known.
    Rejected {
        /// Token of the proposal or read.
        token: u64,
        /// Whether the proposal may still be committed by another leader.
        unknown: bool,
    },
    /// Reports a new role.
    RoleChanged(Role),
    /// Reports that the replica has stopped because of a disk error.
    Fault(String),
}

/// A disk operation. Operations are performed in order; consecutive operations
/// may share one sync.
#[derive(Clone, Debug)]
pub struct DiskOp {
    /// Sequence number of the operation.
    pub id: u64,
    /// Data to write.
    pub write: DiskWrite,
}

/// Data written by a disk operation, which is finished once the data is synced.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskWrite {
    /// Appends consecutive entries. They replace all entries from the first
    /// one's index on.
    Append(Vec<LogEntry>),
    /// Replaces the replica's id, term and vote.
    State(HardState),
    /// Replaces the snapshot and drops the entries that it covers. Drops all
    /// entries if the log's entry at its index has another term.
    Snapshot(Snapshot),
    /// Writes nothing new, but syncs what was recovered at the start. The process before
    /// may have ended between a write and its sync.
    Recovered,
}

/// A finished disk operation.
#[derive(Clone, Debug)]
pub struct DiskDone {
    /// Sequence number of the operation.
    pub id: u64,
    /// Whether the data is synced. Nothing more is written after an error.
    pub result: Result<(), DiskError>,
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The data folder is empty and the replica belongs to no cluster.
    Empty,
    /// Receives the log but does not count towards a majority.
    Learner,
    /// Follows a leader.
    Follower,
    /// Campaigns for election.
    Candidate,
    /// Leads the cluster.
    Leader,
    /// Stopped because of a disk error.
    Faulty,
}
