//! Hedges: a second attempt beside one that takes unusually long.

use super::Entry;
use super::refusal::Reason;
use super::request::{Active, Fate, Purpose, Tried};
use crate::context::Cx;
use pick::Picker;
use std::time::Duration;
use wire::RequestId;

/// Quantile of recent latencies after which a request is hedged, in
/// hundredths.
const HEDGE_QUANTILE: usize = 95;
/// Shortest time after which a request is hedged.
const SHORTEST_WAIT: Duration = Duration::from_millis(2);
/// Part of the remaining time that a hedge must save.
const SAVING: f64 = 0.3;
/// Multiple of the time expected at first from which on nothing is known of
/// the time that remains but how long it has taken.
const OVERDUE: f64 = 1.5;
/// Multiple of the time expected at first from which on no answer is expected
/// any more: the upstream, its VM or the way to it is gone.
const LOST: f64 = 3.0;
/// Part of the time taken that remains, of a request that is overdue.
const OVERDUE_REMAINS: f64 = 0.5;
/// Smallest part of the time expected that remains, of one that is not.
const LEAST_REMAINS: f64 = 0.2;

impl Entry {
    /// Hedges the requests that are due.
    pub(super) fn hedge(&mut self, cx: &mut Cx<'_>) {
        let due: Vec<RequestId> = self
            .active
            .iter()
            .filter(|(_, active)| self.is_hedge_due(active, cx))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.attempt(id, Purpose::Hedge, Reason::NoUpstream.into(), cx);
        }
    }

    fn is_hedge_due(&self, active: &Active, cx: &Cx<'_>) -> bool {
        let allowed = active.class.idempotent
            && active.request.body_buffered
            && active.relayed.is_none()
            && !active.suspected
            && active.arrivals() < active.max_arrivals
            && active.retry_budget > 0;
        let mut open = active.tried.iter().filter(|t| t.fate == Fate::Open);
        let (Some(tried), None) = (open.next(), open.next()) else {
            return false;
        };
        let Some(picker) = self.pickers.get(&active.request.service) else {
            return false;
        };
        if !allowed {
            return false;
        }
        if self.by_expected_finish {
            return is_worth_it(picker, active, tried, cx);
        }
        let first = active.tried.len() == 1;
        let usual = picker.latency_quantile(HEDGE_QUANTILE).filter(|_| first);
        usual.is_some_and(|usual| cx.now.saturating_sub(tried.sent) >= usual.max(SHORTEST_WAIT))
    }
}

/// Returns whether a hedge is expected to bring the answer in time where the
/// open attempt is not.
fn is_worth_it(picker: &Picker, active: &Active, tried: &Tried, cx: &Cx<'_>) -> bool {
    let upstreams = active.tried_upstreams();
    let demand = active.demand(cx.now);
    let wanted = demand.wanted(&cx.agent.data_centre, &upstreams);
    let elapsed = cx.now.saturating_sub(tried.sent);
    if elapsed < SHORTEST_WAIT {
        return false;
    }
    let Some(here) = picker.estimate(cx.now, &tried.upstream, wanted) else {
        return false;
    };
    let Some(there) = picker.best_finish(cx.now, wanted) else {
        return false;
    };
    let remains = remaining(elapsed, tried.expected, here.finish);
    if there.as_secs_f64() > remains.as_secs_f64() * (1.0 - SAVING) {
        return false;
    }
    let target = active.late_at.filter(|at| cx.now + there <= *at);
    let target = target.unwrap_or(active.deadline);
    cx.now + there <= target && cx.now.saturating_add(remains) > target
}

/// Returns how much longer an attempt takes that was expected to take
/// `at_first`, and would be expected to take `here` if it began now.
fn remaining(elapsed: Duration, at_first: Duration, here: Duration) -> Duration {
    let part = elapsed.as_secs_f64() / at_first.as_secs_f64().max(f64::EPSILON);
    let by_progress = here.mul_f64((1.0 - part).max(LEAST_REMAINS));
    match part {
        part if part < OVERDUE => by_progress,
        part if part < LOST => by_progress.max(elapsed.mul_f64(OVERDUE_REMAINS)),
        _ => Duration::MAX,
    }
}
