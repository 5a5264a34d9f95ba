//! Heartbeats of daemons to the control leader, and the updates in its replies.

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
    /// Name of the upstream with `deregistered_boot`. Leaders of earlier versions do not
    /// state it, nor the number.
    #[prost(string, tag = "15")]
    pub deregistered_target: String,
    /// Number of that start; 0 if the upstream does not number them.
    #[prost(uint64, tag = "16")]
    pub deregistered_incarnation: u64,
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
