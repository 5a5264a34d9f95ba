//! Applies orders and steps of rollouts in the replicated state machine.

use super::ConfigState;
use super::recent_changes::RoutingDelta;
use std::time::Duration;
use wire::{Rollout, RolloutOrder, RolloutOutcome, RolloutResult, RolloutStage};

/// Time after which an order that was rolled back starts a new rollout if it is
/// repeated; operators resend an order for a shorter time than this.
const REPEAT_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of services with a rollout; all of them are sent with each change.
const MAX_ROLLOUTS: usize = 1_000;
/// Maximum duration of a rollout.
const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);
/// Maximum number of versions of a service that stay excluded after a rollback.
const MAX_REJECTED_VERSIONS: usize = 16;
/// Maximum length of the name of a service or version.
const MAX_NAME_BYTES: usize = 200;

/// A step of a rollout as stored in the log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutStep {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of the rollout.
    #[prost(uint64, tag = "2")]
    pub rollout: u64,
    /// Number of the step that this one follows.
    #[prost(uint64, tag = "3")]
    pub after: u64,
    /// Stage that begins or continues.
    #[prost(enumeration = "RolloutStage", tag = "4")]
    pub stage: i32,
    /// Maximum share of the new version, in millionths.
    #[prost(uint32, tag = "5")]
    pub share_ppm: u32,
    /// Versions that are replaced, from when the traffic is switched.
    #[prost(string, repeated, tag = "6")]
    pub replaced_versions: Vec<String>,
    /// Why it is rolled back, in one line, or empty.
    #[prost(string, tag = "7")]
    pub reason: String,
}

impl ConfigState {
    /// Applies a committed order. An order that is repeated is accepted again without
    /// effect, unless its rollout was rolled back longer than the time ago for which
    /// operators resend orders.
    ///
    /// `time_ms` is the log time; `share_ppm` is the share of the first stage.
    pub fn apply_rollout_order(
        &mut self,
        order: &RolloutOrder,
        share_ppm: u32,
        time_ms: u64,
    ) -> RolloutOutcome {
        let findings = self.order_findings(order);
        if !findings.is_empty() {
            return RolloutOutcome {
                result: RolloutResult::Invalid as i32,
                rollout: None,
                findings,
            };
        }
        if let Some(latest) = self.current.rollouts.get(order.service.as_str()) {
            if is_repeated(latest, order, time_ms) {
                return outcome(RolloutResult::Accepted, latest);
            }
            if is_active(latest) {
                return outcome(RolloutResult::InProgress, latest);
            }
        }
        let latest = self.current.rollouts.get(order.service.as_str());
        let rejected_versions = latest.map(|latest| rejected_versions(latest, order));
        self.advance(RoutingDelta::None);
        let rollout = Rollout {
            id: self.current.version,
            rejected_versions: rejected_versions.unwrap_or_default(),
            service: order.service.clone(),
            version: order.version.clone(),
            duration_ms: order.duration_ms,
            stage: RolloutStage::Canary as i32,
            share_ppm,
            ordered_ms: time_ms,
            stepped_ms: time_ms,
            step_version: self.current.version,
            ..Rollout::default()
        };
        let outcome = outcome(RolloutResult::Accepted, &rollout);
        let service = order.service.as_str().into();
        self.current.rollouts.insert(service, rollout);
        outcome
    }

    /// Applies a committed step; returns whether it follows the current one. Any other
    /// step is ignored, since a former leader decided it.
    pub fn apply_rollout_step(&mut self, step: &RolloutStep, time_ms: u64) -> bool {
        let Some(rollout) = self.current.rollouts.get_mut(step.service.as_str()) else {
            return false;
        };
        let follows = rollout.id == step.rollout && rollout.step == step.after;
        if !follows || !is_active(rollout) || step.stage < rollout.stage {
            return false;
        }
        rollout.step += 1;
        rollout.stage = step.stage;
        rollout.share_ppm = step.share_ppm;
        rollout.stepped_ms = time_ms;
        rollout.step_version = self.current.version + 1;
        rollout.reason.clone_from(&step.reason);
        if !step.replaced_versions.is_empty() {
            let replaced = &step.replaced_versions;
            rollout.replaced_versions.clone_from(replaced);
        }
        self.advance(RoutingDelta::None);
        true
    }

    /// Returns the newest rollout of a service.
    #[must_use]
    pub fn rollout(&self, service: &str) -> RolloutOutcome {
        match self.current.rollouts.get(service) {
            Some(rollout) => outcome(RolloutResult::Accepted, rollout),
            None => RolloutOutcome {
                result: RolloutResult::NotFound as i32,
                ..RolloutOutcome::default()
            },
        }
    }

    fn order_findings(&self, order: &RolloutOrder) -> Vec<String> {
        let mut findings = Vec::new();
        for (what, name) in [("service", &order.service), ("version", &order.version)] {
            if name.is_empty() {
                findings.push(format!("the {what} is empty"));
            }
            if name.len() > MAX_NAME_BYTES {
                findings.push(format!("the {what} has over {MAX_NAME_BYTES} bytes"));
            }
        }
        let duration = Duration::from_millis(order.duration_ms);
        if duration.is_zero() || duration > MAX_DURATION {
            findings.push("the duration is 0 or over 30 days".to_owned());
        }
        if !findings.is_empty() {
            return findings;
        }
        if !self.is_known_service(&order.service) {
            findings.push(format!("the service {} is not known", order.service));
        }
        let rollouts = &self.current.rollouts;
        if rollouts.len() >= MAX_ROLLOUTS && !rollouts.contains_key(order.service.as_str()) {
            findings.push(format!("{MAX_ROLLOUTS} services have a rollout"));
        }
        findings
    }

    /// Returns whether the routing knows a service. Without a routing, all are known.
    fn is_known_service(&self, service: &str) -> bool {
        let routing = &self.current.routing;
        routing.content().version == 0 || routing.service(service).is_some()
    }
}

/// Returns the versions that stay excluded when an order follows the latest rollout: those
/// that were rolled back, but for the one that is ordered now.
fn rejected_versions(latest: &Rollout, order: &RolloutOrder) -> Vec<String> {
    let rolled_back = latest.stage() == RolloutStage::RolledBack;
    let newest = rolled_back.then_some(&latest.version);
    let rejected = latest.rejected_versions.iter().chain(newest);
    let mut rejected: Vec<String> = rejected
        .filter(|version| **version != order.version)
        .cloned()
        .collect();
    let excess = rejected.len().saturating_sub(MAX_REJECTED_VERSIONS);
    rejected.drain(..excess);
    rejected
}

/// Returns whether a rollout has not ended.
fn is_active(rollout: &Rollout) -> bool {
    matches!(
        rollout.stage(),
        RolloutStage::Canary | RolloutStage::Ramp | RolloutStage::Switched
    )
}

/// Returns whether an order is the one that started a rollout.
fn is_repeated(rollout: &Rollout, order: &RolloutOrder, time_ms: u64) -> bool {
    let is_same = rollout.version == order.version && rollout.duration_ms == order.duration_ms;
    let age = Duration::from_millis(time_ms.saturating_sub(rollout.stepped_ms));
    let may_start_again = rollout.stage() == RolloutStage::RolledBack && age > REPEAT_AFTER;
    is_same && !may_start_again
}

fn outcome(result: RolloutResult, rollout: &Rollout) -> RolloutOutcome {
    RolloutOutcome {
        result: result as i32,
        rollout: Some(rollout.clone()),
        findings: Vec::new(),
    }
}
