//! Callers' requests over HTTP.

mod answer;
mod attempt;
mod body;
mod connection;
mod driver;
mod held;
mod inbound;
mod record;
mod refusal;
mod request;
mod upload;

use crate::runtime::Daemon;
use node::entry::Effect;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use wire::RequestId;

/// Pause after the system could not hand over a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers callers on a listener until the process ends.
pub(crate) async fn serve(daemon: Arc<Daemon>, listener: TcpListener) {
    let max = daemon.cfg.limits.connections;
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("event=accept_failed listener=callers reason=\"{err}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::Acquire) >= max {
            log::warn!("event=connection_refused reason=too_many max={max}");
            continue;
        }
        let counted = Counted::new(open.clone());
        let daemon = daemon.clone();
        tokio::spawn(async move {
            connection::serve(&daemon, stream).await;
            drop(counted);
        });
    }
}

/// A caller's connection, counted while it is open.
struct Counted {
    open: Arc<AtomicUsize>,
}

impl Counted {
    fn new(open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self { open }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the request that an effect is for.
pub(crate) fn request_of(effect: &Effect) -> RequestId {
    match effect {
        Effect::Forward(attempt) => attempt.request,
        Effect::Cancel(id, _)
        | Effect::Relay(id, _)
        | Effect::Refuse(id, _)
        | Effect::Forget(id) => *id,
    }
}
