//! When requests last ran to their end at this gate's upstream.

use gate::MIN_SERVER_ERROR;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::Fingerprint;

/// Maximum number of completions kept.
const MAX_COMPLETIONS: usize = 1_024;
/// HTTP statuses of client errors with which an upstream rejects a request before it runs:
/// request timeout, too early, too many requests.
const REJECTIONS: [u16; 3] = [408, 425, 429];

/// Returns whether a response with this HTTP status shows that the upstream ran the
/// request to its end. One that failed may not have got to the part that ends upstreams.
pub(super) fn is_completion(status: u16) -> bool {
    status < MIN_SERVER_ERROR && !REJECTIONS.contains(&status)
}

/// The most recent completions. A request that has run to its end since a crash does
/// not crash each upstream that runs it.
#[derive(Debug, Default)]
pub(super) struct Completions {
    last_at: BTreeMap<Fingerprint, Duration>,
    in_order: VecDeque<(Fingerprint, Duration)>,
}

impl Completions {
    /// Records that a request ran to its end.
    pub(super) fn record(&mut self, now: Duration, fingerprint: Fingerprint) {
        self.last_at.insert(fingerprint, now);
        self.in_order.push_back((fingerprint, now));
        if self.in_order.len() <= MAX_COMPLETIONS {
            return;
        }
        let Some((oldest, at)) = self.in_order.pop_front() else {
            return;
        };
        if self.last_at.get(&oldest) == Some(&at) {
            self.last_at.remove(&oldest);
        }
    }

    /// Returns whether a request ran to its end after a time.
    pub(super) fn any_since(&self, fingerprint: Fingerprint, since: Duration) -> bool {
        let last_at = self.last_at.get(&fingerprint);
        last_at.is_some_and(|at| *at > since)
    }
}
