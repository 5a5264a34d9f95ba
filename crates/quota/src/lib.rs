//! Distributed limits on the rate and the concurrency of each customer.
//!
//! Each customer has a home daemon, chosen by rendezvous hashing, whose
//! [`Ledger`] keeps the customer's token bucket. The daemons that receive
//! requests, the entries, keep [`Leases`]: they reserve blocks of requests at the
//! home ahead of need, so that admission is a local decision and never waits for
//! the network.
//!
//! An entry also admits a bounded number of requests without a block, so that the
//! first request of a customer need not wait. It reports them to the home, which
//! takes them out of the bucket later. While the home can't be reached, an entry
//! applies a local limit instead.
//!
//! This holds for limits that plans state. [`RateLeases`] and [`RateLedger`] keep the
//! limits that the routing states: an entry admits no request without a token of the
//! home, and holds a request until the home replies.

mod account;
mod bucket;
mod home_times;
mod lease;
mod leases;
mod ledger;
mod meter;
mod rate_leases;
mod rate_ledger;
mod rendezvous;

pub use bucket::{Bucket, MilliRate, per_second};
pub use home_times::{HomeTimes, NO_PREDECESSOR};
pub use leases::{Leases, LimitExceeded};
pub use ledger::{Ledger, refusal};
pub use rate_leases::{Decision, RateAdmission, RateCounts, RateLeases, RateLimit};
pub use rate_ledger::RateLedger;
pub use rendezvous::home_of;
