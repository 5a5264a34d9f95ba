//! One HTTP exchange, a request and its response, on a connection to the
//! upstream.

use super::pool::{AttemptHash, Connection};
use super::upstream_request::UploadReader;
use crate::runtime::Daemon;
use bytes::{Bytes, BytesMut};
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method};
use http1::{BodyReader, ConnectionEnd, Framing, Piece, ResponseHead};
use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Buffer space reserved for a request head, in bytes.
const HEAD_CAPACITY_BYTES: usize = 1024;
/// Maximum size of a request that is written completely before its response is
/// read; a longer one is written by a task.
const MAX_INLINE_WRITE_BYTES: usize = 8 * 1024;
/// Maximum number of body bytes that are copied for one write.
const MAX_WRITE_BYTES: usize = 64 * 1024;
/// Maximum number of interim responses and responses to other requests that are
/// skipped.
const MAX_SKIPPED_RESPONSES: usize = 4;

/// Maximum time for reading the rest of a response that is not needed, so that its
/// connection can be used again.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for the task that writes a request to report the error of its connection.
const WRITE_ERROR_TIME: Duration = Duration::from_millis(500);

/// A request to the upstream.
#[derive(Debug)]
pub(super) struct UpstreamRequest {
    /// Number of the start of the upstream that it is for.
    pub(super) start: u64,
    pub(super) method: Method,
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) framing: Framing,
    /// The body, or its beginning if the rest is uploaded.
    pub(super) body_start: Bytes,
    /// How the response to this request is recognised.
    pub(super) echo: Echo,
}

/// How the response to a request is recognised among late and second copies of others.
#[derive(Debug)]
pub(super) enum Echo {
    /// It repeats this header.
    Required(HeaderName, HeaderValue),
    /// If it has this header, it has this value.
    IfPresent(HeaderName, HeaderValue),
    /// It does not have this header, which responses to callers' requests have.
    Absent(HeaderName),
    /// Not at all.
    Unchecked,
}

/// Whether a response is the one to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Match {
    Own,
    Other,
    Unknown,
}

impl Echo {
    /// Returns the hash of the id that the caller gave to its attempt. Ids that this daemon
    /// draws occur once only.
    fn attempt(&self) -> Option<AttemptHash> {
        match self {
            Self::Required(_, id) => Some(xxh3_64(id.as_bytes())),
            Self::IfPresent(..) | Self::Absent(_) | Self::Unchecked => None,
        }
    }

    fn check(&self, headers: &HeaderMap) -> Match {
        let (name, expected, if_missing) = match self {
            Self::Required(name, value) => (name, Some(value), Match::Unknown),
            Self::IfPresent(name, value) => (name, Some(value), Match::Own),
            Self::Absent(name) => (name, None, Match::Own),
            Self::Unchecked => return Match::Own,
        };
        match headers.get(name) {
            None => if_missing,
            Some(echoed) if Some(echoed) == expected => Match::Own,
            Some(_) => Match::Other,
        }
    }
}

/// Why no complete response was received.
#[derive(Debug)]
pub(super) enum ExchangeError {
    /// No connection could be established; nothing was sent.
    Unreachable(io::Error),
    /// The address passed to another start of the upstream; nothing was sent to it.
    Replaced,
    /// The request was cancelled and its connection closed.
    Cancelled,
    /// The connection failed, or the response is not valid.
    Broken {
        /// What failed.
        reason: &'static str,
        /// Whether the connection was reused and nothing was received on it, as
        /// when the upstream closes an idle connection.
        stale: bool,
    },
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(err) => write!(f, "cannot connect to the upstream: {err}"),
            Self::Replaced => f.write_str("the address passed to another start of the upstream"),
            Self::Cancelled => f.write_str("the request was cancelled"),
            Self::Broken { reason, stale } => write!(
                f,
                "{reason} (reused connection, no bytes received: {stale})"
            ),
        }
    }
}

