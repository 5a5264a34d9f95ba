//! Heartbeats that wait for a leader.
//!
//! After a power cut daemons and replicas start together. Without the wait
//! each daemon would ask one replica after the other until one leads, with a
//! delay after each; the longer the delay, the later the last daemon serves.

use crate::event::LinkId;
use std::time::Duration;
use wire::Heartbeat;

/// Time for which a heartbeat waits: well under the time after which daemons
/// believe a replica to be silent.
const HOLD: Duration = Duration::from_millis(100);
/// Heartbeats that wait at most.
const MAX_HELD: usize = 2_000;

/// A heartbeat, and the connection on which its answer goes.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) link: LinkId,
    pub(super) heartbeat: Heartbeat,
    /// When it came.
    pub(super) at: Duration,
}

/// The heartbeats that wait, in the order in which they came.
#[derive(Debug, Default)]
pub(super) struct HeldHeartbeats {
    held: Vec<Held>,
}

impl HeldHeartbeats {
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Lets a heartbeat wait, or returns it if there is no room.
    pub(super) fn push(&mut self, held: Held) -> Option<Held> {
        if self.held.len() >= MAX_HELD {
            return Some(held);
        }
        self.held.push(held);
        None
    }

    /// Takes those out that have waited long enough.
    pub(super) fn take_late(&mut self, now: Duration) -> Vec<Held> {
        let late = |held: &mut Held| now.saturating_sub(held.at) >= HOLD;
        self.held.extract_if(.., late).collect()
    }

    /// Takes all of them out.
    pub(super) fn take_all(&mut self) -> Vec<Held> {
        std::mem::take(&mut self.held)
    }

    /// Drops those of a connection that closed.
    pub(super) fn link_closed(&mut self, closed: LinkId) {
        self.held.retain(|held| held.link != closed);
    }
}
