//! Which requests are refused during a graceful stop.

use super::message::Request;
use super::request::ActiveRequest;
use std::time::Duration;

/// A graceful stop that has begun.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    /// When it began.
    pub(super) since: Duration,
    /// When requests in progress are cut off, if they are.
    pub(super) until: Option<Duration>,
}

impl Stop {
    /// Returns whether a request was received too late to be accepted. One that was
    /// received earlier may reach the entry later, because its body took its time.
    pub(super) fn refuses(self, request: &Request) -> bool {
        request.received_at >= self.since
    }

    /// Returns whether a request may still run when the stop cuts it off: it may take until
    /// its deadline, whatever its latency objective is.
    pub(super) fn may_cut(self, active: &ActiveRequest) -> bool {
        self.until.is_some_and(|until| active.deadline > until)
    }
}
