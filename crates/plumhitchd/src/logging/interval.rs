//! Limits how often a log line of one kind is written.

use crate::runtime::lock;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Minimum interval between log lines of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The time of the last log line of one kind.
#[derive(Debug, Default)]
pub(crate) struct LogInterval {
    logged_at: Mutex<Option<Instant>>,
}

impl LogInterval {
    /// Returns whether the interval since the last log line has passed, and begins the next.
    pub(crate) fn is_due(&self) -> bool {
        let mut logged_at = lock(&self.logged_at);
        let now = Instant::now();
        let is_due = logged_at.is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL);
        if is_due {
            *logged_at = Some(now);
        }
        is_due
    }
}
