//! One customer at an entry: the current block, and when to request the next one.

use crate::bucket::{Bucket, MilliRate, per_second};
use crate::leases::LimitExceeded;
use crate::meter::Meter;
use conf::Plan;
use std::time::Duration;
use wire::{Allowance, ConfigVersion};

/// Time constant of the average demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Time constant of the average rate of admitted requests.
const ADMITTED_WINDOW: Duration = Duration::from_secs(10);
/// Time constant of the short-term demand, by which a rise is detected.
const RISE_WINDOW: Duration = Duration::from_millis(250);
/// Minimum number of arrivals within [`RISE_WINDOW`]; fewer are likely to be
/// random variation.
const MIN_RISE_ARRIVALS: f64 = 8.0;
/// Demand in requests per second up to which requests are admitted without
/// blocks, as far as the unreserved requests allow.
const RARE_DEMAND: f64 = 1.0;
/// Time after which a request that is still in flight is reported to the home.
const IN_FLIGHT_REPORT_DELAY: Duration = Duration::from_millis(250);
/// Shortest interval between block requests caused by the in-flight limit.
const MIN_IN_FLIGHT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time ahead of need at which a block is requested.
const MIN_LEAD: Duration = Duration::from_millis(20);
/// Number of round trips ahead of need at which a block is requested.
const LEAD_ROUND_TRIPS: u32 = 4;
/// Time after which a block request without a reply has failed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest interval between requests to a home that does not reply.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Shortest time to retry that is returned to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Divisor of the burst that gives the number of requests that all entries
/// together may admit without a block.
const UNRESERVED_BURST_DIVISOR: u32 = 4;
/// Round trip that is assumed before the first reply.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(10);

/// Contents of a request to the home, see [`wire::AllowanceRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BlockRequest {
    pub(crate) wanted: u32,
    pub(crate) returned: u32,
    pub(crate) unreserved: u32,
    pub(crate) in_flight: u32,
    pub(crate) demand: u32,
    pub(crate) arrivals: u32,
}

/// The state of one customer at an entry.
#[derive(Debug)]
pub(crate) struct Lease {
    plan: Plan,
    version: ConfigVersion,
    tokens: u32,
    block_lifetime: Duration,
    expires: Duration,
    /// Requests that may still be admitted without a block.
    unreserved_left: u32,
    /// When one more of them is allowed.
    unreserved_renewal: Duration,
    /// Requests admitted without a block that were not reported yet.
    unreserved: u32,
    returned: u32,
    in_flight: u32,
    peak: u32,
    /// Requests admitted since the last block request.
    admitted_since_request: u32,
    /// Requests in flight according to the last block request.
    reported_in_flight: u32,
    in_flight_limit: u32,
    entries: u32,
    arrivals: u32,
    fast_demand: Meter,
    slow_demand: Meter,
    admitted: Meter,
    in_flight_limited: bool,
    pending: Option<(u64, Duration)>,
    last_request: Duration,
    pending_request: Option<BlockRequest>,
    next_request: Duration,
    round_trip: Duration,
    fallback: Option<Bucket>,
    failures: u32,
    home_responded: bool,
    last_used: Duration,
    timer: Duration,
}

impl Lease {
    /// Creates a lease without a block. Its number of unreserved requests is such
    /// that `entries` leases together admit only a fraction of the burst, but at
    /// least one request each.
    pub(crate) fn new(
        now: Duration,
        plan: Plan,
        version: ConfigVersion,
        block_lifetime: Duration,
        entries: u32,
    ) -> Self {
        Self {
            plan,
            version,
            tokens: 0,
            block_lifetime,
            expires: now,
            unreserved_left: unreserved_share(&plan, entries),
            unreserved_renewal: Duration::MAX,
            unreserved: 0,
            returned: 0,
            in_flight: 0,
            peak: 0,
            admitted_since_request: 0,
            reported_in_flight: 0,
            in_flight_limit: 0,
            entries,
            arrivals: 0,
            fast_demand: Meter::new(now, RISE_WINDOW, MIN_RISE_ARRIVALS),
            slow_demand: Meter::new(now, DEMAND_WINDOW, 0.0),
            admitted: Meter::new(now, ADMITTED_WINDOW, 0.0),
            in_flight_limited: false,
            pending: None,
            last_request: Duration::ZERO,
            pending_request: None,
            next_request: now,
            round_trip: INITIAL_ROUND_TRIP,
            fallback: None,
            failures: 0,
            home_responded: false,
            last_used: now,
            timer: Duration::MAX,
        }
    }

