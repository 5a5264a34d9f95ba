//! Channel for a request body, from the caller's connection to the request's
//! task.

use crate::task_messages::UploadError;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Messages that the channel holds before the connection stops reading.
const MAX_QUEUED_MESSAGES: usize = 2;

/// A message about a body.
#[derive(Debug)]
enum BodyMessage {
    /// Its next bytes.
    Piece(Bytes),
    /// It is complete.
    End,
    /// The rest cannot be read.
    Failed(UploadError),
}

/// Sending half, used by the connection. A body whose sender is dropped before
/// [`BodyTx::end`] is cut off.
#[derive(Debug)]
pub(super) struct BodyTx {
    tx: mpsc::Sender<BodyMessage>,
}

/// Receiving half, used by the request's task.
#[derive(Debug)]
pub(super) struct BodyRx {
    rx: mpsc::Receiver<BodyMessage>,
    has_ended: bool,
}

/// Creates the channel of one body.
pub(super) fn channel() -> (BodyTx, BodyRx) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let rx = BodyRx {
        rx,
        has_ended: false,
    };
    (BodyTx { tx }, rx)
}

impl BodyTx {
    /// Passes on the next bytes.
    pub(super) async fn piece(&self, bytes: Bytes) {
        self.send(BodyMessage::Piece(bytes)).await;
    }

    /// Reports that the body is complete.
    pub(super) async fn end(self) {
        self.send(BodyMessage::End).await;
    }

    /// Reports that the rest of the body cannot be read.
    pub(super) async fn fail(self, error: UploadError) {
        self.send(BodyMessage::Failed(error)).await;
    }

    /// Sends a message. The task stops reading once it has a response; what comes then is
    /// discarded.
    async fn send(&self, message: BodyMessage) {
        let _ = self.tx.send(message).await;
    }
}

impl BodyRx {
    /// Returns the next bytes, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns why the rest of the body cannot be read.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, UploadError> {
        if self.has_ended {
            return Ok(None);
        }
        match self.rx.recv().await {
            Some(BodyMessage::Piece(bytes)) => Ok(Some(bytes)),
            Some(BodyMessage::End) => {
                self.has_ended = true;
                Ok(None)
            }
            Some(BodyMessage::Failed(error)) => Err(error),
            None => Err(UploadError::Aborted),
        }
    }
}
