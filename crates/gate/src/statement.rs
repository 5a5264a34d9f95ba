//! What an upstream states about itself in the heads of its responses.

use std::time::Duration;

/// Thousandths in a unit.
const MILLI_PER_UNIT: u64 = 1_000;
/// Maximum number of decimals that are significant; the rest is below the unit in which
/// rates are kept.
const MAX_DECIMALS: usize = 3;

/// What one response states. A response without the headers states nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Maximum number of requests that the upstream takes, in thousandths of a request a
    /// second, from all entries together.
    pub rate_milli: Option<u64>,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Time for which the upstream remains cold.
    pub cold_remaining: Option<Duration>,
}

/// Parses a rate, a decimal number of requests a second, to thousandths. A number too
/// large for them is the largest one. Returns `None` if the text is not such a number.
#[must_use]
pub fn parse_rate_milli(text: &str) -> Option<u64> {
    let (whole, decimals) = match text.split_once('.') {
        Some((whole, decimals)) if is_digits(decimals) => (whole, decimals),
        Some(_) => return None,
        None => (text, ""),
    };
    if !is_digits(whole) {
        return None;
    }
    // Digits that do not fit are too many for the type, not an invalid number.
    let whole = whole.parse::<u64>().unwrap_or(u64::MAX);
    let padded = format!("{decimals:0<MAX_DECIMALS$.MAX_DECIMALS$}");
    let milli = padded.parse::<u64>().ok()?;
    Some(whole.saturating_mul(MILLI_PER_UNIT).saturating_add(milli))
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())
}
