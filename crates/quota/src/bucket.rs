//! A token bucket whose level can be negative.

use std::time::Duration;

/// Internal units per token. At one token per 1,000 seconds, a microsecond adds
/// exactly one unit, so that the refill needs no rounding.
const UNITS: i64 = 1_000_000_000;

/// A rate in tokens per 1,000 seconds.
pub type MilliRate = u64;

/// Converts a rate in tokens per second.
#[must_use]
pub fn per_second(rate: u32) -> MilliRate {
    u64::from(rate) * 1_000
}

/// Time in which the refill makes up for the largest debt.
const MAX_DEBT: Duration = Duration::from_secs(10);

/// A token bucket that is filled at a rate up to a capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    rate: MilliRate,
    capacity: u32,
    units: i64,
    at: Duration,
}

impl Bucket {
    /// Creates a bucket that was empty at `since` and has been filling until now.
    #[must_use]
    pub fn new(now: Duration, rate: MilliRate, capacity: u32, since: Duration) -> Self {
        let mut bucket = Self {
            rate,
            capacity,
            units: 0,
            at: since.min(now),
        };
        bucket.fill(now);
        bucket
    }

    /// Changes rate and capacity. The level is kept, within the new limits.
    pub fn set_limits(&mut self, now: Duration, rate: MilliRate, capacity: u32) {
        self.fill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.units = self.units.clamp(-self.max_debt_units(), self.max_units());
    }

    /// Returns the number of whole tokens available.
    pub fn level(&mut self, now: Duration) -> u32 {
        self.fill(now);
        u32::try_from(self.units / UNITS).unwrap_or(0)
    }

    /// Returns the level as a fraction of the capacity, from 0 to 1.
    pub fn fullness(&mut self, now: Duration) -> f64 {
        self.fill(now);
        (self.units as f64 / self.max_units() as f64).clamp(0.0, 1.0)
    }

    /// Takes tokens if all of them are available; returns whether it did.
    pub fn take(&mut self, now: Duration, tokens: u32) -> bool {
        let enough = self.level(now) >= tokens;
        if enough {
            self.units -= i64::from(tokens) * UNITS;
        }
        enough
    }

    /// Takes tokens for requests that were already admitted. The level may become
    /// negative, by at most the refill of `MAX_DEBT`.
    pub fn debit(&mut self, now: Duration, tokens: u32) {
        self.fill(now);
        let units = self.units - i64::from(tokens) * UNITS;
        self.units = units.max(-self.max_debt_units());
    }

    /// Returns unused tokens to the bucket.
    pub fn refund(&mut self, now: Duration, tokens: u32) {
        self.fill(now);
        self.units = (self.units + i64::from(tokens) * UNITS).min(self.max_units());
    }

    /// Returns the time until a whole token is available.
    pub fn wait(&mut self, now: Duration) -> Duration {
        self.fill(now);
        let missing = u64::try_from(UNITS - self.units).unwrap_or(0);
        Duration::from_micros(missing.div_ceil(self.rate.max(1)))
    }

    /// Returns the time until the level is no longer negative.
    pub fn debt_time(&mut self, now: Duration) -> Duration {
        self.fill(now);
        let missing = u64::try_from(-self.units).unwrap_or(0);
        Duration::from_micros(missing.div_ceil(self.rate.max(1)))
    }

    /// Raises a negative level to one that the refill makes up for within `max`.
    pub fn limit_debt(&mut self, now: Duration, max: Duration) {
        self.fill(now);
        let micros = u64::try_from(max.as_micros()).unwrap_or(u64::MAX);
        let debt = i64::try_from(self.rate.saturating_mul(micros)).unwrap_or(i64::MAX);
        self.units = self.units.max(-debt);
    }

    fn max_units(&self) -> i64 {
        i64::from(self.capacity.max(1)) * UNITS
    }

    fn max_debt_units(&self) -> i64 {
        let micros = u64::try_from(MAX_DEBT.as_micros()).unwrap_or(u64::MAX);
        i64::try_from(self.rate.saturating_mul(micros)).unwrap_or(i64::MAX)
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_micros();
        let units = elapsed.saturating_mul(u128::from(self.rate));
        let units = i64::try_from(units).unwrap_or(i64::MAX);
        self.units = self.units.saturating_add(units).min(self.max_units());
        self.at = self.at.max(now);
    }
}
