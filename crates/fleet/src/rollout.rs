//! Rules of a rollout that entries and gates apply: the versions that it excludes, and
//! whether requests are shared between versions.

use crate::view::ServiceView;
use std::time::Duration;
use wire::{Rollout, RolloutStage};

/// Time without a confirmation by control after which a daemon sends nothing to the
/// version that a rollout moves to: the rollout may have been rolled back.
pub const ROLLOUT_CONFIRMATION: Duration = Duration::from_millis(1_500);

/// Returns whether the requests of the service are shared between the version that the
/// rollout moves to and the others.
#[must_use]
pub fn is_shared(rollout: &Rollout) -> bool {
    matches!(rollout.stage(), RolloutStage::Canary | RolloutStage::Ramp)
}

/// Returns whether the rollout can still change: it is neither complete nor rolled back.
#[must_use]
pub fn is_unfinished(rollout: &Rollout) -> bool {
    is_shared(rollout) || rollout.stage() == RolloutStage::Switched
}

/// Returns whether upstreams of a version get no requests. `view` is the view of the
/// service, if it is known.
///
/// Once the rollout is complete, the replaced versions are excluded only while there is
/// an upstream of the new one. If the view is not known, they are excluded, because the
/// platform may stop them at any time.
#[must_use]
pub fn is_excluded(rollout: &Rollout, version: &str, view: Option<&ServiceView>) -> bool {
    if rollout.rejected_versions.iter().any(|v| v == version) {
        return true;
    }
    let replaced = || rollout.replaced_versions.iter().any(|v| v == version);
    match rollout.stage() {
        RolloutStage::Unknown | RolloutStage::Canary | RolloutStage::Ramp => false,
        RolloutStage::Switched => replaced(),
        RolloutStage::Complete => replaced() && view.is_none_or(|v| has_version(v, rollout)),
        RolloutStage::RolledBack => version == rollout.version,
    }
}

/// Returns whether an upstream of the version that the rollout moves to is staying in
/// the fleet.
fn has_version(view: &ServiceView, rollout: &Rollout) -> bool {
    let mut staying = view.upstreams.values().filter(|u| !u.leaving);
    staying.any(|u| u.version == rollout.version)
}
