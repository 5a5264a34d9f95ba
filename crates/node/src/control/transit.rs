//! Configuration pages that are still on their way to daemons.
//!
//! Over a slow link a large page takes longer than the interval of heartbeats. The page
//! arrives as long as its connection is open, and sent again with each reply it would only
//! delay what follows.

use crate::event::LinkId;
use std::collections::BTreeMap;

/// By connection, the number of the heartbeat whose reply had a page last.
#[derive(Debug, Default)]
pub(super) struct PagesInTransit {
    sent: BTreeMap<LinkId, u64>,
}

impl PagesInTransit {
    /// Records that the reply to a heartbeat has a page.
    pub(super) fn record(&mut self, link: LinkId, sequence: u64) {
        self.sent.insert(link, sequence);
    }

    /// Returns whether a page is on its way to a daemon, which states the newest heartbeat
    /// whose reply has arrived if it is able to.
    pub(super) fn contains(&self, link: LinkId, received: Option<u64>) -> bool {
        let sent = self.sent.get(&link);
        sent.zip(received)
            .is_some_and(|(sent, received)| received < *sent)
    }

    /// Forgets the pages that were sent over a closed connection.
    pub(super) fn link_closed(&mut self, link: LinkId) {
        self.sent.remove(&link);
    }
}
