//! Serialisation of heads and chunks.

use crate::head::Framing;
use bytes::{BufMut, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};
use std::fmt::Write as _;

/// Writes a request head. `connection`, `content-length` and
/// `transfer-encoding` in `headers` are ignored; `framing` determines the
/// length headers.
pub fn write_request(
    buf: &mut BytesMut,
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    framing: Framing,
) {
    let _ = write!(buf, "{method} {target} HTTP/1.1\r\n");
    write_headers(buf, headers);
    write_framing(buf, framing);
    buf.put_slice(b"\r\n");
}

/// Writes a response head. `keep_alive_s` is the idle timeout of the
/// connection in seconds, or `None` if the connection closes after the response.
pub fn write_response(
    buf: &mut BytesMut,
    status: u16,
    headers: &HeaderMap,
    framing: Framing,
    keep_alive_s: Option<u64>,
) {
    let reason = StatusCode::from_u16(status).ok();
    let reason = reason.and_then(|s| s.canonical_reason()).unwrap_or("");
    let _ = write!(buf, "HTTP/1.1 {status} {reason}\r\n");
    write_headers(buf, headers);
    if is_bodyless(status) {
        // A response with such a status must not declare a length.
    } else if framing == Framing::Empty {
        buf.put_slice(b"content-length: 0\r\n");
    } else {
        write_framing(buf, framing);
    }
    match keep_alive_s {
        Some(seconds) => {
            let _ = write!(buf, "keep-alive: timeout={seconds}\r\n");
        }
        None => buf.put_slice(b"connection: close\r\n"),
    }
    buf.put_slice(b"\r\n");
}

/// Writes one chunk, or nothing if `bytes` is empty: an empty chunk would end
/// the body.
pub fn write_chunk(buf: &mut BytesMut, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let _ = write!(buf, "{:x}\r\n", bytes.len());
    buf.put_slice(bytes);
    buf.put_slice(b"\r\n");
}

/// Writes the empty chunk that ends a chunked body.
pub fn write_last_chunk(buf: &mut BytesMut) {
    buf.put_slice(b"0\r\n\r\n");
}

/// Returns whether a response with this status never has a body.
#[must_use]
pub fn is_bodyless(status: u16) -> bool {
    status < 200 || status == 204 || status == 304
}

fn write_headers(buf: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if is_connection_specific(name) {
            continue;
        }
        buf.put_slice(name.as_str().as_bytes());
        buf.put_slice(b": ");
        buf.put_slice(value.as_bytes());
        buf.put_slice(b"\r\n");
    }
}

fn is_connection_specific(name: &HeaderName) -> bool {
    *name == CONTENT_LENGTH || *name == TRANSFER_ENCODING || *name == CONNECTION
}

fn write_framing(buf: &mut BytesMut, framing: Framing) {
    match framing {
        Framing::Empty | Framing::UntilClose => {}
        Framing::Length(len) => {
            let _ = write!(buf, "content-length: {len}\r\n");
        }
        Framing::Chunked => buf.put_slice(b"transfer-encoding: chunked\r\n"),
    }
}
