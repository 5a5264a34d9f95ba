//! Pieces of a request body that wait until the upstream takes them.

use super::upstream_request::UploadPiece;
use crate::runtime::lock;
use bytes::Bytes;
use flow::PieceQueue;
use std::io;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    CutOff,
}

/// What waits, and the end of the body once it is known.
#[derive(Debug, Default)]
struct State {
    pieces: PieceQueue,
    end: Option<End>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// Sending half. Dropping it before [`UploadTx::complete`] cuts the body off.
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

    /// Reports that the body is complete.
    pub(super) fn complete(self) {
        lock(&self.shared.state).end = Some(End::Complete);
    }
}

impl Drop for UploadTx {
    fn drop(&mut self) {
        lock(&self.shared.state).end.get_or_insert(End::CutOff);
        self.shared.changed.notify_one();
    }
}

impl UploadRx {
    /// Returns the next piece, `None` at the end, or an error if the body is cut off.
    pub(super) async fn recv(&mut self) -> Option<UploadPiece> {
        loop {
            {
                let mut state = lock(&self.shared.state);
                if let Some(piece) = state.pieces.pop() {
                    return Some(Ok(piece));
                }
                match state.end {
                    Some(End::Complete) => return None,
                    Some(End::CutOff) => {
                        return Some(Err(io::ErrorKind::ConnectionAborted.into()));
                    }
                    None => {}
                }
            }
            self.shared.changed.notified().await;
        }
    }
}
