//! Pool of idle connections to the upstream beside this daemon.

use crate::runtime::lock;
use bytes::BytesMut;
use http::HeaderMap;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Maximum time for connecting to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept if the upstream sends no
/// `keep-alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Margin by which an idle connection is dropped before the upstream's
/// `keep-alive` timeout, so that no request is sent on a connection that is
/// just closing.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// An open connection to the upstream without a pending request.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) buf: BytesMut,
    /// Whether it has carried a request before.
    pub(crate) reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Pool of the connections to one upstream.
#[derive(Debug)]
pub(crate) struct Pool {
    address: Option<SocketAddr>,
    idle: Mutex<Vec<IdleConnection>>,
}

impl Pool {
    /// Creates an empty pool. `address` is `None` if the daemon has no
    /// upstream.
    pub(crate) fn new(address: Option<SocketAddr>) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Returns an idle connection, or establishes a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream cannot be reached; nothing was sent to
    /// it.
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

    /// Adds a connection to the pool, for as long as the headers of the last
    /// response on it allow.
    pub(crate) fn put(&self, connection: Connection, headers: &HeaderMap) {
        let idle_timeout = advertised_timeout(headers).map_or(DEFAULT_IDLE_TIMEOUT, |t| {
            t.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        if idle_timeout.is_zero() || !connection.buf.is_empty() {
            return;
        }
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection {
                connection,
                expires_at: Instant::now() + idle_timeout,
            });
        }
    }

    /// Returns the most recently used connection that can still be reused.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let now = Instant::now();
        idle.retain(|i| i.expires_at > now);
        while let Some(IdleConnection { mut connection, .. }) = idle.pop() {
            if is_reusable(&connection.stream) {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }
}

/// Returns whether a connection is open and has no bytes to read: surplus bytes
/// after a response belong to no request. The kernel is asked, because the runtime learns
/// of bytes that have just arrived only when it next polls.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut buf = [0; 1];
    let peeked = recv(stream, &mut buf, RecvFlags::PEEK | RecvFlags::DONTWAIT);
    peeked.is_err_and(|err| err == Errno::WOULDBLOCK)
}

/// Returns the idle timeout that the upstream advertises in `keep-alive`.
fn advertised_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let fields = value.split(',').map(str::trim);
    let mut seconds = fields.filter_map(|f| f.strip_prefix("timeout="));
    Some(Duration::from_secs(seconds.next()?.parse().ok()?))
}
