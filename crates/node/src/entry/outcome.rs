//! What gates and upstreams make of attempts: answers, refusals, breaks.

use super::claim::settle;
use super::forward::finish_allowance;
use super::message::Effect;
use super::refusal::{GiveUp, Reason, reason_of, verdict_ttl};
use super::request::{ClaimState, Fate, Purpose};
use super::{Entry, push};
use crate::context::Cx;
use pick::{Reply, rendezvous};
use std::time::Duration;
use wire::{AttemptId, Load, Refuse, RefuseReason, RequestId, SettleKind, UpstreamId, Verdict};

/// Attempts for one request, at most.
const MAX_ATTEMPTS: usize = 4;
/// Convicted requests that are remembered.
const MAX_CONVICTED: usize = 10_000;
/// Time for which an upstream is left alone that can take nothing.
const SHUN: Duration = Duration::from_secs(1);
/// Time before the deadline in which a break counts as the gate's own deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(20);
/// First status of the failures of an upstream itself.
const SERVER_ERROR: u16 = 500;

impl Entry {
    pub(super) fn refused(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        refuse: &Refuse,
        cx: &mut Cx<'_>,
    ) {
        let reason = refuse.reason();
        let fate = match reason {
            RefuseReason::Unknown | RefuseReason::Duplicate => Fate::InDoubt,
            RefuseReason::Rejected => Fate::Rejected,
            _ => Fate::NotRun,
        };
        let reply = match reason {
            RefuseReason::NoSlot
            | RefuseReason::Cold
            | RefuseReason::Suspect
            | RefuseReason::Convicted
            | RefuseReason::Duplicate
            | RefuseReason::Rejected
            | RefuseReason::Slow
            | RefuseReason::Deadline => Reply::NoSlot,
            _ => Reply::Unavailable(cx.now + SHUN),
        };
        if self
            .close(id, attempt, fate, reply, refuse.load, cx)
            .is_none()
        {
            return;
        }
        if reason == RefuseReason::Slow {
            self.let_return(id, attempt);
        }
        match reason {
            RefuseReason::Convicted => self.refused_as_convicted(id, cx),
            RefuseReason::Suspect => self.redirect(id, &refuse.only_at, cx),
            RefuseReason::Unknown => self.end_unless_open(id, Reason::Broken.into(), cx),
            RefuseReason::Duplicate | RefuseReason::Deadline => {
                self.end_unless_open(id, reason_of(reason).into(), cx);
            }
            _ => {
                let earliest = Duration::from_millis(refuse.retry_after_ms.into());
                self.after_not_run(id, reason, earliest, cx);
            }
        }
    }

    fn let_return(&mut self, id: RequestId, attempt: AttemptId) {
        let active = self.active.get_mut(&id);
        let tried = active.and_then(|a| a.tried.iter_mut().find(|t| t.number == attempt));
        if let Some(tried) = tried {
            tried.may_return = true;
        }
    }

    pub(super) fn not_sent(&mut self, id: RequestId, attempt: AttemptId, cx: &mut Cx<'_>) {
        let reply = Reply::Unavailable(cx.now + SHUN);
        let closed = self.close(id, attempt, Fate::NotRun, reply, None, cx);
        if closed.is_some() {
            self.retry(id, GiveUp::from(Reason::NoUpstream), cx);
        }
    }

    pub(super) fn answering(
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
        let Some(tried) = active.open(attempt) else {
            return;
        };
        let latency = cx.now.saturating_sub(tried.sent);
        let upstream = tried.upstream.clone();
        active.relayed = Some((attempt, status));
        push(cx.tx, Effect::Relay(id, attempt));
        let reply = if status >= SERVER_ERROR {
            Reply::Failure
        } else {
            Reply::Success(latency)
        };
        let class = active.class_name.clone();
        if let Some(picker) = self.pickers.get_mut(&active.request.service) {
            picker.record_reply(cx.now, &upstream, reply, load);
            if status < SERVER_ERROR {
                picker.record_service_time(cx.now, &upstream, &class, latency);
            }
        }
        self.cancel_others(id, attempt, cx);
    }

    pub(super) fn ended(
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
            && let Some(tried) = active.tried.iter().find(|t| t.number == attempt)
        {
            picker.record_response_bytes(&active.class_name, bytes);
            picker.record_progress(cx.now, &tried.upstream, load);
            picker.record_end(&tried.upstream);
        }
        finish_allowance(&active, cx);
        settle(&active, SettleKind::Finished, status, cx);
        push(cx.tx, Effect::Forget(id));
    }

