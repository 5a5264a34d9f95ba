//! One request at the gate, from its arrival until its run at the upstream has
//! ended.

mod receive;

use super::cancel;
use super::exchange::{self, ExchangeError, UpstreamResponse};
use super::load_report;
use super::reply_sender::{RefusalDelays, ReplySender};
use super::statement;
use super::upload_queue::{self, UploadTx};
use super::upstream_request::{self, UploadReader};
use crate::links::{Credit, Link, Window};
use crate::memory::Held;
use crate::runtime::{Daemon, lock};
use crate::task_messages::{StreamEvent, TaskMessage, TaskRx};
use bytes::{Bytes, BytesMut};
use flow::MIN_PIECE_BYTES;
use gate::{Outcome, Ticket};
use http::{HeaderMap, Method};
use node::Event;
use node::admission::{self, Effect, UpstreamStart};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{timeout, timeout_at};
use wire::{Body, Data, Load, Open, RefuseReason, ResetReason};

/// Maximum size of a response body that is sent with the head, in bytes. The pieces
/// of a longer one let small frames pass.
const MAX_INLINE_BODY_BYTES: usize = 8 * 1024;

/// Maximum time for which a short piece of a response body waits to be joined with others.
const MAX_JOIN_DELAY: Duration = Duration::from_millis(10);

/// Maximum size of the rest of a response that is read after its request was
/// cancelled, in bytes.
const MAX_DISCARDED_BYTES: u64 = 16 * 1024 * 1024;

/// Smallest flow-control window of an upload, in bytes.
const MIN_UPLOAD_WINDOW_BYTES: usize = 16 * 1024;
/// Part of the memory that is left for requests which the window of one may take.
const UPLOAD_WINDOW_DIVISOR: usize = 64;
/// Part of the memory for requests that windows leave to buffered bodies.
const UPLOAD_RESERVE_DIVISOR: usize = 2;

/// HTTP status of the response of another upstream than the one that was addressed.
const MISDIRECTED: u16 = 421;

/// The task of a request at the gate.
#[derive(Debug)]
pub(super) struct Job {
    daemon: Arc<Daemon>,
    ticket: Ticket,
    reply_sender: ReplySender,
    rx: TaskRx,
    credit: Arc<Credit>,
    window: Arc<Window>,
    open: Open,
    upload: Option<UploadTx>,
    /// Memory for a body that is received before the request runs.
    body_held: Held,
    upload_offset: u64,
    /// Bytes of the response received after the request was cancelled.
    discarded_bytes: u64,
    /// Whether the upstream has finished, so that there is nothing to cancel there.
    has_ended: bool,
    arrived_at: Instant,
    /// When the times that are left were reduced last.
    reduced_at: Instant,
    /// Time of admission, and the gate's load at that time including this
    /// request.
    admitted: Option<(Instant, Load)>,
    /// Start of the upstream that the request is sent to.
    start: UpstreamStart,
    /// The caller's id of its attempt, if it has one.
    attempt_id: String,
}

impl Job {
    /// Creates the task of a request that has not been passed to the reducer
    /// yet.
    pub(super) fn new(
        daemon: Arc<Daemon>,
        link: Arc<Link>,
        ticket: Ticket,
        (rx, credit, window): (TaskRx, Arc<Credit>, Arc<Window>),
        open: Open,
    ) -> Self {
        let now = Instant::now();
        let attempt_id = attempt_id(&daemon, &open);
        let body_held = daemon.memory.requests.hold();
        Self {
            reply_sender: ReplySender {
                daemon: daemon.clone(),
                link,
                stream: open.stream,
                closed: false,
                informed: open.known_restriction.is_some(),
            },
            daemon,
            ticket,
            rx,
            credit,
            window,
            upload_offset: open.body.len() as u64,
            open,
            upload: None,
            body_held,
            discarded_bytes: 0,
            has_ended: false,
            arrived_at: now,
            reduced_at: now,
            admitted: None,
            start: UpstreamStart::default(),
            attempt_id,
        }
    }

