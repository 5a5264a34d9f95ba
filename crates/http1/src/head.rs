//! Heads of requests and responses.

use bytes::{Buf, BytesMut};
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use http::{HeaderMap, Method};
use std::fmt;

/// Header lines of a head at most.
const MAX_HEADERS: usize = 100;

/// How a message's body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// After so many bytes.
    Length(u64),
    /// After a last chunk.
    Chunked,
    /// With the connection; only responses.
    UntilClose,
}

/// Why a head can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// It is longer than allowed.
    TooLong,
    /// It is not valid.
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

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// How its body ends.
    pub framing: Framing,
    /// Whether the caller may send another request on this connection.
    pub keep_alive: bool,
    /// Whether the caller waits for leave to send the body.
    pub expects_continue: bool,
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// How its body ends.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

/// Takes the head of a request out of `buf`; `None` when it is not whole yet.
///
/// # Errors
///
/// Returns why there can't be a valid head of at most `max` bytes.
pub fn parse_request(buf: &mut BytesMut, max: usize) -> Result<Option<RequestHead>, HeadError> {
    skip_empty_lines(buf);
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let Some(len) = whole(parsed.parse(buf), buf.len(), max)? else {
        return Ok(None);
    };
    let method = parsed.method.unwrap_or_default().as_bytes();
    let method = Method::from_bytes(method).map_err(|_| malformed("the method is not valid"))?;
    let target = parsed.path.unwrap_or_default().to_owned();
    let headers = headers(parsed.headers)?;
    let keep_alive = keeps_alive(&headers, parsed.version);
    let framing = match body_length(&headers)? {
        Declared::Nothing => Framing::Empty,
        Declared::Length(0) => Framing::Empty,
        Declared::Length(len) => Framing::Length(len),
        Declared::Chunked => Framing::Chunked,
    };
    let expects_continue = headers.contains_key(EXPECT);
    buf.advance(len);
    Ok(Some(RequestHead {
        method,
        target,
        headers,
        framing,
        keep_alive,
        expects_continue,
    }))
}

/// Takes the head of a response to a request of this method out of `buf`;
/// `None` when it is not whole yet.
///
/// # Errors
///
/// Returns why there can't be a valid head of at most `max` bytes.
pub fn parse_response(
    buf: &mut BytesMut,
    max: usize,
    method: &Method,
) -> Result<Option<ResponseHead>, HeadError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let Some(len) = whole(parsed.parse(buf), buf.len(), max)? else {
        return Ok(None);
    };
    let status = parsed.code.unwrap_or_default();
    let headers = headers(parsed.headers)?;
    let mut keep_alive = keeps_alive(&headers, parsed.version);
    let framing = match body_length(&headers)? {
        _ if *method == Method::HEAD || crate::is_bodyless(status) => Framing::Empty,
        Declared::Length(0) => Framing::Empty,
        Declared::Length(len) => Framing::Length(len),
        Declared::Chunked => Framing::Chunked,
        Declared::Nothing => Framing::UntilClose,
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

/// Drops the empty lines that may stand before a request.
fn skip_empty_lines(buf: &mut BytesMut) {
    while buf.starts_with(b"\r\n") {
        buf.advance(2);
    }
}

fn whole(
    parsed: httparse::Result<usize>,
    held: usize,
    max: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(len)) if len > max => Err(HeadError::TooLong),
        Ok(httparse::Status::Complete(len)) => Ok(Some(len)),
        Ok(httparse::Status::Partial) if held > max => Err(HeadError::TooLong),
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

fn keeps_alive(headers: &HeaderMap, version: Option<u8>) -> bool {
    let named = |token: &str| {
        let values = headers.get_all(CONNECTION).iter();
        values
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    };
    match version {
        Some(1) => !named("close"),
        _ => named("keep-alive"),
    }
}

/// What the headers say of the body's length.
enum Declared {
    Nothing,
    Length(u64),
    Chunked,
}

/// Reads the body's length; a message that states it twice in different ways
/// could be read as two messages by somebody else, and is not taken.
fn body_length(headers: &HeaderMap) -> Result<Declared, HeadError> {
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
            chunked if chunked.eq_ignore_ascii_case(b"chunked") => Ok(Declared::Chunked),
            _ => Err(malformed("the transfer coding is not known")),
        },
        (Some(_), None) => Err(malformed("two transfer codings are stated")),
        (None, Some(length)) => match parse_length(length.as_bytes()) {
            Some(length) => Ok(Declared::Length(length)),
            None => Err(malformed("the length is not a number")),
        },
        (None, None) => Ok(Declared::Nothing),
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
