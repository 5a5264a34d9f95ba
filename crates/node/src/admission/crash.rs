//! Crashes of the upstream: which requests are suspected, convicted and
//! acquitted.
//!
//! A request in flight at a crash is suspected: it may run only exclusively, at
//! one assigned upstream. If that upstream crashes too, the request is
//! convicted and refused everywhere; if it completes, the request is acquitted.
//!
//! Where suspected requests are not isolated, a gate counts the crashes at which each
//! request was in flight and reports the counts to the control leader. A crash is a new
//! start, or refused connections for so long that the upstream has ended for certain. The
//! leader convicts a request by the sum over all gates. Any gate at which the request has run
//! to its end since the first of these crashes has it acquitted.

use super::Admission;
use super::breaks::{CRASH_WINDOW, LostRequest};
use super::jobs::Job;
use super::suspects::{assign_upstream, eligible_upstreams, suspect_state};
use crate::agent::Requester;
use crate::context::Cx;
use crate::effect::{Effect, LogLine};
use std::collections::BTreeSet;
use std::time::Duration;
use wire::{Body, Fingerprint, LinkKind, Suspect, SuspectState, Verdict, control_request};

/// Minimum time between two heartbeats that are sent because the upstream may have ended.
const UNCONFIRMED_REPORT_INTERVAL: Duration = Duration::from_millis(250);

impl Admission {
    /// Handles the broken connection of a request that was not cancelled.
    pub(super) fn connection_broken(&mut self, job: &Job, cx: &mut Cx<'_>) {
        if !self.isolate_suspects {
            return self.breaks.record(cx.now, job.lost());
        }
        self.last_break_at = Some(cx.now);
        if job.exclusive {
            return self.convict(job.arrival.fingerprint, cx);
        }
        self.breaks.record(cx.now, job.lost());
        if !self.jobs.any_uncancelled() {
            let suspects = self.breaks.take_recent(cx.now);
            self.suspect(&suspects, cx);
        }
    }

    /// Handles the end of the connection of a cancelled request.
    pub(super) fn cancelled_request_ended(&mut self, job: &Job, cx: &Cx<'_>) {
        self.breaks
            .record_cancelled(cx.now, job.lost(), job.deadline);
    }

    /// Returns whether a connection broke so recently that the upstream may be
    /// crashing. A request dispatched now may break through no fault of its
    /// own, because it uses a pooled connection or waits in the listener's
    /// accept queue.
    pub(super) fn may_be_crashing(&self, now: Duration) -> bool {
        let since = self.last_break_at.map(|at| now.saturating_sub(at));
        since.is_some_and(|since| since < CRASH_WINDOW)
    }

    /// Handles a refused connection: the requests that broke just before may
    /// have crashed the upstream. Where crashes are counted, it must have ended for
    /// certain.
    pub(super) fn connection_refused(&mut self, cx: &mut Cx<'_>) {
        let suspects = match self.isolate_suspects {
            true => self.breaks.take_recent(cx.now),
            false => self.breaks.record_refusal(cx.now),
        };
        self.record_crash(suspects, cx);
        self.report_unconfirmed(cx);
    }

    /// Returns the requests that the upstream may have ended with, for the next heartbeat.
    /// Should this daemon end before it is certain, control can tell.
    #[must_use]
    pub fn unconfirmed_crashes(&self, now: Duration) -> Vec<SuspectState> {
        let in_flight = self.breaks.unconfirmed();
        self.crash_counts.states_after_crash(now, &in_flight)
    }

    /// Has a heartbeat sent soon if the upstream may have ended.
    fn report_unconfirmed(&mut self, cx: &mut Cx<'_>) {
        let reported = self.unconfirmed_reported_at;
        let is_due = reported.is_none_or(|at| cx.now >= at + UNCONFIRMED_REPORT_INTERVAL);
        if is_due && !self.breaks.unconfirmed().is_empty() {
            self.unconfirmed_reported_at = Some(cx.now);
            cx.agent.send_heartbeat_soon();
        }
    }

    /// Handles a sign of life of the upstream, which has not ended then.
    pub(super) fn record_sign_of_life(&mut self, cx: &Cx<'_>) {
        if !self.isolate_suspects {
            self.breaks.record_sign_of_life(cx.now);
        }
    }

    /// Handles a restart of the upstream that lost these requests in flight.
    pub(super) fn upstream_restarted(&mut self, lost: Vec<Job>, cx: &mut Cx<'_>) {
        let mut suspects = self.breaks.take_at_restart(cx.now);
        suspects.extend(lost.iter().map(Job::lost));
        self.record_crash(suspects, cx);
    }

    /// Handles a crash of the upstream with these requests in flight.
    fn record_crash(&mut self, in_flight: Vec<LostRequest>, cx: &mut Cx<'_>) {
        if in_flight.is_empty() {
            return;
        }
        let fingerprints = distinct(&in_flight);
        log_crash(&fingerprints, cx);
        if self.isolate_suspects {
            self.suspect(&in_flight, cx);
        } else {
            let states = self.crash_counts.record_crash(cx.now, &fingerprints);
            self.report(states, cx);
        }
    }

