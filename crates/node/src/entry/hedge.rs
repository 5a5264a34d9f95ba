//! Hedged requests: a second attempt beside one that takes unusually long.

use super::Entry;
use super::refusal::Reason;
use super::request::{ActiveRequest, AttemptState, EntryView, Purpose, SentAttempt};
use crate::context::Cx;
use pick::Picker;
use std::time::Duration;
use wire::RequestId;

/// Percentile of recent latencies after which a request is hedged.
const HEDGE_QUANTILE: usize = 95;
/// Shortest time after which a request is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);
/// Fraction of the remaining time that a hedge must save.
const MIN_SAVED_RATIO: f64 = 0.3;
/// Multiple of the first estimate from which on the remaining time can be
/// derived only from the time elapsed.
const OVERDUE_RATIO: f64 = 1.5;
/// Multiple of the first estimate from which on no response is expected: the
/// upstream, its VM or the network path to it is down.
const LOST_RATIO: f64 = 3.0;
/// Remaining time of an overdue attempt, as a fraction of the time elapsed.
const OVERDUE_REMAINING_RATIO: f64 = 0.5;
/// Smallest remaining time of an attempt that is not overdue, as a fraction of
/// its current estimate.
const MIN_REMAINING_RATIO: f64 = 0.2;

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

    fn is_hedge_due(&self, active: &ActiveRequest, cx: &Cx<'_>) -> bool {
        let allowed = active.class.idempotent
            && active.request.body_buffered
            && active.relayed.is_none()
            && !active.suspected
            && active.reached_upstreams() < active.max_reached_upstreams
            && active.retry_budget > 0;
        let mut in_flight = active
            .attempts
            .iter()
            .filter(|t| t.state == AttemptState::InFlight);
        let (Some(sent), None) = (in_flight.next(), in_flight.next()) else {
            return false;
        };
        let Some(picker) = self.pickers.get(&active.request.service) else {
            return false;
        };
        if !allowed {
            return false;
        }
        if self.by_expected_finish {
            return self.saves_time(picker, active, sent, cx);
        }
        let first = active.attempts.len() == 1;
        let delay = picker.latency_quantile(HEDGE_QUANTILE).filter(|_| first);
        delay.is_some_and(|delay| cx.now.saturating_sub(sent.sent_at) >= delay.max(MIN_HEDGE_DELAY))
    }

    /// Returns whether a hedge is expected to bring the response in time where the
    /// attempt in flight is not.
    fn saves_time(
        &self,
        picker: &Picker,
        active: &ActiveRequest,
        sent: &SentAttempt,
        cx: &Cx<'_>,
    ) -> bool {
        let mut upstreams = active.tried_upstreams();
        if let [skipped] = &mut self.version_choices(active, cx)[..] {
            upstreams.append(skipped);
        }
        let demand = active.demand(cx.now);
        let entry = EntryView {
            data_centre: &cx.agent.data_centre,
            own_upstream: &cx.agent.name,
            reachability: &self.reachability,
        };
        let request = demand.pick_request(entry, &upstreams);
        let elapsed = cx.now.saturating_sub(sent.sent_at);
        if elapsed < MIN_HEDGE_DELAY {
            return false;
        }
        let Some(current) = picker.estimate(cx.now, &sent.upstream, request) else {
            return false;
        };
        let Some(alternative) = picker.best_finish(cx.now, request) else {
            return false;
        };
        let remains = remaining(elapsed, sent.expected, current.finish);
        if alternative.as_secs_f64() > remains.as_secs_f64() * (1.0 - MIN_SAVED_RATIO) {
            return false;
        }
        let target = active.late_at.filter(|at| cx.now + alternative <= *at);
        let target = target.unwrap_or(active.deadline);
        cx.now + alternative <= target && cx.now.saturating_add(remains) > target
    }
}

/// Returns the expected remaining time of an attempt that was estimated at
/// `first_estimate` when it was sent, and would be estimated at `current` if it
/// started now.
fn remaining(elapsed: Duration, first_estimate: Duration, current: Duration) -> Duration {
    let progress = elapsed.as_secs_f64() / first_estimate.as_secs_f64().max(f64::EPSILON);
    let by_progress = current.mul_f64((1.0 - progress).max(MIN_REMAINING_RATIO));
    match progress {
        progress if progress < OVERDUE_RATIO => by_progress,
        progress if progress < LOST_RATIO => {
            by_progress.max(elapsed.mul_f64(OVERDUE_REMAINING_RATIO))
        }
        _ => Duration::MAX,
    }
}
