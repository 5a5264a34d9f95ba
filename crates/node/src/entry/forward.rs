//! Sends requests to gates, and refuses requests that cannot be sent.

use super::claim::settle_claim;
use super::message::Effect;
use super::refusal::{Reason, RefusalCause, RunState};
use super::request::{ActiveRequest, AttemptState, ClaimState, EntryView, Purpose};
use super::{Entry, push};
use crate::context::Cx;
use fleet::ServiceView;
use pick::{Candidate, Estimate, Picker};
use wire::{RequestId, SettleKind};

/// Maximum number of requests that wait for the view of their service.
const MAX_AWAITING_VIEW: usize = 1_000;

impl Entry {
    /// Makes the first attempt once the view of the service and the claim are
    /// available.
    pub(super) fn forward(&mut self, id: RequestId, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if let Err(cause) = check_may_send(active, cx) {
            return self.refuse(id, cause, cx);
        }
        let service = active.request.service.clone();
        let claim = active.claim;
        let Some(picker) = self.refresh_picker(&service, cx) else {
            return self.wait_for_view(id, cx);
        };
        if picker.is_empty() {
            return self.refuse(id, Reason::NoUpstream.into(), cx);
        }
        match claim {
            ClaimState::Needed => self.request_claim(id, cx),
            ClaimState::Requested(_) => {}
            ClaimState::Unneeded | ClaimState::Granted(_) => {
                self.attempt(id, Purpose::First, Reason::NoUpstream.into(), cx);
            }
        }
    }

