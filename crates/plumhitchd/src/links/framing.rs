//! Reads and writes the frames of one connection and routes received frames.

use super::HELLO_TIMEOUT;
use super::active_read::ActiveRead;
use super::link::Link;
use super::stream::stream_of;
use crate::gate_http;
use crate::runtime::Daemon;
use bytes::{Buf, BytesMut};
use compact_str::CompactString;
use futures_util::StreamExt;
use node::{Event, LinkId};
use std::fmt;
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{Encoder, FramedRead};
use wire::{
    Body, CodecError, Frame, FrameCodec, Hello, LinkKind, PROTOCOL_VERSION, Pong, StreamId,
};

/// Size from which the encoded frames are written out. A frame that is queued
/// meanwhile waits for them, so they are not much more than a piece of a body.
const WRITE_BYTES: usize = flow::MAX_PIECE_BYTES;
/// Oldest supported protocol version.
const OLDEST_VERSION: u32 = 1;

/// Why a connection ended.
#[derive(Debug)]
pub(super) enum LinkError {
    /// Reading or writing failed.
    Codec(CodecError),
    /// The peer closed it.
    Closed,
    /// The peer sent no `Hello` in time, or another frame first.
    NoHello,
    /// The peer sent no `Hello` before too many others connected.
    Displaced,
    /// The peer uses an unsupported protocol version.
    Version(u32),
    /// The peer opened a stream with an id that is not above the previous one.
    StreamReused(StreamId),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Codec(err) => write!(f, "{err}"),
            Self::Closed => f.write_str("closed by the peer"),
            Self::NoHello => f.write_str("no hello frame from the peer"),
            Self::Displaced => f.write_str("too many connections"),
            Self::Version(version) => write!(f, "unsupported protocol version {version}"),
            Self::StreamReused(id) => write!(f, "stream id {id} was reused or is out of order"),
        }
    }
}

impl From<CodecError> for LinkError {
    fn from(err: CodecError) -> Self {
        Self::Codec(err)
    }
}

/// The side of a connection that this daemon is on.
#[derive(Clone, Copy, Debug)]
pub(super) enum Side {
    /// This daemon dialled.
    Dialled(LinkKind),
    /// The peer dialled.
    Accepted(LinkId),
}

/// Exchanges frames until the connection ends; returns the reason.
pub(super) async fn run(
    daemon: &Arc<Daemon>,
    link: &Arc<Link>,
    stream: TcpStream,
    side: Side,
) -> LinkError {
    let (read, write) = stream.into_split();
    let kind = match side {
        Side::Dialled(kind) => kind,
        Side::Accepted(_) => LinkKind::Unknown,
    };
    let hello = Hello {
        version: PROTOCOL_VERSION,
        daemon: daemon.cfg.daemon.name.to_string(),
        kind: kind.into(),
    };
    link.record_connected();
    let writing = write_frames(link, write, Body::Hello(hello), side);
    let reading = read_frames(daemon, link, read, side);
    tokio::select! {
        err = writing => err,
        err = reading => err,
    }
}

async fn write_frames(link: &Link, write: OwnedWriteHalf, hello: Body, side: Side) -> LinkError {
    let mut codec = FrameCodec::new();
    let mut buf = BytesMut::new();
    if let Err(err) = codec.encode(Frame::new(hello), &mut buf) {
        return err.into();
    }
    if matches!(side, Side::Dialled(LinkKind::Data)) {
        // What is written to a peer may run there, depending on its protocol version.
        link.record_sent();
        if let Err(err) = write_out(link, &write, &mut buf).await {
            return CodecError::Io(err).into();
        }
        link.wait_for_hello().await;
    }
    loop {
        if let Err(err) = encode_queued(link, &mut codec, &mut buf) {
            return err.into();
        }
        if buf.is_empty() {
            link.wait_for_frame().await;
            continue;
        }
        link.record_sent();
        if let Err(err) = write_out(link, &write, &mut buf).await {
            return CodecError::Io(err).into();
        }
    }
}

/// Encodes queued frames, up to [`WRITE_BYTES`].
fn encode_queued(
    link: &Link,
    codec: &mut FrameCodec,
    buf: &mut BytesMut,
) -> Result<(), CodecError> {
    while buf.len() < WRITE_BYTES
        && let Some(body) = link.next_frame()
    {
        codec.encode(Frame::new(body), buf)?;
    }
    Ok(())
}

/// Writes the buffer to the connection.
async fn write_out(link: &Link, write: &OwnedWriteHalf, buf: &mut BytesMut) -> io::Result<()> {
    while !buf.is_empty() {
        match write.try_write(buf) {
            Ok(written) => buf.advance(written),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                // The send buffer is full: space means that the peer accepted bytes.
                write.writable().await?;
                link.record_accepted();
            }
            Err(err) => return Err(err),
        }
    }
    Ok(())
}

async fn read_frames(
    daemon: &Arc<Daemon>,
    link: &Arc<Link>,
    read: OwnedReadHalf,
    side: Side,
) -> LinkError {
    let read = ActiveRead::new(read, link.clone());
    let mut frames = FramedRead::new(read, FrameCodec::new());
    let Ok(first) = timeout(HELLO_TIMEOUT, frames.next()).await else {
        return LinkError::NoHello;
    };
    let hello = match hello(first) {
        Ok(hello) => hello,
        Err(err) => return err,
    };
    link.set_peer_version(hello.version);
    let mut peer = Peer {
        name: hello.daemon.into(),
        last_stream: 0,
    };
    loop {
        let body = match frames.next().await {
            Some(Ok(frame)) => frame.body,
            Some(Err(err)) => return err.into(),
            None => return LinkError::Closed,
        };
        let Some(body) = body else {
            continue;
        };
        if let Err(err) = route(daemon, link, side, &mut peer, body) {
            return err;
        }
    }
}

/// The daemon at the other end of the connection.
struct Peer {
    name: CompactString,
    last_stream: StreamId,
}

/// Returns the `Hello` that a peer sent as its first frame.
fn hello(first: Option<Result<Frame, CodecError>>) -> Result<Hello, LinkError> {
    let Some(frame) = first else {
        return Err(LinkError::Closed);
    };
    let Some(Body::Hello(hello)) = frame?.body else {
        return Err(LinkError::NoHello);
    };
    match hello.version >= OLDEST_VERSION {
        true => Ok(hello),
        false => Err(LinkError::Version(hello.version)),
    }
}

fn route(
    daemon: &Arc<Daemon>,
    link: &Arc<Link>,
    side: Side,
    peer: &mut Peer,
    body: Body,
) -> Result<(), LinkError> {
    if let Some(id) = stream_of(&body) {
        link.streams.deliver(id, body);
        return Ok(());
    }
    match (body, side) {
        (Body::Hello(_) | Body::Pong(_), _) | (Body::Open(_), Side::Dialled(_)) => {}
        (Body::Ping(_), _) => link.send(Body::Pong(Pong {})),
        (Body::Open(open), Side::Accepted(_)) => {
            if open.stream <= peer.last_stream {
                return Err(LinkError::StreamReused(open.stream));
            }
            peer.last_stream = open.stream;
            gate_http::start(daemon, link, open);
        }
        (body, side) => daemon.handle_event(Event::Received {
            link: match side {
                Side::Dialled(_) => None,
                Side::Accepted(id) => Some(id),
            },
            daemon: peer.name.clone(),
            body,
        }),
    }
    Ok(())
}
