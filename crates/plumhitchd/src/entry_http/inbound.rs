//! Parsing of the headers by which a caller's request names its customer,
//! service, class and limits.

use crate::http_headers::to_wire;
use crate::integration::{HeaderNames, Integration};
use crate::runtime::Daemon;
use compact_str::CompactString;
use credentials::Presented;
use http::header::{HOST, HeaderName, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use http1::{Framing, RequestHead};
use node::entry::RouteKey;
use std::str::FromStr;
use std::time::Duration;
use wire::{ClassId, CustomerId, Header, ServiceId};

/// Maximum length of a name or key in a header, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A caller's request, without its body.
#[derive(Debug)]
pub(super) struct Inbound {
    pub(super) customer: CustomerId,
    pub(super) credential: Presented,
    pub(super) service: ServiceId,
    pub(super) class: Option<ClassId>,
    pub(super) route_key: Option<RouteKey>,
    pub(super) idempotency_key: Option<CompactString>,
    pub(super) attempt_id: CompactString,
    pub(super) deadline: Option<Duration>,
    pub(super) retry_budget: Option<u32>,
    pub(super) depth: u32,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: Vec<Header>,
    pub(super) body_len: Option<u64>,
}

/// Why a request is rejected, and the response to it.
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

/// Parses the headers of a request.
///
/// # Errors
///
/// Returns an error for the first header, target or body length that is not
/// acceptable.
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
        let message = "the request's target must be a path";
        return Err(BadRequest::new(message.to_owned()));
    }
    let (customer, service, class, route_key) = match integration.uses_routes {
        true => (
            CustomerId::default(),
            ServiceId::default(),
            None,
            Some(route_key(&head)?),
        ),
        false => (
            required_name(headers, names.customer.as_ref())?,
            required_name(headers, names.service.as_ref())?,
            optional_name(headers, names.class.as_ref())?,
            None,
        ),
    };
    let deadline = optional_number(headers, Some(&names.deadline_ms))?;
    Ok(Inbound {
        customer,
        credential: credential(headers, &daemon.integration),
        service,
        class,
        route_key,
        idempotency_key: optional_name(headers, names.idempotency_key.as_ref())?,
        attempt_id: optional_name(headers, names.attempt_id.as_ref())?.unwrap_or_default(),
        deadline: deadline.map(Duration::from_millis),
        retry_budget: optional_number(headers, names.retry_budget.as_ref())?,
        depth: optional_number(headers, names.depth.as_ref())?.unwrap_or(1),
        headers: forwarded_headers(headers, daemon),
        method: head.method,
        path: head.target,
        body_len,
    })
}

/// Returns what the caller presented as its credential.
fn credential(headers: &HeaderMap, integration: &Integration) -> Presented {
    let Some(name) = &integration.headers.credential else {
        return Presented::Missing;
    };
    let values = headers.get_all(name).iter().map(HeaderValue::as_bytes);
    credentials::parse(integration.credential_scheme, values)
}

/// Returns the host and path that determine a request's route.
fn route_key(head: &RequestHead) -> Result<RouteKey, BadRequest> {
    let host = head.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.ok_or_else(|| BadRequest::new("host is missing".to_owned()))?;
    Ok(RouteKey {
        host: host.into(),
        path: head.target.clone(),
    })
}

/// Returns the headers for the upstream, without those that this daemon or the
/// one beside the upstream sets itself.
fn forwarded_headers(headers: &HeaderMap, daemon: &Daemon) -> Vec<Header> {
    let mut forwarded = to_wire(headers);
    let names = &daemon.integration.headers;
    forwarded.retain(|h| !is_replaced(names, &h.name));
    if let (Some(name), Some(value)) = (&names.caller_service, &daemon.integration.caller_service) {
        forwarded.push(Header {
            name: name.as_str().to_owned(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        });
    }
    forwarded
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

fn optional_name(
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

fn required_name(
    headers: &HeaderMap,
    header: Option<&HeaderName>,
) -> Result<CompactString, BadRequest> {
    let missing = || {
        let header = header.map_or("a header", HeaderName::as_str);
        BadRequest::new(format!("{header} is missing"))
    };
    optional_name(headers, header)?.ok_or_else(missing)
}

fn optional_number<T: FromStr>(
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
    let invalid = || BadRequest::new(format!("{header} must be a whole number"));
    parsed.map(Some).ok_or_else(invalid)
}
