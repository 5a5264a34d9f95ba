//! Limits the requests of an entry that gates refuse for lack of room.
//!
//! A refusal by a gate costs two daemons processor time, and the caller a round trip or
//! the wait in a queue. Under many times the capacity these refusals take the daemons'
//! processors from the requests that were admitted. An entry has a credit for each
//! service: a refusal takes from it, a response adds to it. The lower the credit, the
//! higher a request must rank to be sent; the others are rejected at once.

use crate::shares::CustomerShares;
use std::time::Duration;

/// Maximum credit, and maximum debt, in refusals.
const MAX_CREDIT: f64 = 16.0;
/// Refusals that a response allows. Above 1, because gates know better than entries
/// whether there is room when upstreams are slow for a moment.
const REFUSALS_PER_RESPONSE: f64 = 2.0;
/// Refusals per second that are allowed without any response, to find out whether there
/// is room again.
const PROBES_PER_SECOND: f64 = 4.0;
/// Credit that separates two ranks.
const RANK_STEP: f64 = 0.2;
/// Maximum difference of two weights that counts, in halvings.
const MAX_HALVINGS: u32 = 10;
/// Ranks between a weight and half of it: above the customer's share or not, new or not.
const RANKS_PER_HALVING: u32 = 4;
/// Ranks by which a request of a customer above its share is lower.
const RANKS_ABOVE_SHARE: u32 = 2;
/// Credit above which a request is sent whose response would be late: more than any other
/// request needs, so that it only takes room that is left.
const MIN_CREDIT_FOR_LATE: f64 = (MAX_HALVINGS + 1) as f64 * RANKS_PER_HALVING as f64 * RANK_STEP;
/// Time for which the greatest weight is remembered.
const HEAVIEST_TIME: Duration = Duration::from_secs(2);
/// Time that rejected callers are told to wait at most.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Weight of a new interval between responses in the moving average.
const INTERVAL_SMOOTHING: f64 = 0.1;

/// What an entry knows of a request before it sends it.
#[derive(Clone, Copy, Debug)]
pub struct AskRequest<'a> {
    /// Customer of the request.
    pub customer: &'a str,
    /// Weight of the request; requests of lower weight are rejected first.
    pub weight: u32,
    /// Whether a request that holds a slot made it and waits for it.
    pub is_call: bool,
    /// Whether the response could be in time at the best upstream.
    pub in_time: bool,
    /// Whether its caller has waited since an earlier request.
    pub has_waited: bool,
}

/// Credit of an entry at the gates of one service.
#[derive(Debug)]
pub struct AskBudget {
    credit: f64,
    updated_at: Duration,
    /// Greatest weight seen recently, and when.
    heaviest: (u32, Duration),
    /// Responses by customer.
    shares: CustomerShares,
    /// Average interval between responses, in seconds, and the time of the last.
    response_interval: Option<f64>,
    last_response: Option<Duration>,
    /// When the last of the rejected callers is to come back.
    promised_until: Duration,
}

impl Default for AskBudget {
    fn default() -> Self {
        Self {
            credit: MAX_CREDIT,
            updated_at: Duration::ZERO,
            heaviest: (0, Duration::ZERO),
            shares: CustomerShares::default(),
            response_interval: None,
            last_response: None,
            promised_until: Duration::ZERO,
        }
    }
}

impl AskBudget {
    /// Checks whether a request may be sent to a gate. Calls always may.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should come back.
    pub fn check(&mut self, now: Duration, request: &AskRequest<'_>) -> Result<(), Duration> {
        self.advance(now);
        if request.weight >= self.heaviest.0 || now.saturating_sub(self.heaviest.1) > HEAVIEST_TIME
        {
            self.heaviest = (request.weight, now);
        }
        match request.is_call || self.credit > self.credit_needed(now, request) {
            true => Ok(()),
            false => Err(self.promise_retry(now)),
        }
    }

    /// Records that a gate refused a request for lack of room.
    pub fn record_refused(&mut self, now: Duration) {
        self.advance(now);
        self.credit = (self.credit - 1.0).max(-MAX_CREDIT);
    }

    /// Records a response to a request of a customer, which `refusals` gates had refused
    /// before. The credit that these took is given back.
    pub fn record_response(&mut self, now: Duration, customer: &str, refusals: u32) {
        self.advance(now);
        self.credit = (self.credit + f64::from(refusals) + REFUSALS_PER_RESPONSE).min(MAX_CREDIT);
        self.shares.record_served(now, customer, 1);
        if let Some(last) = self.last_response.replace(now) {
            let interval = now.saturating_sub(last).as_secs_f64();
            let smooth = |old: f64| old + INTERVAL_SMOOTHING * (interval - old);
            self.response_interval = Some(self.response_interval.map_or(interval, smooth));
        }
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.credit = (self.credit + elapsed * PROBES_PER_SECOND).min(MAX_CREDIT);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the credit above which a request is sent: less for heavier ones, for
    /// customers that got less than their share, and for callers that have waited.
    fn credit_needed(&self, now: Duration, request: &AskRequest<'_>) -> f64 {
        if !request.in_time {
            return MIN_CREDIT_FOR_LATE;
        }
        if self.shares.is_below_floor(now, request.customer, 1) {
            return -RANK_STEP;
        }
        let halvings = self.heaviest.0.max(1).ilog2() - request.weight.max(1).ilog2();
        let above_share = self.shares.relative(now, request.customer, 1) > 1.0;
        let rank = halvings.min(MAX_HALVINGS) * RANKS_PER_HALVING
            + u32::from(above_share) * RANKS_ABOVE_SHARE
            + u32::from(!request.has_waited);
        f64::from(rank) * RANK_STEP
    }

    /// Returns when one of the slots that become free can be the caller's, behind the
    /// callers that were told before.
    fn promise_retry(&mut self, now: Duration) -> Duration {
        let interval = self.response_interval.unwrap_or(PROBES_PER_SECOND.recip());
        let step = Duration::try_from_secs_f64(interval).unwrap_or(MAX_RETRY_AFTER);
        let at = self.promised_until.max(now).saturating_add(step);
        self.promised_until = at.min(now + MAX_RETRY_AFTER);
        self.promised_until.saturating_sub(now)
    }
}
