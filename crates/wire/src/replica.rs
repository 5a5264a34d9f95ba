//! Messages of the replicated log (Raft), between control replicas.

use bytes::Bytes;

/// A replica and its address.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Member {
    /// Id of the replica.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Peer address, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The voters and learners of a cluster.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Membership {
    /// Replicas that count for a majority.
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<Member>,
    /// Replicas that receive the log but do not vote.
    #[prost(message, repeated, tag = "2")]
    pub learners: Vec<Member>,
    /// Voters before a replacement that is not complete. Until it is, decisions need a
    /// majority of them as well. Versions that lack the field count the new voters only.
    #[prost(message, repeated, tag = "3")]
    pub outgoing: Vec<Member>,
}

/// One entry of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogEntry {
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index in the log, from 1.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Command for the state machine; empty for membership entries and for the
    /// entry that a leader appends at the start of its term.
    #[prost(bytes = "bytes", tag = "3")]
    pub command: Bytes,
    /// New membership, for a membership entry.
    #[prost(message, optional, tag = "4")]
    pub membership: Option<Membership>,
}

/// A message between replicas.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicaMessage {
    /// Id of the cluster, generated when it is created; messages of other clusters
    /// are ignored.
    #[prost(fixed64, tag = "1")]
    pub cluster: u64,
    /// Sending replica.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Receiving replica, or 0 if its id is not known yet.
    #[prost(uint64, tag = "3")]
    pub to: u64,
    /// Term of the sender.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The message itself.
    #[prost(
        oneof = "replica_message::Kind",
        tags = "5, 6, 7, 8, 9, 10, 11, 12, 14, 15, 16"
    )]
    pub kind: Option<replica_message::Kind>,
    /// Address of the sender, `ip:port`. A replica that has no membership yet sends
    /// its reply there.
    #[prost(string, tag = "13")]
    pub address: String,
}

/// Kinds of [`ReplicaMessage`].
pub mod replica_message {
    use super::{
        AppendReply, AppendRequest, JoinReply, JoinRequest, LeaveReply, LeaveRequest,
        SnapshotChunk, SnapshotReply, TimeoutNow, VoteReply, VoteRequest,
    };

    /// A message between replicas, by kind.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Requests a vote or a pre-vote.
        #[prost(message, tag = "5")]
        VoteRequest(VoteRequest),
        /// Replies to a vote request.
        #[prost(message, tag = "6")]
        VoteReply(VoteReply),
        /// Appends entries; without entries, the leader's heartbeat.
        #[prost(message, tag = "7")]
        AppendRequest(AppendRequest),
        /// Replies to an append request.
        #[prost(message, tag = "8")]
        AppendReply(AppendReply),
        /// Sends a chunk of a snapshot.
        #[prost(message, tag = "9")]
        SnapshotChunk(SnapshotChunk),
        /// Replies to a chunk of a snapshot.
        #[prost(message, tag = "10")]
        SnapshotReply(SnapshotReply),
        /// Requests to join the cluster.
        #[prost(message, tag = "11")]
        JoinRequest(JoinRequest),
        /// Replies to a join request.
        #[prost(message, tag = "12")]
        JoinReply(JoinReply),
        /// Reports that the sender's process is about to stop.
        #[prost(message, tag = "14")]
        LeaveRequest(LeaveRequest),
        /// Replies to a leave request.
        #[prost(message, tag = "15")]
        LeaveReply(LeaveReply),
        /// Passes leadership on.
        #[prost(message, tag = "16")]
        TimeoutNow(TimeoutNow),
    }
}

/// Requests a vote.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, which only asks if a vote would be granted.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Last index of the candidate's log.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Whether the leader has passed its leadership to the candidate, so that voters in
    /// contact with it may grant their vote.
    #[prost(bool, tag = "4")]
    pub leadership_transfer: bool,
}

/// Replies to a vote request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct VoteReply {
    /// Whether this replies to a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Address of the leader that a sender who refuses its vote is in contact with; empty
    /// if there is none. Versions that lack the field send none.
    #[prost(string, tag = "3")]
    pub leader: String,
}

/// Appends entries to a follower's log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Index of the entry that precedes `entries`.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Entries to append.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<LogEntry>,
    /// Commit index of the leader.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Number of the leader's heartbeat round, in which a majority confirms it as
    /// the leader.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// Replies to an append request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AppendReply {
    /// Whether the entries are in the follower's log and synced to disk.
    #[prost(bool, tag = "1")]
    pub success: bool,
    /// On success, the last index known to match; otherwise the index to try next.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Heartbeat round of the request.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// A chunk of a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// Last index that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub index_term: u64,
    /// Membership at that index.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<Membership>,
    /// Position of the chunk in the snapshot, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Bytes of the chunk.
    #[prost(bytes = "bytes", tag = "5")]
    pub bytes: Bytes,
    /// Whether this is the last chunk.
    #[prost(bool, tag = "6")]
    pub last: bool,
    /// Checksum of the complete snapshot, on the last chunk.
    #[prost(fixed32, tag = "7")]
    pub crc: u32,
}

/// Replies to a chunk of a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SnapshotReply {
    /// Last index that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Position of the next chunk expected, in bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Whether the snapshot is installed and synced to disk.
    #[prost(bool, tag = "3")]
    pub done: bool,
}

/// A replica with an empty data folder requests to join the cluster.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JoinRequest {
    /// Address of the replica, `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// Replies to a join request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JoinReply {
    /// Whether the sender is the leader and has accepted the request.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// Address of the leader if the sender is not the leader; empty if unknown.
    #[prost(string, tag = "2")]
    pub leader: String,
}

/// A replica whose process is about to stop asks the leader to let a learner take its
/// place.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaveRequest {
    /// Random number of the departure.
    #[prost(fixed64, tag = "1")]
    pub nonce: u64,
}

/// Replies to a leave request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaveReply {
    /// Number of the request.
    #[prost(fixed64, tag = "1")]
    pub nonce: u64,
    /// Whether the process may end: the replica is no voter any more, or no learner can
    /// take its place.
    #[prost(bool, tag = "2")]
    pub confirmed: bool,
}

/// A leader whose process is about to stop asks a voter to campaign at once.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TimeoutNow {}
