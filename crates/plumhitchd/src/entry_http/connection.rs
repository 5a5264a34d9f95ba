//! One caller's connection: requests are read as they come, run side by side,
//! and are answered in their order.

use super::answer::{Answer, AnswerBody};
use super::body::{BodyTx, channel};
use super::request;
use crate::runtime::Daemon;
use crate::task_messages::UploadError;
use bytes::BytesMut;
use http::Method;
use http1::{BodyReader, Framing, HeadError, Piece, RequestHead};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Requests of a connection that are under way at once.
const MAX_PIPELINED: usize = 64;
/// Bytes read at a time.
const READ_BYTES: usize = 8 * 1024;
/// Bytes of answers that are gathered for one write.
const WRITE_BYTES: usize = 64 * 1024;
/// Time for which a connection that is closed here is read on: what the caller
/// still sends would otherwise reset it and lose the last answer.
const DRAIN: Duration = Duration::from_secs(1);
/// Answer to a caller that waits for leave to send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How reading ended.
enum End {
    /// The caller is gone.
    Gone,
    /// No further request is taken; those before are still answered.
    Done,
}

/// Something to be written, in order.
enum Pending {
    /// Leave to send a body.
    Continue,
    /// The answer to a request.
    Answer(Box<Asked>),
}

/// A request whose answer is awaited; its task ends when this is dropped.
struct Asked {
    answer: oneshot::Receiver<Answer>,
    task: AbortHandle,
    keep_alive: bool,
    method: Method,
}

impl Drop for Asked {
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
    let pending = AtomicUsize::new(0);
    let mut reader = Reader {
        daemon,
        read: &mut read,
        buf: BytesMut::new(),
        pending: &pending,
        tx: Some(tx),
        used: false,
    };
    let reading = async {
        match reader.run().await {
            End::Gone => {}
            End::Done => reader.wait_until_gone().await,
        }
    };
    let writing = write_answers(daemon, write, rx, &pending);
    let written = tokio::select! {
        () = reading => return,
        written = writing => written,
    };
    if let Ok(mut write) = written
        && write.shutdown().await.is_ok()
    {
        let _ = timeout(DRAIN, drain(&mut read)).await;
    }
}

/// Reads until the caller closes.
async fn drain(read: &mut OwnedReadHalf) {
    let mut buf = vec![0; READ_BYTES];
    while read.read(&mut buf).await.is_ok_and(|n| n > 0) {}
}

struct Reader<'a> {
    daemon: &'a Arc<Daemon>,
    read: &'a mut OwnedReadHalf,
    buf: BytesMut,
    pending: &'a AtomicUsize,
    tx: Option<mpsc::Sender<Pending>>,
    /// Whether a request has come on this connection.
    used: bool,
}

