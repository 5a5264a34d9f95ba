//! Messages between a daemon and the leader of the control replicas.

use bytes::Bytes;

/// A daemon's periodic report to the control leader, which also requests updates.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Reporting daemon.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Random number generated when the daemon starts.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number of the heartbeat, incremented for each.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Peer address of the daemon, `ip:port`.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Data centre of the daemon.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Configuration version of the daemon; 0 for none.
    #[prost(uint64, tag = "6")]
    pub config_version: u64,
    /// The upstream on the daemon's VM, once it has announced itself.
    #[prost(message, optional, tag = "7")]
    pub upstream: Option<Announcement>,
    /// Services whose upstreams the daemon subscribes to.
    #[prost(message, repeated, tag = "8")]
    pub subscriptions: Vec<Subscription>,
    /// Position in a paged configuration transfer, or 0 outside of one.
    #[prost(uint64, tag = "9")]
    pub config_page: u64,
    /// Checksum of the daemon's list of quota homes.
    #[prost(fixed64, tag = "10")]
    pub homes_hash: u64,
    /// Time since the daemon started, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub age_ms: u64,
    /// Whether the daemon can apply routing deltas; if not, it receives the full
    /// routing.
    #[prost(bool, tag = "12")]
    pub supports_routing_changes: bool,
    /// Responses of the upstream, during a rollout of its service.
    #[prost(message, optional, tag = "13")]
    pub evidence: Option<crate::rollout::VersionEvidence>,
    /// Requests that are in progress at the upstream.
    #[prost(uint32, tag = "14")]
    pub in_progress: u32,
    /// Whether the daemon runs a control replica.
    #[prost(bool, tag = "15")]
    pub runs_replica: bool,
    /// Requests that the upstream may have ended with, which is not certain yet: what would
    /// be reported if it has.
    #[prost(message, repeated, tag = "16")]
    pub unconfirmed_crashes: Vec<crate::data::SuspectState>,
    /// Whether the daemon can read [`HeartbeatReply::compressed_config`].
    #[prost(bool, tag = "17")]
    pub supports_compressed_config: bool,
    /// Number of the newest heartbeat whose confirmed reply has arrived, 0 for none; absent
    /// from a daemon that does not state it.
    #[prost(uint64, optional, tag = "18")]
    pub received: Option<u64>,
}

/// An upstream's announcement of itself to the daemon on its VM.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Announcement {
    /// Service that it runs.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests that it can run at once.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Value that differs for each start of the upstream.
    #[prost(string, tag = "3")]
    pub boot: String,
    /// Whether it is leaving the fleet.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Name by which the upstream checks that a request is addressed to it, or
    /// empty.
    #[prost(string, tag = "5")]
    pub target: String,
    /// Time for which it remains cold, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub cold_ms: u64,
    /// Number of its start, higher for each; 0 if it does not number them.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Number of the announcement since the start, higher for each.
    #[prost(uint64, tag = "8")]
    pub sequence: u64,
    /// Time since its start by the clock of its VM, in milliseconds, if known.
    #[prost(uint64, optional, tag = "9")]
    pub age_ms: Option<u64>,
    /// Version of its software, or empty if it states none.
    #[prost(string, tag = "10")]
    pub version: String,
    /// Whether this start has deregistered. No later announcement of it counts.
    #[prost(bool, tag = "11")]
    pub deregistered: bool,
}

/// A subscription to a service, with the version that the daemon has.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Subscription {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Registry epoch of that version.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Version within the epoch; 0 for none.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Checksums of the daemon's view, one for each of [`VIEW_BUCKETS`] buckets of
    /// upstreams; stated if the version is one of an earlier leader.
    #[prost(fixed64, repeated, tag = "4")]
    pub checksums: Vec<u64>,
}

/// Number of buckets of upstreams in the checksums of a view.
pub const VIEW_BUCKETS: usize = 16;

