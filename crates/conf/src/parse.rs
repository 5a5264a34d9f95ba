//! Parses the settings file and checks that its values fit together.

use crate::finding::{Finding, Findings, source};
use crate::reader::Reader;
use crate::settings::{
    ControlSettings, DaemonSettings, GateSettings, LimitSettings, ListenSettings, LogSettings,
    OperatorSettings, QuotaSettings, RolloutSettings, RoutingSettings, Settings, StopSettings,
    UpstreamSettings,
};
use crate::value::{
    address, addresses, count, format_time, http_path, name, path, ratio, size, time, yes_no,
};
use std::fs;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

const SECTIONS: [&str; 13] = [
    "daemon",
    "listen",
    "upstream",
    "gate",
    "routing",
    "hedge-ratio",
    "quota",
    "control",
    "rollout",
    "operators",
    "limits",
    "stop",
    "log",
];

const MAX_REPLICAS: usize = 7;
const MAX_SLOTS: u32 = 100_000;
const MAX_REPICKS: u32 = 100;
const MAX_PER_SECOND: u32 = 10_000_000;
const MAX_CLAIMS: u64 = 100_000_000;
const MAX_SNAPSHOT_ENTRIES: u64 = 10_000_000;
const MAX_CANARY_SLACK: u32 = 1_000_000;
const MAX_CONNECTIONS: usize = 1_000_000;
const MIN_DESCRIPTORS: usize = 64;

const HEADER_BYTES: RangeInclusive<u64> = 1 << 10..=1 << 20;
const BODY_BYTES: RangeInclusive<u64> = 1..=1 << 40;
const BUFFERED_BODY_BYTES: RangeInclusive<u64> = 0..=16 << 20;
const WINDOW_BYTES: RangeInclusive<u64> = 4 << 10..=64 << 20;
const MEMORY_BYTES: RangeInclusive<u64> = 16 << 20..=1 << 40;
const LINK_BYTES: RangeInclusive<u64> = 0..=1 << 40;

const HEARTBEAT: RangeInclusive<Duration> = ms(10)..=MINUTE;
const LEASE: RangeInclusive<Duration> = ms(50)..=MINUTE;
const ELECTION: RangeInclusive<Duration> = ms(50)..=MINUTE;
const CLAIM_RETENTION: RangeInclusive<Duration> = ms(1_000)..=DAYS_30;
const ROLLBACK: RangeInclusive<Duration> = ms(1_000)..=MINUTE;
const BLOCK: RangeInclusive<Duration> = ms(50)..=MINUTE;
const TEN_MS_TO_A_DAY: RangeInclusive<Duration> = ms(10)..=DAY;
const UP_TO_A_DAY: RangeInclusive<Duration> = Duration::ZERO..=DAY;

const MINUTE: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(24 * 3600);
const DAYS_30: Duration = Duration::from_secs(30 * 24 * 3600);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Settings {
    /// Loads a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings in the file, or one with the reason why it can't be
    /// read.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(e) => {
                let problem = format!("can't be read: {e}");
                Err(Finding::about_file(&file, problem, "a text file in UTF-8".into()).into())
            }
        }
    }

    /// Parses settings from a text; `file` is its name in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let source = source(file, text);
        let reader = Reader::new(&source, text);
        reader.report_unknown_sections(&SECTIONS);
        // All sections are read before any missing one makes this fail, so that
        // all findings are reported together.
        let daemon = read_daemon(&reader);
        let control_only = is_control_only(&reader);
        let listen = read_listen(&reader, control_only);
        let upstream = read_upstream(&reader, control_only);
        let gate = read_gate(&reader);
        let routing = read_routing(&reader);
        let hedge_ratios = reader.section("hedge-ratio").named_values("service", ratio);
        let quota = read_quota(&reader);
        let control = read_control(&reader, listen.as_ref());
        let rollout = read_rollout(&reader);
        let operators = read_operators(&reader, listen.as_ref());
        let limits = read_limits(&reader);
        let stop = read_stop(&reader);
        let log = read_log(&reader);
        check_addresses(&reader, listen.as_ref(), upstream.as_ref());
        let settings = daemon.zip(listen).map(|(daemon, listen)| Self {
            daemon,
            listen,
            upstream,
            gate,
            routing,
            hedge_ratios,
            quota,
            control,
            rollout,
            operators,
            limits,
            stop,
            log,
        });
        reader.finish(settings)
    }
}

fn read_daemon(reader: &Reader<'_>) -> Option<DaemonSettings> {
    let mut keys = reader.section("daemon");
    let daemon = keys.require("name", "a name, unique in the fleet", name);
    let data_centre = keys.require("data-centre", "a name", name);
    keys.report_unknown_keys();
    Some(DaemonSettings {
        name: daemon?,
        data_centre: data_centre?,
    })
}

