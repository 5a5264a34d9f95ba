//! Final responses to callers, before they are written to the connection.

use super::driver::Driver;
use crate::http_headers::from_wire;
use crate::memory::Held;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use wire::ResponseHead;

/// The final response to a caller's request.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) body: ResponseBody,
    /// Body length that the upstream declared; used for responses to HEAD.
    pub(super) declared_len: Option<u64>,
}

impl Response {
    /// Returns whether the length of the body is not known before its end.
    pub(super) fn has_unknown_length(&self) -> bool {
        matches!(self.body, ResponseBody::Stream(None, _))
    }
}

/// Body of a final response.
#[derive(Debug)]
pub(super) enum ResponseBody {
    /// The complete body, and the memory that is held for it.
    Complete(Bytes, Option<Held>),
    /// A body that is still being received, with its length if the upstream
    /// declared one.
    Stream(Option<u64>, Box<Driver>),
}

/// Builds the caller's response from an upstream's response head.
pub(super) fn from_upstream(head: ResponseHead, mut driver: Driver) -> Response {
    let status = u16::try_from(head.status).unwrap_or(StatusCode::BAD_GATEWAY.as_u16());
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for (name, value) in head.headers.into_iter().filter_map(from_wire) {
        headers.append(name, value);
    }
    let body = match driver.complete_body() {
        Some((body, held)) => ResponseBody::Complete(body, Some(held)),
        None => ResponseBody::Stream(head.body_len, Box::new(driver)),
    };
    Response {
        status,
        headers,
        body,
        declared_len: head.body_len,
    }
}
