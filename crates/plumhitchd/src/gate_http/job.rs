//! One request at the gate: from its admission until the upstream has let go.

use super::call::{self, Piece, UploadReader};
use super::cancel;
use super::exchange::{self, Answer, ExchangeError};
use super::replies::Replies;
use super::report;
use crate::links::{Credit, Link, Window};
use crate::runtime::{Daemon, lock};
use crate::task_messages::{StreamEvent, TaskMessage, TaskRx};
use bytes::{Bytes, BytesMut};
use gate::{Outcome, Ticket};
use http::{Method, StatusCode};
use node::Event;
use node::admission::{self, Effect};
use std::io;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;
use wire::{Body, Data, Load, Open, RefuseReason, ResetReason};

/// Largest piece of a body in one frame, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// A request at the gate.
#[derive(Debug)]
pub(super) struct Job {
    daemon: Arc<Daemon>,
    ticket: Ticket,
    replies: Replies,
    rx: TaskRx,
    credit: Arc<Credit>,
    window: Arc<Window>,
    open: Open,
    upload: Option<mpsc::UnboundedSender<Piece>>,
    offset: u64,
    /// When it was admitted, and how many requests ran then, this one included.
    begun: Option<(Instant, Load)>,
    /// The caller's id of its attempt, if it has one.
    attempt_id: String,
}

impl Job {
    /// Creates the task of a request that the reducer is not yet told of.
    pub(super) fn new(
        daemon: Arc<Daemon>,
        link: Arc<Link>,
        ticket: Ticket,
        (rx, credit, window): (TaskRx, Arc<Credit>, Arc<Window>),
        open: Open,
    ) -> Self {
        let attempt_id = attempt_id(&daemon, &open);
        Self {
            replies: Replies {
                daemon: daemon.clone(),
                link,
                stream: open.stream,
                closed: false,
            },
            daemon,
            ticket,
            rx,
            credit,
            window,
            offset: open.body.len() as u64,
            open,
            upload: None,
            begun: None,
            attempt_id,
        }
    }

    /// Waits for the reducer's word and carries it out.
    pub(super) async fn run(mut self, method: Method) {
        if self.admitted().await {
            self.call(method).await;
        }
        lock(&self.daemon.gate_tasks).remove(&self.ticket);
        self.replies.link.remove(self.replies.stream);
    }

    async fn admitted(&mut self) -> bool {
        while let Some(message) = self.rx.recv().await {
            match message {
                TaskMessage::Gate(Effect::Run(_)) => {
                    self.begun = Some((Instant::now(), self.daemon.load()));
                    return true;
                }
                TaskMessage::Gate(Effect::Refuse {
                    reason,
                    load,
                    retry_after,
                    only_at,
                    ..
                }) => {
                    let retry_after = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
                    self.log_refusal(reason, load);
                    let load = (load != Load::default()).then_some(load);
                    self.replies.refuse_with(reason, load, retry_after, only_at);
                    return false;
                }
                TaskMessage::Gate(Effect::Cancel(_)) => return false,
                TaskMessage::Gate(Effect::Expire(_)) => {
                    self.log_refusal(RefuseReason::Deadline, self.daemon.load());
                    self.replies.refuse(RefuseReason::Deadline);
                    return false;
                }
                TaskMessage::Stream(_, event) => self.streamed(event),
                TaskMessage::Entry(_) | TaskMessage::UploadFailed(_) => {}
            }
        }
        false
    }

    /// Hands the request to the upstream, until the upstream has let go of it.
    async fn call(&mut self, method: Method) {
        let upload = (!self.open.end).then(|| self.upload_reader());
        let request = call::build(&self.daemon, self.ticket, method, &mut self.open);
        let mut sending = Box::pin(exchange::send(self.daemon.clone(), request, upload));
        let sent = loop {
            tokio::select! {
                sent = &mut sending => break sent,
                Some(message) = self.rx.recv() => self.told(message),
            }
            if self.let_go() {
                return self.ended(Outcome::Broken);
            }
        };
        match sent {
            Ok(answer) => self.answer(answer).await,
            Err(ExchangeError::Unreachable(err)) => {
                self.log_failure(&err.to_string());
                self.ended(Outcome::Refused);
                self.replies.refuse(RefuseReason::Unreachable);
            }
            Err(err) => self.broken(&err),
        }
    }

