//! Parsing of request and response heads: the start line and the headers.

use bytes::{Buf, BytesMut};
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use http::{HeaderMap, Method};
use std::fmt;
use std::ops::RangeInclusive;

/// Maximum number of header lines in a head.
const MAX_HEADERS: usize = 100;
/// Valid status codes.
const VALID_STATUS: RangeInclusive<u16> = 100..=599;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked and ends with the last chunk.
    Chunked,
    /// The body ends when the connection closes; responses only.
    UntilClose,
}

/// Why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The head has too many bytes or header lines.
    TooLong,
    /// The head is not valid, for this reason.
    Malformed(&'static str),
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("the head is too long"),
            Self::Malformed(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for HeadError {}

/// Request line and headers of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection stays open for another request.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the client can read a chunked response; one of HTTP/1.0 cannot.
    pub reads_chunks: bool,
}

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection can be reused for another request.
    pub keep_alive: bool,
}

/// Parses a request head and removes it from `buf`. Returns `None` if the head
/// is incomplete.
///
/// # Errors
///
/// Returns an error if the head is not valid or longer than `max` bytes.
pub fn parse_request(buf: &mut BytesMut, max: usize) -> Result<Option<RequestHead>, HeadError> {
    skip_empty_lines(buf);
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let Some(len) = complete_len(parsed.parse(buf), buf.len(), max)? else {
        return Ok(None);
    };
    let method = parsed.method.unwrap_or_default().as_bytes();
    let method = Method::from_bytes(method).map_err(|_| malformed("the method is not valid"))?;
    let target = parsed.path.unwrap_or_default().to_owned();
    let headers = headers(parsed.headers)?;
    let keep_alive = keeps_alive(&headers, parsed.version);
    let framing = match body_length(&headers)? {
        DeclaredLength::Unspecified => Framing::Empty,
        DeclaredLength::Length(0) => Framing::Empty,
        DeclaredLength::Length(len) => Framing::Length(len),
        DeclaredLength::Chunked => Framing::Chunked,
    };
    let expects_continue = headers.contains_key(EXPECT);
    let parsed_version = parsed.version;
    buf.advance(len);
    Ok(Some(RequestHead {
        method,
        target,
        headers,
        framing,
        keep_alive,
        expects_continue,
        reads_chunks: parsed_version == Some(HTTP_1_1),
    }))
}

/// Parses the head of the response to a request with this method and removes it
/// from `buf`. Returns `None` if the head is incomplete.
///
/// # Errors
///
/// Returns an error if the head is not valid or longer than `max` bytes.
pub fn parse_response(
    buf: &mut BytesMut,
    max: usize,
    method: &Method,
) -> Result<Option<ResponseHead>, HeadError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let Some(len) = complete_len(parsed.parse(buf), buf.len(), max)? else {
        return Ok(None);
    };
    let status = parsed.code.unwrap_or_default();
    if !is_valid_status(status) {
        return Err(HeadError::Malformed("the status code is not valid"));
    }
    let headers = headers(parsed.headers)?;
    let mut keep_alive = keeps_alive(&headers, parsed.version);
    let framing = match body_length(&headers)? {
        _ if *method == Method::HEAD || crate::is_bodyless(status) => Framing::Empty,
        DeclaredLength::Length(0) => Framing::Empty,
        DeclaredLength::Length(len) => Framing::Length(len),
        DeclaredLength::Chunked => Framing::Chunked,
        DeclaredLength::Unspecified => Framing::UntilClose,
    };
    keep_alive &= framing != Framing::UntilClose;
    buf.advance(len);
    Ok(Some(ResponseHead {
        status,
        headers,
        framing,
        keep_alive,
    }))
}

/// Returns whether a number is the status code of a response.
#[must_use]
pub fn is_valid_status(status: u16) -> bool {
    VALID_STATUS.contains(&status)
}

/// Removes the empty lines that a client may send before a request.
fn skip_empty_lines(buf: &mut BytesMut) {
    while buf.starts_with(b"\r\n") {
        buf.advance(2);
    }
}

fn complete_len(
    parsed: httparse::Result<usize>,
    buffered: usize,
    max: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(len)) if len > max => Err(HeadError::TooLong),
        Ok(httparse::Status::Complete(len)) => Ok(Some(len)),
        Ok(httparse::Status::Partial) if buffered > max => Err(HeadError::TooLong),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLong),
        Err(_) => Err(malformed("the head is not valid")),
    }
}

fn headers(lines: &[httparse::Header<'_>]) -> Result<HeaderMap, HeadError> {
    let mut headers = HeaderMap::with_capacity(lines.len());
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes());
        let name = name.map_err(|_| malformed("a header's name is not valid"))?;
        let value = HeaderValue::from_bytes(line.value);
        let value = value.map_err(|_| malformed("a header's value is not valid"))?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Minor version of HTTP/1.1.
const HTTP_1_1: u8 = 1;

fn keeps_alive(headers: &HeaderMap, version: Option<u8>) -> bool {
    let has_token = |token: &str| {
        let values = headers.get_all(CONNECTION).iter();
        values
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    };
    match version {
        Some(HTTP_1_1) => !has_token("close"),
        _ => has_token("keep-alive"),
    }
}

/// Body length as the headers declare it.
enum DeclaredLength {
    Unspecified,
    Length(u64),
    Chunked,
}

/// Returns the declared body length. Conflicting declarations are rejected,
/// because another parser could split such a message at a different place
/// (request smuggling).
fn body_length(headers: &HeaderMap) -> Result<DeclaredLength, HeadError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(malformed("two lengths are stated"));
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let coding = codings.next();
    match (coding, length) {
        (Some(_), Some(_)) => Err(malformed("a length and a transfer coding are stated")),
        (Some(coding), None) if codings.next().is_none() => match coding.as_bytes() {
            chunked if chunked.eq_ignore_ascii_case(b"chunked") => Ok(DeclaredLength::Chunked),
            _ => Err(malformed("the transfer coding is not known")),
        },
        (Some(_), None) => Err(malformed("two transfer codings are stated")),
        (None, Some(length)) => match parse_length(length.as_bytes()) {
            Some(length) => Ok(DeclaredLength::Length(length)),
            None => Err(malformed("the length is not a number")),
        },
        (None, None) => Ok(DeclaredLength::Unspecified),
    }
}

fn parse_length(digits: &[u8]) -> Option<u64> {
    let valid = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(digits).ok().filter(|_| valid)?;
    text.parse().ok()
}

fn malformed(reason: &'static str) -> HeadError {
    HeadError::Malformed(reason)
}
