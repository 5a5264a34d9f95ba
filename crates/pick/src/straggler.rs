//! Detects upstreams that are slower than their peers or do not respond while
//! peers do.

use crate::stats::{UpstreamStats, decay};
use std::time::Duration;

/// Multiple of the median latency from which an upstream is a straggler.
const SLOW_FACTOR: f64 = 2.0;
/// Latency below which no upstream is a straggler, in seconds.
const SLOW_FLOOR: f64 = 0.005;
/// Half-life of the excess of a straggler's latency over the median.
const EXCESS_HALF_LIFE: Duration = Duration::from_secs(5);
/// Minimum number of measured upstreams for a median.
const MIN_PEERS: usize = 3;
/// Multiple of the median latency after which an upstream that has not
/// responded to a request counts as unresponsive.
const UNRESPONSIVE_FACTOR: f64 = 5.0;
/// Minimum time after which such an upstream counts as unresponsive.
const MIN_UNRESPONSIVE_TIME: Duration = Duration::from_millis(200);
/// Time since the last request after which an unresponsive upstream is retried
/// with one request.
const UNRESPONSIVE_RETRY: Duration = Duration::from_secs(2);

/// Returns the median latency of the upstreams in seconds.
pub(crate) fn median<'a>(all_stats: impl Iterator<Item = &'a UpstreamStats>) -> Option<f64> {
    let mut all: Vec<f64> = all_stats.filter_map(latency).collect();
    if all.len() < MIN_PEERS {
        return None;
    }
    all.sort_unstable_by(f64::total_cmp);
    all.get((all.len() - 1) / 2).copied()
}

/// Returns the latency of an upstream relative to the median; 1 if it is no
/// straggler.
pub(crate) fn relative_latency(stats: &UpstreamStats, median: Option<f64>, now: Duration) -> f64 {
    let (Some(median), Some(latency), Some((_, at))) = (median, latency(stats), stats.latency)
    else {
        return 1.0;
    };
    if latency < SLOW_FLOOR || latency < median * SLOW_FACTOR {
        return 1.0;
    }
    let excess = latency / median.max(f64::EPSILON) - 1.0;
    1.0 + excess * decay(now.saturating_sub(at), EXCESS_HALF_LIFE)
}

/// Returns whether an upstream has not responded although a peer has in the
/// meantime.
pub(crate) fn is_unresponsive(
    stats: &UpstreamStats,
    median: Option<f64>,
    last_peer_activity: Option<Duration>,
    now: Duration,
) -> bool {
    let (Some(silence), Some(peer)) = (stats.silence, last_peer_activity) else {
        return false;
    };
    let threshold = Duration::from_secs_f64(median.unwrap_or_default() * UNRESPONSIVE_FACTOR);
    let overdue = silence.length(now) >= threshold.max(MIN_UNRESPONSIVE_TIME);
    overdue && peer > silence.since && now.saturating_sub(stats.last_sent) < UNRESPONSIVE_RETRY
}

/// Returns the average latency, or the service time reported by the gate if
/// that is longer.
fn latency(stats: &UpstreamStats) -> Option<f64> {
    let measured = stats.latency.map(|(seconds, _)| seconds);
    let reported = stats
        .reported
        .as_ref()
        .map(|reported| f64::from(reported.load.service_us) / 1e6);
    match (measured, reported) {
        (Some(measured), Some(reported)) => Some(measured.max(reported)),
        (measured, _) => measured,
    }
}
