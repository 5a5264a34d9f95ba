//! Polling of the load report of the upstream beside this daemon.

use super::exchange::{self, Echo, ExchangeError, UpstreamRequest};
use super::statement;
use crate::clock;
use crate::runtime::Daemon;
use bytes::Bytes;
use gate::LoadReport;
use http::{HeaderMap, Method, StatusCode};
use http1::Framing;
use node::admission::REPORT_READ_COST_BYTES;
use node::{Event, admission};
use serde::Deserialize;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time for reading one report.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a report, in bytes: with the headers of request and response
/// it stays within [`REPORT_READ_COST_BYTES`].
const MAX_BODY_BYTES: usize = REPORT_READ_COST_BYTES as usize / 4;

/// JSON body of a load report; other fields are ignored.
#[derive(Deserialize)]
struct ReportBody {
    in_flight: u32,
    limit: Option<u32>,
}

/// Reads the load report at the configured interval, if the upstream has one
/// and the measuring budget allows it.
pub(crate) async fn poll_load_report(daemon: Arc<Daemon>) {
    let Some(interval) = daemon.cfg.upstream.as_ref().map(|u| u.report_interval) else {
        return;
    };
    loop {
        tokio::time::sleep(interval).await;
        let Some(path) = report_path(&daemon) else {
            continue;
        };
        if !daemon.may_read_report() {
            continue;
        }
        if let Ok(Some(report)) = timeout(READ_TIMEOUT, read_report(&daemon, path)).await {
            daemon.handle_event(Event::Admission(admission::Event::Reported(report)));
        }
    }
}

/// Returns the path of the report from the settings, or else the health path
/// from the routing of the service that the upstream announced, or that one before it did.
fn report_path(daemon: &Daemon) -> Option<String> {
    let configured = daemon.cfg.upstream.as_ref()?.load_path.clone();
    if configured.is_some() {
        return configured;
    }
    daemon.read(|node| {
        let routing = &node.agent.config.routing;
        let mut services = node.admission.services_at_address();
        services.find_map(|service| {
            let path = routing.service(service)?.health_path.clone();
            Some(path).filter(|path| path.starts_with('/'))
        })
    })
}

async fn read_report(daemon: &Arc<Daemon>, path: String) -> Option<LoadReport> {
    let names = &daemon.integration.headers;
    let id = names
        .attempt_id
        .clone()
        .or_else(|| names.request_id.clone());
    let echo = id.map_or(Echo::Unchecked, Echo::Absent);
    let start = daemon.read(|node| node.admission.start_number());
    let request = UpstreamRequest {
        start,
        method: Method::GET,
        target: path,
        headers: HeaderMap::new(),
        framing: Framing::Empty,
        body_start: Bytes::new(),
        echo,
    };
    let sent_at = clock::now();
    let sent = exchange::send(daemon.clone(), request, None).await;
    let mut response = sent.inspect_err(|err| handle_failure(daemon, err)).ok()?;
    let target = stated_target(daemon, &response.headers);
    if let Some(target) = target.clone() {
        let answered = admission::Event::Answered { target, sent_at };
        daemon.handle_event(Event::Admission(answered));
    }
    if !daemon.is_upstream_start(start) || !is_announced(daemon, target.as_deref()) {
        log::info!("event=report_ignored reason=\"another upstream has the address\"");
        return None;
    }
    let read = statement::read(&daemon.integration.headers, &response.headers);
    daemon.handle_event(Event::Admission(admission::Event::HealthResponse(read)));
    let body = response.read_small_body(MAX_BODY_BYTES).await.ok()?;
    let ok = response.status == StatusCode::OK.as_u16();
    let header_report = from_headers(daemon, &response.headers);
    response.release(daemon).await;
    if header_report.is_some() {
        return header_report;
    }
    let body: ReportBody = serde_json::from_slice(&body).ok().filter(|_| ok)?;
    Some(LoadReport {
        in_flight: body.in_flight,
        limit: body.limit,
        slow_percent: None,
    })
}

/// Returns the id of the upstream that a health response states.
fn stated_target(daemon: &Daemon, headers: &HeaderMap) -> Option<String> {
    let name = daemon.integration.headers.upstream_id.as_ref()?;
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Returns whether a health response is of the upstream that is announced, as far as it
/// says so: the address may be used by another one since.
fn is_announced(daemon: &Daemon, target: Option<&str>) -> bool {
    daemon.read(|node| {
        let announced = node.admission.announced();
        announced.is_none_or(|a| target.is_none_or(|target| a.target == target))
    })
}

/// Logs why no report was received, and reports an upstream that accepts no
/// connection.
fn handle_failure(daemon: &Arc<Daemon>, err: &ExchangeError) {
    log::debug!("event=report_failed reason=\"{err}\"");
    if matches!(err, ExchangeError::Unreachable(err) if err.kind() == io::ErrorKind::ConnectionRefused)
    {
        daemon.handle_event(Event::Admission(admission::Event::ConnectionRefused));
    }
}

/// Parses the upstream's load from the headers of a response.
pub(super) fn from_headers(daemon: &Daemon, headers: &HeaderMap) -> Option<LoadReport> {
    let names = &daemon.integration.headers;
    let load = headers.get(names.upstream_load.as_ref()?)?.to_str().ok()?;
    let mut fields = load.split(',').map(|f| f.trim().parse::<u32>().ok());
    let in_flight = fields.next()??;
    Some(LoadReport {
        in_flight,
        limit: None,
        slow_percent: fields.nth(2).flatten(),
    })
}
