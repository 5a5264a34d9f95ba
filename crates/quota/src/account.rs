//! One customer at its home: the token bucket and the state of each entry.

use crate::bucket::{Bucket, per_second};
use crate::meter::Meter;
use conf::Plan;
use std::collections::HashMap;
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, DaemonId};

/// Lower bound of the block requests per second that a customer's entries may send
/// in total. The number is proportional to the customer's rate, between the two
/// bounds. Beyond that number, entries request longer blocks less often, those with
/// the least demand first.
const MIN_BLOCK_REQUESTS_PER_S: u64 = 60;
/// Upper bound of the block requests per second.
const MAX_BLOCK_REQUESTS_PER_S: u64 = 200;
/// One request in thousandths, the unit of the demand in messages.
const ONE_REQUEST_MILLI: u64 = 1_000;
/// Longest interval between an entry's block requests, in milliseconds.
const MAX_INTERVAL_MS: u64 = 5_000;
/// Maximum number of block requests that an entry may send within the lifetime of
/// a block.
const MAX_BLOCK_REQUESTS_PER_BLOCK: u32 = 8;
/// Divisor of the rate that gives the total rate of requests admitted without a
/// block while demand exceeds the limit.
const UNRESERVED_RATE_DIVISOR: u32 = 10;
/// Time constant of the average of the requests that callers try to start.
const OFFERED_WINDOW: Duration = Duration::from_secs(5);
/// Divisor of the request interval that gives the time by which a block outlasts
/// it.
const BLOCK_MARGIN_DIVISOR: u32 = 8;
/// Level of the bucket, as a fraction of its capacity, from which requests are
/// granted in full.
const FULL_GRANT_LEVEL: f64 = 0.25;

/// State of an entry: its last request and what it was granted.
#[derive(Clone, Copy, Debug, Default)]
struct EntryState {
    /// Number of its last request.
    last_id: u64,
    /// When the entry is removed unless it sends another request; later than the
    /// end of its block.
    expires: Duration,
    /// Requests of its last block, which it may still return.
    granted: u32,
    /// Requests of the block before that.
    granted_previously: u32,
    /// Fraction of a request that rounding left over, for the next grant.
    remainder: f64,
    /// Requests that callers try to start there, per 1,000 seconds.
    demand: u64,
    /// Requests in flight that it needs to admit.
    in_flight_need: u32,
    /// Its share of the in-flight limit.
    in_flight_limit: u32,
}

/// The account of a customer.
#[derive(Debug)]
pub(crate) struct Account {
    plan: Plan,
    block_lifetime: Duration,
    bucket: Bucket,
    entries: HashMap<DaemonId, EntryState>,
    /// Requests that callers try to start, at all entries.
    offered: Meter,
    total_demand: u64,
    total_need: u32,
    total_limit: u32,
    last_sweep: Duration,
    last_used: Duration,
}

impl Account {
    /// Creates an account whose bucket has been filling since `since`, at least to
    /// the level at which requests are granted in full: a customer that is new at
    /// this home may well be within its limit.
    pub(crate) fn new(
        now: Duration,
        plan: Plan,
        block_lifetime: Duration,
        since: Duration,
    ) -> Self {
        let capacity = capacity(&plan, block_lifetime, 0);
        let filled = f64::from(capacity) * FULL_GRANT_LEVEL / f64::from(plan.rate.max(1));
        let since = since.min(now.saturating_sub(Duration::from_secs_f64(filled)));
        Self {
            plan,
            block_lifetime,
            bucket: Bucket::new(now, per_second(plan.rate), capacity, since),
            entries: HashMap::new(),
            offered: Meter::new(now, OFFERED_WINDOW, 0.0),
            total_demand: 0,
            total_need: 0,
            total_limit: 0,
            last_sweep: now,
            last_used: now,
        }
    }

    /// Returns the time of the last request.
    pub(crate) fn last_used(&self) -> Duration {
        self.last_used
    }

