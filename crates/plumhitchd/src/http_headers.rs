//! Conversion of headers between HTTP and the wire protocol of the daemons.

use bytes::Bytes;
use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use wire::Header;

/// Headers that apply to one connection only and are not forwarded.
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

/// Returns the headers to forward, without the hop-by-hop headers and those
/// that the `connection` header lists.
pub(crate) fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    let listed: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .filter(|(name, _)| !listed.iter().any(|n| n == name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Converts a header of the wire protocol to HTTP. Returns `None` if it is not
/// valid.
pub(crate) fn from_wire(header: Header) -> Option<(HeaderName, HeaderValue)> {
    let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
    let value = HeaderValue::from_maybe_shared(header.value).ok()?;
    Some((name, value))
}
