//! Limits the hedges of one service and counts their outcomes.
//!
//! Each entry keeps to the ratio for the requests that it sent itself, so that the sum over
//! all entries keeps to it too.

use pick::{RatioBudget, RatioLimits};
use std::time::Duration;

/// Hedges that an entry may save up for a service. Small, because the savings of all
/// entries add up over the fleet.
const MAX_SAVED_HEDGES: f64 = 2.0;
/// Fraction of the recent attempts refused for lack of a slot from which on the service
/// counts as overloaded.
const OVERLOAD_RATIO: f64 = 0.1;
/// Half-life of attempts and refusals in that fraction.
const ATTEMPT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Counts of hedges since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HedgeCount {
    /// Hedges that were sent.
    pub sent: u64,
    /// Hedges whose response came first.
    pub won: u64,
    /// Hedges that were cancelled, because another attempt responded first or the request
    /// ended otherwise.
    pub cancelled: u64,
    /// Requests that were not hedged because of the limit or an overload.
    pub denied: u64,
}

/// Limit of the hedges of one service.
#[derive(Debug)]
pub(super) struct HedgeLimit {
    ratio: f64,
    budget: RatioBudget,
    attempts: RecentCount,
    refusals: RecentCount,
    pub(super) count: HedgeCount,
}

impl HedgeLimit {
    /// Creates a limit of `ratio` hedges per request, 0 to 1. `max_saved` lowers the number
    /// of hedges that may be saved up.
    pub(super) fn new(ratio: f64, max_saved: Option<f64>) -> Self {
        let max_saved = max_saved.unwrap_or(MAX_SAVED_HEDGES).min(MAX_SAVED_HEDGES);
        Self {
            ratio,
            budget: RatioBudget::new(RatioLimits::shared(ratio, max_saved)),
            attempts: RecentCount::default(),
            refusals: RecentCount::default(),
            count: HedgeCount::default(),
        }
    }

    /// Returns whether the service may have hedges at all.
    pub(super) fn is_enabled(&self) -> bool {
        self.ratio > 0.0
    }

    /// Counts a request that is sent for the first time and earns a fraction of a hedge.
    /// Requests that are refused before they are sent earn nothing.
    pub(super) fn record_request(&mut self) {
        self.budget.record_request();
    }

    /// Counts an attempt at a gate of the service.
    pub(super) fn record_attempt(&mut self, now: Duration) {
        self.attempts.add(now);
    }

    /// Counts a refusal for lack of a slot.
    pub(super) fn record_no_slot(&mut self, now: Duration) {
        self.refusals.add(now);
    }

    /// Returns whether gates of the service recently refused so many attempts for lack of a
    /// slot that hedges would take slots from requests.
    pub(super) fn is_overloaded(&self, now: Duration) -> bool {
        let refusals = self.refusals.value(now);
        refusals > 0.0 && refusals >= OVERLOAD_RATIO * self.attempts.value(now)
    }

    /// Charges a hedge; returns whether the limit allows it.
    pub(super) fn spend(&mut self, now: Duration) -> bool {
        self.budget.spend(now)
    }
}

/// Count of events in which each has half its weight after a half-life.
#[derive(Clone, Copy, Debug, Default)]
struct RecentCount {
    value: f64,
    at: Duration,
}

impl RecentCount {
    fn add(&mut self, now: Duration) {
        self.value = self.value(now) + 1.0;
        self.at = self.at.max(now);
    }

    fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / ATTEMPT_HALF_LIFE.as_secs_f64()).exp2()
    }
}