fn broken(reason: &'static str) -> ExchangeError {
    ExchangeError::Broken {
        reason,
        stale: false,
    }
}

/// A response whose head was received.
#[derive(Debug)]
pub(super) struct UpstreamResponse {
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    body: BodyReader,
    keep_alive: bool,
    read: OwnedReadHalf,
    buf: BytesMut,
    writer: RequestWriter,
    /// Start of the upstream that its connection leads to.
    start: u64,
    /// What its connection has carried.
    attempts: Vec<AttemptHash>,
}

/// Why a long request was not written to its end.
#[derive(Debug)]
enum WriteError {
    /// The rest of the body did not come.
    Upload,
    /// The connection failed.
    Connection(io::Error),
}

impl From<io::Error> for WriteError {
    fn from(error: io::Error) -> Self {
        Self::Connection(error)
    }
}

/// The write half after a short request, or the task that writes a long one.
#[derive(Debug)]
struct RequestWriter {
    write: Option<OwnedWriteHalf>,
    task: Option<JoinHandle<Result<OwnedWriteHalf, WriteError>>>,
}

impl Drop for RequestWriter {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl RequestWriter {
    /// Returns the write half if the request was written completely.
    async fn take_finished(&mut self) -> Option<OwnedWriteHalf> {
        if let Some(write) = self.write.take() {
            return Some(write);
        }
        let task = self.task.take_if(|task| task.is_finished())?;
        task.await.ok()?.ok()
    }

