//! Encodes and decodes length-delimited [`Frame`]s.

use crate::frame::Frame;
use bytes::{BufMut, BytesMut};
use prost::Message;
use std::fmt;
use std::io;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Error of reading or writing a frame.
#[derive(Debug)]
pub enum CodecError {
    /// The connection failed, or the frame exceeds [`MAX_FRAME_BYTES`].
    Io(io::Error),
    /// The frame does not contain a valid message.
    Malformed(prost::DecodeError),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(err) => write!(f, "peer connection failed: {err}"),
            Self::Malformed(err) => write!(f, "frame from peer is not a valid message: {err}"),
        }
    }
}

impl std::error::Error for CodecError {}

impl From<io::Error> for CodecError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

/// Reads and writes frames, each prefixed with its length in four bytes.
#[derive(Debug)]
pub struct FrameCodec {
    framing: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that rejects frames longer than [`MAX_FRAME_BYTES`].
    #[must_use]
    pub fn new() -> Self {
        let framing = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { framing }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, CodecError> {
        let Some(bytes) = self.framing.decode(src)? else {
            return Ok(None);
        };
        Frame::decode(bytes)
            .map(Some)
            .map_err(CodecError::Malformed)
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = CodecError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), CodecError> {
        let len = frame.encoded_len();
        let Some(prefix) = u32::try_from(len).ok().filter(|_| len <= MAX_FRAME_BYTES) else {
            return Err(CodecError::Io(io::ErrorKind::InvalidInput.into()));
        };
        dst.reserve(LENGTH_BYTES + len);
        dst.put_u32(prefix);
        frame.encode_raw(dst);
        Ok(())
    }
}
