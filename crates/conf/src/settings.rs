//! Settings of a daemon and their defaults. Each field of [`Settings`] is a section
//! of the settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use wire::{DaemonId, DataCentreId, ServiceId};

/// All settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[daemon]`
    pub daemon: DaemonSettings,
    /// `[listen]`
    pub listen: ListenSettings,
    /// `[upstream]`, if an upstream runs beside the daemon.
    pub upstream: Option<UpstreamSettings>,
    /// `[gate]`
    pub gate: GateSettings,
    /// `[routing]`
    pub routing: RoutingSettings,
    /// `[hedge-ratio]`: hedges allowed per request, 0 to 1, of the services that have a
    /// limit of their own instead of the general one.
    pub hedge_ratios: BTreeMap<ServiceId, f64>,
    /// `[quota]`
    pub quota: QuotaSettings,
    /// `[control]`
    pub control: ControlSettings,
    /// `[rollout]`
    pub rollout: RolloutSettings,
    /// `[operators]`
    pub operators: OperatorSettings,
    /// `[limits]`
    pub limits: LimitSettings,
    /// `[stop]`
    pub stop: StopSettings,
    /// `[log]`
    pub log: LogSettings,
}

/// Identity of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Name of the daemon, unique in the fleet.
    pub name: DaemonId,
    /// Data centre of the daemon's VM.
    pub data_centre: DataCentreId,
}

/// Addresses on which the daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// HTTP listener for callers' requests, if the daemon accepts any.
    pub callers: Option<SocketAddr>,
    /// HTTP listener for operators, announcements and metrics.
    pub operators: SocketAddr,
    /// Listener for other daemons.
    pub peers: SocketAddr,
}

/// The upstream beside the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// HTTP address of the upstream.
    pub address: SocketAddr,
    /// Path to which the gate posts the id of a cancelled request, if the
    /// upstream supports cancellation.
    pub cancel_path: Option<String>,
    /// Path of the upstream's load report, if it provides one.
    pub load_path: Option<String>,
    /// Interval at which the load report is read.
    pub report_interval: Duration,
    /// Whether the upstream aborts a request when its connection closes.
    pub drops_on_close: bool,
}

/// Admission of requests to the upstream by its gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateSettings {
    /// Concurrent requests admitted to a cold upstream at first.
    pub cold_slots: u32,
    /// Responses within the normal service time that raise a cold upstream's
    /// limit by one slot.
    pub ramp_answers: u32,
    /// Maximum number of requests that wait for a slot, as a fraction of the
    /// slots, 0 to 1.
    pub queue_ratio: f64,
    /// Time without requests after which the upstream counts as cold.
    pub idle_timeout: Duration,
    /// Time after a cancellation at which a slot that is still in use counts as
    /// stuck; the slot is not freed.
    pub stuck_timeout: Duration,
    /// Whether a request that was in flight when an upstream crashed runs
    /// exclusively until it has succeeded.
    pub isolate_suspects: bool,
    /// Whether fewer requests than slots are admitted when measured service times
    /// show that this raises the throughput.
    pub find_knee: bool,
}

/// Choice of upstreams and retry budgets of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingSettings {
    /// Bytes per second that the daemon may use to measure load.
    pub probe_bytes: u32,
    /// Messages per second that the daemon may use to measure load.
    pub probe_messages: u32,
    /// Retries allowed per request, 0 to 1.
    pub retry_ratio: f64,
    /// Hedges allowed per request, 0 to 1, of services without a limit of their own.
    pub hedge_ratio: f64,
    /// Maximum fraction of a service's upstreams that may be ejected, 0 to 1.
    pub eject_ratio: f64,
    /// Time in which the load of a returned data centre or upstream is ramped up
    /// to its full share.
    pub return_ramp: Duration,
    /// How often another upstream may be chosen for a request that a gate did not
    /// run, without use of the retry budget.
    pub repicks: u32,
    /// Maximum number of unused retries, and of hedges, that an entry accumulates
    /// per service as its share of a fleet-wide budget. Without it, each entry has
    /// a budget of its own.
    pub shared_retries: Option<f64>,
    /// Cost of sending one kilobyte to another data centre, expressed as response
    /// time.
    pub far_per_kb: Duration,
    /// Maximum cost of sending a request and its response to another data centre, so
    /// that a large body still goes where it can be served in time. `None` for no
    /// maximum.
    pub far_limit: Option<Duration>,
    /// Cost of a response that misses its route's latency objective, expressed as
    /// response time, for comparison with other costs.
    pub late_cost: Duration,
    /// Whether the upstream with the lowest expected response time is chosen;
    /// otherwise the less loaded of two candidates.
    pub by_expected_finish: bool,
    /// Minimum delay after which a refused caller is asked to retry.
    pub retry_after: Duration,
}

