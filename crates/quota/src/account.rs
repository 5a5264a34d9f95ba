//! One customer at its home: the bucket, and what each entry holds.

use crate::bucket::{Bucket, per_second};
use crate::meter::Meter;
use conf::Plan;
use std::collections::HashMap;
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, DaemonId};

/// Questions a second that a customer's entries together may send, in
/// proportion to its rate within these bounds; beyond, they ask less often and
/// get longer blocks, those with little demand first.
const MIN_QUESTIONS: u64 = 60;
/// The upper bound of the same.
const MAX_QUESTIONS: u64 = 200;
/// Demand of one request, in the unit of the wire.
const ONE_REQUEST: u64 = 1_000;
/// Longest time between an entry's questions, in milliseconds.
const MAX_INTERVAL_MS: u64 = 5_000;
/// Questions that an entry may send in the time of a block.
const QUESTIONS_PER_BLOCK: u32 = 8;
/// Part of the rate that entries together may admit without a block while more
/// is asked for.
const STARTER_RATE_DIVISOR: u32 = 10;
/// Time over which what callers try to start is averaged.
const OFFERED: Duration = Duration::from_secs(5);
/// Part of the time between questions that a block outlasts it by.
const BLOCK_MARGIN: u32 = 8;
/// Fullness of the bucket from which a question is granted in full.
const FULL_GRANT: f64 = 0.25;

/// What an entry was last told.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    /// Number of its last question.
    id: u64,
    /// When its block ends and it is forgotten.
    until: Duration,
    /// Requests granted that it may still give back, of the last block.
    granted: u32,
    /// The same of the block before.
    granted_before: u32,
    /// Part of a request that it was not granted, for the next time.
    fraction: f64,
    /// Requests that callers try to start there in 1,000 seconds.
    demand: u64,
    /// Requests in flight that it needs.
    need: u32,
    /// Its part of the in-flight limit.
    limit: u32,
}

/// A customer's account.
#[derive(Debug)]
pub(crate) struct Account {
    plan: Plan,
    block: Duration,
    bucket: Bucket,
    entries: HashMap<DaemonId, Held>,
    /// What callers of all entries try to start.
    offered: Meter,
    demands: u64,
    needs: u32,
    limits: u32,
    swept: Duration,
    used: Duration,
}

impl Account {
    /// Creates an account whose bucket has been filling since `since`, and holds
    /// enough for full grants: a customer that is new here may be within its
    /// limit.
    pub(crate) fn new(now: Duration, plan: Plan, block: Duration, since: Duration) -> Self {
        let capacity = capacity(&plan, block, 0);
        let filled = f64::from(capacity) * FULL_GRANT / f64::from(plan.rate.max(1));
        let since = since.min(now.saturating_sub(Duration::from_secs_f64(filled)));
        Self {
            plan,
            block,
            bucket: Bucket::new(now, per_second(plan.rate), capacity, since),
            entries: HashMap::new(),
            offered: Meter::new(now, OFFERED, 0.0),
            demands: 0,
            needs: 0,
            limits: 0,
            swept: now,
            used: now,
        }
    }

    /// Returns when the account was last asked.
    pub(crate) fn used(&self) -> Duration {
        self.used
    }

    /// Returns how many entries are remembered.
    pub(crate) fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Answers an entry's question under the plan in force.
    pub(crate) fn ask(&mut self, now: Duration, req: &AllowanceRequest, plan: &Plan) -> Allowance {
        self.used = now;
        if self.plan != *plan {
            self.plan = *plan;
            self.set_capacity(now);
        }
        self.sweep(now);
        let mut held = self.forget(&req.daemon);
        self.settle(now, req, &held);
        // A part of the in-flight limit would lie idle at such an entry.
        let rare = u64::from(req.demand) <= ONE_REQUEST;
        let interval = self.interval(req.demand.into());
        let expires = match req.wanted {
            0 => self.block,
            _ => self.block.max(interval + interval / BLOCK_MARGIN),
        };
        held = Held {
            id: req.id,
            until: now + expires + expires,
            granted_before: held.granted,
            demand: req.demand.into(),
            need: if rare {
                req.in_flight
            } else {
                req.in_flight.max(1)
            },
            ..held
        };
        held.limit = self.in_flight_limit(&held);
        let limit = if rare {
            self.rare_limit(&held)
        } else {
            held.limit
        };
        // What an entry may not run is left to others.
        let usable = if limit > 0 { req.wanted } else { 0 };
        (held.granted, held.fraction) = self.grant(now, usable, held.fraction);
        let granted = held.granted;
        self.remember(&req.daemon, held);
        let short = granted < req.wanted || held.limit < held.need || self.bucket.level(now) == 0;
        // No longer than the block, so that requests in flight stay counted.
        let longest = expires - expires / BLOCK_MARGIN;
        let wait = match short {
            true => interval.max(self.bucket.wait(now)).min(longest),
            false => Duration::ZERO,
        };
        Allowance {
            id: req.id,
            customer: req.customer.clone(),
            granted,
            expires_ms: millis(expires),
            in_flight_limit: limit,
            unreserved_after_ms: if short {
                millis(self.starter_after(now))
            } else {
                0
            },
            retry_after_ms: millis(wait),
            entries: u32::try_from(self.entries.len()).unwrap_or(u32::MAX),
        }
    }