    pub(super) fn broken(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        load: Option<Load>,
        cx: &mut Cx<'_>,
    ) {
        let closed = self.close(id, attempt, Fate::InDoubt, Reply::Failure, load, cx);
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
            return self.give_up(id, Reason::Broken.into(), cx);
        }
        if cx.now + DEADLINE_SLACK >= active.deadline {
            return self.end_unless_open(id, Reason::Deadline.into(), cx);
        }
        let repeatable = active.class.idempotent && active.request.body_buffered;
        if repeatable && !active.has_open() && !self.isolates {
            self.retry(id, Reason::Broken.into(), cx);
        } else if repeatable && !active.has_open() {
            self.repeat_alone(id, &upstream, cx);
        } else {
            self.end_unless_open(id, Reason::Broken.into(), cx);
        }
    }

    /// Repeats a request that may have crashed its upstream, at the upstream
    /// to which the gates confine it too. The one retry that the entry kept is
    /// spent then, so a second break ends it.
    fn repeat_alone(&mut self, id: RequestId, broken: &UpstreamId, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let service = active.request.service.clone();
        let fingerprint = active.request.fingerprint;
        let only = self.refresh(&service, cx).and_then(|picker| {
            let names = picker.upstreams().filter(|name| *name != broken);
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
        let tried = active.tried.iter().any(|t| t.upstream == only_at);
        let redirected = active.only_at.as_deref() == Some(only_at);
        if only_at.is_empty() || tried || redirected || active.tried.len() >= MAX_ATTEMPTS {
            return self.end_unless_open(id, Reason::Suspected.into(), cx);
        }
        active.only_at = Some(only_at.into());
        active.suspected = true;
        if !active.has_open() {
            self.attempt(id, Purpose::Redirect, Reason::Suspected.into(), cx);
        }
    }

    fn refused_as_convicted(&mut self, id: RequestId, cx: &mut Cx<'_>) {
        let room = self.convicted.len() < MAX_CONVICTED;
        if let Some(active) = self.active.get(&id).filter(|_| room) {
            let until = cx.now + verdict_ttl(Verdict::Convicted);
            self.convicted.insert(active.request.fingerprint, until);
        }
        self.end_unless_open(id, Reason::Convicted.into(), cx);
    }

    fn after_not_run(
        &mut self,
        id: RequestId,
        reason: RefuseReason,
        earliest: Duration,
        cx: &mut Cx<'_>,
    ) {
        let give_up = GiveUp {
            earliest,
            ..reason_of(reason).into()
        };
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let sent_once = !active.class.idempotent
            && active.claim == ClaimState::Unneeded
            && active.request.route_key.is_none();
        if sent_once {
            return self.end_unless_open(id, give_up, cx);
        }
        self.retry(id, give_up, cx);
    }

    /// Makes another attempt if the budgets allow one, else gives up.
    fn retry(&mut self, id: RequestId, give_up: GiveUp, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if active.has_open() {
            return;
        }
        let repicks = active.count(Fate::NotRun);
        let free = active.arrivals() == 0 && repicks <= self.repicks && self.repicks > 0;
        if free {
            return self.attempt(id, Purpose::Repick, give_up, cx);
        }
        let most = MAX_ATTEMPTS + self.repicks;
        let spent = active.arrivals() >= active.max_arrivals || active.tried.len() >= most;
        if active.retry_budget == 0 || spent {
            return self.give_up(id, give_up, cx);
        }
        self.attempt(id, Purpose::Retry, give_up, cx);
    }

    pub(super) fn end_unless_open(&mut self, id: RequestId, give_up: GiveUp, cx: &mut Cx<'_>) {
        if self.active.get(&id).is_some_and(|a| !a.has_open()) {
            self.give_up(id, give_up, cx);
        }
    }

    /// Closes an open attempt; returns its upstream. An attempt that is not
    /// open is none of this request's any more, and one that answers has run,
    /// whatever is said of it later.
    fn close(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        fate: Fate,
        reply: Reply,
        load: Option<Load>,
        cx: &mut Cx<'_>,
    ) -> Option<UpstreamId> {
        let active = self.active.get_mut(&id)?;
        let answers = active
            .relayed
            .is_some_and(|(relayed, _)| relayed == attempt);
        if answers && fate != Fate::InDoubt {
            return None;
        }
        let tried = active.open(attempt)?;
        tried.fate = fate;
        let upstream = tried.upstream.clone();
        let refund = std::mem::take(&mut tried.handed);
        if fate == Fate::NotRun {
            active.retry_budget += refund;
        }
        if let Some(picker) = self.pickers.get_mut(&active.request.service) {
            picker.record_reply(cx.now, &upstream, reply, load);
            picker.record_end(&upstream);
        }
        Some(upstream)
    }

    fn cancel_others(&mut self, id: RequestId, winner: AttemptId, cx: &mut Cx<'_>) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let picker = self.pickers.get_mut(&active.request.service);
        let losers = active
            .tried
            .iter_mut()
            .filter(|t| t.fate == Fate::Open && t.number != winner);
        let mut upstreams = Vec::new();
        for tried in losers {
            tried.fate = Fate::InDoubt;
            push(cx.tx, Effect::Cancel(id, tried.number));
            upstreams.push(tried.upstream.clone());
        }
        if let Some(picker) = picker {
            upstreams.iter().for_each(|name| picker.record_end(name));
        }
    }
}
