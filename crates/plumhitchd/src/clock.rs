//! The clocks that the reducer is told.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time since the VM's start, counted while it is paused too.
pub(crate) fn now() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}

/// Returns the wall clock in milliseconds since the Unix epoch; for people, and
/// beside what another process on the VM says.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
