//! Lease that limits how long a daemon accepts credentials without a confirmation by
//! control.
//!
//! A daemon that is cut off from control does not learn of withdrawn keys. It stops
//! accepting requests that need a key once the lease since its last confirmation ends.

use crate::effect::{Effect, LogLine};
use crate::millis::millis;
use log::Level;
use std::time::Duration;
use wire::ConfigVersion;

/// The lease, and the newest heartbeat that control has confirmed.
#[derive(Debug)]
pub(super) struct CredentialLease {
    /// Length of the lease, or `None` if it never ends.
    lease: Option<Duration>,
    /// When the newest confirmed heartbeat was sent.
    confirmed: Option<Duration>,
    /// Whether the loss of the lease was reported, and no confirmation has followed.
    reported: bool,
}

impl CredentialLease {
    pub(super) fn new(lease: Option<Duration>) -> Self {
        Self {
            lease,
            confirmed: None,
            reported: false,
        }
    }

    /// Returns when the lease ends, if there is one. Without a confirmation it has ended
    /// at time zero.
    pub(super) fn end(&self) -> Option<Duration> {
        let lease = self.lease?;
        Some(self.confirmed.map_or(Duration::ZERO, |sent| sent + lease))
    }

    /// Returns whether the lease holds.
    pub(super) fn holds(&self, now: Duration) -> bool {
        self.end().is_none_or(|end| now < end)
    }

    /// Records that control confirmed the heartbeat sent at `sent`. `needed` tells whether
    /// the configuration needs credentials.
    pub(super) fn confirm(
        &mut self,
        now: Duration,
        sent: Duration,
        (version, needed): (ConfigVersion, bool),
        tx: &mut Vec<Effect>,
    ) {
        let age = self.age(now);
        self.confirmed = self.confirmed.max(Some(sent));
        if !self.reported || !self.holds(now) {
            return;
        }
        self.reported = false;
        if needed {
            tx.push(report(
                Level::Info,
                "credential_lease_regained",
                age,
                version,
            ));
        }
    }

    /// Reports that the lease has ended.
    pub(super) fn tick(
        &mut self,
        now: Duration,
        (version, needed): (ConfigVersion, bool),
        tx: &mut Vec<Effect>,
    ) {
        let lost = self.confirmed.is_some() && !self.holds(now);
        if needed && lost && !self.reported {
            self.reported = true;
            let age = self.age(now);
            tx.push(report(Level::Warn, "credential_lease_lost", age, version));
        }
    }

    fn age(&self, now: Duration) -> Duration {
        let age = self.confirmed.map(|sent| now.saturating_sub(sent));
        age.unwrap_or_default()
    }
}

fn report(level: Level, event: &'static str, age: Duration, version: ConfigVersion) -> Effect {
    Effect::Log(LogLine {
        level,
        event,
        pairs: vec![
            ("confirmed_ms", millis(age).to_string()),
            ("version", version.to_string()),
        ],
    })
}
