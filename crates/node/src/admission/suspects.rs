//! Requests that may crash upstreams: the verdicts known here, and which
//! upstream may run each request.

use crate::context::Cx;
use crate::millis::millis;
use crate::verdict::verdict_ttl;
use fleet::{ServiceView, Upstream, is_excluded, is_shared};
use pick::rendezvous;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{DataCentreId, Fingerprint, RefuseReason, Rollout, SuspectState, UpstreamId, Verdict};

/// Maximum number of requests with a recorded verdict.
const MAX_RECORDS: usize = 10_000;
#[derive(Clone, Debug)]
struct SuspectRecord {
    convicted: bool,
    only_at: UpstreamId,
    expires_at: Duration,
}

/// How a request may run, as far as crashes are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// It may run without restriction.
    Unrestricted,
    /// It may run here, exclusively.
    Exclusive,
    /// It may run exclusively, at this other upstream.
    Elsewhere(UpstreamId),
}

/// Verdicts on requests that were in flight at a crash.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    records: BTreeMap<Fingerprint, SuspectRecord>,
}

impl Suspects {
    /// Applies a verdict from another gate or from the control plane.
    pub(super) fn apply(&mut self, now: Duration, state: &SuspectState) {
        let verdict = state.verdict();
        let fingerprint = state.fingerprint;
        let known = self.records.get(&fingerprint);
        if known.is_some_and(|s| s.convicted && s.expires_at > now) {
            return;
        }
        if verdict == Verdict::Acquitted {
            self.records.remove(&fingerprint);
        }
        if !matches!(verdict, Verdict::Suspected | Verdict::Convicted) {
            return;
        }
        self.evict_if_full(now);
        let ttl = Duration::from_millis(state.expires_ms).min(verdict_ttl(verdict));
        let record = SuspectRecord {
            convicted: verdict == Verdict::Convicted,
            only_at: state.only_at.as_str().into(),
            expires_at: now + ttl,
        };
        self.records.insert(fingerprint, record);
    }

    /// Returns how a request may run at the upstream `name`, given the
    /// upstreams that accept work.
    ///
    /// # Errors
    ///
    /// Returns [`RefuseReason::Convicted`] if it may not run at all.
    pub(super) fn permit(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
        name: &str,
        eligible: &[UpstreamId],
    ) -> Result<Permit, RefuseReason> {
        let record = self
            .records
            .get(&fingerprint)
            .filter(|s| s.expires_at > now);
        let Some(record) = record else {
            return Ok(Permit::Unrestricted);
        };
        if record.convicted {
            return Err(RefuseReason::Convicted);
        }
        let only_at = resolve_assignment(fingerprint, &record.only_at, eligible);
        Ok(if only_at == name {
            Permit::Exclusive
        } else {
            Permit::Elsewhere(only_at)
        })
    }

    /// Drops expired records.
    pub(super) fn tick(&mut self, now: Duration) {
        self.records.retain(|_, s| s.expires_at > now);
    }

    fn evict_if_full(&mut self, now: Duration) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, s| s.expires_at > now);
        let first = self.records.iter().min_by_key(|(_, s)| s.expires_at);
        if let Some(fingerprint) = first.map(|(f, _)| *f)
            && self.records.len() >= MAX_RECORDS
        {
            self.records.remove(&fingerprint);
        }
    }
}

/// Returns a verdict as it is sent to other daemons.
pub(super) fn suspect_state(
    fingerprint: Fingerprint,
    verdict: Verdict,
    only_at: &str,
) -> SuspectState {
    SuspectState {
        fingerprint,
        verdict: verdict.into(),
        only_at: only_at.into(),
        expires_ms: millis(verdict_ttl(verdict)),
        ..SuspectState::default()
    }
}

/// Returns the upstreams of a service that accept work.
pub(super) fn eligible_upstreams(service: &str, cx: &mut Cx<'_>) -> Vec<UpstreamId> {
    let rollout = cx.agent.rollout(service).cloned();
    let Some(view) = cx.agent.service(service) else {
        return Vec::new();
    };
    let accepting = view.upstreams.iter().filter(|(_, u)| !u.leaving);
    let allowed = accepting.filter(|(_, u)| takes_suspects(rollout.as_ref(), u, view));
    let mut names: Vec<(UpstreamId, DataCentreId)> = allowed
        .map(|(name, u)| (name.clone(), u.data_centre.clone()))
        .collect();
    names.retain(|(name, data_centre)| !cx.agent.is_out(name, data_centre));
    names.into_iter().map(|(name, _)| name).collect()
}

/// Returns whether the rollout of the service allows an upstream to run suspected
/// requests. The new version gets none while its share is limited, because a suspected
/// request may go to one upstream only.
fn takes_suspects(rollout: Option<&Rollout>, upstream: &Upstream, view: &ServiceView) -> bool {
    rollout.is_none_or(|r| {
        let is_new = is_shared(r) && upstream.version == r.version;
        !is_new && !is_excluded(r, &upstream.version, Some(view))
    })
}

/// Chooses the only upstream that may run a suspected request: another than the
/// crashed one if there is one.
pub(super) fn assign_upstream(
    fingerprint: Fingerprint,
    crashed: &UpstreamId,
    eligible: &[UpstreamId],
) -> UpstreamId {
    let others = eligible.iter().filter(|name| *name != crashed);
    rendezvous(fingerprint, others).unwrap_or(crashed).clone()
}

/// Returns the assigned upstream, or a replacement if that one accepts no work
/// now.
fn resolve_assignment(
    fingerprint: Fingerprint,
    only_at: &UpstreamId,
    eligible: &[UpstreamId],
) -> UpstreamId {
    if eligible.contains(only_at) {
        return only_at.clone();
    }
    rendezvous(fingerprint, eligible.iter())
        .unwrap_or(only_at)
        .clone()
}
