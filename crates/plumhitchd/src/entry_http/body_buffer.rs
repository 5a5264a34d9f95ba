//! Buffers the beginning of a request body before the request is forwarded. A
//! body that is buffered completely can be sent again in a retry.

use super::body::BodyRx;
use crate::memory::{Held, Share};
use crate::task_messages::UploadError;
use bytes::{Bytes, BytesMut};
use std::sync::Arc;

/// The buffered beginning of a body, and the unread rest if it exceeds the
/// buffer.
#[derive(Debug)]
pub(super) struct BufferedBody {
    /// The bytes read so far.
    pub(super) start: Bytes,
    /// The unread rest, unless `start` is the complete body.
    pub(super) rest: Option<BodyRx>,
    /// Memory for `start` without its first piece, which every request may have.
    pub(super) held: Held,
}

impl BufferedBody {
    /// Returns the prefix that the fingerprint covers. It is cut to `max`
    /// bytes, so that it does not depend on the pieces in which the body
    /// arrived.
    pub(super) fn prefix(&self, max: usize) -> &[u8] {
        &self.start[..self.start.len().min(max)]
    }

    /// Returns the length that the fingerprint covers: that of a body which was buffered
    /// completely. It does not depend on whether the caller declared it.
    pub(super) fn complete_len(&self) -> Option<u64> {
        let is_complete = self.rest.is_none() && !self.start.is_empty();
        is_complete.then_some(self.start.len() as u64)
    }
}

/// Reads until the body ends or exceeds `max_buffered` bytes.
///
/// # Errors
///
/// Returns an error if the body cannot be read, is longer than `max` bytes, or if there is no
/// memory for it.
pub(super) async fn buffer_body(
    share: &Arc<Share>,
    mut body: BodyRx,
    max_buffered: usize,
    max: u64,
) -> Result<BufferedBody, UploadError> {
    let mut held = share.hold();
    let mut start = Bytes::new();
    let mut joined = BytesMut::new();
    while let Some(bytes) = body.next().await? {
        if start.is_empty() && joined.is_empty() {
            start = bytes;
        } else if !held.try_grow(bytes.len()) {
            return Err(UploadError::NoMemory);
        } else {
            joined.extend_from_slice(&std::mem::take(&mut start));
            joined.extend_from_slice(&bytes);
        }
        let len = start.len() + joined.len();
        if len as u64 > max {
            return Err(UploadError::TooLong);
        }
        if len > max_buffered {
            return Ok(join(start, joined, Some(body), held));
        }
    }
    Ok(join(start, joined, None, held))
}

fn join(start: Bytes, joined: BytesMut, rest: Option<BodyRx>, held: Held) -> BufferedBody {
    let start = match joined.is_empty() {
        true => start,
        false => joined.freeze(),
    };
    BufferedBody { start, rest, held }
}
