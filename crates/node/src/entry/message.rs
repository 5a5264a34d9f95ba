//! Events that the entry handles, and the effects that it returns.

use super::refusal::Refusal;
use compact_str::CompactString;
use credentials::Presented;
use std::time::Duration;
use wire::{
    AttemptId, ClassId, CustomerId, Fingerprint, Load, Refuse, RequestId, Restriction, ServiceId,
    UpstreamId,
};

/// A request as a caller sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Number at this daemon, never reused.
    pub id: RequestId,
    /// Customer whose plan applies.
    pub customer: CustomerId,
    /// What the caller presented as its credential. Where the route decides, the customer
    /// is identified by it.
    pub credential: Presented,
    /// Requested service.
    pub service: ServiceId,
    /// Request class, if the caller stated one.
    pub class: Option<ClassId>,
    /// Whether the HTTP method is defined as idempotent.
    pub safe_method: bool,
    /// Hash that identifies the request when it is sent again.
    pub fingerprint: Fingerprint,
    /// The caller's idempotency key.
    pub key: Option<CompactString>,
    /// Time until the deadline, if the caller stated one.
    pub deadline: Option<Duration>,
    /// Retries left to the call tree, if a caller further up stated them.
    pub retry_budget: Option<u32>,
    /// Depth of this call in the call tree, from 1.
    pub depth: u32,
    /// Host and path, if the route decides service, class and deadline;
    /// `customer`, `service` and `class` are empty then.
    pub route_key: Option<RouteKey>,
    /// Bytes of the body, as far as known.
    pub body_bytes: u64,
    /// Whether the complete body is buffered, so that it can be sent again.
    pub body_buffered: bool,
    /// Time since the VM booted at which its head was received.
    pub received_at: Duration,
}

/// What a request's route is looked up by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteKey {
    /// Requested host.
    pub host: CompactString,
    /// Path, with or without its query.
    pub path: String,
}

/// An event of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The request arrived from a caller.
    Arrived(Request),
    /// The caller disconnected.
    CallerGone(RequestId),
    /// A gate reported that it did not run the request.
    Refused(RequestId, AttemptId, Refuse),
    /// A gate reported, with a refusal or the beginning of a response, what its upstream
    /// states about itself. The refusal or response follows.
    Restricted(RequestId, AttemptId, Restriction),
    /// No connection could be made, so nothing was sent.
    NotSent(RequestId, AttemptId),
    /// A response started, with this HTTP status.
    ResponseStarted(RequestId, AttemptId, u16, Option<Load>),
    /// The response is complete, with this number of body bytes.
    Ended(RequestId, AttemptId, u64, Option<Load>),
    /// The gate does not respond. It may have run the request and may still reply.
    Silent(RequestId, AttemptId),
    /// The response broke off or the connection was lost: the request may have
    /// run.
    Broken(RequestId, AttemptId, Option<Load>),
}

/// One attempt at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Target upstream.
    pub upstream: UpstreamId,
    /// Peer address of the daemon beside it, `ip:port`.
    pub address: CompactString,
    /// Time left until the deadline.
    pub deadline: Duration,
    /// Retries that the call tree below may spend.
    pub retry_budget: u32,
    /// Requested service.
    pub service: ServiceId,
    /// Where the configuration needs credentials, what replaces the credential.
    pub sender: Option<Box<Sender>>,
    /// Slowness that the entry assumed for the upstream, in percent of the
    /// normal service time; 0 if the entry states none.
    pub believed_slow_percent: u32,
    /// Request class.
    pub class: ClassId,
    /// Time left until the latency objective is missed, if there is one.
    pub objective: Option<Duration>,
    /// Weight of the class.
    pub weight: u32,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Claim number, or 0 without a claim.
    pub claim: u64,
    /// Whether it was in flight at a possible crash and must run exclusively.
    pub suspected: bool,
    /// What the upstream stated about itself in earlier responses.
    pub known_restriction: Option<Restriction>,
}

/// What replaces the credential of a request, which is not forwarded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sender {
    /// Customer that the upstream is told; empty if there is none.
    pub customer: CustomerId,
    /// Time since the VM booted until which the attempt may be sent, if it is limited
    /// beyond the deadline.
    pub send_until: Option<Duration>,
}

/// An action for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Sends the request to a gate.
    Forward(Attempt),
    /// Cancels an attempt at its gate, because its response is no longer needed.
    Cancel(RequestId, AttemptId),
    /// Passes an attempt's response on to the caller.
    Relay(RequestId, AttemptId),
    /// Sends the caller a final response that comes from no upstream.
    Refuse(RequestId, Refusal),
    /// The request is complete; its body may be dropped.
    Forget(RequestId),
}
