//! Heartbeats held until a leader is known.
//!
//! After a power cut daemons and replicas start at the same time. If replicas
//! replied at once that there is no leader, each daemon would try one replica
//! after the other, with a delay after each, and would start to serve later.

use crate::event::LinkId;
use std::time::Duration;
use wire::Heartbeat;

/// Maximum time for which a heartbeat is held. It is well below the timeout
/// after which daemons switch to another replica.
const MAX_HOLD: Duration = Duration::from_millis(100);
/// Maximum number of held heartbeats.
const MAX_HELD: usize = 2_000;

/// A held heartbeat, and the connection for the reply.
#[derive(Clone, Debug)]
pub(super) struct HeldHeartbeat {
    pub(super) link: LinkId,
    pub(super) heartbeat: Heartbeat,
    /// Time of arrival.
    pub(super) at: Duration,
}

/// The held heartbeats, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct HeldHeartbeats {
    held: Vec<HeldHeartbeat>,
}

impl HeldHeartbeats {
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Holds a heartbeat, or returns it if the limit is reached.
    pub(super) fn push(&mut self, held: HeldHeartbeat) -> Option<HeldHeartbeat> {
        if self.held.len() >= MAX_HELD {
            return Some(held);
        }
        self.held.push(held);
        None
    }

    /// Removes and returns the heartbeats held for the maximum time.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<HeldHeartbeat> {
        let late = |held: &mut HeldHeartbeat| now.saturating_sub(held.at) >= MAX_HOLD;
        self.held.extract_if(.., late).collect()
    }

    /// Removes and returns all heartbeats.
    pub(super) fn take_all(&mut self) -> Vec<HeldHeartbeat> {
        std::mem::take(&mut self.held)
    }

    /// Drops the heartbeats of a closed connection.
    pub(super) fn link_closed(&mut self, closed: LinkId) {
        self.held.retain(|held| held.link != closed);
    }
}