    /// Convicts those requests that ran exclusively, and suspects the others.
    fn suspect(&mut self, in_flight: &[LostRequest], cx: &mut Cx<'_>) {
        let (exclusive, others): (Vec<LostRequest>, Vec<LostRequest>) =
            in_flight.iter().partition(|lost| lost.exclusive);
        for fingerprint in distinct(&exclusive) {
            self.convict(fingerprint, cx);
        }
        self.mark_suspected(&distinct(&others), cx);
    }

    /// Records that a request ran to its end, which clears it of crashes before.
    pub(super) fn record_completion(&mut self, fingerprint: Fingerprint, cx: &mut Cx<'_>) {
        if self.isolate_suspects {
            return;
        }
        self.completions.record(cx.now, fingerprint);
        if self.crash_counts.remove(fingerprint) {
            self.report(vec![suspect_state(fingerprint, Verdict::Acquitted, "")], cx);
        }
    }

    /// Compares the leader's verdicts, which a heartbeat reply brought, with what ran
    /// here. A new leader gets all counts.
    pub fn review_crash_counts(&mut self, cx: &mut Cx<'_>) {
        for fingerprint in cx.agent.acquitted() {
            self.crash_counts.remove(*fingerprint);
        }
        let suspects = cx.agent.counted_suspects().iter();
        let refuted =
            suspects.filter(|s| self.completions.any_since(s.fingerprint, s.first_crash_at));
        let mut states: Vec<SuspectState> = refuted
            .map(|s| suspect_state(s.fingerprint, Verdict::Acquitted, ""))
            .collect();
        if self.counts_reported_in != cx.agent.term() {
            self.counts_reported_in = cx.agent.term();
            states.extend(self.crash_counts.states(cx.now));
        }
        self.report(states, cx);
    }

    /// Reports states to the control leader.
    fn report(&self, states: Vec<SuspectState>, cx: &mut Cx<'_>) {
        if states.is_empty() {
            return;
        }
        let suspect = Suspect {
            service: self.service().into(),
            states,
            daemon: cx.agent.name.to_string(),
            incarnation: cx.agent.incarnation(),
        };
        let kind = control_request::Kind::Suspect(suspect);
        cx.agent.request(cx.now, Requester::Detached, kind, cx.tx);
    }

    /// Acquits a request that ran exclusively without a crash.
    pub(super) fn acquit(&mut self, fingerprint: Fingerprint, cx: &mut Cx<'_>) {
        let acquitted = suspect_state(fingerprint, Verdict::Acquitted, "");
        self.broadcast(vec![acquitted], cx);
    }

    /// Reassigns a suspected request because its assigned upstream is down.
    /// Only the gate of that upstream does so, which ends its own permit, so
    /// the request still runs at one upstream at a time.
    pub(super) fn reassign(&mut self, fingerprint: Fingerprint, cx: &mut Cx<'_>) {
        self.mark_suspected(&[fingerprint], cx);
    }

    fn mark_suspected(&mut self, fingerprints: &[Fingerprint], cx: &mut Cx<'_>) {
        if fingerprints.is_empty() {
            return;
        }
        let name = cx.agent.name.clone();
        let eligible = eligible_upstreams(&self.service(), cx);
        let states = fingerprints
            .iter()
            .map(|fingerprint| {
                let only_at = assign_upstream(*fingerprint, &name, &eligible);
                suspect_state(*fingerprint, Verdict::Suspected, &only_at)
            })
            .collect();
        self.broadcast(states, cx);
    }

    fn convict(&mut self, fingerprint: Fingerprint, cx: &mut Cx<'_>) {
        let convicted = suspect_state(fingerprint, Verdict::Convicted, "");
        self.broadcast(vec![convicted.clone()], cx);
        self.report(vec![convicted], cx);
    }

    /// Applies verdicts here and sends them to the other gates of the service.
    fn broadcast(&mut self, states: Vec<SuspectState>, cx: &mut Cx<'_>) {
        for state in &states {
            self.suspects.apply(cx.now, state);
        }
        let service = self.service();
        let suspect = Suspect {
            service: service.to_string(),
            states,
            ..Suspect::default()
        };
        let name = cx.agent.name.clone();
        let Some(view) = cx.agent.service(&service) else {
            return;
        };
        for (_, upstream) in view.upstreams.iter().filter(|(other, _)| **other != name) {
            cx.tx.push(Effect::Send {
                address: upstream.address.clone(),
                kind: LinkKind::Data,
                body: Body::Suspect(suspect.clone()),
            });
        }
    }
}

/// Returns the fingerprints of requests, each once.
fn distinct(requests: &[LostRequest]) -> Vec<Fingerprint> {
    let fingerprints: BTreeSet<Fingerprint> = requests.iter().map(|r| r.fingerprint).collect();
    fingerprints.into_iter().collect()
}

/// Logs that the upstream ended, with the requests that were in flight.
fn log_crash(fingerprints: &[Fingerprint], cx: &mut Cx<'_>) {
    let listed: Vec<String> = fingerprints.iter().map(|f| format!("{f:016x}")).collect();
    cx.tx.push(Effect::Log(LogLine {
        level: log::Level::Warn,
        event: "upstream_crashed",
        pairs: vec![("fingerprints", listed.join(","))],
    }));
}