/// Enforcement of customers' limits over the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSettings {
    /// Time for which a block of allowance is valid.
    pub block_lifetime: Duration,
    /// Time for which a customer's home may grant after control's confirmation; that of
    /// control if `None`.
    pub home_lease: Option<Duration>,
    /// Whether customers' homes are daemons that run a control replica, if there are any.
    pub homes_on_replicas: bool,
}

/// Control: replicated log, claims and heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Peer addresses of the daemons that run control replicas.
    pub replicas: Vec<SocketAddr>,
    /// Whether the listed replicas bootstrap a cluster if their data folders are
    /// empty.
    pub bootstrap: bool,
    /// Number of voters to maintain by promoting joined replicas in place of lost
    /// voters. If `None`, every replica that has caught up becomes a voter.
    pub target_voters: Option<usize>,
    /// Whether requests are accepted on the last known state when there is no
    /// fresh confirmation by the control leader.
    pub serve_stale: bool,
    /// Data folder; a daemon with one runs a control replica.
    pub data_dir: Option<PathBuf>,
    /// Interval between a daemon's heartbeats to control.
    pub heartbeat_interval: Duration,
    /// Time for which a confirmation by the control leader stays fresh, from when
    /// it was requested.
    pub lease: Duration,
    /// Time for which such a confirmation allows requests that need a credential; `None`
    /// for no limit beyond that of other requests.
    pub credential_lease: Option<Duration>,
    /// Minimum time without contact to the leader after which a follower may start
    /// an election.
    pub election_timeout: Duration,
    /// Time for which claims are stored.
    pub claim_retention: Duration,
    /// Maximum number of claims stored.
    pub max_claims: u64,
    /// Number of log entries between snapshots.
    pub snapshot_entries: u64,
}

/// Limits on what a bad version may receive during a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Maximum share of the service's requests, 0 to 1.
    pub canary_share: f64,
    /// Number of requests beyond that share.
    pub canary_slack: u32,
    /// Time after which a bad version must not get any more requests.
    pub rollback: Duration,
}

/// Access to the operators' endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorSettings {
    /// File with the bearer token; required unless the listener is on loopback or
    /// the network is trusted.
    pub token_file: Option<PathBuf>,
    /// Whether every client that can reach the listener counts as an operator.
    pub trusted_network: bool,
}

/// Limits on what callers and peers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum number of connections from callers.
    pub connections: usize,
    /// Maximum header size of a request.
    pub header_bytes: usize,
    /// Maximum body size of a request.
    pub body_bytes: u64,
    /// Maximum body size that is buffered so that a request can be retried.
    pub buffered_body_bytes: usize,
    /// Flow-control window of a stream: body bytes that may be in transit without
    /// credit from the receiver.
    pub window_bytes: usize,
    /// Bytes a second that the VM's network link carries in each direction; 0 if
    /// unknown. Bodies are received and upstreams chosen accordingly.
    pub link_bytes: u64,
    /// Number of descriptors that the process may have, if that is less than its enforced
    /// limit.
    pub descriptors: Option<usize>,
    /// Bytes of memory that the process may use, if that is less than its enforced limits.
    pub memory_bytes: Option<usize>,
    /// Maximum time for the body of a request to operators' endpoints.
    pub body_timeout: Duration,
}

