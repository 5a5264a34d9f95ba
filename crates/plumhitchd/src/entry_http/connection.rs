//! A caller's connection. Pipelined requests run concurrently; their responses
//! are written in the order of the requests.

use super::body::{BodyTx, channel};
use super::request;
use super::response::{Response, ResponseBody};
use super::unanswered::{CutReason, Unanswered};
use crate::runtime::Daemon;
use crate::task_messages::UploadError;
use bytes::{Buf, BytesMut};
use compact_str::CompactString;
use flow::MIN_PIECE_BYTES;
use http::Method;
use http1::{BodyReader, Framing, HeadError, Piece, RequestHead};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, yield_now};
use tokio::time::{sleep, timeout};

/// Maximum number of queued responses of a connection; no further request is
/// read while the queue is full.
const MAX_PIPELINED: usize = 64;
/// Size of one read, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Size at which the write buffer is flushed while a chunked body is streamed,
/// in bytes.
const FLUSH_THRESHOLD_BYTES: usize = 16 * 1024;
/// Maximum length of a complete body that is copied behind its head, so that both are written
/// at once, in bytes.
const MAX_COPIED_BYTES: usize = 16 * 1024;
/// Capacity of the write buffer that a connection keeps between responses, in bytes.
const MAX_KEPT_BYTES: usize = 32 * 1024;
/// Time during which incoming bytes are read and discarded after the write half
/// is shut down. Unread bytes would reset the connection, and the caller would
/// lose the last response.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Interim response to a caller that waits before it sends its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why reading from the connection ended.
enum ReadEnd {
    /// The caller disconnected, or the connection cannot be read further.
    Disconnected(CutReason),
    /// No further request is accepted; earlier ones still get their responses.
    NoMoreRequests,
}

/// Why no request head was read.
enum HeadEnd {
    /// The connection ended or is to be closed.
    Cut(CutReason),
    /// The rest of the head did not arrive in time, or a graceful stop ends.
    NoMore,
    /// The head is not acceptable.
    Rejected(HeadError),
}

/// Why no more of a request body was read.
enum BodyEnd {
    /// The connection ended.
    Cut(CutReason),
    /// The rest did not arrive in time.
    TimedOut,
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
    let unanswered = Unanswered::default();
    let mut reader = Reader {
        daemon,
        read: &mut read,
        buf: BytesMut::new(),
        unanswered: &unanswered,
        tx: Some(tx),
    };
    let reading = async {
        match reader.run().await {
            ReadEnd::Disconnected(reason) => reason,
            ReadEnd::NoMoreRequests => reader.wait_for_disconnect().await,
        }
    };
    let writing = write_responses(daemon, write, rx, &unanswered);
    let written = tokio::select! {
        reason = reading => return unanswered.record_cut(daemon, reason),
        written = writing => written,
    };
    let reason = written.as_ref().err().copied();
    unanswered.record_cut(daemon, reason.unwrap_or(CutReason::EarlierClosed));
    if let Ok(mut write) = written
        && write.shutdown().await.is_ok()
    {
        let _ = timeout(DRAIN_TIMEOUT, drain(&mut read)).await;
    }
}

/// Reads and discards bytes until the caller closes the connection.
async fn drain(read: &mut OwnedReadHalf) -> CutReason {
    let mut buf = vec![0; READ_BYTES];
    loop {
        match read.read(&mut buf).await {
            Ok(0) => return CutReason::CallerClosed,
            Ok(_) => {}
            Err(_) => return CutReason::ReadFailed,
        }
    }
}

struct Reader<'a> {
    daemon: &'a Arc<Daemon>,
    read: &'a mut OwnedReadHalf,
    buf: BytesMut,
    unanswered: &'a Unanswered,
    tx: Option<mpsc::Sender<QueuedWrite>>,
}

