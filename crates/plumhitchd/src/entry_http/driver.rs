//! Drives one caller's request: carries the reducer's effects for it out and
//! tells the reducer what its attempts bring.

use super::attempt::{Attempt, Outgoing};
use super::body::BodyRx;
use super::record::Record;
use super::upload::Upload;
use crate::runtime::{Daemon, lock};
use crate::task_messages::{StreamEvent, TaskMessage, TaskRx, TaskTx, UploadError};
use bytes::Bytes;
use node::Event;
use node::entry::{self, Effect, Refusal};
use std::io;
use std::sync::Arc;
use wire::{AttemptId, Body, RequestId, ResponseHead};

/// The first thing that a caller learns.
#[derive(Debug)]
pub(super) enum Head {
    /// An answer; its body comes out of [`Driver::chunk`].
    Answer(ResponseHead),
    /// A final answer that no upstream gave.
    Refused(Refusal),
    /// The caller's own body could not be read.
    Upload(UploadError),
}

/// A caller's request. When it is dropped before the request is over, the
/// caller is gone: the reducer is told, and the rest goes on without a caller.
#[derive(Debug)]
pub(super) struct Driver {
    inner: Option<Inner>,
}

#[derive(Debug)]
struct Inner {
    daemon: Arc<Daemon>,
    id: RequestId,
    record: Record,
    tx: TaskTx,
    rx: TaskRx,
    outgoing: Outgoing,
    upload: Option<Arc<Upload>>,
    attempts: Vec<Attempt>,
    relayed: Option<AttemptId>,
    refusal: Option<Refusal>,
    upload_error: Option<UploadError>,
    over: bool,
}

impl Driver {
    /// Creates the driver of a request that the reducer is not yet told of.
    pub(super) fn new(
        daemon: Arc<Daemon>,
        record: Record,
        (tx, rx): (TaskTx, TaskRx),
        outgoing: Outgoing,
        rest: Option<BodyRx>,
    ) -> Self {
        let max = daemon.max_body_bytes();
        let upload = rest.map(|rest| Upload::new(rest, max, tx.clone()));
        let inner = Inner {
            daemon,
            id: record.id,
            record,
            tx,
            rx,
            outgoing,
            upload,
            attempts: Vec::new(),
            relayed: None,
            refusal: None,
            upload_error: None,
            over: false,
        };
        Self { inner: Some(inner) }
    }

    /// Records that the reducer knows of the request now.
    pub(super) fn arrived(&self) {
        if let Some(inner) = &self.inner {
            inner.record.arrived();
        }
    }

    /// Waits for the beginning of the final answer.
    pub(super) async fn head(&mut self) -> Head {
        let Some(inner) = &mut self.inner else {
            return Head::Upload(UploadError::Aborted);
        };
        loop {
            if let Some(refusal) = inner.refusal.take() {
                inner.record.refused(&refusal);
                return Head::Refused(refusal);
            }
            if let Some(err) = inner.upload_error {
                inner.record.upload_failed(err);
                return Head::Upload(err);
            }
            if let Some(head) = inner.relayed_attempt().and_then(|a| a.answer.clone()) {
                inner.record.status = u16::try_from(head.status).unwrap_or_default();
                return Head::Answer(head);
            }
            inner.step().await;
        }
    }

    /// Returns the answer's body if all of it is here.
    pub(super) fn whole(&mut self) -> Option<Bytes> {
        let inner = self.inner.as_mut()?;
        let attempt = inner.relayed_attempt()?;
        if !attempt.ended {
            return None;
        }
        let body = attempt.pop_all();
        inner.record.answered();
        Some(body)
    }

