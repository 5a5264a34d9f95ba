//! Ejection of failing upstreams, limited to a fraction of the service.

use crate::stats::UpstreamStats;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::UpstreamId;

/// Duration of the first ejection.
const BASE_EJECTION: Duration = Duration::from_secs(5);
/// Maximum number of times that the duration is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// Ends expired ejections and ejects failing upstreams, as long as at most the
/// fraction `ratio` of the service is ejected.
pub(crate) fn update(
    all_stats: &mut BTreeMap<UpstreamId, UpstreamStats>,
    ratio: f64,
    now: Duration,
) {
    for stats in all_stats.values_mut() {
        if stats.ejected_until.is_some_and(|until| until <= now) {
            stats.readmit(now);
        }
    }
    let allowed = fraction_of(all_stats.len(), ratio);
    let ejected = all_stats
        .values()
        .filter(|s| s.ejected_until.is_some())
        .count();
    let due = all_stats.values_mut().filter(|s| s.should_be_ejected());
    for stats in due.take(allowed.saturating_sub(ejected)) {
        let doublings = stats.ejections.min(MAX_DOUBLINGS);
        stats.ejected_until = Some(now + BASE_EJECTION * 2_u32.pow(doublings));
        stats.ejections += 1;
    }
}

/// Returns a fraction of a number of upstreams, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "counts of upstreams are small"
)]
pub(crate) fn fraction_of(len: usize, ratio: f64) -> usize {
    (len as f64 * ratio.clamp(0.0, 1.0)).floor() as usize
}
