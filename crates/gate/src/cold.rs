//! The rate that a cold upstream bears.

use std::collections::VecDeque;
use std::time::Duration;

/// Time over which the rate is counted, at any moment.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests of a window that are remembered.
const MAX_SENT: usize = 10_000;

/// What was sent lately, and how long the upstream stays cold.
///
/// Everything is counted, also while the upstream is warm, because it may turn
/// cold at any moment.
#[derive(Debug, Default)]
pub(crate) struct ColdRate {
    /// Requests of a window that a cold upstream bears, if it is limited.
    per_window: Option<u32>,
    cold_until: Duration,
    /// Whether the upstream may have turned cold since it last said so.
    doubted: bool,
    /// Until when a predecessor of this gate may have filled the window.
    inherited_until: Duration,
    sent: VecDeque<Duration>,
}

impl ColdRate {
    /// Sets how many requests a second a cold upstream bears, if that is
    /// limited.
    pub(crate) fn limit(&mut self, per_second: Option<u32>) {
        self.per_window = per_second;
    }

    /// Notes that the gate has just started: what a predecessor sent in the
    /// last window is not known, and counts as all that it could.
    pub(crate) fn inherit(&mut self, now: Duration) {
        self.inherited_until = now + WINDOW;
    }

    /// Takes in how much longer the upstream says that it stays cold.
    pub(crate) fn stated(&mut self, now: Duration, left: Duration) {
        self.doubted = false;
        self.cold_until = now + left;
    }

    /// Notes that the upstream may have started again.
    pub(crate) fn doubt(&mut self) {
        self.doubted = true;
    }

    /// Returns whether the rate applies now.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        self.per_window.is_some() && (self.doubted || now < self.cold_until)
    }

    /// Returns whether another request may be sent now.
    pub(crate) fn allows(&self, now: Duration) -> bool {
        let Some(most) = self.per_window.filter(|_| self.is_cold(now)) else {
            return true;
        };
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < WINDOW);
        now >= self.inherited_until && recent.count() < usize::try_from(most).unwrap_or(usize::MAX)
    }

    /// Notes that a request is sent.
    pub(crate) fn sent(&mut self, now: Duration) {
        while self.sent.len() >= MAX_SENT
            || self
                .sent
                .front()
                .is_some_and(|at| now.saturating_sub(*at) >= WINDOW)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
