//! Detects peers that no longer respond.

use std::time::Duration;

/// Time without activity of a peer with open requests, after which it is pinged.
const PING_AFTER: Duration = Duration::from_millis(250);
/// Time without activity after a ping, after which the connection has failed.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);

/// What to do about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Nothing.
    Wait,
    /// Send a ping.
    Ping,
    /// Close the connection, because its peer does not respond.
    Fail,
}

/// Recent activity of the peer of a connection.
///
/// A peer is active when it sends a frame, and also when it accepts bytes that had to
/// wait: over a slow link a body can take longer than any reasonable timeout, and a
/// ping behind it does not reach the peer meanwhile.
#[derive(Debug)]
pub struct Liveness {
    active_at: Duration,
    pinged_at: Option<Duration>,
}

impl Liveness {
    /// Creates the state of a new connection.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            active_at: now,
            pinged_at: None,
        }
    }

    /// Records that a frame was received, or that the peer accepted bytes that had to
    /// wait.
    pub fn record_activity(&mut self, now: Duration) {
        self.active_at = now;
        self.pinged_at = None;
    }

    /// Checks a connection with open requests.
    pub fn check(&mut self, now: Duration) -> Check {
        match self.pinged_at {
            Some(at) if now.saturating_sub(at) >= PONG_TIMEOUT => Check::Fail,
            Some(_) => Check::Wait,
            None if now.saturating_sub(self.active_at) >= PING_AFTER => {
                self.pinged_at = Some(now);
                Check::Ping
            }
            None => Check::Wait,
        }
    }
}
