//! Heartbeats that wait for a leader.
//!
//! After a power cut daemons and replicas start together. Without the wait
//! each daemon would ask one replica after the other until one leads, a delay
//! after each; the longer the delay, the later the last daemon serves.

use crate::event::LinkId;
use std::time::Duration;
use wire::Heartbeat;

/// Time for which a heartbeat waits: well under the time after which daemons
/// believe a replica to be silent.
const HOLD: Duration = Duration::from_millis(100);
/// Heartbeats that wait at most.
const MAX_HELD: usize = 2_000;

/// The heartbeats that wait, in the order in which they came.
#[derive(Debug, Default)]
pub(super) struct HeldHeartbeats {
    held: Vec<(Duration, LinkId, Heartbeat)>,
}

impl HeldHeartbeats {
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Lets a heartbeat wait, or returns it if there is no room.
    pub(super) fn push(
        &mut self,
        now: Duration,
        link: LinkId,
        heartbeat: Heartbeat,
    ) -> Option<Heartbeat> {
        if self.held.len() >= MAX_HELD {
            return Some(heartbeat);
        }
        self.held.push((now, link, heartbeat));
        None
    }

    /// Takes those out that have waited long enough.
    pub(super) fn take_late(&mut self, now: Duration) -> Vec<(LinkId, Heartbeat)> {
        let late = |(at, ..): &mut (Duration, LinkId, Heartbeat)| now.saturating_sub(*at) >= HOLD;
        let late = self.held.extract_if(.., late);
        late.map(|(_, link, heartbeat)| (link, heartbeat)).collect()
    }

    /// Takes all of them out.
    pub(super) fn take_all(&mut self) -> Vec<(LinkId, Heartbeat)> {
        let all = std::mem::take(&mut self.held).into_iter();
        all.map(|(_, link, heartbeat)| (link, heartbeat)).collect()
    }

    /// Drops those of a connection that closed.
    pub(super) fn link_closed(&mut self, closed: LinkId) {
        self.held.retain(|(_, link, _)| *link != closed);
    }
}
