//! Accepts the connections of a listener, up to its limit.

use super::port::{OpenConnection, Port};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay before the next `accept` after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A listener whose connections are limited and counted.
#[derive(Debug)]
pub(crate) struct Acceptor {
    listener: TcpListener,
    port: Arc<Port>,
}

/// An accepted connection.
#[derive(Debug)]
pub(crate) struct Accepted {
    pub(crate) stream: TcpStream,
    /// Address of the client.
    pub(crate) from: SocketAddr,
    /// Keeps the connection counted.
    pub(crate) open: OpenConnection,
}

impl Acceptor {
    pub(crate) fn new(listener: TcpListener, port: Arc<Port>) -> Self {
        Self { listener, port }
    }

    /// Waits for a connection. While there are too many, new ones are closed before
    /// anything is read from them.
    pub(crate) async fn accept(&self) -> Accepted {
        self.accept_instead_of(|| false).await
    }

    /// Waits for a connection. While there are too many, it is accepted if another one can
    /// be closed instead, and otherwise closed before anything is read from it.
    pub(crate) async fn accept_instead_of(&self, close_another: impl Fn() -> bool) -> Accepted {
        loop {
            match self.listener.accept().await {
                Ok((stream, from)) => {
                    if let Some(open) = self.port.admit(&close_another) {
                        return Accepted { stream, from, open };
                    }
                }
                Err(err) => {
                    self.port.record_failure(&err);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be used.
    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the listener's limit and counts.
    pub(crate) fn port(&self) -> &Arc<Port> {
        &self.port
    }

    /// Accepts the connections that are established already, and closes the listener,
    /// which resets those that were not accepted.
    pub(crate) fn accept_established(self, mut serve: impl FnMut(Accepted)) {
        // The runtime may not have learnt of the latest ones, so the kernel is asked.
        let listener = match self.listener.into_std() {
            Ok(listener) => listener,
            Err(err) => return self.port.record_failure(&err),
        };
        while let Ok((stream, from)) = listener.accept() {
            let Some(open) = self.port.admit(|| false) else {
                continue;
            };
            let stream = stream.set_nonblocking(true).map(|()| stream);
            match stream.and_then(TcpStream::from_std) {
                Ok(stream) => serve(Accepted { stream, from, open }),
                Err(err) => self.port.record_failure(&err),
            }
        }
    }
}
