//! Bounded sets of label values, which limit the number of time series.

use compact_str::CompactString;
use std::collections::BTreeSet;

/// Shared label of all values without their own.
const OTHER: &str = "other";

/// Values with their own label: the first `max` configured ones that were used.
#[derive(Debug)]
pub(super) struct Labels {
    max: usize,
    seen: BTreeSet<CompactString>,
}

impl Labels {
    /// Creates an empty set of at most `max` values.
    pub(super) fn new(max: usize) -> Self {
        Self {
            max,
            seen: BTreeSet::new(),
        }
    }

    /// Returns the label of a value. Only configured values (`known`) get their own,
    /// so that callers cannot fill the set with arbitrary names.
    pub(super) fn label(&mut self, value: &str, known: bool) -> CompactString {
        if self.seen.contains(value) {
            return value.into();
        }
        if !known || self.seen.len() >= self.max {
            return OTHER.into();
        }
        self.seen.insert(value.into());
        value.into()
    }
}
