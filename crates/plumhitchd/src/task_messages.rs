//! What the task of one request is told, at the entry or at the gate.

use node::{admission, entry};
use tokio::sync::mpsc;
use wire::{AttemptId, Body};

/// Where a request's task is told what to do.
pub(crate) type TaskTx = mpsc::UnboundedSender<TaskMessage>;
/// Where a request's task reads what to do.
pub(crate) type TaskRx = mpsc::UnboundedReceiver<TaskMessage>;

/// A message to the task of one request.
#[derive(Debug)]
pub(crate) enum TaskMessage {
    /// An effect of the entry's role.
    Entry(entry::Effect),
    /// An effect of the gate's role.
    Gate(admission::Effect),
    /// Something came over the stream of an attempt.
    Stream(AttemptId, StreamEvent),
    /// The request's body could not be read to its end.
    UploadFailed(UploadError),
}

/// Something that came over a stream.
#[derive(Debug)]
pub(crate) enum StreamEvent {
    /// A frame.
    Frame(Box<Body>),
    /// The connection is gone.
    Lost {
        /// Whether any byte of the request may have left this daemon.
        sent: bool,
    },
}

/// Why a request's body could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UploadError {
    /// It is longer than the settings allow.
    TooLong,
    /// The caller broke it off.
    Aborted,
}
