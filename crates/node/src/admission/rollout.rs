//! Rollouts at the gate: refuses requests when the version of the upstream is excluded,
//! and keeps the evidence about it.

use super::jobs::{Job, Stage};
use super::{Admission, EvidenceRun, UpstreamState};
use crate::context::Cx;
use fleet::is_unfinished;
use gate::{Outcome, Ticket};
use std::time::Duration;
use wire::{RefuseReason, VersionEvidence};

/// Time before the deadline from which on a cancellation by the entry counts as the
/// deadline. The deadline passes earlier at the entry, by the network delay and a tick.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);

impl Admission {
    /// Returns the number of requests in progress at the upstream, queued ones included.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        u32::try_from(self.jobs.len()).unwrap_or(u32::MAX)
    }

    /// Returns the responses of the upstream during the current rollout of its service.
    #[must_use]
    pub fn evidence(&self) -> Option<VersionEvidence> {
        self.evidence.to_wire()
    }

    /// Returns whether a rollout excludes the version of the upstream.
    pub(super) fn is_version_excluded(&self, cx: &Cx<'_>) -> bool {
        let announced = self.gate.announced();
        announced.is_some_and(|a| cx.agent.is_version_excluded(&a.service, &a.version))
    }

    /// Applies the current rollout of the upstream's service. If it excludes the version
    /// of the upstream, queued requests are refused, so that their entries send them
    /// elsewhere.
    pub fn review_rollout(&mut self, cx: &mut Cx<'_>) {
        let Some(announced) = self.gate.announced() else {
            return;
        };
        let rollout = cx.agent.rollout(&announced.service);
        let rollout = rollout.filter(|r| is_unfinished(r));
        self.evidence.update(rollout, &announced.version);
        if self.is_version_excluded(cx) {
            self.refuse_waiting(RefuseReason::Out, |_| true, cx);
        }
    }

    /// Begins the evidence of a request that is sent to the upstream.
    pub(super) fn begin_run(&self, now: Duration) -> EvidenceRun {
        EvidenceRun::new(self.upstream_state(now))
    }

    /// Records the head of the response to a request.
    pub(super) fn record_run_response(&mut self, ticket: Ticket, now: Duration) {
        let state = self.upstream_state(now);
        let job = self.jobs.get_mut(ticket);
        if let Some(run) = job.and_then(|job| job.run.as_mut()) {
            run.record_response(state);
        }
    }

    /// Records the end of a request. A cancelled request is no evidence, because the
    /// cancellation may have cut off its response.
    pub(super) fn record_run_end(&mut self, job: &Job, outcome: Outcome, now: Duration) {
        if let (Stage::Running, Some(run)) = (job.stage, &job.run) {
            let state = self.upstream_state(now);
            self.evidence
                .record_end(&job.arrival.class, run, outcome, state);
        }
    }

    /// Records that a running request is cancelled. It is evidence only if its deadline
    /// has passed.
    pub(super) fn record_run_cancelled(&mut self, ticket: Ticket, now: Duration) {
        let state = self.upstream_state(now);
        let Some(job) = self.jobs.get_mut(ticket) else {
            return;
        };
        if let (Stage::Running, Some(run)) = (job.stage, &job.run)
            && now + DEADLINE_SLACK >= job.deadline
        {
            self.evidence.record_timeout(&job.arrival.class, run, state);
        }
    }

    fn upstream_state(&self, now: Duration) -> UpstreamState {
        UpstreamState {
            at: now,
            slow_percent: self.gate.load().slow_percent,
            cold: self.gate.is_stated_cold(now),
        }
    }
}