    /// Returns the configuration version of its plan.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Sets the plan of another version. If the rate decreases, the block shrinks in
    /// proportion.
    pub(crate) fn set_plan(&mut self, now: Duration, plan: Plan, version: ConfigVersion) {
        self.version = version;
        if plan == self.plan {
            return;
        }
        if plan.rate < self.plan.rate {
            let kept = u64::from(self.tokens) * u64::from(plan.rate) / u64::from(self.plan.rate);
            let kept = u32::try_from(kept).unwrap_or(self.tokens);
            self.returned += self.tokens - kept;
            self.tokens = kept;
        }
        self.in_flight_limit = self.in_flight_limit.min(plan.in_flight);
        self.plan = plan;
        self.next_request = now;
        if let Some(bucket) = &mut self.fallback {
            let (rate, burst) = fallback_limits(&plan, self.entries, None);
            bucket.set_limits(now, rate, burst);
        }
    }

    /// Admits one request.
    ///
    /// # Errors
    ///
    /// Returns the limit that is exceeded.
    pub(crate) fn admit(&mut self, now: Duration) -> Result<(), LimitExceeded> {
        self.last_used = now;
        self.count_arrival(now);
        self.expire(now);
        if self.is_overdue(now) {
            self.request_failed(now);
        }
        if self.in_flight >= self.in_flight_limit(now) {
            self.peak = self.peak.max(self.in_flight + 1);
            self.in_flight_limited = true;
            return Err(LimitExceeded::InFlight(self.retry_after(now)));
        }
        if !self.take_token(now) {
            return Err(LimitExceeded::Rate(self.retry_after(now)));
        }
        self.admitted.count(now);
        self.admitted_since_request += 1;
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
        Ok(())
    }

    /// Records that an admitted request has ended.
    pub(crate) fn finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the request to send to the home now, if one is due.
    pub(crate) fn block_request(&mut self, now: Duration, id: u64) -> Option<BlockRequest> {
        self.expire(now);
        let wanted = self.wanted(now);
        if self.pending.is_some() || now < self.next_request || !self.is_due(now, wanted) {
            return None;
        }
        // Where requests are rare, those that have just started are not counted:
        // most of them end before the reply arrives.
        let in_flight = match self.demand(now) <= RARE_DEMAND {
            true => self.in_flight.saturating_sub(self.admitted_since_request),
            false => self.peak,
        };
        let request = BlockRequest {
            wanted,
            returned: self.returned,
            unreserved: self.unreserved,
            in_flight,
            demand: (self.demand(now) * 1_000.0).ceil() as u32,
            arrivals: self.arrivals,
        };
        self.arrivals = 0;
        self.returned = 0;
        self.unreserved = 0;
        self.peak = self.in_flight;
        self.admitted_since_request = 0;
        self.reported_in_flight = in_flight;
        self.in_flight_limited = false;
        self.last_request = now;
        self.pending = Some((id, now));
        self.pending_request = Some(request);
        Some(request)
    }

