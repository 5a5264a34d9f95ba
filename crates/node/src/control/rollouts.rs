//! The leader's driver of rollouts.
//!
//! Collects the evidence that gates report with their heartbeats, and proposes the steps
//! that [`rollout::decide`] returns. Only the replicated state counts: a step takes
//! effect when it is committed, and is ignored if another one was made before. A new
//! leader continues from the replicated step and from the totals of the evidence.

use super::command::Item;
use super::{Control, log_lines};
use crate::effect::Effect;
use crate::millis::millis;
use conf::{Configuration, RolloutSettings, RolloutStep};
use fleet::{RegisteredUpstream, Registry};
use rollout::{
    ALL_PPM, Bounds, Decision, Evidence, Fleet, Reporter, RollBackReason, RolloutView, VersionGroup,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{Heartbeat, Rollout, RolloutStage, ServiceId};

/// Interval between two decisions on a rollout.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a step that was not committed is proposed again.
const REPROPOSE_AFTER: Duration = Duration::from_secs(1);
/// Interval at which the log time is recorded during a rollout. A new leader continues
/// from the recorded time, so that a change of leader delays the schedule by at most this
/// interval in addition to the time without a leader.
const TIME_INTERVAL: Duration = Duration::from_millis(500);

/// State that the leader keeps about a rollout in progress, in addition to the replicated
/// state. A new leader starts without it.
#[derive(Debug, Default)]
struct TrackedRollout {
    id: u64,
    evidence: Evidence,
    /// Other versions that upstreams of the service have reported.
    old_versions: BTreeSet<String>,
    /// For the newest proposed step: the number of the step before it, and the time of the
    /// proposal.
    proposed: Option<(u64, Duration)>,
}

/// The rollouts in progress.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    tracked: BTreeMap<ServiceId, TrackedRollout>,
    decided_at: Option<Duration>,
    time_recorded_at: Option<Duration>,
}

impl Rollouts {
    /// Records the evidence of a heartbeat.
    pub(super) fn record(&mut self, now: Duration, heartbeat: &Heartbeat, config: &Configuration) {
        let (Some(upstream), Some(evidence)) = (&heartbeat.upstream, &heartbeat.evidence) else {
            return;
        };
        let rollout = config.rollouts.get(upstream.service.as_str());
        let Some(rollout) = rollout.filter(|r| r.id == evidence.rollout && is_active(r)) else {
            return;
        };
        let tracked = self.tracked(rollout);
        let group = match evidence.version == rollout.version {
            true => VersionGroup::New,
            false => VersionGroup::Old,
        };
        if group == VersionGroup::Old {
            tracked.old_versions.insert(evidence.version.clone());
        }
        let reporter = Reporter {
            daemon: heartbeat.daemon.as_str().into(),
            incarnation: heartbeat.incarnation,
            data_centre: heartbeat.data_centre.as_str().into(),
            group,
        };
        tracked.evidence.record(now, &reporter, &evidence.routes);
    }

    /// Returns the state kept about a rollout. The state of an earlier rollout of the
    /// service is discarded.
    fn tracked(&mut self, rollout: &Rollout) -> &mut TrackedRollout {
        let service = rollout.service.as_str().into();
        let tracked = self.tracked.entry(service).or_default();
        if tracked.id != rollout.id {
            *tracked = TrackedRollout {
                id: rollout.id,
                ..TrackedRollout::default()
            };
        }
        tracked
    }

    /// Returns whether decisions are due, and records that they are made now.
    fn take_due(&mut self, now: Duration) -> bool {
        let elapsed = |last: Duration| now.saturating_sub(last) >= DECISION_INTERVAL;
        let is_due = self.decided_at.is_none_or(elapsed);
        if is_due {
            self.decided_at = Some(now);
        }
        is_due
    }

    /// Returns whether the log time is to be recorded, and records that it is now.
    fn take_time_due(&mut self, now: Duration) -> bool {
        let elapsed = |last: Duration| now.saturating_sub(last) >= TIME_INTERVAL;
        let is_due = self.time_recorded_at.is_none_or(elapsed);
        if is_due {
            self.time_recorded_at = Some(now);
        }
        is_due
    }
}

impl Control {
    /// Queues the steps of rollouts that are due, if this replica leads.
    pub(super) fn step_rollouts(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        if !self.is_ready() || !self.rollouts.take_due(now) {
            return;
        }
        let rollouts = self.config().rollouts.values();
        let active: Vec<Rollout> = rollouts.filter(|r| is_active(r)).cloned().collect();
        let is_active = |service: &ServiceId| active.iter().any(|r| r.service == *service);
        self.rollouts
            .tracked
            .retain(|service, _| is_active(service));
        if !active.is_empty() && self.rollouts.take_time_due(now) {
            self.batch.record_time();
        }
        for rollout in &active {
            self.step_rollout(now, rollout, tx);
        }
    }

