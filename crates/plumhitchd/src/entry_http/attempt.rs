//! One attempt of a request: its stream to a gate and the response on it.

use super::identity_headers::identity_headers;
use super::inbound::Inbound;
use super::upload::{Upload, UploadTarget, send_buffered};
use crate::integration::HeaderNames;
use crate::links::{self, Credit, Link, SendProgress, StreamHandle, Window};
use crate::memory::Held;
use crate::runtime::Daemon;
use crate::task_messages::TaskTx;
use bytes::Bytes;
use compact_str::CompactString;
use flow::PieceQueue;
use http::Method;
use node::entry;
use std::sync::Arc;
use tokio::task::AbortHandle;
use wire::{AttemptId, Body, Cancel, Data, Fingerprint, LinkKind, Open, ResponseHead, StreamId};

/// HTTP statuses whose responses have no body, whatever length they declare.
const BODYLESS: [u32; 2] = [204, 304];

/// Maximum size of a buffered body that is sent with the head, in bytes. The gate
/// asks for the rest of a longer one, which a refused request does not send at all.
const MAX_INLINE_BODY_BYTES: usize = 8 * 1024;

/// Smallest flow-control window of a response, in bytes.
const MIN_WINDOW_BYTES: usize = 16 * 1024;
/// Part of the memory that is left for responses which the window of one may take.
const WINDOW_DIVISOR: usize = 64;

/// The parts of a request that are the same in each of its attempts.
#[derive(Debug)]
pub(super) struct OutgoingRequest {
    inbound: Inbound,
    /// The bytes that are sent with the head.
    body_start: Bytes,
    /// The rest of a body that is buffered completely.
    buffered_rest: Bytes,
    fingerprint: Fingerprint,
    body_buffered: bool,
    /// Memory for the body.
    _body_held: Held,
}

impl OutgoingRequest {
    pub(super) fn new(
        inbound: Inbound,
        (mut body_start, body_held): (Bytes, Held),
        fingerprint: Fingerprint,
        body_buffered: bool,
    ) -> Self {
        let buffered_rest = match body_buffered {
            true => body_start.split_off(body_start.len().min(MAX_INLINE_BODY_BYTES)),
            false => Bytes::new(),
        };
        Self {
            inbound,
            body_start,
            buffered_rest,
            fingerprint,
            body_buffered,
            _body_held: body_held,
        }
    }

    /// Returns whether the gate has to receive the rest of the body before it runs the
    /// request.
    fn holds_body(&self) -> bool {
        !self.buffered_rest.is_empty()
    }

    fn body_len(&self) -> Option<u64> {
        match self.holds_body() {
            true => Some((self.body_start.len() + self.buffered_rest.len()) as u64),
            false => self.inbound.body_len,
        }
    }

