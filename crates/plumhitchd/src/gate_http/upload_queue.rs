//! Pieces of a request body that wait until the upstream takes them.

use super::upstream_request::UploadPiece;
use crate::runtime::lock;
use bytes::Bytes;
use flow::PieceQueue;
use std::io;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// What waits, and whether more may come.
#[derive(Debug, Default)]
struct State {
    pieces: PieceQueue,
    is_cut_off: bool,
    has_ended: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// Sending half. Dropping it ends the body.
#[derive(Debug)]
pub(super) struct UploadTx {
    shared: Arc<Shared>,
}

/// Receiving half.
#[derive(Debug)]
pub(super) struct UploadRx {
    shared: Arc<Shared>,
}

/// Creates the queue of one body.
pub(super) fn queue() -> (UploadTx, UploadRx) {
    let shared = Arc::new(Shared::default());
    let tx = UploadTx {
        shared: shared.clone(),
    };
    (tx, UploadRx { shared })
}

impl UploadTx {
    /// Adds a piece.
    pub(super) fn push(&self, piece: Bytes) {
        lock(&self.shared.state).pieces.push(piece);
        self.shared.changed.notify_one();
    }

    /// Ends the body before it is complete.
    pub(super) fn cut_off(self) {
        lock(&self.shared.state).is_cut_off = true;
    }
}

impl Drop for UploadTx {
    fn drop(&mut self) {
        lock(&self.shared.state).has_ended = true;
        self.shared.changed.notify_one();
    }
}

impl UploadRx {
    /// Returns the next piece, or `None` at the end.
    pub(super) async fn recv(&mut self) -> Option<UploadPiece> {
        loop {
            {
                let mut state = lock(&self.shared.state);
                if let Some(piece) = state.pieces.pop() {
                    return Some(Ok(piece));
                }
                if state.is_cut_off {
                    return Some(Err(io::ErrorKind::ConnectionAborted.into()));
                }
                if state.has_ended {
                    return None;
                }
            }
            self.shared.changed.notified().await;
        }
    }
}
