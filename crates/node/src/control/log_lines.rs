//! Builds the log lines of the control role.

use crate::effect::{Effect, LogLine};
use log::Level;
use replica::Role;
use wire::{Fingerprint, Term};

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

pub(super) fn convicted(fingerprint: Fingerprint, crashes: u32) -> Effect {
    Effect::Log(LogLine {
        level: Level::Warn,
        event: "request_convicted",
        pairs: vec![
            ("fingerprint", format!("{fingerprint:016x}")),
            ("crashes", crashes.to_string()),
        ],
    })
}
