//! What goes into the entry's role and what comes out.

use super::refusal::Refusal;
use compact_str::CompactString;
use std::time::Duration;
use wire::{
    AttemptId, ClassId, CustomerId, Fingerprint, Load, Refuse, RequestId, ServiceId, UpstreamId,
};

/// A request, as a caller sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Number at this daemon, never used twice.
    pub id: RequestId,
    /// Customer on whose plan it runs.
    pub customer: CustomerId,
    /// Service asked for.
    pub service: ServiceId,
    /// Request class, if the caller stated one.
    pub class: Option<ClassId>,
    /// Whether the HTTP method is idempotent by its definition.
    pub safe_method: bool,
    /// What recognises the request when it is sent again.
    pub fingerprint: Fingerprint,
    /// The caller's idempotency key.
    pub key: Option<CompactString>,
    /// Time to answer, if the caller stated it.
    pub deadline: Option<Duration>,
    /// Retries that the call tree may still spend, if a caller above said so.
    pub retry_budget: Option<u32>,
    /// How many calls deep this call is, from 1.
    pub depth: u32,
    /// Host and path, if the route that they take decides service, class and
    /// time; `customer`, `service` and `class` are empty then.
    pub route_key: Option<RouteKey>,
    /// Bytes of the body, as far as they are known.
    pub body_bytes: u64,
    /// Whether the whole body is held, so that it can be sent again.
    pub body_buffered: bool,
}

/// By what a request finds its route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteKey {
    /// Host that the caller asked for.
    pub host: CompactString,
    /// Path, with or without its query.
    pub path: String,
}

/// Something that happened to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller sent it.
    Arrived(Request),
    /// The caller is gone.
    CallerGone(RequestId),
    /// A gate said that it did not run.
    Refused(RequestId, AttemptId, Refuse),
    /// No connection could be made, so nothing was sent.
    NotSent(RequestId, AttemptId),
    /// An answer began, with its HTTP status.
    Answering(RequestId, AttemptId, u16, Option<Load>),
    /// The whole answer has come, with a body of so many bytes.
    Ended(RequestId, AttemptId, u64, Option<Load>),
    /// The answer broke off or the connection was lost: it may have run.
    Broken(RequestId, AttemptId, Option<Load>),
}

/// One attempt at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Upstream.
    pub upstream: UpstreamId,
    /// Peer address of the daemon beside it, `ip:port`.
    pub address: CompactString,
    /// Time left to answer.
    pub deadline: Duration,
    /// Retries that the call tree below may spend.
    pub retry_budget: u32,
    /// Service asked for.
    pub service: ServiceId,
    /// How slow the upstream is believed to be, in hundredths of the usual; 0
    /// when it doesn't tell.
    pub believed_slow_percent: u32,
    /// Class that it runs under.
    pub class: ClassId,
    /// Time left until the answer is late, if there is such a time.
    pub objective: Option<Duration>,
    /// Weight of the class.
    pub weight: u32,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Number of the claim, or 0.
    pub claim: u64,
    /// Whether it was in flight at what may have been a crash, and must run
    /// alone.
    pub suspected: bool,
}

/// Something to do for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Sends the request to a gate.
    Forward(Attempt),
    /// Tells the gate that an attempt's answer is no longer wanted.
    Cancel(RequestId, AttemptId),
    /// Passes an attempt's answer on to the caller.
    Relay(RequestId, AttemptId),
    /// Gives the caller a final answer that no upstream gave.
    Refuse(RequestId, Refusal),
    /// The request is over; its body may be dropped.
    Forget(RequestId),
}
