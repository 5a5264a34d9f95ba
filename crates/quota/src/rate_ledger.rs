//! The home's side of the limits that the routing states.

use crate::bucket::Bucket;
use crate::home_times::NO_PREDECESSOR;
use crate::rate_leases::{BLOCK_LIFETIME, RateLimit};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, CustomerId, DaemonId};

/// Maximum number of accounts.
const MAX_ACCOUNTS: usize = 200_000;
/// Tokens that a bucket holds beyond the burst, so that a bucket with a burst of 1
/// does not overflow between a token's arrival and the next request for it.
const CAPACITY_MARGIN: u32 = 4;
/// Longest time for which tokens are reserved ahead.
const MAX_RESERVED_AHEAD: Duration = Duration::from_secs(1);
/// Longest time for which a token is reserved for an entry whose demand is below a
/// request per lifetime of a block. The request that waits there can be held for it.
const RESERVED_FOR_HELD: Duration = Duration::from_millis(20);
/// Divisor of the level that gives the tokens granted ahead of requests at once. The
/// rest stays for requests that already wait at other entries.
const AHEAD_DIVISOR: u32 = 4;
/// Time within which a bucket makes up for tokens reserved under a higher limit.
const MAX_DEBT_AFTER_LOWERING: Duration = Duration::from_secs(2);
/// Time in which all active entries together are reserved tokens once.
const RESERVATION_ROUND: Duration = Duration::from_millis(250);
/// Number of requests for blocks that the entries refused by an account send together,
/// per second.
const MAX_ASKS_PER_S: u32 = 1_000;
/// Time after its last request for which an entry counts as active.
const ACTIVE_TIME: Duration = Duration::from_secs(2);
/// Time after a block becomes usable in which its tokens may be returned. Together with
/// the lifetime of a block it bounds the tokens from before a window that are used in it
/// by half a second of the rate, a tenth of what a window of 5 s allows.
const RETURN_TIME: Duration = Duration::from_millis(300);
/// Time after which an entry may again request tokens ahead of requests, if it was denied
/// them.
const AHEAD_RETRY_MS: u32 = 20;
/// Interval between two removals of inactive entries of an account.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a request after which an account with a full bucket is removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of accounts checked in one tick.
const SWEPT_PER_TICK: usize = 64;

/// What the home knows of an entry.
#[derive(Debug, Default)]
struct EntryRecord {
    incarnation: u64,
    last_id: u64,
    last_seen: Duration,
    /// Tokens granted lately and not returned, with when they become usable.
    granted: VecDeque<(Duration, u32)>,
}

impl EntryRecord {
    /// Returns whether the request is newer than the last one, and records it.
    fn record(&mut self, now: Duration, req: &AllowanceRequest) -> bool {
        self.last_seen = now;
        if self.incarnation == req.incarnation && req.id <= self.last_id {
            return false;
        }
        if self.incarnation != req.incarnation {
            self.granted.clear();
        }
        self.incarnation = req.incarnation;
        self.last_id = req.id;
        true
    }

    /// Returns how many of the tokens that the entry returns it holds by this record,
    /// and removes them.
    fn take_returned(&mut self, now: Duration, returned: u32) -> u32 {
        self.granted.retain(|(at, _)| *at + RETURN_TIME > now);
        let mut left = returned;
        for (_, tokens) in &mut self.granted {
            let taken = left.min(*tokens);
            *tokens -= taken;
            left -= taken;
        }
        returned - left
    }
}

/// The bucket of a customer.
#[derive(Debug)]
struct RateAccount {
    limit: RateLimit,
    bucket: Bucket,
    /// Time from which this daemon may grant the tokens that arrive.
    since: Duration,
    entries: HashMap<DaemonId, EntryRecord>,
    last_sweep: Duration,
    last_used: Duration,
}

impl RateAccount {
    fn new(now: Duration, limit: RateLimit, since: Duration) -> Self {
        let mut bucket = Bucket::new(now, limit.rate_milli, capacity(limit), since);
        if since == NO_PREDECESSOR {
            bucket.refund(now, capacity(limit));
        }
        Self {
            limit,
            bucket,
            since,
            entries: HashMap::new(),
            last_sweep: now,
            last_used: now,
        }
    }

    /// Empties the bucket as of `since` if another daemon was home before that.
    fn set_since(&mut self, now: Duration, since: Duration) {
        if since > self.since {
            self.since = since;
            let mut newer = Bucket::new(now, self.limit.rate_milli, capacity(self.limit), since);
            let excess = self.bucket.level(now).saturating_sub(newer.level(now));
            self.bucket.debit(now, excess);
        }
    }

    fn set_limit(&mut self, now: Duration, limit: RateLimit) {
        if limit == self.limit {
            return;
        }
        let lowered = limit.is_below(self.limit);
        self.limit = limit;
        self.bucket
            .set_limits(now, limit.rate_milli, capacity(limit));
        if lowered {
            // Entries give up what was reserved for them under the higher limit once they
            // have the lower one.
            self.bucket.limit_debt(now, MAX_DEBT_AFTER_LOWERING);
        }
    }

    fn handle_request(&mut self, now: Duration, req: &AllowanceRequest) -> Allowance {
        self.last_used = now;
        self.sweep(now);
        let record = self.entries.entry(req.daemon.as_str().into()).or_default();
        if !record.record(now, req) {
            return reply(req);
        }
        let returned = record.take_returned(now, req.returned);
        self.bucket.refund(now, returned);
        if req.wanted == 0 {
            return reply(req);
        }
        let allowance = self.grant(now, req);
        if allowance.granted > 0
            && let Some(record) = self.entries.get_mut(req.daemon.as_str())
        {
            let usable_at = now + Duration::from_micros(allowance.usable_after_us);
            record.granted.push_back((usable_at, allowance.granted));
        }
        allowance
    }

