//! One request, from its head to its final answer.

use super::answer::{self, Answer};
use super::attempt::Outgoing;
use super::body::BodyRx;
use super::driver::{Driver, Head};
use super::held::{self, Held};
use super::inbound::{self, Inbound};
use super::record::Record;
use super::refusal;
use crate::runtime::{Daemon, lock};
use http1::RequestHead;
use node::entry::{Request as NodeRequest, RunState};
use node::{Event, entry};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Handles a request; returns its final answer.
pub(super) async fn handle(daemon: Arc<Daemon>, head: RequestHead, body: BodyRx) -> Answer {
    let limits = &daemon.cfg.limits;
    let mut record = Record::begin(&daemon);
    let inbound = match inbound::parse(head, &daemon) {
        Ok(inbound) => inbound,
        Err(bad) => {
            record.rejected(bad.reason);
            return refusal::bad_request(&daemon, &bad);
        }
    };
    record.customer = inbound.customer.clone();
    record.service = inbound.service.clone();
    record.class = inbound.class.clone().unwrap_or_default();
    record.attempt_id = inbound.attempt_id.clone();
    let held = match held::hold(body, limits.buffered_body_bytes, daemon.max_body_bytes()).await {
        Ok(held) => held,
        Err(err) => {
            record.upload_failed(err);
            return refusal::upload_error(&daemon, err, RunState::NotRun);
        }
    };
    let mut driver = start(&daemon, inbound, held, record);
    match driver.head().await {
        Head::Answer(head) => answer::upstreams(head, driver),
        Head::Refused(refused) => refusal::refused(&daemon, &refused),
        Head::Upload(err) => refusal::upload_error(&daemon, err, RunState::MayHaveRun),
    }
}

/// Registers a request's task and tells the reducer of the request.
fn start(daemon: &Arc<Daemon>, inbound: Inbound, held: Held, record: Record) -> Driver {
    let id = record.id;
    let (tx, rx) = mpsc::unbounded_channel();
    lock(&daemon.entry_tasks).insert(id, tx.clone());
    let asked = inbound.routed.as_ref().map(|routed| routed.host.as_str());
    let fingerprint = wire::fingerprint(
        &inbound.customer,
        asked.unwrap_or(&inbound.service),
        inbound.method.as_str(),
        &inbound.path,
        held.prefix(daemon.cfg.limits.buffered_body_bytes),
        inbound.body_len,
    );
    let request = NodeRequest {
        id,
        customer: inbound.customer.clone(),
        service: inbound.service.clone(),
        class: inbound.class.clone(),
        safe_method: inbound.method.is_idempotent(),
        fingerprint,
        key: inbound.key.clone(),
        deadline: inbound.deadline,
        retry_budget: inbound.retry_budget,
        depth: inbound.depth,
        route_key: inbound.routed.clone(),
        body_bytes: inbound.body_len.unwrap_or(held.first.len() as u64),
        body_buffered: held.rest.is_none(),
    };
    let outgoing = Outgoing::new(inbound, held.first, fingerprint, request.body_buffered);
    let driver = Driver::new(daemon.clone(), record, (tx, rx), outgoing, held.rest);
    daemon.dispatch(Event::Entry(entry::Event::Arrived(request)));
    driver.arrived();
    driver
}
