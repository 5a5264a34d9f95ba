//! A caller's connection. Pipelined requests run concurrently; their responses
//! are written in the order of the requests.

use super::body::{BodyTx, channel};
use super::request;
use super::response::{Response, ResponseBody};
use crate::runtime::Daemon;
use crate::task_messages::UploadError;
use bytes::BytesMut;
use http::Method;
use http1::{BodyReader, Framing, HeadError, Piece, RequestHead};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Maximum number of queued responses of a connection; no further request is
/// read while the queue is full.
const MAX_PIPELINED: usize = 64;
/// Size of one read, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Size at which the write buffer is flushed while a chunked body is streamed,
/// in bytes.
const FLUSH_THRESHOLD_BYTES: usize = 64 * 1024;
/// Time during which incoming bytes are read and discarded after the write half
/// is shut down. Unread bytes would reset the connection, and the caller would
/// lose the last response.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Interim response to a caller that waits before it sends its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why reading from the connection ended.
enum ReadEnd {
    /// The caller disconnected, or the connection cannot be read further.
    Disconnected,
    /// No further request is accepted; earlier ones still get their responses.
    NoMoreRequests,
}

/// An entry in the queue of responses.
enum QueuedWrite {
    /// `100 Continue`.
    Continue,
    /// The final response to a request.
    Response(Box<PendingResponse>),
}

/// A response that the request's task still has to produce. Dropping it aborts
/// the task.
struct PendingResponse {
    response: oneshot::Receiver<Response>,
    task: AbortHandle,
    keep_alive: bool,
    method: Method,
    reads_chunks: bool,
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves a connection until either side closes it.
pub(super) async fn serve(daemon: &Arc<Daemon>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::warn!("event=socket_option_refused reason=\"{err}\"");
    }
    let (mut read, write) = stream.into_split();
    let (tx, rx) = mpsc::channel(MAX_PIPELINED);
    let state = ConnectionState::default();
    let mut reader = Reader {
        daemon,
        read: &mut read,
        buf: BytesMut::new(),
        state: &state,
        tx: Some(tx),
        has_received_request: false,
    };
    let reading = async {
        match reader.run().await {
            ReadEnd::Disconnected => {}
            ReadEnd::NoMoreRequests => reader.wait_for_disconnect().await,
        }
    };
    let writing = write_responses(daemon, write, rx, &state);
    let written = tokio::select! {
        () = reading => return,
        written = writing => written,
    };
    if let Ok(mut write) = written
        && write.shutdown().await.is_ok()
    {
        let _ = timeout(DRAIN_TIMEOUT, drain(&mut read)).await;
    }
}

/// Reads and discards bytes until the caller closes the connection.
async fn drain(read: &mut OwnedReadHalf) {
    let mut buf = vec![0; READ_BYTES];
    while read.read(&mut buf).await.is_ok_and(|n| n > 0) {}
}

/// What the two halves of a connection know of each other.
#[derive(Debug, Default)]
struct ConnectionState {
    /// Number of requests whose responses are not written yet.
    pending_responses: AtomicUsize,
    /// Whether the connection closes after the response that is being written.
    writes_last_response: AtomicBool,
}

impl ConnectionState {
    fn has_pending_responses(&self) -> bool {
        self.pending_responses.load(Ordering::Acquire) > 0
    }

    fn writes_last_response(&self) -> bool {
        self.writes_last_response.load(Ordering::Acquire)
    }
}

struct Reader<'a> {
    daemon: &'a Arc<Daemon>,
    read: &'a mut OwnedReadHalf,
    buf: BytesMut,
    state: &'a ConnectionState,
    tx: Option<mpsc::Sender<QueuedWrite>>,
    /// Whether a request was received on this connection.
    has_received_request: bool,
}

