//! What a caller's request says about itself.

use crate::http_headers::to_wire;
use crate::integration::HeaderNames;
use crate::runtime::Daemon;
use compact_str::CompactString;
use http::header::{HOST, HeaderName};
use http::{HeaderMap, Method, StatusCode};
use http1::{Framing, RequestHead};
use node::entry::RouteKey;
use std::str::FromStr;
use std::time::Duration;
use wire::{ClassId, CustomerId, Header, ServiceId};

/// Longest name or key in a header, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// A caller's request, without its body.
#[derive(Debug)]
pub(super) struct Inbound {
    pub(super) customer: CustomerId,
    pub(super) service: ServiceId,
    pub(super) class: Option<ClassId>,
    pub(super) routed: Option<RouteKey>,
    pub(super) key: Option<CompactString>,
    pub(super) attempt_id: CompactString,
    pub(super) deadline: Option<Duration>,
    pub(super) retry_budget: Option<u32>,
    pub(super) depth: u32,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: Vec<Header>,
    pub(super) body_len: Option<u64>,
}

/// What is wrong with a request.
#[derive(Debug)]
pub(super) struct BadRequest {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
    pub(super) message: String,
}

impl BadRequest {
    fn new(message: String) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            reason: "malformed",
            message,
        }
    }
}

/// Reads a request's headers.
///
/// # Errors
///
/// Returns the first thing that is wrong with them.
pub(super) fn parse(head: RequestHead, daemon: &Daemon) -> Result<Inbound, BadRequest> {
    let integration = &daemon.integration;
    let names = &integration.headers;
    let headers = &head.headers;
    let max_body = daemon.max_body_bytes();
    let body_len = match head.framing {
        Framing::Length(len) => Some(len),
        Framing::Empty if headers.contains_key(http::header::CONTENT_LENGTH) => Some(0),
        Framing::Empty | Framing::Chunked | Framing::UntilClose => None,
    };
    if body_len.is_some_and(|len| len > max_body) {
        return Err(BadRequest {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            reason: "body-too-long",
            message: format!("the body is longer than {max_body} bytes"),
        });
    }
    if !head.target.starts_with('/') {
        let why = "the request's target must be a path";
        return Err(BadRequest::new(why.to_owned()));
    }
    let (customer, service, class, routed) = match integration.uses_routes {
        true => (
            CustomerId::default(),
            ServiceId::default(),
            None,
            Some(routed(&head)?),
        ),
        false => (
            required(headers, names.customer.as_ref())?,
            required(headers, names.service.as_ref())?,
            name(headers, names.class.as_ref())?,
            None,
        ),
    };
    let deadline = number(headers, Some(&names.deadline_ms))?;
    Ok(Inbound {
        customer,
        service,
        class,
        routed,
        key: name(headers, names.idempotency_key.as_ref())?,
        attempt_id: name(headers, names.attempt_id.as_ref())?.unwrap_or_default(),
        deadline: deadline.map(Duration::from_millis),
        retry_budget: number(headers, names.retry_budget.as_ref())?,
        depth: number(headers, names.depth.as_ref())?.unwrap_or(1),
        headers: passed_on(headers, daemon),
        method: head.method,
        path: head.target,
        body_len,
    })
}

/// Returns by what a request finds its route.
fn routed(head: &RequestHead) -> Result<RouteKey, BadRequest> {
    let host = head.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.ok_or_else(|| BadRequest::new("host is missing".to_owned()))?;
    Ok(RouteKey {
        host: host.into(),
        path: head.target.clone(),
    })
}

/// Returns the headers for the upstream, without those that this daemon or the
/// one beside the upstream writes anew.
fn passed_on(headers: &HeaderMap, daemon: &Daemon) -> Vec<Header> {
    let mut passed = to_wire(headers);
    let names = &daemon.integration.headers;
    passed.retain(|h| !is_replaced(names, &h.name));
    if let (Some(name), Some(value)) = (&names.caller_service, &daemon.integration.caller_service) {
        passed.push(Header {
            name: name.as_str().to_owned(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        });
    }
    passed
}

fn is_replaced(names: &HeaderNames, header: &str) -> bool {
    let replaced = [
        Some(&names.deadline_ms),
        names.retry_budget.as_ref(),
        names.depth.as_ref(),
        names.target_upstream.as_ref(),
        names.caller_service.as_ref(),
    ];
    replaced
        .into_iter()
        .flatten()
        .any(|name| name.as_str() == header)
}

fn name(
    headers: &HeaderMap,
    header: Option<&HeaderName>,
) -> Result<Option<CompactString>, BadRequest> {
    let Some((header, value)) = header.and_then(|name| Some((name, headers.get(name)?))) else {
        return Ok(None);
    };
    match value.to_str().map(str::trim) {
        Ok(text) if !text.is_empty() && text.len() <= MAX_NAME_BYTES => Ok(Some(text.into())),
        _ => Err(BadRequest::new(format!(
            "{header} must be 1 to {MAX_NAME_BYTES} visible ASCII characters"
        ))),
    }
}

fn required(headers: &HeaderMap, header: Option<&HeaderName>) -> Result<CompactString, BadRequest> {
    let missing = || {
        let header = header.map_or("a header", HeaderName::as_str);
        BadRequest::new(format!("{header} is missing"))
    };
    name(headers, header)?.ok_or_else(missing)
}

fn number<T: FromStr>(
    headers: &HeaderMap,
    header: Option<&HeaderName>,
) -> Result<Option<T>, BadRequest> {
    let Some((header, value)) = header.and_then(|name| Some((name, headers.get(name)?))) else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let wrong = || BadRequest::new(format!("{header} must be a whole number"));
    parsed.map(Some).ok_or_else(wrong)
}
