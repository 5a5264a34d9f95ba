//! Parsers for the values of settings and lists.
//!
//! Times and sizes are parsed here, since `serde_with` has no adapter for a
//! number with its unit in one text (`500 ms`, `64 KB`).

use compact_str::CompactString;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Maximum length of the name of a daemon, data centre, customer, plan or class.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// A parsed value, or a description of the valid values.
pub(crate) type Parsed<T> = Result<T, String>;

const TIME_UNITS: [(&str, u64); 5] = [
    ("ms", 1),
    ("s", 1_000),
    ("min", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];

const SIZE_UNITS: [(&str, u64); 4] = [("B", 1), ("KB", 1 << 10), ("MB", 1 << 20), ("GB", 1 << 30)];

/// Parses a time such as `500 ms`, `4 s`, `10 min`, `24 h` or `7 d`.
pub(crate) fn time(text: &str, range: RangeInclusive<Duration>) -> Parsed<Duration> {
    parse_with_unit(text, &TIME_UNITS)
        .map(Duration::from_millis)
        .filter(|time| range.contains(time))
        .ok_or_else(|| {
            format!(
                "a time from {} to {}",
                format_time(*range.start()),
                format_time(*range.end())
            )
        })
}

/// Parses a size such as `512 B`, `64 KB`, `10 MB` or `1 GB`; 1 KB is 1024 bytes.
pub(crate) fn size(text: &str, range: RangeInclusive<u64>) -> Parsed<u64> {
    parse_with_unit(text, &SIZE_UNITS)
        .filter(|size| range.contains(size))
        .ok_or_else(|| {
            format!(
                "a size from {} to {}",
                format_with_unit(*range.start(), &SIZE_UNITS),
                format_with_unit(*range.end(), &SIZE_UNITS)
            )
        })
}

/// Parses a whole number.
pub(crate) fn count<T>(text: &str, range: RangeInclusive<T>) -> Parsed<T>
where
    T: FromStr + PartialOrd + Display,
{
    let number = text.parse().ok().filter(|n| range.contains(n));
    number.ok_or_else(|| format!("a whole number from {} to {}", range.start(), range.end()))
}

/// Parses a number from 0 to 1.
pub(crate) fn ratio(text: &str) -> Parsed<f64> {
    let number = text.parse().ok().filter(|n| (0.0..=1.0).contains(n));
    number.ok_or_else(|| "a number from 0 to 1".to_owned())
}

/// Parses an address `IP:PORT`; the port must not be 0.
pub(crate) fn address(text: &str) -> Parsed<SocketAddr> {
    let address = text.parse().ok().filter(|a: &SocketAddr| a.port() > 0);
    address.ok_or_else(|| "IP:PORT, such as 10.0.0.7:7100".to_owned())
}

/// Parses a comma-separated list of addresses.
pub(crate) fn addresses(text: &str) -> Parsed<Vec<SocketAddr>> {
    let addresses: Parsed<Vec<SocketAddr>> = text.split(',').map(|a| address(a.trim())).collect();
    addresses.map_err(|_| "addresses separated by commas: IP:PORT, IP:PORT, …".to_owned())
}

/// Parses a name.
pub(crate) fn name(text: &str) -> Parsed<CompactString> {
    if is_name(text) {
        return Ok(text.into());
    }
    Err(format!(
        "1 to {MAX_NAME_BYTES} of the letters a-z, A-Z, digits, '.', '_' and '-'"
    ))
}

/// Returns whether a text is a valid name.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Parses the path of a file or folder.
pub(crate) fn path(text: &str) -> Parsed<PathBuf> {
    if text.is_empty() {
        return Err("a path".to_owned());
    }
    Ok(PathBuf::from(text))
}

/// Parses the path of an HTTP endpoint, without a query string.
pub(crate) fn http_path(text: &str) -> Parsed<String> {
    let allowed = |b: u8| b.is_ascii_graphic() && b != b'?';
    if text.starts_with('/') && text.bytes().all(allowed) {
        return Ok(text.to_owned());
    }
    Err("a path that begins with '/', such as /cancel".to_owned())
}

/// Parses `yes` or `no`.
pub(crate) fn yes_no(text: &str) -> Parsed<bool> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("yes or no".to_owned()),
    }
}

/// Formats a time in the largest unit that divides it.
pub(crate) fn format_time(time: Duration) -> String {
    let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    format_with_unit(ms, &TIME_UNITS)
}

fn format_with_unit(number: u64, units: &[(&str, u64)]) -> String {
    let fits = |factor: u64| number > 0 && number.is_multiple_of(factor);
    let fitting = units.iter().rev().find(|(_, factor)| fits(*factor));
    let (unit, factor) = fitting.unwrap_or(&units[0]);
    format!("{} {unit}", number / factor)
}

fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}
