//! Cancellation of requests at the upstream.

use super::exchange::{self, Echo, UpstreamRequest};
use crate::runtime::Daemon;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use http1::Framing;
use std::sync::Arc;

/// Sends the id of a cancelled request to the cancellation path of the start of the upstream
/// that has the request.
pub(super) async fn post(daemon: Arc<Daemon>, path: String, id: String, start: u64) {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&id).ok();
    let echo = daemon.integration.headers.request_id.clone().zip(value);
    headers.extend(echo.clone());
    let request = UpstreamRequest {
        start,
        method: Method::POST,
        target: path,
        headers,
        framing: Framing::Empty,
        body_start: Bytes::new(),
        echo: echo.map_or(Echo::Unchecked, |(name, id)| Echo::IfPresent(name, id)),
    };
    let sent = exchange::send(daemon.clone(), request, None).await;
    match sent {
        Ok(response) => response.drain_and_release(&daemon).await,
        Err(err) => log::warn!("event=cancel_failed id={id} reason=\"{err}\""),
    }
}
