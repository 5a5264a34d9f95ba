//! When a request would be done at an upstream.

use crate::eject::part_of;
use crate::record::{Heard, Record, half_life};
use std::time::Duration;

/// Time in which what is known of an upstream's slowness loses half its worth.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(1);
/// Slowness on average: what was heard of an upstream ages towards it.
const AVERAGE_SLOWNESS: f64 = 1.75;
/// Part of the upstreams heard lately that are no slower than one unheard is
/// believed to be: low enough that a few slow ones say nothing of the rest.
const UNHEARD_QUANTILE: f64 = 1.0 / 3.0;
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
/// Slowness of an upstream that works as usual.
pub(crate) const AS_USUAL: f64 = 1.0;
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
pub(crate) fn expected(record: &Record, slots: u32, slowness: f64, job: Job, now: Duration) -> f64 {
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
    job.work * slowness * (crowding + queued) + job.way
}

/// Returns how slow an upstream may be that has not told, where 1 is as usual,
/// before it is worth looking for a better one: about as slow as its peers that
/// told lately. After a power cut all are cold at once, and none is as usual.
/// The expected time does not rest on it: while those that are not heard of
/// seemed slow, nothing would be sent, nor heard of them.
pub(crate) fn unheard<'a>(records: impl Iterator<Item = &'a Record>, now: Duration) -> f64 {
    let recent = records.filter_map(|record| {
        let heard = record.heard.as_ref()?;
        let is_recent = now.saturating_sub(heard.at) <= SLOWNESS_HALF_LIFE;
        said(heard).filter(|_| is_recent)
    });
    let mut all: Vec<f64> = std::iter::once(AS_USUAL).chain(recent).collect();
    all.sort_unstable_by(f64::total_cmp);
    let position = part_of(all.len() - 1, UNHEARD_QUANTILE);
    all.get(position).copied().unwrap_or(AS_USUAL)
}

/// Returns how long work takes at an upstream, where 1 is as usual: what it
/// was heard to say, on its way back to the average, or `unheard`.
pub(crate) fn slowness(record: &Record, unheard: f64, now: Duration) -> f64 {
    let Some((at, said)) = record.heard.as_ref().and_then(|h| Some((h.at, said(h)?))) else {
        return unheard;
    };
    let age = now.saturating_sub(at);
    AVERAGE_SLOWNESS + (said - AVERAGE_SLOWNESS) * half_life(age, SLOWNESS_HALF_LIFE)
}

/// Returns what a time at an upstream would have been there as usual.
pub(crate) fn as_usual(record: &Record, took: Duration, now: Duration) -> Duration {
    took.div_f64(slowness(record, AS_USUAL, now).max(AS_USUAL))
}

/// Returns what a gate said of its upstream's slowness, if it said something.
fn said(heard: &Heard) -> Option<f64> {
    let percent = heard.load.slow_percent;
    (percent > 0).then(|| f64::from(percent) / HUNDREDTHS)
}
