//! One caller's request, from its head to its final response.

use super::attempt::OutgoingRequest;
use super::body::BodyRx;
use super::body_buffer::{BufferedBody, buffer_body};
use super::driver::{Driver, FinalHead};
use super::inbound::{self, Inbound};
use super::record::RequestRecord;
use super::refusal;
use super::response::{self, Response};
use crate::runtime::{Daemon, lock};
use http1::RequestHead;
use node::entry::{Reason, Refusal, Request as NodeRequest, RunState};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Handles a request and returns its final response.
pub(super) async fn handle(daemon: Arc<Daemon>, head: RequestHead, body: BodyRx) -> Response {
    let limits = &daemon.cfg.limits;
    let mut record = RequestRecord::begin(&daemon);
    let inbound = match inbound::parse(head, &daemon) {
        Ok(inbound) => inbound,
        Err(bad) => {
            record.mark_rejected(bad.reason);
            return refusal::bad_request(&daemon, &bad);
        }
    };
    record.customer = inbound.customer.clone();
    record.service = inbound.service.clone();
    record.class = inbound.class.clone().unwrap_or_default();
    record.attempt_id = inbound.attempt_id.clone();
    if daemon.read(|node| node.entry.is_stopping()) {
        return refuse_stopping(&daemon, &mut record);
    }
    let share = &daemon.memory.requests;
    let max_buffered = limits.buffered_body_bytes;
    let buffered = tokio::select! {
        biased;
        buffered = buffer_body(share, body, max_buffered, daemon.max_body_bytes()) => buffered,
        () = daemon.wait_until_ending() => return refuse_stopping(&daemon, &mut record),
    };
    let body = match buffered {
        Ok(body) => body,
        Err(err) => {
            record.mark_upload_failed(err);
            return refusal::upload_error(&daemon, err, RunState::NotRun);
        }
    };
    let mut driver = start(&daemon, inbound, body, record);
    match driver.response_head().await {
        FinalHead::Response(head) => response::from_upstream(head, driver),
        FinalHead::Refused(refusal) => refusal::from_refusal(&daemon, &refusal),
        FinalHead::UploadFailed(err) => refusal::upload_error(&daemon, err, RunState::MayHaveRun),
    }
}

/// Refuses a request during a stop without waiting for the rest of its body.
fn refuse_stopping(daemon: &Daemon, record: &mut RequestRecord) -> Response {
    let refusal = Refusal {
        reason: Reason::Stopping,
        run: RunState::NotRun,
        retry_after: Some(daemon.cfg.routing.retry_after),
        status: None,
    };
    record.mark_refused(&refusal);
    refusal::from_refusal(daemon, &refusal)
}

/// Registers the request's task and passes the request to the reducer.
fn start(
    daemon: &Arc<Daemon>,
    inbound: Inbound,
    body: BufferedBody,
    mut record: RequestRecord,
) -> Driver {
    let id = record.id;
    let (tx, rx) = mpsc::unbounded_channel();
    lock(&daemon.entry_tasks).insert(id, tx.clone());
    let route_key = inbound.route_key.as_ref();
    let host = route_key.map(|key| conf::normalise_host(&key.host));
    let fingerprint = wire::fingerprint(
        &inbound.customer,
        host.as_ref().unwrap_or(&inbound.service),
        inbound.method.as_str(),
        &inbound.path,
        body.prefix(daemon.cfg.limits.buffered_body_bytes),
        body.complete_len(),
    );
    record.fingerprint = fingerprint;
    let request = NodeRequest {
        id,
        customer: inbound.customer.clone(),
        credential: inbound.credential.clone(),
        service: inbound.service.clone(),
        class: inbound.class.clone(),
        safe_method: inbound.method.is_idempotent(),
        fingerprint,
        key: inbound.idempotency_key.clone(),
        deadline: inbound.deadline,
        retry_budget: inbound.retry_budget,
        depth: inbound.depth,
        route_key: inbound.route_key.clone(),
        body_bytes: inbound.body_len.unwrap_or(body.start.len() as u64),
        body_buffered: body.rest.is_none(),
        received_at: record.received_at,
    };
    let outgoing = OutgoingRequest::new(
        inbound,
        (body.start, body.held),
        fingerprint,
        request.body_buffered,
    );
    let mut driver = Driver::new(daemon.clone(), record, (tx, rx), outgoing, body.rest);
    let basis = daemon.handle_arrival(request);
    driver.set_basis(basis);
    driver
}
