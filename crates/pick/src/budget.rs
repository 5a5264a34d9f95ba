//! Budgets for load measurement, retries and hedges.

use std::collections::VecDeque;
use std::time::Duration;

/// Sliding window in which a measuring budget is never exceeded.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);
/// Tolerance for rounding errors in accumulated fractions of a retry.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Maximum number of retries accumulated from the floor.
const FLOOR_BURST: f64 = 5.0;
/// Retries per second allowed without any traffic.
const FLOOR_PER_SECOND: f64 = 1.0;
/// Number of requests from which a ratio budget may accumulate retries.
const MAX_SAVED_REQUESTS: f64 = 500.0;

/// Totals of a measuring budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MeasuringCount {
    /// Bytes spent.
    pub bytes: u64,
    /// Messages spent.
    pub messages: u64,
    /// Measurements that were skipped because the budget was exhausted.
    pub denied: u64,
}

#[derive(Clone, Copy, Debug)]
struct Spend {
    at: Duration,
    bytes: u32,
    messages: u32,
}

/// Budget of one daemon for load measurement: load data attached to its
/// responses, and requests for the load report of its upstream.
///
/// This is a sliding window and not a token bucket, because a bucket would
/// allow more than the budget in the second after an idle one. No second ever
/// exceeds the budget.
#[derive(Clone, Debug)]
pub struct MeasuringBudget {
    bytes_per_second: u32,
    messages_per_second: u32,
    recent: VecDeque<Spend>,
    recent_bytes: u32,
    recent_messages: u32,
    clock: Duration,
    count: MeasuringCount,
}

impl MeasuringBudget {
    /// Creates an unused budget.
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

    /// Charges a measurement of `bytes` bytes and `messages` separate messages;
    /// returns whether the budget allows it.
    pub fn spend(&mut self, now: Duration, bytes: u32, messages: u32) -> bool {
        self.clock = self.clock.max(now);
        self.expire_old();
        let paid = bytes <= self.bytes_per_second - self.recent_bytes
            && messages <= self.messages_per_second - self.recent_messages;
        if !paid {
            self.count.denied += 1;
            return false;
        }
        self.recent.push_back(Spend {
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

    /// Returns the totals so far.
    #[must_use]
    pub fn count(&self) -> MeasuringCount {
        self.count
    }

    fn expire_old(&mut self) {
        while let Some(spent) = self.recent.front().copied()
            && self.clock.saturating_sub(spent.at) >= BUDGET_WINDOW
        {
            self.recent.pop_front();
            self.recent_bytes -= spent.bytes;
            self.recent_messages -= spent.messages;
        }
    }
}

/// Limits of a ratio budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatioLimits {
    /// Retries per request, 0 to 1.
    pub ratio: f64,
    /// Maximum number of retries accumulated from the ratio.
    pub max_saved: f64,
    /// Retries per second allowed without any traffic.
    pub floor_per_second: f64,
    /// Maximum number of retries accumulated from the floor.
    pub max_floor: f64,
}

impl RatioLimits {
    /// Returns limits of `ratio` retries per request, 0 to 1, with a small
    /// floor that allows daemons with little traffic to retry too.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        let enabled = if ratio > 0.0 { 1.0 } else { 0.0 };
        Self {
            ratio,
            max_saved: ratio * MAX_SAVED_REQUESTS,
            floor_per_second: enabled * FLOOR_PER_SECOND,
            max_floor: enabled * FLOOR_BURST,
        }
    }

    /// Returns the limits of one entry's share of a fleet-wide budget. There is
    /// no floor, because the floors of all entries would add up over the fleet.
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

/// Allows retries or hedges in proportion to recent requests.
#[derive(Clone, Debug)]
pub struct RatioBudget {
    limits: RatioLimits,
    earned: f64,
    floor: f64,
    last_refill: Duration,
}

impl RatioBudget {
    /// Creates a budget with the maximum number of retries from the floor and
    /// none from the ratio.
    #[must_use]
    pub fn new(limits: RatioLimits) -> Self {
        Self {
            limits,
            earned: 0.0,
            floor: limits.max_floor,
            last_refill: Duration::ZERO,
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self) {
        self.earned = (self.earned + self.limits.ratio).min(self.limits.max_saved);
    }

    /// Charges a retry; returns whether the budget allows it.
    pub fn spend(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.last_refill).as_secs_f64();
        self.last_refill = self.last_refill.max(now);
        let refilled = self.floor + passed * self.limits.floor_per_second;
        self.floor = refilled.min(self.limits.max_floor);
        if self.earned >= 1.0 - ROUNDING_TOLERANCE {
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
