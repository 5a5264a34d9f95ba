//! Sends requests to gates, and refuses requests that cannot be sent.

use super::claim::settle_claim;
use super::identity;
use super::message::Effect;
use super::refusal::{Reason, RefusalCause, RunState};
use super::request::{
    ActiveRequest, AttemptState, ClaimState, EntryView, Purpose, SentAttempt, TokenState,
};
use super::{Entry, push};
use crate::context::Cx;
use fleet::{ServiceView, Upstream, is_excluded};
use pick::{Candidate, Estimate, Picker};
use wire::{RequestId, Rollout, SettleKind, UpstreamId};

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
        let checked = chosen.and_then(|estimate| {
            self.check_estimate(id, purpose, &estimate, cx)?;
            Ok(estimate)
        });
        match checked {
            Ok(estimate) => self.send(id, purpose, &estimate, cx),
            Err(cause) => self.refuse_unless_in_flight(id, cause, cx),
        }
    }

    /// Checks whether a request may be sent to the upstream that was chosen for it. A few
    /// that are not expected to be in time are sent, so that the estimate is renewed.
    fn check_estimate(
        &mut self,
        id: RequestId,
        purpose: Purpose,
        estimate: &Estimate,
        cx: &mut Cx<'_>,
    ) -> Result<(), RefusalCause> {
        let in_time = self.is_in_time(id, estimate, cx);
        let can_meet = self.can_meet_deadline(id, estimate, cx);
        let renews = !(in_time && can_meet) && self.renews_estimate(id, purpose, estimate, cx);
        self.check_overload(id, purpose, in_time || renews, cx)?;
        match can_meet || renews {
            true => Ok(()),
            false => Err(Reason::Overload.into()),
        }
    }

    fn renews_estimate(
        &mut self,
        id: RequestId,
        purpose: Purpose,
        estimate: &Estimate,
        cx: &Cx<'_>,
    ) -> bool {
        let Some(active) = self.active.get(&id) else {
            return false;
        };
        let picker = self.pickers.get_mut(&active.request.service);
        matches!(purpose, Purpose::First | Purpose::Repick)
            && picker.is_some_and(|p| p.renews_estimate(cx.now, &active.class_name, estimate))
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
        let mut tried = active.tried_upstreams();
        tried.extend(self.version_choices(active, cx).pop().unwrap_or_default());
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
    /// time. Requests without an objective are always sent, and so are those of a class that
    /// was not measured where there is room: an entry learns by them.
    fn can_meet_deadline(&self, id: RequestId, estimate: &Estimate, cx: &Cx<'_>) -> bool {
        let active = self.active.get(&id).filter(|a| a.late_at.is_some());
        active.is_none_or(|a| {
            is_guess(estimate) || estimate.finish <= a.deadline.saturating_sub(cx.now)
        })
    }

    /// Chooses an upstream and charges the attempt to its budget. A request that could
    /// only go to an unreachable data centre gets none, because it would wait there in
    /// vain.
    fn choose(&mut self, id: RequestId, purpose: Purpose, cx: &mut Cx<'_>) -> Option<Estimate> {
        let service = self.active.get(&id)?.request.service.clone();
        self.refresh_picker(&service, cx)?;
        let choices = self.version_choices(self.active.get(&id)?, cx);
        let mut left = choices.len();
        let mut chosen = None;
        for skipped in choices {
            left -= 1;
            chosen = self.choose_except(id, purpose, skipped, cx);
            if left > 0 {
                chosen = chosen.filter(|estimate| self.has_room(id, estimate, cx));
            }
            if chosen.is_some() {
                break;
            }
        }
        let now = cx.now;
        let paid = match purpose {
            Purpose::First | Purpose::Redirect | Purpose::Repick => true,
            Purpose::Retry => chosen.is_some() && self.budgets(&service).retries.spend(now),
            Purpose::Hedge => chosen.is_some() && self.charge_hedge(id, &service, now),
        };
        chosen.filter(|_| paid)
    }

    /// Chooses an upstream that was not tried and is not among the `skipped` ones.
    fn choose_except(
        &mut self,
        id: RequestId,
        purpose: Purpose,
        skipped: Vec<UpstreamId>,
        cx: &mut Cx<'_>,
    ) -> Option<Estimate> {
        let active = self.active.get(&id)?;
        let mut tried = active.tried_upstreams();
        tried.extend(skipped);
        let mut demand = active.demand(cx.now);
        if purpose == Purpose::Hedge {
            demand.max_transfer = active.hedge_saves;
        }
        let entry = EntryView {
            data_centre: &cx.agent.data_centre,
            own_upstream: &cx.agent.name,
            reachability: &self.reachability,
        };
        let request = demand.pick_request(entry, &tried);
        let picker = self.pickers.get_mut(&active.request.service)?;
        let chosen = match &active.only_at {
            Some(only) if tried.contains(only) => None,
            Some(only) => picker.estimate(cx.now, only, request),
            None => picker.choose(cx.now, cx.rng, request),
        };
        chosen.filter(|estimate| !estimate.unreachable)
    }

    /// Returns whether an upstream is expected to take the request, so that no other
    /// version needs to be considered.
    fn has_room(&self, id: RequestId, estimate: &Estimate, cx: &Cx<'_>) -> bool {
        !estimate.unavailable && self.can_meet_deadline(id, estimate, cx)
    }

    fn send(&mut self, id: RequestId, purpose: Purpose, estimate: &Estimate, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let service = active.request.service.clone();
        let upstream = &estimate.upstream;
        let view = cx.agent.service(&service);
        let Some(known) = view.and_then(|view| view.upstreams.get(upstream)) else {
            return;
        };
        let address = known.address.clone();
        let version = known.version.clone();
        self.reachability.record_sent(cx.now, &known.data_centre);
        let version = self.record_version_sent(&service, &version, cx);
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let is_last = active.count(AttemptState::NotRun) >= self.max_repicks;
        let mut attempt = active.start_attempt(purpose, upstream, address, cx.now);
        attempt.sender = identity::sender(active, cx).map(Box::new);
        active.set_version(attempt.attempt, version);
        attempt.known_restriction = self.restrictions.get(upstream);
        if let Some(picker) = self.pickers.get_mut(&service) {
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
        let service = active.request.service.clone();
        let hedges = &mut self.budgets(&service).hedges;
        hedges.record_attempt(cx.now);
        match purpose {
            Purpose::First => hedges.record_request(),
            Purpose::Hedge => hedges.count.sent += 1,
            Purpose::Retry | Purpose::Repick | Purpose::Redirect => {}
        }
        push(cx.tx, Effect::Forward(attempt));
        self.count_attempt(purpose);
    }

    /// Updates the picker of a service from the agent's view; returns `None`
    /// while the agent has no view of the service.
    pub(super) fn refresh_picker(&mut self, service: &str, cx: &mut Cx<'_>) -> Option<&mut Picker> {
        let rollout = cx.agent.rollout(service).cloned();
        let view = cx.agent.service(service)?;
        let mut candidates = candidates(view, rollout.as_ref());
        candidates.retain(|c| !cx.agent.is_out(&c.upstream, &c.data_centre));
        self.update_versions(service, cx);
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
        let in_flight = |t: &&SentAttempt| t.is_hedge && t.state == AttemptState::InFlight;
        let hedges = active.attempts.iter().filter(in_flight).count();
        self.record_hedges_cancelled(&active.request.service, hedges);
        for sent in active
            .attempts
            .iter()
            .filter(|t| t.state == AttemptState::InFlight)
        {
            push(cx.tx, Effect::Cancel(id, sent.number));
            if let Some(picker) = self.pickers.get_mut(&active.request.service) {
                picker.record_end(cx.now, &sent.upstream);
            }
        }
        if active.is_not_run() {
            settle_claim(&active, SettleKind::Released, 0, cx);
        }
        Some(active)
    }
}

/// Returns whether an estimate rests on no measurement, and its upstream has room.
pub(super) fn is_guess(estimate: &Estimate) -> bool {
    estimate.basis.measurements == 0 && estimate.has_room
}

/// Stops counting a request against the limits of its customer. A request that no
/// upstream ran returns its token.
pub(super) fn release_allowance(active: &ActiveRequest, cx: &mut Cx<'_>) {
    if let TokenState::TakenAt(at) = active.token
        && active.is_not_run()
    {
        cx.allowances
            .give_back(cx.now, &active.request.customer, at);
    }
    if active.request.route_key.is_none() {
        cx.allowances.finished(cx.now, &active.request.customer);
    }
}

/// Checks immediately before a send that the deadline is not over, that the daemon may
/// still serve and that the credential is still in force, since the steps before may
/// have taken long.
fn check_may_send(active: &ActiveRequest, cx: &Cx<'_>) -> Result<(), RefusalCause> {
    if cx.now >= active.deadline {
        return Err(Reason::Deadline.into());
    }
    if !cx.agent.may_serve(cx.now) {
        return Err(Reason::Stale.into());
    }
    identity::check(active, cx)
}

/// Returns the upstreams that accept requests and that the rollout does not exclude.
fn candidates(view: &ServiceView, rollout: Option<&Rollout>) -> Vec<Candidate> {
    let accepting = view.upstreams.iter().filter(|(_, u)| !u.leaving);
    let excluded = |u: &Upstream| rollout.is_some_and(|r| is_excluded(r, &u.version, Some(view)));
    accepting
        .filter(|(_, u)| !excluded(u))
        .map(|(name, upstream)| Candidate {
            upstream: name.clone(),
            data_centre: upstream.data_centre.clone(),
            slots: upstream.slots,
        })
        .collect()
}
