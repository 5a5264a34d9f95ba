//! Selects the versions of a service to which an attempt may go during a rollout, and
//! counts attempts by version.

use super::Entry;
use super::request::{ActiveRequest, AttemptState, SentAttempt};
use crate::context::Cx;
use compact_str::CompactString;
use fleet::{ROLLOUT_CONFIRMATION, ServiceView, is_shared};
use pick::VersionShare;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Rollout, ServiceId, UpstreamId};

/// Maximum number of versions, of all services, that are counted separately.
const MAX_VERSIONS: usize = 64;
/// Age of the daemon from which on its view is taken to list every upstream. A leader that
/// was elected when the daemon started may not know all of them before.
const MIN_VIEW_AGE: Duration = Duration::from_secs(5);
/// Name under which further versions are counted together.
const OTHER: &str = "other";

/// Service and version.
pub type VersionKey = (ServiceId, CompactString);

/// Attempts at the upstreams of a version since the start of the daemon, as far as their
/// service had a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCount {
    /// Attempts, including those that were not run.
    pub attempts: u64,
    /// Attempts that were not run.
    pub not_run: u64,
    /// Responses other than server errors.
    pub responses: u64,
    /// Server errors.
    pub errors: u64,
}

/// The shares of the services with a rollout, and counts by version.
#[derive(Debug, Default)]
pub(super) struct Versions {
    shares: BTreeMap<ServiceId, VersionShare>,
    counts: BTreeMap<VersionKey, VersionCount>,
}

/// The rollout during which an attempt is made.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptVersion {
    /// Number of the rollout, or 0.
    rollout: u64,
    version: CompactString,
    /// Whether the attempt was counted against the share of the new version.
    charged: bool,
}

/// Alternatives for an attempt in order of preference, each given as the upstreams that it
/// leaves out. The first alternative with an upstream that has room is used.
pub(super) type Choices = Vec<Vec<UpstreamId>>;

impl Versions {
    /// Updates the share of the new version from the rollout and the view of a service.
    pub(super) fn update(
        &mut self,
        service: &str,
        rollout: Option<&Rollout>,
        view: Option<&ServiceView>,
    ) {
        let Some(rollout) = rollout.filter(|r| is_shared(r)) else {
            self.shares.remove(service);
            return;
        };
        let mut upstreams = view.iter().flat_map(|view| view.upstreams.values());
        let others = upstreams.any(|u| u.version != rollout.version);
        let share = self.shares.entry(service.into()).or_default();
        share.update(rollout.id, others);
    }

    /// Records an attempt at an upstream of a version.
    fn record_sent(
        &mut self,
        service: &ServiceId,
        rollout: &Rollout,
        version: &CompactString,
    ) -> AttemptVersion {
        self.count(service, version, |c| c.attempts += 1);
        let is_new = is_shared(rollout) && *version == rollout.version;
        let share = self.shares.get_mut(service);
        AttemptVersion {
            rollout: rollout.id,
            version: version.clone(),
            charged: is_new && share.is_some_and(|s| s.charge(rollout.share_ppm)),
        }
    }

    fn count(
        &mut self,
        service: &ServiceId,
        version: &CompactString,
        f: impl FnOnce(&mut VersionCount),
    ) {
        let mut key = (service.clone(), version.clone());
        if self.counts.len() >= MAX_VERSIONS && !self.counts.contains_key(&key) {
            key = (OTHER.into(), OTHER.into());
        }
        f(self.counts.entry(key).or_default());
    }
}

impl Entry {
    /// Returns counts of attempts, by service and version.
    #[must_use]
    pub fn version_counts(&self) -> &BTreeMap<VersionKey, VersionCount> {
        &self.versions.counts
    }

