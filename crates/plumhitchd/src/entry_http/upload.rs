//! Sends the rest of a request body that is not in the first frame.

use super::body::BodyRx;
use crate::links::{Credit, Link};
use crate::task_messages::{TaskMessage, TaskTx, UploadError};
use bytes::Bytes;
use flow::MAX_PIECE_BYTES;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Mutex;
use wire::{Body, Data, StreamId};

/// The unread rest of a request body. It is read only once a gate grants
/// credit, so that a request that a gate refuses can still be sent to another
/// one.
#[derive(Debug)]
pub(super) struct Upload {
    rest: Mutex<BodyRx>,
    started: AtomicBool,
    max_bytes: u64,
    tx: TaskTx,
}

/// The stream on which the body is sent.
#[derive(Debug)]
pub(super) struct UploadTarget {
    pub(super) link: Arc<Link>,
    pub(super) stream: StreamId,
    pub(super) credit: Arc<Credit>,
    /// Position in the body of the next byte to send; at first the number of
    /// bytes sent with `Open`.
    pub(super) offset: u64,
}

impl Upload {
    /// Creates the upload of the rest of a body that may have `max_bytes` bytes
    /// in total.
    pub(super) fn new(rest: BodyRx, max_bytes: u64, tx: TaskTx) -> Arc<Self> {
        Arc::new(Self {
            rest: Mutex::new(rest),
            started: AtomicBool::new(false),
            max_bytes,
            tx,
        })
    }

    /// Returns whether a gate has granted credit, after which the rest cannot
    /// be sent to another gate.
    pub(super) fn has_started(&self) -> bool {
        self.started.load(Ordering::Acquire)
    }

    /// Sends the rest as the gate grants credit. Notifies the request's task if
    /// the body cannot be read to its end.
    pub(super) async fn send(self: Arc<Self>, target: UploadTarget) {
        if let Err(err) = self.send_rest(target).await {
            let _ = self.tx.send(TaskMessage::UploadFailed(err));
        }
    }

    async fn send_rest(&self, mut target: UploadTarget) -> Result<(), UploadError> {
        let mut credit = target.credit.take(MAX_PIECE_BYTES).await;
        self.started.store(true, Ordering::Release);
        let mut rest = self.rest.lock().await;
        while let Some(mut bytes) = rest.next().await? {
            if target.offset + bytes.len() as u64 > self.max_bytes {
                return Err(UploadError::TooLong);
            }
            while !bytes.is_empty() {
                if credit == 0 {
                    credit = target.credit.take(MAX_PIECE_BYTES).await;
                }
                let piece = bytes.split_to(credit.min(bytes.len()));
                credit -= piece.len();
                target.send(piece, false);
            }
        }
        target.send(Bytes::new(), true);
        Ok(())
    }
}

/// Sends the rest of a buffered body as the gate grants credit. The rest can be sent
/// to another gate as well.
pub(super) async fn send_buffered(mut target: UploadTarget, mut rest: Bytes) {
    while !rest.is_empty() {
        let credit = target.credit.take(rest.len().min(MAX_PIECE_BYTES)).await;
        let piece = rest.split_to(credit);
        target.send(piece, rest.is_empty());
    }
}

impl UploadTarget {
    fn send(&mut self, bytes: Bytes, end: bool) {
        let offset = self.offset;
        self.offset += bytes.len() as u64;
        self.link.send(Body::Data(Data {
            stream: self.stream,
            offset,
            bytes,
            end,
            load: None,
        }));
    }
}
