//! Dialling that does not rest on one packet.

use std::io;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Dials again and again until a connection is there or `bound` is over. Each
/// try lasts `each`: the first packet of a connection to a VM that has no power
/// yet, or over a link that loses packets, is lost, and the system sends it
/// again only after a second.
///
/// # Errors
///
/// Returns the error of a try that failed before its end, or that the time is
/// over.
pub async fn dial_with_retries<T, F: Future<Output = io::Result<T>>>(
    bound: Duration,
    each: Duration,
    dial: impl Fn() -> F,
) -> io::Result<T> {
    let last = Instant::now() + bound;
    while Instant::now() < last {
        let until = last.min(Instant::now() + each);
        if let Ok(dialled) = timeout_at(until, dial()).await {
            return dialled;
        }
    }
    Err(io::ErrorKind::TimedOut.into())
}