impl Reader<'_> {
    async fn run(&mut self) -> ReadEnd {
        loop {
            let head = match self.read_head().await {
                Ok(head) => head,
                Err(HeadEnd::Cut(reason)) => return ReadEnd::Disconnected(reason),
                Err(HeadEnd::NoMore) => {
                    self.tx = None;
                    return ReadEnd::NoMoreRequests;
                }
                Err(HeadEnd::Rejected(error)) => {
                    self.refuse(error).await;
                    return ReadEnd::NoMoreRequests;
                }
            };
            if self.unanswered.writes_last_response() {
                return ReadEnd::NoMoreRequests;
            }
            let keep_alive = head.keep_alive;
            let framing = head.framing;
            let expects_continue = head.expects_continue;
            let Some(body_tx) = self.start_request(head).await else {
                return ReadEnd::Disconnected(CutReason::WriteFailed);
            };
            if framing == Framing::Empty {
                body_tx.end().await;
            } else if let Err(reason) = self.read_body(framing, expects_continue, body_tx).await {
                return ReadEnd::Disconnected(reason);
            }
            if !keep_alive {
                self.tx = None;
                return ReadEnd::NoMoreRequests;
            }
        }
    }

    /// Reads the next request head.
    async fn read_head(&mut self) -> Result<RequestHead, HeadEnd> {
        let max = self.daemon.max_header_bytes();
        loop {
            if !self.buf.is_empty()
                && let Some(head) =
                    http1::parse_request(&mut self.buf, max).map_err(HeadEnd::Rejected)?
            {
                return Ok(head);
            }
            self.read_more_of_head().await?;
        }
    }

    /// Reads more bytes within the header timeout, or the idle timeout if the
    /// buffer is empty. The idle time begins with the end of the last response, as
    /// the caller counts it. A graceful stop leaves an idle connection open until it
    /// ends, and then reads nothing more: a request that is on its way meanwhile gets
    /// its response.
    async fn read_more_of_head(&mut self) -> Result<(), HeadEnd> {
        let has_begun = !self.buf.is_empty();
        loop {
            let limit = match has_begun {
                true => self.daemon.header_timeout(),
                false => self.daemon.idle_timeout(),
            };
            let has_limit = has_begun || self.unanswered.is_empty();
            tokio::select! {
                biased;
                () = self.daemon.wait_until_ending() => return Err(HeadEnd::NoMore),
                // Received bytes are read before a time limit may close the connection.
                read = fill(self.read, &mut self.buf) => return read.map_err(HeadEnd::Cut),
                () = sleep(limit), if has_limit => return Err(match has_begun {
                    true => HeadEnd::NoMore,
                    false => HeadEnd::Cut(CutReason::IdleTimeout),
                }),
                () = self.unanswered.answered(), if !has_limit => {}
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
        self.unanswered.push(self.attempt_id(&head));
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
        let tx = self.tx.as_ref()?;
        if expects_continue {
            tx.send(QueuedWrite::Continue).await.ok()?;
        }
        tx.send(QueuedWrite::Response(Box::new(queued)))
            .await
            .ok()?;
        Some(body_tx)
    }

    /// Returns the caller's id of its attempt, or an empty string if it has none.
    fn attempt_id(&self, head: &RequestHead) -> CompactString {
        let name = self.daemon.integration.headers.attempt_id.as_ref();
        let value = name.and_then(|name| head.headers.get(name));
        let id = value.and_then(|value| value.to_str().ok());
        id.unwrap_or_default().into()
    }

    /// Reads a request body and passes it to the request's task.
    async fn read_body(
        &mut self,
        framing: Framing,
        mut waits_for_continue: bool,
        tx: BodyTx,
    ) -> Result<(), CutReason> {
        let mut reader = BodyReader::new(framing);
        let mut is_short = false;
        loop {
            match reader.next_joined(&mut self.buf) {
                Ok(Piece::Bytes(bytes)) => {
                    is_short = bytes.len() < MIN_PIECE_BYTES;
                    tx.piece(bytes).await;
                }
                Ok(Piece::End) => {
                    tx.end().await;
                    return Ok(());
                }
                // Short chunks take much time for few bytes: other tasks run in between.
                Ok(Piece::NeedMore) if std::mem::take(&mut is_short) => yield_now().await,
                Ok(Piece::NeedMore) => match self.read_more_of_body(waits_for_continue).await {
                    Ok(()) => waits_for_continue = false,
                    Err(BodyEnd::Cut(reason)) => {
                        tx.fail(UploadError::Aborted).await;
                        return Err(reason);
                    }
                    Err(BodyEnd::TimedOut) => {
                        return Err(self.abandon_body(tx, UploadError::TimedOut).await);
                    }
                },
                Err(error) => {
                    log::debug!("event=body_malformed reason=\"{error}\"");
                    return Err(self.abandon_body(tx, UploadError::Aborted).await);
                }
            }
        }
    }

    /// Reads more bytes of a body within the idle timeout, which begins anew with each
    /// piece, so that a slow upload is not cut off. A caller that waits for `100 Continue`
    /// sends nothing until the requests before have their responses.
    async fn read_more_of_body(&mut self, waits_for_continue: bool) -> Result<(), BodyEnd> {
        let mut waits_for_others = waits_for_continue && self.unanswered.len() > 1;
        loop {
            let limit = self.daemon.idle_timeout();
            tokio::select! {
                biased;
                // Received bytes are read before the time limit may end the body.
                read = fill(self.read, &mut self.buf) => return read.map_err(BodyEnd::Cut),
                () = sleep(limit) => {
                    if !waits_for_others {
                        return Err(BodyEnd::TimedOut);
                    }
                    waits_for_others = self.unanswered.len() > 1;
                }
            }
        }
    }

    /// Gives up a body whose rest cannot be read. The responses that are due are still
    /// written, then the connection closes, since the start of the next request is unknown.
    async fn abandon_body(&mut self, tx: BodyTx, error: UploadError) -> CutReason {
        self.tx = None;
        tx.fail(error).await;
        self.wait_for_disconnect().await
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
        self.unanswered.push(CompactString::default());
        if let Some(tx) = self.tx.take() {
            let _ = tx.send(QueuedWrite::Response(Box::new(queued))).await;
        }
    }

    /// Waits until the caller disconnects, discarding what it still sends.
    async fn wait_for_disconnect(&mut self) -> CutReason {
        drain(self.read).await
    }
}

/// Reads more bytes.
///
/// # Errors
///
/// Returns an error if there are none, because the connection ended.
async fn fill(read: &mut OwnedReadHalf, buf: &mut BytesMut) -> Result<(), CutReason> {
    buf.reserve(READ_BYTES);
    match read.read_buf(buf).await {
        Ok(0) => Err(CutReason::CallerClosed),
        Ok(_) => Ok(()),
        Err(_) => Err(CutReason::ReadFailed),
    }
}

/// Writes the responses in the order of their requests. Returns the write half
/// for an orderly shutdown after the last response.
///
/// # Errors
///
/// Returns why a response is not written, or not completely.
async fn write_responses(
    daemon: &Arc<Daemon>,
    mut write: OwnedWriteHalf,
    mut rx: mpsc::Receiver<QueuedWrite>,
    unanswered: &Unanswered,
) -> Result<OwnedWriteHalf, CutReason> {
    let mut buf = BytesMut::new();
    while let Some(next) = rx.recv().await {
        let mut queued = match next {
            QueuedWrite::Response(queued) => queued,
            QueuedWrite::Continue => {
                buf.extend_from_slice(CONTINUE_RESPONSE);
                write_out(daemon, &mut write, &mut buf).await?;
                continue;
            }
        };
        let response = (&mut queued.response).await;
        let response = response.map_err(|_| CutReason::TaskEnded)?;
        let until_close = !queued.reads_chunks && response.has_unknown_length();
        // A request that was just read may not be in the queue yet.
        let is_last = rx.is_empty()
            && unanswered.len() <= 1
            && (rx.is_closed() || daemon.is_closing_connections());
        let close = !queued.keep_alive || until_close || is_last;
        if close {
            unanswered.begin_last_response();
        }
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
        let written = write_response(daemon, &mut write, &mut buf, format, response).await;
        if let Err(reason) = written {
            if until_close {
                // An orderly close would make the part that was sent look complete.
                reset_on_close(write);
            }
            return Err(reason);
        }
        if buf.capacity() > MAX_KEPT_BYTES {
            buf = BytesMut::new();
        }
        unanswered.pop();
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
    daemon: &Daemon,
    write: &mut OwnedWriteHalf,
    buf: &mut BytesMut,
    format: ResponseFormat<'_>,
    response: Response,
) -> Result<(), CutReason> {
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
        ResponseBody::Complete(mut bytes, _held) => {
            let framing = match bytes.len() as u64 {
                0 => Framing::Empty,
                len => Framing::Length(len),
            };
            let framing = declared_len
                .filter(|_| *method == Method::HEAD)
                .map_or(framing, Framing::Length);
            http1::write_response(buf, status, &headers, framing, keep_alive_s);
            if bodyless || bytes.len() <= MAX_COPIED_BYTES {
                if !bodyless {
                    buf.extend_from_slice(&bytes);
                }
                return write_out(daemon, write, buf).await;
            }
            write_out(daemon, write, buf).await?;
            write_out(daemon, write, &mut bytes).await
        }
        ResponseBody::Stream(len, mut driver) => {
            let framing = len.map_or(unknown_length, Framing::Length);
            http1::write_response(buf, status, &headers, framing, keep_alive_s);
            loop {
                let piece = driver.next_chunk().await;
                let Some(piece) = piece.map_err(|_| CutReason::ResponseBroken)? else {
                    break;
                };
                match framing {
                    Framing::Chunked => http1::write_chunk(buf, &piece),
                    _ => buf.extend_from_slice(&piece),
                }
                if buf.len() >= FLUSH_THRESHOLD_BYTES || framing != Framing::Chunked {
                    write_out(daemon, write, buf).await?;
                }
            }
            if framing == Framing::Chunked {
                http1::write_last_chunk(buf);
            }
            write_out(daemon, write, buf).await
        }
    }
}

/// Writes the whole buffer. The idle timeout begins anew with each part that the connection
/// takes, so that a slow reader is not cut off.
async fn write_out(
    daemon: &Daemon,
    write: &mut OwnedWriteHalf,
    buf: &mut impl Buf,
) -> Result<(), CutReason> {
    while buf.has_remaining() {
        let written = timeout(daemon.idle_timeout(), write.write_buf(buf)).await;
        match written {
            Ok(Ok(len)) if len > 0 => {}
            Ok(_) => return Err(CutReason::WriteFailed),
            Err(_) => return Err(CutReason::NotRead),
        }
    }
    Ok(())
}
