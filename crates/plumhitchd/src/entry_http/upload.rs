//! Sends the rest of a body that is too long to be held.

use super::body::BodyRx;
use crate::links::{Credit, Link};
use crate::task_messages::{TaskMessage, TaskTx, UploadError};
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Mutex;
use wire::{Body, Data, StreamId};

/// Largest piece of a body in one frame, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// The rest of a request's body. It stays unread until a gate grants credit,
/// so that a request that a gate refuses can still go to another.
#[derive(Debug)]
pub(super) struct Upload {
    rest: Mutex<BodyRx>,
    begun: AtomicBool,
    max: u64,
    tx: TaskTx,
}

/// Where an upload goes.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) link: Arc<Link>,
    pub(super) stream: StreamId,
    pub(super) credit: Arc<Credit>,
    /// Bytes already sent with `Open`.
    pub(super) offset: u64,
}

impl Upload {
    /// Takes the rest of a body that may be `max` bytes long altogether.
    pub(super) fn new(rest: BodyRx, max: u64, tx: TaskTx) -> Arc<Self> {
        Arc::new(Self {
            rest: Mutex::new(rest),
            begun: AtomicBool::new(false),
            max,
            tx,
        })
    }

    /// Returns whether part of the rest is already gone to a gate.
    pub(super) fn begun(&self) -> bool {
        self.begun.load(Ordering::Acquire)
    }

    /// Sends the body as the gate grants credit, and tells the request's task
    /// if it can't be read to its end.
    pub(super) async fn send(self: Arc<Self>, target: Target) {
        if let Err(err) = self.pump(target).await {
            let _ = self.tx.send(TaskMessage::UploadFailed(err));
        }
    }

    async fn pump(&self, mut target: Target) -> Result<(), UploadError> {
        let mut credit = target.credit.take(PIECE_BYTES).await;
        self.begun.store(true, Ordering::Release);
        let mut rest = self.rest.lock().await;
        while let Some(mut bytes) = rest.next().await? {
            if target.offset + bytes.len() as u64 > self.max {
                return Err(UploadError::TooLong);
            }
            while !bytes.is_empty() {
                if credit == 0 {
                    credit = target.credit.take(PIECE_BYTES).await;
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

impl Target {
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
