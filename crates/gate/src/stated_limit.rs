//! Keeps to the rate that the upstream states in its responses.
//!
//! A token bucket admits requests at the stated rate. It is empty when the rate is
//! stated or learnt, because what the upstream got just before is not known to fit.

use crate::statement::Statement;
use std::collections::VecDeque;
use std::time::Duration;

/// Time over which the bucket saves tokens for requests that arrive together.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Tokens that the bucket holds at any rate: one request.
const MIN_BURST: f64 = 1.0;
/// Tokens of the bucket that are kept for requests that are preferred, and the largest
/// part of those above one that they may be.
const RESERVED_TOKENS: f64 = 1.0;
const MAX_RESERVED_RATIO: f64 = 0.5;
/// Time after a preferred request for which tokens are kept for others like it.
const PREFERENCE_TIME: Duration = Duration::from_secs(2);
/// Maximum time for which an entry sends nothing. Entries learn that a rate is no longer
/// stated from what they send.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Maximum time after which a rejected caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Interval of the requests by which a gate finds out whether a rate near zero is still
/// stated, where health responses do not say so.
const TRIAL_INTERVAL: Duration = Duration::from_secs(4);
/// Fraction of the stated rate that health requests may use.
const PROBE_RATIO: f64 = 0.1;
/// Bounds of the interval of health requests while a rate is stated.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Rate from which on health requests are taken from the bucket, in requests a second.
/// Below it they would use up all tokens.
const MIN_PROBE_CHARGED_RATE: f64 = 1.0;
/// Span over which arrivals at the upstream are counted for the log.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(4);
/// Maximum number of arrivals that are counted.
const MAX_ARRIVALS: usize = 4_096;
/// Thousandths in a unit.
const MILLI_PER_UNIT: f64 = 1_000.0;

/// Where a statement came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The response to a caller's request.
    Response,
    /// The response to a health request.
    Health,
}

/// What is known of the upstream's statements, for display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedLimit {
    /// Rate in force, in thousandths of a request a second.
    pub rate_milli: Option<u64>,
    /// Time since a response last stated it.
    pub age: Duration,
    /// Requests that were sent to the upstream in the last four seconds.
    pub recent_arrivals: usize,
}

/// The rate that this start of the upstream states.
///
/// Responses overtake each other, so a response decides only if its request was sent
/// after the response that decided last had arrived. Otherwise it may have been under
/// way before that one, and only a lower rate is taken from it.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    rate_milli: Option<u64>,
    /// When the response that decided last arrived.
    decided_at: Option<Duration>,
    /// Whether any response of this start was received.
    heard: bool,
    /// Whether health responses of this start state the rate too.
    health_states: bool,
    tokens: f64,
    refilled_at: Duration,
    /// Greatest preference seen recently, and when.
    preferred: Option<(u32, Duration)>,
    probed_at: Option<Duration>,
    /// When the last of the callers that were told when to come back is to do so.
    promised_until: Duration,
    arrivals: VecDeque<Duration>,
}

impl RateLimiter {
    /// Forgets the statements of the start before.
    pub(crate) fn reset(&mut self) {
        *self = Self {
            arrivals: std::mem::take(&mut self.arrivals),
            refilled_at: self.refilled_at,
            ..Self::default()
        };
    }