/// Returns whether the daemon runs a control replica only: it has a data folder,
/// but neither a callers listener nor an upstream.
fn is_control_only(reader: &Reader<'_>) -> bool {
    reader.section("control").has("data")
        && !reader.section("listen").has("callers")
        && !reader.section("upstream").has("address")
}

fn read_listen(reader: &Reader<'_>, control_only: bool) -> Option<ListenSettings> {
    let mut keys = reader.section("listen");
    let callers = match control_only {
        true => None,
        false => keys.require("callers", "IP:PORT", address),
    };
    let operators = keys.require("operators", "IP:PORT", address);
    let peers = keys.require("peers", "IP:PORT", address);
    keys.report_unknown_keys();
    if peers.is_some_and(|p| p.ip().is_unspecified()) {
        let problem = "other daemons can't connect to an unspecified peers address".to_owned();
        keys.add_finding("peers", problem, "the VM's own address, IP:PORT".to_owned());
    }
    Some(ListenSettings {
        callers: if control_only { None } else { Some(callers?) },
        operators: operators?,
        peers: peers?,
    })
}

fn read_upstream(reader: &Reader<'_>, control_only: bool) -> Option<UpstreamSettings> {
    let mut keys = reader.section("upstream");
    let address = match control_only {
        true => None,
        false => keys.require("address", "IP:PORT", address),
    };
    let cancel_path = keys.get("cancel-path", http_path);
    let load_path = keys.get("load-path", http_path);
    let mut report_interval = None;
    keys.set("report-interval", &mut report_interval, |t| {
        time(t, TEN_MS_TO_A_DAY).map(Some)
    });
    let drops_on_close = keys.get("drops-on-close", yes_no);
    keys.report_unknown_keys();
    let mut cfg = UpstreamSettings::new(address?);
    cfg.cancel_path = cancel_path;
    cfg.load_path = load_path;
    cfg.report_interval = report_interval.unwrap_or(cfg.report_interval);
    cfg.drops_on_close = drops_on_close.unwrap_or(cfg.drops_on_close);
    Some(cfg)
}

fn read_gate(reader: &Reader<'_>) -> GateSettings {
    let mut keys = reader.section("gate");
    let mut cfg = GateSettings::default();
    keys.set("cold-slots", &mut cfg.cold_slots, |t| {
        count(t, 1..=MAX_SLOTS)
    });
    keys.set("ramp-answers", &mut cfg.ramp_answers, |t| {
        count(t, 1..=MAX_SLOTS)
    });
    keys.set("queue-ratio", &mut cfg.queue_ratio, ratio);
    keys.set("idle", &mut cfg.idle_timeout, |t| time(t, TEN_MS_TO_A_DAY));
    keys.set("stuck", &mut cfg.stuck_timeout, |t| {
        time(t, TEN_MS_TO_A_DAY)
    });
    keys.set("find-knee", &mut cfg.find_knee, yes_no);
    keys.set("isolate-suspects", &mut cfg.isolate_suspects, yes_no);
    keys.report_unknown_keys();
    cfg
}

fn read_routing(reader: &Reader<'_>) -> RoutingSettings {
    let mut keys = reader.section("routing");
    let mut cfg = RoutingSettings::default();
    let per_second = |t: &str| count(t, 0..=MAX_PER_SECOND);
    keys.set("probe-bytes", &mut cfg.probe_bytes, per_second);
    keys.set("probe-messages", &mut cfg.probe_messages, per_second);
    keys.set("retry-ratio", &mut cfg.retry_ratio, ratio);
    keys.set("hedge-ratio", &mut cfg.hedge_ratio, ratio);
    keys.set("eject-ratio", &mut cfg.eject_ratio, ratio);
    keys.set("return-ramp", &mut cfg.return_ramp, |t| {
        time(t, UP_TO_A_DAY)
    });
    keys.set("shared-retries", &mut cfg.shared_retries, |t| {
        count(t, 0..=MAX_REPICKS).map(|n: u32| Some(f64::from(n)))
    });
    keys.set("far-per-kb", &mut cfg.far_per_kb, |t| time(t, UP_TO_A_DAY));
    keys.set("far-limit", &mut cfg.far_limit, |t| {
        time(t, UP_TO_A_DAY).map(Some)
    });
    keys.set("late-cost", &mut cfg.late_cost, |t| time(t, UP_TO_A_DAY));
    keys.set("by-expected-finish", &mut cfg.by_expected_finish, yes_no);
    keys.set("repicks", &mut cfg.repicks, |t| count(t, 0..=MAX_REPICKS));
    keys.set("retry-after", &mut cfg.retry_after, |t| {
        time(t, TEN_MS_TO_A_DAY)
    });
    keys.report_unknown_keys();
    cfg
}

