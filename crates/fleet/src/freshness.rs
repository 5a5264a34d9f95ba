//! How long a daemon may act on the state received from control.

use std::time::Duration;

/// Tracks the newest heartbeat that the control leader has confirmed.
///
/// The age is counted from when that heartbeat was sent, so that a delayed reply
/// can't make old state look fresh.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    lease: Duration,
    last_confirmed: Option<Duration>,
}

impl Freshness {
    /// Creates a tracker without a confirmed heartbeat.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            last_confirmed: None,
        }
    }

    /// Records that the heartbeat sent at `sent` was confirmed.
    pub fn confirm(&mut self, sent: Duration) {
        self.last_confirmed = self.last_confirmed.max(Some(sent));
    }

    /// Returns whether a heartbeat was confirmed within the lease.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.last_confirmed
            .is_some_and(|sent| now.saturating_sub(sent) < self.lease)
    }

    /// Returns the age of the newest confirmed heartbeat.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.last_confirmed.map(|sent| now.saturating_sub(sent))
    }
}
