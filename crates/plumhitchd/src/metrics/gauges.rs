//! Gauges of the daemon's current state.

use crate::clock;
use crate::memory;
use crate::runtime::{Daemon, lock};
use node::entry::HedgeCount;
use prometheus::{Gauge, IntGauge, IntGaugeVec, Opts, Registry};
use std::time::Duration;
use wire::ServiceId;

/// Thousandths in a unit.
const MILLI_PER_UNIT: f64 = 1_000.0;

/// Gauges that are updated whenever the metrics are requested.
#[derive(Debug)]
pub(super) struct Gauges {
    config_version: IntGauge,
    freshness_age: Gauge,
    cold: IntGauge,
    slots: IntGauge,
    upstream_in_flight: IntGauge,
    service_time: Gauge,
    entry_in_flight: IntGauge,
    links: IntGaugeVec,
    measuring: IntGaugeVec,
    attempts: IntGaugeVec,
    limited_requests: IntGaugeVec,
    hedges: IntGaugeVec,
    stated_rate: Gauge,
    stated_leaving: IntGauge,
    statements: IntGaugeVec,
    log_dropped: IntGauge,
    credential_keys: IntGauge,
    credential_lease: Gauge,
    credentials: IntGaugeVec,
    versions: IntGaugeVec,
    connections: IntGaugeVec,
    memory: IntGaugeVec,
    resident_memory: IntGauge,
}

