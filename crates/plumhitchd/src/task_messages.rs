//! Messages to the task of one request, at the entry or at the gate.

use node::{admission, entry};
use tokio::sync::mpsc;
use wire::{AttemptId, Body};

/// Sender of messages to a request's task.
pub(crate) type TaskTx = mpsc::UnboundedSender<TaskMessage>;
/// Receiver of a request's task.
pub(crate) type TaskRx = mpsc::UnboundedReceiver<TaskMessage>;

/// A message to the task of one request.
#[derive(Debug)]
pub(crate) enum TaskMessage {
    /// An effect of the entry.
    Entry(entry::Effect),
    /// An effect of the gate's admission.
    Gate(admission::Effect),
    /// An event on the stream of an attempt.
    Stream(AttemptId, StreamEvent),
    /// The request body could not be read completely.
    UploadFailed(UploadError),
}

/// An event on a request stream.
#[derive(Debug)]
pub(crate) enum StreamEvent {
    /// The peer sent a frame.
    Frame(Box<Body>),
    /// The peer does not respond, but may have run the request and may still reply.
    Silent,
    /// The connection was lost, or the peer exceeded its credit.
    Lost {
        /// Whether the peer may have run the request.
        may_have_run: bool,
    },
}

/// Why a request body could not be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UploadError {
    /// The body exceeds the configured maximum length.
    TooLong,
    /// The caller aborted the upload.
    Aborted,
    /// The rest of the body stopped arriving.
    TimedOut,
    /// There is no memory to buffer the body.
    NoMemory,
}
