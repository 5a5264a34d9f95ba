//! The entry's side of the limits that the routing states.
//!
//! An entry admits a request with a token of a block that the customer's home granted.
//! Without a token it holds the request and asks the home.

use crate::bucket::MilliRate;
use crate::meter::Meter;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, ConfigVersion, CustomerId, DaemonId, RequestId};

/// Time for which the tokens of a block may be used, from when they become usable.
/// Together with [`RETURN_AGE`] it bounds the tokens from before a window that are
/// used within it.
pub(crate) const BLOCK_LIFETIME: Duration = Duration::from_millis(200);
/// Age up to which the token of a request that was not run returns to the home.
const RETURN_AGE: Duration = Duration::from_millis(200);
/// Time for which the tokens in hand last when a new block is requested.
const LEAD: Duration = Duration::from_millis(50);
/// Time constant of the measured demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// Arrivals below which the demand counts as 0 and no block is requested ahead.
const MIN_ARRIVALS: f64 = 2.0;
/// Time after which a request to the home counts as lost.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of requests held at once.
const MAX_HELD: usize = 4_096;
/// Retry delay of a request for which the home did not reply.
const NO_REPLY_RETRY: Duration = Duration::from_millis(500);
/// Time until a reserved block becomes usable from which the limit counts as exceeded,
/// in microseconds.
const MIN_LIMITED_US: u64 = 25_000;
/// Time for which a refusal of the home is remembered at most, since another daemon may
/// have become the home.
const MAX_REMEMBERED: Duration = Duration::from_secs(1);
/// Time without a request after which unused tokens return to the home. Demand that
/// has moved to another entry finds them there.
const IDLE_RETURN: Duration = Duration::from_millis(100);
/// Time without a request after which a customer is removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of customers that are counted by name.
const MAX_COUNTED: usize = 64;
/// Name under which the remaining customers are counted.
const OTHERS: CustomerId = CustomerId::const_new("other");

/// A customer's limit over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit {
    /// Requests per 1,000 seconds.
    pub rate_milli: MilliRate,
    /// Requests that may exceed the rate at once.
    pub burst: u32,
}

impl RateLimit {
    pub(crate) fn is_below(self, other: Self) -> bool {
        self.rate_milli < other.rate_milli || self.burst < other.burst
    }
}

/// Whether a request may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateAdmission {
    /// It may start now.
    Admitted,
    /// The home decides; [`RateLeases::take_decisions`] returns the decision.
    Held,
    /// It is beyond the limit; retry after this time.
    Refused(Duration),
}

/// The decision on a request that was held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// Its customer.
    pub customer: CustomerId,
    /// The delay before a retry if it is refused.
    pub refused: Option<Duration>,
}

/// Requests of a customer by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateCounts {
    /// Admitted requests.
    pub admitted: u64,
    /// Refused requests.
    pub refused: u64,
    /// Requests that waited for the home's reply.
    pub held: u64,
    /// Requests refused because the home did not reply in time.
    pub unanswered: u64,
}

/// Tokens that the home granted, and the time in which they may be used.
#[derive(Debug)]
struct Block {
    tokens: u32,
    from: Duration,
    until: Duration,
}

/// A held request, and the time by which it must be decided.
#[derive(Debug)]
struct Waiter {
    request: RequestId,
    until: Duration,
}

/// A request to the home without a reply.
#[derive(Debug)]
struct Asked {
    id: u64,
    at: Duration,
}

#[derive(Debug)]
struct Customer {
    limit: RateLimit,
    config_version: ConfigVersion,
    blocks: VecDeque<Block>,
    waiters: VecDeque<Waiter>,
    asked: Option<Asked>,
    /// When the home may be asked again after a refusal.
    ask_from: Duration,
    /// When the next token arrives, as stated in the home's refusal.
    refused_until: Duration,
    /// When tokens may be requested ahead of requests.
    ahead_from: Duration,
    /// Unused tokens that are to be returned to the home.
    returned: u32,
    /// When the first of the returned tokens was returned.
    returned_at: Duration,
    /// Whether the home reserved the last block for later, as it does when demand
    /// exceeds the limit.
    limited: bool,
    demand: Meter,
    last_used: Duration,
    /// Whether the home did not reply in time, and has not replied since.
    home_lost: bool,
}

