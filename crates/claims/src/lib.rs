//! Claims, which make non-idempotent requests run at most once.
//!
//! Before a non-idempotent request is sent to an upstream, its idempotency key
//! is claimed in the replicated log. While the claim holds, a repeated request
//! with the same key is not run: the response states that the request may have
//! run or has already run.
//!
//! [`Claims`] is a deterministic state machine: it takes the time from the log
//! and the limits from each command, never from the local clock or settings.

mod claims;
mod closed;
mod key;
mod snapshot;

pub use claims::{Claims, Decision, Limits, Settlement};
pub use key::ClaimKey;
pub use snapshot::ClaimsSnapshot;
