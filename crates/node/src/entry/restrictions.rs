//! What upstreams state about themselves, as far as their responses passed through this
//! entry. It is sent along with requests, so that a gate that has started again knows it.

use super::Entry;
use crate::context::Cx;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{AttemptId, RequestId, Restriction, UpstreamId};

/// Time for which a restriction is kept that is not stated again.
const RESTRICTION_TTL: Duration = Duration::from_secs(3_600);
/// Maximum number of restrictions kept.
const MAX_RESTRICTIONS: usize = 4_096;

/// A restriction, and when it was last stated.
#[derive(Clone, Copy, Debug)]
struct Known {
    restriction: Restriction,
    stated_at: Duration,
}

/// Restrictions by upstream.
#[derive(Debug, Default)]
pub(super) struct Restrictions {
    known: BTreeMap<UpstreamId, Known>,
}

impl Restrictions {
    /// Records the latest restriction of an upstream, or that there is none.
    fn record(&mut self, now: Duration, upstream: &UpstreamId, restriction: Restriction) {
        if !restriction.leaving && restriction.rate_milli.is_none() {
            self.known.remove(upstream);
            return;
        }
        if self.known.len() >= MAX_RESTRICTIONS && !self.known.contains_key(upstream) {
            self.remove_oldest();
        }
        let known = Known {
            restriction,
            stated_at: now,
        };
        self.known.insert(upstream.clone(), known);
    }

    /// Returns the restriction of an upstream.
    pub(super) fn get(&self, upstream: &str) -> Option<Restriction> {
        self.known.get(upstream).map(|known| known.restriction)
    }

    /// Removes what was not stated again for long.
    pub(super) fn tick(&mut self, now: Duration) {
        self.known
            .retain(|_, known| now.saturating_sub(known.stated_at) < RESTRICTION_TTL);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.known.iter().min_by_key(|(_, known)| known.stated_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.known.remove(&name);
        }
    }
}

impl Entry {
    /// Records what the upstream of an attempt states.
    pub(super) fn on_restricted(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        restriction: Restriction,
        cx: &mut Cx<'_>,
    ) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let Some(sent) = active.attempts.iter().find(|t| t.number == attempt) else {
            return;
        };
        let upstream = sent.upstream.clone();
        self.restrictions.record(cx.now, &upstream, restriction);
        if let Some(picker) = self.pickers.get_mut(&active.request.service) {
            let pause = Duration::from_millis(restriction.pause_ms.into());
            picker.record_pause(cx.now, &upstream, pause);
        }
    }
}