    /// Returns whether the request was cancelled and the upstream drops it
    /// with the connection.
    fn let_go(&self) -> bool {
        let upstream = self.daemon.cfg.upstream.as_ref();
        self.replies.closed && upstream.is_some_and(|u| u.drops_on_close)
    }

    fn upload_reader(&mut self) -> UploadReader {
        let (tx, rx) = mpsc::unbounded_channel();
        self.upload = Some(tx);
        let window_bytes = self.daemon.cfg.limits.window_bytes as u64;
        let reader = UploadReader {
            rx,
            link: self.replies.link.clone(),
            stream: self.replies.stream,
            window: self.window.clone(),
            window_bytes,
            consumed: 0,
        };
        reader.grant(window_bytes);
        reader
    }

    /// Holds the answer until it is whole or too long to be held.
    async fn answer(&mut self, mut answer: Answer) {
        let status = answer.status;
        if let Some(load) = report::of_headers(&self.daemon, &answer.headers) {
            self.report(admission::Event::Reported(load));
        }
        let held_bytes = self.daemon.cfg.limits.buffered_body_bytes;
        let mut held = BytesMut::new();
        let mut first = Bytes::new();
        loop {
            match self.chunk(&mut answer).await {
                Ok(Some(bytes)) if first.is_empty() && held.is_empty() => first = bytes,
                Ok(Some(bytes)) => {
                    held.extend_from_slice(&std::mem::take(&mut first));
                    held.extend_from_slice(&bytes);
                }
                Ok(None) => break,
                Err(err) => return self.broken(&err),
            }
            if first.len() + held.len() > held_bytes {
                self.report(admission::Event::Answering(self.ticket, status));
                let body = joined(first, held);
                let offset = body.len() as u64;
                self.replies.head(status, &answer.headers, body, false);
                return self.stream_rest(answer, offset).await;
            }
        }
        if self.is_not_run(&answer) {
            self.ended(Outcome::Rejected);
            self.replies.refuse(RefuseReason::Rejected);
        } else {
            self.report(admission::Event::Answering(self.ticket, status));
            self.ended(Outcome::Whole(status));
            let body = joined(first, held);
            self.replies.head(status, &answer.headers, body, true);
        }
        answer.finish(&self.daemon).await;
    }

    /// Returns whether the upstream says that it did not run the request.
    fn is_not_run(&self, answer: &Answer) -> bool {
        let names = &self.daemon.integration.headers;
        let Some(not_run) = &names.not_run else {
            return false;
        };
        let misdirected = StatusCode::MISDIRECTED_REQUEST.as_u16();
        answer.headers.contains_key(not_run) || answer.status == misdirected
    }

