//! Credit for the bodies that a daemon receives.

use std::time::Duration;

/// Identifies a body that is being received.
pub type BodyId = u64;

/// Smallest grant, in bytes, unless less is left of the body.
const MIN_GRANT_BYTES: u64 = 4 * 1024;
/// Time without bytes after which the credit of a body no longer counts as being in
/// transit: its sender may be frozen or cut off, and others must not wait for it.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Credit to send to the sender of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The body.
    pub body: BodyId,
    /// Number of additional bytes that may be sent.
    pub bytes: u64,
}

/// Decides which bodies are received next, from all senders.
///
/// Bodies are received in the order in which they were added, with at most
/// `capacity` bytes in transit. Receiving them one after the other completes the
/// first ones sooner than sharing the link among all, and the last one no later.
#[derive(Debug)]
pub struct Intake {
    capacity: u64,
    bodies: Vec<Incoming>,
}

/// A body that has not been received completely.
#[derive(Debug)]
struct Incoming {
    id: BodyId,
    /// Bytes for which no credit was granted yet.
    ungranted: u64,
    /// Bytes that were granted and have not arrived.
    in_transit: u64,
    /// Time of the latest grant or arrival.
    progress_at: Duration,
}

impl Incoming {
    fn is_stalled(&self, now: Duration) -> bool {
        self.in_transit > 0 && now.saturating_sub(self.progress_at) >= STALL_TIMEOUT
    }
}

impl Intake {
    /// Creates an intake that keeps at most `capacity` bytes in transit.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            bodies: Vec::new(),
        }
    }

    /// Adds a body of which `bytes` are still to be received.
    pub fn add(&mut self, now: Duration, id: BodyId, bytes: u64) {
        self.bodies.push(Incoming {
            id,
            ungranted: bytes,
            in_transit: 0,
            progress_at: now,
        });
    }

    /// Records that bytes of a body arrived.
    pub fn record_arrival(&mut self, now: Duration, id: BodyId, bytes: u64) {
        if let Some(body) = self.bodies.iter_mut().find(|b| b.id == id) {
            body.in_transit = body.in_transit.saturating_sub(bytes);
            body.progress_at = now;
        }
    }

    /// Removes a body that is complete or no longer needed.
    pub fn remove(&mut self, id: BodyId) {
        self.bodies.retain(|body| body.id != id);
    }

    /// Returns the credit that can be granted now.
    pub fn grants(&mut self, now: Duration) -> Vec<Grant> {
        let active = self.bodies.iter().filter(|b| !b.is_stalled(now));
        let in_transit: u64 = active.map(|b| b.in_transit).sum();
        let mut free = self.capacity.saturating_sub(in_transit);
        let mut grants = Vec::new();
        for body in &mut self.bodies {
            let bytes = body.ungranted.min(free);
            let too_small = bytes < MIN_GRANT_BYTES && bytes < body.ungranted;
            if bytes == 0 || too_small || body.is_stalled(now) {
                continue;
            }
            free -= bytes;
            body.ungranted -= bytes;
            body.in_transit += bytes;
            body.progress_at = now;
            grants.push(Grant {
                body: body.id,
                bytes,
            });
        }
        grants
    }
}
