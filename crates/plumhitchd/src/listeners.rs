//! Listens on the daemon's addresses, and waits for those that are in use.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections waiting to be accepted on a listener.
const BACKLOG: u32 = 1024;
/// Interval between attempts to listen on an address that is not available.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

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

/// Listens on an address. Accepted connections inherit `TCP_NODELAY` from the
/// listener.
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
    socket.bind(address).map_err(with_address)?;
    socket.listen(BACKLOG).map_err(with_address)
}

/// Returns whether a later attempt may succeed: another process holds the address, the
/// network interface has no such address yet, or descriptors are short.
fn may_become_available(err: &io::Error) -> bool {
    !matches!(
        err.kind(),
        io::ErrorKind::PermissionDenied | io::ErrorKind::InvalidInput | io::ErrorKind::Unsupported
    )
}
