//! Messages between a daemon and the control leader.

use bytes::Bytes;

/// A daemon's report, and its question for news.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Reporting daemon.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Number drawn when the daemon started.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number of the heartbeat, one up each time.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Peer address of the daemon, `ip:port`.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Data centre of the daemon.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Configuration version that the daemon holds; 0 for none.
    #[prost(uint64, tag = "6")]
    pub config_version: u64,
    /// The upstream beside the daemon, once it has announced itself.
    #[prost(message, optional, tag = "7")]
    pub upstream: Option<Announcement>,
    /// Services whose upstreams the daemon wants to know.
    #[prost(message, repeated, tag = "8")]
    pub subscriptions: Vec<Subscription>,
    /// Position in a paged configuration transfer, or 0.
    #[prost(uint64, tag = "9")]
    pub config_page: u64,
    /// Checksum of the quota homes that the daemon knows.
    #[prost(fixed64, tag = "10")]
    pub homes_hash: u64,
    /// Time since the daemon started, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub age_ms: u64,
    /// Whether the daemon understands changes of the routing; else it gets the
    /// whole.
    #[prost(bool, tag = "12")]
    pub supports_routing_changes: bool,
}

/// What an upstream says of itself.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Announcement {
    /// Service that it runs.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests that it bears at once.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Changes at every start of the upstream.
    #[prost(string, tag = "3")]
    pub boot: String,
    /// Whether it is leaving.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Name by which the upstream checks that a request is meant for it; empty
    /// when it has none.
    #[prost(string, tag = "5")]
    pub target: String,
    /// How much longer it stays cold, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub cold_ms: u64,
    /// Number of its start, higher for each; 0 when it has none.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Number of the announcement within the start, higher for each.
    #[prost(uint64, tag = "8")]
    pub sequence: u64,
    /// Time since its start by the clock of its VM, in milliseconds, if known.
    #[prost(uint64, optional, tag = "9")]
    pub age_ms: Option<u64>,
}

/// A service, and the version of its upstreams that the daemon holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Subscription {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Registry epoch of the held version.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Held version within the epoch; 0 for none.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// The leader's news, out of a majority-confirmed round.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeartbeatReply {
    /// Number of the heartbeat that is answered.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Whether the sender was the leader, confirmed by a majority after it
    /// received the heartbeat. If not, nothing below but `leader` and
    /// `replicas` counts.
    #[prost(bool, tag = "2")]
    pub confirmed: bool,
    /// Address of the leader, if the sender knows another one.
    #[prost(string, tag = "3")]
    pub leader: String,
    /// Where the control replicas listen.
    #[prost(message, repeated, tag = "4")]
    pub replicas: Vec<ReplicaAddress>,
    /// Committed configuration version.
    #[prost(uint64, tag = "5")]
    pub config_version: u64,
    /// What changed since the daemon's version.
    #[prost(message, optional, tag = "6")]
    pub config: Option<ConfigDelta>,
    /// What changed in the subscribed services.
    #[prost(message, repeated, tag = "7")]
    pub services: Vec<ServiceDelta>,
    /// The quota homes, if they differ from what the daemon knows.
    #[prost(message, repeated, tag = "8")]
    pub homes: Vec<QuotaHome>,
    /// Requests in flight at a crash, in any service.
    #[prost(message, repeated, tag = "9")]
    pub convicted: Vec<crate::data::SuspectState>,
    /// Term of the leader.
    #[prost(uint64, tag = "10")]
    pub term: u64,
}

/// Where a control replica listens.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaAddress {
    /// Peer address, `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// A daemon that keeps customers' allowances.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaHome {
    /// Daemon.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Peer address, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// One customer's plan.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CustomerPlan {
    /// Customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Plan; empty when the customer was removed.
    #[prost(string, tag = "2")]
    pub plan: String,
}

/// Configuration news: a delta, or a page of the whole.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigDelta {
    /// Version that the delta applies to; 0 when it is the whole.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Version reached once the last page is applied.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Customers set or removed.
    #[prost(message, repeated, tag = "3")]
    pub customers: Vec<CustomerPlan>,
    /// Text of the plan list, if it changed.
    #[prost(string, optional, tag = "4")]
    pub plans: Option<String>,
    /// Data centres taken out; counts on the last page.
    #[prost(string, repeated, tag = "5")]
    pub out_data_centres: Vec<String>,
    /// Upstreams taken out; counts on the last page.
    #[prost(string, repeated, tag = "6")]
    pub out_upstreams: Vec<String>,
    /// Number of this page, from 1; 0 when there is only one.
    #[prost(uint64, tag = "7")]
    pub page: u64,
    /// Whether this is the last page.
    #[prost(bool, tag = "8")]
    pub last: bool,
    /// The routing, if it changed and is told as a whole; counts on the last
    /// page.
    #[prost(message, optional, tag = "9")]
    pub routing: Option<crate::routing::Routing>,
    /// What changed in the routing, if that is told; counts on the last page.
    #[prost(message, optional, boxed, tag = "10")]
    pub routing_change: Option<Box<crate::routing::RoutingChange>>,
}