    /// Returns how the connection has ended, once its read half has reported an end.
    ///
    /// The system reports a reset once, to whoever uses the connection first. If that was
    /// the task that writes the request, the read half reports an ordinary end.
    async fn connection_end(&mut self, read: &OwnedReadHalf) -> ConnectionEnd {
        let Some(task) = &mut self.task else {
            return ConnectionEnd::Closed;
        };
        // A connection that only the peer has closed can still be written to.
        if !task.is_finished() && read.peer_addr().is_ok() {
            return ConnectionEnd::Closed;
        }
        if let Ok(Some(error)) = read.as_ref().take_error() {
            return end_of(&error);
        }
        let written = timeout(WRITE_ERROR_TIME, task).await;
        self.task = None;
        match written {
            Ok(Ok(Ok(_) | Err(WriteError::Upload))) => ConnectionEnd::Closed,
            Ok(Ok(Err(WriteError::Connection(error)))) => end_of(&error),
            Ok(Err(_)) | Err(_) => ConnectionEnd::Reset,
        }
    }
}

/// Returns how a connection has ended that reports an error after its end. The pipe is broken
/// if the peer had closed the connection before it was reset.
fn end_of(error: &io::Error) -> ConnectionEnd {
    match error.kind() {
        io::ErrorKind::BrokenPipe => ConnectionEnd::Closed,
        _ => ConnectionEnd::Reset,
    }
}

/// Sends a request and waits for the head of its response.
///
/// # Errors
///
/// Returns an error if no valid response head was received.
pub(super) async fn send(
    daemon: Arc<Daemon>,
    mut request: UpstreamRequest,
    upload: Option<UploadReader>,
) -> Result<UpstreamResponse, ExchangeError> {
    let connection = daemon
        .pool
        .take(request.start, request.echo.attempt())
        .await;
    let connection = connection.map_err(ExchangeError::Unreachable)?;
    if !daemon.is_upstream_start(request.start) {
        return Err(ExchangeError::Replaced);
    }
    let Connection {
        stream,
        buf,
        start,
        reused,
        attempts,
    } = connection;
    let (read, write) = stream.into_split();
    let body_start = std::mem::take(&mut request.body_start);
    let writer = start_writing(&request, body_start, write, upload).await;
    let mut reader = ResponseReader {
        read,
        buf,
        nothing_received: true,
    };
    let head = match reader.response_head(&request).await {
        Ok(head) => head,
        Err(ExchangeError::Broken { reason, .. }) => {
            let stale = reused && reader.nothing_received;
            return Err(ExchangeError::Broken { reason, stale });
        }
        Err(err) => return Err(err),
    };
    let writer = writer.map_err(|_| broken("the request could not be written to the upstream"))?;
    Ok(UpstreamResponse {
        status: head.status,
        body: BodyReader::new(head.framing),
        keep_alive: head.keep_alive,
        headers: head.headers,
        read: reader.read,
        buf: reader.buf,
        writer,
        start,
        attempts,
    })
}

/// Writes a request. A long one is written by a task, because the upstream may
/// respond before the end of the body.
async fn start_writing(
    request: &UpstreamRequest,
    body_start: Bytes,
    mut write: OwnedWriteHalf,
    upload: Option<UploadReader>,
) -> io::Result<RequestWriter> {
    let copied_bytes = body_start.len().min(MAX_WRITE_BYTES);
    let mut buf = BytesMut::with_capacity(HEAD_CAPACITY_BYTES + copied_bytes);
    let (method, target) = (&request.method, &request.target);
    http1::write_request(&mut buf, method, target, &request.headers, request.framing);
    let chunked = request.framing == Framing::Chunked;
    if upload.is_none() && buf.len() + body_start.len() <= MAX_INLINE_WRITE_BYTES {
        add_body(&mut buf, &body_start, chunked);
        if chunked {
            http1::write_last_chunk(&mut buf);
        }
        write.write_all_buf(&mut buf).await?;
        return Ok(RequestWriter {
            write: Some(write),
            task: None,
        });
    }
    let task = tokio::spawn(async move {
        write_body_start(&mut write, &mut buf, body_start, chunked).await?;
        if let Some(upload) = upload {
            write_upload(&mut write, &mut buf, upload, chunked).await?;
        }
        if chunked {
            http1::write_last_chunk(&mut buf);
        }
        write.write_all_buf(&mut buf).await?;
        Ok(write)
    });
    Ok(RequestWriter {
        write: None,
        task: Some(task),
    })
}

fn add_body(buf: &mut BytesMut, bytes: &[u8], chunked: bool) {
    match chunked {
        true => http1::write_chunk(buf, bytes),
        false => buf.extend_from_slice(bytes),
    }
}

/// Writes what is in the buffer and the beginning of the body, which is not copied as a whole
/// and is released once it is written.
async fn write_body_start(
    write: &mut OwnedWriteHalf,
    buf: &mut BytesMut,
    mut body_start: Bytes,
    chunked: bool,
) -> io::Result<()> {
    loop {
        let part = body_start.split_to(body_start.len().min(MAX_WRITE_BYTES));
        add_body(buf, &part, chunked);
        write.write_all_buf(buf).await?;
        if body_start.is_empty() {
            return Ok(());
        }
    }
}

async fn write_upload(
    write: &mut OwnedWriteHalf,
    buf: &mut BytesMut,
    mut upload: UploadReader,
    chunked: bool,
) -> Result<(), WriteError> {
    while let Some(piece) = upload.next().await {
        let piece = piece.map_err(|_| WriteError::Upload)?;
        add_body(buf, &piece, chunked);
        write.write_all_buf(buf).await?;
    }
    Ok(())
}

/// Reads from a connection until the response to the request begins.
struct ResponseReader {
    read: OwnedReadHalf,
    buf: BytesMut,
    /// Whether no byte was received yet.
    nothing_received: bool,
}

impl ResponseReader {
    /// Returns the head of the response to the request. Interim responses and
    /// responses to earlier requests are skipped.
    async fn response_head(
        &mut self,
        request: &UpstreamRequest,
    ) -> Result<ResponseHead, ExchangeError> {
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            let head = self.next_head(&request.method).await?;
            if (100..200).contains(&head.status) {
                continue;
            }
            match request.echo.check(&head.headers) {
                Match::Own => return Ok(head),
                Match::Other => self.skip_body(&head).await?,
                Match::Unknown => {
                    return Err(broken(
                        "the response does not repeat the attempt id header of the request",
                    ));
                }
            }
        }
        Err(broken(
            "too many interim responses or responses to other requests",
        ))
    }

