//! The home's side: the accounts of the customers whose home is this daemon.

use crate::account::Account;
use conf::Plan;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, CustomerId};

/// Maximum number of entries in all accounts.
const MAX_ENTRIES: usize = 200_000;
/// Maximum number of accounts.
const MAX_ACCOUNTS: usize = 200_000;
/// Time without a request after which an account is removed. A new account starts
/// with a full bucket, so this must not be shorter than a bucket takes to fill.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum number of accounts checked in one tick.
const SWEPT_PER_TICK: usize = 64;
/// Time to retry that is sent when a maximum is reached.
const FULL_RETRY_AFTER_MS: u32 = 1_000;

/// The accounts of the customers whose home is this daemon.
#[derive(Debug)]
pub struct Ledger {
    accounts: HashMap<CustomerId, Account>,
    sweep_queue: VecDeque<CustomerId>,
    entry_count: usize,
    block_lifetime: Duration,
    filling_since: Duration,
}

impl Ledger {
    /// Creates an empty ledger that grants blocks valid for at least `block_lifetime`.
    #[must_use]
    pub fn new(now: Duration, block_lifetime: Duration) -> Self {
        Self {
            accounts: HashMap::new(),
            sweep_queue: VecDeque::new(),
            entry_count: 0,
            block_lifetime,
            filling_since: now,
        }
    }

    /// Records that customers may have a new home. Buckets created from now on
    /// start to fill now instead of being full, since the previous home may have
    /// granted all tokens.
    pub fn homes_changed(&mut self, now: Duration) {
        self.filling_since = now;
    }

    /// Handles an entry's request under the customer's plan.
    pub fn handle_request(
        &mut self,
        now: Duration,
        req: &AllowanceRequest,
        plan: &Plan,
    ) -> Allowance {
        let known = self.accounts.contains_key(req.customer.as_str());
        if self.entry_count >= MAX_ENTRIES || (!known && self.accounts.len() >= MAX_ACCOUNTS) {
            return refusal(req, FULL_RETRY_AFTER_MS);
        }
        let customer = CustomerId::new(&req.customer);
        if !known {
            self.sweep_queue.push_back(customer.clone());
        }
        let (block_lifetime, since) = (self.block_lifetime, self.filling_since);
        let new = || Account::new(now, *plan, block_lifetime, since);
        let account = self.accounts.entry(customer).or_insert_with(new);
        let before = account.entry_count();
        let allowance = account.handle_request(now, req, plan);
        self.entry_count = self.entry_count + account.entry_count() - before;
        allowance
    }

    /// Removes idle accounts, checking a limited number in each call.
    pub fn tick(&mut self, now: Duration) {
        for _ in 0..SWEPT_PER_TICK.min(self.sweep_queue.len()) {
            let Some(customer) = self.sweep_queue.pop_front() else {
                return;
            };
            let last_used = self.accounts.get(&customer).map(Account::last_used);
            if last_used.is_some_and(|used| used + IDLE_TIMEOUT > now) {
                self.sweep_queue.push_back(customer);
            } else if let Some(account) = self.accounts.remove(&customer) {
                self.entry_count -= account.entry_count();
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

/// Creates a reply that grants nothing.
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
        ..Allowance::default()
    }
}
