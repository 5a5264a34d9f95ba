//! Notices that far more requests arrive than the upstream has slots for.

use std::collections::VecDeque;
use std::time::Duration;

/// Refusals within a service time from which on a gate is crowded, for each slot.
const CROWDED_REFUSALS_PER_SLOT: usize = 2;
/// Maximum number of slots per refusal within a service time at which a gate counts as
/// overloaded.
const OVERLOAD_SLOTS_PER_REFUSAL: usize = 2;
/// Fraction of the interval at which slots become free for each entry, after which it may
/// ask again. Below 1, so that a free slot does not wait for an entry.
const PAUSE_RATIO: f64 = 0.5;
/// Maximum time for which an entry is asked to send nothing.
const MAX_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of refusals that are counted.
const MAX_REFUSALS: usize = 1_024;

/// Recent refusals for lack of a slot.
#[derive(Debug, Default)]
pub(crate) struct Crowding {
    refused: VecDeque<Duration>,
}

impl Crowding {
    /// Records a refusal.
    pub(crate) fn record_refusal(&mut self, now: Duration) {
        if self.refused.len() >= MAX_REFUSALS {
            self.refused.pop_front();
        }
        self.refused.push_back(now);
    }

    /// Returns whether a gate refused as many requests within a service time as half of its
    /// slots, so that a request which it sends elsewhere would hardly find a slot there.
    pub(crate) fn is_overloaded(&self, now: Duration, service_time: Duration, slots: u32) -> bool {
        let slots = usize::try_from(slots.max(1)).unwrap_or(usize::MAX);
        let refused = self.recent(now, service_time);
        refused.saturating_mul(OVERLOAD_SLOTS_PER_REFUSAL) >= slots
    }

    fn recent(&self, now: Duration, service_time: Duration) -> usize {
        let recent = self.refused.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < service_time);
        recent.count()
    }

    /// Returns the time for which one of `entries` entries should send nothing: about as
    /// long as the slots that become free meanwhile suffice for the others. Zero unless
    /// the gate is crowded.
    pub(crate) fn pause(
        &self,
        now: Duration,
        (service_time, slots): (Duration, u32),
        entries: usize,
    ) -> Duration {
        let slot_count = usize::try_from(slots.max(1)).unwrap_or(usize::MAX);
        if self.recent(now, service_time) < slot_count.saturating_mul(CROWDED_REFUSALS_PER_SLOT) {
            return Duration::ZERO;
        }
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let interval = service_time / slots.max(1);
        interval
            .saturating_mul(entries)
            .mul_f64(PAUSE_RATIO)
            .min(MAX_PAUSE)
    }
}
