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

/// Maximum number of attempts that a connection carries, whose ids are kept with it.
const MAX_ATTEMPTS: usize = 1_024;
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Maximum time for connecting to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept if the upstream sends no
/// `keep-alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for which an idle connection is kept, whatever the upstream advertises.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Margin by which an idle connection is dropped before the upstream's
/// `keep-alive` timeout, so that no request is sent on a connection that is
/// just closing.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// An open connection to the upstream without a pending request.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) buf: BytesMut,
    /// Number of the start of the upstream that it leads to.
    pub(super) start: u64,
    /// Whether it has carried a request before.
    pub(crate) reused: bool,
    /// Hashes of the ids of the attempts that it has carried.
    pub(super) attempts: Vec<AttemptHash>,
}

/// Hash of the id of an attempt.
pub(super) type AttemptHash = u64;

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

    /// Returns an idle connection to a start of the upstream, or establishes a new one.
    /// Idle connections to earlier starts are closed.
    ///
    /// A connection that has carried the same attempt before is not used for it again: a
    /// second copy of the response from then could not be told from the new response.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream cannot be reached; nothing was sent to
    /// it.
    pub(super) async fn take(
        &self,
        start: u64,
        attempt: Option<AttemptHash>,
    ) -> io::Result<Connection> {
        let idle = self.take_idle(start, attempt);
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.connect(start).await?,
        };
        connection.attempts.extend(attempt);
        Ok(connection)
    }

    async fn connect(&self, start: u64) -> io::Result<Connection> {
        let address = self.address.ok_or(io::ErrorKind::AddrNotAvailable)?;
        let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            return Err(io::ErrorKind::TimedOut.into());
        };
        let stream = connected?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            buf: BytesMut::new(),
            start,
            reused: false,
            attempts: Vec::new(),
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
        if connection.attempts.len() >= MAX_ATTEMPTS {
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

    /// Returns the most recently used connection to a start of the upstream that can still be
    /// reused and has not carried the attempt.
    fn take_idle(&self, start: u64, attempt: Option<AttemptHash>) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let now = Instant::now();
        idle.retain(|i| i.expires_at > now && i.connection.start >= start);
        let carried = |i: &IdleConnection| {
            attempt.is_some_and(|attempt| i.connection.attempts.contains(&attempt))
        };
        let is_usable = |i: &IdleConnection| i.connection.start == start && !carried(i);
        while let Some(position) = idle.iter().rposition(is_usable) {
            let IdleConnection { mut connection, .. } = idle.remove(position);
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

/// Returns the idle timeout that the upstream advertises in `keep-alive`, which may be any
/// number, up to [`MAX_IDLE_TIMEOUT`].
fn advertised_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let fields = value.split(',').map(str::trim);
    let mut seconds = fields.filter_map(|f| f.strip_prefix("timeout="));
    let advertised = Duration::from_secs(seconds.next()?.parse().ok()?);
    Some(advertised.min(MAX_IDLE_TIMEOUT))
}
