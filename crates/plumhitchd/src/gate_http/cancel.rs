//! Asks the upstream to cancel a request.

use super::exchange::{self, Outgoing};
use crate::runtime::Daemon;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use http1::Framing;
use std::sync::Arc;

/// Posts the id of a cancelled request to the upstream's path for it.
pub(super) async fn post(daemon: Arc<Daemon>, path: String, id: String) {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&id).ok();
    headers.extend(daemon.integration.headers.request_id.clone().zip(value));
    let request = Outgoing {
        method: Method::POST,
        target: path,
        headers,
        framing: Framing::Empty,
        first: Bytes::new(),
        echo: None,
    };
    let asked = exchange::send(daemon.clone(), request, None).await;
    match asked {
        Ok(answer) => answer.finish_short(&daemon).await,
        Err(err) => log::warn!("event=cancel_failed id={id} reason=\"{err}\""),
    }
}
