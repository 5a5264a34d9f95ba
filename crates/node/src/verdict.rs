//! Limits on verdicts about requests that crash upstreams, shared by all roles.

use std::time::Duration;
use wire::Verdict;

/// Number of crashes at which a request was in flight from which on it is refused,
/// where suspected requests are not isolated.
pub(crate) const CONVICTING_CRASHES: u32 = 3;
/// Time after the last crash for which crashes are counted.
pub(crate) const CRASH_COUNT_TTL: Duration = Duration::from_secs(600);

/// Returns the longest time for which a verdict is valid.
pub(crate) fn verdict_ttl(verdict: Verdict) -> Duration {
    match verdict {
        Verdict::Convicted => Duration::from_secs(600),
        Verdict::Unknown | Verdict::Suspected | Verdict::Acquitted | Verdict::Crashed => {
            Duration::from_secs(60)
        }
    }
}
