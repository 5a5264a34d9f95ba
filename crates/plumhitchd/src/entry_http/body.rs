//! Channel for a request body, from the caller's connection to the request's
//! task.

use crate::task_messages::UploadError;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Pieces that the channel holds before the connection stops reading.
const MAX_QUEUED_PIECES: usize = 2;

/// A piece of a body, or why the rest cannot be read.
pub(super) type BodyPiece = Result<Bytes, UploadError>;
/// Sending half, used by the connection.
pub(super) type BodyTx = mpsc::Sender<BodyPiece>;

/// Receiving half, used by the request's task.
#[derive(Debug)]
pub(super) struct BodyRx {
    rx: mpsc::Receiver<BodyPiece>,
}

/// Creates the channel of one body.
pub(super) fn channel() -> (BodyTx, BodyRx) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_PIECES);
    (tx, BodyRx { rx })
}

impl BodyRx {
    /// Returns the next bytes, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns why the rest of the body cannot be read.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, UploadError> {
        self.rx.recv().await.transpose()
    }
}
