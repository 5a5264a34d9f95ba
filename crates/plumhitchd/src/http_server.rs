//! HTTP server for the listeners of operators and of the embedding program.

mod timed_stream;

use crate::listeners::{Accepted, Acceptor, Port};
use crate::runtime::Daemon;
use salvo::conn::http1;
use salvo::http::header::CONNECTION;
use salvo::http::uri::Scheme;
use salvo::http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
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

/// Why a request body is not available.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BodyError {
    /// It did not arrive in time.
    Late,
    /// It is too long, or the connection ended.
    Unreadable,
}

impl BodyError {
    /// Returns the status of the response to the request.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::Unreadable => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

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
            exchange.end();
            state_persistence(&daemon, res.headers_mut());
            Ok::<_, salvo::hyper::Error>(res)
        }
    });
    let mut builder = http1::Builder::new();
    // The stream limits the time for heads.
    builder.header_read_timeout(None);
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
    if daemon.is_closing_connections() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        return;
    }
    let seconds = daemon.idle_timeout().as_secs();
    if let Ok(timeout) = HeaderValue::from_str(&format!("timeout={seconds}")) {
        headers.insert(KEEP_ALIVE, timeout);
    }
}

/// Reads a request body within the time limit for bodies.
///
/// # Errors
///
/// Returns why there is none.
pub(crate) async fn read_body<'a>(
    daemon: &Daemon,
    req: &'a mut Request,
    max_bytes: usize,
) -> Result<&'a [u8], BodyError> {
    let reading = req.payload_with_max_size(max_bytes);
    match timeout(daemon.cfg.limits.body_timeout, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(err)) => {
            log::warn!("event=body_unreadable reason=\"{err}\"");
            Err(BodyError::Unreadable)
        }
        Err(_) => Err(BodyError::Late),
    }
}
