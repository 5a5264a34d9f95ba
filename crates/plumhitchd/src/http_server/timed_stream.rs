//! A connection that is closed when a time limit has passed.

use crate::listeners::Port;
use crate::runtime::Daemon;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Time during which the rest of an unread body is discarded after the response. Unread bytes
/// would reset the connection, and the client would lose the response.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of one read of discarded bytes.
const DRAIN_BYTES: usize = 8 * 1024;
/// Reads of discarded bytes after which other tasks may run.
const MAX_DRAINS: usize = 16;

/// Requests of a connection.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// Number of requests whose heads were read.
    begun: AtomicU64,
    /// Whether a request is being handled.
    is_running: AtomicBool,
    /// Whether the last request was responded to before its body was read.
    has_unread_body: AtomicBool,
}

impl Exchange {
    /// Records that a request head was read.
    pub(super) fn begin(&self) {
        self.begun.fetch_add(1, Ordering::Relaxed);
        self.is_running.store(true, Ordering::Relaxed);
    }

    /// Records that the response to a request is known, and whether it comes before the end
    /// of the request.
    pub(super) fn end(&self, has_unread_body: bool) {
        self.has_unread_body
            .store(has_unread_body, Ordering::Relaxed);
        self.is_running.store(false, Ordering::Relaxed);
    }
}

/// A client's connection with limits on the time for a request head, and on the time
/// without one or without progress of a response. While a request is handled there is none:
/// its body has a limit of its own.
pub(super) struct TimedStream {
    daemon: Arc<Daemon>,
    port: Arc<Port>,
    stream: TcpStream,
    exchange: Arc<Exchange>,
    /// Number of requests when the time limit began.
    begun: u64,
    /// Whether a part of a request head was read.
    has_part_of_head: bool,
    /// Time limit that runs.
    limit: Option<Pin<Box<Sleep>>>,
    /// Time limit for the rest of an unread body.
    drain_limit: Option<Pin<Box<Sleep>>>,
}

impl TimedStream {
    pub(super) fn new(
        daemon: Arc<Daemon>,
        port: Arc<Port>,
        stream: TcpStream,
        exchange: Arc<Exchange>,
    ) -> Self {
        Self {
            daemon,
            port,
            stream,
            exchange,
            begun: 0,
            has_part_of_head: false,
            limit: None,
            drain_limit: None,
        }
    }

    /// Completes with an error when the time limit has passed.
    fn poll_limit(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let daemon = &self.daemon;
        let has_part_of_head = self.has_part_of_head;
        let limit = self.limit.get_or_insert_with(|| {
            Box::pin(sleep(match has_part_of_head {
                true => daemon.header_timeout(),
                false => daemon.idle_timeout(),
            }))
        });
        ready!(limit.as_mut().poll(cx));
        self.port.record_timeout();
        Poll::Ready(io::ErrorKind::TimedOut.into())
    }

    /// Lets the time limit begin anew after a part of a response, unless a part of the next
    /// head has been read. The connection may not be read again before its client sends
    /// something, so the limit has to wake this task up.
    fn restart_limit(&mut self, cx: &mut Context<'_>) {
        if !self.has_part_of_head {
            self.limit = None;
            let _ = self.poll_limit(cx);
        }
    }

    /// Ends the time limit of the head before a request that has begun.
    fn observe_requests(&mut self) {
        let begun = self.exchange.begun.load(Ordering::Relaxed);
        if self.begun != begun {
            self.begun = begun;
            self.has_part_of_head = false;
            self.limit = None;
        }
    }

    /// Reads and discards what the client still sends, until it closes the connection or the
    /// time for that has passed.
    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let until = self
            .drain_limit
            .get_or_insert_with(|| Box::pin(sleep(DRAIN_TIMEOUT)));
        if until.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; DRAIN_BYTES];
        for _ in 0..MAX_DRAINS {
            let mut buf = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {}
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Counts a connection whose client no longer responds.
    fn observe_error(&self, err: &io::Error) {
        if err.kind() == io::ErrorKind::TimedOut {
            self.port.record_timeout();
        }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        self.observe_requests();
        let is_running = self.exchange.is_running.load(Ordering::Relaxed);
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => {
                if buf.filled().len() > before && !is_running && !self.has_part_of_head {
                    self.has_part_of_head = true;
                    self.limit = None;
                }
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(err)) => {
                self.observe_error(&err);
                Poll::Ready(Err(err))
            }
            Poll::Pending if is_running => {
                self.limit = None;
                Poll::Pending
            }
            Poll::Pending => self.poll_limit(cx).map(Err),
        }
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(cx, buf) {
            Poll::Ready(Ok(written)) => {
                self.restart_limit(cx);
                Poll::Ready(Ok(written))
            }
            Poll::Ready(Err(err)) => {
                self.observe_error(&err);
                Poll::Ready(Err(err))
            }
            Poll::Pending => self.poll_limit(cx).map(Err),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if self.exchange.has_unread_body.load(Ordering::Relaxed) {
            ready!(self.poll_drain(cx));
        }
        Poll::Ready(Ok(()))
    }
}