    fn open(&self, attempt: &entry::Attempt, names: &HeaderNames) -> Open {
        let inbound = &self.inbound;
        let sender = attempt.sender.as_ref();
        let customer = sender.map_or(&inbound.customer, |sender| &sender.customer);
        Open {
            stream: 0,
            service: attempt.service.to_string(),
            customer: customer.to_string(),
            class: attempt.class.to_string(),
            method: inbound.method.to_string(),
            path: inbound.path.clone(),
            headers: identity_headers(&inbound.headers, attempt, names),
            deadline_ms: u64::try_from(attempt.deadline.as_millis()).unwrap_or(u64::MAX),
            retry_budget: attempt.retry_budget,
            depth: inbound.depth,
            fingerprint: self.fingerprint,
            claim: attempt.claim,
            idempotent: attempt.idempotent,
            body_len: self.body_len(),
            body: self.body_start.clone(),
            end: self.body_buffered && !self.holds_body(),
            hold_body: self.holds_body(),
            weight: attempt.weight,
            suspected: attempt.suspected,
            believed_slow_percent: attempt.believed_slow_percent,
            known_restriction: attempt.known_restriction,
            objective_ms: attempt
                .objective
                .map_or(0, |o| u64::try_from(o.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}

/// An attempt and the part of its response that has not been passed on.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    /// Status and headers, once received.
    pub(super) response: Option<ResponseHead>,
    /// Whether the complete response was received.
    pub(super) complete: bool,
    /// Whether the response was cut off.
    pub(super) broken: bool,
    pieces: PieceQueue,
    /// Bytes of the body received so far.
    pub(super) received_bytes: u64,
    declared_len: Option<u64>,
    bodyless: bool,
    closed: bool,
    link: Arc<Link>,
    stream: StreamId,
    window: Arc<Window>,
    max_window_bytes: usize,
    /// Credited bytes of the body that were passed on since credit was last granted.
    consumed: u64,
    /// Bytes of the body that came with the head, without credit, and were not passed on yet.
    uncredited_bytes: usize,
    /// Bytes of the body that were not passed on yet.
    waiting_bytes: usize,
    /// Memory for what may arrive unread, and for what waits once the response is complete.
    held: Held,
    upload_task: Option<AbortHandle>,
}

impl Attempt {
    /// Opens a stream to the gate, sends the request on it and starts the
    /// upload of the rest of its body.
    pub(super) fn start(
        daemon: &Arc<Daemon>,
        tx: &TaskTx,
        outgoing: &OutgoingRequest,
        upload: Option<&Arc<Upload>>,
        attempt: &entry::Attempt,
    ) -> Self {
        let credit = Arc::new(Credit::default());
        let window = Arc::new(Window::default());
        let held = daemon.memory.entry_responses.hold();
        let stream_handle = || StreamHandle {
            tx: tx.clone(),
            attempt: attempt.attempt,
            credit: credit.clone(),
            window: window.clone(),
            progress: SendProgress::Queued,
        };
        let open = outgoing.open(attempt, &daemon.integration.headers);
        let (link, stream) = open_stream(daemon, &attempt.address, stream_handle, &open);
        let target = UploadTarget {
            link: link.clone(),
            stream,
            credit,
            offset: outgoing.body_start.len() as u64,
        };
        let upload_task = match upload {
            Some(upload) => Some(tokio::spawn(upload.clone().send(target))),
            None if outgoing.holds_body() => {
                let rest = outgoing.buffered_rest.clone();
                Some(tokio::spawn(send_buffered(target, rest)))
            }
            None => None,
        };
        let upload_task = upload_task.map(|task| task.abort_handle());
        let mut started = Self {
            id: attempt.attempt,
            response: None,
            complete: false,
            broken: false,
            pieces: PieceQueue::default(),
            received_bytes: 0,
            declared_len: None,
            bodyless: outgoing.inbound.method == Method::HEAD,
            closed: false,
            link,
            stream,
            window,
            max_window_bytes: daemon.cfg.limits.window_bytes,
            consumed: 0,
            uncredited_bytes: 0,
            waiting_bytes: 0,
            held,
            upload_task,
        };
        if !started.held.share().is_short() {
            started.open_window();
        }
        started
    }

    /// Lets the gate send the body. Memory for all that may arrive unread is held first; as
    /// less is left, windows become smaller.
    fn open_window(&mut self) {
        let share_bytes = self.held.share().free() / WINDOW_DIVISOR;
        let bytes = share_bytes.max(MIN_WINDOW_BYTES).min(self.max_window_bytes);
        if self.held.try_grow(bytes) {
            self.window.grant(bytes as u64);
            send_credit(&self.link, self.stream, bytes as u64);
        }
    }

    /// Returns whether the gate waits for credit that was not granted for want of memory.
    pub(super) fn needs_window(&self) -> bool {
        self.response.is_some() && !self.closed && self.held.bytes() == 0
    }

    /// Lets the gate send the body if there is memory for it now.
    pub(super) fn try_open_window(&mut self) {
        if self.needs_window() {
            self.open_window();
        }
    }

    /// Returns whether so much of the response has arrived that it is passed on before it is
    /// complete: beyond `max_buffered` bytes gates send it as it comes, and beyond the window
    /// nothing arrives before something was passed on.
    pub(super) fn fills(&self, max_buffered: usize) -> bool {
        let window_bytes = self.held.bytes();
        let max = window_bytes.min(max_buffered) as u64;
        !self.closed && window_bytes > 0 && self.received_bytes >= max
    }

    /// Stores the head of the response and the body bytes in its frame. Returns
    /// false for a second head or one without a valid status, or if the body does not have
    /// its declared length.
    pub(super) fn on_head(&mut self, mut head: ResponseHead) -> bool {
        let is_valid = u16::try_from(head.status).is_ok_and(http1::is_valid_status);
        if self.response.is_some() || !is_valid {
            return false;
        }
        let body = std::mem::take(&mut head.body);
        self.bodyless |= BODYLESS.contains(&head.status);
        self.declared_len = head.body_len.filter(|_| !self.bodyless);
        let end = head.end;
        self.uncredited_bytes = body.len();
        self.response = Some(head);
        self.push(body, end)
    }

    /// Stores the next bytes of the body. Returns false if they are out of
    /// order or do not match the declared length.
    pub(super) fn on_data(&mut self, data: Data) -> bool {
        if self.response.is_none() || self.complete || data.offset != self.received_bytes {
            return false;
        }
        self.push(data.bytes, data.end)
    }

    fn push(&mut self, bytes: Bytes, end: bool) -> bool {
        self.received_bytes += bytes.len() as u64;
        self.waiting_bytes += bytes.len();
        self.pieces.push(bytes);
        let too_long = self
            .declared_len
            .is_some_and(|len| self.received_bytes > len);
        let too_short = end
            && self
                .declared_len
                .is_some_and(|len| self.received_bytes < len);
        if too_long || too_short {
            return false;
        }
        if end {
            self.complete = true;
            self.close();
        }
        true
    }

    /// Returns the next piece of the body for the caller. Grants the gate new
    /// credit once half of the window is consumed.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        let bytes = self.pieces.pop()?;
        self.waiting_bytes -= bytes.len();
        if self.closed {
            self.held.shrink(bytes.len());
            return Some(bytes);
        }
        let uncredited = bytes.len().min(self.uncredited_bytes);
        self.uncredited_bytes -= uncredited;
        self.consumed += (bytes.len() - uncredited) as u64;
        let window_bytes = self.held.bytes() as u64;
        if window_bytes > 0 && self.consumed >= window_bytes / 2 {
            let consumed = std::mem::take(&mut self.consumed);
            self.window.grant(consumed);
            send_credit(&self.link, self.stream, consumed);
        }
        Some(bytes)
    }

    /// Returns all received pieces of the body, joined, and the memory that is held for them.
    pub(super) fn take_all(&mut self) -> (Bytes, Held) {
        let none = self.held.share().hold();
        let held = std::mem::replace(&mut self.held, none);
        let first = self.pieces.pop().unwrap_or_default();
        if self.pieces.is_empty() {
            return (first, held);
        }
        let mut all = Vec::with_capacity(self.waiting_bytes);
        all.extend_from_slice(&first);
        while let Some(piece) = self.pieces.pop() {
            all.extend_from_slice(&piece);
        }
        self.waiting_bytes = 0;
        (all.into(), held)
    }

    /// Returns the length of the response body once it is complete.
    pub(super) fn complete_len(&self) -> Option<u64> {
        self.complete.then_some(self.received_bytes)
    }

    /// Marks the response as cut off and closes its stream.
    pub(super) fn mark_broken(&mut self) {
        self.broken = true;
        self.cancel();
    }

    /// Notifies the gate that the response is no longer needed and closes the
    /// stream.
    pub(super) fn cancel(&mut self) {
        if !self.closed {
            let stream = self.stream;
            self.link.send(Body::Cancel(Cancel { stream }));
        }
        self.close();
    }

    /// Closes the stream, gives back the memory for what will not arrive, and stops the
    /// upload; later frames are discarded.
    pub(super) fn close(&mut self) {
        self.closed = true;
        let unused = self.held.bytes().saturating_sub(self.waiting_bytes);
        self.held.shrink(unused);
        self.link.remove(self.stream);
        if let Some(upload_task) = self.upload_task.take() {
            upload_task.abort();
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// Opens a stream on the connection to an address; dials again if the
/// connection closes meanwhile.
fn open_stream(
    daemon: &Arc<Daemon>,
    address: &CompactString,
    stream_handle: impl Fn() -> StreamHandle,
    open: &Open,
) -> (Arc<Link>, StreamId) {
    loop {
        let link = links::link_to(daemon, address, LinkKind::Data);
        if let Some(stream) = link.open(stream_handle(), open) {
            return (link, stream);
        }
    }
}

fn send_credit(link: &Link, stream: StreamId, bytes: u64) {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    link.send(Body::Credit(wire::Credit { stream, bytes }));
}
