//! Incremental reading of message bodies.

use crate::head::Framing;
use bytes::{Buf, Bytes, BytesMut};
use std::fmt;

/// Maximum length of a chunk size or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Length from which a piece is returned as it is, in bytes. Shorter ones are copied and
/// joined, so that they do not keep the read buffer in memory.
const MIN_PIECE_BYTES: usize = 4 * 1024;
/// Maximum length of joined pieces, in bytes.
const MAX_JOINED_BYTES: usize = 16 * 1024;
/// Maximum number of trailer lines of a chunked body.
const MAX_TRAILERS: usize = 100;

/// Why a body cannot be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The chunked encoding is not valid.
    Malformed,
    /// The connection closed before the end of the body.
    Truncated,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the chunked encoding is not valid",
            Self::Truncated => "the connection closed before the end of the body",
        })
    }
}

impl std::error::Error for BodyError {}

/// How a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer has sent everything and closed the connection.
    Closed,
    /// The connection was reset; bytes may be missing.
    Reset,
}

/// Result of reading from the buffered bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The next bytes of the body.
    Bytes(Bytes),
    /// More bytes have to be received first.
    NeedMore,
    /// The body is complete.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Remaining(u64),
    UntilClose,
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers(usize),
    Done,
}

/// Reads one message body.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// Creates a reader for a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self {
            state: match framing {
                Framing::Empty => State::Done,
                Framing::Length(len) => State::Remaining(len),
                Framing::Chunked => State::ChunkSize,
                Framing::UntilClose => State::UntilClose,
            },
        }
    }

    /// Removes the next piece of the body from `buf` and returns it.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not valid.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Piece, BodyError> {
        loop {
            match self.state {
                State::Done | State::Remaining(0) => {
                    self.state = State::Done;
                    return Ok(Piece::End);
                }
                _ if buf.is_empty() => return Ok(Piece::NeedMore),
                State::Remaining(remaining) => {
                    let bytes = take_up_to(buf, remaining);
                    self.state = State::Remaining(remaining - bytes.len() as u64);
                    return Ok(Piece::Bytes(bytes));
                }
                State::UntilClose => return Ok(Piece::Bytes(take_up_to(buf, u64::MAX))),
                State::Chunk(0) => self.state = State::ChunkEnd,
                State::Chunk(remaining) => {
                    let bytes = take_up_to(buf, remaining);
                    self.state = State::Chunk(remaining - bytes.len() as u64);
                    return Ok(Piece::Bytes(bytes));
                }
                State::ChunkSize | State::ChunkEnd | State::Trailers(_) => {
                    if !self.read_line(buf)? {
                        return Ok(Piece::NeedMore);
                    }
                }
            }
        }
    }

    /// Removes the next part of the body from `buf` and returns it. Short pieces, as those of a
    /// chunked body with short chunks, are joined as far as they have been received.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not valid; pieces before the invalid part are lost.
    pub fn next_joined(&mut self, buf: &mut BytesMut) -> Result<Piece, BodyError> {
        let first = match self.next(buf)? {
            Piece::Bytes(first) if first.len() < MIN_PIECE_BYTES => first,
            piece => return Ok(piece),
        };
        let mut joined = BytesMut::from(first.as_ref());
        drop(first);
        while joined.len() < MAX_JOINED_BYTES
            && let Piece::Bytes(piece) = self.next(buf)?
        {
            joined.extend_from_slice(&piece);
        }
        Ok(Piece::Bytes(joined.freeze()))
    }

    /// Returns whether the end of the body is that of the connection.
    #[must_use]
    pub fn reads_until_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Handles the end of the connection, which completes a body without a
    /// declared length if the peer has closed it.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is incomplete.
    pub fn handle_eof(&mut self, end: ConnectionEnd) -> Result<(), BodyError> {
        let is_complete = match self.state {
            State::Done | State::Remaining(0) => true,
            State::UntilClose => end == ConnectionEnd::Closed,
            _ => false,
        };
        if !is_complete {
            return Err(BodyError::Truncated);
        }
        self.state = State::Done;
        Ok(())
    }

    /// Consumes the line end after a chunk, or a chunk size or trailer line.
    /// Returns whether it was complete.
    fn read_line(&mut self, buf: &mut BytesMut) -> Result<bool, BodyError> {
        if self.state == State::ChunkEnd {
            return self.read_chunk_end(buf);
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
            State::ChunkSize => match parse_chunk_size(&line)? {
                0 => State::Trailers(0),
                size => State::Chunk(size),
            },
            _ => return Err(BodyError::Malformed),
        };
        Ok(true)
    }

    fn read_chunk_end(&mut self, buf: &mut BytesMut) -> Result<bool, BodyError> {
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

fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, size))) => Ok(size),
        _ => Err(BodyError::Malformed),
    }
}

fn take_up_to(buf: &mut BytesMut, max: u64) -> Bytes {
    let len = usize::try_from(max).unwrap_or(usize::MAX).min(buf.len());
    buf.split_to(len).freeze()
}
