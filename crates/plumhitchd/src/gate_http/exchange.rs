//! One request and its answer on a connection to the upstream.

use super::call::UploadReader;
use super::pool::Connection;
use crate::runtime::Daemon;
use bytes::{Bytes, BytesMut};
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method};
use http1::{BodyReader, Framing, Piece, ResponseHead};
use std::fmt;
use std::io;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinHandle;

/// Bytes of an answer's head at most.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes read at a time.
const READ_BYTES: usize = 16 * 1024;
/// Bytes of a request's head, about.
const HEAD_BYTES: usize = 1024;
/// Bytes of a request that are written before its answer is looked for.
const SHORT_BYTES: usize = 8 * 1024;
/// Answers to other requests that are skipped before the right one.
const MAX_FOREIGN: usize = 4;

/// A request, ready to be sent.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub(super) method: Method,
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) framing: Framing,
    /// The body, or its beginning.
    pub(super) first: Bytes,
    /// Header by which an answer shows that it belongs to this request, and
    /// the value that it must have.
    pub(super) echo: Option<(HeaderName, HeaderValue)>,
}

/// Why there is no whole answer.
#[derive(Debug)]
pub(super) enum ExchangeError {
    /// No connection could be made; nothing was sent.
    Unreachable(io::Error),
    /// The request was cancelled, and its connection is closed.
    Cancelled,
    /// The connection broke, or what came is no answer to the request.
    Broken {
        /// What was seen.
        reason: &'static str,
        /// Whether the connection had carried another request, and nothing
        /// came back on it.
        stale: bool,
    },
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(err) => write!(f, "unreachable: {err}"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::Broken { reason, stale } => write!(f, "{reason} (reused and silent: {stale})"),
        }
    }
}

