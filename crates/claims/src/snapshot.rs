//! Encoding of the claims in a snapshot of the replicated log.

use crate::claims::{Claim, Claims};
use crate::closed::ClosedNonces;
use crate::key::ClaimKey;

/// All claims in the format of a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimsSnapshot {
    #[prost(uint64, tag = "1")]
    time_ms: u64,
    #[prost(message, repeated, tag = "2")]
    claims: Vec<ClaimRecord>,
    #[prost(fixed64, repeated, tag = "3")]
    closed_nonces: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ClaimRecord {
    #[prost(fixed64, tag = "1")]
    key_high: u64,
    #[prost(fixed64, tag = "2")]
    key_low: u64,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(fixed64, tag = "4")]
    fingerprint: u64,
    #[prost(fixed64, tag = "5")]
    nonce: u64,
    #[prost(uint64, tag = "6")]
    at_ms: u64,
    #[prost(uint32, optional, tag = "7")]
    status: Option<u32>,
}

impl Claims {
    /// Encodes the claims for a snapshot.
    #[must_use]
    pub fn snapshot(&self) -> ClaimsSnapshot {
        let records = self.iter().map(|(key, claim)| ClaimRecord {
            key_high: key.high,
            key_low: key.low,
            number: claim.number,
            fingerprint: claim.fingerprint,
            nonce: claim.nonce,
            at_ms: claim.at_ms,
            status: claim.status.map(u32::from),
        });
        ClaimsSnapshot {
            time_ms: self.time_ms(),
            claims: records.collect(),
            closed_nonces: self.closed().iter().collect(),
        }
    }

    /// Restores the claims from a snapshot.
    #[must_use]
    pub fn restore(snapshot: &ClaimsSnapshot) -> Self {
        let mut closed = ClosedNonces::default();
        snapshot
            .closed_nonces
            .iter()
            .for_each(|n| closed.insert(*n));
        let mut claims = Self::without_claims(snapshot.time_ms, closed);
        for record in &snapshot.claims {
            let claim = Claim {
                number: record.number,
                fingerprint: record.fingerprint,
                nonce: record.nonce,
                at_ms: record.at_ms,
                status: record.status.and_then(|s| u16::try_from(s).ok()),
            };
            let key = ClaimKey {
                high: record.key_high,
                low: record.key_low,
            };
            claims.insert(key, claim);
        }
        claims
    }
}
