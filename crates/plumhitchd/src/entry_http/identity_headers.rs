//! Headers that tell the upstream the customer of a request in place of the credential.

use crate::integration::HeaderNames;
use bytes::Bytes;
use node::entry::Attempt;
use wire::Header;

/// Returns the headers of an attempt. Where the configuration needs credentials, they lack
/// the credential, and name the customer that the reducer identified instead of the one
/// that the caller may have written.
pub(super) fn identity_headers(
    headers: &[Header],
    attempt: &Attempt,
    names: &HeaderNames,
) -> Vec<Header> {
    let Some(sender) = &attempt.sender else {
        return headers.to_vec();
    };
    let replaced = [&names.credential, &names.identified_customer];
    let is_replaced = |h: &&Header| replaced.iter().any(|n| is_named(n.as_ref(), h));
    let kept = headers.iter().filter(|h| !is_replaced(h));
    let mut headers: Vec<Header> = kept.cloned().collect();
    if let (Some(name), false) = (&names.identified_customer, sender.customer.is_empty()) {
        headers.push(Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(sender.customer.as_bytes()),
        });
    }
    headers
}

fn is_named(name: Option<&http::HeaderName>, header: &Header) -> bool {
    name.is_some_and(|name| name.as_str().eq_ignore_ascii_case(&header.name))
}
