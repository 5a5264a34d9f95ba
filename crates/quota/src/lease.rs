//! One customer at an entry: the block it holds, and what it needs next.

use crate::bucket::{Bucket, MilliRate, per_second};
use crate::leases::LimitExceeded;
use crate::meter::Meter;
use conf::Plan;
use std::time::Duration;
use wire::{Allowance, ConfigVersion};

/// Time over which demand is averaged.
const SLOW: Duration = Duration::from_secs(2);
/// Time over which what was let in is averaged.
const SERVED: Duration = Duration::from_secs(10);
/// Time over which demand is averaged to see it rise.
const FAST: Duration = Duration::from_millis(250);
/// Arrivals within that time that count as a rise and not as chance.
const FAST_ARRIVALS: f64 = 8.0;
/// Demand in requests a second below which no blocks are asked for while the
/// starter share lasts.
const RARE: f64 = 1.0;
/// Time after which a request that is still in flight is told to the home.
const UNTOLD: Duration = Duration::from_millis(250);
/// Shortest time between questions because of requests in flight.
const STARVED_INTERVAL: Duration = Duration::from_millis(100);
/// Time ahead of need at which a block is asked for, at least.
const MIN_LEAD: Duration = Duration::from_millis(20);
/// Round trips ahead of need at which a block is asked for.
const LEAD_ROUND_TRIPS: u32 = 4;
/// Time after which an unanswered question counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time between questions to a home that does not answer.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Shortest wait that is told to a caller.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Part of the burst that entries together may let in without a block.
const STARTER_DIVISOR: u32 = 4;
/// Round trip that is assumed before the first answer.
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(10);

/// A question that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Question {
    pub(crate) wanted: u32,
    pub(crate) returned: u32,
    pub(crate) spent: u32,
    pub(crate) in_flight: u32,
    pub(crate) demand: u32,
    pub(crate) arrivals: u32,
}

/// What an entry holds of one customer's allowance.
#[derive(Debug)]
pub(crate) struct Lease {
    plan: Plan,
    version: ConfigVersion,
    tokens: u32,
    block: Duration,
    expires: Duration,
    starter: u32,
    starter_back: Duration,
    spent: u32,
    returned: u32,
    in_flight: u32,
    peak: u32,
    /// Requests admitted since the last question.
    fresh: u32,
    /// Requests in flight as the last question said.
    told: u32,
    in_flight_limit: u32,
    entries: u32,
    arrivals: u32,
    fast: Meter,
    slow: Meter,
    served: Meter,
    starved: bool,
    asked: Option<(u64, Duration)>,
    last_ask: Duration,
    question: Option<Question>,
    next_ask: Duration,
    round_trip: Duration,
    fallback: Option<Bucket>,
    failures: u32,
    heard: bool,
    used: Duration,
    timer: Duration,
}

impl Lease {
    /// Creates a lease without a block, with a starter share that `entries`
    /// such leases together keep to a part of the burst, but for one request
    /// each.
    pub(crate) fn new(
        now: Duration,
        plan: Plan,
        version: ConfigVersion,
        block: Duration,
        entries: u32,
    ) -> Self {
        Self {
            plan,
            version,
            tokens: 0,
            block,
            expires: now,
            starter: starter(&plan, entries),
            starter_back: Duration::MAX,
            spent: 0,
            returned: 0,
            in_flight: 0,
            peak: 0,
            fresh: 0,
            told: 0,
            in_flight_limit: 0,
            entries,
            arrivals: 0,
            fast: Meter::new(now, FAST, FAST_ARRIVALS),
            slow: Meter::new(now, SLOW, 0.0),
            served: Meter::new(now, SERVED, 0.0),
            starved: false,
            asked: None,
            last_ask: Duration::ZERO,
            question: None,
            next_ask: now,
            round_trip: FIRST_ROUND_TRIP,
            fallback: None,
            failures: 0,
            heard: false,
            used: now,
            timer: Duration::MAX,
        }
    }

