//! State of the control cluster and of the daemon that reports it.

use serde::{Deserialize, Serialize};

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// Name of the daemon that responds.
    pub daemon: String,
    /// Configuration version in force at that daemon.
    pub daemon_version: u64,
    /// Requests a second that the upstream beside that daemon states it takes, in
    /// thousandths, if it states any.
    #[serde(default)]
    pub stated_rate_milli: Option<u64>,
    /// Whether that upstream states in its responses that it is leaving.
    #[serde(default)]
    pub stated_leaving: bool,
    /// Committed configuration version.
    pub version: u64,
    /// Lowest configuration version reported by a live daemon.
    pub lowest_version: u64,
    /// Number of live daemons: those that sent a heartbeat recently.
    pub daemons: u64,
    /// Term of the control leader.
    pub term: u64,
    /// Id of the control replica that is the leader.
    pub leader: u64,
    /// Addresses of the voting control replicas.
    pub voters: Vec<String>,
    /// Addresses of the non-voting control replicas (learners).
    pub learners: Vec<String>,
    /// Addresses of the voters that are silent or lack committed entries.
    #[serde(default)]
    pub lagging_voters: Vec<String>,
    /// Role of the control replica of the daemon that responds, if it has one.
    #[serde(default)]
    pub replica_role: Option<String>,
    /// Names of the files in its data folder that were set aside because they were
    /// corrupt.
    #[serde(default)]
    pub set_aside: Vec<String>,
    /// Number of claims stored.
    pub claims: u64,
    /// Number of customers on the customer list.
    pub customers: u64,
    /// Data centres taken out of service.
    pub out_data_centres: Vec<String>,
    /// Upstreams taken out of service.
    pub out_upstreams: Vec<String>,
    /// Services with their upstreams.
    pub services: Vec<ServiceStatus>,
}

/// A service and its upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Upstreams of the service.
    pub upstreams: Vec<UpstreamStatus>,
}

/// An upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream, which is that of the daemon beside it.
    pub upstream: String,
    /// Peer address of that daemon.
    pub address: String,
    /// Data centre of the upstream.
    pub data_centre: String,
    /// Announced slots: requests that it can process concurrently.
    pub slots: u32,
    /// Whether the upstream is about to stop and must get no new requests.
    pub leaving: bool,
}