    /// Returns the number of entries.
    pub(crate) fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Handles an entry's request under the current plan.
    pub(crate) fn handle_request(
        &mut self,
        now: Duration,
        req: &AllowanceRequest,
        plan: &Plan,
    ) -> Allowance {
        self.last_used = now;
        if self.plan != *plan {
            self.plan = *plan;
            self.set_capacity(now);
        }
        self.sweep(now);
        let mut entry = self.remove_entry(&req.daemon);
        self.apply_usage(now, req, &entry);
        // An entry with rare requests would leave a share of the in-flight limit
        // unused most of the time.
        let is_rare = u64::from(req.demand) <= ONE_REQUEST_MILLI;
        let interval = self.interval(req.demand.into());
        let expires = match req.wanted {
            0 => self.block_lifetime,
            _ => self
                .block_lifetime
                .max(interval + interval / BLOCK_MARGIN_DIVISOR),
        };
        entry = EntryState {
            last_id: req.id,
            expires: now + expires + expires,
            granted_previously: entry.granted,
            demand: req.demand.into(),
            in_flight_need: if is_rare {
                req.in_flight
            } else {
                req.in_flight.max(1)
            },
            ..entry
        };
        entry.in_flight_limit = self.in_flight_limit(&entry);
        let limit = if is_rare {
            self.rare_limit(&entry)
        } else {
            entry.in_flight_limit
        };
        // An entry that may not run requests gets no tokens, so that other entries
        // can use them.
        let usable = if limit > 0 { req.wanted } else { 0 };
        (entry.granted, entry.remainder) = self.grant(now, usable, entry.remainder);
        let granted = entry.granted;
        self.insert_entry(&req.daemon, entry);
        let limited = granted < req.wanted
            || entry.in_flight_limit < entry.in_flight_need
            || self.bucket.level(now) == 0;
        // Shorter than the block, so that the entry reports again before its
        // requests in flight are no longer counted.
        let longest = expires - expires / BLOCK_MARGIN_DIVISOR;
        let wait = match limited {
            true => interval.max(self.bucket.wait(now)).min(longest),
            false => Duration::ZERO,
        };
        Allowance {
            id: req.id,
            customer: req.customer.clone(),
            granted,
            expires_ms: millis(expires),
            in_flight_limit: limit,
            unreserved_after_ms: if limited {
                millis(self.unreserved_after(now))
            } else {
                0
            },
            retry_after_ms: millis(wait),
            entries: u32::try_from(self.entries.len()).unwrap_or(u32::MAX),
            ..Allowance::default()
        }
    }

    /// Takes the requests admitted without a block out of the bucket and puts back
    /// the unused requests of earlier blocks. The usage in a delayed or duplicate
    /// message is ignored.
    fn apply_usage(&mut self, now: Duration, req: &AllowanceRequest, entry: &EntryState) {
        if req.id > entry.last_id {
            let granted = entry.granted.saturating_add(entry.granted_previously);
            self.bucket.refund(now, req.returned.min(granted));
            self.bucket.debit(now, req.unreserved);
            self.offered.add(now, req.arrivals);
        }
    }

    /// Grants the full number above [`FULL_GRANT_LEVEL`] and proportionally less
    /// below it, so that entries share the rate in proportion to their demand.
    fn grant(&mut self, now: Duration, wanted: u32, remainder: f64) -> (u32, f64) {
        let fraction = (self.bucket.fullness(now) / FULL_GRANT_LEVEL).min(1.0);
        let due = f64::from(wanted) * fraction + remainder;
        let rounded = due.floor().min(f64::from(wanted));
        let granted = (rounded as u32).min(self.bucket.level(now));
        self.bucket.take(now, granted);
        (granted, (due - rounded).clamp(0.0, 1.0))
    }

    /// Returns an entry's share of the in-flight limit, in proportion to its need.
    ///
    /// The shares never exceed the limit in total, except for requests that entries
    /// admit without a share. Half of the limit that no entry needs is kept for
    /// entries that join.
    fn in_flight_limit(&self, entry: &EntryState) -> u32 {
        let limit = self.plan.in_flight;
        let needs = self.total_need.saturating_add(entry.in_flight_need);
        let share = match limit.checked_sub(needs) {
            Some(rest) => entry.in_flight_need + scaled(rest / 2, entry.in_flight_need, needs),
            None => scaled(limit, entry.in_flight_need, needs).max(1),
        };
        let spare = limit.saturating_sub(self.total_limit);
        share.min(spare)
    }