/// Graceful stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopSettings {
    /// Maximum time that requests in progress get to complete after a stop began;
    /// unlimited if `None`.
    pub drain_timeout: Option<Duration>,
    /// Time for which requests are still accepted after a stop began, while
    /// callers switch to other daemons.
    pub linger: Duration,
}

/// Logging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogSettings {
    /// Fraction of requests that are logged, 0 to 1.
    pub sample_ratio: f64,
}

const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(600);
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_STUCK_TIMEOUT: Duration = Duration::from_secs(60);
const DEFAULT_RETURN_RAMP: Duration = Duration::from_secs(20);
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const DEFAULT_BLOCK_LIFETIME: Duration = Duration::from_secs(1);
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_LEASE: Duration = Duration::from_secs(4);
const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(800);
const DEFAULT_ROLLBACK: Duration = Duration::from_secs(5);
const DEFAULT_CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3600);

impl Settings {
    /// Returns settings with the given mandatory values and defaults for the rest.
    #[must_use]
    pub fn new(daemon: DaemonSettings, listen: ListenSettings, upstream: SocketAddr) -> Self {
        Self {
            daemon,
            listen,
            upstream: Some(UpstreamSettings::new(upstream)),
            gate: GateSettings::default(),
            routing: RoutingSettings::default(),
            hedge_ratios: BTreeMap::new(),
            quota: QuotaSettings::default(),
            control: ControlSettings::default(),
            rollout: RolloutSettings::default(),
            operators: OperatorSettings::default(),
            limits: LimitSettings::default(),
            stop: StopSettings::default(),
            log: LogSettings::default(),
        }
    }
}

impl Settings {
    /// Returns the time for which a customer's home may grant after control's confirmation.
    /// It is at most control's lease, after which control lists another home.
    #[must_use]
    pub fn home_lease(&self) -> Duration {
        let lease = self.control.lease;
        self.quota.home_lease.map_or(lease, |home| home.min(lease))
    }
}

impl UpstreamSettings {
    /// Returns the default settings of an upstream at the given address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            cancel_path: None,
            load_path: None,
            report_interval: DEFAULT_REPORT_INTERVAL,
            drops_on_close: false,
        }
    }
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            cold_slots: 1,
            ramp_answers: 4,
            queue_ratio: 0.5,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            stuck_timeout: DEFAULT_STUCK_TIMEOUT,
            isolate_suspects: true,
            find_knee: false,
        }
    }
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            probe_bytes: 2_000,
            probe_messages: 20,
            retry_ratio: 0.1,
            hedge_ratio: 0.02,
            eject_ratio: 0.3,
            return_ramp: DEFAULT_RETURN_RAMP,
            repicks: 0,
            shared_retries: None,
            far_per_kb: Duration::ZERO,
            far_limit: None,
            late_cost: Duration::ZERO,
            by_expected_finish: false,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            block_lifetime: DEFAULT_BLOCK_LIFETIME,
            home_lease: None,
            homes_on_replicas: false,
        }
    }
}

impl Default for ControlSettings {
    /// Returns the default settings, with an empty list of replicas.
    fn default() -> Self {
        Self {
            replicas: Vec::new(),
            bootstrap: false,
            target_voters: None,
            serve_stale: false,
            data_dir: None,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            lease: DEFAULT_LEASE,
            credential_lease: None,
            election_timeout: DEFAULT_ELECTION_TIMEOUT,
            claim_retention: DEFAULT_CLAIM_RETENTION,
            max_claims: 1_000_000,
            snapshot_entries: 10_000,
        }
    }
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            canary_share: 0.1,
            canary_slack: 50,
            rollback: DEFAULT_ROLLBACK,
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_bytes: 32 * 1024,
            body_bytes: 1024 * 1024 * 1024,
            buffered_body_bytes: 64 * 1024,
            window_bytes: 256 * 1024,
            link_bytes: 0,
            descriptors: None,
            memory_bytes: None,
            body_timeout: DEFAULT_BODY_TIMEOUT,
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { sample_ratio: 1.0 }
    }
}