    /// Returns the version of the configuration that its plan is from.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Takes the plan of another version; a block of a higher rate shrinks.
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
        self.next_ask = now;
        if let Some(bucket) = &mut self.fallback {
            let (rate, burst) = share(&plan, self.entries, None);
            bucket.set_limits(now, rate, burst);
        }
    }

    /// Takes one request out of the allowance.
    ///
    /// # Errors
    ///
    /// Returns what is used up, and when to come back.
    pub(crate) fn admit(&mut self, now: Duration) -> Result<(), LimitExceeded> {
        self.used = now;
        self.count(now);
        self.expire(now);
        if self.is_overdue(now) {
            self.lost(now);
        }
        if self.in_flight >= self.in_flight_limit(now) {
            self.peak = self.peak.max(self.in_flight + 1);
            self.starved = true;
            return Err(LimitExceeded::InFlight(self.wait(now)));
        }
        if !self.take(now) {
            return Err(LimitExceeded::Rate(self.wait(now)));
        }
        self.served.count(now);
        self.fresh += 1;
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
        Ok(())
    }

    /// Records that an admitted request is over.
    pub(crate) fn finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the question to send now, if a block is wanted.
    pub(crate) fn question(&mut self, now: Duration, id: u64) -> Option<Question> {
        self.expire(now);
        let wanted = self.wanted(now);
        if self.asked.is_some() || now < self.next_ask || !self.is_due(now, wanted) {
            return None;
        }
        // Where requests are rare, those that have just begun are left out:
        // most are over before the answer comes.
        let in_flight = match self.demand(now) <= RARE {
            true => self.in_flight.saturating_sub(self.fresh),
            false => self.peak,
        };
        let question = Question {
            wanted,
            returned: self.returned,
            spent: self.spent,
            in_flight,
            demand: (self.demand(now) * 1_000.0).ceil() as u32,
            arrivals: self.arrivals,
        };
        self.arrivals = 0;
        self.returned = 0;
        self.spent = 0;
        self.peak = self.in_flight;
        self.fresh = 0;
        self.told = in_flight;
        self.starved = false;
        self.last_ask = now;
        self.asked = Some((id, now));
        self.question = Some(question);
        Some(question)
    }

    /// Takes the home's answer in, if it is to the last question.
    pub(crate) fn answered(&mut self, now: Duration, answer: &Allowance) {
        let Some((_, asked)) = self.asked.filter(|(id, _)| *id == answer.id) else {
            return;
        };
        self.asked = None;
        self.question = None;
        self.fallback = None;
        self.failures = 0;
        self.heard = true;
        let short = answer.retry_after_ms > 0;
        self.starter = match short {
            true => 0,
            false => starter(&self.plan, answer.entries),
        };
        self.starter_back = now + Duration::from_millis(answer.unreserved_after_ms.into());
        self.round_trip = (self.round_trip + now.saturating_sub(asked)) / 2;
        self.expire(now);
        self.tokens = self.tokens.saturating_add(answer.granted);
        self.block = Duration::from_millis(answer.expires_ms.into()).max(MIN_LEAD);
        // Counted from the question, so that it never ends after the home
        // thinks that it has.
        self.expires = asked + self.block;
        self.in_flight_limit = answer.in_flight_limit;
        self.entries = answer.entries.max(1);
        self.next_ask = now + Duration::from_millis(answer.retry_after_ms.into());
    }

    /// Gives the question up and falls back to a share of the limit; asks
    /// again after an exponential delay.
    pub(crate) fn lost(&mut self, now: Duration) {
        self.asked = None;
        if let Some(question) = self.question.take() {
            // What was given back may have arrived; what was spent is said
            // again, which errs on the side of the limit.
            self.spent = self.spent.saturating_add(question.spent);
        }
        if self.fallback.is_none() {
            let served = self.heard.then(|| self.served.rate_since_begin(now));
            let (rate, burst) = share(&self.plan, self.entries, served);
            self.fallback = Some(Bucket::new(now, rate, burst, now));
        }
        let backoff = ANSWER_TIMEOUT * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.next_ask = now + backoff.min(MAX_BACKOFF);
    }

    /// Returns whether the question's answer is overdue.
    pub(crate) fn is_overdue(&self, now: Duration) -> bool {
        self.asked
            .is_some_and(|(_, asked)| asked + ANSWER_TIMEOUT <= now)
    }

    /// Returns whether the lease may be forgotten after so long without use.
    pub(crate) fn is_idle(&self, now: Duration, idle: Duration) -> bool {
        self.in_flight == 0 && self.spent == 0 && self.asked.is_none() && self.used + idle <= now
    }

    /// Returns when something falls due, `idle` after the last use at most.
    pub(crate) fn due(&self, now: Duration, idle: Duration) -> Duration {
        if let Some((_, asked)) = self.asked {
            return asked + ANSWER_TIMEOUT;
        }
        let due = if self.spent > 0 || self.returned > 0 {
            self.next_ask
        } else if self.in_flight > 0 {
            let ends = self.expires.saturating_sub(self.lead());
            let untold = match self.in_flight > self.told {
                true => self.last_ask + UNTOLD,
                false => ends,
            };
            ends.min(untold).max(self.next_ask)
        } else if self.tokens > 0 {
            self.expires
        } else {
            self.used + idle
        };
        due.max(now + MIN_LEAD)
    }

    /// Returns whether a timer that went off is the last one set.
    pub(crate) fn is_timer(&self, due: Duration) -> bool {
        self.timer == due
    }

    /// Sets a timer, if it goes off before the one that is set or none is.
    pub(crate) fn set_timer(&mut self, now: Duration, due: Duration) -> bool {
        let earlier = due < self.timer || self.timer <= now;
        if earlier {
            self.timer = due;
        }
        earlier
    }

    fn take(&mut self, now: Duration) -> bool {
        if self.tokens > 0 {
            self.tokens -= 1;
            return true;
        }
        if self.starter == 0 && now >= self.starter_back {
            self.starter = 1;
            self.starter_back = Duration::MAX;
        }
        if let Some(bucket) = &mut self.fallback {
            // Not reported as spent: the share keeps to the rate by itself.
            return bucket.take(now, 1);
        }
        let admitted = self.starter > 0;
        if admitted {
            self.starter -= 1;
            self.spent = self.spent.saturating_add(1);
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

    /// Returns whether there is something to ask or to tell: use without a
    /// block, an unused block, requests in flight or demand whose block won't
    /// last until an answer has come.
    fn is_due(&self, now: Duration, wanted: u32) -> bool {
        let lead = self.lead();
        let ends = now + lead >= self.expires;
        let few = f64::from(self.tokens) <= self.demand(now) * lead.as_secs_f64();
        let starved = self.starved && self.last_ask + STARVED_INTERVAL <= now;
        let untold = self.in_flight > self.told && self.last_ask + UNTOLD <= now;
        starved
            || untold
            || self.spent > 0
            || self.returned > 0
            || (self.in_flight > 0 && ends)
            || (wanted > 0 && (ends || few))
    }

    /// Returns the requests to ask for: the demand until the block after
    /// next could come. A single request in a long time asks for none, since
    /// the starter share carries the next one, and a block would expire.
    fn wanted(&self, now: Duration) -> u32 {
        let rare = self.slow.rate(now) <= RARE && self.fallback.is_none();
        if self.used + self.block < now || (rare && self.starter > 0) {
            return 0;
        }
        let ahead = self.demand(now) * (self.block + self.lead()).as_secs_f64();
        (ahead.round() as u32).saturating_sub(self.tokens).max(1)
    }

    fn lead(&self) -> Duration {
        (self.round_trip * LEAD_ROUND_TRIPS).clamp(MIN_LEAD, self.block / 2)
    }

    fn wait(&mut self, now: Duration) -> Duration {
        let wait = match &mut self.fallback {
            Some(bucket) => bucket.wait(now),
            None => self.next_ask.saturating_sub(now) + self.round_trip,
        };
        wait.max(MIN_WAIT)
    }

    fn count(&mut self, now: Duration) {
        self.arrivals = self.arrivals.saturating_add(1);
        self.fast.count(now);
        self.slow.count(now);
    }

    /// Returns the requests a second that callers try to start.
    fn demand(&self, now: Duration) -> f64 {
        self.slow.rate(now).max(self.fast.rate(now))
    }
}

/// Returns the requests that one of so many entries may let in without a
/// block.
fn starter(plan: &Plan, entries: u32) -> u32 {
    (plan.burst / STARTER_DIVISOR / entries.max(1)).max(1)
}

/// Returns rate and burst of an entry whose home can't be reached. A quarter of
/// the plan is shared equally, and the rest as it was used lately, so that all
/// entries together keep to the plan; all of it equally if there was no word
/// from the home before, or the plan has changed since.
fn share(plan: &Plan, entries: u32, served: Option<f64>) -> (MilliRate, u32) {
    let entries = entries.max(1);
    let rate = per_second(plan.rate);
    let equal = rate / u64::from(entries);
    let burst = (plan.burst / entries).max(1);
    match served {
        Some(served) => {
            let lately = ((served * 1_000.0) as u64).min(rate);
            (equal / 4 + lately / 4 * 3, burst)
        }
        None => (equal, burst),
    }
}