    /// Makes an attempt. If that is impossible and no other attempt is in
    /// flight, refuses the request, with `otherwise` if no upstream can be
    /// chosen or the budget is used up.
    pub(super) fn attempt(
        &mut self,
        id: RequestId,
        purpose: Purpose,
        otherwise: RefusalCause,
        cx: &mut Cx<'_>,
    ) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let chosen = match check_may_send(active, cx) {
            Ok(()) => match self.choose(id, purpose, cx) {
                Some(estimate) => Ok(estimate),
                None => Err(self.paused_cause(id, purpose, cx).unwrap_or(otherwise)),
            },
            Err(cause) => Err(cause),
        };
        let chosen = chosen.and_then(|estimate| {
            self.check_overload(id, purpose, &estimate, cx)?;
            Ok(estimate)
        });
        match chosen {
            Ok(estimate) if !self.can_meet_deadline(id, &estimate, cx) => {
                self.refuse_unless_in_flight(id, Reason::Overload.into(), cx);
            }
            Ok(estimate) => self.send(id, purpose, &estimate, cx),
            Err(cause) => self.refuse_unless_in_flight(id, cause, cx),
        }
    }

    /// Returns why a request that has not reached an upstream is refused, if every upstream
    /// that is left has got as many requests from here as the rate that it states allows.
    fn paused_cause(
        &mut self,
        id: RequestId,
        purpose: Purpose,
        cx: &Cx<'_>,
    ) -> Option<RefusalCause> {
        let active = self.active.get(&id)?;
        if !matches!(purpose, Purpose::First | Purpose::Repick) {
            return None;
        }
        let tried = active.tried_upstreams();
        let picker = self.pickers.get_mut(&active.request.service)?;
        let preference = active.preference();
        if let Some(earliest) = picker.full_for(cx.now, &tried, preference) {
            return Some(RefusalCause {
                earliest,
                ..Reason::Overload.into()
            });
        }
        let earliest = picker.promise_retry(cx.now, &tried)?;
        Some(RefusalCause {
            earliest,
            ..Reason::RateLimit.into()
        })
    }

    /// Returns whether the upstream is expected to respond before the deadline.
    /// If not, refusing at once saves the upstream's slots and the caller's
    /// time. Requests without an objective are always sent.
    fn can_meet_deadline(&self, id: RequestId, estimate: &Estimate, cx: &Cx<'_>) -> bool {
        let active = self.active.get(&id).filter(|a| a.late_at.is_some());
        active.is_none_or(|a| estimate.finish <= a.deadline.saturating_sub(cx.now))
    }

    /// Chooses an upstream and charges the attempt to its budget. A request that could
    /// only go to an unreachable data centre gets none, because it would wait there in
    /// vain.
    fn choose(&mut self, id: RequestId, purpose: Purpose, cx: &mut Cx<'_>) -> Option<Estimate> {
        let active = self.active.get(&id)?;
        let service = active.request.service.clone();
        let tried = active.tried_upstreams();
        let only_at = active.only_at.clone();
        let demand = active.demand(cx.now);
        let data_centre = cx.agent.data_centre.clone();
        let own_upstream = cx.agent.name.clone();
        let now = cx.now;
        self.refresh_picker(&service, cx)?;
        let entry = EntryView {
            data_centre: &data_centre,
            own_upstream: &own_upstream,
            reachability: &self.reachability,
        };
        let request = demand.pick_request(entry, &tried);
        let picker = self.pickers.get_mut(&service)?;
        let chosen = match only_at {
            Some(only) if tried.contains(&only) => None,
            Some(only) => picker.estimate(now, &only, request),
            None => picker.choose(now, cx.rng, request),
        };
        let chosen = chosen.filter(|estimate| !estimate.unreachable);
        let paid = match purpose {
            Purpose::First | Purpose::Redirect | Purpose::Repick => true,
            Purpose::Retry => chosen.is_some() && self.budgets(&service).retries.spend(now),
            Purpose::Hedge => chosen.is_some() && self.budgets(&service).hedges.spend(now),
        };
        chosen.filter(|_| paid)
    }

    fn send(&mut self, id: RequestId, purpose: Purpose, estimate: &Estimate, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let upstream = &estimate.upstream;
        let view = cx.agent.service(&active.request.service);
        let Some(known) = view.and_then(|view| view.upstreams.get(upstream)) else {
            return;
        };
        let address = known.address.clone();
        self.reachability.record_sent(cx.now, &known.data_centre);
        let is_last = active.count(AttemptState::NotRun) >= self.max_repicks;
        let mut attempt = active.start_attempt(purpose, upstream, address, cx.now);
        attempt.known_restriction = self.restrictions.get(upstream);
        if let Some(picker) = self.pickers.get_mut(&active.request.service) {
            if self.by_expected_finish {
                // The last free attempt states no slowness, so the gate cannot
                // refuse it as slower than assumed: a slow gate is better than
                // none.
                let assumed = estimate.believed_slow_percent;
                attempt.believed_slow_percent = if is_last { 0 } else { assumed };
                active.set_expected(attempt.attempt, estimate.finish);
            }
            picker.record_sent(cx.now, upstream);
        }
        push(cx.tx, Effect::Forward(attempt));
        self.count_attempt(purpose);
    }

    /// Updates the picker of a service from the agent's view; returns `None`
    /// while the agent has no view of the service.
    pub(super) fn refresh_picker(&mut self, service: &str, cx: &mut Cx<'_>) -> Option<&mut Picker> {
        let mut candidates = candidates(cx.agent.service(service)?);
        candidates.retain(|c| !cx.agent.is_out(&c.upstream, &c.data_centre));
        let settings = self.pick;
        let picker = self
            .pickers
            .entry(service.into())
            .or_insert_with(|| Picker::new(settings));
        picker.update(cx.now, candidates);
        Some(picker)
    }

    fn wait_for_view(&mut self, id: RequestId, cx: &mut Cx<'_>) {
        if self.awaiting_view.len() >= MAX_AWAITING_VIEW {
            return self.refuse(id, Reason::NoUpstream.into(), cx);
        }
        self.awaiting_view.insert(id);
    }

    /// Refuses a request: its caller gets the final response now.
    pub(super) fn refuse(&mut self, id: RequestId, cause: RefusalCause, cx: &mut Cx<'_>) {
        let Some(active) = self.drop_request(id, cx) else {
            return;
        };
        let run = if active.is_not_run() {
            RunState::NotRun
        } else {
            RunState::MayHaveRun
        };
        let refusal = cause.into_refusal(run, self.retry_after, cx.rng);
        push(cx.tx, Effect::Refuse(id, refusal));
        push(cx.tx, Effect::Forget(id));
    }

    /// Removes a request that got no complete response: cancels its attempts in
    /// flight, and releases its claim if none of them ran.
    pub(super) fn drop_request(&mut self, id: RequestId, cx: &mut Cx<'_>) -> Option<ActiveRequest> {
        let active = self.active.remove(&id)?;
        self.awaiting_view.remove(&id);
        release_allowance(&active, cx);
        for sent in active
            .attempts
            .iter()
            .filter(|t| t.state == AttemptState::InFlight)
        {
            push(cx.tx, Effect::Cancel(id, sent.number));
            if let Some(picker) = self.pickers.get_mut(&active.request.service) {
                picker.record_end(&sent.upstream);
            }
        }
        if active.is_not_run() {
            settle_claim(&active, SettleKind::Released, 0, cx);
        }
        Some(active)
    }
}

/// Stops counting a request against the limits of its customer.
pub(super) fn release_allowance(active: &ActiveRequest, cx: &mut Cx<'_>) {
    if active.request.route_key.is_none() {
        cx.allowances.finished(cx.now, &active.request.customer);
    }
}

/// Checks immediately before a send that the deadline is not over and that the
/// daemon may still serve, since the steps before may have taken long.
fn check_may_send(active: &ActiveRequest, cx: &Cx<'_>) -> Result<(), RefusalCause> {
    if cx.now >= active.deadline {
        return Err(Reason::Deadline.into());
    }
    if !cx.agent.may_serve(cx.now) {
        return Err(Reason::Stale.into());
    }
    Ok(())
}

fn candidates(view: &ServiceView) -> Vec<Candidate> {
    let accepting = view.upstreams.iter().filter(|(_, u)| !u.leaving);
    accepting
        .map(|(name, upstream)| Candidate {
            upstream: name.clone(),
            data_centre: upstream.data_centre.clone(),
            slots: upstream.slots,
        })
        .collect()
}
