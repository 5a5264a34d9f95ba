//! The graceful stop.

use crate::runtime::{Daemon, lock};
use node::Event;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};

/// Time for the last frames to reach the peers: a connection that is closed
/// with frames unread is reset, and the peer may lose what was sent before.
const LINGER: Duration = Duration::from_millis(200);
/// Time between looks at what is still in progress.
const POLL: Duration = Duration::from_millis(20);

/// Waits for the signal to stop, then until nothing is in progress or the
/// bound of the settings has passed.
///
/// # Errors
///
/// Returns why signals can't be received.
pub(crate) async fn wait(daemon: &Arc<Daemon>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let bound = daemon.cfg.stop.bound;
    let deadline = bound.map(|bound| Instant::now() + bound);
    let bound = bound.map_or("none".to_owned(), |bound| bound.as_millis().to_string());
    log::info!("event=stop_begun bound_ms={bound}");
    daemon.closing.send_replace(true);
    daemon.stopping.store(true, Ordering::Relaxed);
    tokio::time::sleep(daemon.cfg.stop.linger).await;
    admit_held(daemon, deadline).await;
    daemon.dispatch(Event::Stop);
    while in_progress(daemon) > 0 && !has_passed(deadline) {
        tokio::time::sleep(POLL).await;
    }
    tokio::time::sleep(LINGER).await;
    if in_progress(daemon) > 0 {
        log::warn!(
            "event=stop_bound_met cut_entry={} cut_gate={}",
            daemon.open_requests.load(Ordering::Acquire),
            lock(&daemon.gate_tasks).len()
        );
    }
    Ok(())
}

fn has_passed(deadline: Option<Instant>) -> bool {
    deadline.is_some_and(|at| Instant::now() >= at)
}

/// Lets the requests through whose bodies were being read when the stop was
/// asked for: they are in progress, though the reducer doesn't know of them.
async fn admit_held(daemon: &Arc<Daemon>, deadline: Option<Instant>) {
    let before = lock(&daemon.buffering).clone();
    while !lock(&daemon.buffering).is_disjoint(&before) && !has_passed(deadline) {
        tokio::time::sleep(POLL).await;
    }
}

fn in_progress(daemon: &Daemon) -> usize {
    let entry = daemon.open_requests.load(Ordering::Acquire);
    entry.max(lock(&daemon.entry_tasks).len()) + lock(&daemon.gate_tasks).len()
}
