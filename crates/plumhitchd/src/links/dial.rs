//! Dials connections to peers, and closes them when idle or unresponsive.

use super::framing::{LinkError, Side, run};
use super::link::Link;
use super::retry::dial_with_retries;
use super::socket::configure;
use super::{
    DATA_DIAL_TIMEOUT, DIAL_ATTEMPT_TIMEOUT, DIAL_TIMEOUT, DIALLED, IDLE_TIMEOUT, LIVENESS_INTERVAL,
};
use crate::runtime::{Daemon, lock};
use compact_str::CompactString;
use node::Event;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use wire::{Body, LinkKind, Ping};

/// Maximum time for which replies are awaited from a peer that does not respond.
const MAX_SILENCE: Duration = Duration::from_secs(10);
/// Interval between pings of a peer from which late replies are awaited.
const LATE_PING_INTERVAL: Duration = Duration::from_secs(1);

type Key = (CompactString, LinkKind);

/// Sends a message over the connection of a kind to an address, dialling first
/// if there is none.
pub(crate) fn send(daemon: &Arc<Daemon>, address: CompactString, kind: LinkKind, body: Body) {
    let key = (address, kind);
    let mut dialled = lock(&daemon.links.dialled);
    match dialled.get(&key) {
        Some(link) => link.send(body),
        None => {
            let link = dial(daemon, key.clone());
            link.send(body);
            dialled.insert(key, link);
        }
    }
}

/// Returns the connection of a kind to an address, dialling if there is none.
pub(crate) fn link_to(daemon: &Arc<Daemon>, address: &CompactString, kind: LinkKind) -> Arc<Link> {
    let key = (address.clone(), kind);
    let mut dialled = lock(&daemon.links.dialled);
    if let Some(link) = dialled.get(&key) {
        return link.clone();
    }
    let link = dial(daemon, key.clone());
    dialled.insert(key, link.clone());
    link
}

fn dial(daemon: &Arc<Daemon>, key: Key) -> Arc<Link> {
    let link = Link::new(DIALLED);
    tokio::spawn(connect(daemon.clone(), key, link.clone()));
    link
}

async fn connect(daemon: Arc<Daemon>, key: Key, link: Arc<Link>) {
    let mut closed_by_peer = false;
    let reason = match open(&key).await {
        Ok(stream) => {
            let mut running = pin!(run(&daemon, &link, stream, Side::Dialled(key.1)));
            tokio::select! {
                err = &mut running => {
                    closed_by_peer = matches!(err, LinkError::Closed);
                    err.to_string()
                }
                () = remove_when_idle(&daemon, &key, &link) => return,
                () = link.failed() => {
                    remove(&daemon, &key, &link);
                    if link.report_silence() {
                        report_failure(&daemon, &key, "no reply to a ping", false);
                        await_late_replies(&key, &link, running).await;
                        return link.close();
                    }
                    "no reply to a ping".to_owned()
                }
            }
        }
        Err(err) => err.to_string(),
    };
    remove(&daemon, &key, &link);
    link.close();
    report_failure(&daemon, &key, &reason, closed_by_peer);
}

fn report_failure(daemon: &Arc<Daemon>, key: &Key, reason: &str, closed_by_peer: bool) {
    let (address, kind) = key.clone();
    log::info!("event=link_failed address={address} kind={kind:?} reason=\"{reason}\"");
    daemon.handle_event(Event::LinkFailed {
        address,
        kind,
        closed_by_peer,
    });
}

/// Serves the open streams of a connection whose peer does not respond, until they have
/// ended: a peer that was only stopped for a while still replies, to pings as soon as it
/// goes on. New streams use another connection.
async fn await_late_replies(key: &Key, link: &Link, running: impl Future<Output = LinkError>) {
    let reason = tokio::select! {
        err = running => err.to_string(),
        reason = wait_until_ended(link) => reason.to_owned(),
    };
    log::info!(
        "event=link_retired address={} kind={:?} reason=\"{reason}\"",
        key.0,
        key.1
    );
}

async fn wait_until_ended(link: &Link) -> &'static str {
    loop {
        link.send(Body::Ping(Ping {}));
        tokio::time::sleep(LATE_PING_INTERVAL).await;
        if link.streams.is_empty() {
            return "all requests have ended";
        }
        if link.silence() >= MAX_SILENCE {
            return "silent for too long";
        }
    }
}

async fn open((address, kind): &Key) -> io::Result<TcpStream> {
    let timeout = match kind {
        LinkKind::Data => DATA_DIAL_TIMEOUT,
        _ => DIAL_TIMEOUT,
    };
    let dial = || TcpStream::connect(address.as_str());
    let stream = dial_with_retries(timeout, DIAL_ATTEMPT_TIMEOUT, dial).await?;
    configure(&stream)?;
    Ok(stream)
}

/// Completes when the connection was idle and has been removed from the list.
async fn remove_when_idle(daemon: &Arc<Daemon>, key: &Key, link: &Arc<Link>) {
    loop {
        tokio::time::sleep(IDLE_TIMEOUT / 4).await;
        let mut dialled = lock(&daemon.links.dialled);
        if link.idle() >= IDLE_TIMEOUT && link.streams.close_if_empty() {
            dialled.remove(key);
            return;
        }
    }
}

/// Checks the liveness of the dialled connections at regular intervals.
pub(crate) async fn monitor(daemon: Arc<Daemon>) {
    loop {
        tokio::time::sleep(LIVENESS_INTERVAL).await;
        let dialled = lock(&daemon.links.dialled);
        for ((_, kind), link) in dialled.iter() {
            link.check_liveness(*kind);
        }
    }
}

fn remove(daemon: &Arc<Daemon>, key: &Key, link: &Arc<Link>) {
    let mut dialled = lock(&daemon.links.dialled);
    if dialled
        .get(key)
        .is_some_and(|current| Arc::ptr_eq(current, link))
    {
        dialled.remove(key);
    }
}
