//! Accepts the connections that peers dial.

use super::framing::{LinkError, Side, run};
use super::link::Link;
use super::socket::configure;
use crate::listeners::{Accepted, Acceptor};
use crate::runtime::{Daemon, lock};
use node::{Event, LinkId};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// Accepts connections of peers and handles each in its own task.
pub(crate) async fn serve(daemon: Arc<Daemon>, listener: TcpListener) {
    let acceptor = Acceptor::new(listener, daemon.ports.peers.clone());
    loop {
        let accepting = acceptor.accept_instead_of(|| close_oldest_unknown(&daemon));
        let Accepted { stream, open, .. } = accepting.await;
        let daemon = daemon.clone();
        tokio::spawn(async move {
            handle_connection(daemon, stream).await;
            drop(open);
        });
        // The peer's first frames are read before later connections can displace it.
        tokio::task::yield_now().await;
    }
}

/// Closes the oldest connection whose peer has not introduced itself, if there is one, so
/// that nothing of it has been handled. A peer whose connection were closed instead could
/// not know whether the request that it has sent runs.
fn close_oldest_unknown(daemon: &Daemon) -> bool {
    let mut accepted = lock(&daemon.links.accepted);
    let unknown = accepted.iter().filter(|(_, link)| !link.knows_peer());
    let oldest = unknown.map(|(id, _)| *id).min();
    let Some(link) = oldest.and_then(|id| accepted.remove(&id)) else {
        return false;
    };
    link.fail();
    true
}

async fn handle_connection(daemon: Arc<Daemon>, stream: TcpStream) {
    let id: LinkId = daemon.next_id();
    if let Err(err) = configure(&stream) {
        log::warn!("event=socket_option_refused reason=\"{err}\"");
    }
    let link = Link::new(id);
    lock(&daemon.links.accepted).insert(id, link.clone());
    let reason = tokio::select! {
        reason = run(&daemon, &link, stream, Side::Accepted(id)) => reason,
        () = link.failed() => LinkError::Displaced,
    };
    if matches!(reason, LinkError::NoHello) {
        daemon.ports.peers.record_timeout();
    }
    log::debug!("event=link_closed link={id} reason=\"{reason}\"");
    lock(&daemon.links.accepted).remove(&id);
    link.close();
    daemon.handle_event(Event::LinkClosed(id));
}
