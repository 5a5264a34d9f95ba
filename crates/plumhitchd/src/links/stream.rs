//! The request streams on one connection.

use super::credit::{Credit, Window};
use crate::runtime::lock;
use crate::task_messages::{StreamEvent, TaskMessage, TaskTx};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use wire::{AttemptId, Body, StreamId};

/// One open stream.
#[derive(Debug)]
pub(crate) struct StreamHandle {
    /// The request's task.
    pub(crate) tx: TaskTx,
    /// Attempt that the stream carries.
    pub(crate) attempt: AttemptId,
    /// What may still be sent.
    pub(crate) credit: Arc<Credit>,
    /// What may still be received.
    pub(crate) window: Arc<Window>,
    /// Whether any byte of its `Open` may have been sent.
    pub(crate) sent: bool,
}

/// The streams of one connection.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    closed: bool,
    last: StreamId,
    slots: HashMap<StreamId, StreamHandle>,
}

impl Streams {
    /// Opens a stream under the next number and sends its message, so that the
    /// peer sees the numbers rise; returns `None` if the connection is closed.
    pub(crate) fn open(&self, slot: StreamHandle, send: impl FnOnce(StreamId)) -> Option<StreamId> {
        let mut table = lock(&self.table);
        if table.closed {
            return None;
        }
        table.last += 1;
        let id = table.last;
        table.slots.insert(id, slot);
        send(id);
        Some(id)
    }

    /// Adds a stream that the peer opened; returns false if the connection is closed.
    pub(crate) fn insert(&self, id: StreamId, slot: StreamHandle) -> bool {
        let mut table = lock(&self.table);
        if table.closed {
            return false;
        }
        table.slots.insert(id, slot);
        true
    }

    /// Forgets a stream; later frames on it are dropped.
    pub(crate) fn remove(&self, id: StreamId) {
        lock(&self.table).slots.remove(&id);
    }

    /// Records that bytes of a stream's `Open` are about to be written.
    pub(crate) fn mark_sent(&self, id: StreamId) {
        if let Some(slot) = lock(&self.table).slots.get_mut(&id) {
            slot.sent = true;
        }
    }

    /// Hands a frame to its stream; frames of unknown streams are dropped.
    pub(crate) fn deliver(&self, id: StreamId, body: Body) {
        let mut table = lock(&self.table);
        let Some(slot) = table.slots.get(&id) else {
            return;
        };
        let kept = match &body {
            Body::Credit(credit) => {
                slot.credit.add(u64::from(credit.bytes));
                return;
            }
            Body::Data(data) => slot.window.receive(data.bytes.len()),
            _ => true,
        };
        let event = match kept {
            true => StreamEvent::Frame(Box::new(body)),
            false => StreamEvent::Lost { sent: true },
        };
        let _ = slot.tx.send(TaskMessage::Stream(slot.attempt, event));
        if !kept {
            table.slots.remove(&id);
        }
    }

    /// Returns whether a request was sent that is not over.
    pub(crate) fn any_sent(&self) -> bool {
        lock(&self.table).slots.values().any(|slot| slot.sent)
    }

    /// Closes the table unless a stream is open; returns whether it is closed.
    pub(crate) fn close_if_empty(&self) -> bool {
        let mut table = lock(&self.table);
        table.closed |= table.slots.is_empty();
        table.closed
    }

    /// Tells every stream that the connection is gone.
    pub(crate) fn close(&self) {
        let mut table = lock(&self.table);
        table.closed = true;
        for (_, slot) in table.slots.drain() {
            let event = StreamEvent::Lost { sent: slot.sent };
            let _ = slot.tx.send(TaskMessage::Stream(slot.attempt, event));
        }
    }
}

/// Returns the stream that a frame belongs to, unless it opens one.
pub(crate) fn stream_of(body: &Body) -> Option<StreamId> {
    match body {
        Body::Data(m) => Some(m.stream),
        Body::Credit(m) => Some(m.stream),
        Body::Response(m) => Some(m.stream),
        Body::Refuse(m) => Some(m.stream),
        Body::Reset(m) => Some(m.stream),
        Body::Cancel(m) => Some(m.stream),
        _ => None,
    }
}