    /// Waits for admission and dispatches the request if it is admitted.
    pub(super) async fn run(mut self, method: Method) {
        if self.wait_for_admission().await {
            self.dispatch(method).await;
        }
        lock(&self.daemon.gate_tasks).remove(&self.ticket);
        self.reply_sender.link.remove(self.reply_sender.stream);
    }

    async fn wait_for_admission(&mut self) -> bool {
        while let Some(message) = self.rx.recv().await {
            match message {
                TaskMessage::Gate(Effect::Receive(_)) => {
                    if !self.receive_body().await {
                        return false;
                    }
                }
                TaskMessage::Gate(Effect::Run { start, .. }) => {
                    self.start = start;
                    self.admitted = Some((Instant::now(), self.daemon.load()));
                    self.reduce_times_left();
                    return true;
                }
                TaskMessage::Gate(Effect::Refuse {
                    reason,
                    load,
                    retry_after,
                    pause,
                    only_at,
                    ..
                }) => {
                    let retry_after = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
                    self.log_refusal(reason, load);
                    let load = (load != Load::default()).then_some(load);
                    let delays = RefusalDelays {
                        retry_after_ms: retry_after,
                        pause_ms: u32::try_from(pause.as_millis()).unwrap_or(u32::MAX),
                    };
                    self.reply_sender.refuse_with(reason, load, delays, only_at);
                    return false;
                }
                TaskMessage::Gate(Effect::Cancel(_)) => return false,
                TaskMessage::Gate(Effect::Expire(_)) => {
                    self.log_refusal(RefuseReason::Deadline, self.daemon.load());
                    self.reply_sender.refuse(RefuseReason::Deadline);
                    return false;
                }
                TaskMessage::Stream(_, event) => self.on_stream_event(event),
                TaskMessage::Entry(_) | TaskMessage::UploadFailed(_) => {}
            }
        }
        false
    }

    /// Reduces the times that are left by what has passed since the arrival.
    fn reduce_times_left(&mut self) {
        let now = Instant::now();
        let passed_ms = now.duration_since(self.reduced_at).as_millis();
        self.reduced_at = now;
        self.open
            .subtract_time(u64::try_from(passed_ms).unwrap_or(u64::MAX));
    }

    /// Sends the request to the upstream and relays its response.
    async fn dispatch(&mut self, method: Method) {
        let upload = (!self.open.end).then(|| self.upload_reader());
        let request = upstream_request::build(
            &self.daemon,
            (self.ticket, &self.start),
            method,
            &mut self.open,
        );
        let mut sending = Box::pin(exchange::send(self.daemon.clone(), request, upload));
        let sent = loop {
            tokio::select! {
                sent = &mut sending => break sent,
                Some(message) = self.rx.recv() => self.on_message(message),
            }
            if self.can_drop_connection() {
                return self.report_end(Outcome::Broken);
            }
        };
        match sent {
            Ok(response) => self.relay_response(response).await,
            Err(err @ ExchangeError::Replaced) => {
                self.log_failure(&err.to_string());
                self.report_end(Outcome::Rejected);
                self.reply_sender.refuse(RefuseReason::Rejected);
            }
            Err(ExchangeError::Unreachable(err)) => {
                self.log_failure(&err.to_string());
                self.report_end(Outcome::Refused);
                self.reply_sender.refuse(RefuseReason::Unreachable);
            }
            Err(err) => self.fail(&err),
        }
    }

    /// Returns whether the request was cancelled and the upstream is one that
    /// drops a request when its connection closes.
    fn can_drop_connection(&self) -> bool {
        let upstream = self.daemon.cfg.upstream.as_ref();
        self.reply_sender.closed && upstream.is_some_and(|u| u.drops_on_close)
    }

    fn upload_reader(&mut self) -> UploadReader {
        let (tx, rx) = upload_queue::queue();
        self.upload = Some(tx);
        let mut held = self.daemon.memory.requests.hold();
        let window_bytes = self.upload_window(&mut held) as u64;
        let reader = UploadReader {
            rx,
            link: self.reply_sender.link.clone(),
            stream: self.reply_sender.stream,
            window: self.window.clone(),
            window_bytes,
            _held: held,
            consumed: 0,
        };
        reader.grant_credit(window_bytes);
        reader
    }

