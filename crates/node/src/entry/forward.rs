//! Forwarding a request to a gate, and giving it up.

use super::claim::settle;
use super::message::Effect;
use super::refusal::{GiveUp, Reason, RunState};
use super::request::{Active, ClaimState, Fate, Purpose};
use super::{Entry, push};
use crate::context::Cx;
use fleet::ServiceView;
use pick::{Candidate, Estimate, Picker};
use wire::{RequestId, SettleKind};

/// Requests that wait for word of their service, at most.
const MAX_WAITING: usize = 1_000;

impl Entry {
    /// Makes the first attempt, as soon as the view and the claim are there.
    pub(super) fn forward(&mut self, id: RequestId, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if let Err(give_up) = ready(active, cx) {
            return self.give_up(id, give_up, cx);
        }
        let service = active.request.service.clone();
        let claim = active.claim;
        let Some(picker) = self.refresh(&service, cx) else {
            return self.wait(id, cx);
        };
        if picker.is_empty() {
            return self.give_up(id, Reason::NoUpstream.into(), cx);
        }
        match claim {
            ClaimState::Needed => self.ask_claim(id, cx),
            ClaimState::Asked(_) => {}
            ClaimState::Unneeded | ClaimState::Granted(_) => {
                self.attempt(id, Purpose::First, Reason::NoUpstream.into(), cx);
            }
        }
    }

    /// Makes an attempt. If none can be made, a request without an open one is
    /// given up as `otherwise` says.
    pub(super) fn attempt(
        &mut self,
        id: RequestId,
        purpose: Purpose,
        otherwise: GiveUp,
        cx: &mut Cx<'_>,
    ) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let chosen = match ready(active, cx) {
            Ok(()) => self.choose(id, purpose, cx).ok_or(otherwise),
            Err(give_up) => Err(give_up),
        };
        match chosen {
            Ok(look) if !self.may_answer(id, &look, cx) => {
                self.end_unless_open(id, Reason::Overload.into(), cx);
            }
            Ok(look) => self.send(id, purpose, &look, cx),
            Err(give_up) => self.end_unless_open(id, give_up, cx),
        }
    }

    /// Returns whether an answer of an upstream is expected before the caller
    /// leaves. Else the upstream's slots and the caller's time are better used
    /// otherwise: it is told when to come back.
    fn may_answer(&self, id: RequestId, look: &Estimate, cx: &Cx<'_>) -> bool {
        let active = self.active.get(&id).filter(|a| a.late_at.is_some());
        active.is_none_or(|a| look.finish <= a.deadline.saturating_sub(cx.now))
    }

    /// Chooses an upstream and pays for the attempt.
    fn choose(&mut self, id: RequestId, purpose: Purpose, cx: &mut Cx<'_>) -> Option<Estimate> {
        let active = self.active.get(&id)?;
        let service = active.request.service.clone();
        let tried = active.tried_upstreams();
        let only_at = active.only_at.clone();
        let demand = active.demand(cx.now);
        let data_centre = cx.agent.data_centre.clone();
        let wanted = demand.wanted(&data_centre, &tried);
        let now = cx.now;
        let picker = self.refresh(&service, cx)?;
        let chosen = match only_at {
            Some(only) if tried.contains(&only) => None,
            Some(only) => picker.estimate(now, &only, wanted),
            None => picker.choose(now, cx.rng, wanted),
        };
        let paid = match purpose {
            Purpose::First | Purpose::Redirect | Purpose::Repick => true,
            Purpose::Retry => chosen.is_some() && self.budgets(&service).retries.spend(now),
            Purpose::Hedge => chosen.is_some() && self.budgets(&service).hedges.spend(now),
        };
        chosen.filter(|_| paid)
    }

    fn send(&mut self, id: RequestId, purpose: Purpose, look: &Estimate, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let upstream = &look.upstream;
        let view = cx.agent.service(&active.request.service);
        let Some(known) = view.and_then(|view| view.upstreams.get(upstream)) else {
            return;
        };
        let address = known.address.clone();
        let is_last = active.count(Fate::NotRun) >= self.repicks;
        let mut attempt = active.begin(purpose, upstream, address, cx.now);
        if let Some(picker) = self.pickers.get_mut(&active.request.service) {
            if self.by_expected_finish {
                // The last attempt that is free is taken as it is: a gate that
                // is slower than believed serves better than none.
                let believed = look.believed_slow_percent;
                attempt.believed_slow_percent = if is_last { 0 } else { believed };
                active.expect(attempt.attempt, look.finish);
            }
            picker.record_sent(cx.now, upstream);
        }
        push(cx.tx, Effect::Forward(attempt));
        self.count(purpose);
    }

    /// Brings the load view of a service level with the agent's view of it;
    /// returns `None` while there is no word of the service.
    pub(super) fn refresh(&mut self, service: &str, cx: &mut Cx<'_>) -> Option<&mut Picker> {
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

    fn wait(&mut self, id: RequestId, cx: &mut Cx<'_>) {
        if self.waiting.len() >= MAX_WAITING {
            return self.give_up(id, Reason::NoUpstream.into(), cx);
        }
        self.waiting.insert(id);
    }

    /// Gives a request its final answer at once.
    pub(super) fn give_up(&mut self, id: RequestId, give_up: GiveUp, cx: &mut Cx<'_>) {
        let Some(active) = self.drop_request(id, cx) else {
            return;
        };
        let run = if active.is_not_run() {
            RunState::NotRun
        } else {
            RunState::MayHaveRun
        };
        let refusal = give_up.refusal(run, self.retry_after, cx.rng);
        push(cx.tx, Effect::Refuse(id, refusal));
        push(cx.tx, Effect::Forget(id));
    }

    /// Ends a request that got no whole answer: cancels what is open, and
    /// releases its claim if nothing of it ran.
    pub(super) fn drop_request(&mut self, id: RequestId, cx: &mut Cx<'_>) -> Option<Active> {
        let active = self.active.remove(&id)?;
        self.waiting.remove(&id);
        finish_allowance(&active, cx);
        for tried in active.tried.iter().filter(|t| t.fate == Fate::Open) {
            push(cx.tx, Effect::Cancel(id, tried.number));
            if let Some(picker) = self.pickers.get_mut(&active.request.service) {
                picker.record_end(&tried.upstream);
            }
        }
        if active.is_not_run() {
            settle(&active, SettleKind::Released, 0, cx);
        }
        Some(active)
    }
}

/// Returns a request's part of its customer's allowance.
pub(super) fn finish_allowance(active: &Active, cx: &mut Cx<'_>) {
    if active.request.route_key.is_none() {
        cx.allowances.finished(cx.now, &active.request.customer);
    }
}

/// Checks what must hold at the moment of a hand-over, however long the steps
/// before it took.
fn ready(active: &Active, cx: &Cx<'_>) -> Result<(), GiveUp> {
    if cx.now >= active.deadline {
        return Err(Reason::Deadline.into());
    }
    if !cx.agent.may_serve(cx.now) {
        return Err(Reason::Stale.into());
    }
    Ok(())
}

fn candidates(view: &ServiceView) -> Vec<Candidate> {
    let staying = view.upstreams.iter().filter(|(_, u)| !u.leaving);
    staying
        .map(|(name, upstream)| Candidate {
            upstream: name.clone(),
            data_centre: upstream.data_centre.clone(),
            slots: upstream.slots,
        })
        .collect()
}
