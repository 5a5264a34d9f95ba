//! Schedule of a rollout whose new version is not known to be bad.
//!
//! The canary stage takes all of the duration except for a reserve, in which the share
//! is raised, the traffic is switched and the old upstreams become empty. Each step of
//! the ramp lasts for the same time from when it was made, so that a ramp that was
//! delayed does not skip a step.

use crate::{ALL_PPM, Bounds, Decision, Ppm, RollBackReason, RolloutView};
use wire::RolloutStage;

/// Fraction of the permitted share that is used. The rest covers retries and the
/// requests that are sent before a rollback is in force.
const USED_SHARE: f64 = 0.8;
/// Fraction of the duration that is reserved for the ramp and the switch. An operator
/// counts from when the order was first sent, which may be seconds before its commit.
const RESERVE_RATIO: f64 = 0.55;
/// Fraction of the reserve that the ramp takes; old upstreams become empty in the rest.
const RAMP_RATIO: f64 = 0.4;
/// Shares of the ramp.
const RAMP: [Ppm; 3] = [250_000, 500_000, ALL_PPM];
/// Time after the switch for which entries that still lack it are waited for. The gates of
/// the old upstreams refuse what they send.
const ENTRIES_WAIT_MS: u64 = 1_500;

/// State of the fleet, as far as it determines the schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Whether every daemon that is up has had the time to report to this leader.
    pub is_known: bool,
    /// Number of registered upstreams of the new version.
    pub new_upstreams: usize,
    /// Slots of the upstreams of the new version that are neither cold nor leaving.
    pub new_slots: u32,
    /// Slots of the registered upstreams of other versions.
    pub old_slots: u32,
    /// Whether each registered upstream of another version has no request in progress
    /// and reports a configuration that excludes it.
    pub old_empty: bool,
    /// Whether each registered daemon reports a configuration that excludes the old
    /// versions.
    pub entries_switched: bool,
}

/// Returns the share of the new version during the canary stage.
#[must_use]
pub fn canary_share(bounds: Bounds) -> Ppm {
    ppm(bounds.canary_share * USED_SHARE)
}

/// Returns the next step of a rollout whose new version is not known to be bad.
pub(crate) fn next_step(view: &RolloutView<'_>) -> Decision {
    let (rollout, fleet) = (view.rollout, view.fleet);
    let elapsed_ms = view.time_ms.saturating_sub(rollout.ordered_ms);
    if !fleet.is_known {
        return Decision::Hold;
    }
    let is_switched = rollout.stage() == RolloutStage::Switched;
    if is_switched && fleet.new_upstreams > 0 {
        return completion(view);
    }
    if fleet.new_upstreams == 0 {
        // After the switch no upstream accepts requests without the new ones.
        return match is_switched || elapsed_ms >= rollout.duration_ms {
            true => Decision::RollBack(RollBackReason::NoUpstream),
            false => Decision::Hold,
        };
    }
    if elapsed_ms < canary_ms(rollout.duration_ms) {
        return Decision::Hold;
    }
    ramp(view)
}

fn completion(view: &RolloutView<'_>) -> Decision {
    let since_switch_ms = view.time_ms.saturating_sub(view.rollout.stepped_ms);
    let entries_switched = view.fleet.entries_switched || since_switch_ms >= ENTRIES_WAIT_MS;
    match view.fleet.old_empty && entries_switched {
        true => Decision::Complete,
        false => Decision::Hold,
    }
}

/// Returns the next step of the ramp. The share never exceeds what the new upstreams
/// have slots for; the traffic is nevertheless switched in time, as long as one of
/// them is not cold.
fn ramp(view: &RolloutView<'_>) -> Decision {
    let rollout = view.rollout;
    let step_ms = scale(reserve_ms(rollout.duration_ms), RAMP_RATIO) / RAMP.len() as u64;
    let switch_ms = canary_ms(rollout.duration_ms) + step_ms * RAMP.len() as u64;
    let elapsed_ms = view.time_ms.saturating_sub(rollout.ordered_ms);
    let since_step_ms = view.time_ms.saturating_sub(rollout.stepped_ms);
    let is_ramp = rollout.stage() == RolloutStage::Ramp;
    if is_ramp && since_step_ms < step_ms {
        return Decision::Hold;
    }
    let room = room(view.fleet);
    let next = RAMP.into_iter().find(|share| *share > rollout.share_ppm);
    match next.map(|share| share.min(room)) {
        Some(share) if share > rollout.share_ppm => Decision::SetShare(share),
        None if room > 0 => Decision::Switch,
        None => Decision::Hold,
        Some(_) if elapsed_ms >= switch_ms && room > 0 => Decision::Switch,
        Some(_) => Decision::Hold,
    }
}

/// Returns the share of the load that the new upstreams have slots for.
fn room(fleet: Fleet) -> Ppm {
    let room = f64::from(fleet.new_slots) / f64::from(fleet.old_slots.max(1));
    ppm(room.min(1.0))
}

fn canary_ms(duration_ms: u64) -> u64 {
    duration_ms - reserve_ms(duration_ms)
}

fn reserve_ms(duration_ms: u64) -> u64 {
    scale(duration_ms, RESERVE_RATIO)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "durations are far below the limits"
)]
fn scale(ms: u64, ratio: f64) -> u64 {
    (ms as f64 * ratio) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "shares are at most 1"
)]
fn ppm(share: f64) -> Ppm {
    (share.clamp(0.0, 1.0) * f64::from(ALL_PPM)) as Ppm
}
