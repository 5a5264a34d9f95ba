//! Rollouts: orders, and the newest one of a service.

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;
use wire::{Rollout, RolloutOrder, RolloutStage};

/// Body of `POST /v1/rollouts`. An order that is sent again is accepted again, without
/// further effect.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutOrderBody {
    /// Name of the service.
    pub service: String,
    /// Version that its traffic is moved to.
    pub version: String,
    /// Time within which the rollout is to be complete; milliseconds in JSON.
    #[serde(rename = "within_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub within: Duration,
}

impl From<RolloutOrderBody> for RolloutOrder {
    fn from(body: RolloutOrderBody) -> Self {
        Self {
            service: body.service,
            version: body.version,
            duration_ms: u64::try_from(body.within.as_millis()).unwrap_or(u64::MAX),
            base: None,
        }
    }
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// The traffic is being moved.
    Active,
    /// The new version gets all requests, and none is in progress at the old one.
    Complete,
    /// The new version gets nothing.
    RolledBack,
}

impl From<RolloutStage> for RolloutState {
    fn from(stage: RolloutStage) -> Self {
        match stage {
            RolloutStage::Unknown
            | RolloutStage::Canary
            | RolloutStage::Ramp
            | RolloutStage::Switched => Self::Active,
            RolloutStage::Complete => Self::Complete,
            RolloutStage::RolledBack => Self::RolledBack,
        }
    }
}

/// The newest rollout of a service: response to `POST /v1/rollouts` and to
/// `GET /v1/rollouts/SERVICE`. The HTTP status is 409 if another one is in progress, 422
/// if the order has findings, and 404 if there was none.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutBody {
    /// Number of the rollout, higher for each.
    pub rollout: u64,
    /// Name of the service.
    pub service: String,
    /// Version that its traffic is moved to.
    pub version: String,
    /// Time within which it is to be complete; milliseconds in JSON.
    #[serde(rename = "within_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub within: Duration,
    /// State.
    pub state: RolloutState,
    /// Maximum share of the requests that the new version gets, in millionths.
    pub share_ppm: u32,
    /// Why it was rolled back, or empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
}

impl From<Rollout> for RolloutBody {
    fn from(rollout: Rollout) -> Self {
        Self {
            rollout: rollout.id,
            state: rollout.stage().into(),
            within: Duration::from_millis(rollout.duration_ms),
            share_ppm: rollout.share_ppm,
            service: rollout.service,
            version: rollout.version,
            reason: rollout.reason,
        }
    }
}