/// An upstream, as the registry knows it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UpstreamInfo {
    /// Upstream: the name of the daemon beside it.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Peer address of that daemon, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Announced slots.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it is leaving.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
}

/// What changed in a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceDelta {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Registry epoch: the term of the leader that keeps the registry.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Version reached, within the epoch.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Whether `upstreams` is the whole service.
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// Upstreams added or changed.
    #[prost(message, repeated, tag = "5")]
    pub upstreams: Vec<UpstreamInfo>,
    /// Upstreams gone.
    #[prost(string, repeated, tag = "6")]
    pub removed: Vec<String>,
}

/// A request to the control leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlRequest {
    /// Number by which the answer is matched.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is asked.
    #[prost(oneof = "control_request::Kind", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<control_request::Kind>,
}

/// Kinds of [`ControlRequest`].
pub mod control_request {
    use super::{ChangeRequest, ClaimRequest, ClaimSettle, HistoryRequest, StatusRequest};

    /// What is asked of the control leader.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Claims the only run of a non-idempotent request.
        #[prost(message, tag = "2")]
        Claim(ClaimRequest),
        /// Says how a claimed request ended.
        #[prost(message, tag = "3")]
        Settle(ClaimSettle),
        /// Changes the configuration.
        #[prost(message, tag = "4")]
        Change(ChangeRequest),
        /// Asks for the state of control.
        #[prost(message, tag = "5")]
        Status(StatusRequest),
        /// Asks for past changes.
        #[prost(message, tag = "6")]
        History(HistoryRequest),
        /// Spreads a conviction to every entry.
        #[prost(message, tag = "7")]
        Suspect(crate::data::Suspect),
        /// Changes the routing.
        #[prost(message, tag = "8")]
        Routing(crate::routing::RoutingChange),
        /// Takes a data centre out, or returns it.
        #[prost(message, tag = "9")]
        DataCentre(crate::routing::DataCentreOrder),
        /// Asks for the routing in force.
        #[prost(message, tag = "10")]
        ReadRouting(crate::routing::RoutingRequest),
    }
}

/// The control leader's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlReply {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether the sender is the leader; if not, nothing was done.
    #[prost(bool, tag = "2")]
    pub leader: bool,
    /// Address of the leader, if the sender knows another one.
    #[prost(string, tag = "3")]
    pub leader_address: String,
    /// The answer; absent when the sender is not the leader, or can't tell the
    /// outcome because it lost its lead while the request was under way.
    #[prost(oneof = "control_reply::Kind", tags = "4, 5, 6, 7, 8")]
    pub kind: Option<control_reply::Kind>,
}

/// Kinds of [`ControlReply`].
pub mod control_reply {
    use super::{ChangeOutcome, ClaimOutcome, HistoryReply, StatusReply};

    /// What the control leader answers.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Outcome of a claim or of its settlement.
        #[prost(message, tag = "4")]
        Claim(ClaimOutcome),
        /// Outcome of a configuration change.
        #[prost(message, tag = "5")]
        Change(ChangeOutcome),
        /// State of control.
        #[prost(message, tag = "6")]
        Status(StatusReply),
        /// Past changes.
        #[prost(message, tag = "7")]
        History(HistoryReply),
        /// The routing in force.
        #[prost(message, tag = "8")]
        Routing(crate::routing::Routing),
    }
}

/// Claims the only run of a non-idempotent request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimRequest {
    /// Customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "3")]
    pub key: String,
    /// What the request is, so that one key can't stand for two requests.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
    /// Claiming daemon.
    #[prost(string, tag = "5")]
    pub daemon: String,
    /// Random number of this attempt to claim; a claim sent again with the
    /// same number gets the same answer.
    #[prost(fixed64, tag = "6")]
    pub nonce: u64,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum SettleKind {
    /// Not stated.
    Unknown = 0,
    /// It ran and its whole answer came back.
    Finished = 1,
    /// Every gate tried said that it did not run.
    Released = 2,
}

/// Says how a claimed request ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimSettle {
    /// Customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Number of the claim.
    #[prost(uint64, tag = "4")]
    pub claim: u64,
    /// How it ended.
    #[prost(enumeration = "SettleKind", tag = "5")]
    pub kind: i32,
    /// HTTP status of the answer, if it finished.
    #[prost(uint32, tag = "6")]
    pub status: u32,
    /// With `claim` 0 and `Released`: the attempt to claim that is given up
    /// because its answer never came.
    #[prost(fixed64, tag = "7")]
    pub nonce: u64,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimDecision {
    /// Not stated.
    Unknown = 0,
    /// The caller may run the request, once.
    Granted = 1,
    /// It already ran to its end.
    Ran = 2,
    /// Another claim holds it: it runs now, or may have run.
    MayHaveRun = 3,
    /// The key was used for another request.
    KeyReused = 4,
    /// There is no room for another claim; nothing was claimed.
    Full = 5,
    /// A settlement was recorded.
    Settled = 6,
}

