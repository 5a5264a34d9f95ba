//! Entries that use this gate, and what they were told of its upstream's pace.

use crate::event::LinkId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a request for which its entry is told of changes.
const WATCHES: Duration = Duration::from_secs(2);
/// Entries that are told of changes at most.
const MAX_WATCHERS: usize = 64;
/// Ratio of two paces from which on they count as different.
const CHANGE: f64 = 1.4;

/// The entries that sent here lately.
#[derive(Debug, Default)]
pub(super) struct Watchers {
    used: BTreeMap<LinkId, Duration>,
    /// Slowness that they were last told, in hundredths of the usual.
    told: u32,
}

impl Watchers {
    /// Notes that a request came over a connection.
    pub(super) fn used(&mut self, now: Duration, link: LinkId) {
        if self.used.len() < MAX_WATCHERS || self.used.contains_key(&link) {
            self.used.insert(link, now);
        }
    }

    /// Returns the connections over which a pace is to be told: those used
    /// lately, if it has changed.
    pub(super) fn due(&mut self, now: Duration, slow_percent: u32) -> Vec<LinkId> {
        let (old, new) = (f64::from(self.told.max(1)), f64::from(slow_percent.max(1)));
        if (new / old).max(old / new) < CHANGE {
            return Vec::new();
        }
        self.told = slow_percent;
        self.used.retain(|_, at| now.saturating_sub(*at) < WATCHES);
        self.used.keys().copied().collect()
    }
}
