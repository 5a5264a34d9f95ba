//! Holds the beginning of a request's body before it is forwarded.

use super::body::BodyRx;
use crate::task_messages::UploadError;
use bytes::{Bytes, BytesMut};

/// The beginning of a body, and the rest if it is longer than may be held.
#[derive(Debug)]
pub(super) struct Held {
    /// What was read.
    pub(super) first: Bytes,
    /// What is still to be read, unless `first` is all.
    pub(super) rest: Option<BodyRx>,
}

impl Held {
    /// Returns the part that a fingerprint is made of: it depends on the body
    /// alone, not on the pieces in which it came.
    pub(super) fn prefix(&self, max: usize) -> &[u8] {
        &self.first[..self.first.len().min(max)]
    }
}

/// Reads until the body ends or is longer than `max_held` bytes.
///
/// # Errors
///
/// Returns why the body can't be read, or that it is longer than `max`.
pub(super) async fn hold(mut body: BodyRx, max_held: usize, max: u64) -> Result<Held, UploadError> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    while let Some(bytes) = body.next().await? {
        if first.is_empty() && joined.is_empty() {
            first = bytes;
        } else {
            joined.extend_from_slice(&std::mem::take(&mut first));
            joined.extend_from_slice(&bytes);
        }
        let len = first.len() + joined.len();
        if len as u64 > max {
            return Err(UploadError::TooLong);
        }
        if len > max_held {
            return Ok(finish(first, joined, Some(body)));
        }
    }
    Ok(finish(first, joined, None))
}

fn finish(first: Bytes, joined: BytesMut, rest: Option<BodyRx>) -> Held {
    let first = match joined.is_empty() {
        true => first,
        false => joined.freeze(),
    };
    Held { first, rest }
}