impl Customer {
    fn new(now: Duration) -> Self {
        Self {
            limit: RateLimit::default(),
            config_version: 0,
            blocks: VecDeque::new(),
            waiters: VecDeque::new(),
            asked: None,
            ask_from: Duration::ZERO,
            refused_until: Duration::ZERO,
            ahead_from: Duration::ZERO,
            returned: 0,
            returned_at: Duration::ZERO,
            limited: false,
            demand: Meter::new(now, DEMAND_WINDOW, MIN_ARRIVALS),
            last_used: now,
            home_lost: false,
        }
    }

    /// Sets the limit. What the home said under another one no longer counts.
    fn set_limit(&mut self, limit: RateLimit, version: ConfigVersion) {
        self.config_version = version;
        if limit == self.limit {
            return;
        }
        if limit.is_below(self.limit) {
            self.blocks.clear();
            self.returned = 0;
            self.asked = None;
        }
        self.ask_from = Duration::ZERO;
        self.refused_until = Duration::ZERO;
        self.limit = limit;
    }

    /// Moves unused tokens of expired blocks to those that are returned, and all tokens
    /// if requests have stopped.
    fn expire(&mut self, now: Duration) {
        if self.is_idle(now) {
            for block in &mut self.blocks {
                block.until = block.until.min(now);
            }
        }
        let expired = self.blocks.iter().filter(|b| b.until <= now);
        let recent = expired.filter(|b| b.until + RETURN_AGE > now);
        let unused: u32 = recent.map(|b| b.tokens).sum();
        self.add_returned(now, unused);
        self.blocks.retain(|b| b.until > now && b.tokens > 0);
    }

    fn add_returned(&mut self, now: Duration, tokens: u32) {
        if self.returned == 0 {
            self.returned_at = now;
        }
        self.returned = self.returned.saturating_add(tokens);
    }

    /// Returns the tokens to return to the home, and forgets them. Tokens that could not
    /// be returned for too long are lost.
    fn take_returned(&mut self, now: Duration) -> u32 {
        let returned = std::mem::take(&mut self.returned);
        let recent = now.saturating_sub(self.returned_at) <= RETURN_AGE;
        if recent { returned } else { 0 }
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.last_used + IDLE_RETURN <= now && self.waiters.is_empty()
    }

    fn take_token(&mut self, now: Duration) -> bool {
        self.expire(now);
        let Some(block) = self.blocks.iter_mut().find(|b| b.from <= now) else {
            return false;
        };
        block.tokens -= 1;
        self.blocks.retain(|b| b.tokens > 0);
        true
    }

    /// Returns when the next reserved block becomes usable.
    fn reserved_from(&self, now: Duration) -> Option<Duration> {
        let reserved = self.blocks.iter().filter(|b| b.from > now);
        reserved.map(|b| b.from).min()
    }

    fn tokens(&self) -> u32 {
        self.blocks.iter().map(|b| b.tokens).sum()
    }

    /// Returns how many tokens to request now.
    fn wanted(&self, now: Duration) -> u32 {
        if self.is_idle(now) {
            return 0;
        }
        let demand = self.demand.rate(now);
        let ahead = (demand * BLOCK_LIFETIME.as_secs_f64()) as u32;
        let low = (demand * LEAD.as_secs_f64()) as u32;
        let waiting = u32::try_from(self.waiters.len()).unwrap_or(u32::MAX);
        let tokens = self.tokens();
        if self.limited && ahead > 0 {
            // The next reservation follows without a gap in which the bucket overflows.
            return waiting.max(ahead);
        }
        let missing = waiting.saturating_add(ahead).saturating_sub(tokens);
        if waiting > tokens || (ahead > 1 && tokens <= low && now >= self.ahead_from) {
            missing.max(1)
        } else {
            0
        }
    }

    fn may_ask(&self, now: Duration) -> bool {
        let pending = self.asked.as_ref();
        pending.is_none_or(|asked| asked.at + ASK_TIMEOUT <= now)
            && now >= self.ask_from
            && self.reserved_from(now).is_none()
    }

    /// Returns when a request may be retried, if the home has no token for it within
    /// the time for which it could be held.
    fn refusal(&self, now: Duration, until: Duration) -> Option<Duration> {
        if let Some(from) = self.reserved_from(now) {
            let reserved = self.tokens() as usize > self.waiters.len();
            let held = reserved && from <= until;
            return (!held).then(|| from - now);
        }
        let refused = now < self.ask_from;
        refused.then(|| self.refused_until.max(self.ask_from) - now)
    }
}

