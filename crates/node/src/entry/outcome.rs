//! Handles the outcomes of attempts: responses, refusals and broken
//! connections.

use super::claim::settle_claim;
use super::forward::release_allowance;
use super::message::Effect;
use super::refusal::{Reason, RefusalCause, refusal_reason};
use super::request::{AttemptState, ClaimState, Purpose};
use super::{Entry, push};
use crate::context::Cx;
use crate::verdict::verdict_ttl;
use gate::MIN_SERVER_ERROR;
use pick::{Reply, rendezvous};
use std::time::Duration;
use wire::{AttemptId, Load, Refuse, RefuseReason, RequestId, SettleKind, UpstreamId, Verdict};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 4;
/// Maximum number of convicted requests kept.
const MAX_CONVICTED: usize = 10_000;
/// Time for which an upstream that accepts no work is not chosen.
pub(super) const UNAVAILABLE_TIME: Duration = Duration::from_secs(1);
/// Time before the deadline in which a broken connection counts as the gate's
/// own deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(20);

impl Entry {
    pub(super) fn on_refused(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        refuse: &Refuse,
        cx: &mut Cx<'_>,
    ) {
        let reason = refuse.reason();
        let state = match reason {
            RefuseReason::Unknown | RefuseReason::Duplicate => AttemptState::MayHaveRun,
            RefuseReason::Rejected => AttemptState::Rejected,
            _ => AttemptState::NotRun,
        };
        let reply = match reason {
            RefuseReason::NoSlot
            | RefuseReason::Cold
            | RefuseReason::Suspect
            | RefuseReason::Convicted
            | RefuseReason::Duplicate
            | RefuseReason::Rejected
            | RefuseReason::Slow
            | RefuseReason::Limited
            | RefuseReason::Deadline => Reply::NoSlot,
            _ => Reply::Unavailable(cx.now + UNAVAILABLE_TIME),
        };
        let Some(upstream) = self.close(id, attempt, state, reply, refuse.load, cx) else {
            return;
        };
        if let Some(active) = self.active.get(&id) {
            let service = active.request.service.clone();
            let preference = active.preference();
            if reason == RefuseReason::NoSlot {
                self.budgets(&service).hedges.record_no_slot(cx.now);
            }
            self.record_reachable(&service, &upstream, cx);
            if let Some(picker) = self
                .pickers
                .get_mut(&service)
                .filter(|_| refuse.pause_ms > 0)
            {
                let pause = Duration::from_millis(refuse.pause_ms.into());
                picker.record_full(cx.now, &upstream, pause, preference);
            }
        }
        self.record_gate_refusal(id, reason, cx);
        if reason == RefuseReason::Slow {
            self.allow_reselection(id, attempt);
        }
        match reason {
            RefuseReason::Convicted => self.on_convicted(id, cx),
            RefuseReason::Suspect => self.redirect(id, &refuse.only_at, cx),
            RefuseReason::Unknown => self.refuse_unless_in_flight(id, Reason::Broken.into(), cx),
            RefuseReason::Duplicate | RefuseReason::Deadline => {
                self.refuse_unless_in_flight(id, refusal_reason(reason).into(), cx);
            }
            _ => {
                let earliest = Duration::from_millis(refuse.retry_after_ms.into());
                self.after_not_run(id, reason, earliest, cx);
            }
        }
    }

    fn allow_reselection(&mut self, id: RequestId, attempt: AttemptId) {
        let active = self.active.get_mut(&id);
        let sent = active.and_then(|a| a.attempts.iter_mut().find(|t| t.number == attempt));
        if let Some(sent) = sent {
            sent.reselectable = true;
        }
    }

    pub(super) fn on_not_sent(&mut self, id: RequestId, attempt: AttemptId, cx: &mut Cx<'_>) {
        let reply = Reply::Unavailable(cx.now + UNAVAILABLE_TIME);
        let closed = self.close(id, attempt, AttemptState::NotRun, reply, None, cx);
        if closed.is_some() {
            self.retry(id, RefusalCause::from(Reason::NoUpstream), cx);
        }
    }

