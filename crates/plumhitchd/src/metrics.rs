//! Metrics in the Prometheus text format.

mod gauges;
mod labels;
mod replica_gauges;

use crate::runtime::{Daemon, lock};
use gauges::Gauges;
use labels::Labels;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder};
use replica_gauges::ReplicaGauges;
pub(crate) use replica_gauges::role_name;
use std::sync::Mutex;
use std::time::Duration;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 16] = [
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.015, 0.03, 0.06, 0.125, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0,
    60.0,
];
/// Maximum number of customers with their own label.
const MAX_CUSTOMERS: usize = 200;
/// Maximum number of classes with their own label.
const MAX_CLASSES: usize = 50;

/// Outcome of a request, as counted in the metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome<'a> {
    pub(crate) customer: &'a str,
    pub(crate) class: &'a str,
    /// `answered`, `refused`, `broken` or `caller-gone`.
    pub(crate) outcome: &'a str,
    /// Reason of a refusal, otherwise empty.
    pub(crate) reason: &'a str,
    /// Whether customer and class were found in the configuration.
    pub(crate) known: bool,
    /// Time from the first byte of the request to the last byte of the response.
    pub(crate) duration: Duration,
}

/// All metrics of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    class_latency: HistogramVec,
    customer_latency: HistogramVec,
    class_outcomes: IntCounterVec,
    customer_outcomes: IntCounterVec,
    cut_requests: IntCounterVec,
    gauges: Gauges,
    replica_gauges: ReplicaGauges,
    customers: Mutex<Labels>,
    classes: Mutex<Labels>,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be registered.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let class = ["class"];
        let customer = ["customer"];
        Ok(Self {
            class_latency: latency_histogram(&registry, "plumhitch_class_latency_seconds", &class)?,
            customer_latency: latency_histogram(
                &registry,
                "plumhitch_customer_latency_seconds",
                &customer,
            )?,
            class_outcomes: request_counter(&registry, "plumhitch_class_requests_total", "class")?,
            customer_outcomes: request_counter(
                &registry,
                "plumhitch_customer_requests_total",
                "customer",
            )?,
            cut_requests: cut_counter(&registry)?,
            gauges: Gauges::new(&registry)?,
            replica_gauges: ReplicaGauges::new(&registry)?,
            customers: Mutex::new(Labels::new(MAX_CUSTOMERS)),
            classes: Mutex::new(Labels::new(MAX_CLASSES)),
            registry,
        })
    }

    /// Counts a finished request.
    pub(crate) fn record(&self, outcome: &Outcome<'_>) {
        let customer = lock(&self.customers).label(outcome.customer, outcome.known);
        let class = lock(&self.classes).label(outcome.class, outcome.known);
        let seconds = outcome.duration.as_secs_f64();
        self.class_latency
            .with_label_values(&[&class])
            .observe(seconds);
        self.customer_latency
            .with_label_values(&[&customer])
            .observe(seconds);
        let labels = [outcome.outcome, outcome.reason];
        self.class_outcomes
            .with_label_values(&[&class, labels[0], labels[1]])
            .inc();
        self.customer_outcomes
            .with_label_values(&[&customer, labels[0], labels[1]])
            .inc();
    }

    /// Counts a request whose connection ended before its complete response was sent.
    pub(crate) fn record_cut(&self, reason: &str) {
        self.cut_requests.with_label_values(&[reason]).inc();
    }

    /// Updates the gauges and returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub(crate) fn text(&self, daemon: &Daemon) -> prometheus::Result<String> {
        self.gauges.update(daemon);
        self.replica_gauges.update(daemon);
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

fn latency_histogram(
    registry: &Registry,
    name: &str,
    labels: &[&str],
) -> prometheus::Result<HistogramVec> {
    let help = "Time from a request's first byte to its answer's last.";
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    let metric = HistogramVec::new(opts, labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn request_counter(registry: &Registry, name: &str, by: &str) -> prometheus::Result<IntCounterVec> {
    let opts = Opts::new(name, "Requests by what became of them.");
    let metric = IntCounterVec::new(opts, &[by, "outcome", "reason"])?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn cut_counter(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let help = "Requests whose connection ended before their complete response was sent.";
    let opts = Opts::new("plumhitch_cut_requests_total", help);
    let metric = IntCounterVec::new(opts, &["reason"])?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