    async fn next_head(&mut self, method: &Method) -> Result<ResponseHead, ExchangeError> {
        loop {
            match http1::parse_response(&mut self.buf, MAX_HEAD_BYTES, method) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(_) => return Err(broken("the response head is not valid")),
            }
            self.fill().await?;
        }
    }

    async fn skip_body(&mut self, head: &ResponseHead) -> Result<(), ExchangeError> {
        let mut body = BodyReader::new(head.framing);
        loop {
            match body.next(&mut self.buf) {
                Ok(Piece::Bytes(_)) => {}
                Ok(Piece::End) => return Ok(()),
                Ok(Piece::NeedMore) => self.fill().await?,
                Err(_) => {
                    return Err(broken(
                        "the body of a response to an earlier request is not valid",
                    ));
                }
            }
        }
    }

    async fn fill(&mut self) -> Result<(), ExchangeError> {
        self.buf.reserve(READ_BYTES);
        match self.read.read_buf(&mut self.buf).await {
            Ok(0) => Err(broken(
                "the upstream closed the connection before the response",
            )),
            Ok(_) => {
                self.nothing_received = false;
                Ok(())
            }
            Err(_) => Err(broken(
                "reading from the connection failed before the response",
            )),
        }
    }
}

impl UpstreamResponse {
    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut off or not valid.
    pub(super) async fn next_chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.body.next_joined(&mut self.buf) {
                Ok(Piece::Bytes(bytes)) => return Ok(Some(bytes)),
                Ok(Piece::End) => return Ok(None),
                Ok(Piece::NeedMore) => {}
                Err(_) => return Err(broken("the body of the response is not valid")),
            }
            self.buf.reserve(READ_BYTES);
            match self.read.read_buf(&mut self.buf).await {
                Ok(0) => {
                    let end = match self.body.reads_until_close() {
                        true => self.writer.connection_end(&self.read).await,
                        false => ConnectionEnd::Closed,
                    };
                    let complete = self.body.handle_eof(end);
                    return complete.map(|()| None).map_err(|_| {
                        broken("the connection ended before the end of the response")
                    });
                }
                Ok(_) => {}
                Err(_) => {
                    return Err(broken(
                        "reading from the connection failed before the end of the response",
                    ));
                }
            }
        }
    }

    /// Reads the complete body of a small response.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut off, not valid or longer than `max`
    /// bytes.
    pub(super) async fn read_small_body(&mut self, max: usize) -> Result<Vec<u8>, ExchangeError> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next_chunk().await? {
            body.extend_from_slice(&bytes);
            if body.len() > max {
                return Err(broken("the response is longer than allowed"));
            }
        }
        Ok(body)
    }

    /// Reads and discards the body of a small response, and returns the
    /// connection to the pool.
    pub(super) async fn drain_and_release(mut self, daemon: &Daemon) {
        let drained = timeout(DRAIN_TIMEOUT, self.read_small_body(MAX_HEAD_BYTES)).await;
        if matches!(drained, Ok(Ok(_))) {
            self.release(daemon).await;
        }
    }

    /// Returns the connection to the pool if it can be reused: the request was
    /// written completely and no surplus bytes were received.
    pub(super) async fn release(mut self, daemon: &Daemon) {
        if !self.keep_alive || !self.buf.is_empty() {
            return;
        }
        let Some(write) = self.writer.take_finished().await else {
            return;
        };
        if let Ok(stream) = self.read.reunite(write) {
            let connection = Connection {
                stream,
                buf: self.buf,
                start: self.start,
                reused: true,
                attempts: self.attempts,
            };
            daemon.pool.put(connection, &self.headers);
        }
    }
}
