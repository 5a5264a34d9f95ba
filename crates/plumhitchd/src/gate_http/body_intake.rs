//! Grants the entries credit for the bodies that this gate holds until they are
//! complete.

use crate::clock;
use crate::links::{Link, Window};
use crate::runtime::lock;
use flow::{BodyId, Intake};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use wire::{Body, Credit, StreamId};

/// Time that the body bytes in transit may take on the network link: small frames
/// wait at most that long behind them.
const MAX_LINK_DELAY: Duration = Duration::from_millis(80);
/// Smallest number of body bytes in transit, so that slow links are used fully over
/// a long round trip.
const MIN_CAPACITY_BYTES: u64 = 16 * 1024;

/// The bodies that are being received, from all entries.
#[derive(Debug)]
pub(crate) struct BodyIntake {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    intake: Intake,
    streams: HashMap<BodyId, Stream>,
}

/// The stream on which a body arrives.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) link: Arc<Link>,
    pub(super) id: StreamId,
    pub(super) window: Arc<Window>,
}

impl BodyIntake {
    /// Creates an intake for a link that carries `link_bytes` a second, or 0 if that
    /// is unknown. At most `max_bytes` are in transit.
    pub(crate) fn new(link_bytes: u64, max_bytes: u64) -> Self {
        let capacity = match link_bytes {
            0 => max_bytes,
            rate => capacity(rate).min(max_bytes),
        };
        let state = State {
            intake: Intake::new(capacity),
            streams: HashMap::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Adds a body of which `bytes` are still to be received.
    pub(super) fn add(&self, id: BodyId, stream: Stream, bytes: u64) {
        let mut state = lock(&self.state);
        state.intake.add(clock::now(), id, bytes);
        state.streams.insert(id, stream);
        state.grant();
    }

    /// Records that bytes of a body arrived.
    pub(super) fn record_arrival(&self, id: BodyId, bytes: u64) {
        let mut state = lock(&self.state);
        state.intake.record_arrival(clock::now(), id, bytes);
        state.grant();
    }

    /// Removes a body that is complete or no longer needed.
    pub(super) fn remove(&self, id: BodyId) {
        let mut state = lock(&self.state);
        state.intake.remove(id);
        state.streams.remove(&id);
        state.grant();
    }

    /// Grants what became free because a sender stalled.
    pub(super) fn check_stalled(&self) {
        lock(&self.state).grant();
    }
}

impl State {
    fn grant(&mut self) {
        for grant in self.intake.grants(clock::now()) {
            let Some(stream) = self.streams.get(&grant.body) else {
                continue;
            };
            stream.window.grant(grant.bytes);
            stream.link.send(Body::Credit(Credit {
                stream: stream.id,
                bytes: u32::try_from(grant.bytes).unwrap_or(u32::MAX),
            }));
        }
    }
}

fn capacity(bytes_per_second: u64) -> u64 {
    let delay_ms = u64::try_from(MAX_LINK_DELAY.as_millis()).unwrap_or(u64::MAX);
    (bytes_per_second.saturating_mul(delay_ms) / 1_000).max(MIN_CAPACITY_BYTES)
}
