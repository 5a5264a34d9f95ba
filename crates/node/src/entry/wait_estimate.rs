//! How long callers have waited already when they send a request.
//!
//! A caller who comes back after a refusal sends a new request, with what is
//! left of its time as the deadline. Its answer is late by the time that it
//! has waited in all.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::ClassId;

/// Part by which the times that callers grant a class's requests differ.
const VARIES: f64 = 0.15;
/// Time for which the longest time that a caller granted is remembered.
const REMEMBERED: Duration = Duration::from_secs(60);
/// Classes whose callers are remembered.
const MAX_CLASSES: usize = 1_024;

/// The longest time that callers granted lately, by class.
#[derive(Debug, Default)]
pub(super) struct Patience {
    longest: BTreeMap<ClassId, Longest>,
}

#[derive(Clone, Copy, Debug)]
struct Longest {
    granted: Duration,
    at: Duration,
}

impl Patience {
    /// Takes in the time that a caller grants a request of a class; returns
    /// how long it has waited already, at least.
    pub(super) fn waited(&mut self, now: Duration, class: &str, granted: Duration) -> Duration {
        let known = self.longest.get(class);
        let recent = known.filter(|l| now.saturating_sub(l.at) < REMEMBERED);
        let longer = recent.filter(|l| l.granted > granted);
        let Some(longest) = longer else {
            if known.is_some() || self.longest.len() < MAX_CLASSES {
                self.longest
                    .insert(class.into(), Longest { granted, at: now });
            }
            return Duration::ZERO;
        };
        longest
            .granted
            .mul_f64(1.0 - VARIES)
            .saturating_sub(granted)
    }
}
