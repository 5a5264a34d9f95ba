//! What decides about requests, and what the model and it tell each other.

use crate::central::Central;
use crate::fleet::Fleet;
use crate::upstream::Upstream;
use gate::{Outcome, Ticket};
use node::Event;
use std::time::Duration;

/// Number of a request or a call, never used twice in a run.
pub(crate) type CallId = u64;

/// A request that comes in somewhere.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Its number.
    pub(crate) call: CallId,
    /// Number of its class.
    pub(crate) class: usize,
    /// Number of the daemon where it comes in.
    pub(crate) daemon: usize,
    /// Where the random numbers of its calls begin.
    pub(crate) seed: u64,
    /// Work, in seconds at the usual pace; the daemons aren't told.
    pub(crate) work: f64,
    /// When its answer stops having its full worth.
    pub(crate) objective: Duration,
    /// When its answer stops having any.
    pub(crate) deadline: Duration,
    /// Worth of the request that it serves.
    pub(crate) worth: f64,
    /// How many calls deep it is, from 1.
    pub(crate) depth: u32,
}

/// What is to be done.
#[derive(Debug)]
pub(crate) enum Output {
    /// An upstream gets a request.
    Run {
        /// Number of the upstream.
        upstream: usize,
        /// Number of the run.
        ticket: Ticket,
        /// What runs.
        call: CallId,
    },
    /// An upstream is asked to let go of a request.
    Cancel {
        /// Number of the upstream.
        upstream: usize,
        /// Number of the run.
        ticket: Ticket,
    },
    /// A caller gets its final answer.
    Answer {
        /// What is answered.
        call: CallId,
        /// HTTP status.
        status: u16,
        /// When to come back, if it was told.
        retry_after: Option<Duration>,
    },
    /// Something happens at a daemon later.
    Deliver {
        /// When.
        at: Duration,
        /// Number of the daemon.
        daemon: usize,
        /// What.
        event: Box<Event>,
    },
}

/// What decides about requests.
#[derive(Debug)]
pub(crate) enum Router {
    /// The product's daemons.
    Fleet(Box<Fleet>),
    /// A queue for the whole fleet that knows everything.
    Central(Central),
}

/// The time, the upstreams, and where outputs go.
pub(crate) struct Cx<'a> {
    /// Time of the model.
    pub(crate) now: Duration,
    /// The upstreams.
    pub(crate) upstreams: &'a [Upstream],
    /// What is to be done.
    pub(crate) tx: &'a mut Vec<Output>,
}

impl Router {
    /// A request comes in.
    pub(crate) fn arrived(&mut self, arrival: Arrival, cx: &mut Cx<'_>) {
        match self {
            Self::Fleet(fleet) => fleet.arrived(arrival, cx),
            Self::Central(central) => central.arrived(arrival),
        }
    }

    /// A caller is gone.
    pub(crate) fn gone(&mut self, call: CallId, cx: &mut Cx<'_>) {
        match self {
            Self::Fleet(fleet) => fleet.gone(call, cx),
            Self::Central(central) => central.gone(call, cx),
        }
    }

    /// An upstream has let go of a request.
    pub(crate) fn ended(
        &mut self,
        upstream: usize,
        ticket: Ticket,
        outcome: Outcome,
        cx: &mut Cx<'_>,
    ) {
        match self {
            Self::Fleet(fleet) => fleet.ended(upstream, ticket, outcome, cx),
            Self::Central(central) => central.ended(ticket, outcome, cx),
        }
    }

    /// An upstream has started.
    pub(crate) fn started(&mut self, upstream: usize, cx: &mut Cx<'_>) {
        if let Self::Fleet(fleet) = self {
            fleet.started(upstream, cx);
        }
    }

    /// A gate may read what the upstream beside it says.
    pub(crate) fn read_report(&mut self, upstream: usize, cx: &mut Cx<'_>) {
        if let Self::Fleet(fleet) = self {
            fleet.read_report(upstream, cx);
        }
    }

    /// Operators have taken data centres out, or returned them.
    pub(crate) fn out(&mut self, data_centres: &[String]) {
        match self {
            Self::Fleet(fleet) => fleet.out(data_centres),
            Self::Central(central) => central.out(data_centres),
        }
    }

    /// Something happens at a daemon.
    pub(crate) fn event(&mut self, daemon: usize, event: Event, cx: &mut Cx<'_>) {
        if let Self::Fleet(fleet) = self {
            fleet.event(daemon, event, cx);
        }
    }

    /// Decides what can be decided now, after everything else that happens at
    /// a moment.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_>) {
        if let Self::Central(central) = self {
            central.settle(cx);
        }
    }

    /// Returns the bytes that went to other data centres so far.
    pub(crate) fn far_bytes(&self) -> u64 {
        match self {
            Self::Fleet(fleet) => fleet.far_bytes(),
            Self::Central(_) => 0,
        }
    }
}
