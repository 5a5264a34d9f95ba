//! Reads and writes the frames of one connection and routes received frames.

use super::HELLO_TIMEOUT;
use super::link::{FrameRx, Link};
use super::stream::stream_of;
use crate::gate_http;
use crate::runtime::Daemon;
use bytes::BytesMut;
use compact_str::CompactString;
use futures_util::StreamExt;
use node::{Event, LinkId};
use std::fmt;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{Encoder, FramedRead};
use wire::{
    Body, CodecError, Frame, FrameCodec, Hello, LinkKind, PROTOCOL_VERSION, Pong, StreamId,
};

/// Size from which the encoded frames are written out.
const WRITE_BYTES: usize = 128 * 1024;
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
    rx: FrameRx,
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
    let writing = write_frames(link, write, rx, Body::Hello(hello));
    let reading = read_frames(daemon, link, read, side);
    tokio::select! {
        err = writing => err,
        err = reading => err,
    }
}

async fn write_frames(
    link: &Link,
    mut write: OwnedWriteHalf,
    mut rx: FrameRx,
    hello: Body,
) -> LinkError {
    let mut codec = FrameCodec::new();
    let mut buf = BytesMut::new();
    let mut next = Some(hello);
    while let Some(body) = next {
        if let Err(err) = encode_queued(link, &mut codec, &mut buf, &mut rx, body) {
            return err.into();
        }
        link.touch();
        if let Err(err) = write.write_all_buf(&mut buf).await {
            return CodecError::Io(err).into();
        }
        next = rx.recv().await;
    }
    LinkError::Closed
}

/// Encodes a frame and those queued behind it, up to [`WRITE_BYTES`].
fn encode_queued(
    link: &Link,
    codec: &mut FrameCodec,
    buf: &mut BytesMut,
    rx: &mut FrameRx,
    first: Body,
) -> Result<(), CodecError> {
    let mut next = Some(first);
    while let Some(body) = next {
        if let Body::Open(open) = &body {
            link.streams.mark_sent(open.stream);
        }
        codec.encode(Frame::new(body), buf)?;
        next = match buf.len() < WRITE_BYTES {
            true => rx.try_recv().ok(),
            false => None,
        };
    }
    Ok(())
}

async fn read_frames(
    daemon: &Arc<Daemon>,
    link: &Arc<Link>,
    read: OwnedReadHalf,
    side: Side,
) -> LinkError {
    let mut frames = FramedRead::new(read, FrameCodec::new());
    let Ok(first) = timeout(HELLO_TIMEOUT, frames.next()).await else {
        return LinkError::NoHello;
    };
    let mut peer = match peer_name(first) {
        Ok(name) => Peer {
            name,
            last_stream: 0,
        },
        Err(err) => return err,
    };
    loop {
        let body = match frames.next().await {
            Some(Ok(frame)) => frame.body,
            Some(Err(err)) => return err.into(),
            None => return LinkError::Closed,
        };
        link.received();
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

fn peer_name(first: Option<Result<Frame, CodecError>>) -> Result<CompactString, LinkError> {
    let Some(frame) = first else {
        return Err(LinkError::Closed);
    };
    let Some(Body::Hello(hello)) = frame?.body else {
        return Err(LinkError::NoHello);
    };
    match hello.version >= OLDEST_VERSION {
        true => Ok(hello.daemon.into()),
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
