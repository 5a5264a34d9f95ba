//! Claims whose requests this gate has dispatched to the upstream.

use std::collections::BTreeSet;

/// Maximum number of claims kept.
const MAX_CLAIMS: usize = 100_000;

/// The claims that were dispatched here, so that a frame received twice does
/// not run twice.
///
/// Claim numbers increase. Once the oldest claims are evicted, every claim up
/// to the highest evicted one counts as dispatched.
///
/// A restart loses the record. That is safe because an entry forwards a claim
/// to another gate, or again to this one, only after this gate has reported
/// that it did not run, and frames on a connection of the previous process
/// were lost with it.
#[derive(Debug, Default)]
pub(super) struct DispatchedClaims {
    claims: BTreeSet<u64>,
    highest_evicted: u64,
}

impl DispatchedClaims {
    pub(super) fn contains(&self, claim: u64) -> bool {
        claim <= self.highest_evicted || self.claims.contains(&claim)
    }

    pub(super) fn add(&mut self, claim: u64) {
        self.claims.insert(claim);
        if self.claims.len() > MAX_CLAIMS
            && let Some(oldest) = self.claims.pop_first()
        {
            self.highest_evicted = oldest;
        }
    }

    /// Removes a claim whose request did not run.
    pub(super) fn remove(&mut self, claim: u64) {
        self.claims.remove(&claim);
    }
}
