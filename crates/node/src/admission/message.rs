//! Events that the gate handles, and the effects that it returns.

use super::statements::ReadStatement;
use crate::event::LinkId;
use gate::{LoadReport, Outcome, Ticket};
use std::time::Duration;
use wire::{
    Announcement, ClassId, CustomerId, Fingerprint, Load, RefuseReason, Restriction, ServiceId,
    UpstreamId,
};

/// A request that an entry forwarded to this gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Number at this gate, never reused.
    pub ticket: Ticket,
    /// Connection on which it arrived.
    pub link: LinkId,
    /// Slowness that the entry assumed when it chose this upstream, in percent
    /// of the normal service time; 0 if it did not choose by slowness.
    pub believed_slow_percent: u32,
    /// Requested service.
    pub service: ServiceId,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Request class.
    pub class: ClassId,
    /// Time left until the deadline.
    pub deadline: Duration,
    /// Hash that identifies the request when it is sent again.
    pub fingerprint: Fingerprint,
    /// Claim number, or 0 without a claim.
    pub claim: u64,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Weight of its class.
    pub weight: u32,
    /// Time left until the latency objective is missed, if there is one.
    pub objective: Option<Duration>,
    /// Whether the entry saw it in flight at a possible crash.
    pub suspected: bool,
    /// Whether a request that runs elsewhere made it and waits for it.
    pub is_call: bool,
}

/// A start of an upstream that holds the address beside this daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStart {
    /// Number at this gate, which increases with each start and change of the service; 0
    /// before the first announcement.
    pub number: u64,
    /// Id of the upstream.
    pub target: String,
}

/// An event at the upstream beside this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An entry offers a request whose body it sends once the gate asks for it.
    Offered(Arrival),
    /// An entry that is about to send a request reports what it knows of the upstream.
    Informed(Restriction),
    /// A request arrived completely from an entry.
    Arrived(Arrival),
    /// The entry cancelled the request.
    Cancelled(Ticket),
    /// The head of the upstream's response arrived, and states this.
    ResponseStarted(Ticket, ReadStatement),
    /// The head of the response to a health request arrived, and states this.
    HealthResponse(ReadStatement),
    /// The upstream has finished the request, with this outcome.
    Ended(Ticket, Outcome),
    /// The upstream announced its state.
    Announced(Announcement),
    /// A load report of the upstream was read.
    Reported(LoadReport),
    /// A response to a health request names the upstream that answers at the address.
    Answered {
        /// Its id.
        target: String,
        /// When the request was sent.
        sent_at: Duration,
    },
    /// The upstream refused a connection for a load report.
    ConnectionRefused,
}

/// An action at the upstream beside this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Asks the entry for the body of an offered request. [`Event::Arrived`] follows
    /// when it is complete.
    Receive(Ticket),
    /// Sends the request to this start of the upstream, and to no later one.
    Run {
        /// The request.
        ticket: Ticket,
        /// The start that holds the address.
        start: UpstreamStart,
    },
    /// Reports to the entry that the request was not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Reason of the refusal.
        reason: RefuseReason,
        /// The gate's load; all zero if the measuring budget is used up.
        load: Load,
        /// Delay before the request may be sent again.
        retry_after: Duration,
        /// Time for which the entry should send no request that ranks no higher.
        pause: Duration,
        /// For a suspected request: the only upstream that may run it.
        only_at: Option<UpstreamId>,
    },
    /// Asks the upstream to cancel the request. The response is still read to
    /// its end: [`Event::Ended`] follows when the upstream has finished.
    Cancel(Ticket),
    /// The deadline has passed: reports this to the entry immediately and
    /// cancels the request.
    Expire(Ticket),
}
