//! Crashes of the upstream: who is suspected, convicted, acquitted.

use super::Admission;
use super::jobs::Job;
use super::suspects::{CRASH_WINDOW, confine, eligible, state};
use crate::agent::Requester;
use crate::context::Cx;
use crate::effect::Effect;
use std::time::Duration;
use wire::{Body, Fingerprint, LinkKind, Suspect, SuspectState, Verdict, control_request};

impl Admission {
    /// The connection of a request broke that nobody had cancelled.
    pub(super) fn broke(&mut self, job: &Job, cx: &mut Cx<'_>) {
        if !self.isolates {
            return;
        }
        self.broke_at = Some(cx.now);
        if job.alone {
            return self.convict(job.arrival.fingerprint, cx);
        }
        let last = !self.jobs.any_wanted();
        let fingerprint = job.arrival.fingerprint;
        let suspects = self.suspects.broke(cx.now, fingerprint, last);
        self.suspect_all(&suspects, cx);
    }

    /// Returns whether a connection broke so lately that the upstream may be
    /// going down. What is handed to it now may break too, by no fault of its
    /// own: it comes over a pooled connection, or waits in the listener's queue.
    pub(super) fn may_be_crashing(&self, now: Duration) -> bool {
        let since = self.broke_at.map(|at| now.saturating_sub(at));
        since.is_some_and(|since| since < CRASH_WINDOW)
    }

    /// The upstream refused a connection: what broke just before, crashed it.
    pub(super) fn unreachable(&mut self, cx: &mut Cx<'_>) {
        let suspects = self.suspects.crashed(cx.now);
        self.suspect_all(&suspects, cx);
    }

    /// The upstream has started again with these requests in flight.
    pub(super) fn started_again(&mut self, lost: Vec<Job>, cx: &mut Cx<'_>) {
        let mut suspects = self.suspects.crashed(cx.now);
        for job in lost {
            if job.alone {
                self.convict(job.arrival.fingerprint, cx);
            } else {
                suspects.push(job.arrival.fingerprint);
            }
        }
        self.suspect_all(&suspects, cx);
    }

    /// A request ran alone without a crash.
    pub(super) fn acquit(&mut self, fingerprint: Fingerprint, cx: &mut Cx<'_>) {
        let acquitted = state(fingerprint, Verdict::Acquitted, "");
        self.spread(vec![acquitted], cx);
    }

    /// The upstream that alone may run a suspect is down: hands the suspect on
    /// to another. Only the gate that may run it does so, and it no longer may
    /// once it has, so that the suspect still runs at one upstream at a time.
    pub(super) fn confine_elsewhere(&mut self, fingerprint: Fingerprint, cx: &mut Cx<'_>) {
        self.suspect_all(&[fingerprint], cx);
    }

    fn suspect_all(&mut self, fingerprints: &[Fingerprint], cx: &mut Cx<'_>) {
        if fingerprints.is_empty() || !self.isolates {
            return;
        }
        let name = cx.agent.name.clone();
        let eligible = eligible(&self.service(), cx);
        let states = fingerprints
            .iter()
            .map(|fingerprint| {
                let only_at = confine(*fingerprint, &name, &eligible);
                state(*fingerprint, Verdict::Suspected, &only_at)
            })
            .collect();
        self.spread(states, cx);
    }

    fn convict(&mut self, fingerprint: Fingerprint, cx: &mut Cx<'_>) {
        let convicted = state(fingerprint, Verdict::Convicted, "");
        let suspect = Suspect {
            service: self.service().into(),
            states: vec![convicted.clone()],
        };
        self.spread(vec![convicted], cx);
        let kind = control_request::Kind::Suspect(suspect);
        cx.agent.request(cx.now, Requester::Detached, kind, cx.tx);
    }

    /// Tells the other gates of the service, and remembers.
    fn spread(&mut self, states: Vec<SuspectState>, cx: &mut Cx<'_>) {
        for state in &states {
            self.suspects.learn(cx.now, state);
        }
        let service = self.service();
        let suspect = Suspect {
            service: service.to_string(),
            states,
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
