//! Paths of the HTTP endpoints on a daemon's operators listener.

/// `POST`: an upstream announces itself to the daemon beside it.
pub const ANNOUNCE: &str = "/v1/announce";
/// `POST`: submits a configuration change.
pub const CHANGES: &str = "/v1/changes";
/// `GET`: accepted changes, newest first; `?limit=N` bounds their number.
pub const HISTORY: &str = "/v1/history";
/// `GET`: state of the control cluster and of this daemon.
pub const STATUS: &str = "/v1/status";
/// `POST`: bootstraps a cluster with this daemon's empty control replica as its
/// first member.
pub const INITIALISE: &str = "/v1/initialise";
/// `POST`: orders a rollout. `GET` of this path, a slash and the name of a service: its
/// newest rollout.
pub const ROLLOUTS: &str = "/v1/rollouts";
/// `GET`: 200 while the daemon accepts new requests, else 503.
pub const HEALTH: &str = "/v1/health";
/// `GET`: metrics in the Prometheus text format.
pub const METRICS: &str = "/metrics";