    async fn stream_rest(&mut self, mut answer: Answer, mut offset: u64) {
        loop {
            let mut bytes = match self.chunk(&mut answer).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(err) => return self.broken(&err),
            };
            while !bytes.is_empty() && !self.replies.closed {
                let max = self.credit(bytes.len().min(PIECE_BYTES)).await;
                let piece = bytes.split_to(max);
                let len = piece.len() as u64;
                self.replies.data(offset, piece, false);
                offset += len;
            }
        }
        self.ended(Outcome::Whole(answer.status));
        self.replies.data(offset, Bytes::new(), true);
        answer.finish(&self.daemon).await;
    }

    /// Waits for credit; returns 0 when the entry stopped listening meanwhile.
    async fn credit(&mut self, max: usize) -> usize {
        let credit = self.credit.clone();
        let mut taking = Box::pin(credit.take(max));
        while !self.replies.closed {
            tokio::select! {
                taken = &mut taking => return taken,
                Some(message) = self.rx.recv() => self.told(message),
            }
        }
        0
    }

    async fn chunk(&mut self, answer: &mut Answer) -> Result<Option<Bytes>, ExchangeError> {
        let mut reading = Box::pin(answer.chunk());
        loop {
            tokio::select! {
                read = &mut reading => return read,
                Some(message) = self.rx.recv() => self.told(message),
            }
            if self.let_go() {
                return Err(ExchangeError::Cancelled);
            }
        }
    }

    /// Takes a message in while the upstream works.
    fn told(&mut self, message: TaskMessage) {
        match message {
            TaskMessage::Gate(Effect::Cancel(_)) => self.cancel(),
            TaskMessage::Gate(Effect::Expire(_)) => {
                self.replies.reset(ResetReason::Deadline);
                self.cancel();
            }
            TaskMessage::Stream(_, event) => self.streamed(event),
            TaskMessage::Gate(_) | TaskMessage::Entry(_) | TaskMessage::UploadFailed(_) => {}
        }
    }

    fn streamed(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Frame(body) => match *body {
                Body::Data(data) => self.uploaded(data),
                Body::Cancel(_) => self.cancelled(),
                _ => {}
            },
            StreamEvent::Lost { .. } => self.cancelled(),
        }
    }

    fn cancelled(&self) {
        self.report(admission::Event::Cancelled(self.ticket));
    }

    fn uploaded(&mut self, data: Data) {
        let Some(upload) = &self.upload else {
            return;
        };
        if data.offset != self.offset {
            self.replies.reset(ResetReason::Corrupt);
            self.cancelled();
            return;
        }
        self.offset += data.bytes.len() as u64;
        if !data.bytes.is_empty() {
            let _ = upload.send(Ok(data.bytes));
        }
        if data.end {
            self.upload = None;
        }
    }

    /// Asks the upstream to cancel. An upload that is still under way is
    /// broken off; an answer is read to its end and dropped.
    fn cancel(&mut self) {
        if self.replies.closed {
            return;
        }
        self.replies.closed = true;
        if let Some(upload) = self.upload.take() {
            let _ = upload.send(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let upstream = self.daemon.cfg.upstream.as_ref();
        let path = upstream.and_then(|u| u.cancel_path.clone());
        if let Some(path) = path {
            let id = call::request_id(&self.daemon, self.ticket);
            tokio::spawn(cancel::post(self.daemon.clone(), path, id));
        }
    }

    fn broken(&self, error: &ExchangeError) {
        self.log_failure(&error.to_string());
        self.ended(Outcome::Broken);
        self.replies.reset(ResetReason::Broken);
    }

    fn log_failure(&self, reason: &str) {
        log::info!(
            "event=attempt_failed ticket={} attempt_id={} reason=\"{reason}\"",
            self.ticket,
            self.attempt_id,
        );
    }

    fn ended(&self, outcome: Outcome) {
        self.log_end(outcome);
        self.report(admission::Event::Ended(self.ticket, outcome));
    }

    fn log_refusal(&self, reason: RefuseReason, load: Load) {
        log::info!(
            "event=not_admitted ticket={} attempt_id={} class={} reason={reason:?} \
             deadline_ms={} believed_slow_percent={} in_flight={} waiting={} limit={} cold={} \
             slow_percent={}",
            self.ticket,
            self.attempt_id,
            self.open.class,
            self.open.deadline_ms,
            self.open.believed_slow_percent,
            load.in_flight,
            load.waiting,
            load.limit,
            load.cold,
            load.slow_percent,
        );
    }

    fn log_end(&self, outcome: Outcome) {
        let Some((begun, load)) = &self.begun else {
            return;
        };
        log::info!(
            "event=run ticket={} attempt_id={} class={} outcome={outcome:?} cancelled={} \
             in_flight={} waiting={} limit={} slow_percent={} took_us={}",
            self.ticket,
            self.attempt_id,
            self.open.class,
            self.replies.closed,
            load.in_flight,
            load.waiting,
            load.limit,
            load.slow_percent,
            begun.elapsed().as_micros(),
        );
    }

    fn report(&self, event: admission::Event) {
        self.daemon.dispatch(Event::Admission(event));
    }
}

fn joined(first: Bytes, held: BytesMut) -> Bytes {
    match held.is_empty() {
        true => first,
        false => held.freeze(),
    }
}

/// Returns the caller's id of its attempt, or nothing if it has none.
fn attempt_id(daemon: &Daemon, open: &Open) -> String {
    let Some(name) = &daemon.integration.headers.attempt_id else {
        return String::new();
    };
    let mut headers = open.headers.iter();
    let id = headers.find(|h| h.name == name.as_str());
    id.map_or_else(String::new, |h| {
        String::from_utf8_lossy(&h.value).into_owned()
    })
}
