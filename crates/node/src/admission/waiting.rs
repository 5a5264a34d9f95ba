//! Requests that wait at this gate, for a slot or for exclusive execution. What was checked
//! when they arrived is checked again when they are dispatched, and they are refused as soon
//! as it no longer holds.

use super::Admission;
use super::jobs::{Job, Stage};
use super::suspects::Permit;
use crate::context::Cx;
use std::time::Duration;
use wire::RefuseReason;

/// Maximum time that a request waits for exclusive execution.
const EXCLUSIVE_WAIT_TIMEOUT: Duration = Duration::from_secs(2);

impl Admission {
    /// Checks a request that may have waited, and returns how it may run.
    pub(super) fn permit_now(&self, job: &Job, cx: &mut Cx<'_>) -> Result<Permit, RefuseReason> {
        if job.deadline <= cx.now {
            return Err(RefuseReason::Deadline);
        }
        self.permit(&job.arrival, cx)
    }

    /// Refuses requests that waited for a slot too long, and dispatches the
    /// others as slots become free.
    pub(super) fn run_waiting(&mut self, cx: &mut Cx<'_>) {
        for ticket in self.gate.remove_expired(cx.now) {
            self.jobs.remove(ticket);
            self.refuse(ticket, RefuseReason::NoSlot, None, cx);
        }
        while !self.jobs.has_exclusive() {
            let Some(ticket) = self.gate.admit_queued(cx.now) else {
                return;
            };
            let Some(job) = self.jobs.remove(ticket) else {
                self.gate.withdraw(ticket);
                continue;
            };
            if self.permit_now(&job, cx) == Ok(Permit::Unrestricted) {
                self.dispatch(job, cx);
            } else {
                self.gate.withdraw(ticket);
                self.schedule(job, cx);
            }
        }
    }

    /// Dispatches the oldest request that needs exclusive execution once
    /// nothing else runs. Until then no new request is admitted; the wait is
    /// bounded by [`EXCLUSIVE_WAIT_TIMEOUT`].
    pub(super) fn run_exclusive(&mut self, cx: &mut Cx<'_>) {
        let arrived_by = cx.now.saturating_sub(EXCLUSIVE_WAIT_TIMEOUT);
        let overdue = self.jobs.select(|j| {
            j.stage == Stage::AwaitingExclusive
                && j.arrived <= arrived_by
                && cx.now >= EXCLUSIVE_WAIT_TIMEOUT
        });
        for ticket in overdue {
            self.jobs.remove(ticket);
            self.refuse(ticket, RefuseReason::NoSlot, None, cx);
        }
        if self.jobs.any_dispatched() || self.may_be_crashing(cx.now) {
            return;
        }
        let Some(ticket) = self
            .jobs
            .first_awaiting_exclusive()
            .map(|j| j.arrival.ticket)
        else {
            return;
        };
        let Some(job) = self.jobs.remove(ticket) else {
            return;
        };
        match self.permit_now(&job, cx) {
            Ok(Permit::Unrestricted | Permit::Exclusive) => self.admit(job, cx),
            Ok(Permit::Elsewhere(only_at)) => {
                self.refuse(ticket, RefuseReason::Suspect, Some(only_at), cx);
            }
            Err(reason) => self.refuse(ticket, reason, None, cx),
        }
    }

    /// Refuses the waiting requests of other services than that of the upstream, which has
    /// taken over the address of one of theirs.
    pub(super) fn refuse_waiting_of_other_services(&mut self, cx: &mut Cx<'_>) {
        let service = self.service();
        let is_of_other = |job: &Job| job.arrival.service != service;
        self.refuse_waiting(RefuseReason::NoUpstream, is_of_other, cx);
    }

    /// Refuses the waiting requests that match a predicate, so that their entries send them
    /// elsewhere.
    pub(super) fn refuse_waiting(
        &mut self,
        reason: RefuseReason,
        matches: impl Fn(&Job) -> bool,
        cx: &mut Cx<'_>,
    ) {
        let is_waiting = |job: &Job| matches!(job.stage, Stage::Waiting | Stage::AwaitingExclusive);
        for ticket in self.jobs.select(|job| is_waiting(job) && matches(job)) {
            self.gate.withdraw(ticket);
            self.jobs.remove(ticket);
            self.refuse(ticket, reason, None, cx);
        }
    }
}
