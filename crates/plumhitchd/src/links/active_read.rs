//! Records the bytes that a connection receives. A frame may take long to arrive over
//! a slow link, and its peer is alive meanwhile.

use super::link::Link;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;

/// The read half of a connection.
#[derive(Debug)]
pub(super) struct ActiveRead {
    read: OwnedReadHalf,
    link: Arc<Link>,
}

impl ActiveRead {
    pub(super) fn new(read: OwnedReadHalf, link: Arc<Link>) -> Self {
        Self { read, link }
    }
}

impl AsyncRead for ActiveRead {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.read).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.link.record_received();
        }
        polled
    }
}
