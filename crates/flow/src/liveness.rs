//! Detects peers that no longer respond.

use std::time::Duration;

/// Time without activity of a peer with open requests, after which it is pinged.
const PING_AFTER: Duration = Duration::from_millis(250);
/// Time for which a message has no reply, after which the peer is pinged. Messages of
/// the control plane are sent again, so they can wait longer than a caller.
const MESSAGE_PING_AFTER: Duration = Duration::from_millis(500);
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
/// A peer is active when bytes arrive from it, and also when it accepts bytes that had
/// to wait: over a slow link a body can take longer than any reasonable timeout, and a
/// ping behind it does not reach the peer meanwhile.
///
/// The kernel notices only after seconds that a connection has gone silent, and not at
/// all if the peer's kernel still acknowledges, though a new connection may work.
#[derive(Debug)]
pub struct Liveness {
    active_at: Duration,
    /// When the first frame since then was written.
    unanswered_since: Option<Duration>,
    pinged_at: Option<Duration>,
}

impl Liveness {
    /// Creates the state of a new connection.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            active_at: now,
            unanswered_since: None,
            pinged_at: None,
        }
    }

    /// Records that bytes were received, or that the peer accepted bytes that had to
    /// wait.
    pub fn record_activity(&mut self, now: Duration) {
        self.active_at = now;
        self.unanswered_since = None;
        self.pinged_at = None;
    }

    /// Records that a frame is written.
    pub fn record_written(&mut self, now: Duration) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Returns the time since the peer was last active.
    #[must_use]
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.active_at)
    }

    /// Checks a connection with open requests.
    pub fn check_requests(&mut self, now: Duration) -> Check {
        let is_silent = self.silence(now) >= PING_AFTER;
        self.check(now, is_silent)
    }

    /// Checks a connection for messages: whether the peer has sent anything since one
    /// was written.
    pub fn check_messages(&mut self, now: Duration) -> Check {
        let Some(since) = self.unanswered_since else {
            return Check::Wait;
        };
        let is_silent = now.saturating_sub(since) >= MESSAGE_PING_AFTER;
        self.check(now, is_silent)
    }

    fn check(&mut self, now: Duration, is_silent: bool) -> Check {
        match self.pinged_at {
            Some(at) if now.saturating_sub(at) >= PONG_TIMEOUT => Check::Fail,
            Some(_) => Check::Wait,
            None if is_silent => {
                self.pinged_at = Some(now);
                Check::Ping
            }
            None => Check::Wait,
        }
    }
}
