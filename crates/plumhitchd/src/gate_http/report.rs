//! Reads the load report of the upstream beside this daemon.

use super::exchange::{self, Outgoing};
use crate::runtime::Daemon;
use bytes::Bytes;
use gate::LoadReport;
use http::{HeaderMap, Method, StatusCode};
use http1::Framing;
use node::admission::REPORT_READ_COST_BYTES;
use node::{Event, admission};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Time that a reading may take.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Longest report, in bytes; with the headers of both ways it stays within
/// [`REPORT_READ_COST_BYTES`].
const MAX_BODY_BYTES: usize = REPORT_READ_COST_BYTES as usize / 4;

/// What the upstream says; other fields are ignored.
#[derive(Deserialize)]
struct ReportBody {
    in_flight: u32,
    limit: Option<u32>,
}

/// Reads the report over and over, if the upstream has one, as far as the
/// budget for measuring pays for it.
pub(crate) async fn poll(daemon: Arc<Daemon>) {
    let Some(interval) = daemon.cfg.upstream.as_ref().map(|u| u.report_interval) else {
        return;
    };
    loop {
        tokio::time::sleep(interval).await;
        let Some(path) = path(&daemon) else {
            continue;
        };
        if !daemon.may_read_report() {
            continue;
        }
        if let Ok(Some(report)) = timeout(TIMEOUT, read(&daemon, path)).await {
            daemon.dispatch(Event::Admission(admission::Event::Reported(report)));
        }
    }
}

/// Returns where the report is: as the settings say, or where the routing says
/// for the service that the upstream runs.
fn path(daemon: &Daemon) -> Option<String> {
    let configured = daemon.cfg.upstream.as_ref()?.load_path.clone();
    if configured.is_some() {
        return configured;
    }
    daemon.read(|node| {
        let service = &node.admission.announced()?.service;
        let rules = node.agent.config.routing.service(service)?;
        Some(rules.health_path.clone()).filter(|path| path.starts_with('/'))
    })
}

async fn read(daemon: &Arc<Daemon>, path: String) -> Option<LoadReport> {
    let request = Outgoing {
        method: Method::GET,
        target: path,
        headers: HeaderMap::new(),
        framing: Framing::Empty,
        first: Bytes::new(),
        echo: None,
    };
    let sent = exchange::send(daemon.clone(), request, None).await;
    let mut answer = sent
        .inspect_err(|err| log::debug!("event=report_failed reason=\"{err}\""))
        .ok()?;
    let body = answer.short_body(MAX_BODY_BYTES).await.ok()?;
    let ok = answer.status == StatusCode::OK.as_u16();
    let told = of_headers(daemon, &answer.headers);
    answer.finish(daemon).await;
    if told.is_some() {
        return told;
    }
    let body: ReportBody = serde_json::from_slice(&body).ok().filter(|_| ok)?;
    Some(LoadReport {
        in_flight: body.in_flight,
        limit: body.limit,
        cold_remaining: None,
        slow_percent: None,
    })
}

/// Returns what the headers of an answer tell of the upstream's load.
pub(super) fn of_headers(daemon: &Daemon, headers: &HeaderMap) -> Option<LoadReport> {
    let names = &daemon.integration.headers;
    let load = headers.get(names.upstream_load.as_ref()?)?.to_str().ok()?;
    let mut fields = load.split(',').map(|f| f.trim().parse::<u32>().ok());
    let running = fields.next()??;
    let cold = names
        .cold_remaining_ms
        .as_ref()
        .and_then(|name| headers.get(name));
    let cold = cold.and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
    Some(LoadReport {
        in_flight: running,
        limit: None,
        cold_remaining: cold.map(Duration::from_millis),
        slow_percent: fields.nth(2).flatten(),
    })
}