impl Gauges {
    /// Creates and registers the gauges.
    ///
    /// # Errors
    ///
    /// Returns an error if a gauge cannot be registered.
    pub(super) fn new(registry: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            credential_keys: int_gauge(
                registry,
                "credential_keys",
                "Keys of customers in force; -1 if requests need none.",
            )?,
            credential_lease: gauge(
                registry,
                "credential_lease_seconds",
                "Time left in which requests that need a credential are accepted without a new \
                 confirmation by control; -1 without such a limit.",
            )?,
            credentials: int_gauge_vec(
                registry,
                "credentials",
                "Requests since the start by how their customer was identified.",
                &["what"],
            )?,
            log_dropped: int_gauge(
                registry,
                "log_lines_dropped",
                "Log lines that were dropped since the start.",
            )?,
            config_version: int_gauge(
                registry,
                "config_version",
                "Configuration version in force.",
            )?,
            freshness_age: gauge(
                registry,
                "freshness_age_seconds",
                "Age of the newest confirmed word from control; -1 before the first.",
            )?,
            cold: int_gauge(registry, "cold", "1 while the upstream is in a cold start.")?,
            slots: int_gauge(
                registry,
                "slots",
                "Requests that the gate admits at once now.",
            )?,
            upstream_in_flight: int_gauge(
                registry,
                "upstream_in_flight",
                "Requests that the upstream works on.",
            )?,
            service_time: gauge(
                registry,
                "service_time_seconds",
                "Recent service time of the upstream.",
            )?,
            entry_in_flight: int_gauge(
                registry,
                "entry_in_flight",
                "Callers' requests under way here.",
            )?,
            links: int_gauge_vec(
                registry,
                "links",
                "Open connections to other daemons.",
                &["side"],
            )?,
            measuring: int_gauge_vec(
                registry,
                "measuring",
                "Spent on measuring load since the start, what the budget allows a second, \
                 and what was left out because it was used up.",
                &["what"],
            )?,
            attempts: int_gauge_vec(
                registry,
                "attempts",
                "Attempts at gates since the start.",
                &["why"],
            )?,
            versions: int_gauge_vec(
                registry,
                "version_attempts",
                "Attempts at upstreams since the start, by the service and version of the \
                 upstream and what became of them, while the service has a rollout.",
                &["service", "version", "what"],
            )?,
            limited_requests: customer_gauge_vec(
                registry,
                "limited_requests",
                "Requests of customers with a limit in the routing since the start; those \
                 of customers beyond a number are counted as other.",
            )?,
            hedges: hedges_gauge(registry)?,
            connections: int_gauge_vec(
                registry,
                "listener_connections",
                "Connections to a listener that are open, their maximum, and since the start \
                 those that were refused, that could not be accepted, and that were closed \
                 because a time limit had passed or the client had gone.",
                &["listener", "what"],
            )?,
            memory: int_gauge_vec(
                registry,
                "memory_bytes",
                "Memory held for a use, its maximum, and how often since the start more \
                 was wanted.",
                &["use", "what"],
            )?,
            resident_memory: int_gauge(
                registry,
                "resident_memory_bytes",
                "Resident memory of the process; -1 if unknown.",
            )?,
            stated_rate: gauge(
                registry,
                "stated_rate",
                "Requests a second that the upstream states it takes; -1 without a limit.",
            )?,
            stated_leaving: int_gauge(
                registry,
                "stated_leaving",
                "1 if the upstream states in its responses that it is leaving.",
            )?,
            statements: int_gauge_vec(
                registry,
                "statements",
                "Headers with unusable values, requests rejected because of a stated rate, \
                 and health requests left out because of it, since the start.",
                &["what"],
            )?,
        })
    }

    /// Sets all gauges to the current values.
    pub(super) fn update(&self, daemon: &Daemon) {
        let now = clock::now();
        let load = daemon.load();
        let (version, age) = daemon.read(|node| {
            let agent = &node.agent;
            (agent.config.version, agent.freshness_age(now))
        });
        self.config_version.set(to_i64(version));
        self.freshness_age
            .set(age.map_or(-1.0, |a| a.as_secs_f64()));
        self.cold.set(i64::from(load.cold));
        self.slots.set(i64::from(load.limit));
        self.upstream_in_flight.set(i64::from(load.in_flight));
        let service_time = Duration::from_micros(load.service_us.into());
        self.service_time.set(service_time.as_secs_f64());
        let in_flight = lock(&daemon.entry_tasks).len();
        self.entry_in_flight.set(to_i64(in_flight as u64));
        let links = [
            ("dialled", lock(&daemon.links.dialled).len() as u64),
            ("accepted", lock(&daemon.links.accepted).len() as u64),
        ];
        set(&self.links, &links);
        self.log_dropped.set(to_i64(crate::logging::dropped()));
        self.update_connections(daemon);
        self.update_memory(daemon);
        self.update_credentials(daemon, now);
        self.update_counts(daemon);
    }

    fn update_connections(&self, daemon: &Daemon) {
        for port in daemon.ports.all() {
            let values = [
                ("open", port.open() as u64),
                ("max", port.max as u64),
                ("refused", port.refused()),
                ("accept_failed", port.accept_failed()),
                ("timed_out", port.timed_out()),
            ];
            for (what, value) in values {
                let gauge = self.connections.with_label_values(&[port.name, what]);
                gauge.set(to_i64(value));
            }
        }
    }

    fn update_memory(&self, daemon: &Daemon) {
        for share in daemon.memory.all() {
            let values = [
                ("held", share.held() as u64),
                ("max", share.max as u64),
                ("exceeded", share.exceeded()),
            ];
            for (what, value) in values {
                let gauge = self.memory.with_label_values(&[share.name, what]);
                gauge.set(to_i64(value));
            }
        }
        let resident = memory::resident_bytes().map(|bytes| to_i64(bytes as u64));
        self.resident_memory.set(resident.unwrap_or(-1));
    }

    fn update_credentials(&self, daemon: &Daemon, now: Duration) {
        let (needed, keys, lease_end, counts) = daemon.read(|node| {
            let (agent, routing) = (&node.agent, &node.agent.config.routing);
            let needed = routing.content().needs_credentials;
            let counts = node.entry.credentials();
            (needed, routing.keys(), agent.credential_lease_end(), counts)
        });
        let keys = if needed { to_i64(keys as u64) } else { -1 };
        self.credential_keys.set(keys);
        let left = lease_end.map(|end| end.saturating_sub(now).as_secs_f64());
        self.credential_lease.set(left.unwrap_or(-1.0));
        let counts = [
            ("identified", counts.identified),
            ("anonymous", counts.anonymous),
            ("missing", counts.missing),
            ("malformed", counts.malformed),
            ("unknown", counts.unknown),
            ("unconfirmed", counts.unconfirmed),
        ];
        set(&self.credentials, &counts);
    }

    fn update_counts(&self, daemon: &Daemon) {
        let routing = &daemon.cfg.routing;
        let (measuring_cost, attempts, statement, statements) = daemon.read(|node| {
            let gate = &node.admission;
            let (statement, counts) = (gate.statement(), gate.statement_counts());
            (gate.measuring(), node.entry.attempts(), statement, counts)
        });
        self.stated_rate
            .set(statement.rate_milli.map_or(-1.0, rate));
        self.stated_leaving.set(i64::from(statement.leaving));
        let counts = [
            ("unusable", statements.unusable),
            ("rejected", statements.rejected),
            ("probes_skipped", statements.probes_skipped),
        ];
        set(&self.statements, &counts);
        let measuring = [
            ("bytes", measuring_cost.bytes),
            ("messages", measuring_cost.messages),
            ("denied", measuring_cost.denied),
            ("bytes_allowed_per_second", routing.probe_bytes.into()),
            ("messages_allowed_per_second", routing.probe_messages.into()),
        ];
        set(&self.measuring, &measuring);
        self.update_versions(daemon);
        let attempts = [
            ("first", attempts.first),
            ("retry", attempts.retries),
            ("hedge", attempts.hedges),
            ("redirect", attempts.redirects),
            ("repick", attempts.repicks),
        ];
        set(&self.attempts, &attempts);
        self.update_limited(daemon);
        self.update_hedges(daemon);
    }

    fn update_limited(&self, daemon: &Daemon) {
        for (customer, counts) in daemon.read(|node| node.allowances.rate_counts().clone()) {
            let outcomes = [
                ("admitted", counts.admitted),
                ("refused", counts.refused),
                ("held", counts.held),
                ("unanswered", counts.unanswered),
            ];
            for (outcome, count) in outcomes {
                let labels = &[customer.as_str(), outcome];
                let gauge = self.limited_requests.with_label_values(labels);
                gauge.set(to_i64(count));
            }
        }
    }

    fn update_hedges(&self, daemon: &Daemon) {
        let all: Vec<(ServiceId, HedgeCount)> = daemon.read(|node| {
            let hedges = node.entry.hedges();
            hedges
                .map(|(service, count)| (service.clone(), count))
                .collect()
        });
        for (service, count) in all {
            let outcomes = [
                ("sent", count.sent),
                ("won", count.won),
                ("cancelled", count.cancelled),
                ("denied", count.denied),
            ];
            for (outcome, value) in outcomes {
                let gauge = self.hedges.with_label_values(&[service.as_str(), outcome]);
                gauge.set(to_i64(value));
            }
        }
    }

    fn update_versions(&self, daemon: &Daemon) {
        let counts = daemon.read(|node| node.entry.version_counts().clone());
        for ((service, version), count) in counts {
            let values = [
                ("attempts", count.attempts),
                ("not_run", count.not_run),
                ("responses", count.responses),
                ("errors", count.errors),
            ];
            for (what, value) in values {
                self.versions
                    .with_label_values(&[service.as_str(), version.as_str(), what])
                    .set(to_i64(value));
            }
        }
    }
}

