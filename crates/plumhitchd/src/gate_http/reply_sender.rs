//! Replies of a gate to the entry that forwarded a request.

use crate::http_headers::to_wire;
use crate::links::Link;
use crate::runtime::Daemon;
use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use std::sync::Arc;
use wire::{
    Body, Data, Load, Refuse, RefuseReason, Reset, ResetReason, ResponseHead, StreamId, UpstreamId,
};

/// Delays that a refusal states, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RefusalDelays {
    /// Time after which the caller may retry.
    pub(super) retry_after_ms: u32,
    /// Time for which the entry should send no request that ranks no higher.
    pub(super) pause_ms: u32,
}

/// Sends the replies for one request to its entry.
#[derive(Debug)]
pub(super) struct ReplySender {
    pub(super) daemon: Arc<Daemon>,
    pub(super) link: Arc<Link>,
    pub(super) stream: StreamId,
    /// Whether the entry no longer expects a reply; nothing is sent then.
    pub(super) closed: bool,
    /// Whether the entry stated what it knows of the upstream's statements.
    pub(super) informed: bool,
}

impl ReplySender {
    /// Reports that the request was not run, with the gate's current load.
    pub(super) fn refuse(&self, reason: RefuseReason) {
        let load = self.daemon.load_to_send();
        self.refuse_with(reason, load, RefusalDelays::default(), None);
    }

    /// Reports that the request was not run.
    pub(super) fn refuse_with(
        &self,
        reason: RefuseReason,
        load: Option<Load>,
        delays: RefusalDelays,
        only_at: Option<UpstreamId>,
    ) {
        let reason = match reason {
            RefuseReason::Limited if !self.link.peer_knows_limited() => RefuseReason::NoSlot,
            reason => reason,
        };
        self.send(Body::Refuse(Refuse {
            stream: self.stream,
            reason: reason.into(),
            load,
            retry_after_ms: delays.retry_after_ms,
            pause_ms: delays.pause_ms,
            only_at: only_at.unwrap_or_default().into(),
            restriction: self.daemon.restriction_to_send(self.informed),
        }));
    }

    /// Reports that there will be no complete response.
    pub(super) fn reset(&self, reason: ResetReason) {
        self.send(Body::Reset(Reset {
            stream: self.stream,
            reason: reason.into(),
            load: self.daemon.load_to_send(),
        }));
    }

    /// Sends the status, the headers and the body or its beginning.
    pub(super) fn head(&self, status: u16, headers: &HeaderMap, body: Bytes, end: bool) {
        let body_len = headers.get(CONTENT_LENGTH);
        let body_len = body_len.and_then(|v| v.to_str().ok()?.parse().ok());
        self.send(Body::Response(ResponseHead {
            stream: self.stream,
            status: status.into(),
            headers: to_wire(headers),
            body_len,
            load: self.daemon.load_to_send(),
            body,
            end,
            restriction: self.daemon.restriction_to_send(self.informed),
        }));
    }

    /// Sends a piece of the body, with the gate's load in the last one.
    pub(super) fn data(&self, offset: u64, bytes: Bytes, end: bool) {
        let load = end.then(|| self.daemon.load_to_send()).flatten();
        self.send(Body::Data(Data {
            stream: self.stream,
            offset,
            bytes,
            end,
            load,
        }));
    }

    fn send(&self, body: Body) {
        if !self.closed {
            self.link.send(body);
        }
    }
}