    /// Takes out what was used without a block and puts back what was not
    /// used of one. A question that is older than the last, or came twice,
    /// gives nothing back.
    fn settle(&mut self, now: Duration, req: &AllowanceRequest, held: &Held) {
        if req.id > held.id {
            let granted = held.granted.saturating_add(held.granted_before);
            self.bucket.refund(now, req.returned.min(granted));
            self.bucket.debit(now, req.unreserved);
            self.offered.add(now, req.arrivals);
        }
    }

    /// Grants all while the bucket is well filled, and less the emptier it is,
    /// so that entries share in proportion to their need.
    fn grant(&mut self, now: Duration, wanted: u32, fraction: f64) -> (u32, f64) {
        let part = (self.bucket.fullness(now) / FULL_GRANT).min(1.0);
        let due = f64::from(wanted) * part + fraction;
        let whole = due.floor().min(f64::from(wanted));
        let granted = (whole as u32).min(self.bucket.level(now));
        self.bucket.take(now, granted);
        (granted, (due - whole).clamp(0.0, 1.0))
    }

    /// Shares the in-flight limit by need; the parts together never exceed it,
    /// but for what entries let in without one. Half of what nobody needs is
    /// kept for entries that come next.
    fn in_flight_limit(&self, held: &Held) -> u32 {
        let most = self.plan.in_flight;
        let needs = self.needs.saturating_add(held.need);
        let part = match most.checked_sub(needs) {
            Some(rest) => held.need + scaled(rest / 2, held.need, needs),
            None => scaled(most, held.need, needs).max(1),
        };
        let spare = most.saturating_sub(self.limits);
        part.min(spare)
    }

    fn set_capacity(&mut self, now: Duration) {
        let capacity = capacity(&self.plan, self.block, self.entries.len());
        self.bucket
            .set_limits(now, per_second(self.plan.rate), capacity);
    }

    /// Returns the in-flight limit of an entry that rarely has requests: what
    /// runs there and an even part of half of what nobody needs, which is one
    /// request at least unless all of the limit is in use.
    fn rare_limit(&self, held: &Held) -> u32 {
        let used = self.needs.saturating_add(held.need);
        let rest = self.plan.in_flight.saturating_sub(used);
        if rest == 0 {
            return held.limit;
        }
        let entries = u32::try_from(self.entries.len() + 1).unwrap_or(u32::MAX);
        held.need + (rest / 2 / entries).max(1)
    }

    /// Returns the time after which an entry may admit a request without a
    /// block again: once there is one in the bucket, or where more is asked
    /// for than the rate, so late that such requests are a tenth of it.
    fn starter_after(&mut self, now: Duration) -> Duration {
        let wait = self.bucket.wait(now);
        if self.offered.rate(now) <= f64::from(self.plan.rate) {
            return wait;
        }
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let period = Duration::from_secs(1) * STARTER_RATE_DIVISOR * entries;
        wait.max(period / self.plan.rate.max(1))
    }

    /// Returns the time between questions of an entry with a demand: the time
    /// in which it uses up its part of the fleet's questions.
    fn interval(&self, demand: u64) -> Duration {
        let rate = u64::from(self.plan.rate) * 1_000;
        let questions = u64::from(self.plan.rate).clamp(MIN_QUESTIONS, MAX_QUESTIONS);
        let per_question = rate.max(self.demands + demand) / questions;
        let per_question = per_question.max(ONE_REQUEST);
        let ms = per_question * 1_000 / demand.max(1);
        let least = self.block / QUESTIONS_PER_BLOCK;
        least.max(Duration::from_millis(ms.min(MAX_INTERVAL_MS)))
    }

    fn remember(&mut self, daemon: &str, held: Held) {
        self.demands = self.demands.saturating_add(held.demand);
        self.needs = self.needs.saturating_add(held.need);
        self.limits = self.limits.saturating_add(held.limit);
        self.entries.insert(daemon.into(), held);
    }

    fn forget(&mut self, daemon: &str) -> Held {
        let held = self.entries.remove(daemon).unwrap_or_default();
        self.demands = self.demands.saturating_sub(held.demand);
        self.needs = self.needs.saturating_sub(held.need);
        self.limits = self.limits.saturating_sub(held.limit);
        held
    }

    /// Forgets entries that no longer hold a block, once in a block's time.
    fn sweep(&mut self, now: Duration) {
        if now < self.swept + self.block {
            return;
        }
        self.swept = now;
        self.entries.retain(|_, held| held.until > now);
        self.set_capacity(now);
        self.demands = self.entries.values().map(|h| h.demand).sum();
        self.needs = self.entries.values().map(|h| h.need).sum();
        self.limits = self.entries.values().map(|h| h.limit).sum();
    }
}

/// Returns the capacity of a bucket: the burst, but no less than what entries
/// hold ahead of use, which is the rate over a block's time and, up to as much
/// again, a request at each entry.
fn capacity(plan: &Plan, block: Duration, entries: usize) -> u32 {
    let ahead = (f64::from(plan.rate) * block.as_secs_f64()) as u32;
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let held = ahead.saturating_add(entries.min(ahead));
    plan.burst.max(held).max(1)
}

fn scaled(number: u32, part: u32, whole: u32) -> u32 {
    let scaled = u64::from(number) * u64::from(part) / u64::from(whole.max(1));
    u32::try_from(scaled).unwrap_or(u32::MAX)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
