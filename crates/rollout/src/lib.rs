//! Decides the steps of a rollout: when the share of the new version grows, when the
//! traffic is switched, and whether the new version is bad.
//!
//! [`decide`] is a pure function of the replicated rollout, the evidence that gates
//! report, and the state of the fleet. [`Evidence`] keeps the evidence by time; the
//! new version is compared only with responses of the old one to the same route, in
//! the same data centre and at about the same time, so that what affects both
//! versions does not count against the new one.

mod evidence;
mod histogram;
mod schedule;
mod statistics;

pub use evidence::{Evidence, Reporter, VersionGroup};
pub use schedule::{Fleet, canary_share};
pub use statistics::Verdict;

use std::time::Duration;
use wire::{Rollout, RolloutStage};

/// Share in millionths.
pub type Ppm = u32;

/// All of the service's requests, in millionths.
pub const ALL_PPM: Ppm = 1_000_000;

/// Limits on what a bad version may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum share of the service's requests, 0 to 1.
    pub canary_share: f64,
    /// Number of requests beyond that share.
    pub canary_slack: u32,
    /// Time after which a bad version must not get any more requests.
    pub rollback: Duration,
}

/// What a decision is based on.
#[derive(Clone, Copy, Debug)]
pub struct RolloutView<'a> {
    /// The replicated state of the rollout.
    pub rollout: &'a Rollout,
    /// Log time, in milliseconds.
    pub time_ms: u64,
    /// Current time of the leader, on the clock with which evidence was recorded.
    pub now: Duration,
    /// Evidence of the rollout.
    pub evidence: &'a Evidence,
    /// State of the fleet.
    pub fleet: Fleet,
    /// Limits on what a bad version may receive.
    pub bounds: Bounds,
}

/// Next step of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// No step is due.
    Hold,
    /// Sets the share of the new version to a stage of the ramp.
    SetShare(Ppm),
    /// Excludes the old version.
    Switch,
    /// Ends the rollout successfully.
    Complete,
    /// Excludes the new version, because it is bad or does not exist.
    RollBack(RollBackReason),
}

/// Reason for which a rollout is rolled back.
#[derive(Clone, Debug, PartialEq)]
pub enum RollBackReason {
    /// The new version is worse than the old one.
    Bad(Verdict),
    /// No upstream of the new version was registered by the deadline.
    NoUpstream,
}

/// Returns the next step of a rollout.
#[must_use]
pub fn decide(view: &RolloutView<'_>) -> Decision {
    match view.rollout.stage() {
        RolloutStage::Canary | RolloutStage::Ramp | RolloutStage::Switched => {}
        RolloutStage::Unknown | RolloutStage::Complete | RolloutStage::RolledBack => {
            return Decision::Hold;
        }
    }
    match statistics::verdict(view.evidence, view.now, view.bounds) {
        Some(verdict) => Decision::RollBack(RollBackReason::Bad(verdict)),
        None => schedule::next_step(view),
    }
}
