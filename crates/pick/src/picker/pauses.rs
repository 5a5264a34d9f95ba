//! Upstreams that get no request for a time, because their gate has no slot or because of
//! the rate that they state.

use super::{PickRequest, Picker};
use crate::policy::ScoredCandidate;
use crate::stats::Pause;
use std::time::Duration;
use wire::UpstreamId;

/// Time after a request with the greatest preference for which it counts.
const PREFERENCE_TIME: Duration = Duration::from_secs(2);
/// Fraction of the interval between requests to an upstream that states a rate in which
/// only preferred requests are sent.
const RESERVED_RATIO: f64 = 0.25;
/// Maximum time after which a rejected caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// How a request ranks among the recent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rank {
    /// None had a greater preference.
    Preferred,
    /// Another one had.
    Other,
}

impl Picker {
    /// Sends an upstream nothing for a time, because of the rate that it states. The
    /// pause is also the interval at which this entry may send to it.
    pub fn record_pause(&mut self, now: Duration, upstream: &str, interval: Duration) {
        if let Some(stats) = self.all_stats.get_mut(upstream) {
            stats.pause = Pause {
                until: now + interval,
                interval,
            };
        }
    }

    /// Sends an upstream no request of a preference or a lower one for a time, because its
    /// gate has no slot for it.
    pub fn record_full(&mut self, now: Duration, upstream: &str, pause: Duration, preference: u32) {
        if let Some(stats) = self.all_stats.get_mut(upstream) {
            stats.full = (now + pause, preference);
        }
    }

    /// Returns the time until the first of the upstreams that were not tried may have a
    /// slot again, if none has one for a request of this preference.
    #[must_use]
    pub fn full_for(
        &self,
        now: Duration,
        tried: &[UpstreamId],
        preference: u32,
    ) -> Option<Duration> {
        let untried = self.candidates.iter();
        let untried = untried.filter(|c| !tried.contains(&c.upstream));
        let full = untried.map(|c| self.all_stats.get(&c.upstream).map(|stats| stats.full));
        let mut earliest = None;
        for full in full {
            let (until, full_for) = full.unwrap_or_default();
            if now >= until || preference > full_for {
                return None;
            }
            earliest = Some(earliest.map_or(until, |at: Duration| at.min(until)));
        }
        earliest.map(|at| at.saturating_sub(now))
    }

    /// Returns the time after which a caller should come back whose request no upstream
    /// can get now because of the rates that they state, and counts it among those that
    /// will. Returns `None` if there is an upstream without a pause that was not tried.
    pub fn promise_retry(&mut self, now: Duration, tried: &[UpstreamId]) -> Option<Duration> {
        let untried = self.candidates.iter();
        let untried = untried.filter(|c| !tried.contains(&c.upstream));
        let pauses: Vec<Pause> = untried
            .map(|c| self.all_stats.get(&c.upstream).map(|stats| stats.pause))
            .map(|pause| pause.unwrap_or_default())
            .collect();
        let first = pauses.iter().map(|pause| pause.until).min()?;
        if pauses.iter().any(|p| now >= p.until + p.interval) {
            return None;
        }
        let rate: f64 = pauses
            .iter()
            .map(|p| p.interval.as_secs_f64().recip())
            .sum();
        let step = Duration::try_from_secs_f64(rate.recip()).unwrap_or(MAX_RETRY_AFTER);
        let at = self.promised_until.max(first).saturating_add(step);
        self.promised_until = at.min(now + MAX_RETRY_AFTER);
        Some(self.promised_until.saturating_sub(now))
    }

    pub(super) fn record_preference(&mut self, now: Duration, preference: u32) {
        if self.rank(now, preference) == Rank::Preferred {
            self.preferred = Some((preference, now));
        }
    }

    pub(super) fn rank(&self, now: Duration, preference: u32) -> Rank {
        let recent = |(_, at): &&(u32, Duration)| now.saturating_sub(*at) < PREFERENCE_TIME;
        match self.preferred.as_ref().filter(recent) {
            Some((greatest, _)) if preference < *greatest => Rank::Other,
            _ => Rank::Preferred,
        }
    }

    /// Returns whether an upstream gets no request now, because its gate has no slot for
    /// one of this preference or because of the rate that it states. What the rate allows
    /// is first kept for preferred requests.
    pub(super) fn is_paused(
        &self,
        now: Duration,
        index: usize,
        preference: u32,
        rank: Rank,
    ) -> bool {
        let candidate = self.candidates.get(index);
        let stats = candidate.and_then(|c| self.all_stats.get(&c.upstream));
        let Some(stats) = stats else {
            return false;
        };
        let (full_until, full_for) = stats.full;
        if now < full_until && preference <= full_for {
            return true;
        }
        let pause = stats.pause;
        let reserved = match rank {
            Rank::Preferred => Duration::ZERO,
            Rank::Other => pause.interval.mul_f64(RESERVED_RATIO),
        };
        now < pause.until + reserved
    }

    /// Leaves only the upstreams of which this entry's share of a stated rate is unused, if
    /// there are any that are expected to respond in time and no farther away than others.
    /// The entry hears of such an upstream only as often as it sends there, so that its
    /// estimate is older and hence higher than those of the others, and comparing the two
    /// would leave the share unused.
    pub(super) fn prefer_due(
        &self,
        candidates: &mut Vec<ScoredCandidate>,
        request: PickRequest<'_>,
    ) {
        let any_local = candidates.iter().any(|c| c.local && !c.avoid);
        let is_due = |c: &ScoredCandidate| {
            let in_time = request
                .objective
                .is_none_or(|objective| c.finish <= objective.as_secs_f64());
            let usable = !c.avoid && c.ramp_share >= 1.0 && (c.local || !any_local);
            usable && in_time && self.states_rate(c.index)
        };
        if candidates.iter().any(is_due) {
            candidates.retain(is_due);
        }
    }

    /// Returns whether an upstream states a rate that limits this entry.
    fn states_rate(&self, index: usize) -> bool {
        let candidate = self.candidates.get(index);
        let stats = candidate.and_then(|c| self.all_stats.get(&c.upstream));
        stats.is_some_and(|stats| !stats.pause.interval.is_zero())
    }
}