fn broken(reason: &'static str) -> ExchangeError {
    ExchangeError::Broken {
        reason,
        stale: false,
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    body: BodyReader,
    keep_alive: bool,
    read: OwnedReadHalf,
    buf: BytesMut,
    sending: Sending,
}

/// The writing half, or the task that still writes a long body.
#[derive(Debug)]
struct Sending {
    write: Option<OwnedWriteHalf>,
    task: Option<JoinHandle<io::Result<OwnedWriteHalf>>>,
}

impl Drop for Sending {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl Sending {
    /// Returns the writing half if all of the request was written.
    async fn done(&mut self) -> Option<OwnedWriteHalf> {
        if let Some(write) = self.write.take() {
            return Some(write);
        }
        let task = self.task.take_if(|task| task.is_finished())?;
        task.await.ok()?.ok()
    }
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// Returns why there is none.
pub(super) async fn send(
    daemon: Arc<Daemon>,
    request: Outgoing,
    upload: Option<UploadReader>,
) -> Result<Answer, ExchangeError> {
    let connection = daemon.pool.take().await;
    let connection = connection.map_err(ExchangeError::Unreachable)?;
    let Connection {
        stream,
        buf,
        reused,
    } = connection;
    let (read, write) = stream.into_split();
    let sending = start(&request, write, upload).await;
    let mut exchange = Exchange {
        read,
        buf,
        silent: true,
    };
    let head = match exchange.answer(&request).await {
        Ok(head) => head,
        Err(ExchangeError::Broken { reason, .. }) => {
            let stale = reused && exchange.silent;
            return Err(ExchangeError::Broken { reason, stale });
        }
        Err(err) => return Err(err),
    };
    let sending = sending.map_err(|_| broken("the request could not be written"))?;
    Ok(Answer {
        status: head.status,
        body: BodyReader::new(head.framing),
        keep_alive: head.keep_alive,
        headers: head.headers,
        read: exchange.read,
        buf: exchange.buf,
        sending,
    })
}

/// Writes a request; a long body goes on beside the answer, which may come
/// before its end.
async fn start(
    request: &Outgoing,
    mut write: OwnedWriteHalf,
    upload: Option<UploadReader>,
) -> io::Result<Sending> {
    let mut buf = BytesMut::with_capacity(HEAD_BYTES + request.first.len());
    let (method, target) = (&request.method, &request.target);
    http1::write_request(&mut buf, method, target, &request.headers, request.framing);
    let chunked = request.framing == Framing::Chunked;
    match chunked {
        true => http1::write_chunk(&mut buf, &request.first),
        false => buf.extend_from_slice(&request.first),
    }
    if upload.is_none() && chunked {
        http1::write_last_chunk(&mut buf);
    }
    if upload.is_none() && buf.len() <= SHORT_BYTES {
        write.write_all_buf(&mut buf).await?;
        return Ok(Sending {
            write: Some(write),
            task: None,
        });
    }
    let task = tokio::spawn(async move {
        write.write_all_buf(&mut buf).await?;
        if let Some(upload) = upload {
            write_rest(&mut write, &mut buf, upload, chunked).await?;
        }
        Ok(write)
    });
    Ok(Sending {
        write: None,
        task: Some(task),
    })
}

async fn write_rest(
    write: &mut OwnedWriteHalf,
    buf: &mut BytesMut,
    mut upload: UploadReader,
    chunked: bool,
) -> io::Result<()> {
    while let Some(piece) = upload.next().await {
        let piece = piece?;
        match chunked {
            true => http1::write_chunk(buf, &piece),
            false => buf.extend_from_slice(&piece),
        }
        write.write_all_buf(buf).await?;
    }
    if chunked {
        http1::write_last_chunk(buf);
        write.write_all_buf(buf).await?;
    }
    Ok(())
}

/// Reading until the right answer begins.
struct Exchange {
    read: OwnedReadHalf,
    buf: BytesMut,
    /// Whether nothing was read yet.
    silent: bool,
}

impl Exchange {
    /// Returns the head of the answer to the request. Interim answers, and
    /// answers that belong to earlier requests, are skipped.
    async fn answer(&mut self, request: &Outgoing) -> Result<ResponseHead, ExchangeError> {
        for _ in 0..=MAX_FOREIGN {
            let head = self.head(&request.method).await?;
            if (100..200).contains(&head.status) {
                continue;
            }
            let Some((name, value)) = &request.echo else {
                return Ok(head);
            };
            match head.headers.get(name) {
                Some(echoed) if echoed == value => return Ok(head),
                Some(_) => self.skip(&head).await?,
                None => return Err(broken("the answer names no request")),
            }
        }
        Err(broken("only answers to other requests came"))
    }

    async fn head(&mut self, method: &Method) -> Result<ResponseHead, ExchangeError> {
        loop {
            match http1::parse_response(&mut self.buf, MAX_HEAD_BYTES, method) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(_) => return Err(broken("what came is no answer")),
            }
            self.fill().await?;
        }
    }

    async fn skip(&mut self, head: &ResponseHead) -> Result<(), ExchangeError> {
        let mut body = BodyReader::new(head.framing);
        loop {
            match body.next(&mut self.buf) {
                Ok(Piece::Bytes(_)) => {}
                Ok(Piece::End) => return Ok(()),
                Ok(Piece::NeedMore) => self.fill().await?,
                Err(_) => return Err(broken("a late answer is not valid")),
            }
        }
    }

    async fn fill(&mut self) -> Result<(), ExchangeError> {
        self.buf.reserve(READ_BYTES);
        match self.read.read_buf(&mut self.buf).await {
            Ok(0) => Err(broken("the upstream closed the connection")),
            Ok(_) => {
                self.silent = false;
                Ok(())
            }
            Err(_) => Err(broken("the connection was reset")),
        }
    }
}

impl Answer {
    /// Returns the next piece of the body; `None` when it is whole.
    ///
    /// # Errors
    ///
    /// Returns that the body broke off.
    pub(super) async fn chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.body.next(&mut self.buf) {
                Ok(Piece::Bytes(bytes)) => return Ok(Some(bytes)),
                Ok(Piece::End) => return Ok(None),
                Ok(Piece::NeedMore) => {}
                Err(_) => return Err(broken("a chunk of the answer is not valid")),
            }
            self.buf.reserve(READ_BYTES);
            match self.read.read_buf(&mut self.buf).await {
                Ok(0) => {
                    let whole = self.body.handle_eof();
                    return whole
                        .map(|()| None)
                        .map_err(|_| broken("the answer broke off"));
                }
                Ok(_) => {}
                Err(_) => return Err(broken("the connection was reset in the answer")),
            }
        }
    }

    /// Returns the whole body of a short answer.
    ///
    /// # Errors
    ///
    /// Returns that the body broke off, or is longer than `max` bytes.
    pub(super) async fn short_body(&mut self, max: usize) -> Result<Vec<u8>, ExchangeError> {
        let mut body = Vec::new();
        while let Some(bytes) = self.chunk().await? {
            body.extend_from_slice(&bytes);
            if body.len() > max {
                return Err(broken("the answer is too long"));
            }
        }
        Ok(body)
    }

    /// Reads the rest of a short answer, and keeps the connection.
    pub(super) async fn finish_short(mut self, daemon: &Daemon) {
        if self.short_body(MAX_HEAD_BYTES).await.is_ok() {
            self.finish(daemon).await;
        }
    }

    /// Keeps the connection for another request if nothing is left on it.
    pub(super) async fn finish(mut self, daemon: &Daemon) {
        if !self.keep_alive || !self.buf.is_empty() {
            return;
        }
        let Some(write) = self.sending.done().await else {
            return;
        };
        if let Ok(stream) = self.read.reunite(write) {
            let connection = Connection {
                stream,
                buf: self.buf,
                reused: true,
            };
            daemon.pool.put(connection, &self.headers);
        }
    }
}
