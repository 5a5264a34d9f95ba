//! Connections that this daemon dials.

use super::framing::{Side, run};
use super::link::{FrameRx, Link};
use super::retry::dial_with_retries;
use super::socket::prepare;
use super::{DATA_DIAL_TIMEOUT, DIAL_TIMEOUT, IDLE, TRY_TIMEOUT, WATCH};
use crate::runtime::{Daemon, lock};
use compact_str::CompactString;
use node::Event;
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;
use wire::{Body, LinkKind};

/// Number of the connections that this daemon dialled.
const DIALLED: node::LinkId = 0;

type Key = (CompactString, LinkKind);

/// Sends a message over the connection of this kind to an address.
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

/// Returns the connection of this kind to an address, dialling if there is none.
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
    let (link, rx) = Link::new(DIALLED);
    tokio::spawn(connect(daemon.clone(), key, link.clone(), rx));
    link
}

async fn connect(daemon: Arc<Daemon>, key: Key, link: Arc<Link>, rx: FrameRx) {
    let reason = match open(&key).await {
        Ok(stream) => tokio::select! {
            err = run(&daemon, &link, stream, rx, Side::Dialled(key.1)) => err.to_string(),
            () = unused(&daemon, &key, &link) => return,
            () = link.failed() => "no sign of life".to_owned(),
        },
        Err(err) => err.to_string(),
    };
    log::info!(
        "event=link_failed address={} kind={:?} reason=\"{reason}\"",
        key.0,
        key.1
    );
    forget(&daemon, &key, &link);
    link.streams.close();
    let (address, kind) = key;
    daemon.dispatch(Event::LinkFailed { address, kind });
}

async fn open((address, kind): &Key) -> io::Result<TcpStream> {
    let bound = match kind {
        LinkKind::Data => DATA_DIAL_TIMEOUT,
        _ => DIAL_TIMEOUT,
    };
    let dial = || TcpStream::connect(address.as_str());
    let stream = dial_with_retries(bound, TRY_TIMEOUT, dial).await?;
    prepare(&stream)?;
    Ok(stream)
}

/// Ends when the connection was idle and has been taken off the list.
async fn unused(daemon: &Arc<Daemon>, key: &Key, link: &Arc<Link>) {
    loop {
        tokio::time::sleep(IDLE / 4).await;
        let mut dialled = lock(&daemon.links.dialled);
        if link.idle() >= IDLE && link.streams.close_if_empty() {
            dialled.remove(key);
            return;
        }
    }
}

/// Looks after the connections on which requests are under way.
pub(crate) async fn watch(daemon: Arc<Daemon>) {
    loop {
        tokio::time::sleep(WATCH).await;
        let dialled = lock(&daemon.links.dialled);
        let data = dialled
            .iter()
            .filter(|((_, kind), _)| *kind == LinkKind::Data);
        data.for_each(|(_, link)| link.watch());
    }
}

fn forget(daemon: &Arc<Daemon>, key: &Key, link: &Arc<Link>) {
    let mut dialled = lock(&daemon.links.dialled);
    if dialled.get(key).is_some_and(|held| Arc::ptr_eq(held, link)) {
        dialled.remove(key);
    }
}