/// The control leader's updates for a daemon.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeartbeatReply {
    /// Number of the heartbeat that this replies to.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Whether a majority confirmed the sender as the leader after it received the
    /// heartbeat. If not, only `leader` and `replicas` are valid.
    #[prost(bool, tag = "2")]
    pub confirmed: bool,
    /// Address of the leader, if the sender is not the leader and knows it.
    #[prost(string, tag = "3")]
    pub leader: String,
    /// Addresses of the control replicas.
    #[prost(message, repeated, tag = "4")]
    pub replicas: Vec<ReplicaAddress>,
    /// Committed configuration version.
    #[prost(uint64, tag = "5")]
    pub config_version: u64,
    /// Changes since the daemon's configuration version.
    #[prost(message, optional, tag = "6")]
    pub config: Option<ConfigDelta>,
    /// Changes in the subscribed services.
    #[prost(message, repeated, tag = "7")]
    pub services: Vec<ServiceDelta>,
    /// The quota homes, if the daemon's list differs.
    #[prost(message, repeated, tag = "8")]
    pub homes: Vec<QuotaHome>,
    /// Verdicts on requests that crash upstreams, of all services: convictions, and
    /// where crashes are counted, requests that one more crash convicts and acquittals.
    #[prost(message, repeated, tag = "9")]
    pub convicted: Vec<crate::data::SuspectState>,
    /// Term of the leader.
    #[prost(uint64, tag = "10")]
    pub term: u64,
    /// Whether no daemon was a home under a limit before `homes`.
    #[prost(bool, tag = "11")]
    pub initial_homes: bool,
    /// Boot of the upstream on the daemon's VM if that start has deregistered, or empty.
    #[prost(string, tag = "12")]
    pub deregistered_boot: String,
    /// Whether the heartbeat reports an upstream that leaves, and the leader has not recorded
    /// that in the replicated log yet.
    #[prost(bool, tag = "13")]
    pub leave_pending: bool,
    /// Replaces `config` unless empty: the same, encoded and compressed with zlib.
    #[prost(bytes = "bytes", tag = "14")]
    pub compressed_config: Bytes,
}

/// A start of an upstream that leaves or has left, as recorded in the replicated log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Departure {
    /// Daemon on the VM of the upstream.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Value that differs for each start of the upstream.
    #[prost(string, tag = "2")]
    pub boot: String,
    /// Name by which the upstream checks that a request is addressed to it, or empty.
    #[prost(string, tag = "3")]
    pub target: String,
    /// Number of the start; 0 if the upstream does not number them.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Number of the first announcement that states that it leaves.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Whether this start has deregistered. No later announcement of it counts.
    #[prost(bool, tag = "6")]
    pub deregistered: bool,
    /// Log time at which it was recorded, in milliseconds; set when it is applied.
    #[prost(uint64, tag = "7")]
    pub at_ms: u64,
}

/// Address of a control replica.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaAddress {
    /// Peer address, `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// A daemon that keeps the token buckets of some of the customers.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaHome {
    /// Name of the daemon.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Peer address, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The plan assigned to a customer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CustomerPlan {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Name of the plan; empty if the customer was removed.
    #[prost(string, tag = "2")]
    pub plan: String,
}

/// A configuration delta, or one page of a full transfer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigDelta {
    /// Version that the delta applies to; 0 for a full transfer.
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
    /// Data centres that operators have taken out; valid on the last page.
    #[prost(string, repeated, tag = "5")]
    pub out_data_centres: Vec<String>,
    /// Upstreams that operators have taken out; valid on the last page.
    #[prost(string, repeated, tag = "6")]
    pub out_upstreams: Vec<String>,
    /// Number of this page, from 1; 0 if there is only one.
    #[prost(uint64, tag = "7")]
    pub page: u64,
    /// Whether this is the last page.
    #[prost(bool, tag = "8")]
    pub last: bool,
    /// The full routing, if it changed and is not sent as a delta; valid on the
    /// last page.
    #[prost(message, optional, tag = "9")]
    pub routing: Option<crate::routing::Routing>,
    /// The routing delta, if one is sent; valid on the last page.
    #[prost(message, optional, boxed, tag = "10")]
    pub routing_change: Option<Box<crate::routing::RoutingChange>>,
    /// The newest rollout of each service; valid on the last page.
    #[prost(message, repeated, tag = "11")]
    pub rollouts: Vec<crate::rollout::Rollout>,
}

/// An upstream as registered with the control leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UpstreamInfo {
    /// Name of the upstream, which is the name of the daemon on its VM.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Peer address of that daemon, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Data centre of the upstream.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Slots that it announced.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it is leaving the fleet.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Version of its software, or empty if it states none.
    #[prost(string, tag = "6")]
    pub version: String,
}

/// Changes in a service, or its full state.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceDelta {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Registry epoch: the term of the leader that assigned the version.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Version after the change, within the epoch.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Whether `upstreams` lists all upstreams of the service.
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// Upstreams added or changed.
    #[prost(message, repeated, tag = "5")]
    pub upstreams: Vec<UpstreamInfo>,
    /// Names of upstreams removed.
    #[prost(string, repeated, tag = "6")]
    pub removed: Vec<String>,
    /// The checksums that the subscription stated, if the update is made for a view
    /// with them; then `upstreams` lists all upstreams of the replaced buckets.
    #[prost(fixed64, repeated, tag = "7")]
    pub base_checksums: Vec<u64>,
    /// The replaced buckets, a bit for each.
    #[prost(uint32, tag = "8")]
    pub replaced_buckets: u32,
}

