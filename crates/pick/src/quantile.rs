//! High percentiles of recent latencies.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of latencies kept.
const WINDOW: usize = 256;
/// Minimum number of latencies for a percentile.
const MIN_SAMPLES: usize = 32;

/// The most recent latencies of a class of requests.
#[derive(Clone, Debug, Default)]
pub struct LatencyQuantiles {
    recent: VecDeque<Duration>,
}

impl LatencyQuantiles {
    /// Records a latency.
    pub fn record(&mut self, latency: Duration) {
        if self.recent.len() >= WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
    }

    /// Returns a percentile of the recent latencies; `None` while there are too
    /// few of them.
    #[must_use]
    pub fn quantile(&self, percent: usize) -> Option<Duration> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let index = (sorted.len() * percent / 100).min(sorted.len() - 1);
        sorted.get(index).copied()
    }
}