    /// Returns the alternatives for the next attempt of a request. Without a rollout there
    /// is one, which leaves out no upstream.
    pub(super) fn version_choices(&self, active: &ActiveRequest, cx: &Cx<'_>) -> Choices {
        let service = &active.request.service;
        let any = vec![Vec::new()];
        let Some(share) = self.versions.shares.get(service) else {
            return any;
        };
        if !share.is_shared() && cx.agent.age(cx.now) >= MIN_VIEW_AGE {
            return any;
        }
        let rollout = cx.agent.rollout(service).filter(|r| is_shared(r));
        let (Some(rollout), Some(view)) = (rollout, cx.agent.known_service(service)) else {
            return any;
        };
        let (new, others) = by_version(view, &rollout.version);
        let age = cx.agent.freshness_age(cx.now);
        let confirmed = age.is_some_and(|age| age < ROLLOUT_CONFIRMATION);
        if !confirmed || !share.allows(rollout.share_ppm) {
            return vec![new];
        }
        // After a refusal by the new version the old one is preferred, because a request may
        // be refused and sent again only a limited number of times.
        let refused =
            |t: &SentAttempt| t.state == AttemptState::NotRun && new.contains(&t.upstream);
        match active.attempts.iter().any(refused) {
            true => vec![new, others],
            false => vec![others, new],
        }
    }

    /// Returns the upstreams of the new version while its share is limited.
    pub(super) fn limited_upstreams(&self, service: &str, cx: &Cx<'_>) -> Vec<UpstreamId> {
        let rollout = cx.agent.rollout(service).filter(|r| is_shared(r));
        match (rollout, cx.agent.known_service(service)) {
            (Some(rollout), Some(view)) => by_version(view, &rollout.version).0,
            _ => Vec::new(),
        }
    }

    /// Updates the share of the new version of a service. Called before an upstream is
    /// chosen.
    pub(super) fn update_versions(&mut self, service: &str, cx: &Cx<'_>) {
        let rollout = cx.agent.rollout(service);
        let view = cx.agent.known_service(service);
        self.versions.update(service, rollout, view);
    }

    /// Records an attempt at an upstream of this version.
    pub(super) fn record_version_sent(
        &mut self,
        service: &ServiceId,
        version: &CompactString,
        cx: &Cx<'_>,
    ) -> AttemptVersion {
        let Some(rollout) = cx.agent.rollout(service) else {
            return AttemptVersion::default();
        };
        self.versions.record_sent(service, rollout, version)
    }

    /// Records that an upstream responded to an attempt.
    pub(super) fn record_version_response(
        &mut self,
        service: &ServiceId,
        attempt: &AttemptVersion,
        is_error: bool,
        cx: &Cx<'_>,
    ) {
        let Some(rollout) = cx.agent.rollout(service) else {
            return;
        };
        if attempt.rollout == 0 {
            return;
        }
        self.versions
            .count(service, &attempt.version, |c| match is_error {
                true => c.errors += 1,
                false => c.responses += 1,
            });
        if let Some(share) = self.versions.shares.get_mut(service) {
            share.record_response(attempt.rollout, rollout.share_ppm);
        }
    }

    /// Records that an attempt was not run.
    pub(super) fn record_version_not_run(&mut self, service: &ServiceId, attempt: &AttemptVersion) {
        if attempt.rollout == 0 {
            return;
        }
        self.versions
            .count(service, &attempt.version, |c| c.not_run += 1);
        let share = self.versions.shares.get_mut(service);
        if let Some(share) = share.filter(|_| attempt.charged) {
            share.refund(attempt.rollout);
        }
    }
}

/// Returns the upstreams of a version, and those of all others.
fn by_version(view: &ServiceView, version: &str) -> (Vec<UpstreamId>, Vec<UpstreamId>) {
    let names = view.upstreams.iter();
    let (new, others): (Vec<_>, Vec<_>) = names.partition(|(_, u)| u.version == version);
    let names = |upstreams: Vec<(&UpstreamId, &fleet::Upstream)>| {
        let names = upstreams.into_iter().map(|(name, _)| name.clone());
        names.collect()
    };
    (names(new), names(others))
}
