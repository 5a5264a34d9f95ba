//! The protocol between daemons: its messages and their framing.
//!
//! Every message is a [`Frame`]: a length-delimited protobuf message on a TCP
//! connection. Fields are only ever added, so that daemons of two versions of
//! the program can run side by side.
//!
//! A daemon acts as an *entry* for the requests that callers send to it, and as
//! the *gate* of the upstream on its VM, to which it admits requests of entries.

mod claims;
mod codec;
mod compression;
mod control;
mod data;
mod frame;
mod heartbeat;
mod ids;
mod quota;
mod replica;
mod rollout;
mod routing;

pub use claims::{ClaimDecision, ClaimOutcome, ClaimRequest, ClaimSettle, SettleKind};
pub use codec::{CodecError, FrameCodec, MAX_FRAME_BYTES};
pub use control::{
    ChangeOperation, ChangeOutcome, ChangeRequest, ChangeResult, ControlReply, ControlRequest,
    HistoryEntry, HistoryReply, HistoryRequest, Lists, OperationKind, StatusReply, StatusRequest,
    control_reply, control_request,
};
pub use data::{
    Cancel, Credit, Data, Header, Load, LoadUpdate, Open, Refuse, RefuseReason, Reset, ResetReason,
    ResponseHead, Restriction, Suspect, SuspectState, Verdict,
};
pub use frame::{
    Body, Frame, HOLD_BODY_VERSION, Hello, LIMITED_VERSION, LinkKind, PROTOCOL_VERSION, Ping, Pong,
};
pub use heartbeat::{
    Announcement, ConfigDelta, CustomerPlan, Departure, Heartbeat, HeartbeatReply, QuotaHome,
    ReplicaAddress, ServiceDelta, Subscription, UpstreamInfo, VIEW_BUCKETS,
};
pub use ids::{
    AttemptId, ChangeId, ClassId, ConfigVersion, CustomerId, DaemonId, DataCentreId, Fingerprint,
    LogIndex, PlanId, ReplicaId, RequestId, ServiceId, StartHash, StreamId, Term, UpstreamId,
    fingerprint, start_hash,
};
pub use quota::{Allowance, AllowanceRequest};
pub use replica::{
    AppendReply, AppendRequest, JoinReply, JoinRequest, LeaveReply, LeaveRequest, LogEntry, Member,
    Membership, ReplicaMessage, SnapshotChunk, SnapshotReply, TimeoutNow, VoteReply, VoteRequest,
    replica_message,
};
pub use rollout::{
    Rollout, RolloutOrder, RolloutOutcome, RolloutQuery, RolloutResult, RolloutStage,
    RouteEvidence, VersionEvidence,
};
pub use routing::{
    CallerLimits, CustomerRules, DataCentreOrder, OrderPosition, Route, RouteDestination,
    RouteKind, Routing, RoutingChange, RoutingRequest, ServiceRules,
};
