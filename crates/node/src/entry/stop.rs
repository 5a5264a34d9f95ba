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

    /// Returns whether a request that is accepted now is expected to be cut off.
    pub(super) fn cuts(self, active: &ActiveRequest, now: Duration) -> bool {
        let expected_end = active.objective.map(|objective| now + objective);
        expected_end
            .zip(self.until)
            .is_some_and(|(end, until)| end > until)
    }
}