pub(super) fn set(metric: &IntGaugeVec, values: &[(&str, u64)]) {
    for (label, value) in values {
        metric.with_label_values(&[label]).set(to_i64(*value));
    }
}

fn hedges_gauge(registry: &Registry) -> prometheus::Result<IntGaugeVec> {
    let opts = Opts::new(
        "plumhitch_hedges",
        "Hedges by service since the start: sent, responded first, cancelled; and requests \
         that were not hedged because of the limit or an overload.",
    );
    let metric = IntGaugeVec::new(opts, &["service", "outcome"])?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

pub(super) fn int_gauge_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntGaugeVec> {
    let metric = IntGaugeVec::new(Opts::new(format!("plumhitch_{name}"), help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn customer_gauge_vec(
    registry: &Registry,
    name: &str,
    help: &str,
) -> prometheus::Result<IntGaugeVec> {
    let opts = Opts::new(format!("plumhitch_{name}"), help);
    let metric = IntGaugeVec::new(opts, &["customer", "outcome"])?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

/// Converts thousandths of a request a second to requests a second.
#[expect(clippy::cast_precision_loss, reason = "only displayed")]
fn rate(milli: u64) -> f64 {
    milli as f64 / MILLI_PER_UNIT
}

pub(super) fn to_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

pub(super) fn int_gauge(
    registry: &Registry,
    name: &str,
    help: &str,
) -> prometheus::Result<IntGauge> {
    let metric = IntGauge::new(format!("plumhitch_{name}"), help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<Gauge> {
    let metric = Gauge::new(format!("plumhitch_{name}"), help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