    fn step_rollout(&mut self, now: Duration, rollout: &Rollout, tx: &mut Vec<Effect>) {
        let fleet = fleet(&self.registry, self.config(), now, rollout);
        let time_ms = self.log_time_ms(now);
        let bounds = self.bounds;
        let tracked = self.rollouts.tracked(rollout);
        let is_pending = |(after, at): (u64, Duration)| {
            after == rollout.step && now.saturating_sub(at) < REPROPOSE_AFTER
        };
        if tracked.proposed.is_some_and(is_pending) {
            return;
        }
        let decision = rollout::decide(&RolloutView {
            rollout,
            time_ms,
            now,
            evidence: &tracked.evidence,
            fleet,
            bounds,
        });
        let Some(mut step) = step(rollout, &decision) else {
            return;
        };
        tracked.proposed = Some((rollout.step, now));
        let figures = Figures {
            fleet,
            elapsed_ms: time_ms.saturating_sub(rollout.ordered_ms),
            new: tracked.evidence.totals(VersionGroup::New),
            old: tracked.evidence.totals(VersionGroup::Old),
        };
        if step.stage() == RolloutStage::Switched {
            let mut replaced = tracked.old_versions.clone();
            replaced.extend(other_versions(&self.registry, rollout));
            step.replaced_versions = replaced.into_iter().collect();
        }
        tx.push(log_lines::rollout_step(rollout, &step, &figures));
        self.batch.push_detached(Item::rollout_step(step));
    }

    /// Returns the current log time, in milliseconds.
    pub(super) fn log_time_ms(&self, now: Duration) -> u64 {
        let applied_ms = self.state_machine.claims.time_ms();
        let led_ms = self.leadership.map(|leadership| {
            leadership.log_time_ms + millis(now.saturating_sub(leadership.since))
        });
        led_ms.unwrap_or_default().max(applied_ms)
    }
}

/// The figures on which a step is based, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct Figures {
    pub(super) fleet: Fleet,
    /// Time since the order, in milliseconds.
    pub(super) elapsed_ms: u64,
    /// Responses and failures of the new version.
    pub(super) new: (u64, u64),
    /// Responses and failures of the old version.
    pub(super) old: (u64, u64),
}

/// Returns the limits that the settings define.
pub(super) fn bounds(settings: &RolloutSettings) -> Bounds {
    Bounds {
        canary_share: settings.canary_share,
        canary_slack: settings.canary_slack,
        rollback: settings.rollback,
    }
}

fn is_active(rollout: &Rollout) -> bool {
    matches!(
        rollout.stage(),
        RolloutStage::Canary | RolloutStage::Ramp | RolloutStage::Switched
    )
}

/// Returns the step for a decision, if it makes one.
fn step(rollout: &Rollout, decision: &Decision) -> Option<RolloutStep> {
    let (stage, share_ppm, reason) = match decision {
        Decision::Hold => return None,
        Decision::SetShare(share_ppm) => (RolloutStage::Ramp, *share_ppm, String::new()),
        Decision::Switch => (RolloutStage::Switched, ALL_PPM, String::new()),
        Decision::Complete => (RolloutStage::Complete, ALL_PPM, String::new()),
        Decision::RollBack(reason) => (RolloutStage::RolledBack, 0, describe(reason)),
    };
    Some(RolloutStep {
        service: rollout.service.clone(),
        rollout: rollout.id,
        after: rollout.step,
        stage: stage as i32,
        share_ppm,
        replaced_versions: Vec::new(),
        reason,
    })
}

fn describe(reason: &RollBackReason) -> String {
    match reason {
        RollBackReason::Bad(verdict) => verdict.to_string(),
        RollBackReason::NoUpstream => {
            "no upstream of the version was registered by the deadline".to_owned()
        }
    }
}

fn other_versions(registry: &Registry, rollout: &Rollout) -> BTreeSet<String> {
    let upstreams = registry.upstreams(&rollout.service);
    let versions = upstreams.map(|u| u.info.version.clone());
    versions.filter(|v| *v != rollout.version).collect()
}

/// Returns the state of the fleet with regard to a rollout.
fn fleet(registry: &Registry, config: &Configuration, now: Duration, rollout: &Rollout) -> Fleet {
    let rules = config.routing.service(&rollout.service);
    let cold = Duration::from_millis(rules.map_or(0, |r| r.cold_ms));
    let has_capacity = |u: &RegisteredUpstream<'_>| {
        let is_cold = now.saturating_sub(u.started) < cold;
        let is_out = config.is_out(&u.info.upstream, &u.info.data_centre);
        !is_cold && !is_out && !u.info.leaving
    };
    let upstreams = registry.upstreams(&rollout.service);
    let (new, old): (Vec<_>, Vec<_>) = upstreams.partition(|u| u.info.version == rollout.version);
    let staying = new.iter().filter(|u| !u.info.leaving);
    let ready = new.iter().filter(|u| has_capacity(u));
    let is_switched = |version: u64| version >= rollout.step_version;
    Fleet {
        is_known: !registry.is_warming_up(now),
        new_upstreams: staying.count(),
        new_slots: ready.map(|u| u.info.slots).sum(),
        old_slots: old.iter().map(|u| u.info.slots).sum(),
        old_empty: old
            .iter()
            .all(|u| u.in_progress == 0 && is_switched(u.config_version)),
        entries_switched: registry.lowest_version().is_none_or(is_switched),
    }
}
