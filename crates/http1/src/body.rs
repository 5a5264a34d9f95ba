//! Bodies, piece by piece.

use crate::head::Framing;
use bytes::{Buf, Bytes, BytesMut};
use std::fmt;

/// Longest line of a chunk's size or of a trailer, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Trailer lines of a body at most.
const MAX_TRAILERS: usize = 100;

/// Why a body can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// A chunk is not valid.
    Malformed,
    /// The connection ended before the body did.
    Truncated,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "a chunk is not valid",
            Self::Truncated => "the body broke off",
        })
    }
}

impl std::error::Error for BodyError {}

/// What can be taken out of the bytes at hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Bytes(Bytes),
    /// Nothing before more bytes arrive.
    NeedMore,
    /// The body is whole.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Left(u64),
    UntilClose,
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers(usize),
    Done,
}

/// Reads one body.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// Creates the reader of a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self {
            state: match framing {
                Framing::Empty => State::Done,
                Framing::Length(len) => State::Left(len),
                Framing::Chunked => State::ChunkSize,
                Framing::UntilClose => State::UntilClose,
            },
        }
    }

    /// Takes the next piece out of `buf`.
    ///
    /// # Errors
    ///
    /// Returns that the body is not valid.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Piece, BodyError> {
        loop {
            match self.state {
                State::Done | State::Left(0) => {
                    self.state = State::Done;
                    return Ok(Piece::End);
                }
                _ if buf.is_empty() => return Ok(Piece::NeedMore),
                State::Left(left) => {
                    let bytes = take(buf, left);
                    self.state = State::Left(left - bytes.len() as u64);
                    return Ok(Piece::Bytes(bytes));
                }
                State::UntilClose => return Ok(Piece::Bytes(take(buf, u64::MAX))),
                State::Chunk(0) => self.state = State::ChunkEnd,
                State::Chunk(left) => {
                    let bytes = take(buf, left);
                    self.state = State::Chunk(left - bytes.len() as u64);
                    return Ok(Piece::Bytes(bytes));
                }
                State::ChunkSize | State::ChunkEnd | State::Trailers(_) => {
                    if !self.line(buf)? {
                        return Ok(Piece::NeedMore);
                    }
                }
            }
        }
    }

    /// Takes the end of the connection in; the body is whole if that ends it.
    ///
    /// # Errors
    ///
    /// Returns that the body broke off.
    pub fn handle_eof(&mut self) -> Result<(), BodyError> {
        match self.state {
            State::Done | State::Left(0) | State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }

    /// Takes one line between chunks; returns whether it was whole.
    fn line(&mut self, buf: &mut BytesMut) -> Result<bool, BodyError> {
        if self.state == State::ChunkEnd {
            return self.chunk_end(buf);
        }
        let Some(end) = buf.windows(2).position(|w| w == b"\r\n") else {
            return match buf.len() > MAX_LINE_BYTES {
                true => Err(BodyError::Malformed),
                false => Ok(false),
            };
        };
        let line = buf.split_to(end + 2);
        self.state = match self.state {
            State::Trailers(_) if end == 0 => State::Done,
            State::Trailers(count) if count < MAX_TRAILERS => State::Trailers(count + 1),
            State::ChunkSize => match chunk_size(&line)? {
                0 => State::Trailers(0),
                size => State::Chunk(size),
            },
            _ => return Err(BodyError::Malformed),
        };
        Ok(true)
    }

    fn chunk_end(&mut self, buf: &mut BytesMut) -> Result<bool, BodyError> {
        if buf.len() < 2 {
            return Ok(false);
        }
        if !buf.starts_with(b"\r\n") {
            return Err(BodyError::Malformed);
        }
        buf.advance(2);
        self.state = State::ChunkSize;
        Ok(true)
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, size))) => Ok(size),
        _ => Err(BodyError::Malformed),
    }
}

fn take(buf: &mut BytesMut, max: u64) -> Bytes {
    let len = usize::try_from(max).unwrap_or(usize::MAX).min(buf.len());
    buf.split_to(len).freeze()
}
