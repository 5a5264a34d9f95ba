//! Counts what requests presented as credentials.

use super::refusal::Reason;
use credentials::Presented;

/// Number of requests that arrived while the configuration needed credentials, by how
/// they were identified.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CredentialCounts {
    /// Requests of an identified customer.
    pub identified: u64,
    /// Requests on open routes without a valid key.
    pub anonymous: u64,
    /// Requests refused without a credential.
    pub missing: u64,
    /// Requests refused with a malformed or repeated credential.
    pub malformed: u64,
    /// Requests refused with a key that no customer holds.
    pub unknown: u64,
    /// Requests refused because no confirmation by control within the lease held.
    pub unconfirmed: u64,
}

impl CredentialCounts {
    /// Counts a request that was identified, or that belongs to no customer.
    pub(super) fn record_accepted(&mut self, identified: bool) {
        let count = match identified {
            true => &mut self.identified,
            false => &mut self.anonymous,
        };
        *count += 1;
    }

    /// Counts a request that was refused on its arrival.
    pub(super) fn record_refused(&mut self, presented: &Presented, reason: Reason) {
        let count = match (reason, presented) {
            (Reason::StaleCredentials, _) => &mut self.unconfirmed,
            (Reason::UnknownCredential, Presented::Missing) => &mut self.missing,
            (Reason::UnknownCredential, Presented::Malformed) => &mut self.malformed,
            (Reason::UnknownCredential, Presented::Key(_)) => &mut self.unknown,
            _ => return,
        };
        *count += 1;
    }
}
