//! What goes into the gate's role and what comes out.

use crate::event::LinkId;
use gate::{LoadReport, Outcome, Ticket};
use std::time::Duration;
use wire::{
    Announcement, ClassId, CustomerId, Fingerprint, Load, RefuseReason, ServiceId, UpstreamId,
};

/// A request that an entry sent here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Number at this gate, never used twice.
    pub ticket: Ticket,
    /// Connection over which it came.
    pub link: LinkId,
    /// How slow the entry believes the upstream to be, in hundredths of the
    /// usual; 0 when it doesn't choose by that.
    pub believed_slow_percent: u32,
    /// Service asked for.
    pub service: ServiceId,
    /// Customer.
    pub customer: CustomerId,
    /// Request class.
    pub class: ClassId,
    /// Time left to answer.
    pub deadline: Duration,
    /// What recognises the request when it is sent again.
    pub fingerprint: Fingerprint,
    /// Number of the claim, or 0.
    pub claim: u64,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Weight of its class.
    pub weight: u32,
    /// Time left until the answer is late, if there is such a time.
    pub objective: Option<Duration>,
    /// Whether the entry saw it in flight at what may have been a crash.
    pub suspected: bool,
}

/// Something that happened at the upstream beside this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An entry sent a request.
    Arrived(Arrival),
    /// The entry no longer wants the answer.
    Cancelled(Ticket),
    /// The upstream's answer began, with this HTTP status.
    Answering(Ticket, u16),
    /// The upstream has let go of the request.
    Ended(Ticket, Outcome),
    /// The upstream said something of itself.
    Announced(Announcement),
    /// The upstream's load report was read.
    Reported(LoadReport),
}

/// Something to do at the upstream beside this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Hands the request to the upstream.
    Run(Ticket),
    /// Tells the entry that the request was not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: RefuseReason,
        /// The gate's load; all zero when the budget for measuring is used up.
        load: Load,
        /// When to come back.
        retry_after: Duration,
        /// For a suspected request: the only upstream that may run it.
        only_at: Option<UpstreamId>,
    },
    /// Asks the upstream to cancel the request. Its answer is read to the end
    /// all the same: [`Event::Ended`] comes when the upstream has let go.
    Cancel(Ticket),
    /// The deadline passed: tells the entry now, and cancels.
    Expire(Ticket),
}
