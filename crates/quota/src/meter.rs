//! Measurement of a rate over the recent past.

use std::time::Duration;

/// Minimum age that is assumed of a meter when its start is compensated for.
const MIN_AGE: Duration = Duration::from_secs(1);

/// A count of arrivals that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Meter {
    count: f64,
    at: Duration,
    started: Duration,
    time_constant: Duration,
    min_count: f64,
}

impl Meter {
    /// Creates a meter with a time constant of decay. Its rate is 0 while its
    /// count is below `min_count`.
    pub(crate) fn new(now: Duration, time_constant: Duration, min_count: f64) -> Self {
        Self {
            count: 0.0,
            at: now,
            started: now,
            time_constant,
            min_count,
        }
    }

    /// Counts an arrival.
    pub(crate) fn count(&mut self, now: Duration) {
        self.add(now, 1);
    }

    /// Counts several arrivals.
    pub(crate) fn add(&mut self, now: Duration, arrivals: u32) {
        self.count = self.decayed(now) + f64::from(arrivals);
        self.at = now;
    }

    /// Returns the arrivals per second.
    pub(crate) fn rate(&self, now: Duration) -> f64 {
        let count = self.decayed(now);
        if count < self.min_count {
            return 0.0;
        }
        // The newest arrival is not counted: the rate is usually read on an
        // arrival, and would otherwise be too high.
        (count - 1.0).max(0.0) / self.time_constant.as_secs_f64()
    }

    /// Returns the arrivals per second, corrected for the time before the meter
    /// started, which the decaying count would otherwise treat as idle.
    pub(crate) fn rate_since_start(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.started).max(MIN_AGE);
        let weight = 1.0 - (-age.as_secs_f64() / self.time_constant.as_secs_f64()).exp();
        self.decayed(now) / self.time_constant.as_secs_f64() / weight
    }

    fn decayed(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }
}