    fn grant(&mut self, now: Duration, req: &AllowanceRequest) -> Allowance {
        let available = self.bucket.level(now);
        if req.arrivals == 0 && available < AHEAD_DIVISOR {
            return Allowance {
                ask_after_ms: AHEAD_RETRY_MS,
                ..reply(req)
            };
        }
        if available > 0 {
            let granted = req.wanted.min(available);
            let ahead = available / AHEAD_DIVISOR;
            let granted = granted.min(ahead.max(req.arrivals)).max(1);
            self.bucket.debit(now, granted);
            return Allowance {
                granted,
                ..reply(req)
            };
        }
        if self.may_reserve(now, req) {
            let soon = self.bucket.wait(now) <= RESERVED_FOR_HELD;
            let most = if soon {
                req.arrivals
            } else {
                self.reservation()
            };
            let granted = most.clamp(1, req.wanted);
            self.bucket.debit(now, granted);
            let usable_after = self.bucket.debt_time(now);
            return Allowance {
                granted,
                usable_after_us: u64::try_from(usable_after.as_micros()).unwrap_or(u64::MAX),
                ..reply(req)
            };
        }
        let wait = self.bucket.wait(now);
        let active = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let spread = Duration::from_secs(1) * active / MAX_ASKS_PER_S;
        Allowance {
            retry_after_ms: millis_up(wait),
            ask_after_ms: millis_up(wait.saturating_sub(MAX_RESERVED_AHEAD).max(spread)),
            ..reply(req)
        }
    }

    /// Returns whether the next tokens may be reserved for an entry. Where its requests
    /// are rarer than blocks, a reserved token would usually expire unused.
    fn may_reserve(&mut self, now: Duration, req: &AllowanceRequest) -> bool {
        let per_block = f64::from(req.demand) / 1_000.0 * BLOCK_LIFETIME.as_secs_f64();
        let ahead = match per_block >= 1.0 {
            true => MAX_RESERVED_AHEAD,
            false => RESERVED_FOR_HELD,
        };
        self.bucket.wait(now) <= ahead
    }

    /// Returns the number of tokens that are reserved for an entry at once.
    fn reservation(&self) -> u32 {
        let per_s = self.limit.rate_milli as f64 / 1_000.0;
        let entries = self.entries.len().max(1) as f64;
        ((per_s * RESERVATION_ROUND.as_secs_f64() / entries) as u32).max(1)
    }

    fn sweep(&mut self, now: Duration) {
        if self.last_sweep + SWEEP_INTERVAL > now {
            return;
        }
        self.last_sweep = now;
        self.entries
            .retain(|_, record| record.last_seen + ACTIVE_TIME > now);
    }

    /// Returns whether a new account would be in the same state.
    fn is_idle(&mut self, now: Duration) -> bool {
        self.last_used + IDLE_TIMEOUT <= now && self.bucket.fullness(now) >= 1.0
    }
}

/// The buckets of the customers whose home is this daemon.
#[derive(Debug, Default)]
pub struct RateLedger {
    accounts: HashMap<CustomerId, RateAccount>,
    sweep_queue: VecDeque<CustomerId>,
}

impl RateLedger {
    /// Creates a ledger without accounts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles an entry's request under the customer's limit. This daemon may grant
    /// the tokens that arrive after `since`.
    pub fn handle_request(
        &mut self,
        now: Duration,
        req: &AllowanceRequest,
        limit: RateLimit,
        since: Duration,
    ) -> Allowance {
        let known = self.accounts.contains_key(req.customer.as_str());
        let full = !known && self.accounts.len() >= MAX_ACCOUNTS;
        if now < since || full {
            let wait = millis_up(since.saturating_sub(now).max(BLOCK_LIFETIME));
            return Allowance {
                retry_after_ms: wait,
                ask_after_ms: wait,
                ..reply(req)
            };
        }
        let customer = CustomerId::new(&req.customer);
        if !known {
            self.sweep_queue.push_back(customer.clone());
        }
        let account = self.accounts.entry(customer);
        let account = account.or_insert_with(|| RateAccount::new(now, limit, since));
        account.set_limit(now, limit);
        account.set_since(now, since);
        account.handle_request(now, req)
    }

    /// Removes the accounts of customers whose home is another daemon now.
    pub fn retain(&mut self, is_home: impl Fn(&str) -> bool) {
        self.accounts.retain(|customer, _| is_home(customer));
        self.sweep_queue.retain(|customer| is_home(customer));
    }

    /// Removes idle accounts, checking a limited number in each call.
    pub fn tick(&mut self, now: Duration) {
        for _ in 0..SWEPT_PER_TICK.min(self.sweep_queue.len()) {
            let Some(customer) = self.sweep_queue.pop_front() else {
                return;
            };
            let account = self.accounts.get_mut(&customer);
            if account.is_some_and(|account| account.is_idle(now)) {
                self.accounts.remove(&customer);
            } else {
                self.sweep_queue.push_back(customer);
            }
        }
    }

    /// Returns the number of accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there are no accounts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

fn capacity(limit: RateLimit) -> u32 {
    limit.burst.saturating_add(CAPACITY_MARGIN)
}

/// Returns a reply that grants nothing.
fn reply(req: &AllowanceRequest) -> Allowance {
    Allowance {
        id: req.id,
        customer: req.customer.clone(),
        from_routing: true,
        ..Allowance::default()
    }
}

fn millis_up(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