    /// Applies the statement of a response to a request that was sent at `sent_at`.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        source: Source,
        sent_at: Duration,
        statement: Statement,
    ) {
        if source == Source::Health {
            self.health_states |= statement.rate_milli.is_some();
            if !self.health_states {
                return;
            }
        }
        self.heard = true;
        let in_order = self.decided_at.is_none_or(|at| sent_at >= at);
        match (self.rate_milli, statement.rate_milli) {
            (_, Some(rate)) if in_order => self.decide(now, Some(rate)),
            (Some(current), Some(rate)) => self.decide(now, Some(current.min(rate))),
            (Some(_), None) if in_order => self.decide(now, None),
            (_, None) | (None, Some(_)) => {}
        }
    }

    /// Takes over a rate that an entry was told by a predecessor of this gate. What a
    /// response says to this gate goes first.
    pub(crate) fn adopt(&mut self, now: Duration, rate_milli: u64) {
        if !self.heard && self.rate_milli.is_none_or(|known| rate_milli < known) {
            self.decide(now, Some(rate_milli));
        }
    }

    /// Returns the rate in force, in thousandths of a request a second.
    pub(crate) fn rate_milli(&self) -> Option<u64> {
        self.rate_milli
    }

    /// Returns what is known for display.
    pub(crate) fn snapshot(&self, now: Duration) -> StatedLimit {
        let recent = self.arrivals.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < ARRIVAL_WINDOW);
        StatedLimit {
            rate_milli: self.rate_milli,
            age: now.saturating_sub(self.decided_at.unwrap_or(now)),
            recent_arrivals: recent.count(),
        }
    }

    /// Returns whether a request may be sent now. `preference` ranks it: tokens are kept
    /// for the requests with the greatest one.
    pub(crate) fn allows(&mut self, now: Duration, preference: u32) -> bool {
        self.delay(now, preference, 0).is_zero()
    }

    /// Returns whether a request that has waited may be sent now.
    pub(crate) fn has_token(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.rate(now).is_none() || self.tokens >= 1.0
    }

    /// Returns the time until a request may be sent that `waiting` others precede.
    pub(crate) fn delay(&mut self, now: Duration, preference: u32, waiting: u32) -> Duration {
        self.refill(now);
        self.record_preference(now, preference);
        let Some(rate) = self.rate(now) else {
            return Duration::ZERO;
        };
        let reserved = match self.is_preferred(now, preference) {
            true => 0.0,
            false => RESERVED_TOKENS.min((burst(rate) - MIN_BURST) * MAX_RESERVED_RATIO),
        };
        let missing = 1.0 + reserved + f64::from(waiting) - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// Returns the time for which one of `entries` entries should send nothing, so that
    /// all of them together send about as much as the rate allows.
    pub(crate) fn pause(&mut self, now: Duration, entries: usize) -> Duration {
        self.refill(now);
        let Some(rate) = self.rate(now) else {
            return Duration::ZERO;
        };
        if self.tokens >= MIN_BURST {
            return Duration::ZERO;
        }
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let share = Duration::try_from_secs_f64(f64::from(entries) / rate);
        share.map_or(MAX_PAUSE, |share| share.min(MAX_PAUSE))
    }

    /// Returns the time after which a rejected caller should come back, and counts it
    /// among those that will: one for each token.
    pub(crate) fn promise_retry(&mut self, now: Duration) -> Duration {
        let latest = now + MAX_RETRY_AFTER;
        let step = self.rate(now).map_or(Duration::ZERO, |rate| {
            Duration::try_from_secs_f64(rate.recip()).unwrap_or(MAX_RETRY_AFTER)
        });
        let at = self.promised_until.max(now).saturating_add(step);
        self.promised_until = at.min(latest);
        self.promised_until.saturating_sub(now)
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, now: Duration) {
        self.refill(now);
        self.tokens -= 1.0;
        self.record_arrival(now);
    }

    /// Returns whether a health request may be sent now, and records it.
    pub(crate) fn begin_probe(&mut self, now: Duration) -> bool {
        self.refill(now);
        if !self.is_probe_due(now) {
            return false;
        }
        if self
            .stated_rate()
            .is_some_and(|rate| rate >= MIN_PROBE_CHARGED_RATE)
        {
            self.tokens -= 1.0;
        }
        self.probed_at = Some(now);
        self.record_arrival(now);
        true
    }

    /// Returns when the latest health request was sent.
    pub(crate) fn probed_at(&self) -> Option<Duration> {
        self.probed_at
    }

    fn decide(&mut self, now: Duration, rate_milli: Option<u64>) {
        self.refill(now);
        if self.rate_milli.is_none() {
            self.tokens = 0.0;
        }
        self.rate_milli = rate_milli;
        self.decided_at = Some(now);
        self.refill(now);
    }

    /// Returns the stated rate in requests a second.
    #[expect(clippy::cast_precision_loss, reason = "the rate need not be exact")]
    fn stated_rate(&self) -> Option<f64> {
        self.rate_milli.map(|milli| milli as f64 / MILLI_PER_UNIT)
    }

    /// Returns the rate at which requests are admitted. If no health response states the
    /// rate, a trial now and then finds out whether it still holds.
    fn rate(&self, now: Duration) -> Option<f64> {
        let rate = self.stated_rate()?;
        let known_for = now.saturating_sub(self.decided_at.unwrap_or(now));
        match self.health_states || known_for < TRIAL_INTERVAL {
            true => Some(rate),
            false => Some(rate.max(TRIAL_INTERVAL.as_secs_f64().recip())),
        }
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        match self.rate(now) {
            Some(rate) => {
                let tokens = self.tokens + passed.as_secs_f64() * rate;
                self.tokens = tokens.min(burst(rate));
            }
            None => self.tokens = 0.0,
        }
    }

    fn record_preference(&mut self, now: Duration, preference: u32) {
        let current = self.recent_preference(now);
        if current.is_none_or(|current| preference >= current) {
            self.preferred = Some((preference, now));
        }
    }

    fn recent_preference(&self, now: Duration) -> Option<u32> {
        let recent = |(_, at): &(u32, Duration)| now.saturating_sub(*at) < PREFERENCE_TIME;
        self.preferred
            .filter(recent)
            .map(|(preference, _)| preference)
    }

    fn is_preferred(&self, now: Duration, preference: u32) -> bool {
        let greatest = self.recent_preference(now);
        greatest.is_none_or(|greatest| preference >= greatest)
    }

    /// Returns whether a health request is due. While callers use up the rate, their requests
    /// go first: health requests have the longest interval then, as responses to callers
    /// report the load too.
    fn is_probe_due(&self, now: Duration) -> bool {
        let (Some(rate), Some(probed_at)) = (self.rate(now), self.probed_at) else {
            return true;
        };
        let interval = match rate >= MIN_PROBE_CHARGED_RATE && self.tokens < 1.0 {
            true => MAX_PROBE_INTERVAL,
            false => self.probe_interval(),
        };
        now >= probed_at + interval
    }

    fn probe_interval(&self) -> Duration {
        let rate = self.stated_rate().unwrap_or(f64::INFINITY);
        let interval = Duration::try_from_secs_f64((PROBE_RATIO * rate).recip());
        let interval = interval.unwrap_or(MAX_PROBE_INTERVAL);
        interval.clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL)
    }

    fn record_arrival(&mut self, now: Duration) {
        while self.arrivals.len() >= MAX_ARRIVALS
            || self
                .arrivals
                .front()
                .is_some_and(|at| now.saturating_sub(*at) >= ARRIVAL_WINDOW)
        {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(now);
    }
}

/// Returns how many tokens the bucket holds at a rate in requests a second.
fn burst(rate: f64) -> f64 {
    MIN_BURST + rate * BURST_TIME.as_secs_f64()
}
