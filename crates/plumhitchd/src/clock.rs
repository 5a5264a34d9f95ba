//! The clocks from which the reducer gets its time.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time since the VM booted, including time spent suspended.
pub(crate) fn now() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for output
/// to people and for comparison with time stamps of other processes on the VM.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