fn read_quota(reader: &Reader<'_>) -> QuotaSettings {
    let mut keys = reader.section("quota");
    let mut cfg = QuotaSettings::default();
    keys.set("block", &mut cfg.block_lifetime, |t| time(t, BLOCK));
    keys.set("home-lease", &mut cfg.home_lease, |t| {
        time(t, TEN_MS_TO_A_DAY).map(Some)
    });
    keys.set("homes-on-replicas", &mut cfg.homes_on_replicas, yes_no);
    keys.report_unknown_keys();
    cfg
}

fn read_control(reader: &Reader<'_>, listen: Option<&ListenSettings>) -> ControlSettings {
    let mut keys = reader.section("control");
    let mut cfg = ControlSettings::default();
    let replicas = keys.require("replicas", "IP:PORT, IP:PORT, IP:PORT", addresses);
    cfg.data_dir = keys.get("data", path);
    keys.set("heartbeat", &mut cfg.heartbeat_interval, |t| {
        time(t, HEARTBEAT)
    });
    keys.set("lease", &mut cfg.lease, |t| time(t, LEASE));
    keys.set("credential-lease", &mut cfg.credential_lease, |t| {
        time(t, LEASE).map(Some)
    });
    keys.set("election", &mut cfg.election_timeout, |t| time(t, ELECTION));
    keys.set("claim-retention", &mut cfg.claim_retention, |t| {
        time(t, CLAIM_RETENTION)
    });
    keys.set("claims", &mut cfg.max_claims, |t| count(t, 1..=MAX_CLAIMS));
    let entries = |t: &str| count(t, 1..=MAX_SNAPSHOT_ENTRIES);
    keys.set("snapshot-entries", &mut cfg.snapshot_entries, entries);
    keys.set("found", &mut cfg.bootstrap, yes_no);
    keys.set("voters", &mut cfg.target_voters, |t| {
        count(t, 1..=MAX_REPLICAS).map(Some)
    });
    keys.set("serve-stale", &mut cfg.serve_stale, yes_no);
    keys.report_unknown_keys();
    if cfg.lease <= cfg.heartbeat_interval {
        let problem = format!(
            "a lease of {} ends before the next heartbeat, which is sent after {}",
            format_time(cfg.lease),
            format_time(cfg.heartbeat_interval)
        );
        keys.add_finding("lease", problem, "a lease longer than heartbeat".to_owned());
    }
    if cfg.lease <= cfg.election_timeout {
        let problem = format!(
            "a lease of {} ends before a lost leader can be replaced; the election timeout is {}",
            format_time(cfg.lease),
            format_time(cfg.election_timeout)
        );
        keys.add_finding("lease", problem, "a lease longer than election".to_owned());
    }
    let credential_lease = cfg.credential_lease;
    if let Some(lease) = credential_lease.filter(|lease| *lease <= cfg.heartbeat_interval) {
        let problem = format!(
            "a credential lease of {} ends before the next heartbeat, which is sent after {}",
            format_time(lease),
            format_time(cfg.heartbeat_interval)
        );
        let valid = "a lease longer than heartbeat".to_owned();
        keys.add_finding("credential-lease", problem, valid);
    }
    let Some(replicas) = replicas else {
        return cfg;
    };
    if let Some(problem) = replica_list_problem(&replicas) {
        let valid = format!("1 to {MAX_REPLICAS} addresses, each once; 3 or 5 tolerate a loss");
        keys.add_finding("replicas", problem, valid);
    }
    let lists_itself = listen.is_none_or(|listen| replicas.contains(&listen.peers));
    if cfg.data_dir.is_some() && !lists_itself && cfg.target_voters.is_none() {
        let problem = "data is set, but replicas lacks this daemon's peers address".to_owned();
        let valid = "no data, or the [listen] peers address among replicas".to_owned();
        keys.add_finding("data", problem, valid);
    }
    cfg.replicas = replicas;
    cfg
}

fn replica_list_problem(replicas: &[SocketAddr]) -> Option<String> {
    if replicas.len() > MAX_REPLICAS {
        return Some(format!("{} replicas are listed", replicas.len()));
    }
    let twice = |(i, a): (usize, &SocketAddr)| replicas[..i].contains(a).then_some(*a);
    let address = replicas.iter().enumerate().find_map(twice)?;
    Some(format!("replica {address} is listed twice"))
}

