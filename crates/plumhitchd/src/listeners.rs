//! Listens on the daemon's addresses, waits for those that are in use, and accepts
//! connections within the limits of each listener.

mod acceptor;
mod budget;
mod port;

pub(crate) use acceptor::{Accepted, Acceptor};
pub(crate) use port::{Port, Ports};

use rustix::net::sockopt::{
    set_socket_keepalive, set_tcp_keepidle, set_tcp_keepintvl, set_tcp_user_timeout,
};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections waiting to be accepted on a listener.
const BACKLOG: u32 = 1024;
/// Interval between attempts to listen on an address that is not available.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Idle time before the first keepalive probe of a connection, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// `TCP_USER_TIMEOUT`: time after which a connection is dropped whose client acknowledges
/// neither probes nor data, or has no room for a response.
const USER_TIMEOUT_MS: u32 = 30_000;

/// Listens on an address as soon as it is available. Without a deadline it waits for as
/// long as the address is in use.
///
/// # Errors
///
/// Returns an error if the address is not available at the deadline, or if waiting does
/// not help.
pub(crate) async fn listen(
    address: SocketAddr,
    deadline: Option<Instant>,
) -> io::Result<TcpListener> {
    let started = Instant::now();
    let mut is_waiting = false;
    loop {
        let err = match try_listen(address) {
            Ok(listener) => {
                if is_waiting {
                    let ms = started.elapsed().as_millis();
                    log::info!("event=listener_available address={address} waited_ms={ms}");
                }
                return Ok(listener);
            }
            Err(err) => err,
        };
        let is_late = deadline.is_some_and(|at| Instant::now() >= at);
        if is_late || !may_become_available(&err) {
            return Err(err);
        }
        if !is_waiting {
            let ms = RETRY_INTERVAL.as_millis();
            log::warn!("event=listener_unavailable retry_ms={ms} reason=\"{err}\"");
        }
        is_waiting = true;
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Listens on an address. Accepted connections inherit the options of the listener.
fn try_listen(address: SocketAddr) -> io::Result<TcpListener> {
    let with_address =
        |err: io::Error| io::Error::new(err.kind(), format!("cannot listen on {address}: {err}"));
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4(),
        false => TcpSocket::new_v6(),
    };
    let socket = socket.map_err(with_address)?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    if let Err(err) = detect_silent_clients(&socket) {
        log::warn!("event=socket_option_refused reason=\"{err}\"");
    }
    socket.bind(address).map_err(with_address)?;
    socket.listen(BACKLOG).map_err(with_address)
}

/// Lets connections be dropped whose clients have gone without closing them.
///
/// # Errors
///
/// Returns the error of the first option that could not be set.
fn detect_silent_clients(socket: &TcpSocket) -> io::Result<()> {
    set_socket_keepalive(socket, true)?;
    set_tcp_keepidle(socket, KEEPALIVE_INTERVAL)?;
    set_tcp_keepintvl(socket, KEEPALIVE_INTERVAL)?;
    set_tcp_user_timeout(socket, USER_TIMEOUT_MS)?;
    Ok(())
}

/// Returns whether a later attempt may succeed: another process holds the address, the
/// network interface has no such address yet, or descriptors are short.
fn may_become_available(err: &io::Error) -> bool {
    !matches!(
        err.kind(),
        io::ErrorKind::PermissionDenied | io::ErrorKind::InvalidInput | io::ErrorKind::Unsupported
    )
}
