//! Drives one caller's request: executes the effects that the reducer emits for
//! it and reports to the reducer what its attempts return.

use super::attempt::{Attempt, OutgoingRequest};
use super::body::BodyRx;
use super::record::RequestRecord;
use super::upload::Upload;
use crate::clock;
use crate::memory::Held;
use crate::runtime::{Daemon, lock};
use crate::task_messages::{StreamEvent, TaskMessage, TaskRx, TaskTx, UploadError};
use bytes::Bytes;
use node::Event;
use node::agent::ConfigBasis;
use node::entry::{self, Effect, Refusal};
use std::io;
use std::sync::Arc;
use wire::{AttemptId, Body, RequestId, ResponseHead, Restriction};

/// Beginning of the final response to a caller.
#[derive(Debug)]
pub(super) enum FinalHead {
    /// The head of an upstream's response; [`Driver::next_chunk`] returns its
    /// body.
    Response(ResponseHead),
    /// The reducer refused the request.
    Refused(Refusal),
    /// The request's body could not be read.
    UploadFailed(UploadError),
}

/// The task state of a caller's request. Dropping it before the request is
/// finished means that the caller disconnected: the reducer is notified, and
/// the remaining events are handled in the background.
#[derive(Debug)]
pub(super) struct Driver {
    inner: Option<Inner>,
}

#[derive(Debug)]
struct Inner {
    daemon: Arc<Daemon>,
    id: RequestId,
    record: RequestRecord,
    tx: TaskTx,
    rx: TaskRx,
    outgoing: OutgoingRequest,
    upload: Option<Arc<Upload>>,
    attempts: Vec<Attempt>,
    relayed: Option<AttemptId>,
    refusal: Option<Refusal>,
    upload_error: Option<UploadError>,
    finished: bool,
}

impl Driver {
    /// Creates the driver of a request that has not been passed to the reducer
    /// yet.
    pub(super) fn new(
        daemon: Arc<Daemon>,
        record: RequestRecord,
        (tx, rx): (TaskTx, TaskRx),
        outgoing: OutgoingRequest,
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
            finished: false,
        };
        Self { inner: Some(inner) }
    }

    /// Records the configuration that decided the request.
    pub(super) fn set_basis(&mut self, basis: ConfigBasis) {
        if let Some(inner) = &mut self.inner {
            inner.record.basis = basis;
        }
    }

    /// Waits for the beginning of the final response. A response that gates buffer is awaited
    /// to its end, as far as the flow control lets it arrive: as long as nothing of it was
    /// passed on, one that stops on its way can be replaced by a refusal, instead of closing
    /// the connection and cutting off the requests behind it.
    pub(super) async fn response_head(&mut self) -> FinalHead {
        let Some(inner) = &mut self.inner else {
            return FinalHead::UploadFailed(UploadError::Aborted);
        };
        loop {
            if let Some(refusal) = inner.refusal.take() {
                inner.record.mark_refused(&refusal);
                return FinalHead::Refused(refusal);
            }
            if let Some(err) = inner.upload_error {
                inner.record.mark_upload_failed(err);
                return FinalHead::UploadFailed(err);
            }
            let max_buffered = inner.daemon.cfg.limits.buffered_body_bytes;
            let ready = inner
                .relayed_attempt()
                .filter(|attempt| attempt.complete || attempt.fills(max_buffered));
            if let Some(head) = ready.and_then(|attempt| attempt.response.clone()) {
                inner.record.status = u16::try_from(head.status).unwrap_or_default();
                return FinalHead::Response(head);
            }
            inner.step().await;
        }
    }

    /// Returns the response body, and the memory that is held for it, if it was received
    /// completely.
    pub(super) fn complete_body(&mut self) -> Option<(Bytes, Held)> {
        let inner = self.inner.as_mut()?;
        let attempt = inner.relayed_attempt()?;
        if !attempt.complete {
            return None;
        }
        let body = attempt.take_all();
        inner.record.mark_answered();
        Some(body)
    }

    /// Waits for the next piece of the response body. Returns `None` at its
    /// end.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is cut off, also because its attempt was given up.
    pub(super) async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        let Some(inner) = self.inner.as_mut() else {
            return Err(io::ErrorKind::ConnectionAborted.into());
        };
        loop {
            let aborted = inner.refusal.is_some() || inner.upload_error.is_some();
            let attempt = inner.relayed_attempt();
            let Some(attempt) = attempt.filter(|attempt| !aborted && !attempt.broken) else {
                inner.record.mark_broken();
                return Err(io::ErrorKind::ConnectionAborted.into());
            };
            if let Some(chunk) = attempt.pop() {
                return Ok(Some(chunk));
            }
            if attempt.complete {
                inner.record.mark_answered();
                return Ok(None);
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
        if inner.finished || !lock(&inner.daemon.entry_tasks).contains_key(&inner.id) {
            return;
        }
        inner.report(entry::Event::CallerGone(inner.id));
        tokio::spawn(async move {
            while !inner.finished {
                inner.step().await;
                inner.discard_received();
            }
        });
    }
}