impl Reader<'_> {
    async fn run(&mut self) -> ReadEnd {
        loop {
            let head = match self.read_head().await {
                Ok(Some(head)) => head,
                Ok(None) if self.daemon.is_ending() => {
                    self.tx = None;
                    return ReadEnd::NoMoreRequests;
                }
                Ok(None) => return ReadEnd::Disconnected,
                Err(error) => {
                    self.refuse(error).await;
                    return ReadEnd::NoMoreRequests;
                }
            };
            if self.state.writes_last_response() {
                return ReadEnd::NoMoreRequests;
            }
            self.has_received_request = true;
            let keep_alive = head.keep_alive;
            let framing = head.framing;
            let Some(body_tx) = self.start_request(head).await else {
                return ReadEnd::Disconnected;
            };
            if framing != Framing::Empty && !self.read_body(framing, body_tx).await {
                return ReadEnd::Disconnected;
            }
            if !keep_alive {
                self.tx = None;
                return ReadEnd::NoMoreRequests;
            }
        }
    }

    /// Reads the next request head. Returns `None` if the caller disconnects, a time
    /// limit passes or a graceful stop ends.
    async fn read_head(&mut self) -> Result<Option<RequestHead>, HeadError> {
        let max = self.daemon.max_header_bytes();
        loop {
            if !self.buf.is_empty()
                && let Some(head) = http1::parse_request(&mut self.buf, max)?
            {
                return Ok(Some(head));
            }
            if !self.read_more_of_head().await {
                return Ok(None);
            }
        }
    }

    /// Reads more bytes within the header timeout, or the idle timeout if the
    /// buffer is empty; returns whether any were received. During a graceful
    /// stop a connection that has served requests is closed once it is idle; a
    /// new one may still send its first request. At its end nothing more is read.
    async fn read_more_of_head(&mut self) -> bool {
        let limit = match self.buf.is_empty() {
            true => self.daemon.idle_timeout(),
            false => self.daemon.header_timeout(),
        };
        loop {
            let is_pending = self.state.has_pending_responses();
            let idle = self.has_received_request && self.buf.is_empty() && !is_pending;
            let stopping = self.daemon.wait_until_closing();
            tokio::select! {
                biased;
                () = self.daemon.wait_until_ending() => return false,
                // Received bytes are read before a stop may close the
                // connection.
                read = timeout(limit, fill(self.read, &mut self.buf)) => match read {
                    Ok(read) => return read.is_ok_and(|n| n > 0),
                    // A pending response keeps the connection open.
                    Err(_) if self.buf.is_empty() && self.state.has_pending_responses() => {}
                    Err(_) => return false,
                },
                () = stopping, if idle => return false,
            }
        }
    }

    /// Starts the task of a request and queues its response. Returns the sender
    /// for the body, or `None` if the connection can no longer be written.
    async fn start_request(&mut self, head: RequestHead) -> Option<BodyTx> {
        let (body_tx, body) = channel();
        let (response_tx, response) = oneshot::channel();
        let keep_alive = head.keep_alive;
        let reads_chunks = head.reads_chunks;
        let method = head.method.clone();
        let expects_continue = head.expects_continue;
        let handled = request::handle(self.daemon.clone(), head, body);
        let task = tokio::spawn(async move {
            let _ = response_tx.send(handled.await);
        });
        let queued = PendingResponse {
            response,
            task: task.abort_handle(),
            keep_alive,
            method,
            reads_chunks,
        };
        self.state.pending_responses.fetch_add(1, Ordering::AcqRel);
        let tx = self.tx.as_ref()?;
        if expects_continue {
            tx.send(QueuedWrite::Continue).await.ok()?;
        }
        tx.send(QueuedWrite::Response(Box::new(queued)))
            .await
            .ok()?;
        Some(body_tx)
    }

    /// Reads a request body and passes it to the request's task. Returns
    /// whether the connection can be read further.
    async fn read_body(&mut self, framing: Framing, tx: BodyTx) -> bool {
        let mut reader = BodyReader::new(framing);
        loop {
            match reader.next(&mut self.buf) {
                Ok(Piece::Bytes(bytes)) => {
                    // The task stops reading once it has a response; the rest
                    // of the body is then discarded.
                    let _ = tx.send(Ok(bytes)).await;
                }
                Ok(Piece::End) => return true,
                Ok(Piece::NeedMore) => {
                    if !fill(self.read, &mut self.buf).await.is_ok_and(|n| n > 0) {
                        let _ = tx.send(Err(UploadError::Aborted)).await;
                        return false;
                    }
                }
                Err(error) => {
                    log::debug!("event=body_malformed reason=\"{error}\"");
                    let _ = tx.send(Err(UploadError::Aborted)).await;
                    self.tx = None;
                    self.wait_for_disconnect().await;
                    return false;
                }
            }
        }
    }

    /// Queues the response to a rejected head. The connection is not read
    /// further, because the start of the next request is unknown.
    async fn refuse(&mut self, error: HeadError) {
        let (response_tx, response) = oneshot::channel();
        let _ = response_tx.send(super::refusal::bad_head(self.daemon, error));
        let queued = PendingResponse {
            response,
            task: tokio::spawn(async {}).abort_handle(),
            keep_alive: false,
            method: Method::GET,
            reads_chunks: true,
        };
        if let Some(tx) = self.tx.take() {
            let _ = tx.send(QueuedWrite::Response(Box::new(queued))).await;
        }
    }

    /// Waits until the caller disconnects, discarding what it still sends.
    async fn wait_for_disconnect(&mut self) {
        drain(self.read).await;
    }
}

