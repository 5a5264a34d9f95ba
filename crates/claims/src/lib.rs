//! Claims, which make non-idempotent requests run at most once.
//!
//! Before a non-idempotent request is sent to an upstream, its idempotency key
//! is claimed in the replicated log. A repeated request with the same key is
//! refused, or told that the request has already run.
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
