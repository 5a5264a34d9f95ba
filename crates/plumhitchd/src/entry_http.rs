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

use crate::runtime::Daemon;
use node::entry::Effect;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use wire::RequestId;

/// Delay before the next `accept` after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers' connections on a listener until no more are accepted.
pub(crate) async fn serve(daemon: Arc<Daemon>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = daemon.wait_until_refusing() => return accept_established(&daemon, listener),
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("event=accept_failed listener=callers reason=\"{err}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        serve_connection(&daemon, stream);
    }
}

/// Accepts the connections that are established already, and closes the listener, which
/// resets those that were not accepted.
fn accept_established(daemon: &Arc<Daemon>, listener: TcpListener) {
    // The runtime may not have learnt of the latest ones, so the kernel is asked.
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(err) => return log::warn!("event=accept_failed listener=callers reason=\"{err}\""),
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        match stream.and_then(TcpStream::from_std) {
            Ok(stream) => serve_connection(daemon, stream),
            Err(err) => log::warn!("event=accept_failed listener=callers reason=\"{err}\""),
        }
    }
}

/// Serves a connection in a task of its own, unless there are too many.
fn serve_connection(daemon: &Arc<Daemon>, stream: TcpStream) {
    let max = daemon.cfg.limits.connections;
    if daemon.caller_connections.load(Ordering::Acquire) >= max {
        log::warn!("event=connection_refused reason=too_many max={max}");
        return;
    }
    let count = ConnectionCount::new(daemon.clone());
    let daemon = daemon.clone();
    tokio::spawn(async move {
        connection::serve(&daemon, stream).await;
        drop(count);
    });
}

/// Counts a caller's connection as open until it is dropped.
struct ConnectionCount {
    daemon: Arc<Daemon>,
}

impl ConnectionCount {
    fn new(daemon: Arc<Daemon>) -> Self {
        daemon.caller_connections.fetch_add(1, Ordering::AcqRel);
        Self { daemon }
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        let open = &self.daemon.caller_connections;
        open.fetch_sub(1, Ordering::AcqRel);
    }
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
