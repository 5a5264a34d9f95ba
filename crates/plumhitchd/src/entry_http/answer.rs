//! The final answer to a caller, before it is written.

use super::driver::Driver;
use crate::http_headers::from_wire;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use wire::ResponseHead;

/// A final answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) body: AnswerBody,
    /// Body length that the upstream announced, for answers without their body.
    pub(super) announced: Option<u64>,
}

/// Its body.
#[derive(Debug)]
pub(super) enum AnswerBody {
    /// All of it is here.
    Whole(Bytes),
    /// It comes piece by piece; its length if the upstream announced one.
    Pieces(Option<u64>, Box<Driver>),
}

/// Makes the answer of an upstream.
pub(super) fn upstreams(head: ResponseHead, mut driver: Driver) -> Answer {
    let status = u16::try_from(head.status).unwrap_or(StatusCode::BAD_GATEWAY.as_u16());
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for (name, value) in head.headers.into_iter().filter_map(from_wire) {
        headers.append(name, value);
    }
    let body = match driver.whole() {
        Some(body) => AnswerBody::Whole(body),
        None => AnswerBody::Pieces(head.body_len, Box::new(driver)),
    };
    Answer {
        status,
        headers,
        body,
        announced: head.body_len,
    }
}