    /// Waits for the next piece of the answer's body; `None` at its end.
    pub(super) async fn chunk(&mut self) -> Option<io::Result<Bytes>> {
        let inner = self.inner.as_mut()?;
        loop {
            let cut = inner.refusal.is_some() || inner.upload_error.is_some();
            let attempt = inner.relayed_attempt()?;
            if cut || attempt.broken {
                inner.record.broken();
                return Some(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            if let Some(chunk) = attempt.pop() {
                return Some(Ok(chunk));
            }
            if attempt.ended {
                inner.record.answered();
                return None;
            }
            inner.step().await;
        }
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        let Some(mut inner) = self.inner.take() else {
            return;
        };
        if inner.over || !lock(&inner.daemon.entry_tasks).contains_key(&inner.id) {
            return;
        }
        inner.report(entry::Event::CallerGone(inner.id));
        tokio::spawn(async move {
            while !inner.over {
                inner.step().await;
                inner.discard();
            }
        });
    }
}

impl Inner {
    /// Takes the next message in.
    async fn step(&mut self) {
        match self.rx.recv().await {
            Some(TaskMessage::Entry(effect)) => self.carry_out(effect),
            Some(TaskMessage::Stream(attempt, event)) => self.streamed(attempt, event),
            Some(TaskMessage::UploadFailed(err)) => self.upload_failed(err),
            Some(TaskMessage::Gate(_)) => {}
            None => self.over = true,
        }
    }

    fn report(&self, event: entry::Event) {
        self.daemon.dispatch(Event::Entry(event));
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Forward(attempt) => self.forward(&attempt),
            Effect::Cancel(_, id) => {
                if let Some(attempt) = self.attempt(id) {
                    attempt.cancel();
                }
            }
            Effect::Relay(_, id) => self.relayed = Some(id),
            Effect::Refuse(_, refusal) => self.refusal = Some(refusal),
            Effect::Forget(_) => self.over = true,
        }
    }

    fn forward(&mut self, attempt: &entry::Attempt) {
        let spent = self.upload.as_ref().is_some_and(|u| u.begun());
        if spent {
            self.report(entry::Event::Broken(self.id, attempt.attempt, None));
            return;
        }
        self.record.log_attempt(attempt);
        let upload = self.upload.as_ref();
        let started = Attempt::start(&self.daemon, &self.tx, &self.outgoing, upload, attempt);
        self.attempts.push(started);
        self.record.attempts = attempt.attempt;
        self.record.upstream = attempt.upstream.clone();
        self.record.class = attempt.class.clone();
        self.record.service = attempt.service.clone();
    }

    fn streamed(&mut self, id: AttemptId, event: StreamEvent) {
        match event {
            StreamEvent::Frame(body) => self.received(id, *body),
            StreamEvent::Lost { sent: true } => self.broken(id, None),
            StreamEvent::Lost { sent: false } => {
                self.drop_attempt(id);
                self.report(entry::Event::NotSent(self.id, id));
            }
        }
    }

    fn received(&mut self, id: AttemptId, body: Body) {
        match body {
            Body::Response(head) => self.answering(id, head),
            Body::Data(data) => {
                let load = data.load;
                let kept = self.attempt(id).is_none_or(|a| a.data(data));
                self.progressed(id, kept, load);
            }
            Body::Refuse(refuse) => {
                self.drop_attempt(id);
                self.report(entry::Event::Refused(self.id, id, refuse));
            }
            Body::Reset(reset) => self.broken(id, reset.load),
            _ => {}
        }
    }

    fn answering(&mut self, id: AttemptId, head: ResponseHead) {
        let load = head.load;
        let status = u16::try_from(head.status).unwrap_or_default();
        let Some(attempt) = self.attempt(id) else {
            return;
        };
        let kept = attempt.head(head);
        if kept {
            self.report(entry::Event::Answering(self.id, id, status, load));
        }
        self.progressed(id, kept, load);
    }

    /// Tells the reducer if the answer is whole now, or broke off.
    fn progressed(&mut self, id: AttemptId, kept: bool, load: Option<wire::Load>) {
        if !kept {
            self.broken(id, load);
        } else if let Some(bytes) = self.attempt(id).and_then(|a| a.whole_bytes()) {
            self.report(entry::Event::Ended(self.id, id, bytes, load));
        }
    }

    fn broken(&mut self, id: AttemptId, load: Option<wire::Load>) {
        if let Some(attempt) = self.attempt(id) {
            attempt.break_off();
            self.report(entry::Event::Broken(self.id, id, load));
        }
    }

    fn upload_failed(&mut self, err: UploadError) {
        self.upload_error = Some(err);
        self.report(entry::Event::CallerGone(self.id));
    }

    /// Reads on without a caller, so that the gate is not held up.
    fn discard(&mut self) {
        if let Some(attempt) = self.relayed_attempt() {
            while attempt.pop().is_some() {}
        }
    }

    fn relayed_attempt(&mut self) -> Option<&mut Attempt> {
        let id = self.relayed?;
        self.attempt(id)
    }

    fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|a| a.id == id)
    }

    fn drop_attempt(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempt(id) {
            attempt.close();
        }
        self.attempts.retain(|a| a.id != id);
    }
}
