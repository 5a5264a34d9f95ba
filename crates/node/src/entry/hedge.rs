//! Hedged requests: a second attempt beside one that takes unusually long.

use super::Entry;
use super::refusal::Reason;
use super::request::{ActiveRequest, AttemptState, EntryView, Purpose, SentAttempt};
use crate::context::Cx;
use pick::Picker;
use std::time::Duration;
use wire::{RequestId, ServiceId};

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
        let due: Vec<(RequestId, Duration)> = self
            .active
            .iter()
            .filter_map(|(id, active)| Some((*id, self.hedge_saves(active, cx)?)))
            .collect();
        for (id, saves) in due {
            if self.is_overloaded(id, cx) {
                self.deny_hedge(id);
                continue;
            }
            if let Some(active) = self.active.get_mut(&id) {
                active.hedge_saves = Some(saves);
            }
            self.attempt(id, Purpose::Hedge, Reason::NoUpstream.into(), cx);
        }
    }

    /// Charges a hedge of a request to the limit of its service; returns whether the limit
    /// allows it.
    pub(super) fn charge_hedge(
        &mut self,
        id: RequestId,
        service: &ServiceId,
        now: Duration,
    ) -> bool {
        let paid = self.budgets(service).hedges.spend(now);
        if !paid {
            self.deny_hedge(id);
        }
        paid
    }

    /// Counts hedges in flight that are cancelled.
    pub(super) fn record_hedges_cancelled(&mut self, service: &ServiceId, hedges: usize) {
        if hedges > 0 {
            self.budgets(service).hedges.count.cancelled += hedges as u64;
        }
    }

    fn deny_hedge(&mut self, id: RequestId) {
        let active = self.active.get_mut(&id).filter(|a| !a.hedge_denied);
        let Some(active) = active else {
            return;
        };
        active.hedge_denied = true;
        let service = active.request.service.clone();
        self.budgets(&service).hedges.count.denied += 1;
    }

    /// Returns whether a hedge would take capacity that requests need: gates of the service
    /// refuse for lack of a slot, or a new request of this kind would be late everywhere.
    fn is_overloaded(&self, id: RequestId, cx: &Cx<'_>) -> bool {
        let Some(active) = self.active.get(&id) else {
            return false;
        };
        let service = &active.request.service;
        let refused = self.budgets.get(service);
        refused.is_some_and(|budgets| budgets.hedges.is_overloaded(cx.now))
            || self.is_late_everywhere(active, cx)
    }

    fn is_late_everywhere(&self, active: &ActiveRequest, cx: &Cx<'_>) -> bool {
        let picker = self.pickers.get(&active.request.service);
        let (Some(objective), Some(picker)) = (active.objective, picker) else {
            return false;
        };
        let demand = active.demand(cx.now);
        let request = demand.pick_request(self.view(cx), &[]);
        let best = picker.best_finish(cx.now, request);
        self.by_expected_finish && best.is_some_and(|best| best > objective)
    }

    fn view<'a>(&'a self, cx: &'a Cx<'_>) -> EntryView<'a> {
        EntryView {
            data_centre: &cx.agent.data_centre,
            own_upstream: &cx.agent.name,
            reachability: &self.reachability,
        }
    }

    /// Returns the response time that a hedge may save, if one is due.
    fn hedge_saves(&self, active: &ActiveRequest, cx: &Cx<'_>) -> Option<Duration> {
        let allowed = active.class.idempotent
            && active.request.body_buffered
            && active.relayed.is_none()
            && !active.suspected
            && active.reached_upstreams() < active.max_reached_upstreams
            && active.retry_budget > 0;
        let limit = self.budgets.get(&active.request.service)?;
        if !allowed || !limit.hedges.is_enabled() {
            return None;
        }
        let is_in_flight = |t: &&SentAttempt| t.state == AttemptState::InFlight;
        let mut in_flight = active.attempts.iter().filter(is_in_flight);
        let (Some(sent), None) = (in_flight.next(), in_flight.next()) else {
            return None;
        };
        let picker = self.pickers.get(&active.request.service)?;
        let elapsed = cx.now.saturating_sub(sent.sent_at);
        if self.by_expected_finish {
            return self.time_saved(picker, active, sent, cx);
        }
        let first = active.attempts.len() == 1;
        let delay = picker.latency_quantile(&active.class_name, HEDGE_QUANTILE);
        let delay = delay.filter(|_| first)?;
        // Without an estimate, a response this late is taken to need as long again.
        (elapsed >= delay.max(MIN_HEDGE_DELAY)).then_some(elapsed)
    }

    /// Returns the time that the attempt in flight is still expected to take, if a hedge is
    /// expected to bring the response in time where that attempt is not.
    fn time_saved(
        &self,
        picker: &Picker,
        active: &ActiveRequest,
        sent: &SentAttempt,
        cx: &Cx<'_>,
    ) -> Option<Duration> {
        let mut upstreams = active.tried_upstreams();
        if let [skipped] = &mut self.version_choices(active, cx)[..] {
            upstreams.append(skipped);
        }
        let elapsed = cx.now.saturating_sub(sent.sent_at);
        if elapsed < MIN_HEDGE_DELAY {
            return None;
        }
        let mut demand = active.demand(cx.now);
        let request = demand.pick_request(self.view(cx), &upstreams);
        let current = picker.estimate(cx.now, &sent.upstream, request)?;
        let remains = remaining(elapsed, sent.expected, current.finish);
        let saves = remains.min(active.deadline.saturating_sub(cx.now));
        demand.max_transfer = Some(saves);
        let request = demand.pick_request(self.view(cx), &upstreams);
        let alternative = picker.best_finish(cx.now, request)?;
        if alternative.as_secs_f64() > remains.as_secs_f64() * (1.0 - MIN_SAVED_RATIO) {
            return None;
        }
        let target = active.late_at.filter(|at| cx.now + alternative <= *at);
        let target = target.unwrap_or(active.deadline);
        let is_due = cx.now + alternative <= target && cx.now.saturating_add(remains) > target;
        is_due.then_some(saves)
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
