//! Accepts the connections that peers dial.

use super::framing::{Side, run};
use super::link::Link;
use super::socket::configure;
use crate::runtime::{Daemon, lock};
use node::{Event, LinkId};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay before the next `accept` after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of peers and handles each in its own task.
pub(crate) async fn serve(daemon: Arc<Daemon>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(handle_connection(daemon.clone(), stream));
            }
            Err(err) => {
                log::warn!("event=accept_failed listener=peers reason=\"{err}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn handle_connection(daemon: Arc<Daemon>, stream: TcpStream) {
    let id: LinkId = daemon.next_id();
    if let Err(err) = configure(&stream) {
        log::warn!("event=socket_option_refused reason=\"{err}\"");
    }
    let link = Link::new(id);
    lock(&daemon.links.accepted).insert(id, link.clone());
    let reason = run(&daemon, &link, stream, Side::Accepted(id)).await;
    log::debug!("event=link_closed link={id} reason=\"{reason}\"");
    lock(&daemon.links.accepted).remove(&id);
    link.close();
    daemon.handle_event(Event::LinkClosed(id));
}
