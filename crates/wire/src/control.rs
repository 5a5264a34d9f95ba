//! Requests to the leader of the control replicas, and its replies.

use crate::heartbeat::ServiceDelta;
use bytes::Bytes;

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
    use super::{ChangeRequest, HistoryRequest, StatusRequest};
    use crate::claims::{ClaimRequest, ClaimSettle};

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
    use super::{ChangeOutcome, HistoryReply, StatusReply};
    use crate::claims::ClaimOutcome;

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
