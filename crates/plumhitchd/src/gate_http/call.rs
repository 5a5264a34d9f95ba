//! Turns a forwarded request into one for the upstream.

use super::exchange::Outgoing;
use crate::http_headers::from_wire;
use crate::links::{Link, Window};
use crate::runtime::Daemon;
use bytes::Bytes;
use http::header::{HOST, HeaderName, HeaderValue};
use http::{HeaderMap, Method};
use http1::Framing;
use std::io;
use std::sync::Arc;
use tokio::sync::mpsc;
use wire::{Header, Open, StreamId};

/// A piece of an upload, or that it broke off.
pub(super) type Piece = io::Result<Bytes>;

/// Reads an upload for the upstream, and lets the entry send more as it goes.
#[derive(Debug)]
pub(super) struct UploadReader {
    pub(super) rx: mpsc::UnboundedReceiver<Piece>,
    pub(super) link: Arc<Link>,
    pub(super) stream: StreamId,
    pub(super) window: Arc<Window>,
    pub(super) window_bytes: u64,
    pub(super) consumed: u64,
}

impl UploadReader {
    /// Grants the entry more bytes.
    pub(super) fn grant(&self, bytes: u64) {
        self.window.grant(bytes);
        self.link.send(wire::Body::Credit(wire::Credit {
            stream: self.stream,
            bytes: u32::try_from(bytes).unwrap_or(u32::MAX),
        }));
    }

    /// Returns the next piece of the upload; `None` at its end.
    pub(super) async fn next(&mut self) -> Option<Piece> {
        let piece = self.rx.recv().await?;
        if let Ok(bytes) = &piece {
            self.consumed += bytes.len() as u64;
        }
        if self.consumed >= self.window_bytes / 2 {
            let consumed = std::mem::take(&mut self.consumed);
            self.grant(consumed);
        }
        Some(piece)
    }
}

/// Returns the id by which the upstream knows a request.
pub(super) fn request_id(daemon: &Daemon, ticket: u64) -> String {
    format!(
        "{}-{:x}-{ticket}",
        daemon.cfg.daemon.name, daemon.incarnation
    )
}

/// Returns the method of a request, unless it can't be handed to the upstream
/// at all. This is asked before admission: what can't be sent says nothing of
/// the upstream.
pub(super) fn method(open: &Open) -> Option<Method> {
    let valid = |b: u8| b.is_ascii_graphic();
    if !open.path.starts_with('/') || !open.path.bytes().all(valid) {
        return None;
    }
    Method::from_bytes(open.method.as_bytes()).ok()
}

/// Builds the request for the upstream.
pub(super) fn build(daemon: &Daemon, ticket: u64, method: Method, open: &mut Open) -> Outgoing {
    let names = &daemon.integration.headers;
    let mut headers = headers(std::mem::take(&mut open.headers));
    let echo = names.attempt_id.clone();
    let echo = echo.and_then(|name| headers.get(&name).cloned().map(|value| (name, value)));
    let deadline = HeaderValue::from(open.deadline_ms);
    headers.insert(names.deadline_ms.clone(), deadline);
    let budget = HeaderValue::from(open.retry_budget);
    insert(&mut headers, names.retry_budget.as_ref(), Some(budget));
    let depth = HeaderValue::from(open.depth.saturating_add(1));
    insert(&mut headers, names.depth.as_ref(), Some(depth));
    let id = HeaderValue::from_str(&request_id(daemon, ticket)).ok();
    insert(&mut headers, names.request_id.as_ref(), id);
    insert(&mut headers, names.target_upstream.as_ref(), target(daemon));
    if !headers.contains_key(HOST) {
        insert(&mut headers, Some(&HOST), host(daemon));
    }
    let first = std::mem::take(&mut open.body);
    let framing = match (open.end, open.body_len) {
        (true, None) if first.is_empty() => Framing::Empty,
        (true, _) => Framing::Length(first.len() as u64),
        (false, Some(len)) => Framing::Length(len),
        (false, None) => Framing::Chunked,
    };
    Outgoing {
        method,
        target: std::mem::take(&mut open.path),
        headers,
        framing,
        first,
        echo,
    }
}

fn headers(from: Vec<Header>) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(from.len() + 8);
    for (name, value) in from.into_iter().filter_map(from_wire) {
        headers.append(name, value);
    }
    headers
}

fn insert(headers: &mut HeaderMap, name: Option<&HeaderName>, value: Option<HeaderValue>) {
    if let (Some(name), Some(value)) = (name, value) {
        headers.insert(name.clone(), value);
    }
}

fn target(daemon: &Daemon) -> Option<HeaderValue> {
    daemon.integration.headers.target_upstream.as_ref()?;
    let announced = daemon.read(|node| node.admission.announced().map(|a| a.target.clone()))?;
    HeaderValue::from_str(&announced)
        .ok()
        .filter(|v| !v.is_empty())
}

fn host(daemon: &Daemon) -> Option<HeaderValue> {
    let address = daemon.cfg.upstream.as_ref()?.address;
    HeaderValue::from_str(&address.to_string()).ok()
}
