//! Frames of one connection that wait to be written.

use std::collections::VecDeque;
use std::time::Duration;
use wire::{Body, StreamId};

/// Frames that wait to be written, in the order in which they are to be sent:
/// pieces of bodies after all other frames, and otherwise as they were queued.
///
/// A stream's frames stay in order, because a piece of a body is never sent ahead of
/// the frame that starts its stream or its response.
#[derive(Debug, Default)]
pub struct SendQueue {
    frames: VecDeque<Queued>,
    pieces: VecDeque<Body>,
}

#[derive(Debug)]
struct Queued {
    body: Body,
    since: Duration,
}

impl SendQueue {
    /// Queues a frame. A frame that ends a stream discards the stream's pieces,
    /// which the peer would ignore.
    pub fn push(&mut self, now: Duration, body: Body) {
        match &body {
            Body::Data(_) => return self.pieces.push_back(body),
            Body::Cancel(cancel) => self.discard_pieces(cancel.stream),
            Body::Reset(reset) => self.discard_pieces(reset.stream),
            _ => {}
        }
        self.frames.push_back(Queued { body, since: now });
    }

    /// Removes and returns the next frame. The times that an `Open` frame states
    /// are reduced by the time for which it was queued.
    pub fn pop(&mut self, now: Duration) -> Option<Body> {
        let Some(Queued { mut body, since }) = self.frames.pop_front() else {
            return self.pieces.pop_front();
        };
        if let Body::Open(open) = &mut body {
            let waited = now.saturating_sub(since).as_millis();
            open.subtract_time(u64::try_from(waited).unwrap_or(u64::MAX));
        }
        Some(body)
    }

    /// Returns whether no frame is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty() && self.pieces.is_empty()
    }

    fn discard_pieces(&mut self, stream: StreamId) {
        self.pieces
            .retain(|body| !matches!(body, Body::Data(data) if data.stream == stream));
    }
}
