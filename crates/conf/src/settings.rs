//! Settings of a daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use wire::{DaemonId, DataCentreId};

/// Everything that a daemon is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[daemon]`
    pub daemon: DaemonSettings,
    /// `[listen]`
    pub listen: ListenSettings,
    /// `[upstream]`, if one runs beside the daemon.
    pub upstream: Option<UpstreamSettings>,
    /// `[gate]`
    pub gate: GateSettings,
    /// `[routing]`
    pub routing: RoutingSettings,
    /// `[quota]`
    pub quota: QuotaSettings,
    /// `[control]`
    pub control: ControlSettings,
    /// `[operators]`
    pub operators: OperatorSettings,
    /// `[limits]`
    pub limits: LimitSettings,
    /// `[stop]`
    pub stop: StopSettings,
    /// `[log]`
    pub log: LogSettings,
}

/// Who the daemon is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Name, unique in the fleet.
    pub name: DaemonId,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentreId,
}

/// Where the daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Callers' requests, HTTP, if any come here.
    pub callers: Option<SocketAddr>,
    /// Operators, announcements and metrics, HTTP.
    pub operators: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
}

/// The upstream beside the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Where the upstream listens, HTTP.
    pub address: SocketAddr,
    /// Path to which the gate posts the id of a cancelled request, if the
    /// upstream has one.
    pub cancel_path: Option<String>,
    /// Path of the upstream's load report, if it has one.
    pub load_path: Option<String>,
    /// Time between readings of the load report.
    pub report_interval: Duration,
    /// Whether the upstream drops a request when its connection closes.
    pub drops_on_close: bool,
}

/// How the gate guards its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateSettings {
    /// Requests admitted at once when a cold start begins.
    pub cold_slots: u32,
    /// Answers at a normal time before the limit grows by one slot.
    pub ramp_answers: u32,
    /// Requests that may wait for a slot for a short time, in proportion to
    /// the slots, 0 to 1.
    pub queue_ratio: f64,
    /// Time without a request after which the upstream counts as cold.
    pub idle_timeout: Duration,
    /// Time that an upstream may keep a slot after a cancellation before it
    /// counts as stuck; the slot stays taken.
    pub stuck_timeout: Duration,
    /// Whether a request that was in flight at a crash runs alone, until it has
    /// ended well.
    pub isolate_suspects: bool,
    /// Whether fewer requests are admitted than the upstream has slots where
    /// measured times show that more gets done so.
    pub find_knee: bool,
}

/// How an entry chooses upstreams and spends retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingSettings {
    /// Bytes a second that the daemon may spend on measuring load.
    pub probe_bytes: u32,
    /// Messages a second that the daemon may spend on measuring load.
    pub probe_messages: u32,
    /// Retries in proportion to requests, 0 to 1.
    pub retry_ratio: f64,
    /// Hedges in proportion to requests, 0 to 1.
    pub hedge_ratio: f64,
    /// Largest part of a service that may be ejected, 0 to 1.
    pub eject_ratio: f64,
    /// Time for a returned data centre or upstream to get its whole part.
    pub return_ramp: Duration,
    /// Times that another upstream may be chosen, without a retry being paid,
    /// for a request that a gate did not run.
    pub repicks: u32,
    /// Retries, and hedges, that an entry may save up for a service, if they
    /// are part of a budget that is counted over the whole fleet; else each
    /// entry has a budget of its own.
    pub shared_retries: Option<f64>,
    /// Time that sending a kilobyte to another data centre is worth.
    pub far_per_kb: Duration,
    /// Time that an answer after its route's objective is worth, when it is
    /// weighed against bytes and other times.
    pub late_cost: Duration,
    /// Whether the upstream is chosen that is expected to answer first; else
    /// the less loaded of two.
    pub by_expected_finish: bool,
    /// Shortest time after which a refused caller may come back.
    pub retry_after: Duration,
}

/// How customers' limits are kept over the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSettings {
    /// Time that a block of allowance may be used.
    pub block_lifetime: Duration,
}

