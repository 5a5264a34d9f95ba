//! Gauges: what the daemon's state is now.

use crate::clock;
use crate::runtime::{Daemon, lock};
use prometheus::{Gauge, IntGauge, IntGaugeVec, Opts, Registry};
use std::time::Duration;

/// Metrics that are read when they are asked for.
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
    log_dropped: IntGauge,
}

impl Gauges {
    /// Creates the gauges, all at zero.
    ///
    /// # Errors
    ///
    /// Returns which metric is not well-formed.
    pub(super) fn new(registry: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            log_dropped: int(
                registry,
                "log_lines_dropped",
                "Log lines that were dropped since the start.",
            )?,
            config_version: int(
                registry,
                "config_version",
                "Configuration version in force.",
            )?,
            freshness_age: float(
                registry,
                "freshness_age_seconds",
                "Age of the newest confirmed word from control; -1 before the first.",
            )?,
            cold: int(registry, "cold", "1 while the upstream is in a cold start.")?,
            slots: int(
                registry,
                "slots",
                "Requests that the gate admits at once now.",
            )?,
            upstream_in_flight: int(
                registry,
                "upstream_in_flight",
                "Requests that the upstream works on.",
            )?,
            service_time: float(
                registry,
                "service_time_seconds",
                "Recent service time of the upstream.",
            )?,
            entry_in_flight: int(
                registry,
                "entry_in_flight",
                "Callers' requests under way here.",
            )?,
            links: ints(
                registry,
                "links",
                "Open connections to other daemons.",
                "side",
            )?,
            measuring: ints(
                registry,
                "measuring",
                "Spent on measuring load since the start, what the budget allows a second, \
                 and what was left out because it was used up.",
                "what",
            )?,
            attempts: ints(
                registry,
                "attempts",
                "Attempts at gates since the start.",
                "why",
            )?,
        })
    }

    /// Reads everything anew.
    pub(super) fn read(&self, daemon: &Daemon) {
        let now = clock::now();
        let load = daemon.load();
        let (version, age) = daemon.read(|node| {
            let agent = &node.agent;
            (agent.config.version, agent.freshness_age(now))
        });
        self.config_version.set(signed(version));
        self.freshness_age
            .set(age.map_or(-1.0, |a| a.as_secs_f64()));
        self.cold.set(i64::from(load.cold));
        self.slots.set(i64::from(load.limit));
        self.upstream_in_flight.set(i64::from(load.in_flight));
        let service_time = Duration::from_micros(load.service_us.into());
        self.service_time.set(service_time.as_secs_f64());
        let in_flight = lock(&daemon.entry_tasks).len();
        self.entry_in_flight.set(signed(in_flight as u64));
        let links = [
            ("dialled", lock(&daemon.links.dialled).len() as u64),
            ("accepted", lock(&daemon.links.accepted).len() as u64),
        ];
        set(&self.links, &links);
        self.log_dropped.set(signed(crate::logging::dropped()));
        self.read_counts(daemon);
    }

    fn read_counts(&self, daemon: &Daemon) {
        let routing = &daemon.cfg.routing;
        let (spent, attempts) =
            daemon.read(|node| (node.admission.measuring(), node.entry.attempts()));
        let measuring = [
            ("bytes", spent.bytes),
            ("messages", spent.messages),
            ("denied", spent.denied),
            ("bytes_allowed_per_second", routing.probe_bytes.into()),
            ("messages_allowed_per_second", routing.probe_messages.into()),
        ];
        set(&self.measuring, &measuring);
        let attempts = [
            ("first", attempts.first),
            ("retry", attempts.retries),
            ("hedge", attempts.hedges),
            ("redirect", attempts.redirects),
            ("repick", attempts.repicks),
        ];
        set(&self.attempts, &attempts);
    }
}

fn set(metric: &IntGaugeVec, values: &[(&str, u64)]) {
    for (label, value) in values {
        metric.with_label_values(&[label]).set(signed(*value));
    }
}

fn ints(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::Result<IntGaugeVec> {
    let metric = IntGaugeVec::new(Opts::new(format!("plumhitch_{name}"), help), &[label])?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn int(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let metric = IntGauge::new(format!("plumhitch_{name}"), help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn float(registry: &Registry, name: &str, help: &str) -> prometheus::Result<Gauge> {
    let metric = Gauge::new(format!("plumhitch_{name}"), help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
