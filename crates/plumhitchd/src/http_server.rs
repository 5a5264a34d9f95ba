//! HTTP server for the listeners of operators and of the embedding program.

mod call_body;
mod timed_stream;

pub(crate) use call_body::{BodyError, CallBody};

use crate::listeners::{Accepted, Acceptor, Port};
use crate::runtime::Daemon;
use salvo::conn::http1;
use salvo::http::header::{CONNECTION, RETRY_AFTER};
use salvo::http::uri::Scheme;
use salvo::http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use salvo::hyper::service::{Service as HyperService, service_fn};
use salvo::rt::tokio::TokioIo;
use salvo::{Router, Service};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use timed_stream::{Exchange, TimedStream};
use tokio::time::timeout;

/// Name of the header that states how long a connection may be idle.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Maximum length of a head, and of what a connection reads at once, in bytes.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Seconds after which a call that found no memory may be made again.
const RETRY_SECONDS: u64 = 1;

/// Counts a request as being handled until it is dropped.
pub(crate) struct RunningCall {
    daemon: Arc<Daemon>,
}

impl RunningCall {
    pub(crate) fn new(daemon: &Arc<Daemon>) -> Self {
        daemon.running_calls.fetch_add(1, Ordering::AcqRel);
        let daemon = daemon.clone();
        Self { daemon }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.daemon.running_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves the connections of a listener in a task of its own.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(crate) fn serve(daemon: &Arc<Daemon>, acceptor: Acceptor, router: Router) -> io::Result<()> {
    let address = acceptor.address()?;
    let server = Arc::new(Server {
        daemon: daemon.clone(),
        service: Service::new(router),
        address,
    });
    tokio::spawn(async move {
        loop {
            let accepted = acceptor.accept().await;
            let port = acceptor.port().clone();
            tokio::spawn(serve_connection(server.clone(), port, accepted));
        }
    });
    Ok(())
}

/// What the connections of a listener share.
struct Server {
    daemon: Arc<Daemon>,
    service: Service,
    address: SocketAddr,
}

/// Serves a connection until either side closes it, or a graceful stop ends.
async fn serve_connection(server: Arc<Server>, port: Arc<Port>, accepted: Accepted) {
    let Accepted { stream, from, open } = accepted;
    let daemon = &server.daemon;
    let exchange = Arc::new(Exchange::default());
    let stream = TimedStream::new(daemon.clone(), port, stream, exchange.clone());
    let (local, remote) = (server.address.into(), from.into());
    let scheme = Scheme::HTTP;
    let handler = server
        .service
        .hyper_handler(local, remote, scheme, None, None);
    let service = service_fn(|req| {
        exchange.begin();
        let handled = HyperService::call(&handler, req);
        let exchange = exchange.clone();
        let daemon = daemon.clone();
        async move {
            let mut res = handled.await?;
            let has_unread_body = res.headers().contains_key(CONNECTION);
            exchange.end(has_unread_body);
            state_persistence(&daemon, res.headers_mut());
            Ok::<_, salvo::hyper::Error>(res)
        }
    });
    let mut builder = http1::Builder::new();
    // The stream limits the time for heads.
    builder.header_read_timeout(None);
    builder.max_buf_size(MAX_READ_BYTES);
    let mut serving = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = daemon.wait_until_ending() => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(err) = ended {
        log::debug!("event=connection_failed from={from} reason=\"{err}\"");
    }
    drop(open);
}

/// States whether the connection closes after a response, or for how long it may be idle.
fn state_persistence(daemon: &Daemon, headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        return;
    }
    if daemon.is_closing_connections() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        return;
    }
    let seconds = daemon.idle_timeout().as_secs();
    if let Ok(timeout) = HeaderValue::from_str(&format!("timeout={seconds}")) {
        headers.insert(KEEP_ALIVE, timeout);
    }
}

/// Reads a request body within the time limit for bodies and the memory for calls.
///
/// # Errors
///
/// Returns why there is none.
pub(crate) async fn read_body(
    daemon: &Daemon,
    req: &mut Request,
    max_bytes: usize,
) -> Result<CallBody, BodyError> {
    let reading = call_body::read(&daemon.memory.calls, req, max_bytes);
    let read = timeout(daemon.cfg.limits.body_timeout, reading).await;
    read.unwrap_or(Err(BodyError::Late))
}

/// States why a body was not read: the connection closes, since the start of the next request
/// on it is unknown.
pub(crate) fn reject_body(res: &mut Response, err: BodyError) {
    res.status_code(err.status());
    let headers = res.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    if matches!(err, BodyError::NoMemory) {
        headers.insert(RETRY_AFTER, RETRY_SECONDS.into());
    }
}
