//! HTTP client for the upstream beside this daemon. All requests to the upstream
//! go through this module.
//!
//! Each request that an entry forwards here runs in a task of its own, which
//! waits for admission, dispatches the request to the upstream and returns the
//! response to the entry.

mod body_intake;
mod cancel;
mod exchange;
mod job;
mod load_report;
mod pool;
mod reply_sender;
mod statement;
mod upload_queue;
mod upstream_request;

pub(crate) use body_intake::BodyIntake;
pub(crate) use load_report::poll_load_report;
pub(crate) use pool::Pool;

use crate::links::{Credit, Link, SendProgress, StreamHandle, Window};
use crate::runtime::{Daemon, lock};
use gate::Ticket;
use job::Job;
use node::admission::{Arrival, Effect};
use node::{Event, LinkId, admission};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use wire::{Body, Open, Refuse, RefuseReason};

/// Depth of a request that no other request made.
const FIRST_DEPTH: u32 = 1;

/// Returns the request that an effect belongs to.
pub(crate) fn ticket_of(effect: &Effect) -> Ticket {
    match effect {
        Effect::Receive(ticket)
        | Effect::Cancel(ticket)
        | Effect::Expire(ticket)
        | Effect::Run { ticket, .. }
        | Effect::Refuse { ticket, .. } => *ticket,
    }
}

/// Starts the task of a request that an entry forwarded, or refuses a malformed
/// one.
pub(crate) fn start(daemon: &Arc<Daemon>, link: &Arc<Link>, open: Open) {
    let ticket = daemon.next_id();
    let (tx, rx) = mpsc::unbounded_channel();
    let credit = Arc::new(Credit::default());
    let window = Arc::new(Window::default());
    let stream_handle = StreamHandle {
        tx: tx.clone(),
        attempt: 0,
        credit: credit.clone(),
        window: window.clone(),
        progress: SendProgress::MayRun,
    };
    if !link.insert(open.stream, stream_handle) {
        return;
    }
    let Some(method) = upstream_request::valid_method(&open) else {
        log::warn!("event=request_malformed customer={:?}", open.customer);
        link.remove(open.stream);
        link.send(Body::Refuse(Refuse {
            stream: open.stream,
            reason: RefuseReason::Malformed.into(),
            ..Refuse::default()
        }));
        return;
    };
    lock(&daemon.gate_tasks).insert(ticket, tx);
    if let Some(known) = open.known_restriction {
        daemon.handle_event(Event::Admission(admission::Event::Informed(known)));
    }
    let arrival = arrival(ticket, link.id(), &open);
    let event = match open.hold_body && !open.end {
        true => admission::Event::Offered(arrival),
        false => admission::Event::Arrived(arrival),
    };
    let job = Job::new(
        daemon.clone(),
        link.clone(),
        ticket,
        (rx, credit, window),
        open,
    );
    daemon.handle_event(Event::Admission(event));
    tokio::spawn(job.run(method));
}

fn arrival(ticket: Ticket, link: LinkId, open: &Open) -> Arrival {
    Arrival {
        ticket,
        link,
        believed_slow_percent: open.believed_slow_percent,
        service: open.service.as_str().into(),
        customer: open.customer.as_str().into(),
        class: open.class.as_str().into(),
        deadline: Duration::from_millis(open.deadline_ms),
        fingerprint: open.fingerprint,
        claim: open.claim,
        idempotent: open.idempotent,
        weight: open.weight,
        objective: Some(Duration::from_millis(open.objective_ms)).filter(|o| !o.is_zero()),
        suspected: open.suspected,
        is_call: open.depth > FIRST_DEPTH,
    }
}
