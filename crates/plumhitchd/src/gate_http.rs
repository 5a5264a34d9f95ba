//! The only way to the upstream beside this daemon.

mod call;
mod cancel;
mod exchange;
mod job;
mod pool;
mod replies;
mod report;

pub(crate) use pool::Pool;
pub(crate) use report::poll;

use crate::links::{Credit, Link, StreamHandle, Window};
use crate::runtime::{Daemon, lock};
use gate::Ticket;
use job::Job;
use node::admission::{Arrival, Effect};
use node::{Event, LinkId, admission};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use wire::{Body, Open, Refuse, RefuseReason};

/// Returns the request that an effect is for.
pub(crate) fn ticket_of(effect: &Effect) -> Ticket {
    match effect {
        Effect::Run(ticket) | Effect::Cancel(ticket) | Effect::Expire(ticket) => *ticket,
        Effect::Refuse { ticket, .. } => *ticket,
    }
}

/// Takes a request in that an entry sent.
pub(crate) fn start(daemon: &Arc<Daemon>, link: &Arc<Link>, open: Open) {
    let ticket = daemon.next_id();
    let (tx, rx) = mpsc::unbounded_channel();
    let credit = Arc::new(Credit::default());
    let window = Arc::new(Window::default());
    let slot = StreamHandle {
        tx: tx.clone(),
        attempt: 0,
        credit: credit.clone(),
        window: window.clone(),
        sent: true,
    };
    if !link.insert(open.stream, slot) {
        return;
    }
    let Some(method) = call::method(&open) else {
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
    let arrival = arrival(ticket, link.id(), &open);
    let job = Job::new(
        daemon.clone(),
        link.clone(),
        ticket,
        (rx, credit, window),
        open,
    );
    daemon.dispatch(Event::Admission(admission::Event::Arrived(arrival)));
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
    }
}
