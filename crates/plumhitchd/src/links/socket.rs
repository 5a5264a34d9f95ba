//! TCP options of the connections between daemons.

use rustix::net::sockopt::{
    set_socket_keepalive, set_tcp_keepcnt, set_tcp_keepidle, set_tcp_keepintvl,
    set_tcp_user_timeout,
};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// `TCP_USER_TIMEOUT`: time without an acknowledgement after which a connection
/// is dropped. The kernel's default keeps retransmitting for minutes, even after
/// a network partition has healed.
const USER_TIMEOUT_MS: u32 = 5_000;
/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered keepalive probes after which a connection is dropped.
const KEEPALIVE_PROBES: u32 = 3;

/// Configures a connection so that small frames are sent without delay and an
/// unreachable peer is detected within seconds.
///
/// # Errors
///
/// Returns the error of the first option that could not be set.
pub(super) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_socket_keepalive(stream, true)?;
    set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    set_tcp_user_timeout(stream, USER_TIMEOUT_MS)?;
    Ok(())
}
