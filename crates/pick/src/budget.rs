//! Budgets: what measuring may cost, and what retries may add.

use std::collections::VecDeque;
use std::time::Duration;

/// Time in which a measuring budget is never exceeded.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);
/// Part of a retry that rounding may lose.
const ROUNDING: f64 = 1e-6;
/// Retries that a ratio budget saves up at most from its floor.
const FLOOR_TOKENS: f64 = 5.0;
/// Retries a second that a ratio budget allows without any traffic.
const FLOOR_PER_SECOND: f64 = 1.0;
/// Requests whose part a ratio budget may save up.
const SAVED_REQUESTS: f64 = 500.0;

/// What measuring has cost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MeasuringCount {
    /// Bytes spent.
    pub bytes: u64,
    /// Messages spent.
    pub messages: u64,
    /// Measurements left out because the budget was used up.
    pub denied: u64,
}

#[derive(Clone, Copy, Debug)]
struct Spent {
    at: Duration,
    bytes: u32,
    messages: u32,
}

/// One budget that pays for what a daemon spends on measuring load: the loads
/// that ride on its answers, and the readings of its upstream's report.
///
/// A bucket that saves up a burst would allow more than the budget in the
/// second after an idle one, so what was spent in the last second is kept, and
/// no second ever costs more than the budget.
#[derive(Clone, Debug)]
pub struct MeasuringBudget {
    bytes_per_second: u32,
    messages_per_second: u32,
    recent: VecDeque<Spent>,
    recent_bytes: u32,
    recent_messages: u32,
    clock: Duration,
    count: MeasuringCount,
}

impl MeasuringBudget {
    /// Creates a budget that nothing was spent of.
    #[must_use]
    pub fn new(bytes_per_second: u32, messages_per_second: u32) -> Self {
        Self {
            bytes_per_second,
            messages_per_second,
            recent: VecDeque::new(),
            recent_bytes: 0,
            recent_messages: 0,
            clock: Duration::ZERO,
            count: MeasuringCount::default(),
        }
    }

    /// Pays for a measurement of so many bytes in so many messages of its own;
    /// returns whether it may be made.
    pub fn spend(&mut self, now: Duration, bytes: u32, messages: u32) -> bool {
        self.clock = self.clock.max(now);
        self.forget_old();
        let paid = bytes <= self.bytes_per_second - self.recent_bytes
            && messages <= self.messages_per_second - self.recent_messages;
        if !paid {
            self.count.denied += 1;
            return false;
        }
        self.recent.push_back(Spent {
            at: self.clock,
            bytes,
            messages,
        });
        self.recent_bytes += bytes;
        self.recent_messages += messages;
        self.count.bytes += u64::from(bytes);
        self.count.messages += u64::from(messages);
        true
    }

    /// Returns what measuring has cost so far.
    #[must_use]
    pub fn count(&self) -> MeasuringCount {
        self.count
    }

    fn forget_old(&mut self) {
        while let Some(spent) = self.recent.front().copied()
            && self.clock.saturating_sub(spent.at) >= BUDGET_WINDOW
        {
            self.recent.pop_front();
            self.recent_bytes -= spent.bytes;
            self.recent_messages -= spent.messages;
        }
    }
}

/// What a ratio budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatioLimits {
    /// Retries a request, 0 to 1.
    pub ratio: f64,
    /// Retries that may be saved up at most, out of the ratio.
    pub max_saved: f64,
    /// Retries a second that are allowed without any traffic.
    pub floor_per_second: f64,
    /// Retries that may be saved up at most, out of the floor.
    pub max_floor: f64,
}

impl RatioLimits {
    /// Returns the limits of `ratio` retries a request, 0 to 1, plus a small
    /// floor that lets a daemon with little traffic retry too.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        let any = if ratio > 0.0 { 1.0 } else { 0.0 };
        Self {
            ratio,
            max_saved: ratio * SAVED_REQUESTS,
            floor_per_second: any * FLOOR_PER_SECOND,
            max_floor: any * FLOOR_TOKENS,
        }
    }

    /// Returns the limits of an entry whose budget is a part of one that is
    /// counted over the whole fleet: what is saved up, and what is allowed
    /// without traffic, adds up over all entries.
    #[must_use]
    pub fn shared(ratio: f64, max_saved: f64) -> Self {
        Self {
            ratio,
            max_saved,
            floor_per_second: 0.0,
            max_floor: 0.0,
        }
    }
}

/// Allows retries, or hedges, in proportion to recent requests.
#[derive(Clone, Debug)]
pub struct RatioBudget {
    limits: RatioLimits,
    earned: f64,
    floor: f64,
    filled: Duration,
}

impl RatioBudget {
    /// Creates a budget that has saved up its floor.
    #[must_use]
    pub fn new(limits: RatioLimits) -> Self {
        Self {
            limits,
            earned: 0.0,
            floor: limits.max_floor,
            filled: Duration::ZERO,
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self) {
        self.earned = (self.earned + self.limits.ratio).min(self.limits.max_saved);
    }

    /// Pays for a retry; returns whether it may be made.
    pub fn spend(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        let filled = self.floor + passed * self.limits.floor_per_second;
        self.floor = filled.min(self.limits.max_floor);
        if self.earned >= 1.0 - ROUNDING {
            self.earned -= 1.0;
            return true;
        }
        if self.floor >= 1.0 {
            self.floor -= 1.0;
            return true;
        }
        false
    }
}
