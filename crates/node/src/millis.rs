//! Conversion of times for messages.

use std::time::Duration;

/// Returns a time in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
