//! Claims of keyed requests, which run at most once.

/// Claims the right to run a non-idempotent request once.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimRequest {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Hash of the request, so that one key can't be used for two requests.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
    /// Claiming daemon.
    #[prost(string, tag = "5")]
    pub daemon: String,
    /// Random number of this attempt to claim; a claim that is resent with the
    /// same number gets the same outcome.
    #[prost(fixed64, tag = "6")]
    pub nonce: u64,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum SettleKind {
    /// Not specified.
    Unknown = 0,
    /// It ran and the complete response arrived.
    Finished = 1,
    /// It did not run, according to every gate that was tried.
    Released = 2,
}

/// Reports how a claimed request ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimSettle {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Number of the claim.
    #[prost(uint64, tag = "4")]
    pub claim: u64,
    /// How it ended.
    #[prost(enumeration = "SettleKind", tag = "5")]
    pub kind: i32,
    /// HTTP status of the response, if it finished.
    #[prost(uint32, tag = "6")]
    pub status: u32,
    /// With `claim` 0 and `Released`: the nonce of an attempt to claim that is
    /// given up because its outcome never arrived.
    #[prost(fixed64, tag = "7")]
    pub nonce: u64,
}

/// The result of a claim or of its settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimDecision {
    /// Not specified.
    Unknown = 0,
    /// The claimant may run the request once.
    Granted = 1,
    /// The request has already completed.
    Ran = 2,
    /// Another attempt holds the claim: the request is running or may have run.
    MayHaveRun = 3,
    /// The key was used for a different request.
    KeyReused = 4,
    /// The maximum number of claims is reached; nothing was claimed.
    Full = 5,
    /// The settlement was recorded.
    Settled = 6,
}

/// Outcome of a claim or of its settlement.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimOutcome {
    /// The result.
    #[prost(enumeration = "ClaimDecision", tag = "1")]
    pub decision: i32,
    /// Number of the claim, higher for each: the log index at which it was
    /// granted, with its position in that entry in the low 16 bits.
    #[prost(uint64, tag = "2")]
    pub claim: u64,
    /// HTTP status of the earlier response, if the request has completed.
    #[prost(uint32, tag = "3")]
    pub status: u32,
}
