//! Builds the HTTP request for the upstream from a request that an entry
//! forwarded.

use super::exchange::{Echo, UpstreamRequest};
use super::upload_queue::UploadRx;
use crate::http_headers::from_wire;
use crate::links::{Link, Window};
use crate::memory::Held;
use crate::runtime::Daemon;
use bytes::Bytes;
use http::header::{HOST, HeaderName, HeaderValue};
use http::{HeaderMap, Method};
use http1::Framing;
use node::admission::UpstreamStart;
use std::io;
use std::sync::Arc;
use wire::{Header, Open, StreamId};

/// A piece of a request body, or an error if the body is cut off.
pub(super) type UploadPiece = io::Result<Bytes>;

/// Receives the rest of a request body, and grants the entry credit as the
/// bytes are consumed.
#[derive(Debug)]
pub(super) struct UploadReader {
    pub(super) rx: UploadRx,
    pub(super) link: Arc<Link>,
    pub(super) stream: StreamId,
    pub(super) window: Arc<Window>,
    pub(super) window_bytes: u64,
    /// Memory for the window.
    pub(super) _held: Held,
    pub(super) consumed: u64,
}

impl UploadReader {
    /// Grants the entry credit for more bytes.
    pub(super) fn grant_credit(&self, bytes: u64) {
        self.window.grant(bytes);
        self.link.send(wire::Body::Credit(wire::Credit {
            stream: self.stream,
            bytes: u32::try_from(bytes).unwrap_or(u32::MAX),
        }));
    }

    /// Returns the next piece of the body, or `None` at its end.
    pub(super) async fn next(&mut self) -> Option<UploadPiece> {
        let piece = self.rx.recv().await?;
        if let Ok(bytes) = &piece {
            self.consumed += bytes.len() as u64;
        }
        if self.consumed >= self.window_bytes / 2 {
            let consumed = std::mem::take(&mut self.consumed);
            self.grant_credit(consumed);
        }
        Some(piece)
    }
}

/// Returns the id that identifies a request to the upstream.
pub(super) fn request_id(daemon: &Daemon, ticket: u64) -> String {
    format!(
        "{}-{:x}-{ticket}",
        daemon.cfg.daemon.name, daemon.incarnation
    )
}

/// Returns the method of a request, or `None` if the request cannot be sent as
/// HTTP. This is checked before admission, so that a malformed request does not
/// count as a failure of the upstream.
pub(super) fn valid_method(open: &Open) -> Option<Method> {
    let is_valid = |b: u8| b.is_ascii_graphic();
    if !open.path.starts_with('/') || !open.path.bytes().all(is_valid) {
        return None;
    }
    Method::from_bytes(open.method.as_bytes()).ok()
}

/// Builds the request with a ticket for a start of the upstream, and takes headers, path
/// and body out of `open`.
pub(super) fn build(
    daemon: &Daemon,
    (ticket, start): (u64, &UpstreamStart),
    method: Method,
    open: &mut Open,
) -> UpstreamRequest {
    let names = &daemon.integration.headers;
    let mut headers = to_header_map(std::mem::take(&mut open.headers));
    let deadline = HeaderValue::from(open.deadline_ms);
    headers.insert(names.deadline_ms.clone(), deadline);
    let budget = HeaderValue::from(open.retry_budget);
    insert_if_set(&mut headers, names.retry_budget.as_ref(), Some(budget));
    let depth = HeaderValue::from(open.depth.saturating_add(1));
    insert_if_set(&mut headers, names.depth.as_ref(), Some(depth));
    let id = HeaderValue::from_str(&request_id(daemon, ticket)).ok();
    insert_if_set(&mut headers, names.request_id.as_ref(), id);
    let echo = expected_echo(daemon, &headers);
    insert_if_set(
        &mut headers,
        names.target_upstream.as_ref(),
        target_header(&start.target),
    );
    if !headers.contains_key(HOST) {
        insert_if_set(&mut headers, Some(&HOST), host_header(daemon));
    }
    let body_start = std::mem::take(&mut open.body);
    let framing = match (open.end, open.body_len) {
        (true, None) if body_start.is_empty() => Framing::Empty,
        (true, _) => Framing::Length(body_start.len() as u64),
        (false, Some(len)) => Framing::Length(len),
        (false, None) => Framing::Chunked,
    };
    UpstreamRequest {
        start: start.number,
        method,
        target: std::mem::take(&mut open.path),
        headers,
        framing,
        body_start,
        echo,
    }
}

/// Returns how the response is recognised: by the caller's id of its attempt, which
/// upstreams repeat, or by the id of the request, which they may repeat.
fn expected_echo(daemon: &Daemon, headers: &HeaderMap) -> Echo {
    let names = &daemon.integration.headers;
    let with_value = |name: &HeaderName| Some((name.clone(), headers.get(name)?.clone()));
    if let Some((name, value)) = names.attempt_id.as_ref().and_then(with_value) {
        return Echo::Required(name, value);
    }
    let id = names.request_id.as_ref().and_then(with_value);
    id.map_or(Echo::Unchecked, |(name, value)| {
        Echo::IfPresent(name, value)
    })
}

fn to_header_map(from: Vec<Header>) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(from.len() + 8);
    for (name, value) in from.into_iter().filter_map(from_wire) {
        headers.append(name, value);
    }
    headers
}

fn insert_if_set(headers: &mut HeaderMap, name: Option<&HeaderName>, value: Option<HeaderValue>) {
    if let (Some(name), Some(value)) = (name, value) {
        headers.insert(name.clone(), value);
    }
}

fn target_header(target: &str) -> Option<HeaderValue> {
    let value = HeaderValue::from_str(target).ok();
    value.filter(|v| !v.is_empty())
}

fn host_header(daemon: &Daemon) -> Option<HeaderValue> {
    let address = daemon.cfg.upstream.as_ref()?.address;
    HeaderValue::from_str(&address.to_string()).ok()
}