impl Reader<'_> {
    async fn run(&mut self) -> End {
        loop {
            let head = match self.head().await {
                Ok(Some(head)) => head,
                Ok(None) => return End::Gone,
                Err(error) => {
                    self.refuse(error).await;
                    return End::Done;
                }
            };
            self.used = true;
            let keep_alive = head.keep_alive;
            let framing = head.framing;
            let Some(body_tx) = self.begin(head).await else {
                return End::Gone;
            };
            if framing != Framing::Empty && !self.body(framing, body_tx).await {
                return End::Gone;
            }
            if !keep_alive {
                self.tx = None;
                return End::Done;
            }
        }
    }

    /// Reads the next head; `None` when the caller is gone or idle too long.
    async fn head(&mut self) -> Result<Option<RequestHead>, HeadError> {
        let max = self.daemon.max_header_bytes();
        loop {
            if !self.buf.is_empty()
                && let Some(head) = http1::parse_request(&mut self.buf, max)?
            {
                return Ok(Some(head));
            }
            if !self.more_of_head().await {
                return Ok(None);
            }
        }
    }

    /// Reads on within the time that a head may take, or that a connection may
    /// be idle; returns whether anything came. Beside a stop a used connection
    /// is closed while it is idle; a new one has its first request answered.
    async fn more_of_head(&mut self) -> bool {
        let bound = match self.buf.is_empty() {
            true => self.daemon.idle_timeout(),
            false => self.daemon.header_timeout(),
        };
        loop {
            let pending = self.pending.load(Ordering::Acquire);
            let idle = self.used && self.buf.is_empty() && pending == 0;
            let stopping = self.daemon.wait_until_closing();
            tokio::select! {
                // What has come is read before the connection may be closed.
                biased;
                read = timeout(bound, fill(self.read, &mut self.buf)) => match read {
                    Ok(read) => return read.is_ok_and(|n| n > 0),
                    // An answer under way keeps the connection open.
                    Err(_) if self.buf.is_empty() && self.pending.load(Ordering::Acquire) > 0 => {}
                    Err(_) => return false,
                },
                () = stopping, if idle => return false,
            }
        }
    }

    /// Starts a request's task; returns where its body goes.
    async fn begin(&mut self, head: RequestHead) -> Option<BodyTx> {
        let (body_tx, body) = channel();
        let (answer_tx, answer) = oneshot::channel();
        let keep_alive = head.keep_alive;
        let method = head.method.clone();
        let expects_continue = head.expects_continue;
        let handled = request::handle(self.daemon.clone(), head, body);
        let task = tokio::spawn(async move {
            let _ = answer_tx.send(handled.await);
        });
        let asked = Asked {
            answer,
            task: task.abort_handle(),
            keep_alive,
            method,
        };
        self.pending.fetch_add(1, Ordering::AcqRel);
        let tx = self.tx.as_ref()?;
        if expects_continue {
            tx.send(Pending::Continue).await.ok()?;
        }
        tx.send(Pending::Answer(Box::new(asked))).await.ok()?;
        Some(body_tx)
    }

    /// Reads a body, for its task as long as that wants it; returns whether
    /// the connection can go on.
    async fn body(&mut self, framing: Framing, tx: BodyTx) -> bool {
        let mut reader = BodyReader::new(framing);
        loop {
            match reader.next(&mut self.buf) {
                Ok(Piece::Bytes(bytes)) => {
                    // A task that has its answer already reads no more.
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
                    self.wait_until_gone().await;
                    return false;
                }
            }
        }
    }

    /// Answers a head that can't be taken; nothing after it can be read.
    async fn refuse(&mut self, error: HeadError) {
        let (answer_tx, answer) = oneshot::channel();
        let _ = answer_tx.send(super::refusal::bad_head(self.daemon, error));
        let asked = Asked {
            answer,
            task: tokio::spawn(async {}).abort_handle(),
            keep_alive: false,
            method: Method::GET,
        };
        if let Some(tx) = self.tx.take() {
            let _ = tx.send(Pending::Answer(Box::new(asked))).await;
        }
    }

    /// Waits until the caller closes; what it still sends is dropped.
    async fn wait_until_gone(&mut self) {
        drain(self.read).await;
    }
}

async fn fill(read: &mut OwnedReadHalf, buf: &mut BytesMut) -> io::Result<usize> {
    buf.reserve(READ_BYTES);
    read.read_buf(buf).await
}

/// Writes the answers in the order of their requests. Returns the connection
/// when it is to be closed properly.
async fn write_answers(
    daemon: &Arc<Daemon>,
    mut write: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Pending>,
    pending: &AtomicUsize,
) -> io::Result<OwnedWriteHalf> {
    let mut buf = BytesMut::new();
    while let Some(next) = rx.recv().await {
        let mut asked = match next {
            Pending::Answer(asked) => asked,
            Pending::Continue => {
                write.write_all(CONTINUE).await?;
                continue;
            }
        };
        let answer = (&mut asked.answer).await;
        let answer = answer.map_err(|_| io::Error::from(io::ErrorKind::ConnectionAborted))?;
        let closes = !asked.keep_alive || daemon.is_closing_connections() && rx.is_empty();
        let idle = (!closes).then(|| daemon.idle_timeout().as_secs());
        write_answer(&mut write, &mut buf, &asked.method, answer, idle).await?;
        pending.fetch_sub(1, Ordering::AcqRel);
        if closes {
            return Ok(write);
        }
    }
    Ok(write)
}

/// Writes one answer.
///
/// # Errors
///
/// Returns that the answer broke off, or why the connection can't be written.
async fn write_answer(
    write: &mut OwnedWriteHalf,
    buf: &mut BytesMut,
    method: &Method,
    answer: Answer,
    idle: Option<u64>,
) -> io::Result<()> {
    let Answer {
        status,
        headers,
        body,
        announced,
    } = answer;
    let bodyless = *method == Method::HEAD || http1::is_bodyless(status);
    match body {
        AnswerBody::Whole(bytes) => {
            let framing = match bytes.len() as u64 {
                0 => Framing::Empty,
                len => Framing::Length(len),
            };
            let framing = announced
                .filter(|_| *method == Method::HEAD)
                .map_or(framing, Framing::Length);
            http1::write_response(buf, status, &headers, framing, idle);
            if !bodyless {
                buf.extend_from_slice(&bytes);
            }
            write.write_all_buf(buf).await
        }
        AnswerBody::Pieces(len, mut driver) => {
            let framing = len.map_or(Framing::Chunked, Framing::Length);
            http1::write_response(buf, status, &headers, framing, idle);
            while let Some(piece) = driver.chunk().await {
                let piece = piece?;
                match framing {
                    Framing::Chunked => http1::write_chunk(buf, &piece),
                    _ => buf.extend_from_slice(&piece),
                }
                if buf.len() >= WRITE_BYTES || framing != Framing::Chunked {
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
