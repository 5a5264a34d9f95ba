//! The rate that a cold upstream bears.

use std::collections::VecDeque;
use std::time::Duration;

/// Time over which the rate is counted, at any moment.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests of a window that are remembered.
const MAX_SENT: usize = 10_000;
/// An upstream that started this long before the gate, at most, has got
/// nothing from a predecessor of it: it would have had to announce itself and
/// be sent to before that one ended, and this one began after.
const STARTED_TOGETHER: Duration = Duration::from_millis(50);

/// What a cold upstream bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    /// Requests a second.
    pub per_second: u32,
    /// Time for which it is cold after its start.
    pub duration: Duration,
}

/// What the upstream told first of its start.
#[derive(Clone, Copy, Debug)]
struct FirstWord {
    at: Duration,
    /// How much longer it stays cold.
    cold_left: Duration,
    /// Time since its start by its VM's clock, if known.
    age: Option<Duration>,
}

impl FirstWord {
    /// Returns when the upstream started, at the latest that can be told: its
    /// word may have come late, or its clock may have been set.
    fn started(&self, duration: Duration) -> Option<Duration> {
        let by_age = self.at.checked_sub(self.age?)?;
        let by_cold = (self.at + self.cold_left).checked_sub(duration)?;
        Some(by_age.min(by_cold))
    }
}

/// What was sent lately, and how long the upstream stays cold.
///
/// Everything is counted, also while the upstream is warm, because it may turn
/// cold at any moment.
#[derive(Debug, Default)]
pub(crate) struct ColdRate {
    /// What a cold upstream bears, if that is limited.
    limit: Option<ColdLimit>,
    cold_until: Duration,
    /// Whether the upstream may have turned cold since it last said so.
    doubted: bool,
    /// When this gate began.
    began: Option<Duration>,
    first_word: Option<FirstWord>,
    sent: VecDeque<Duration>,
}

impl ColdRate {
    /// Sets what a cold upstream bears, if that is limited.
    pub(crate) fn set_limit(&mut self, limit: Option<ColdLimit>) {
        self.limit = limit;
    }

    /// Lets time pass.
    pub(crate) fn advance_clock(&mut self, now: Duration) {
        self.began.get_or_insert(now);
    }

    /// Takes the first word of an upstream in: how much longer it stays cold,
    /// and how long ago it started, if that is known.
    pub(crate) fn first_word(&mut self, now: Duration, cold_left: Duration, age: Option<Duration>) {
        self.first_word = Some(FirstWord {
            at: now,
            cold_left,
            age,
        });
    }

    /// Takes in how much longer the upstream says that it stays cold.
    pub(crate) fn stated(&mut self, now: Duration, left: Duration) {
        self.doubted = false;
        self.cold_until = now + left;
    }

    /// Notes that the upstream may have started again.
    pub(crate) fn suspect_restart(&mut self) {
        self.doubted = true;
    }

    /// Returns whether the rate applies now.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        self.limit.is_some() && (self.doubted || now < self.cold_until)
    }

    /// Returns whether another request may be sent now.
    pub(crate) fn allows(&self, now: Duration) -> bool {
        let Some(limit) = self.limit.filter(|_| self.is_cold(now)) else {
            return true;
        };
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < WINDOW);
        let most = usize::try_from(limit.per_second).unwrap_or(usize::MAX);
        now >= self.inherited_until(limit) && recent.count() < most
    }

    /// Returns until when a predecessor of this gate may have filled the
    /// window: what it sent is not known, and counts as all that it could.
    fn inherited_until(&self, limit: ColdLimit) -> Duration {
        let began = self.began.unwrap_or_default();
        let started = self.first_word.and_then(|w| w.started(limit.duration));
        if started.is_some_and(|at| at + STARTED_TOGETHER >= began) {
            return Duration::ZERO;
        }
        began + WINDOW
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