impl Inner {
    /// Waits for the next message and handles it, or for memory that an attempt needs.
    async fn step(&mut self) {
        let needs_window = self.attempts.iter().any(Attempt::needs_window);
        let message = match needs_window {
            false => self.rx.recv().await,
            true => {
                let daemon = self.daemon.clone();
                let returned = daemon.memory.entry_responses.returned();
                self.attempts.iter_mut().for_each(Attempt::try_open_window);
                tokio::select! {
                    message = self.rx.recv() => message,
                    () = returned => return,
                }
            }
        };
        self.handle(message);
    }

    fn handle(&mut self, message: Option<TaskMessage>) {
        match message {
            Some(TaskMessage::Entry(effect)) => self.execute(effect),
            Some(TaskMessage::Stream(attempt, event)) => self.on_stream_event(attempt, event),
            Some(TaskMessage::UploadFailed(err)) => self.on_upload_failed(err),
            Some(TaskMessage::Gate(_)) => {}
            None => self.finished = true,
        }
    }

    fn report(&self, event: entry::Event) {
        self.daemon.handle_event(Event::Entry(event));
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Forward(attempt) => self.forward(&attempt),
            Effect::Cancel(_, id) => {
                if let Some(attempt) = self.attempt(id) {
                    attempt.cancel();
                }
            }
            Effect::Relay(_, id) => self.relayed = Some(id),
            Effect::Refuse(_, refusal) => self.refusal = Some(refusal),
            Effect::Forget(_) => self.finished = true,
        }
    }

    fn forward(&mut self, attempt: &entry::Attempt) {
        let upload_started = self.upload.as_ref().is_some_and(|u| u.has_started());
        if upload_started {
            self.report(entry::Event::Broken(self.id, attempt.attempt, None));
            return;
        }
        // The process may have been suspended since the reducer decided.
        let send_until = attempt.sender.as_ref().and_then(|sender| sender.send_until);
        if send_until.is_some_and(|until| clock::now() >= until) {
            self.report(entry::Event::NotSent(self.id, attempt.attempt));
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
        if let Some(sender) = &attempt.sender {
            self.record.customer = sender.customer.clone();
        }
    }

    fn on_stream_event(&mut self, id: AttemptId, event: StreamEvent) {
        match event {
            StreamEvent::Frame(body) => self.on_frame(id, *body),
            StreamEvent::Silent => self.report(entry::Event::Silent(self.id, id)),
            StreamEvent::Lost { may_have_run: true } => self.on_broken(id, None),
            StreamEvent::Lost {
                may_have_run: false,
            } => {
                self.drop_attempt(id);
                self.report(entry::Event::NotSent(self.id, id));
            }
        }
    }

    fn on_frame(&mut self, id: AttemptId, body: Body) {
        match body {
            Body::Response(head) => self.on_response_head(id, head),
            Body::Data(data) => {
                let load = data.load;
                let accepted = self.attempt(id).is_none_or(|a| a.on_data(data));
                self.on_response_part(id, accepted, load);
            }
            Body::Refuse(refuse) => {
                self.report_restriction(id, refuse.restriction);
                self.drop_attempt(id);
                self.report(entry::Event::Refused(self.id, id, refuse));
            }
            Body::Reset(reset) => self.on_broken(id, reset.load),
            _ => {}
        }
    }

    fn on_response_head(&mut self, id: AttemptId, head: ResponseHead) {
        let (load, restriction) = (head.load, head.restriction);
        let status = u16::try_from(head.status).unwrap_or_default();
        let Some(attempt) = self.attempt(id) else {
            return;
        };
        let accepted = attempt.on_head(head);
        if accepted {
            self.report_restriction(id, restriction);
            self.report(entry::Event::ResponseStarted(self.id, id, status, load));
        }
        self.on_response_part(id, accepted, load);
    }

    fn report_restriction(&self, id: AttemptId, restriction: Option<Restriction>) {
        if let Some(restriction) = restriction {
            self.report(entry::Event::Restricted(self.id, id, restriction));
        }
    }

    /// Notifies the reducer if the response is complete, or not valid.
    fn on_response_part(&mut self, id: AttemptId, accepted: bool, load: Option<wire::Load>) {
        if !accepted {
            self.on_broken(id, load);
        } else if let Some(bytes) = self.attempt(id).and_then(|a| a.complete_len()) {
            self.report(entry::Event::Ended(self.id, id, bytes, load));
        }
    }

    fn on_broken(&mut self, id: AttemptId, load: Option<wire::Load>) {
        if let Some(attempt) = self.attempt(id) {
            attempt.mark_broken();
            self.report(entry::Event::Broken(self.id, id, load));
        }
    }

    fn on_upload_failed(&mut self, err: UploadError) {
        self.upload_error = Some(err);
        self.report(entry::Event::CallerGone(self.id));
    }

    /// Discards the received response bytes after the caller disconnected, so
    /// that flow control does not block the gate.
    fn discard_received(&mut self) {
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