fn read_rollout(reader: &Reader<'_>) -> RolloutSettings {
    let mut keys = reader.section("rollout");
    let mut cfg = RolloutSettings::default();
    keys.set("canary-share", &mut cfg.canary_share, ratio);
    keys.set("canary-slack", &mut cfg.canary_slack, |t| {
        count(t, 0..=MAX_CANARY_SLACK)
    });
    keys.set("rollback", &mut cfg.rollback, |t| time(t, ROLLBACK));
    keys.report_unknown_keys();
    cfg
}

fn read_operators(reader: &Reader<'_>, listen: Option<&ListenSettings>) -> OperatorSettings {
    let mut keys = reader.section("operators");
    let token_file = keys.get("token-file", path);
    let trusted_network = keys.get("trusted-network", yes_no).unwrap_or_default();
    keys.report_unknown_keys();
    let address = listen
        .map(|l| l.operators)
        .filter(|a| !a.ip().is_loopback() && !trusted_network);
    if let (None, Some(address)) = (&token_file, address) {
        let problem = format!("the operators listener on {address} has no token");
        let valid = "[operators] token-file = PATH, trusted-network = yes, or a loopback address";
        let listen = reader.section("listen");
        listen.add_finding("operators", problem, valid.to_owned());
    }
    OperatorSettings {
        token_file,
        trusted_network,
    }
}

fn read_limits(reader: &Reader<'_>) -> LimitSettings {
    let mut keys = reader.section("limits");
    let mut cfg = LimitSettings::default();
    let bytes = |text: &str, range| {
        let size = size(text, range)?;
        usize::try_from(size).map_err(|e| e.to_string())
    };
    keys.set("connections", &mut cfg.connections, |t| {
        count(t, 1..=MAX_CONNECTIONS)
    });
    keys.set("header-size", &mut cfg.header_bytes, |t| {
        bytes(t, HEADER_BYTES)
    });
    keys.set("body-size", &mut cfg.body_bytes, |t| size(t, BODY_BYTES));
    keys.set("held-size", &mut cfg.buffered_body_bytes, |t| {
        bytes(t, BUFFERED_BODY_BYTES)
    });
    keys.set("window-size", &mut cfg.window_bytes, |t| {
        bytes(t, WINDOW_BYTES)
    });
    keys.set("link-bytes", &mut cfg.link_bytes, |t| size(t, LINK_BYTES));
    keys.set("descriptors", &mut cfg.descriptors, |t| {
        count(t, MIN_DESCRIPTORS..=MAX_CONNECTIONS).map(Some)
    });
    keys.set("memory", &mut cfg.memory_bytes, |t| {
        bytes(t, MEMORY_BYTES).map(Some)
    });
    keys.set("body-time", &mut cfg.body_timeout, |t| {
        time(t, TEN_MS_TO_A_DAY)
    });
    keys.report_unknown_keys();
    cfg
}

fn read_stop(reader: &Reader<'_>) -> StopSettings {
    let mut keys = reader.section("stop");
    let mut cfg = StopSettings::default();
    keys.set("bound", &mut cfg.drain_timeout, |t| {
        time(t, UP_TO_A_DAY).map(Some)
    });
    keys.set("linger", &mut cfg.linger, |t| time(t, UP_TO_A_DAY));
    keys.report_unknown_keys();
    cfg
}

fn read_log(reader: &Reader<'_>) -> LogSettings {
    let mut keys = reader.section("log");
    let mut cfg = LogSettings::default();
    keys.set("sample", &mut cfg.sample_ratio, ratio);
    keys.report_unknown_keys();
    cfg
}

/// Adds a finding for each address that overlaps with another one on this VM.
fn check_addresses(
    reader: &Reader<'_>,
    listen: Option<&ListenSettings>,
    upstream: Option<&UpstreamSettings>,
) {
    let mut used: Vec<(&'static str, &'static str, SocketAddr)> = Vec::new();
    if let Some(listen) = listen {
        used.extend(listen.callers.map(|a| ("listen", "callers", a)));
        used.push(("listen", "operators", listen.operators));
        used.push(("listen", "peers", listen.peers));
    }
    if let Some(upstream) = upstream {
        used.push(("upstream", "address", upstream.address));
    }
    for (i, (section, key, address)) in used.iter().enumerate() {
        let conflict = used[..i]
            .iter()
            .find(|(_, _, other)| overlap(*address, *other));
        if let Some((other_section, other_key, other)) = conflict {
            let problem = format!("{address} overlaps with [{other_section}] {other_key}, {other}");
            let keys = reader.section(section);
            keys.add_finding(
                key,
                problem,
                "an address that overlaps with no other".to_owned(),
            );
        }
    }
}

fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let any_unspecified = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (any_unspecified || a.ip() == b.ip())
}
