//! Headers on the wire, and which of them stay behind.

use bytes::Bytes;
use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use wire::Header;

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Returns the headers to pass on: not those of the connection, whether by
/// their name or by being named in `connection`.
pub(crate) fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .filter(|(name, _)| !named.iter().any(|n| n == name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Returns a header of the wire as HTTP has it, unless it is not valid there.
pub(crate) fn from_wire(header: Header) -> Option<(HeaderName, HeaderValue)> {
    let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
    let value = HeaderValue::from_maybe_shared(header.value).ok()?;
    Some((name, value))
}