    pub(super) fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        (status, load): (u16, Option<Load>),
        cx: &mut Cx<'_>,
    ) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        if active.relayed.is_some() {
            return;
        }
        let Some(sent) = active.in_flight_attempt(attempt) else {
            return;
        };
        let latency = cx.now.saturating_sub(sent.sent_at);
        let is_hedge = sent.is_hedge;
        let upstream = sent.upstream.clone();
        let version = sent.version.clone();
        active.relayed = Some((attempt, status));
        push(cx.tx, Effect::Relay(id, attempt));
        let reply = if status >= MIN_SERVER_ERROR {
            Reply::Failure
        } else {
            Reply::Success(latency)
        };
        let class = active.class_name.clone();
        let service = active.request.service.clone();
        self.record_served(id, cx);
        self.record_reachable(&service, &upstream, cx);
        self.record_version_response(&service, &version, status >= MIN_SERVER_ERROR, cx);
        if let Some(picker) = self.pickers.get_mut(&service) {
            picker.record_reply(cx.now, &upstream, reply, load);
            if status < MIN_SERVER_ERROR {
                picker.record_service_time(cx.now, &upstream, &class, latency);
            }
        }
        if is_hedge {
            self.budgets(&service).hedges.count.won += 1;
        }
        self.cancel_others(id, attempt, cx);
    }

    pub(super) fn on_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        (bytes, load): (u64, Option<Load>),
        cx: &mut Cx<'_>,
    ) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let Some((_, status)) = active.relayed.filter(|(relayed, _)| *relayed == attempt) else {
            return;
        };
        let Some(active) = self.active.remove(&id) else {
            return;
        };
        if let Some(picker) = self.pickers.get_mut(&active.request.service)
            && let Some(sent) = active.attempts.iter().find(|t| t.number == attempt)
        {
            picker.record_response_bytes(&active.class_name, bytes);
            picker.record_progress(cx.now, &sent.upstream, load);
            picker.record_end(cx.now, &sent.upstream);
        }
        release_allowance(&active, cx);
        settle_claim(&active, SettleKind::Finished, status, cx);
        push(cx.tx, Effect::Forget(id));
    }

    pub(super) fn on_broken(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        load: Option<Load>,
        cx: &mut Cx<'_>,
    ) {
        let closed = self.close(
            id,
            attempt,
            AttemptState::MayHaveRun,
            Reply::Failure,
            load,
            cx,
        );
        let Some(upstream) = closed else {
            return;
        };
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if active
            .relayed
            .is_some_and(|(relayed, _)| relayed == attempt)
        {
            return self.refuse(id, Reason::Broken.into(), cx);
        }
        if cx.now + DEADLINE_SLACK >= active.deadline {
            return self.refuse_unless_in_flight(id, Reason::Deadline.into(), cx);
        }
        let retryable = active.class.idempotent && active.request.body_buffered;
        if retryable && !active.has_in_flight() && !self.isolate_suspects {
            self.retry(id, Reason::Broken.into(), cx);
        } else if retryable && !active.has_in_flight() {
            self.retry_exclusively(id, &upstream, cx);
        } else {
            self.refuse_unless_in_flight(id, Reason::Broken.into(), cx);
        }
    }

    /// Makes a second attempt beside one whose gate does not respond, if the request may
    /// run twice and the budgets allow it. The first stays in flight: a gate that was only
    /// stopped for a while still replies.
    pub(super) fn on_silent(&mut self, id: RequestId, attempt: AttemptId, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let awaited = active.relayed.is_none() && active.in_flight_attempt(attempt).is_some();
        let repeatable = active.class.idempotent && active.request.body_buffered;
        let is_only_one = active.count(AttemptState::InFlight) == 1;
        let exhausted = active.reached_upstreams() >= active.max_reached_upstreams
            || active.attempts.len() >= MAX_ATTEMPTS + self.max_repicks
            || active.retry_budget == 0;
        if awaited && repeatable && is_only_one && !exhausted {
            self.attempt(id, Purpose::Retry, Reason::Broken.into(), cx);
        }
    }

    /// Retries a request that may have crashed its upstream, at the upstream to
    /// which the gates assign it too. This spends the one retry that the entry
    /// reserves for itself, so a second broken connection ends the request.
    fn retry_exclusively(&mut self, id: RequestId, broken: &UpstreamId, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let service = active.request.service.clone();
        let fingerprint = active.request.fingerprint;
        let new = self.limited_upstreams(&service, cx);
        let only = self.refresh_picker(&service, cx).and_then(|picker| {
            let names = picker.upstreams();
            let names = names.filter(|name| *name != broken && !new.contains(name));
            rendezvous(fingerprint, names).cloned()
        });
        if let Some(active) = self.active.get_mut(&id) {
            active.only_at = only;
            active.suspected = true;
        }
        self.retry(id, Reason::Broken.into(), cx);
    }

    /// Sends a suspected request to the only upstream that may run it.
    fn redirect(&mut self, id: RequestId, only_at: &str, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let already_tried = active.attempts.iter().any(|t| t.upstream == only_at);
        let redirected = active.only_at.as_deref() == Some(only_at);
        if only_at.is_empty()
            || already_tried
            || redirected
            || active.attempts.len() >= MAX_ATTEMPTS
        {
            return self.refuse_unless_in_flight(id, Reason::Suspected.into(), cx);
        }
        active.only_at = Some(only_at.into());
        active.suspected = true;
        if !active.has_in_flight() {
            self.attempt(id, Purpose::Redirect, Reason::Suspected.into(), cx);
        }
    }

    fn on_convicted(&mut self, id: RequestId, cx: &mut Cx<'_>) {
        if let Some(active) = self.active.get(&id) {
            let fingerprint = active.request.fingerprint;
            let known = self.convicted.contains_key(&fingerprint);
            if known || self.convicted.len() < MAX_CONVICTED {
                let until = cx.now + verdict_ttl(Verdict::Convicted);
                self.convicted.insert(fingerprint, until);
            }
        }
        self.refuse_unless_in_flight(id, Reason::Convicted.into(), cx);
    }

    fn after_not_run(
        &mut self,
        id: RequestId,
        reason: RefuseReason,
        earliest: Duration,
        cx: &mut Cx<'_>,
    ) {
        let cause = RefusalCause {
            earliest,
            ..refusal_reason(reason).into()
        };
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let single_attempt = !active.class.idempotent
            && active.claim == ClaimState::Unneeded
            && active.request.route_key.is_none();
        if single_attempt {
            return self.refuse_unless_in_flight(id, cause, cx);
        }
        self.retry(id, cause, cx);
    }

    /// Makes another attempt if the budgets allow one; otherwise refuses the
    /// request.
    fn retry(&mut self, id: RequestId, cause: RefusalCause, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if active.has_in_flight() {
            return;
        }
        let repicks = active.count(AttemptState::NotRun);
        let free =
            active.reached_upstreams() == 0 && repicks <= self.max_repicks && self.max_repicks > 0;
        if free {
            return self.attempt(id, Purpose::Repick, cause, cx);
        }
        let max_attempts = MAX_ATTEMPTS + self.max_repicks;
        let exhausted = active.reached_upstreams() >= active.max_reached_upstreams
            || active.attempts.len() >= max_attempts;
        if active.retry_budget == 0 || exhausted {
            return self.refuse(id, cause, cx);
        }
        self.attempt(id, Purpose::Retry, cause, cx);
    }

    pub(super) fn refuse_unless_in_flight(
        &mut self,
        id: RequestId,
        cause: RefusalCause,
        cx: &mut Cx<'_>,
    ) {
        if self.active.get(&id).is_some_and(|a| !a.has_in_flight()) {
            self.refuse(id, cause, cx);
        }
    }

    /// Closes an attempt in flight; returns its upstream. Returns `None` if the
    /// attempt is no longer in flight, or if it has begun to respond and is
    /// reported as not run: it did run.
    fn close(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        state: AttemptState,
        reply: Reply,
        load: Option<Load>,
        cx: &mut Cx<'_>,
    ) -> Option<UpstreamId> {
        let active = self.active.get_mut(&id)?;
        let responding = active
            .relayed
            .is_some_and(|(relayed, _)| relayed == attempt);
        if responding && state != AttemptState::MayHaveRun {
            return None;
        }
        let sent = active.in_flight_attempt(attempt)?;
        sent.state = state;
        let upstream = sent.upstream.clone();
        let version = sent.version.clone();
        let refund = std::mem::take(&mut sent.delegated_retries);
        if state == AttemptState::NotRun {
            active.retry_budget += refund;
        }
        let service = active.request.service.clone();
        if let Some(picker) = self.pickers.get_mut(&service) {
            picker.record_reply(cx.now, &upstream, reply, load);
            picker.record_end(cx.now, &upstream);
        }
        if state == AttemptState::NotRun {
            self.record_version_not_run(&service, &version);
        }
        Some(upstream)
    }

    fn cancel_others(&mut self, id: RequestId, winner: AttemptId, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let service = active.request.service.clone();
        let picker = self.pickers.get_mut(&service);
        let losers = active
            .attempts
            .iter_mut()
            .filter(|t| t.state == AttemptState::InFlight && t.number != winner);
        let mut upstreams = Vec::new();
        let mut hedges = 0;
        for sent in losers {
            sent.state = AttemptState::MayHaveRun;
            hedges += usize::from(sent.is_hedge);
            push(cx.tx, Effect::Cancel(id, sent.number));
            upstreams.push((sent.upstream.clone(), sent.sent_at, sent.number > winner));
        }
        if let Some(picker) = picker {
            for (name, sent_at, is_later) in upstreams {
                match is_later {
                    true => picker.record_overtaken(cx.now, &name, sent_at),
                    false => picker.record_end(cx.now, &name),
                }
            }
        }
        self.record_hedges_cancelled(&service, hedges);
    }
}