    /// Handles the home's reply, if it belongs to the pending request.
    pub(crate) fn handle_allowance(&mut self, now: Duration, allowance: &Allowance) {
        let Some((_, sent)) = self.pending.filter(|(id, _)| *id == allowance.id) else {
            return;
        };
        self.pending = None;
        self.pending_request = None;
        self.fallback = None;
        self.failures = 0;
        self.home_responded = true;
        let limited = allowance.retry_after_ms > 0;
        self.unreserved_left = match limited {
            true => 0,
            false => unreserved_share(&self.plan, allowance.entries),
        };
        self.unreserved_renewal = now + Duration::from_millis(allowance.unreserved_after_ms.into());
        self.round_trip = (self.round_trip + now.saturating_sub(sent)) / 2;
        self.expire(now);
        self.tokens = self.tokens.saturating_add(allowance.granted);
        self.block_lifetime = Duration::from_millis(allowance.expires_ms.into()).max(MIN_LEAD);
        // Counted from the time of the request, so that the block never ends here
        // later than at the home.
        self.expires = sent + self.block_lifetime;
        self.in_flight_limit = allowance.in_flight_limit;
        self.entries = allowance.entries.max(1);
        self.next_request = now + Duration::from_millis(allowance.retry_after_ms.into());
    }

    /// Gives up the pending request and applies a local share of the limit until
    /// the home replies. Retries with exponential backoff.
    pub(crate) fn request_failed(&mut self, now: Duration) {
        self.pending = None;
        if let Some(request) = self.pending_request.take() {
            // The message may have arrived. Returned tokens are not sent again,
            // but unreserved requests are, so that the limit holds in any case.
            self.unreserved = self.unreserved.saturating_add(request.unreserved);
        }
        if self.fallback.is_none() {
            let admitted = self
                .home_responded
                .then(|| self.admitted.rate_since_start(now));
            let (rate, burst) = fallback_limits(&self.plan, self.entries, admitted);
            self.fallback = Some(Bucket::new(now, rate, burst, now));
        }
        let backoff = REPLY_TIMEOUT * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.next_request = now + backoff.min(MAX_BACKOFF);
    }

    /// Returns whether the reply to the pending request is overdue.
    pub(crate) fn is_overdue(&self, now: Duration) -> bool {
        self.pending
            .is_some_and(|(_, sent)| sent + REPLY_TIMEOUT <= now)
    }

    /// Returns whether the lease has not been used for `idle` and can be removed.
    pub(crate) fn is_idle(&self, now: Duration, idle: Duration) -> bool {
        self.in_flight == 0
            && self.unreserved == 0
            && self.pending.is_none()
            && self.last_used + idle <= now
    }

    /// Returns when the lease next needs a timer, at most `idle` after its last use.
    pub(crate) fn next_timer(&self, now: Duration, idle: Duration) -> Duration {
        if let Some((_, sent)) = self.pending {
            return sent + REPLY_TIMEOUT;
        }
        let due = if self.unreserved > 0 || self.returned > 0 {
            self.next_request
        } else if self.in_flight > 0 {
            let ends = self.expires.saturating_sub(self.lead());
            let report = match self.in_flight > self.reported_in_flight {
                true => self.last_request + IN_FLIGHT_REPORT_DELAY,
                false => ends,
            };
            ends.min(report).max(self.next_request)
        } else if self.tokens > 0 {
            self.expires
        } else {
            self.last_used + idle
        };
        due.max(now + MIN_LEAD)
    }

    /// Returns whether an expired timer is the one that was set last.
    pub(crate) fn is_current_timer(&self, due: Duration) -> bool {
        self.timer == due
    }

    /// Sets a timer if none is set or it is earlier; returns whether it was set.
    pub(crate) fn set_timer(&mut self, now: Duration, due: Duration) -> bool {
        let earlier = due < self.timer || self.timer <= now;
        if earlier {
            self.timer = due;
        }
        earlier
    }

    fn take_token(&mut self, now: Duration) -> bool {
        if self.tokens > 0 {
            self.tokens -= 1;
            return true;
        }
        if self.unreserved_left == 0 && now >= self.unreserved_renewal {
            self.unreserved_left = 1;
            self.unreserved_renewal = Duration::MAX;
        }
        if let Some(bucket) = &mut self.fallback {
            // Not reported as unreserved: the local share keeps to the rate.
            return bucket.take(now, 1);
        }
        let admitted = self.unreserved_left > 0;
        if admitted {
            self.unreserved_left -= 1;
            self.unreserved = self.unreserved.saturating_add(1);
        }
        admitted
    }