/// Outcome of a claim.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimOutcome {
    /// What became of it.
    #[prost(enumeration = "ClaimDecision", tag = "1")]
    pub decision: i32,
    /// Number of the claim, higher for each: the log index at which it was
    /// granted, with its position in that entry in the low 16 bits.
    #[prost(uint64, tag = "2")]
    pub claim: u64,
    /// HTTP status of the answer, if it ran.
    #[prost(uint32, tag = "3")]
    pub status: u32,
}

/// What a configuration change does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum OperationKind {
    /// Not stated.
    Unknown = 0,
    /// Replaces the lists that are given.
    Lists = 1,
    /// Takes a data centre out.
    DataCentreOut = 2,
    /// Returns a data centre.
    DataCentreReturn = 3,
    /// Takes an upstream out.
    UpstreamOut = 4,
    /// Returns an upstream.
    UpstreamReturn = 5,
}

/// The two lists, as operators wrote them.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Lists {
    /// Text of the customer list, if it is to be replaced.
    #[prost(string, optional, tag = "1")]
    pub customers: Option<String>,
    /// Text of the plan list, if it is to be replaced.
    #[prost(string, optional, tag = "2")]
    pub plans: Option<String>,
}

/// What a configuration change does, and to what.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChangeOperation {
    /// What it does.
    #[prost(enumeration = "OperationKind", tag = "1")]
    pub kind: i32,
    /// Data centre or upstream.
    #[prost(string, tag = "2")]
    pub target: String,
    /// New lists.
    #[prost(message, optional, tag = "3")]
    pub lists: Option<Lists>,
}

/// Changes the configuration, if it still is at the version stated.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChangeRequest {
    /// Id that makes the change idempotent.
    #[prost(string, tag = "1")]
    pub change: String,
    /// Version that the change is based on.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Who makes it, for the history.
    #[prost(string, tag = "3")]
    pub author: String,
    /// What it does.
    #[prost(message, optional, tag = "4")]
    pub operation: Option<ChangeOperation>,
}

/// How a configuration change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ChangeResult {
    /// Not stated.
    Unknown = 0,
    /// It is committed by a majority.
    Accepted = 1,
    /// The configuration is at another version; `winner` shows why.
    Conflict = 2,
    /// The lists have findings; nothing was changed.
    Invalid = 3,
}

/// Outcome of a configuration change. Remembered by change id.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeOutcome {
    /// How it ended.
    #[prost(enumeration = "ChangeResult", tag = "1")]
    pub result: i32,
    /// Version reached when accepted, else the current version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The change that won, on a conflict.
    #[prost(message, optional, tag = "3")]
    pub winner: Option<HistoryEntry>,
    /// Findings in the lists, one a line.
    #[prost(string, repeated, tag = "4")]
    pub findings: Vec<String>,
}

/// An accepted change.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HistoryEntry {
    /// Version that it made.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Its id.
    #[prost(string, tag = "2")]
    pub change: String,
    /// Who made it.
    #[prost(string, tag = "3")]
    pub author: String,
    /// What it did, for people.
    #[prost(string, tag = "4")]
    pub summary: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "5")]
    pub at_ms: u64,
}

/// Asks for the state of control.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct StatusRequest {}

/// State of control.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusReply {
    /// Configuration version.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Leading replica.
    #[prost(uint64, tag = "3")]
    pub leader: u64,
    /// Who votes and who learns.
    #[prost(message, optional, tag = "4")]
    pub membership: Option<crate::replica::Membership>,
    /// Registered upstreams, by service.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceDelta>,
    /// Data centres taken out.
    #[prost(string, repeated, tag = "6")]
    pub out_data_centres: Vec<String>,
    /// Upstreams taken out.
    #[prost(string, repeated, tag = "7")]
    pub out_upstreams: Vec<String>,
    /// Daemons heard of lately.
    #[prost(uint64, tag = "8")]
    pub daemons: u64,
    /// Lowest configuration version that a daemon heard of lately reported.
    #[prost(uint64, tag = "9")]
    pub lowest_version: u64,
    /// Claims held.
    #[prost(uint64, tag = "10")]
    pub claims: u64,
    /// Customers on the list.
    #[prost(uint64, tag = "11")]
    pub customers: u64,
}

/// Asks for past changes.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HistoryRequest {
    /// How many, newest first.
    #[prost(uint32, tag = "1")]
    pub limit: u32,
}

/// Past changes, newest first.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HistoryReply {
    /// The changes.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<HistoryEntry>,
    /// The plan list in force.
    #[prost(bytes = "bytes", tag = "2")]
    pub plans: Bytes,
}