/// Control: the replicated log, claims, heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Peer addresses of the daemons that run control replicas.
    pub replicas: Vec<SocketAddr>,
    /// Whether the replicas named found a cluster when their data folders are
    /// empty.
    pub bootstrap: bool,
    /// Voters that the cluster keeps, if it replaces lost ones by whoever joins.
    pub target_voters: Option<usize>,
    /// Whether requests are taken on the newest word known when there is no
    /// fresh one.
    pub serve_stale: bool,
    /// Data folder; a daemon that has one runs a control replica.
    pub data_dir: Option<PathBuf>,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time that a confirmed answer stays fresh, from when it was asked for.
    pub lease: Duration,
    /// Time after which a follower without word from the leader may stand.
    pub election_timeout: Duration,
    /// Time that claims are kept.
    pub claim_retention: Duration,
    /// Claims kept at most.
    pub max_claims: u64,
    /// Log entries between snapshots.
    pub snapshot_entries: u64,
}

/// Operators' endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorSettings {
    /// File with the bearer token; required unless the listener is on loopback.
    pub token_file: Option<PathBuf>,
    /// Whether everybody who reaches the listener is an operator.
    pub trusted_network: bool,
}

/// Bounds on what callers and peers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Connections from callers.
    pub connections: usize,
    /// Header bytes of a request.
    pub header_bytes: usize,
    /// Body bytes of a request.
    pub body_bytes: u64,
    /// Body bytes that are held so that a request can be sent again.
    pub buffered_body_bytes: usize,
    /// Body bytes under way on a stream without the receiver's credit.
    pub window_bytes: usize,
}

/// The graceful stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopSettings {
    /// Longest time that requests in progress may take once a stop began, if
    /// there is a bound.
    pub drain_timeout: Option<Duration>,
    /// Time for which requests are still taken once a stop began, while callers
    /// turn away.
    pub linger: Duration,
}

/// Logging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogSettings {
    /// Part of the requests that get a log line, 0 to 1.
    pub sample_ratio: f64,
}

const DEFAULT_IDLE: Duration = Duration::from_secs(600);
const DEFAULT_STUCK: Duration = Duration::from_secs(60);
const DEFAULT_RETURN_RAMP: Duration = Duration::from_secs(20);
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const DEFAULT_BLOCK: Duration = Duration::from_secs(1);
const DEFAULT_HEARTBEAT: Duration = Duration::from_secs(1);
const DEFAULT_LEASE: Duration = Duration::from_secs(4);
const DEFAULT_ELECTION: Duration = Duration::from_millis(800);
const DEFAULT_CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3600);

impl Settings {
    /// Returns the defaults for what must be stated in any case.
    #[must_use]
    pub fn new(daemon: DaemonSettings, listen: ListenSettings, upstream: SocketAddr) -> Self {
        Self {
            daemon,
            listen,
            upstream: Some(UpstreamSettings::new(upstream)),
            gate: GateSettings::default(),
            routing: RoutingSettings::default(),
            quota: QuotaSettings::default(),
            control: ControlSettings::default(),
            operators: OperatorSettings::default(),
            limits: LimitSettings::default(),
            stop: StopSettings::default(),
            log: LogSettings::default(),
        }
    }
}

impl UpstreamSettings {
    /// Returns the defaults for an upstream at an address.
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
            idle_timeout: DEFAULT_IDLE,
            stuck_timeout: DEFAULT_STUCK,
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
            late_cost: Duration::ZERO,
            by_expected_finish: false,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            block_lifetime: DEFAULT_BLOCK,
        }
    }
}

impl Default for ControlSettings {
    /// Returns settings that name no replica yet.
    fn default() -> Self {
        Self {
            replicas: Vec::new(),
            bootstrap: false,
            target_voters: None,
            serve_stale: false,
            data_dir: None,
            heartbeat_interval: DEFAULT_HEARTBEAT,
            lease: DEFAULT_LEASE,
            election_timeout: DEFAULT_ELECTION,
            claim_retention: DEFAULT_CLAIM_RETENTION,
            max_claims: 1_000_000,
            snapshot_entries: 10_000,
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
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { sample_ratio: 1.0 }
    }
}
