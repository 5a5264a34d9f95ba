//! The home's side: accounts of the customers that ask here.

use crate::account::Account;
use conf::Plan;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, CustomerId};

/// Entries remembered over all accounts.
const MAX_ENTRIES: usize = 200_000;
/// Accounts at once.
const MAX_ACCOUNTS: usize = 200_000;
/// Time without a question after which an account is forgotten; its bucket
/// starts full again, so it is no less than a bucket takes to fill.
const IDLE: Duration = Duration::from_secs(120);
/// Accounts looked at by a tick.
const SWEPT_PER_TICK: usize = 64;
/// Wait that is told when the ledger has no room.
const FULL_RETRY_MS: u32 = 1_000;

/// The accounts of customers whose home is here.
#[derive(Debug)]
pub struct Ledger {
    accounts: HashMap<CustomerId, Account>,
    queue: VecDeque<CustomerId>,
    entries: usize,
    block: Duration,
    since: Duration,
}

impl Ledger {
    /// Creates an empty ledger that grants blocks of a length.
    #[must_use]
    pub fn new(now: Duration, block: Duration) -> Self {
        Self {
            accounts: HashMap::new(),
            queue: VecDeque::new(),
            entries: 0,
            block,
            since: now,
        }
    }

    /// Records that customers may have got new homes: a bucket that is created
    /// from now on fills from now, since another home may have granted all of
    /// it.
    pub fn homes_changed(&mut self, now: Duration) {
        self.since = now;
    }

    /// Answers an entry's question under the customer's plan.
    pub fn handle_request(
        &mut self,
        now: Duration,
        req: &AllowanceRequest,
        plan: &Plan,
    ) -> Allowance {
        let known = self.accounts.contains_key(req.customer.as_str());
        if self.entries >= MAX_ENTRIES || (!known && self.accounts.len() >= MAX_ACCOUNTS) {
            return refusal(req, FULL_RETRY_MS);
        }
        let customer = CustomerId::new(&req.customer);
        if !known {
            self.queue.push_back(customer.clone());
        }
        let (block, since) = (self.block, self.since);
        let new = || Account::new(now, *plan, block, since);
        let account = self.accounts.entry(customer).or_insert_with(new);
        let before = account.entries();
        let answer = account.ask(now, req, plan);
        self.entries = self.entries + account.entries() - before;
        answer
    }

    /// Forgets accounts that were not asked for long, a few at a time.
    pub fn tick(&mut self, now: Duration) {
        for _ in 0..SWEPT_PER_TICK.min(self.queue.len()) {
            let Some(customer) = self.queue.pop_front() else {
                return;
            };
            let used = self.accounts.get(&customer).map(Account::used);
            if used.is_some_and(|used| used + IDLE > now) {
                self.queue.push_back(customer);
            } else if let Some(account) = self.accounts.remove(&customer) {
                self.entries -= account.entries();
            }
        }
    }

    /// Returns how many accounts there are.
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

/// Answers a question without granting anything.
#[must_use]
pub fn refusal(req: &AllowanceRequest, retry_after_ms: u32) -> Allowance {
    Allowance {
        id: req.id,
        customer: req.customer.clone(),
        granted: 0,
        expires_ms: retry_after_ms,
        in_flight_limit: 0,
        retry_after_ms,
        entries: 0,
        unreserved_after_ms: retry_after_ms,
    }
}