/// The blocks of an entry and the requests that it holds.
#[derive(Debug)]
pub struct RateLeases {
    daemon: DaemonId,
    customers: HashMap<CustomerId, Customer>,
    counts: BTreeMap<CustomerId, RateCounts>,
    decisions: Vec<Decision>,
    home_changes: Vec<(CustomerId, bool)>,
    next_id: u64,
    held: usize,
}

impl RateLeases {
    /// Creates an entry without blocks.
    #[must_use]
    pub fn new(daemon: DaemonId) -> Self {
        Self {
            daemon,
            customers: HashMap::new(),
            counts: BTreeMap::new(),
            decisions: Vec::new(),
            home_changes: Vec::new(),
            next_id: 1,
            held: 0,
        }
    }

    /// Sets the limit of a customer from a configuration version.
    pub fn set_limit(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        limit: RateLimit,
        version: ConfigVersion,
    ) {
        let state = self.customers.entry(customer.clone());
        let state = state.or_insert_with(|| Customer::new(now));
        state.set_limit(limit, version);
    }

    /// Returns the configuration version of a customer's limit.
    #[must_use]
    pub fn version(&self, customer: &str) -> Option<ConfigVersion> {
        self.customers.get(customer).map(|c| c.config_version)
    }

    /// Counts a request against its customer's limit, or holds it until `hold_until`
    /// at the latest. Appends a request to the home if one is due.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        (request, hold_until): (RequestId, Duration),
        tx: &mut Vec<AllowanceRequest>,
    ) -> RateAdmission {
        let Some(state) = self.customers.get_mut(customer) else {
            return RateAdmission::Admitted;
        };
        state.last_used = now;
        state.demand.count(now);
        let admission = if state.waiters.is_empty() && state.take_token(now) {
            RateAdmission::Admitted
        } else if let Some(after) = state.refusal(now, hold_until) {
            RateAdmission::Refused(after)
        } else if self.held >= MAX_HELD {
            RateAdmission::Refused(NO_REPLY_RETRY)
        } else {
            let until = hold_until;
            state.waiters.push_back(Waiter { request, until });
            self.held += 1;
            RateAdmission::Held
        };
        let counts = counts_of(&mut self.counts, customer);
        match admission {
            RateAdmission::Admitted => counts.admitted += 1,
            RateAdmission::Held => counts.held += 1,
            RateAdmission::Refused(_) => counts.refused += 1,
        }
        self.ask(now, customer, tx);
        admission
    }

    /// Records that a request admitted at `admitted_at` was run by no upstream.
    pub fn give_back(&mut self, now: Duration, customer: &str, admitted_at: Duration) {
        if let Some(state) = self.customers.get_mut(customer)
            && now.saturating_sub(admitted_at) <= RETURN_AGE
        {
            state.add_returned(now, 1);
        }
    }

    /// Handles the home's reply.
    pub fn handle_allowance(
        &mut self,
        now: Duration,
        allowance: &Allowance,
        tx: &mut Vec<AllowanceRequest>,
    ) {
        let customer = CustomerId::new(&allowance.customer);
        let Some(state) = self.customers.get_mut(&customer) else {
            return;
        };
        let Some(asked) = state.asked.take_if(|asked| asked.id == allowance.id) else {
            return;
        };
        if std::mem::take(&mut state.home_lost) {
            self.home_changes.push((customer.clone(), true));
        }
        state.limited = allowance.usable_after_us > MIN_LIMITED_US;
        if allowance.granted > 0 {
            let after = Duration::from_micros(allowance.usable_after_us);
            // The home decided after the request was sent and before the reply
            // arrived: both bounds keep to the time that it meant.
            state.blocks.push_back(Block {
                tokens: allowance.granted,
                from: now + after,
                until: asked.at + after + BLOCK_LIFETIME,
            });
        } else if allowance.retry_after_ms > 0 {
            let ask_after = Duration::from_millis(allowance.ask_after_ms.into());
            state.ask_from = now + ask_after.min(MAX_REMEMBERED);
            state.refused_until = now + Duration::from_millis(allowance.retry_after_ms.into());
        } else {
            state.ahead_from = now + Duration::from_millis(allowance.ask_after_ms.into());
        }
        self.decide(now, &customer);
        self.ask(now, &customer, tx);
    }

    /// Forgets the request to a home that can't be reached, and allows the next one at
    /// once.
    pub fn request_failed(&mut self, now: Duration, customer: &str) {
        if let Some(state) = self.customers.get_mut(customer) {
            state.asked = None;
            state.ask_from = state.ask_from.min(now);
        }
    }

    /// Decides on held requests whose wait ends, uses reserved blocks, and returns
    /// unused tokens.
    pub fn tick(&mut self, now: Duration, tx: &mut Vec<AllowanceRequest>) {
        let names: Vec<CustomerId> = self.customers.keys().cloned().collect();
        for customer in names {
            self.decide(now, &customer);
            self.ask(now, &customer, tx);
            self.return_tokens(now, &customer, tx);
        }
        self.customers
            .retain(|_, c| c.last_used + IDLE_TIMEOUT > now || !c.waiters.is_empty());
    }

    /// Returns the decisions on held requests since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the customers whose home stopped (false) or began (true) to reply since
    /// the last call.
    pub fn take_home_changes(&mut self) -> Vec<(CustomerId, bool)> {
        std::mem::take(&mut self.home_changes)
    }

    /// Returns the requests by customer; the customers beyond a maximum are counted
    /// together.
    #[must_use]
    pub fn counts(&self) -> &BTreeMap<CustomerId, RateCounts> {
        &self.counts
    }

    /// Returns the number of requests held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Decides on the held requests of a customer, oldest first.
    fn decide(&mut self, now: Duration, customer: &CustomerId) {
        let Some(state) = self.customers.get_mut(customer) else {
            return;
        };
        state.expire(now);
        let waiters = std::mem::take(&mut state.waiters);
        for waiter in waiters {
            let admitted = state.take_token(now);
            let over = waiter.until <= now;
            let refused = match state.refusal(now, waiter.until) {
                _ if admitted => None,
                Some(after) => Some(after),
                None if over => Some(NO_REPLY_RETRY),
                None => {
                    state.waiters.push_back(waiter);
                    continue;
                }
            };
            let unanswered = over && refused == Some(NO_REPLY_RETRY);
            if unanswered && !std::mem::replace(&mut state.home_lost, true) {
                self.home_changes.push((customer.clone(), false));
            }
            let counts = counts_of(&mut self.counts, customer);
            counts.admitted += u64::from(admitted);
            counts.refused += u64::from(!admitted);
            counts.unanswered += u64::from(unanswered);
            self.held -= 1;
            self.decisions.push(Decision {
                request: waiter.request,
                customer: customer.clone(),
                refused,
            });
        }
    }

    fn ask(&mut self, now: Duration, customer: &CustomerId, tx: &mut Vec<AllowanceRequest>) {
        let Some(state) = self.customers.get_mut(customer) else {
            return;
        };
        let wanted = state.wanted(now);
        if wanted == 0 || !state.may_ask(now) {
            return;
        }
        let id = self.next_id;
        state.asked = Some(Asked { id, at: now });
        self.send(now, customer, wanted, tx);
    }

    /// Returns unused tokens to the home.
    fn return_tokens(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        tx: &mut Vec<AllowanceRequest>,
    ) {
        if self.customers.get(customer).is_some_and(|c| c.returned > 0) {
            self.send(now, customer, 0, tx);
        }
    }

    fn send(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        wanted: u32,
        tx: &mut Vec<AllowanceRequest>,
    ) {
        let Some(state) = self.customers.get_mut(customer) else {
            return;
        };
        let waiting = u32::try_from(state.waiters.len()).unwrap_or(u32::MAX);
        let id = self.next_id;
        self.next_id += 1;
        tx.push(AllowanceRequest {
            id,
            daemon: self.daemon.to_string(),
            customer: customer.to_string(),
            wanted,
            returned: state.take_returned(now),
            // While demand exceeds the limit, requests wait for all tokens ahead.
            arrivals: if state.limited { wanted } else { waiting },
            demand: (state.demand.rate(now) * 1_000.0) as u32,
            config_version: state.config_version,
            rate_milli: state.limit.rate_milli,
            burst: state.limit.burst,
            ..AllowanceRequest::default()
        });
    }
}

fn counts_of<'a>(
    counts: &'a mut BTreeMap<CustomerId, RateCounts>,
    customer: &CustomerId,
) -> &'a mut RateCounts {
    let named = counts.contains_key(customer) || counts.len() < MAX_COUNTED;
    let name = if named { customer.clone() } else { OTHERS };
    counts.entry(name).or_default()
}
