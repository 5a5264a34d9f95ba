//! Graceful stop on `SIGTERM` or `SIGINT`.

use crate::clock;
use crate::runtime::{Daemon, lock};
use crate::signals::StopSignals;
use node::Event;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time for the last frames to reach the peers, and the last responses the callers. A
/// connection that is closed with unread data is reset, and the peer may lose what was
/// already sent.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Part of the time limit for which requests are still accepted at most; the rest is for
/// those in progress to end.
const MAX_LINGER_PART: u32 = 2;
/// Maximum time for callers to send their requests on connections that were accepted.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Interval between checks for requests in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time for the control replica to pass its leadership and vote on. Without a leader
/// nobody confirms that it has.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(2);

/// Waits for the stop signal, then until no request is in progress or the
/// configured time limit has passed.
pub(crate) async fn wait(daemon: &Arc<Daemon>, signals: &mut StopSignals) {
    signals.recv().await;
    let drain_timeout = daemon.cfg.stop.drain_timeout;
    let deadline = drain_timeout.map(|timeout| Instant::now() + timeout);
    let until = drain_timeout.map(|timeout| clock::now() + timeout);
    let bound_ms = drain_timeout.map_or("none".to_owned(), |t| t.as_millis().to_string());
    log::info!("event=stop_begun bound_ms={bound_ms}");
    daemon.closing.send_replace(true);
    daemon.stopping.store(true, Ordering::Relaxed);
    daemon.handle_event(Event::LeaveControl);
    let leave_begun = Instant::now();
    let linger = daemon.cfg.stop.linger;
    let longest_linger = drain_timeout.map(|timeout| timeout / MAX_LINGER_PART);
    tokio::time::sleep(longest_linger.map_or(linger, |longest| longest.min(linger))).await;
    daemon.handle_event(Event::Stop { until });
    wait_until_idle(daemon, deadline).await;
    daemon.refusing.send_replace(true);
    wait_for_connections(daemon, deadline).await;
    wait_until_idle(daemon, deadline).await;
    wait_until_left(daemon, leave_begun, deadline).await;
    cut_off(daemon);
    tokio::time::sleep(FLUSH_TIME).await;
}

/// Waits until the control replica has left the cluster, so that the losses that the cluster
/// tolerates after the end of this process are as many as before.
async fn wait_until_left(daemon: &Daemon, begun: Instant, deadline: Option<Instant>) {
    if daemon.read(|node| node.control.is_none()) {
        return;
    }
    let latest = begun + MAX_LEAVE_TIME;
    let latest = deadline.map_or(latest, |deadline| deadline.min(latest));
    while !has_left(daemon) && Instant::now() < latest {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let ms = begun.elapsed().as_millis();
    match has_left(daemon) {
        true => log::info!("event=control_left ms={ms}"),
        false => log::warn!("event=control_leave_unconfirmed waited_ms={ms}"),
    }
}

fn has_left(daemon: &Daemon) -> bool {
    daemon.read(|node| {
        let control = node.control.as_ref();
        control.is_none_or(|c| c.replica().has_left())
    })
}

/// Lets connections read no more requests, and gives the callers of those that are still in
/// progress a final response.
fn cut_off(daemon: &Arc<Daemon>) {
    if in_progress(daemon) > 0 {
        log::warn!(
            "event=stop_bound_met cut_entry={} cut_gate={} cut_operators={}",
            daemon.open_requests.load(Ordering::Acquire),
            lock(&daemon.gate_tasks).len(),
            lock(&daemon.pending_requests).len(),
        );
    }
    daemon.ending.send_replace(true);
    daemon.handle_event(Event::CutOff);
}

async fn wait_until_idle(daemon: &Daemon, deadline: Option<Instant>) {
    while in_progress(daemon) > 0 && !has_passed(deadline) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for callers whose connections were accepted to send their requests and to get
/// their responses, or to have nothing to send.
async fn wait_for_connections(daemon: &Daemon, deadline: Option<Instant>) {
    let latest = Instant::now() + FIRST_REQUEST_TIME;
    let latest = deadline.map_or(latest, |deadline| deadline.min(latest));
    while daemon.ports.callers.open() > 0 && Instant::now() < latest {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn has_passed(deadline: Option<Instant>) -> bool {
    deadline.is_some_and(|at| Instant::now() >= at)
}

fn in_progress(daemon: &Daemon) -> usize {
    let entry = daemon.open_requests.load(Ordering::Acquire);
    let entry = entry.max(lock(&daemon.entry_tasks).len());
    let operators = lock(&daemon.pending_requests).len();
    let operators = operators.max(daemon.running_calls.load(Ordering::Acquire));
    entry + lock(&daemon.gate_tasks).len() + operators
}
