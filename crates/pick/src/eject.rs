//! Ejection of failing upstreams, bounded to a part of their service.

use crate::record::Record;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::UpstreamId;

/// Length of a first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Doublings of the ejection time at most.
const MAX_DOUBLINGS: u32 = 4;

/// Ends ejections that are over, and begins those that are due while no more
/// than `ratio` of the service is ejected.
pub(crate) fn update(records: &mut BTreeMap<UpstreamId, Record>, ratio: f64, now: Duration) {
    for record in records.values_mut() {
        if record.ejected_until.is_some_and(|until| until <= now) {
            record.readmit(now);
        }
    }
    let allowed = part_of(records.len(), ratio);
    let ejected = records
        .values()
        .filter(|r| r.ejected_until.is_some())
        .count();
    let due = records.values_mut().filter(|r| r.should_be_ejected());
    for record in due.take(allowed.saturating_sub(ejected)) {
        let doublings = record.ejections.min(MAX_DOUBLINGS);
        record.ejected_until = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
        record.ejections += 1;
    }
}

/// Returns a part of a number of upstreams, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "counts of upstreams are small"
)]
pub(crate) fn part_of(len: usize, ratio: f64) -> usize {
    (len as f64 * ratio.clamp(0.0, 1.0)).floor() as usize
}
