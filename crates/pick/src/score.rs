//! Relative load of an upstream, as estimated by an entry.

use crate::stats::{UpstreamStats, decay};
use std::time::Duration;

/// Half-life of a reported number of requests.
const COUNT_HALF_LIFE: Duration = Duration::from_millis(250);
/// Time for which a reported limit is valid.
const LIMIT_TTL: Duration = Duration::from_secs(10);

/// Returns the relative load of an upstream with one more request, where 1
/// means full. It counts the requests of this entry, those of others from the
/// last report, decayed with its age, and recent failures.
pub(crate) fn score(stats: &UpstreamStats, slots: u32, now: Duration) -> f64 {
    let reported = stats.reported.as_ref();
    let others = reported.map_or(0.0, |reported| {
        let at_gate = reported.load.in_flight + reported.load.waiting;
        let others = at_gate.saturating_sub(reported.own_in_flight);
        let age = now.saturating_sub(reported.at);
        f64::from(others) * decay(age, COUNT_HALF_LIFE)
    });
    let limit = reported
        .filter(|reported| now.saturating_sub(reported.at) < LIMIT_TTL)
        .map_or(slots, |reported| reported.load.limit)
        .max(1);
    let load = f64::from(stats.own_in_flight) + others + stats.recent_failures(now);
    load / f64::from(limit) + 1.0 / f64::from(slots.max(1))
}
