//! Predicts the response time of a request at an upstream. Slowness is the
//! service time relative to the normal one.

use crate::eject::fraction_of;
use crate::stats::{ReportedLoad, UpstreamStats, decay};
use std::time::Duration;

/// Half-life of a reported slowness.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(1);
/// Average slowness, towards which a reported slowness decays.
const AVERAGE_SLOWNESS: f64 = 1.75;
/// Quantile of the recently reported slowness that is assumed for upstreams
/// without a report. It is low enough that a few slow upstreams do not affect
/// the assumption about the others.
const UNREPORTED_QUANTILE: f64 = 1.0 / 3.0;
/// Relative increase of the service time at a fully loaded upstream that is not
/// contained in its reported slowness.
const CONTENTION_FACTOR: f64 = 0.5;
/// Half-life of a reported number of requests.
const COUNT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Steepness of the transition from in time to late around the objective: the
/// exponent of the ratio of the response time to the objective. Service times
/// vary by about a third, and reports are slightly outdated.
const LATENESS_EXPONENT: i32 = 4;
/// Cost of a response after the deadline, in seconds: above all others, so that such an
/// upstream is chosen only if no other can respond in time.
const MISSED_DEADLINE_COST: f64 = 60.0;
/// Slowness of an upstream at its normal speed.
pub(crate) const NORMAL_SLOWNESS: f64 = 1.0;
/// Hundredths in a unit.
pub(crate) const HUNDREDTHS: f64 = 100.0;

/// Work to be done for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    /// Service time at normal speed, in seconds.
    pub(crate) service_time: f64,
    /// Network time to the upstream and back, in seconds.
    pub(crate) network: f64,
}

/// Inputs of the cost of a response besides its response time, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostInputs {
    /// Cost of transferring the bytes.
    pub(crate) transfer: f64,
    /// Time left until the response is late, if there is an objective.
    pub(crate) objective: Option<f64>,
    /// Time left until the caller's deadline.
    pub(crate) deadline: f64,
    /// Cost of a late response.
    pub(crate) late_cost: f64,
}

/// Returns the cost of a response that is expected after `finish` seconds.
pub(crate) fn cost(finish: f64, inputs: CostInputs) -> f64 {
    let lateness = inputs.objective.map_or(0.0, |objective| {
        let ratio = finish / objective.max(f64::EPSILON);
        let power = ratio.powi(LATENESS_EXPONENT);
        if power.is_finite() {
            power / (1.0 + power)
        } else {
            1.0
        }
    });
    let missed = match inputs.objective {
        Some(_) if finish > inputs.deadline => MISSED_DEADLINE_COST,
        _ => 0.0,
    };
    finish + inputs.transfer + inputs.late_cost * lateness + missed
}

/// Returns the expected response time in seconds.
pub(crate) fn expected(
    stats: &UpstreamStats,
    slots: u32,
    slowness: f64,
    work: Work,
    now: Duration,
) -> f64 {
    let load = requests(stats, now) + stats.recent_failures(now);
    let limit = limit(stats, slots);
    let queued = (load + 1.0 - limit).max(0.0) / limit;
    let contention = 1.0 + CONTENTION_FACTOR * (load / limit).min(1.0);
    work.service_time * slowness * (contention + queued) + work.network
}

/// Returns whether an upstream has a free slot, as far as known.
pub(crate) fn has_room(stats: &UpstreamStats, slots: u32, now: Duration) -> bool {
    requests(stats, now) + 1.0 <= limit(stats, slots)
}

/// Returns the number of requests that an upstream runs at once.
fn limit(stats: &UpstreamStats, slots: u32) -> f64 {
    let reported = stats.reported.as_ref();
    let limit = reported.map_or(slots, |r| r.load.limit.min(slots));
    f64::from(limit.max(1))
}

/// Returns the number of requests at an upstream, as far as known.
fn requests(stats: &UpstreamStats, now: Duration) -> f64 {
    let others = stats.reported.as_ref().map_or(0.0, |reported| {
        let at_gate = reported.load.in_flight + reported.load.waiting;
        let others = f64::from(at_gate.saturating_sub(reported.own_in_flight));
        others * decay(now.saturating_sub(reported.at), COUNT_HALF_LIFE)
    });
    f64::from(stats.own_in_flight) + others
}

/// Returns the slowness assumed for upstreams without a report: about that of
/// their peers with a recent report, because after a power failure all are cold
/// at once. The entry sends it to the gate, which refuses the request if its
/// upstream is much slower than that. The expected response time does not
/// include it, because upstreams that seem slow would receive no requests and
/// could never report.
pub(crate) fn unreported_slowness<'a>(
    all_stats: impl Iterator<Item = &'a UpstreamStats>,
    now: Duration,
) -> f64 {
    let recent = all_stats.filter_map(|stats| {
        let reported = stats.reported.as_ref()?;
        let is_recent = now.saturating_sub(reported.at) <= SLOWNESS_HALF_LIFE;
        reported_slowness(reported).filter(|_| is_recent)
    });
    let mut all: Vec<f64> = std::iter::once(NORMAL_SLOWNESS).chain(recent).collect();
    all.sort_unstable_by(f64::total_cmp);
    let position = fraction_of(all.len() - 1, UNREPORTED_QUANTILE);
    all.get(position).copied().unwrap_or(NORMAL_SLOWNESS)
}

/// Returns the service time at an upstream relative to the normal one: the
/// reported slowness, decayed towards the average, or `unreported_slowness`.
pub(crate) fn slowness(stats: &UpstreamStats, unreported_slowness: f64, now: Duration) -> f64 {
    let Some((at, reported)) = stats
        .reported
        .as_ref()
        .and_then(|r| Some((r.at, reported_slowness(r)?)))
    else {
        return unreported_slowness;
    };
    let age = now.saturating_sub(at);
    AVERAGE_SLOWNESS + (reported - AVERAGE_SLOWNESS) * decay(age, SLOWNESS_HALF_LIFE)
}

/// Returns the latency that an upstream would have had at its normal speed.
pub(crate) fn normalise(stats: &UpstreamStats, latency: Duration, now: Duration) -> Duration {
    latency.div_f64(slowness(stats, NORMAL_SLOWNESS, now).max(NORMAL_SLOWNESS))
}

/// Returns the slowness that a gate reported for its upstream, if it did.
fn reported_slowness(reported: &ReportedLoad) -> Option<f64> {
    let percent = reported.load.slow_percent;
    (percent > 0).then(|| f64::from(percent) / HUNDREDTHS)
}
