//! Connection attempts that tolerate lost SYN packets.

use std::io;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Dials repeatedly until a connection is established or `timeout` has passed.
/// Each attempt lasts at most `attempt_timeout`. A single attempt could stall: if
/// its first packet is lost, because the VM is not powered on yet or the network
/// drops packets, the kernel sends it again only after one second.
///
/// # Errors
///
/// Returns the error of an attempt that failed within its time, or
/// [`io::ErrorKind::TimedOut`].
pub async fn dial_with_retries<T, F: Future<Output = io::Result<T>>>(
    timeout: Duration,
    attempt_timeout: Duration,
    dial: impl Fn() -> F,
) -> io::Result<T> {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        let attempt_end = deadline.min(Instant::now() + attempt_timeout);
        if let Ok(dialled) = timeout_at(attempt_end, dial()).await {
            return dialled;
        }
    }
    let reason = format!("no connection within {timeout:?}");
    Err(io::Error::new(io::ErrorKind::TimedOut, reason))
}
