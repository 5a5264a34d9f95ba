//! Connections to the upstream beside this daemon.

use crate::runtime::lock;
use bytes::BytesMut;
use http::HeaderMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Idle connections that are kept.
const MAX_IDLE: usize = 64;
/// Time that connecting to the upstream may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that an idle connection is kept when the upstream doesn't say.
const DEFAULT_KEPT: Duration = Duration::from_secs(5);
/// Time before the upstream closes an idle connection from which on it is not
/// used any more.
const KEPT_MARGIN: Duration = Duration::from_secs(1);

/// An open connection to the upstream, with nothing under way on it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) buf: BytesMut,
    /// Whether it carried another request before.
    pub(crate) reused: bool,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The connections to one upstream.
#[derive(Debug)]
pub(crate) struct Pool {
    address: Option<SocketAddr>,
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// Creates a pool without connections; without an address there is no
    /// upstream.
    pub(crate) fn new(address: Option<SocketAddr>) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Returns an idle connection, or makes one.
    ///
    /// # Errors
    ///
    /// Returns why the upstream can't be reached; nothing was sent to it.
    pub(crate) async fn take(&self) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let address = self.address.ok_or(io::ErrorKind::AddrNotAvailable)?;
        let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            return Err(io::ErrorKind::TimedOut.into());
        };
        let stream = connected?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            buf: BytesMut::new(),
            reused: false,
        })
    }

    /// Keeps a connection for another request, for as long as the answer that
    /// came over it says.
    pub(crate) fn put(&self, connection: Connection, headers: &HeaderMap) {
        let kept = stated_time(headers).map_or(DEFAULT_KEPT, |t| t.saturating_sub(KEPT_MARGIN));
        if kept.is_zero() || !connection.buf.is_empty() {
            return;
        }
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE {
            idle.push(Idle {
                connection,
                until: Instant::now() + kept,
            });
        }
    }

    /// Returns the connection that was used last, if it is still good.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let now = Instant::now();
        idle.retain(|i| i.until > now);
        while let Some(Idle { mut connection, .. }) = idle.pop() {
            if is_quiet(&connection.stream) {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }
}

/// Returns whether a connection is open with nothing to be read: bytes that
/// come after an answer belong to no request.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut buf = [0; 1];
    match stream.try_read(&mut buf) {
        Err(err) => err.kind() == io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

/// Returns how long the upstream says that it keeps an idle connection.
fn stated_time(headers: &HeaderMap) -> Option<Duration> {
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    let fields = stated.split(',').map(str::trim);
    let mut seconds = fields.filter_map(|f| f.strip_prefix("timeout="));
    Some(Duration::from_secs(seconds.next()?.parse().ok()?))
}
