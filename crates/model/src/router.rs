//! The interface between the simulation and the schedulers: inputs, outputs, and
//! the selection of the simulated fleet or the reference scheduler.

use crate::central_queue::CentralQueue;
use crate::fleet::Fleet;
use crate::upstream::Upstream;
use gate::{Outcome, Ticket};
use node::Event;
use std::time::Duration;

/// Identifier of a request or a call, unique within a run.
pub(crate) type CallId = u64;

/// A request that arrives at a daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Identifier of the request.
    pub(crate) call: CallId,
    /// Index of its class.
    pub(crate) class: usize,
    /// Index of the daemon that it arrives at.
    pub(crate) daemon: usize,
    /// Seed of the random numbers for its work and its calls.
    pub(crate) seed: u64,
    /// Work, in seconds at normal speed; not known to the daemons.
    pub(crate) work: f64,
    /// Time until which a response has its full worth.
    pub(crate) objective: Duration,
    /// Time until which a response has any worth.
    pub(crate) deadline: Duration,
    /// Worth of the caller's request that it belongs to.
    pub(crate) worth: f64,
    /// Index of its customer, if it is a caller's request and customers are told apart.
    pub(crate) customer: Option<usize>,
    /// Depth in the chain of calls; 1 for a caller's request.
    pub(crate) depth: u32,
}

/// An action that a scheduler requests from the simulation.
#[derive(Debug)]
pub(crate) enum Output {
    /// Starts a request at an upstream.
    Run {
        /// Index of the upstream.
        upstream: usize,
        /// Ticket of the run.
        ticket: Ticket,
        /// Identifier of the request.
        call: CallId,
    },
    /// Cancels a request at an upstream.
    Cancel {
        /// Index of the upstream.
        upstream: usize,
        /// Ticket of the run.
        ticket: Ticket,
    },
    /// Sends the final response to a caller.
    Respond {
        /// Identifier of the request.
        call: CallId,
        /// HTTP status.
        status: u16,
        /// Value of the `retry-after` header, if any.
        retry_after: Option<Duration>,
    },
    /// Delivers an event to a daemon at a later time.
    Deliver {
        /// Time of delivery.
        at: Duration,
        /// Index of the daemon.
        daemon: usize,
        /// The event.
        event: Box<Event>,
    },
}

/// The scheduler that a variant uses.
#[derive(Debug)]
pub(crate) enum Router {
    /// The simulated daemons.
    Fleet(Box<Fleet>),
    /// The reference scheduler with one queue for the whole fleet.
    Central(CentralQueue),
}

/// Context of a call to a scheduler: the time, the upstreams, and the outputs.
pub(crate) struct Cx<'a> {
    /// Simulated time.
    pub(crate) now: Duration,
    /// State of all upstreams.
    pub(crate) upstreams: &'a [Upstream],
    /// Requested actions.
    pub(crate) tx: &'a mut Vec<Output>,
}

impl Router {
    /// Handles the arrival of a request.
    pub(crate) fn request_arrived(&mut self, arrival: Arrival, cx: &mut Cx<'_>) {
        match self {
            Self::Fleet(fleet) => fleet.request_arrived(arrival, cx),
            Self::Central(central) => central.request_arrived(arrival),
        }
    }

    /// Handles a caller that has given up.
    pub(crate) fn caller_gone(&mut self, call: CallId, cx: &mut Cx<'_>) {
        match self {
            Self::Fleet(fleet) => fleet.caller_gone(call, cx),
            Self::Central(central) => central.caller_gone(call, cx),
        }
    }

    /// Handles the end of a run at an upstream.
    pub(crate) fn run_ended(
        &mut self,
        upstream: usize,
        ticket: Ticket,
        outcome: Outcome,
        cx: &mut Cx<'_>,
    ) {
        match self {
            Self::Fleet(fleet) => fleet.run_ended(upstream, ticket, outcome, cx),
            Self::Central(central) => central.run_ended(ticket, outcome, cx),
        }
    }

    /// Handles the start of an upstream.
    pub(crate) fn upstream_started(&mut self, upstream: usize, cx: &mut Cx<'_>) {
        if let Self::Fleet(fleet) = self {
            fleet.upstream_started(upstream, cx);
        }
    }

    /// Restarts the daemon beside an upstream.
    pub(crate) fn restart_daemon(&mut self, upstream: usize, cx: &mut Cx<'_>) {
        if let Self::Fleet(fleet) = self {
            fleet.restart_daemon(upstream, cx);
        }
    }

    /// Lets a gate read the load report of its upstream, if one is due.
    pub(crate) fn read_report(&mut self, upstream: usize, cx: &mut Cx<'_>) {
        if let Self::Fleet(fleet) = self {
            fleet.read_report(upstream, cx);
        }
    }

    /// Sets the data centres that operators have taken out of service.
    pub(crate) fn set_out_data_centres(&mut self, data_centres: &[String]) {
        match self {
            Self::Fleet(fleet) => fleet.set_out_data_centres(data_centres),
            Self::Central(central) => central.set_out_data_centres(data_centres),
        }
    }

    /// Handles an event at a daemon.
    pub(crate) fn handle_event(&mut self, daemon: usize, event: Event, cx: &mut Cx<'_>) {
        if let Self::Fleet(fleet) = self {
            fleet.handle_event(daemon, event, cx);
        }
    }

    /// Starts queued requests, after all other events of a moment are handled.
    pub(crate) fn schedule(&mut self, cx: &mut Cx<'_>) {
        if let Self::Central(central) = self {
            central.schedule(cx);
        }
    }

    /// Returns the bytes sent between data centres so far.
    pub(crate) fn gate_refusals(&self) -> u64 {
        match self {
            Self::Fleet(fleet) => fleet.gate_refusals(),
            Self::Central(_) => 0,
        }
    }

    pub(crate) fn far_bytes(&self) -> u64 {
        match self {
            Self::Fleet(fleet) => fleet.far_bytes(),
            Self::Central(_) => 0,
        }
    }
}
