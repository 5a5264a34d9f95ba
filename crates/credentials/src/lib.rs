//! Credentials of customers.
//!
//! A customer is identified by an API key. Daemons know only salted digests of the keys:
//! the digest of a presented key is looked up in an index, so that the time of a lookup
//! reveals nothing about the keys.

mod digest;
mod index;
mod presented;

pub use digest::{Digest, digest, salt};
pub use index::Index;
pub use presented::{Key, Presented, parse};