/// A request to the control leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlRequest {
    /// Number that the reply repeats.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The request itself.
    #[prost(
        oneof = "control_request::Kind",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12"
    )]
    pub kind: Option<control_request::Kind>,
}

/// Kinds of [`ControlRequest`].
pub mod control_request {
    use super::{ChangeRequest, ClaimRequest, ClaimSettle, HistoryRequest, StatusRequest};

    /// A request to the control leader, by kind.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Claims the right to run a non-idempotent request once.
        #[prost(message, tag = "2")]
        Claim(ClaimRequest),
        /// Reports how a claimed request ended.
        #[prost(message, tag = "3")]
        Settle(ClaimSettle),
        /// Changes the configuration.
        #[prost(message, tag = "4")]
        Change(ChangeRequest),
        /// Reads the state of control.
        #[prost(message, tag = "5")]
        Status(StatusRequest),
        /// Reads past changes.
        #[prost(message, tag = "6")]
        History(HistoryRequest),
        /// Distributes convictions to all entries.
        #[prost(message, tag = "7")]
        Suspect(crate::data::Suspect),
        /// Changes the routing.
        #[prost(message, tag = "8")]
        Routing(crate::routing::RoutingChange),
        /// Takes a data centre out of service, or returns it.
        #[prost(message, tag = "9")]
        DataCentre(crate::routing::DataCentreOrder),
        /// Reads the current routing.
        #[prost(message, tag = "10")]
        ReadRouting(crate::routing::RoutingRequest),
        /// Orders a rollout.
        #[prost(message, tag = "11")]
        StartRollout(crate::rollout::RolloutOrder),
        /// Reads the newest rollout of a service.
        #[prost(message, tag = "12")]
        ReadRollout(crate::rollout::RolloutQuery),
    }
}

/// The control leader's reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlReply {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether the sender is the leader; if not, the request had no effect.
    #[prost(bool, tag = "2")]
    pub leader: bool,
    /// Address of the leader, if the sender is not the leader and knows it.
    #[prost(string, tag = "3")]
    pub leader_address: String,
    /// The reply itself; absent if the sender is not the leader, or lost its
    /// leadership before the outcome was known.
    #[prost(oneof = "control_reply::Kind", tags = "4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<control_reply::Kind>,
}

/// Kinds of [`ControlReply`].
pub mod control_reply {
    use super::{ChangeOutcome, ClaimOutcome, HistoryReply, StatusReply};

    /// A reply of the control leader, by kind.
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
        /// The current routing.
        #[prost(message, tag = "8")]
        Routing(crate::routing::Routing),
        /// Outcome of a rollout order or query.
        #[prost(message, tag = "9")]
        Rollout(crate::rollout::RolloutOutcome),
        /// The newest order, in reply to one that states another base and was therefore
        /// not carried out.
        #[prost(message, tag = "10")]
        NewestOrder(crate::routing::OrderPosition),
    }
}

/// Claims the right to run a non-idempotent request once.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimRequest {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Hash of the request, so that one key can't be used for two requests.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
    /// Claiming daemon.
    #[prost(string, tag = "5")]
    pub daemon: String,
    /// Random number of this attempt to claim; a claim that is resent with the
    /// same number gets the same outcome.
    #[prost(fixed64, tag = "6")]
    pub nonce: u64,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum SettleKind {
    /// Not specified.
    Unknown = 0,
    /// It ran and the complete response arrived.
    Finished = 1,
    /// It did not run, according to every gate that was tried.
    Released = 2,
}

/// Reports how a claimed request ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimSettle {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Name of the service.
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
    /// HTTP status of the response, if it finished.
    #[prost(uint32, tag = "6")]
    pub status: u32,
    /// With `claim` 0 and `Released`: the nonce of an attempt to claim that is
    /// given up because its outcome never arrived.
    #[prost(fixed64, tag = "7")]
    pub nonce: u64,
}

/// The result of a claim or of its settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimDecision {
    /// Not specified.
    Unknown = 0,
    /// The claimant may run the request once.
    Granted = 1,
    /// The request has already completed.
    Ran = 2,
    /// Another attempt holds the claim: the request is running or may have run.
    MayHaveRun = 3,
    /// The key was used for a different request.
    KeyReused = 4,
    /// The maximum number of claims is reached; nothing was claimed.
    Full = 5,
    /// The settlement was recorded.
    Settled = 6,
}

/// Outcome of a claim or of its settlement.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimOutcome {
    /// The result.
    #[prost(enumeration = "ClaimDecision", tag = "1")]
    pub decision: i32,
    /// Number of the claim, higher for each: the log index at which it was
    /// granted, with its position in that entry in the low 16 bits.
    #[prost(uint64, tag = "2")]
    pub claim: u64,
    /// HTTP status of the earlier response, if the request has completed.
    #[prost(uint32, tag = "3")]
    pub status: u32,
}