    /// Returns the window of an upload. As less memory is left, windows become smaller; the
    /// smallest is granted in any case, because the request has a slot of the upstream.
    fn upload_window(&self, held: &mut Held) -> usize {
        let max = self.daemon.cfg.limits.window_bytes;
        let wanted = held.share().free() / UPLOAD_WINDOW_DIVISOR;
        let wanted = wanted.max(MIN_UPLOAD_WINDOW_BYTES).min(max);
        let reserve = held.share().max / UPLOAD_RESERVE_DIVISOR;
        match held.try_grow_beside(wanted, reserve) {
            true => wanted,
            false => MIN_UPLOAD_WINDOW_BYTES.min(max),
        }
    }

    /// Buffers the response until it is complete, and streams it if it exceeds
    /// the buffer or there is no memory for it.
    async fn relay_response(&mut self, mut response: UpstreamResponse) {
        let status = response.status;
        if status != MISDIRECTED {
            let load = load_report::from_headers(&self.daemon, &response.headers);
            if let Some(load) = load.filter(|_| self.daemon.is_upstream_start(self.start.number)) {
                self.report(admission::Event::Reported(load));
            }
            let read = statement::read(&self.daemon.integration.headers, &response.headers);
            self.report(admission::Event::ResponseStarted(self.ticket, read));
        }
        if self.is_not_run(&response) {
            self.report_end(Outcome::Rejected);
            self.reply_sender.refuse(RefuseReason::Rejected);
            return response.drain_and_release(&self.daemon).await;
        }
        let max_buffered_bytes = self.daemon.cfg.limits.buffered_body_bytes;
        let mut held = self.daemon.memory.gate_responses.hold();
        let mut buffered = BytesMut::new();
        let mut first = Bytes::new();
        loop {
            let piece = match self.next_chunk(&mut response).await {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(err) => return self.fail(&err),
            };
            let fits = held.try_grow(piece.len());
            if first.is_empty() && buffered.is_empty() {
                first = piece;
            } else {
                buffered.extend_from_slice(&std::mem::take(&mut first));
                buffered.extend_from_slice(&piece);
            }
            if !fits || first.len() + buffered.len() > max_buffered_bytes {
                let mut body = join(first, buffered);
                let inline = body.split_to(MAX_INLINE_BODY_BYTES.min(body.len()));
                let offset = inline.len() as u64;
                self.reply_sender
                    .head(status, &response.headers, inline, false);
                let offset = self.send_pieces(body, offset).await;
                drop(held);
                return self.stream_rest(response, offset).await;
            }
        }
        self.report_end(Outcome::Whole(status));
        self.has_ended = true;
        let body = join(first, buffered);
        let max_wait = Duration::from_millis(self.open.deadline_ms);
        let sending = self.send_complete(status, &response.headers, body);
        if timeout(max_wait, sending).await.is_err() {
            self.reply_sender.reset(ResetReason::Deadline);
        }
        response.release(&self.daemon).await;
    }

    /// Sends a complete response, a longer body in pieces.
    async fn send_complete(&mut self, status: u16, headers: &HeaderMap, mut body: Bytes) {
        let inline = body.split_to(body.len().min(MAX_INLINE_BODY_BYTES));
        let offset = inline.len() as u64;
        let end = body.is_empty();
        self.reply_sender.head(status, headers, inline, end);
        if !end {
            let offset = self.send_pieces(body, offset).await;
            self.reply_sender.data(offset, Bytes::new(), true);
        }
    }

    /// Sends bytes of the response body, as the entry grants credit. Returns the
    /// position after them.
    async fn send_pieces(&mut self, mut bytes: Bytes, mut offset: u64) -> u64 {
        while !bytes.is_empty() && !self.reply_sender.closed {
            let max = bytes.len().min(flow::MAX_PIECE_BYTES);
            let piece = bytes.split_to(self.wait_for_credit(max).await);
            let len = piece.len() as u64;
            self.reply_sender.data(offset, piece, false);
            offset += len;
        }
        offset
    }

