//! When a request would be done at an upstream.

use crate::record::{Record, half_life};
use std::time::Duration;

/// Time in which what is known of an upstream's slowness loses half its worth.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(1);
/// Slowness that is believed of an upstream of which nothing is known.
const UNKNOWN_SLOWNESS: f64 = 1.75;
/// Part of the work by which a full upstream is slower than an idle one, for
/// what its own reports don't show.
const CROWDING: f64 = 0.5;
/// Time in which the count that an upstream was heard with loses half its
/// worth.
const COUNT_HALF_LIFE: Duration = Duration::from_millis(500);
/// How sharply an answer turns from one in time to a late one around its
/// objective: the power of the ratio of the two. Times at an upstream vary by
/// about a third, and what is known of it is not quite new.
const LATE_POWER: i32 = 4;
/// Hundredths in a unit.
pub(crate) const HUNDREDTHS: f64 = 100.0;

/// What is to be done, as far as choosing goes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    /// Time that the work takes at an upstream as usual, in seconds.
    pub(crate) work: f64,
    /// Time that the way to the upstream and back takes, in seconds.
    pub(crate) way: f64,
}

/// What an answer costs its caller and the network, in seconds, beyond the
/// time that it takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Worth {
    /// Time that the bytes on the way are worth.
    pub(crate) bytes: f64,
    /// Time left until the answer is late, if there is such a time.
    pub(crate) objective: Option<f64>,
    /// Time that a late answer is worth.
    pub(crate) late: f64,
}

/// Returns what an answer costs that is expected after some seconds.
pub(crate) fn cost(finish: f64, worth: Worth) -> f64 {
    let late = worth.objective.map_or(0.0, |objective| {
        let ratio = finish / objective.max(f64::EPSILON);
        let power = ratio.powi(LATE_POWER);
        if power.is_finite() {
            power / (1.0 + power)
        } else {
            1.0
        }
    });
    finish + worth.bytes + worth.late * late
}

/// Returns the expected time to the answer, in seconds.
pub(crate) fn expected(
    record: &Record,
    slots: u32,
    straggling: f64,
    job: Job,
    now: Duration,
) -> f64 {
    let heard = record.heard.as_ref();
    let limit = heard.map_or(slots, |h| h.load.limit.min(slots)).max(1);
    let others = heard.map_or(0.0, |heard| {
        let at_gate = heard.load.in_flight + heard.load.waiting;
        let others = f64::from(at_gate.saturating_sub(heard.own));
        others * half_life(now.saturating_sub(heard.at), COUNT_HALF_LIFE)
    });
    let work_there = f64::from(record.own) + others + record.recent_failures(now);
    let limit = f64::from(limit);
    let queued = (work_there + 1.0 - limit).max(0.0) / limit;
    let crowding = 1.0 + CROWDING * (work_there / limit).min(1.0);
    let slowness = slowness(record, now).max(straggling);
    job.work * slowness * (crowding + queued) + job.way
}

/// Returns how long work takes at an upstream, where 1 is as usual: what it
/// was heard to say, on its way back to what is usual of one that is unknown.
pub(crate) fn slowness(record: &Record, now: Duration) -> f64 {
    let told = record.heard.as_ref().filter(|h| h.load.slow_percent > 0);
    told.map_or(1.0, |heard| {
        let said = f64::from(heard.load.slow_percent) / HUNDREDTHS;
        let age = now.saturating_sub(heard.at);
        UNKNOWN_SLOWNESS + (said - UNKNOWN_SLOWNESS) * half_life(age, SLOWNESS_HALF_LIFE)
    })
}
