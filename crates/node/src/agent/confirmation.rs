//! Tracks the control leader's confirmations, and reports when they stop and start
//! again.

use crate::effect::{Effect, LogLine};
use crate::millis::millis;
use fleet::Freshness;
use log::Level;
use std::time::Duration;
use wire::ConfigVersion;

/// Heartbeat intervals without a confirmation after which it counts as lost.
const LOST_AFTER_INTERVALS: u32 = 2;

/// The age of the newest confirmation.
#[derive(Debug)]
pub(super) struct Confirmation {
    freshness: Freshness,
    lost_after: Duration,
    /// Whether the loss was reported, and no confirmation has followed.
    reported: bool,
}

impl Confirmation {
    pub(super) fn new(lease: Duration, heartbeat_interval: Duration) -> Self {
        Self {
            freshness: Freshness::new(lease),
            lost_after: heartbeat_interval * LOST_AFTER_INTERVALS,
            reported: false,
        }
    }

    /// Returns whether a confirmation is younger than the lease.
    pub(super) fn is_fresh(&self, now: Duration) -> bool {
        self.freshness.is_fresh(now)
    }

    /// Returns the age of the newest confirmation.
    pub(super) fn age(&self, now: Duration) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Records that `leader` confirmed the heartbeat sent at `sent`.
    pub(super) fn confirm(
        &mut self,
        now: Duration,
        sent: Duration,
        leader: &str,
        version: ConfigVersion,
        tx: &mut Vec<Effect>,
    ) {
        let unconfirmed = self.age(now).unwrap_or_default();
        self.freshness.confirm(sent);
        if !self.reported || self.is_lost(now) {
            return;
        }
        self.reported = false;
        tx.push(Effect::Log(LogLine {
            level: Level::Info,
            event: "control_regained",
            pairs: vec![
                ("leader", leader.to_owned()),
                ("unconfirmed_ms", millis(unconfirmed).to_string()),
                ("version", version.to_string()),
            ],
        }));
    }

    /// Reports a confirmation that has become too old.
    pub(super) fn tick(
        &mut self,
        now: Duration,
        target: &str,
        version: ConfigVersion,
        tx: &mut Vec<Effect>,
    ) {
        if self.reported || !self.is_lost(now) {
            return;
        }
        self.reported = true;
        let age = self.age(now).unwrap_or_default();
        tx.push(Effect::Log(LogLine {
            level: Level::Warn,
            event: "control_lost",
            pairs: vec![
                ("target", target.to_owned()),
                ("confirmed_ms", millis(age).to_string()),
                ("version", version.to_string()),
            ],
        }));
    }

    /// Returns whether a confirmation is overdue. Before the first one there is
    /// nothing to lose.
    fn is_lost(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age >= self.lost_after)
    }
}