/// Kind of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum OperationKind {
    /// Not specified.
    Unknown = 0,
    /// Replaces the lists that are included.
    Lists = 1,
    /// Takes a data centre out of service.
    DataCentreOut = 2,
    /// Returns a data centre to service.
    DataCentreReturn = 3,
    /// Takes an upstream out of service.
    UpstreamOut = 4,
    /// Returns an upstream to service.
    UpstreamReturn = 5,
}

/// The lists of customers and plans, as written by an operator.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Lists {
    /// Text of the customer list, if it is to be replaced.
    #[prost(string, optional, tag = "1")]
    pub customers: Option<String>,
    /// Text of the plan list, if it is to be replaced.
    #[prost(string, optional, tag = "2")]
    pub plans: Option<String>,
}

/// A configuration change.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChangeOperation {
    /// Kind of the change.
    #[prost(enumeration = "OperationKind", tag = "1")]
    pub kind: i32,
    /// Name of the data centre or upstream that it applies to.
    #[prost(string, tag = "2")]
    pub target: String,
    /// New lists, for a change of lists.
    #[prost(message, optional, tag = "3")]
    pub lists: Option<Lists>,
}

/// Changes the configuration, if it is still at version `base`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChangeRequest {
    /// Id that makes the change idempotent.
    #[prost(string, tag = "1")]
    pub change: String,
    /// Version that the change is based on.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Author of the change, for the history.
    #[prost(string, tag = "3")]
    pub author: String,
    /// The change itself.
    #[prost(message, optional, tag = "4")]
    pub operation: Option<ChangeOperation>,
}

/// Result of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ChangeResult {
    /// Not specified.
    Unknown = 0,
    /// The change is committed by a majority.
    Accepted = 1,
    /// The configuration is at another version; `winner` is the change that came
    /// first.
    Conflict = 2,
    /// The change has findings; nothing was changed.
    Invalid = 3,
}

/// Outcome of a configuration change, remembered by change id.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeOutcome {
    /// The result.
    #[prost(enumeration = "ChangeResult", tag = "1")]
    pub result: i32,
    /// New version if accepted, otherwise the current version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The change that was accepted first, on a conflict.
    #[prost(message, optional, tag = "3")]
    pub winner: Option<HistoryEntry>,
    /// Findings, one per line.
    #[prost(string, repeated, tag = "4")]
    pub findings: Vec<String>,
}

/// An accepted change.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HistoryEntry {
    /// Configuration version that it created.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Id of the change.
    #[prost(string, tag = "2")]
    pub change: String,
    /// Author of the change.
    #[prost(string, tag = "3")]
    pub author: String,
    /// Readable summary of the change.
    #[prost(string, tag = "4")]
    pub summary: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "5")]
    pub at_ms: u64,
}

/// Reads the state of control.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct StatusRequest {}

/// State of control.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusReply {
    /// Current configuration version.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Election term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Id of the leader.
    #[prost(uint64, tag = "3")]
    pub leader: u64,
    /// Voters and learners.
    #[prost(message, optional, tag = "4")]
    pub membership: Option<crate::replica::Membership>,
    /// Registered upstreams, by service.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceDelta>,
    /// Data centres that operators have taken out.
    #[prost(string, repeated, tag = "6")]
    pub out_data_centres: Vec<String>,
    /// Upstreams that operators have taken out.
    #[prost(string, repeated, tag = "7")]
    pub out_upstreams: Vec<String>,
    /// Number of registered daemons.
    #[prost(uint64, tag = "8")]
    pub daemons: u64,
    /// Lowest configuration version reported by a registered daemon.
    #[prost(uint64, tag = "9")]
    pub lowest_version: u64,
    /// Number of claims.
    #[prost(uint64, tag = "10")]
    pub claims: u64,
    /// Number of customers on the list.
    #[prost(uint64, tag = "11")]
    pub customers: u64,
    /// The newest rollout of each service.
    #[prost(message, repeated, tag = "12")]
    pub rollouts: Vec<crate::rollout::Rollout>,
    /// Addresses of the voters that are silent or lack committed entries. Daemons of
    /// earlier versions send none.
    #[prost(string, repeated, tag = "13")]
    pub lagging_voters: Vec<String>,
}

/// Reads past changes.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HistoryRequest {
    /// Maximum number of changes, newest first.
    #[prost(uint32, tag = "1")]
    pub limit: u32,
}

/// Past changes, newest first.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HistoryReply {
    /// The changes.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<HistoryEntry>,
    /// Text of the current plan list.
    #[prost(bytes = "bytes", tag = "2")]
    pub plans: Bytes,
}
