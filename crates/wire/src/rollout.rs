//! Rollouts: moving the traffic of a service to upstreams of another version.

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutStage {
    /// Not specified.
    Unknown = 0,
    /// The new version gets a small share, while its responses are compared with those
    /// of the old one.
    Canary = 1,
    /// The share of the new version grows.
    Ramp = 2,
    /// All new requests go to the new version; those in progress at the old one end.
    Switched = 3,
    /// The old version gets nothing and has nothing in progress.
    Complete = 4,
    /// The new version gets nothing.
    RolledBack = 5,
}

/// An operator's order to move a service to a version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutOrder {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version to move to.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Time within which the rollout is to be complete, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub duration_ms: u64,
    /// Newest order known when the operator was last seen to wait for this one, as in
    /// [`DataCentreOrder::base`](crate::DataCentreOrder::base).
    #[prost(message, optional, tag = "4")]
    pub base: Option<crate::routing::OrderPosition>,
}

/// The newest rollout of a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Rollout {
    /// Number, higher for each rollout: the configuration version that its order made.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Version that the traffic is moved to.
    #[prost(string, tag = "3")]
    pub version: String,
    /// Time within which it is to be complete, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub duration_ms: u64,
    /// Current stage.
    #[prost(enumeration = "RolloutStage", tag = "5")]
    pub stage: i32,
    /// Number of the step that made the current state, from 0 for the order.
    #[prost(uint64, tag = "6")]
    pub step: u64,
    /// Maximum share of the service's requests that the new version gets, in
    /// millionths.
    #[prost(uint32, tag = "7")]
    pub share_ppm: u32,
    /// Log time of the order, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub ordered_ms: u64,
    /// Log time of the newest step, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub stepped_ms: u64,
    /// Versions that were replaced, once the traffic has been switched.
    #[prost(string, repeated, tag = "10")]
    pub replaced_versions: Vec<String>,
    /// Why it was rolled back, in one line, or empty.
    #[prost(string, tag = "11")]
    pub reason: String,
    /// Versions that earlier rollouts of the service rolled back. They are excluded at every
    /// stage.
    #[prost(string, repeated, tag = "13")]
    pub rejected_versions: Vec<String>,
    /// Configuration version that the newest step made.
    #[prost(uint64, tag = "12")]
    pub step_version: u64,
}

/// Reads the newest rollout of a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutQuery {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// Result of a rollout order or query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutResult {
    /// Not specified.
    Unknown = 0,
    /// The order is committed by a majority, or was before; or the rollout was found.
    Accepted = 1,
    /// Another order for the service is in progress.
    InProgress = 2,
    /// The order has findings; nothing was changed.
    Invalid = 3,
    /// No rollout was ordered for the service.
    NotFound = 4,
}

/// Outcome of a rollout order or query.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutOutcome {
    /// The result.
    #[prost(enumeration = "RolloutResult", tag = "1")]
    pub result: i32,
    /// The newest rollout of the service, if there is one.
    #[prost(message, optional, tag = "2")]
    pub rollout: Option<Rollout>,
    /// Findings, one per line.
    #[prost(string, repeated, tag = "3")]
    pub findings: Vec<String>,
}

/// Responses of an upstream during a rollout of its service, counted since the daemon
/// on its VM started or the rollout began.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct VersionEvidence {
    /// Number of the rollout.
    #[prost(uint64, tag = "1")]
    pub rollout: u64,
    /// Version of the upstream.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Counts of each route.
    #[prost(message, repeated, tag = "3")]
    pub routes: Vec<RouteEvidence>,
}

/// Responses of an upstream to the requests of one route.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RouteEvidence {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Number of responses, failures included.
    #[prost(uint32, tag = "2")]
    pub responses: u32,
    /// Number of failures.
    #[prost(uint32, tag = "3")]
    pub failures: u32,
    /// Successful responses by normalised service time. Each bucket ends at the square
    /// root of two times the end of the one before; the first ends at one millisecond.
    #[prost(uint32, repeated, tag = "4")]
    pub service_times: Vec<u32>,
}
