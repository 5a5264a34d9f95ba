//! One attempt of a request: its stream to a gate and what came back.

use super::inbound::Inbound;
use super::upload::{Target, Upload};
use crate::links::{self, Credit, Link, StreamHandle, Window};
use crate::runtime::Daemon;
use crate::task_messages::TaskTx;
use bytes::Bytes;
use compact_str::CompactString;
use http::Method;
use node::entry;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::task::AbortHandle;
use wire::{AttemptId, Body, Cancel, Data, Fingerprint, LinkKind, Open, ResponseHead, StreamId};

/// HTTP statuses whose answers have no body, whatever length they announce.
const BODYLESS: [u32; 2] = [204, 304];

/// What every attempt of a request sends.
#[derive(Debug)]
pub(super) struct Outgoing {
    inbound: Inbound,
    first: Bytes,
    fingerprint: Fingerprint,
    held: bool,
}

impl Outgoing {
    pub(super) fn new(
        inbound: Inbound,
        first: Bytes,
        fingerprint: Fingerprint,
        held: bool,
    ) -> Self {
        Self {
            inbound,
            first,
            fingerprint,
            held,
        }
    }

    fn open(&self, attempt: &entry::Attempt) -> Open {
        let inbound = &self.inbound;
        Open {
            stream: 0,
            service: attempt.service.to_string(),
            customer: inbound.customer.to_string(),
            class: attempt.class.to_string(),
            method: inbound.method.to_string(),
            path: inbound.path.clone(),
            headers: inbound.headers.clone(),
            deadline_ms: u64::try_from(attempt.deadline.as_millis()).unwrap_or(u64::MAX),
            retry_budget: attempt.retry_budget,
            depth: inbound.depth,
            fingerprint: self.fingerprint,
            claim: attempt.claim,
            idempotent: attempt.idempotent,
            body_len: inbound.body_len,
            body: self.first.clone(),
            end: self.held,
            weight: attempt.weight,
            suspected: attempt.suspected,
            believed_slow_percent: attempt.believed_slow_percent,
            objective_ms: attempt
                .objective
                .map_or(0, |o| u64::try_from(o.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}

/// One attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    /// Status and headers, once they came.
    pub(super) answer: Option<ResponseHead>,
    /// Whether the whole answer came.
    pub(super) ended: bool,
    /// Whether the answer broke off.
    pub(super) broken: bool,
    chunks: VecDeque<Bytes>,
    offset: u64,
    expected: Option<u64>,
    bodyless: bool,
    closed: bool,
    link: Arc<Link>,
    stream: StreamId,
    window: Arc<Window>,
    window_bytes: u64,
    consumed: u64,
    sender: Option<AbortHandle>,
}

impl Attempt {
    /// Opens a stream to the gate and sends the request on it.
    pub(super) fn start(
        daemon: &Arc<Daemon>,
        tx: &TaskTx,
        outgoing: &Outgoing,
        upload: Option<&Arc<Upload>>,
        attempt: &entry::Attempt,
    ) -> Self {
        let credit = Arc::new(Credit::default());
        let window = Arc::new(Window::default());
        let window_bytes = daemon.cfg.limits.window_bytes as u64;
        window.grant(window_bytes);
        let slot = || StreamHandle {
            tx: tx.clone(),
            attempt: attempt.attempt,
            credit: credit.clone(),
            window: window.clone(),
            sent: false,
        };
        let open = outgoing.open(attempt);
        let (link, stream) = open_stream(daemon, &attempt.address, slot, &open);
        grant(&link, stream, window_bytes);
        let target = Target {
            link: link.clone(),
            stream,
            credit,
            offset: outgoing.first.len() as u64,
        };
        let sender = upload.map(|u| tokio::spawn(u.clone().send(target)).abort_handle());
        Self {
            id: attempt.attempt,
            answer: None,
            ended: false,
            broken: false,
            chunks: VecDeque::new(),
            offset: 0,
            expected: None,
            bodyless: outgoing.inbound.method == Method::HEAD,
            closed: false,
            link,
            stream,
            window,
            window_bytes,
            consumed: 0,
            sender,
        }
    }

    /// Takes the answer's head in; returns whether what came is consistent.
    pub(super) fn head(&mut self, mut head: ResponseHead) -> bool {
        if self.answer.is_some() {
            return false;
        }
        let body = std::mem::take(&mut head.body);
        self.bodyless |= BODYLESS.contains(&head.status);
        self.expected = head.body_len.filter(|_| !self.bodyless);
        let end = head.end;
        self.answer = Some(head);
        self.take(body, end)
    }

    /// Takes a piece of the answer's body in; returns whether it is in place.
    pub(super) fn data(&mut self, data: Data) -> bool {
        if self.answer.is_none() || self.ended || data.offset != self.offset {
            return false;
        }
        self.take(data.bytes, data.end)
    }

    fn take(&mut self, bytes: Bytes, end: bool) -> bool {
        self.offset += bytes.len() as u64;
        if !bytes.is_empty() {
            self.chunks.push_back(bytes);
        }
        let too_long = self.expected.is_some_and(|len| self.offset > len);
        let too_short = end && self.expected.is_some_and(|len| self.offset < len);
        if too_long || too_short {
            return false;
        }
        if end {
            self.ended = true;
            self.close();
        }
        true
    }

    /// Returns the next piece for the caller, and lets the gate send more.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        let bytes = self.chunks.pop_front()?;
        self.consumed += bytes.len() as u64;
        if !self.closed && self.consumed >= self.window_bytes / 2 {
            let consumed = std::mem::take(&mut self.consumed);
            self.window.grant(consumed);
            grant(&self.link, self.stream, consumed);
        }
        Some(bytes)
    }

    /// Returns all pieces as one.
    pub(super) fn pop_all(&mut self) -> Bytes {
        let first = self.pop().unwrap_or_default();
        if self.chunks.is_empty() {
            return first;
        }
        let mut all = first.to_vec();
        while let Some(chunk) = self.pop() {
            all.extend_from_slice(&chunk);
        }
        all.into()
    }

    /// Returns the length of the answer's body once all of it has come.
    pub(super) fn whole_bytes(&self) -> Option<u64> {
        self.ended.then_some(self.offset)
    }

    /// Records that the answer will not come whole.
    pub(super) fn break_off(&mut self) {
        self.broken = true;
        self.cancel();
    }

    /// Tells the gate that the answer is no longer wanted.
    pub(super) fn cancel(&mut self) {
        if !self.closed {
            let stream = self.stream;
            self.link.send(Body::Cancel(Cancel { stream }));
        }
        self.close();
    }

    /// Drops the stream: whatever still comes on it is late.
    pub(super) fn close(&mut self) {
        self.closed = true;
        self.link.remove(self.stream);
        if let Some(sender) = self.sender.take() {
            sender.abort();
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// Opens a stream on the connection to an address; a connection that is just
/// closing is dialled anew.
fn open_stream(
    daemon: &Arc<Daemon>,
    address: &CompactString,
    slot: impl Fn() -> StreamHandle,
    open: &Open,
) -> (Arc<Link>, StreamId) {
    loop {
        let link = links::link_to(daemon, address, LinkKind::Data);
        if let Some(stream) = link.open(slot(), open) {
            return (link, stream);
        }
    }
}

fn grant(link: &Link, stream: StreamId, bytes: u64) {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    link.send(Body::Credit(wire::Credit { stream, bytes }));
}
