//! Seeds of randomised tests.

use std::ops::Range;

/// Returns the seeds to run: `SHUFFLE_SEEDS` of them from `SHUFFLE_FIRST` on.
pub(crate) fn shuffle_seeds(first: u64, count: u64) -> Range<u64> {
    let first = variable("SHUFFLE_FIRST").unwrap_or(first);
    first..first + variable("SHUFFLE_SEEDS").unwrap_or(count)
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().unwrap())
}
