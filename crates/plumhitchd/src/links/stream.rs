//! The request streams multiplexed on one connection.

use super::credit::{Credit, Window};
use crate::runtime::lock;
use crate::task_messages::{StreamEvent, TaskMessage, TaskTx};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use wire::{AttemptId, Body, StreamId};

/// One open stream.
#[derive(Debug)]
pub(crate) struct StreamHandle {
    /// Sends messages to the request's task.
    pub(crate) tx: TaskTx,
    /// Attempt carried by the stream.
    pub(crate) attempt: AttemptId,
    /// Body bytes that may still be sent.
    pub(crate) credit: Arc<Credit>,
    /// Body bytes that may still be received.
    pub(crate) window: Arc<Window>,
    /// How much of the request has been written.
    pub(crate) progress: SendProgress,
}

impl StreamHandle {
    fn may_have_run(&self, peer_holds_bodies: bool) -> bool {
        match self.progress {
            SendProgress::Queued => false,
            SendProgress::Incomplete => !peer_holds_bodies,
            SendProgress::MayRun => true,
        }
    }
}

/// How much of a request has been written to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendProgress {
    /// Nothing.
    Queued,
    /// Some of it, but too little to run it for a peer that holds bodies.
    Incomplete,
    /// Enough that the peer may run it.
    MayRun,
}

/// All streams of one connection.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    closed: bool,
    last_id: StreamId,
    handles: HashMap<StreamId, StreamHandle>,
}

impl Streams {
    /// Opens a stream with the next id and sends its `Open` frame under the lock,
    /// so that the peer receives increasing ids; returns `None` if the connection
    /// is closed.
    pub(crate) fn open(
        &self,
        handle: StreamHandle,
        send: impl FnOnce(StreamId),
    ) -> Option<StreamId> {
        let mut table = lock(&self.table);
        if table.closed {
            return None;
        }
        table.last_id += 1;
        let id = table.last_id;
        table.handles.insert(id, handle);
        send(id);
        Some(id)
    }

    /// Adds a stream opened by the peer; returns false if the connection is closed.
    pub(crate) fn insert(&self, id: StreamId, handle: StreamHandle) -> bool {
        let mut table = lock(&self.table);
        if table.closed {
            return false;
        }
        table.handles.insert(id, handle);
        true
    }

    /// Removes a stream; later frames on it are dropped.
    pub(crate) fn remove(&self, id: StreamId) {
        lock(&self.table).handles.remove(&id);
    }

    /// Records how much of a request is about to be written. Returns whether its stream is
    /// open.
    pub(crate) fn record_written(&self, id: StreamId, progress: SendProgress) -> bool {
        let mut table = lock(&self.table);
        let Some(handle) = table.handles.get_mut(&id) else {
            return false;
        };
        handle.progress = progress;
        true
    }

    /// Returns whether a stream is open.
    pub(crate) fn contains(&self, id: StreamId) -> bool {
        lock(&self.table).handles.contains_key(&id)
    }

    /// Passes a frame to its stream's task; frames of unknown streams are dropped.
    /// A peer that exceeds its credit loses the stream.
    pub(crate) fn deliver(&self, id: StreamId, body: Body) {
        let mut table = lock(&self.table);
        let Some(handle) = table.handles.get(&id) else {
            return;
        };
        let within_credit = match &body {
            Body::Credit(credit) => {
                handle.credit.add(u64::from(credit.bytes));
                return;
            }
            Body::Data(data) => handle.window.receive(data.bytes.len()),
            _ => true,
        };
        let event = match within_credit {
            true => StreamEvent::Frame(Box::new(body)),
            false => StreamEvent::Lost { may_have_run: true },
        };
        let _ = handle.tx.send(TaskMessage::Stream(handle.attempt, event));
        if !within_credit {
            table.handles.remove(&id);
        }
    }

    /// Returns whether any request of which something was written is still open.
    pub(crate) fn any_written(&self) -> bool {
        let table = lock(&self.table);
        let mut handles = table.handles.values();
        handles.any(|handle| handle.progress != SendProgress::Queued)
    }

    /// Returns whether no stream is open.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.table).handles.is_empty()
    }

    /// Closes the table if no stream is open; returns whether it is closed.
    pub(crate) fn close_if_empty(&self) -> bool {
        let mut table = lock(&self.table);
        table.closed |= table.handles.is_empty();
        table.closed
    }

    /// Closes the table for new streams, and notifies the others' tasks that the peer does
    /// not respond. Streams whose request cannot have run are lost, the others stay open.
    /// Returns whether any does.
    pub(crate) fn report_silence(&self, peer_holds_bodies: bool) -> bool {
        let mut table = lock(&self.table);
        table.closed = true;
        table.handles.retain(|_, handle| {
            let may_have_run = handle.may_have_run(peer_holds_bodies);
            let event = match may_have_run {
                true => StreamEvent::Silent,
                false => StreamEvent::Lost { may_have_run },
            };
            let _ = handle.tx.send(TaskMessage::Stream(handle.attempt, event));
            may_have_run
        });
        !table.handles.is_empty()
    }

    /// Closes the table and notifies every stream's task that the connection is
    /// lost. `peer_holds_bodies` is whether the peer runs no request before it has a
    /// complete body that is to be held.
    pub(crate) fn close(&self, peer_holds_bodies: bool) {
        let mut table = lock(&self.table);
        table.closed = true;
        for (_, handle) in table.handles.drain() {
            let may_have_run = handle.may_have_run(peer_holds_bodies);
            let event = StreamEvent::Lost { may_have_run };
            let _ = handle.tx.send(TaskMessage::Stream(handle.attempt, event));
        }
    }
}

/// Returns the existing stream that a frame belongs to, if any.
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
