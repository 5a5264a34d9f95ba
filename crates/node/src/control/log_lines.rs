//! Builds the log lines of the control role.

use super::rollouts::Figures;
use super::suspects::VerdictChange;
use crate::effect::{Effect, LogLine};
use conf::RolloutStep;
use log::Level;
use replica::Role;
use wire::{OrderPosition, Rollout, RolloutStage, Suspect, Term};

pub(super) fn with_value(
    level: Level,
    event: &'static str,
    key: &'static str,
    value: impl ToString,
) -> Effect {
    Effect::Log(LogLine {
        level,
        event,
        pairs: vec![(key, value.to_string())],
    })
}

pub(super) fn error(event: &'static str, reason: String) -> Effect {
    with_value(Level::Error, event, "reason", reason)
}

pub(super) fn role_changed(role: Role, term: Term) -> Effect {
    Effect::Log(LogLine {
        level: Level::Info,
        event: "control_role",
        pairs: vec![("role", format!("{role:?}")), ("term", term.to_string())],
    })
}

/// Reports an order that was not carried out because others have come since its base.
pub(super) fn order_outdated(base: OrderPosition, newest: OrderPosition) -> Effect {
    Effect::Log(LogLine {
        level: Level::Info,
        event: "order_outdated",
        pairs: vec![
            ("base_term", base.term.to_string()),
            ("base", base.number.to_string()),
            ("term", newest.term.to_string()),
            ("newest", newest.number.to_string()),
        ],
    })
}

/// Reports that an upstream must have ended, after its daemon has been replaced.
pub(super) fn crash_inferred(crash: &Suspect) -> Effect {
    let fingerprints = crash.states.iter();
    let fingerprints: Vec<String> = fingerprints
        .map(|state| format!("{:016x}", state.fingerprint))
        .collect();
    Effect::Log(LogLine {
        level: Level::Warn,
        event: "upstream_crash_inferred",
        pairs: vec![
            ("daemon", crash.daemon.clone()),
            ("fingerprints", fingerprints.join(",")),
        ],
    })
}

pub(super) fn verdict_changed(change: &VerdictChange) -> Effect {
    let line = match change {
        VerdictChange::Convicted {
            fingerprint,
            crashes,
        } => LogLine {
            level: Level::Warn,
            event: "request_convicted",
            pairs: vec![
                ("fingerprint", format!("{fingerprint:016x}")),
                ("crashes", crashes.to_string()),
            ],
        },
        VerdictChange::Acquitted {
            fingerprint,
            crashes,
            daemon,
        } => LogLine {
            level: Level::Info,
            event: "request_acquitted",
            pairs: vec![
                ("fingerprint", format!("{fingerprint:016x}")),
                ("crashes", crashes.to_string()),
                ("completed_at", daemon.clone()),
            ],
        },
    };
    Effect::Log(line)
}

/// Returns the line about a proposed step of a rollout, with the figures that decided it.
pub(super) fn rollout_step(rollout: &Rollout, step: &RolloutStep, figures: &Figures) -> Effect {
    let level = match step.stage() {
        RolloutStage::RolledBack => Level::Warn,
        _ => Level::Info,
    };
    let fleet = figures.fleet;
    Effect::Log(LogLine {
        level,
        event: "rollout_step",
        pairs: vec![
            ("service", rollout.service.clone()),
            ("version", rollout.version.clone()),
            ("rollout", rollout.id.to_string()),
            ("after", step.after.to_string()),
            ("stage", format!("{:?}", step.stage())),
            ("share_ppm", step.share_ppm.to_string()),
            ("elapsed_ms", figures.elapsed_ms.to_string()),
            ("new_responses", figures.new.0.to_string()),
            ("new_failures", figures.new.1.to_string()),
            ("old_responses", figures.old.0.to_string()),
            ("old_failures", figures.old.1.to_string()),
            ("new_upstreams", fleet.new_upstreams.to_string()),
            ("new_slots", fleet.new_slots.to_string()),
            ("old_slots", fleet.old_slots.to_string()),
            ("replaced", step.replaced_versions.join(" ")),
            ("reason", step.reason.clone()),
        ],
    })
}
