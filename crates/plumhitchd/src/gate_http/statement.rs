//! Reads what an upstream states in the head of a response.

use crate::integration::HeaderNames;
use gate::{Statement, parse_rate_milli};
use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use node::admission::ReadStatement;
use std::time::Duration;

/// Value of the header by which an upstream states that it is leaving, and the one by
/// which it states that it is not.
const LEAVING: &str = "1";
const NOT_LEAVING: &str = "0";
/// Maximum number of bytes of an unusable value in the log.
const MAX_LOGGED_BYTES: usize = 32;

/// Reads the statements of a response.
pub(super) fn read(names: &HeaderNames, headers: &HeaderMap) -> ReadStatement {
    let mut unusable = Vec::new();
    let rate = names.stated_rate.as_ref();
    let rate_milli = rate.and_then(|name| {
        read_single(
            headers,
            name,
            "stated_rate",
            parse_rate_milli,
            &mut unusable,
        )
    });
    let leaving = names.stated_leaving.as_ref();
    let leaving = leaving.and_then(|name| {
        read_single(
            headers,
            name,
            "stated_leaving",
            parse_leaving,
            &mut unusable,
        )
    });
    let cold = names.cold_remaining_ms.as_ref();
    let cold_remaining =
        cold.and_then(|name| read_single(headers, name, "cold_remaining", parse_ms, &mut unusable));
    ReadStatement {
        statement: Statement {
            rate_milli,
            leaving: leaving.unwrap_or_default(),
            cold_remaining,
        },
        unusable,
    }
}

/// Reads a header that may occur once. An unusable one counts as absent.
fn read_single<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    logged_name: &'static str,
    parse: impl Fn(&str) -> Option<T>,
    unusable: &mut Vec<(&'static str, String)>,
) -> Option<T> {
    let values: Vec<&HeaderValue> = headers.get_all(name).iter().collect();
    let parsed = match values.as_slice() {
        [] => return None,
        [value] => value.to_str().ok().and_then(|text| parse(text.trim())),
        _ => None,
    };
    if parsed.is_none() {
        unusable.push((logged_name, describe(&values)));
    }
    parsed
}

fn parse_ms(text: &str) -> Option<Duration> {
    text.parse().ok().map(Duration::from_millis)
}

fn parse_leaving(text: &str) -> Option<bool> {
    match text {
        LEAVING => Some(true),
        NOT_LEAVING => Some(false),
        _ => None,
    }
}

/// Returns the beginning of the values in a form that fits a log line.
fn describe(values: &[&HeaderValue]) -> String {
    let bytes = values.iter().flat_map(|value| {
        let separator = b",".iter().copied();
        value.as_bytes().iter().copied().chain(separator)
    });
    let start: Vec<u8> = bytes.take(MAX_LOGGED_BYTES).collect();
    start.escape_ascii().to_string()
}
