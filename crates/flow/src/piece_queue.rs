//! Pieces of a body that wait to be passed on.

use crate::MAX_PIECE_BYTES;
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;

/// Length from which a piece is kept as it is, in bytes. Shorter ones are copied and joined:
/// each would cost more than its bytes, and keep the buffer in memory that it was read into.
pub const MIN_PIECE_BYTES: usize = 4 * 1024;

/// Pieces of a body in the order in which they arrived.
#[derive(Debug, Default)]
pub struct PieceQueue {
    pieces: VecDeque<Bytes>,
    /// Joined short pieces, after all others.
    tail: BytesMut,
}

impl PieceQueue {
    /// Adds a piece at the end.
    pub fn push(&mut self, piece: Bytes) {
        if piece.len() >= MIN_PIECE_BYTES {
            self.end_tail();
            self.pieces.push_back(piece);
            return;
        }
        self.tail.extend_from_slice(&piece);
        if self.tail.len() >= MAX_PIECE_BYTES {
            self.end_tail();
        }
    }

    /// Removes and returns the first piece.
    pub fn pop(&mut self) -> Option<Bytes> {
        if self.pieces.is_empty() {
            self.end_tail();
        }
        self.pieces.pop_front()
    }

    /// Returns whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty() && self.tail.is_empty()
    }

    /// Returns the number of pieces that are held separately.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pieces.len() + usize::from(!self.tail.is_empty())
    }

    fn end_tail(&mut self) {
        if !self.tail.is_empty() {
            let tail = std::mem::take(&mut self.tail);
            self.pieces.push_back(tail.freeze());
        }
    }
}
