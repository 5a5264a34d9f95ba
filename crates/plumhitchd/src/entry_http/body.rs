//! A caller's body on its way from the connection to the request's task.

use crate::task_messages::UploadError;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Pieces of a body that wait between connection and task.
const QUEUED_PIECES: usize = 8;

/// A piece of a body, or that it can't be read on.
pub(super) type Piece = Result<Bytes, UploadError>;
/// The connection's end.
pub(super) type BodyTx = mpsc::Sender<Piece>;

/// The task's end: the pieces, then nothing.
#[derive(Debug)]
pub(super) struct BodyRx {
    rx: mpsc::Receiver<Piece>,
}

/// Creates both ends.
pub(super) fn channel() -> (BodyTx, BodyRx) {
    let (tx, rx) = mpsc::channel(QUEUED_PIECES);
    (tx, BodyRx { rx })
}

impl BodyRx {
    /// Returns the next bytes; `None` at the body's end.
    ///
    /// # Errors
    ///
    /// Returns why the body can't be read on.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, UploadError> {
        self.rx.recv().await.transpose()
    }
}
