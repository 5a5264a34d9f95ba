//! Final answers that no upstream gave, and when to come back.

use crate::allowance::Denial;
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;
use wire::{RefuseReason, Verdict};

/// How much longer a caller waits when control or a view is missing.
const CONTROL_FACTOR: u32 = 2;

/// Whether a request that gets no upstream's answer was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It was not run.
    NotRun,
    /// It ran to its end.
    Ran,
    /// It runs now, or may have run.
    MayHaveRun,
}

/// Why a request gets no upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The daemon has had no fresh word from control.
    Stale,
    /// The daemon is stopping.
    Stopping,
    /// The customer is on no list.
    UnknownCustomer,
    /// The class is on no list.
    UnknownClass,
    /// No route leads from the request's host and path.
    NoRoute,
    /// The customer's rate is used up.
    PlanRate,
    /// The customer has too many requests in flight.
    PlanInFlight,
    /// The service has no upstream that may take work.
    NoUpstream,
    /// Every slot asked for is taken.
    Overload,
    /// The deadline has passed.
    Deadline,
    /// The request crashes upstreams.
    Convicted,
    /// The request may crash upstreams and runs elsewhere now.
    Suspected,
    /// The class demands an idempotency key.
    KeyRequired,
    /// The key was used for another request.
    KeyReused,
    /// A request with this key already ran.
    AlreadyRan,
    /// A request with this key runs now, or may have run.
    MayHaveRun,
    /// There is no room for another claim.
    ClaimsFull,
    /// No control leader confirmed the claim.
    NoControl,
    /// The answer broke off.
    Broken,
}

/// A final answer that no upstream gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it was run.
    pub run: RunState,
    /// When to come back, if that helps.
    pub retry_after: Option<Duration>,
    /// HTTP status of the first answer, for [`Reason::AlreadyRan`].
    pub status: Option<u16>,
}

/// Why a request is given up, and what is known of when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GiveUp {
    pub(super) reason: Reason,
    /// Earliest time that makes sense, if one is known.
    pub(super) earliest: Duration,
    /// HTTP status of the first answer, for [`Reason::AlreadyRan`].
    pub(super) status: Option<u16>,
}

impl From<Reason> for GiveUp {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            earliest: Duration::ZERO,
            status: None,
        }
    }
}

impl From<Denial> for GiveUp {
    fn from(denial: Denial) -> Self {
        let (reason, earliest) = match denial {
            Denial::UnknownCustomer => (Reason::UnknownCustomer, Duration::ZERO),
            Denial::Rate(after) => (Reason::PlanRate, after),
            Denial::InFlight(after) => (Reason::PlanInFlight, after),
        };
        Self {
            reason,
            earliest,
            status: None,
        }
    }
}

impl GiveUp {
    /// Returns the final answer, its time to come back spread at random so
    /// that callers don't return together.
    pub(super) fn refusal(
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
        let base = base(self.reason, retry_after).map(|base| base.max(self.earliest));
        Refusal {
            reason: self.reason,
            run,
            retry_after: base.map(|base| spread(base, rng)),
            status: self.status,
        }
    }
}

/// Returns the final answer's reason after a gate's refusal.
pub(super) fn reason_of(refused: RefuseReason) -> Reason {
    match refused {
        RefuseReason::NoSlot | RefuseReason::Cold | RefuseReason::Rejected | RefuseReason::Slow => {
            Reason::Overload
        }
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

/// Returns how long a verdict holds at most.
pub(crate) fn verdict_ttl(verdict: Verdict) -> Duration {
    match verdict {
        Verdict::Convicted => Duration::from_secs(600),
        Verdict::Unknown | Verdict::Suspected | Verdict::Acquitted => Duration::from_secs(60),
    }
}

fn base(reason: Reason, retry_after: Duration) -> Option<Duration> {
    match reason {
        Reason::UnknownCustomer
        | Reason::UnknownClass
        | Reason::NoRoute
        | Reason::KeyRequired
        | Reason::KeyReused
        | Reason::AlreadyRan => None,
        Reason::Stale | Reason::NoControl | Reason::ClaimsFull => {
            Some(retry_after * CONTROL_FACTOR)
        }
        Reason::Convicted => Some(verdict_ttl(Verdict::Convicted)),
        Reason::Stopping
        | Reason::PlanRate
        | Reason::PlanInFlight
        | Reason::NoUpstream
        | Reason::Overload
        | Reason::Deadline
        | Reason::Suspected
        | Reason::MayHaveRun
        | Reason::Broken => Some(retry_after),
    }
}

fn spread(base: Duration, rng: &mut SmallRng) -> Duration {
    base + base.mul_f64(rng.random::<f64>())
}