    fn in_flight_limit(&self, now: Duration) -> u32 {
        if now < self.expires {
            return self.in_flight_limit;
        }
        match self.fallback {
            Some(_) => (self.plan.in_flight / self.entries.max(1)).max(1),
            None => self.plan.in_flight,
        }
    }

    fn expire(&mut self, now: Duration) {
        if now >= self.expires && self.tokens > 0 {
            self.returned = self.returned.saturating_add(self.tokens);
            self.tokens = 0;
        }
    }

    /// Returns whether there is something to request or report: requests admitted
    /// without a block, an unused block, or requests in flight or demand for which
    /// the current block won't last until a reply arrives.
    fn is_due(&self, now: Duration, wanted: u32) -> bool {
        let lead = self.lead();
        let ends = now + lead >= self.expires;
        let nearly_used = f64::from(self.tokens) <= self.demand(now) * lead.as_secs_f64();
        let in_flight_limited =
            self.in_flight_limited && self.last_request + MIN_IN_FLIGHT_INTERVAL <= now;
        let unreported = self.in_flight > self.reported_in_flight
            && self.last_request + IN_FLIGHT_REPORT_DELAY <= now;
        in_flight_limited
            || unreported
            || self.unreserved > 0
            || self.returned > 0
            || (self.in_flight > 0 && ends)
            || (wanted > 0 && (ends || nearly_used))
    }

    /// Returns the number of requests to reserve: the demand until the block after
    /// the next one can arrive. It is 0 for rare requests, since the next one can be
    /// admitted without a block, and a block would expire unused.
    fn wanted(&self, now: Duration) -> u32 {
        let rare = self.slow_demand.rate(now) <= RARE_DEMAND && self.fallback.is_none();
        if self.last_used + self.block_lifetime < now || (rare && self.unreserved_left > 0) {
            return 0;
        }
        let ahead = self.demand(now) * (self.block_lifetime + self.lead()).as_secs_f64();
        (ahead.round() as u32).saturating_sub(self.tokens).max(1)
    }

    fn lead(&self) -> Duration {
        (self.round_trip * LEAD_ROUND_TRIPS).clamp(MIN_LEAD, self.block_lifetime / 2)
    }

    fn retry_after(&mut self, now: Duration) -> Duration {
        let retry_after = match &mut self.fallback {
            Some(bucket) => bucket.wait(now),
            None => self.next_request.saturating_sub(now) + self.round_trip,
        };
        retry_after.max(MIN_RETRY_AFTER)
    }

    fn count_arrival(&mut self, now: Duration) {
        self.arrivals = self.arrivals.saturating_add(1);
        self.fast_demand.count(now);
        self.slow_demand.count(now);
    }

    /// Returns the requests per second that callers try to start.
    fn demand(&self, now: Duration) -> f64 {
        self.slow_demand.rate(now).max(self.fast_demand.rate(now))
    }
}

/// Returns the number of requests that each of `entries` entries may admit without
/// a block.
fn unreserved_share(plan: &Plan, entries: u32) -> u32 {
    (plan.burst / UNRESERVED_BURST_DIVISOR / entries.max(1)).max(1)
}

/// Returns the rate and burst of an entry whose home can't be reached.
///
/// A quarter of the plan's rate is shared equally, and the rest in proportion to
/// the rate that each entry recently admitted, so that all entries together keep to
/// the plan. All of it is shared equally if the home has never replied or the plan
/// has changed since.
fn fallback_limits(plan: &Plan, entries: u32, admitted: Option<f64>) -> (MilliRate, u32) {
    let entries = entries.max(1);
    let rate = per_second(plan.rate);
    let equal = rate / u64::from(entries);
    let burst = (plan.burst / entries).max(1);
    match admitted {
        Some(admitted) => {
            let recent = ((admitted * 1_000.0) as u64).min(rate);
            (equal / 4 + recent / 4 * 3, burst)
        }
        None => (equal, burst),
    }
}