    fn set_capacity(&mut self, now: Duration) {
        let capacity = capacity(&self.plan, self.block_lifetime, self.entries.len());
        self.bucket
            .set_limits(now, per_second(self.plan.rate), capacity);
    }

    /// Returns the in-flight limit of an entry with rare requests: the requests in
    /// flight there plus an equal share of half of the limit that no entry needs.
    /// The share is at least one request, unless all of the limit is needed.
    fn rare_limit(&self, entry: &EntryState) -> u32 {
        let used = self.total_need.saturating_add(entry.in_flight_need);
        let rest = self.plan.in_flight.saturating_sub(used);
        if rest == 0 {
            return entry.in_flight_limit;
        }
        let entries = u32::try_from(self.entries.len() + 1).unwrap_or(u32::MAX);
        entry.in_flight_need + (rest / 2 / entries).max(1)
    }

    /// Returns the time after which an entry may again admit a request without a
    /// block: when the bucket has a token, or, if demand exceeds the rate, late
    /// enough that such requests make up at most a tenth of the rate.
    fn unreserved_after(&mut self, now: Duration) -> Duration {
        let wait = self.bucket.wait(now);
        if self.offered.rate(now) <= f64::from(self.plan.rate) {
            return wait;
        }
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let period = Duration::from_secs(1) * UNRESERVED_RATE_DIVISOR * entries;
        wait.max(period / self.plan.rate.max(1))
    }

    /// Returns the interval between block requests of an entry with the given
    /// demand, such that all entries together stay below the maximum rate of block
    /// requests.
    fn interval(&self, demand: u64) -> Duration {
        let rate = u64::from(self.plan.rate) * 1_000;
        let block_requests =
            u64::from(self.plan.rate).clamp(MIN_BLOCK_REQUESTS_PER_S, MAX_BLOCK_REQUESTS_PER_S);
        let per_block_request = rate.max(self.total_demand + demand) / block_requests;
        let per_block_request = per_block_request.max(ONE_REQUEST_MILLI);
        let ms = per_block_request * 1_000 / demand.max(1);
        let min_interval = self.block_lifetime / MAX_BLOCK_REQUESTS_PER_BLOCK;
        min_interval.max(Duration::from_millis(ms.min(MAX_INTERVAL_MS)))
    }

    fn insert_entry(&mut self, daemon: &str, entry: EntryState) {
        self.total_demand = self.total_demand.saturating_add(entry.demand);
        self.total_need = self.total_need.saturating_add(entry.in_flight_need);
        self.total_limit = self.total_limit.saturating_add(entry.in_flight_limit);
        self.entries.insert(daemon.into(), entry);
    }

    fn remove_entry(&mut self, daemon: &str) -> EntryState {
        let entry = self.entries.remove(daemon).unwrap_or_default();
        self.total_demand = self.total_demand.saturating_sub(entry.demand);
        self.total_need = self.total_need.saturating_sub(entry.in_flight_need);
        self.total_limit = self.total_limit.saturating_sub(entry.in_flight_limit);
        entry
    }

    /// Removes entries without a valid block, at most once per block lifetime.
    fn sweep(&mut self, now: Duration) {
        if now < self.last_sweep + self.block_lifetime {
            return;
        }
        self.last_sweep = now;
        self.entries.retain(|_, entry| entry.expires > now);
        self.set_capacity(now);
        self.total_demand = self.entries.values().map(|e| e.demand).sum();
        self.total_need = self.entries.values().map(|e| e.in_flight_need).sum();
        self.total_limit = self.entries.values().map(|e| e.in_flight_limit).sum();
    }
}

/// Returns the capacity of a bucket: the burst, but at least what entries reserve
/// ahead of use. That is the rate over the lifetime of a block, plus one request for
/// each entry up to the same number again.
fn capacity(plan: &Plan, block_lifetime: Duration, entries: usize) -> u32 {
    let ahead = (f64::from(plan.rate) * block_lifetime.as_secs_f64()) as u32;
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let outstanding = ahead.saturating_add(entries.min(ahead));
    plan.burst.max(outstanding).max(1)
}

fn scaled(number: u32, numerator: u32, denominator: u32) -> u32 {
    let scaled = u64::from(number) * u64::from(numerator) / u64::from(denominator.max(1));
    u32::try_from(scaled).unwrap_or(u32::MAX)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
