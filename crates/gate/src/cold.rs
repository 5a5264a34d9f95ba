//! Rate limit for requests to an upstream that is still warming up.

use std::collections::VecDeque;
use std::time::Duration;

/// Sliding window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for which what a response states goes before announcements.
const STATEMENT_TTL: Duration = Duration::from_secs(5);
/// Maximum number of request times kept for the window.
const MAX_SENT: usize = 10_000;
/// Maximum time by which an upstream may have started before the gate and still
/// count as started together with it. Such an upstream cannot have received
/// requests from a predecessor of the gate: it would have had to announce
/// itself and be sent requests before the predecessor ended, and the gate
/// started after that.
const MAX_START_SKEW: Duration = Duration::from_millis(50);

/// Rate limit of a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    /// Maximum number of requests per second.
    pub per_second: u32,
    /// Time after its start for which an upstream counts as cold.
    pub duration: Duration,
}

/// The first announcement of an upstream, as far as it concerns its start.
#[derive(Clone, Copy, Debug)]
struct FirstAnnouncement {
    at: Duration,
    /// Remaining time for which the upstream is cold.
    cold_remaining: Duration,
    /// Time since the upstream's start by the clock of its VM, if known.
    age: Option<Duration>,
}

impl FirstAnnouncement {
    /// Returns the earlier of two estimates of the upstream's start, because
    /// the announcement may have been delayed and the clock of the VM may have
    /// been changed.
    fn estimated_start(&self, duration: Duration) -> Option<Duration> {
        let by_age = self.at.checked_sub(self.age?)?;
        let by_cold = (self.at + self.cold_remaining).checked_sub(duration)?;
        Some(by_age.min(by_cold))
    }
}

/// Limits the request rate while the upstream is cold.
///
/// Requests are counted while the upstream is warm too, because it may become
/// cold at any moment.
#[derive(Debug, Default)]
pub(crate) struct ColdRateLimiter {
    /// Rate limit of a cold upstream, if there is one.
    limit: Option<ColdLimit>,
    cold_until: Duration,
    /// Whether the upstream may have restarted since it last reported how long
    /// it stays cold.
    may_have_restarted: bool,
    /// When a response last stated how long the upstream stays cold.
    stated_at: Option<Duration>,
    /// Time at which this gate started.
    gate_start: Option<Duration>,
    first_announcement: Option<FirstAnnouncement>,
    sent: VecDeque<Duration>,
}

impl ColdRateLimiter {
    /// Sets the rate limit of a cold upstream; `None` disables it.
    pub(crate) fn set_limit(&mut self, limit: Option<ColdLimit>) {
        self.limit = limit;
    }

    /// Advances the clock; the first call sets the start of the gate.
    pub(crate) fn advance_clock(&mut self, now: Duration) {
        self.gate_start.get_or_insert(now);
    }

    /// Records the first announcement of the upstream: how long it stays cold,
    /// and how long ago it started, if known.
    pub(crate) fn record_first_announcement(
        &mut self,
        now: Duration,
        cold_remaining: Duration,
        age: Option<Duration>,
    ) {
        self.first_announcement = Some(FirstAnnouncement {
            at: now,
            cold_remaining,
            age,
        });
    }

    /// Sets the remaining time for which the upstream states in a response that it is
    /// cold.
    pub(crate) fn set_remaining(&mut self, now: Duration, left: Duration) {
        self.may_have_restarted = false;
        self.cold_until = now + left;
        self.stated_at = Some(now);
    }

    /// Applies the remaining time in an announcement. Announcements may be delayed, so
    /// one does not shorten what a response has stated recently.
    pub(crate) fn record_announced(&mut self, now: Duration, left: Duration) {
        self.may_have_restarted = false;
        let stated = |at: Duration| now.saturating_sub(at) < STATEMENT_TTL;
        self.cold_until = match self.stated_at.is_some_and(stated) {
            true => self.cold_until.max(now + left),
            false => now + left,
        };
    }

    /// Forgets what responses of the start before stated.
    pub(crate) fn forget_statements(&mut self) {
        self.stated_at = None;
    }

    /// Treats the upstream as cold until it reports otherwise, because it may
    /// have restarted.
    pub(crate) fn suspect_restart(&mut self) {
        self.may_have_restarted = true;
    }

    /// Returns whether the upstream states that it is cold.
    pub(crate) fn is_stated(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether the rate limit applies now.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        self.limit.is_some() && (self.may_have_restarted || now < self.cold_until)
    }

    /// Returns whether another request may be sent now.
    pub(crate) fn allows(&self, now: Duration) -> bool {
        let Some(limit) = self.limit.filter(|_| self.is_cold(now)) else {
            return true;
        };
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < WINDOW);
        let max = usize::try_from(limit.per_second).unwrap_or(usize::MAX);
        now >= self.predecessor_window_end(limit) && recent.count() < max
    }

    /// Returns the time until which requests of a predecessor may fall into the
    /// window. Their number is unknown, so the window counts as full until
    /// then.
    fn predecessor_window_end(&self, limit: ColdLimit) -> Duration {
        let gate_start = self.gate_start.unwrap_or_default();
        let started = self
            .first_announcement
            .and_then(|a| a.estimated_start(limit.duration));
        if started.is_some_and(|start| start + MAX_START_SKEW >= gate_start) {
            return Duration::ZERO;
        }
        gate_start + WINDOW
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, now: Duration) {
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