    /// Returns whether the upstream reports that it did not run the request.
    fn is_not_run(&self, response: &UpstreamResponse) -> bool {
        let names = &self.daemon.integration.headers;
        let Some(not_run) = &names.not_run else {
            return false;
        };
        response.headers.contains_key(not_run) || response.status == MISDIRECTED
    }

    /// Passes on the rest of a response as it comes.
    async fn stream_rest(&mut self, mut response: UpstreamResponse, mut offset: u64) {
        loop {
            let bytes = match self.next_joined(&mut response).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(err) => return self.fail(&err),
            };
            offset = self.send_pieces(bytes, offset).await;
        }
        self.report_end(Outcome::Whole(response.status));
        self.reply_sender.data(offset, Bytes::new(), true);
        response.release(&self.daemon).await;
    }

    /// Waits for credit for up to `max` bytes. Returns 0 if the request is
    /// cancelled meanwhile.
    async fn wait_for_credit(&mut self, max: usize) -> usize {
        let credit = self.credit.clone();
        let mut taking = Box::pin(credit.take(max));
        while !self.reply_sender.closed {
            tokio::select! {
                taken = &mut taking => return taken,
                Some(message) = self.rx.recv() => self.on_message(message),
            }
        }
        0
    }

    /// Returns the next part of the response body. Short pieces are joined as long as they
    /// follow each other quickly, because each costs a frame here and at the entry.
    async fn next_joined(
        &mut self,
        response: &mut UpstreamResponse,
    ) -> Result<Option<Bytes>, ExchangeError> {
        let Some(first) = self.next_chunk(response).await? else {
            return Ok(None);
        };
        if first.len() >= MIN_PIECE_BYTES {
            return Ok(Some(first));
        }
        let until = tokio::time::Instant::now() + MAX_JOIN_DELAY;
        let mut joined = BytesMut::from(first.as_ref());
        while joined.len() < MIN_PIECE_BYTES {
            match timeout_at(until, self.next_chunk(response)).await {
                Ok(Ok(Some(piece))) => joined.extend_from_slice(&piece),
                Ok(Err(err)) => return Err(err),
                Ok(Ok(None)) | Err(_) => break,
            }
        }
        Ok(Some(joined.freeze()))
    }

    /// Returns the next piece of the response body. After a cancellation the body is
    /// read on only if the upstream would not drop the request otherwise, and up to a
    /// limit: an upstream that sends without end would hold its slot for good.
    async fn next_chunk(
        &mut self,
        response: &mut UpstreamResponse,
    ) -> Result<Option<Bytes>, ExchangeError> {
        let mut reading = Box::pin(response.next_chunk());
        loop {
            if self.can_drop_connection() || self.discarded_bytes > MAX_DISCARDED_BYTES {
                return Err(ExchangeError::Cancelled);
            }
            tokio::select! {
                read = &mut reading => {
                    if self.reply_sender.closed && let Ok(Some(bytes)) = &read {
                        self.discarded_bytes += bytes.len() as u64;
                    }
                    return read;
                }
                Some(message) = self.rx.recv() => self.on_message(message),
            }
        }
    }

    /// Handles a message while the upstream has the request.
    fn on_message(&mut self, message: TaskMessage) {
        match message {
            TaskMessage::Gate(Effect::Cancel(_)) => self.cancel(),
            TaskMessage::Gate(Effect::Expire(_)) => {
                self.reply_sender.reset(ResetReason::Deadline);
                self.cancel();
            }
            TaskMessage::Stream(_, event) => self.on_stream_event(event),
            TaskMessage::Gate(_) | TaskMessage::Entry(_) | TaskMessage::UploadFailed(_) => {}
        }
    }

    fn on_stream_event(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Frame(body) => match *body {
                Body::Data(data) => self.on_upload_data(data),
                Body::Cancel(_) => self.on_unwanted(),
                _ => {}
            },
            StreamEvent::Silent => {}
            StreamEvent::Lost { .. } => self.on_unwanted(),
        }
    }

    /// Handles that the entry no longer wants the response.
    fn on_unwanted(&mut self) {
        match self.has_ended {
            true => self.reply_sender.closed = true,
            false => self.report_cancelled(),
        }
    }

    fn report_cancelled(&self) {
        self.report(admission::Event::Cancelled(self.ticket));
    }

    fn on_upload_data(&mut self, data: Data) {
        let Some(upload) = &self.upload else {
            return;
        };
        if data.offset != self.upload_offset {
            self.reply_sender.reset(ResetReason::Corrupt);
            self.report_cancelled();
            return;
        }
        self.upload_offset += data.bytes.len() as u64;
        if !data.bytes.is_empty() {
            upload.push(data.bytes);
        }
        if data.end
            && let Some(upload) = self.upload.take()
        {
            upload.complete();
        }
    }

    /// Asks the upstream to cancel the request. An unfinished upload is cut
    /// off; the response is read to its end and discarded.
    fn cancel(&mut self) {
        if self.reply_sender.closed {
            return;
        }
        self.reply_sender.closed = true;
        // Dropping it cuts the body off.
        self.upload = None;
        let upstream = self.daemon.cfg.upstream.as_ref();
        let path = upstream.and_then(|u| u.cancel_path.clone());
        if let Some(path) = path {
            let id = upstream_request::request_id(&self.daemon, self.ticket);
            let start = self.start.number;
            tokio::spawn(cancel::post(self.daemon.clone(), path, id, start));
        }
    }

    fn fail(&self, error: &ExchangeError) {
        self.log_failure(&error.to_string());
        self.report_end(Outcome::Broken);
        self.reply_sender.reset(ResetReason::Broken);
    }

    fn log_failure(&self, reason: &str) {
        log::info!(
            "event=attempt_failed ticket={} attempt_id={} reason=\"{reason}\"",
            self.ticket,
            self.attempt_id,
        );
    }

    fn report_end(&self, outcome: Outcome) {
        self.log_end(outcome);
        self.report(admission::Event::Ended(self.ticket, outcome));
    }

    fn log_refusal(&self, reason: RefuseReason, load: Load) {
        log::info!(
            "event=not_admitted ticket={} attempt_id={} class={} reason={reason:?} \
             deadline_ms={} believed_slow_percent={} in_flight={} waiting={} limit={} cold={} \
             slow_percent={}{}",
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
            self.describe_limit(reason),
        );
    }

    /// Returns the log fields of a rejection because of a stated rate.
    fn describe_limit(&self, reason: RefuseReason) -> String {
        if reason != RefuseReason::Limited {
            return String::new();
        }
        let limit = self.daemon.read(|node| node.admission.stated_limit());
        format!(
            " rate_milli={} rate_age_ms={} recent_arrivals={}",
            limit.rate_milli.unwrap_or_default(),
            limit.age.as_millis(),
            limit.recent_arrivals,
        )
    }

    fn log_end(&self, outcome: Outcome) {
        let Some((admitted_at, load)) = &self.admitted else {
            return;
        };
        log::info!(
            "event=run ticket={} attempt_id={} fingerprint={:016x} class={} service={} upstream={} \
             outcome={outcome:?} cancelled={} in_flight={} waiting={} limit={} slow_percent={} \
             waited_us={} took_us={}",
            self.ticket,
            self.attempt_id,
            self.open.fingerprint,
            self.open.class,
            self.open.service,
            self.start.target,
            self.reply_sender.closed,
            load.in_flight,
            load.waiting,
            load.limit,
            load.slow_percent,
            admitted_at
                .saturating_duration_since(self.arrived_at)
                .as_micros(),
            admitted_at.elapsed().as_micros(),
        );
    }

    fn report(&self, event: admission::Event) {
        self.daemon.handle_event(Event::Admission(event));
    }
}

fn join(first: Bytes, buffered: BytesMut) -> Bytes {
    match buffered.is_empty() {
        true => first,
        false => buffered.freeze(),
    }
}

/// Returns the caller's id of its attempt, or an empty string if it has none.
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
