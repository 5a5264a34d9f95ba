//! The key under which a claim is stored.

use xxhash_rust::xxh3::Xxh3;

/// Salted 128-bit hash of customer, service and idempotency key. A claim takes
/// the same memory however long a caller's key is.
///
/// A hash collision is safe: the second request is refused instead of run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey {
    pub(crate) high: u64,
    pub(crate) low: u64,
}

impl ClaimKey {
    /// Hashes the parts, each with its length. `salt` is a secret of the cluster,
    /// so that callers can't construct collisions.
    #[must_use]
    pub fn new(salt: u64, customer: &str, service: &str, key: &str) -> Self {
        let mut hasher = Xxh3::with_seed(salt);
        for part in [customer, service, key] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let hash = hasher.digest128();
        Self {
            high: (hash >> u64::BITS) as u64,
            low: hash as u64,
        }
    }
}
