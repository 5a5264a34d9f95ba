//! Estimates how long a caller has waited already when a request arrives.
//!
//! A caller that retries after a refusal sends a new request whose deadline is
//! its remaining time. The latency objective counts from its first request,
//! so the time already waited is derived from how much shorter the deadline is
//! than the longest recent one of the class.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::ClassId;

/// Fraction by which the deadlines of a class vary between callers.
const DEADLINE_SPREAD: f64 = 0.15;
/// Time for which the longest deadline is kept.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of classes tracked.
const MAX_CLASSES: usize = 1_024;

/// The longest recent deadline of each class.
#[derive(Debug, Default)]
pub(super) struct WaitEstimator {
    longest: BTreeMap<ClassId, LongestDeadline>,
}

#[derive(Clone, Copy, Debug)]
struct LongestDeadline {
    granted: Duration,
    at: Duration,
}

impl WaitEstimator {
    /// Records the deadline that a caller grants a request of a class; returns
    /// the least time that the caller has waited already.
    pub(super) fn estimate(&mut self, now: Duration, class: &str, granted: Duration) -> Duration {
        let known = self.longest.get(class);
        let recent = known.filter(|l| now.saturating_sub(l.at) < RETENTION);
        let longer = recent.filter(|l| l.granted > granted);
        let Some(longest) = longer else {
            if known.is_some() || self.longest.len() < MAX_CLASSES {
                self.longest
                    .insert(class.into(), LongestDeadline { granted, at: now });
            }
            return Duration::ZERO;
        };
        longest
            .granted
            .mul_f64(1.0 - DEADLINE_SPREAD)
            .saturating_sub(granted)
    }
}
