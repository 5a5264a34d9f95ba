//! Customers' limits over the whole fleet.
//!
//! Each customer has a home daemon, found by rendezvous hashing, whose
//! [`Ledger`] keeps the customer's token bucket. Entries hold [`Leases`]:
//! blocks of requests that they asked the home for, ahead of need, so that
//! admission is a local count and never waits for the network. What an entry
//! admits without a block, at the first request of a customer or while the
//! home can't be reached, is bounded, and is reported and taken out of the
//! bucket later.

mod account;
mod bucket;
mod lease;
mod leases;
mod ledger;
mod meter;
mod rendezvous;

pub use bucket::{Bucket, MilliRate, per_second};
pub use leases::{Leases, LimitExceeded};
pub use ledger::{Ledger, refusal};
pub use rendezvous::home_of;