async fn fill(read: &mut OwnedReadHalf, buf: &mut BytesMut) -> io::Result<usize> {
    buf.reserve(READ_BYTES);
    read.read_buf(buf).await
}

/// Writes the responses in the order of their requests. Returns the write half
/// for an orderly shutdown after the last response.
async fn write_responses(
    daemon: &Arc<Daemon>,
    mut write: OwnedWriteHalf,
    mut rx: mpsc::Receiver<QueuedWrite>,
    state: &ConnectionState,
) -> io::Result<OwnedWriteHalf> {
    let mut buf = BytesMut::new();
    while let Some(next) = rx.recv().await {
        let mut queued = match next {
            QueuedWrite::Response(queued) => queued,
            QueuedWrite::Continue => {
                write.write_all(CONTINUE_RESPONSE).await?;
                continue;
            }
        };
        let response = (&mut queued.response).await;
        let response = response.map_err(|_| io::Error::from(io::ErrorKind::ConnectionAborted))?;
        let until_close = !queued.reads_chunks && response.has_unknown_length();
        let close =
            !queued.keep_alive || until_close || daemon.is_closing_connections() && rx.is_empty();
        state.writes_last_response.store(close, Ordering::Release);
        let keep_alive_s = (!close).then(|| daemon.idle_timeout().as_secs());
        let unknown_length = match queued.reads_chunks {
            true => Framing::Chunked,
            false => Framing::UntilClose,
        };
        let format = ResponseFormat {
            method: &queued.method,
            unknown_length,
            keep_alive_s,
        };
        let written = write_response(&mut write, &mut buf, format, response).await;
        if let Err(err) = written {
            if until_close {
                // An orderly close would make the part that was sent look complete.
                reset_on_close(write);
            }
            return Err(err);
        }
        state.pending_responses.fetch_sub(1, Ordering::AcqRel);
        if close {
            return Ok(write);
        }
    }
    Ok(write)
}

/// Lets the connection be reset instead of closed in order.
fn reset_on_close(write: OwnedWriteHalf) {
    if let Err(err) = write.as_ref().set_zero_linger() {
        log::warn!("event=socket_option_refused reason=\"{err}\"");
    }
    // Dropping the write half would end the stream in order first.
    write.forget();
}

/// How a response is written.
#[derive(Clone, Copy, Debug)]
struct ResponseFormat<'a> {
    /// Method of the request.
    method: &'a Method,
    /// Framing of a body whose length is not known.
    unknown_length: Framing,
    /// Idle timeout in seconds, or `None` if the connection closes after the response.
    keep_alive_s: Option<u64>,
}

/// Writes one response.
///
/// # Errors
///
/// Returns an error if the response is cut off or the connection cannot be
/// written.
async fn write_response(
    write: &mut OwnedWriteHalf,
    buf: &mut BytesMut,
    format: ResponseFormat<'_>,
    response: Response,
) -> io::Result<()> {
    let ResponseFormat {
        method,
        unknown_length,
        keep_alive_s,
    } = format;
    let Response {
        status,
        headers,
        body,
        declared_len,
    } = response;
    let bodyless = *method == Method::HEAD || http1::is_bodyless(status);
    match body {
        ResponseBody::Complete(bytes) => {
            let framing = match bytes.len() as u64 {
                0 => Framing::Empty,
                len => Framing::Length(len),
            };
            let framing = declared_len
                .filter(|_| *method == Method::HEAD)
                .map_or(framing, Framing::Length);
            http1::write_response(buf, status, &headers, framing, keep_alive_s);
            if !bodyless {
                buf.extend_from_slice(&bytes);
            }
            write.write_all_buf(buf).await
        }
        ResponseBody::Stream(len, mut driver) => {
            let framing = len.map_or(unknown_length, Framing::Length);
            http1::write_response(buf, status, &headers, framing, keep_alive_s);
            while let Some(piece) = driver.next_chunk().await {
                let piece = piece?;
                match framing {
                    Framing::Chunked => http1::write_chunk(buf, &piece),
                    _ => buf.extend_from_slice(&piece),
                }
                if buf.len() >= FLUSH_THRESHOLD_BYTES || framing != Framing::Chunked {
                    write.write_all_buf(buf).await?;
                }
            }
            if framing == Framing::Chunked {
                http1::write_last_chunk(buf);
            }
            write.write_all_buf(buf).await
        }
    }
}
