//! Final responses that come from no upstream, and when the caller may retry.

use crate::allowance::Denial;
use crate::verdict::verdict_ttl;
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;
use wire::{RefuseReason, Verdict};

/// Factor on the retry delay while the control plane is unreachable or its
/// claim store is full.
const CONTROL_RETRY_FACTOR: u32 = 2;

/// Whether a request that gets no upstream's response was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It was not run.
    NotRun,
    /// It ran to completion.
    Ran,
    /// It is running, or may have run.
    MayHaveRun,
}

/// Why a request gets no upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The daemon has no fresh confirmation from the control plane.
    Stale,
    /// The daemon is stopping.
    Stopping,
    /// The customer is not configured.
    UnknownCustomer,
    /// The request has no credential that a customer holds, and its route is not open.
    UnknownCredential,
    /// The request needs a credential, and no confirmation of the credentials by the
    /// control plane is recent enough.
    StaleCredentials,
    /// The class is not configured.
    UnknownClass,
    /// No route matches the request's host and path.
    NoRoute,
    /// The customer's rate limit is exhausted.
    PlanRate,
    /// The customer has too many requests in flight.
    PlanInFlight,
    /// The service has no upstream that accepts work.
    NoUpstream,
    /// Every gate that was tried refused for lack of capacity, or no upstream
    /// can respond before the deadline.
    Overload,
    /// The upstreams have got as many requests as they state they take.
    RateLimit,
    /// The deadline has passed.
    Deadline,
    /// The request crashes upstreams.
    Convicted,
    /// The request may crash upstreams and may run only at another upstream
    /// now.
    Suspected,
    /// The class requires an idempotency key.
    KeyRequired,
    /// The key was used for another request.
    KeyReused,
    /// A request with this key has already run.
    AlreadyRan,
    /// A request with this key is running, or may have run.
    MayHaveRun,
    /// The claim store is full.
    ClaimsFull,
    /// No leader of the control plane confirmed the claim.
    NoControl,
    /// The response broke off.
    Broken,
}

/// A final response that comes from no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Whether it was run.
    pub run: RunState,
    /// Delay before a retry, if retrying can help.
    pub retry_after: Option<Duration>,
    /// HTTP status of the first response, for [`Reason::AlreadyRan`].
    pub status: Option<u16>,
}

/// Why a request is refused, and the earliest useful retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RefusalCause {
    pub(super) reason: Reason,
    /// Shortest useful retry delay; zero if unknown.
    pub(super) earliest: Duration,
    /// Whether `earliest` is the delay to state, without a minimum and without jitter.
    pub(super) exact: bool,
    /// HTTP status of the first response, for [`Reason::AlreadyRan`].
    pub(super) status: Option<u16>,
}

impl From<Reason> for RefusalCause {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            earliest: Duration::ZERO,
            exact: false,
            status: None,
        }
    }
}

impl From<Denial> for RefusalCause {
    fn from(denial: Denial) -> Self {
        let (reason, earliest) = match denial {
            Denial::UnknownCustomer => (Reason::UnknownCustomer, Duration::ZERO),
            Denial::Rate(after) | Denial::Limit(after) => (Reason::PlanRate, after),
            Denial::InFlight(after) => (Reason::PlanInFlight, after),
        };
        Self {
            reason,
            earliest,
            exact: matches!(denial, Denial::Limit(_)),
            status: None,
        }
    }
}

impl RefusalCause {
    /// Returns the final response. Its retry delay has random jitter so that
    /// callers do not retry at the same time.
    pub(super) fn into_refusal(
        self,
        run: RunState,
        retry_after: Duration,
        rng: &mut SmallRng,
    ) -> Refusal {
        let run = match self.reason {
            Reason::AlreadyRan => RunState::Ran,
            Reason::MayHaveRun => RunState::MayHaveRun,
            _ => run,
        };
        let base = base_retry_after(self.reason, retry_after).map(|base| base.max(self.earliest));
        let retry_after = match self.exact {
            true => Some(self.earliest),
            false => base.map(|base| with_jitter(base, rng)),
        };
        Refusal {
            reason: self.reason,
            run,
            retry_after,
            status: self.status,
        }
    }
}

/// Returns the reason given to the caller after a gate's refusal.
pub(super) fn refusal_reason(refused: RefuseReason) -> Reason {
    match refused {
        RefuseReason::NoSlot | RefuseReason::Cold | RefuseReason::Rejected | RefuseReason::Slow => {
            Reason::Overload
        }
        RefuseReason::Limited => Reason::RateLimit,
        RefuseReason::Deadline => Reason::Deadline,
        RefuseReason::Suspect => Reason::Suspected,
        RefuseReason::Convicted => Reason::Convicted,
        RefuseReason::Duplicate => Reason::MayHaveRun,
        RefuseReason::Stopping => Reason::Stopping,
        RefuseReason::Stale => Reason::Stale,
        RefuseReason::Unknown
        | RefuseReason::Leaving
        | RefuseReason::Out
        | RefuseReason::NoUpstream
        | RefuseReason::Unreachable
        | RefuseReason::Malformed => Reason::NoUpstream,
    }
}

fn base_retry_after(reason: Reason, retry_after: Duration) -> Option<Duration> {
    match reason {
        Reason::UnknownCustomer
        | Reason::UnknownCredential
        | Reason::UnknownClass
        | Reason::NoRoute
        | Reason::KeyRequired
        | Reason::KeyReused
        | Reason::AlreadyRan => None,
        Reason::Stale | Reason::StaleCredentials | Reason::NoControl | Reason::ClaimsFull => {
            Some(retry_after * CONTROL_RETRY_FACTOR)
        }
        Reason::Convicted => Some(verdict_ttl(Verdict::Convicted)),
        Reason::Stopping
        | Reason::PlanRate
        | Reason::PlanInFlight
        | Reason::NoUpstream
        | Reason::Overload
        | Reason::RateLimit
        | Reason::Deadline
        | Reason::Suspected
        | Reason::MayHaveRun
        | Reason::Broken => Some(retry_after),
    }
}

fn with_jitter(base: Duration, rng: &mut SmallRng) -> Duration {
    base + base.mul_f64(rng.random::<f64>())
}
