//! What each customer was served recently, in relation to its share.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::CustomerId;

/// Half-life of what a customer was served.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Fraction of the average that each customer gets before the weight of requests counts.
const FLOOR_RATIO: f64 = 0.25;
/// Maximum number of customers that are tracked.
const MAX_CUSTOMERS: usize = 256;
/// Interval at which customers that were served little are forgotten.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// What a customer was served, in requests, below which it is forgotten.
const MIN_SERVED: f64 = 0.05;

/// Requests served to a customer or to all, decayed over time.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    share: f64,
    requests: f64,
    at: Duration,
}

impl Served {
    fn requests_at(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.requests * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Recently served requests by customer.
#[derive(Debug, Default)]
pub struct CustomerShares {
    served: BTreeMap<CustomerId, Served>,
    total: Served,
    pruned_at: Duration,
}

impl CustomerShares {
    /// Records a request of a customer that got a slot. A customer beyond the
    /// maximum number is not tracked.
    pub fn record_served(&mut self, now: Duration, customer: &str, share: u32) {
        if now.saturating_sub(self.pruned_at) >= PRUNE_INTERVAL {
            self.prune(now);
        }
        let known = self.served.get(customer).copied();
        if known.is_none() && self.served.len() >= MAX_CUSTOMERS {
            return;
        }
        let known = known.unwrap_or_default();
        let served = Served {
            share: f64::from(share.max(1)),
            requests: known.requests_at(now) + 1.0,
            at: now,
        };
        self.total = Served {
            share: self.total.share - known.share + served.share,
            requests: self.total.requests_at(now) + 1.0,
            at: now,
        };
        self.served.insert(customer.into(), served);
    }

    /// Returns what a customer was served for its share, relative to the average of all
    /// that were served recently; 1 if there are no others, or if it cannot be tracked.
    #[must_use]
    pub fn relative(&self, now: Duration, customer: &str, share: u32) -> f64 {
        let own_share = f64::from(share.max(1));
        let total = self.total.requests_at(now);
        let own = self.served.get(customer).copied();
        let is_only_one = own.is_some() && self.served.len() == 1;
        // What a customer that could not be tracked was served is not known.
        let is_untracked = own.is_none() && self.served.len() >= MAX_CUSTOMERS;
        if total <= MIN_SERVED || is_only_one || is_untracked {
            return 1.0;
        }
        let all_shares = match own {
            Some(_) => self.total.share,
            None => self.total.share + own_share,
        };
        let own_requests = own.map_or(0.0, |served| served.requests_at(now));
        (own_requests / own_share) / (total / all_shares)
    }

    /// Returns whether a customer was served less than a quarter of the average.
    #[must_use]
    pub fn is_below_floor(&self, now: Duration, customer: &str, share: u32) -> bool {
        self.relative(now, customer, share) < FLOOR_RATIO
    }

    fn prune(&mut self, now: Duration) {
        self.pruned_at = now;
        self.served
            .retain(|_, served| served.requests_at(now) > MIN_SERVED);
        self.total = Served {
            share: self.served.values().map(|served| served.share).sum(),
            requests: self.served.values().map(|s| s.requests_at(now)).sum(),
            at: now,
        };
    }
}
