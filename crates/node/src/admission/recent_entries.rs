//! Entries that recently sent requests to this gate, and the slowness that was
//! last sent to them.

use crate::event::LinkId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a request for which its entry is notified of changes.
const RECENT_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of entries that are notified.
const MAX_ENTRIES: usize = 64;
/// Ratio of two slowness values from which on they count as different.
const MIN_CHANGE_RATIO: f64 = 1.4;

/// Entries that recently sent requests here, by connection.
#[derive(Debug, Default)]
pub(super) struct RecentEntries {
    last_request: BTreeMap<LinkId, Duration>,
    /// Slowness last sent to them, in percent of the normal service time.
    last_sent_percent: u32,
}

impl RecentEntries {
    /// Records a request on a connection.
    pub(super) fn record_request(&mut self, now: Duration, link: LinkId) {
        if self.last_request.len() < MAX_ENTRIES || self.last_request.contains_key(&link) {
            self.last_request.insert(link, now);
        }
    }

    /// Returns the number of entries that recently sent requests.
    pub(super) fn count(&self, now: Duration) -> usize {
        let recent = |at: &&Duration| now.saturating_sub(**at) < RECENT_WINDOW;
        self.last_request.values().filter(recent).count()
    }

    /// Returns the recently used connections if the slowness has changed enough
    /// to notify them; otherwise none.
    pub(super) fn entries_to_notify(&mut self, now: Duration, slow_percent: u32) -> Vec<LinkId> {
        let (old, new) = (
            f64::from(self.last_sent_percent.max(1)),
            f64::from(slow_percent.max(1)),
        );
        if (new / old).max(old / new) < MIN_CHANGE_RATIO {
            return Vec::new();
        }
        self.last_sent_percent = slow_percent;
        self.last_request
            .retain(|_, at| now.saturating_sub(*at) < RECENT_WINDOW);
        self.last_request.keys().copied().collect()
    }
}
