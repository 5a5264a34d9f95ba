//! How many crashes of this gate's upstream each request was in flight at.

use crate::millis::millis;
use crate::verdict::{CONVICTING_CRASHES, CRASH_COUNT_TTL};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Fingerprint, SuspectState, Verdict};

/// Maximum number of requests that are counted, and sent in one report.
const MAX_COUNTED: usize = 256;

/// Maximum number of requests in a report of a crash that is not certain, which rides on
/// heartbeats.
const MAX_UNCONFIRMED: usize = 32;

#[derive(Clone, Copy, Debug)]
struct CrashCount {
    crashes: u32,
    first_at: Duration,
    last_at: Duration,
}

/// Counts of crashes by request, since the start of this daemon.
#[derive(Debug, Default)]
pub(super) struct CrashCounts {
    counts: BTreeMap<Fingerprint, CrashCount>,
}

impl CrashCounts {
    /// Counts one crash for each of the requests that were in flight at it. Returns
    /// their states for a report.
    pub(super) fn record_crash(
        &mut self,
        now: Duration,
        in_flight: &[Fingerprint],
    ) -> Vec<SuspectState> {
        for fingerprint in in_flight {
            let count = self.counts.entry(*fingerprint).or_insert(CrashCount {
                crashes: 0,
                first_at: now,
                last_at: now,
            });
            count.crashes += 1;
            count.last_at = now;
        }
        self.evict();
        let counted = in_flight.iter();
        counted.filter_map(|f| self.state(now, *f)).collect()
    }

    /// Returns whether a request was in flight at so many crashes here alone that it is
    /// refused even without the control plane.
    pub(super) fn convicts(&self, fingerprint: Fingerprint) -> bool {
        let count = self.counts.get(&fingerprint);
        count.is_some_and(|count| count.crashes >= CONVICTING_CRASHES)
    }

    /// Forgets the crashes of a request that has run to its end. Returns whether there
    /// were any.
    pub(super) fn remove(&mut self, fingerprint: Fingerprint) -> bool {
        self.counts.remove(&fingerprint).is_some()
    }

    /// Returns all states, for a leader that does not have them.
    pub(super) fn states(&self, now: Duration) -> Vec<SuspectState> {
        let counted = self.counts.keys();
        counted.filter_map(|f| self.state(now, *f)).collect()
    }

    /// Returns the states that would be reported if the upstream had crashed now with these
    /// requests in flight.
    pub(super) fn states_after_crash(
        &self,
        now: Duration,
        in_flight: &[Fingerprint],
    ) -> Vec<SuspectState> {
        let in_flight = in_flight.iter().take(MAX_UNCONFIRMED);
        let states = in_flight.map(|fingerprint| {
            let count = self.counts.get(fingerprint);
            let first_at = count.map_or(now, |count| count.first_at);
            crashed(
                *fingerprint,
                count.map_or(0, |count| count.crashes) + 1,
                now.saturating_sub(first_at),
            )
        });
        states.collect()
    }

    /// Drops counts of crashes that are long past.
    pub(super) fn tick(&mut self, now: Duration) {
        self.counts
            .retain(|_, count| count.last_at + CRASH_COUNT_TTL > now);
    }

    fn state(&self, now: Duration, fingerprint: Fingerprint) -> Option<SuspectState> {
        let count = self.counts.get(&fingerprint)?;
        let since = now.saturating_sub(count.first_at);
        Some(crashed(fingerprint, count.crashes, since))
    }

    fn evict(&mut self) {
        while self.counts.len() > MAX_COUNTED {
            let oldest = self.counts.iter().min_by_key(|(_, count)| count.last_at);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.counts.remove(&fingerprint);
        }
    }
}

fn crashed(fingerprint: Fingerprint, crashes: u32, since: Duration) -> SuspectState {
    SuspectState {
        fingerprint,
        verdict: Verdict::Crashed.into(),
        crashes,
        since_ms: Some(millis(since)),
        ..SuspectState::default()
    }
}
