//! HTTP server for callers.
//!
//! Each request runs in a task of its own. The task executes the effects that
//! the node's entry role emits for the request, and reports what the attempts
//! at upstreams return.

mod attempt;
mod body;
mod body_buffer;
mod connection;
mod driver;
mod identity_headers;
mod inbound;
mod record;
mod refusal;
mod request;
mod response;
mod unanswered;
mod upload;

use crate::listeners::{Accepted, Acceptor};
use crate::runtime::Daemon;
use node::entry::Effect;
use std::sync::Arc;
use tokio::net::TcpListener;
use wire::RequestId;

/// Serves callers' connections on a listener until no more are accepted.
pub(crate) async fn serve(daemon: Arc<Daemon>, listener: TcpListener) {
    let acceptor = Acceptor::new(listener, daemon.ports.callers.clone());
    loop {
        tokio::select! {
            accepted = acceptor.accept() => serve_connection(&daemon, accepted),
            () = daemon.wait_until_refusing() => break,
        }
    }
    acceptor.accept_established(|accepted| serve_connection(&daemon, accepted));
}

/// Serves a connection in a task of its own.
fn serve_connection(daemon: &Arc<Daemon>, accepted: Accepted) {
    let daemon = daemon.clone();
    tokio::spawn(async move {
        connection::serve(&daemon, accepted.stream).await;
        drop(accepted.open);
    });
}

/// Returns the request that an effect belongs to.
pub(crate) fn request_of(effect: &Effect) -> RequestId {
    match effect {
        Effect::Forward(attempt) => attempt.request,
        Effect::Cancel(id, _)
        | Effect::Relay(id, _)
        | Effect::Refuse(id, _)
        | Effect::Forget(id) => *id,
    }
}
