//! Body of a call, whose memory is counted while it arrives.

use crate::memory::{Held, Share};
use futures_util::StreamExt;
use salvo::http::{ReqBody, Request, StatusCode};
use salvo::hyper::body::Body;
use std::sync::Arc;

/// Length up to which a body may use all of the memory for calls, in bytes. Longer ones leave
/// a part of it, so that announcements and small changes are accepted beside them.
const SMALL_BYTES: usize = 64 * 1024;
/// Part of the memory for calls that long bodies leave.
const RESERVE_DIVISOR: usize = 4;
/// Smallest step by which the memory of a body grows, in bytes.
const MIN_STEP_BYTES: usize = 4 * 1024;
/// Part of its length by which the memory of a body grows.
const STEP_DIVISOR: usize = 4;

/// Why a request body is not available.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BodyError {
    /// It did not arrive in time.
    Late,
    /// It is too long, or the connection ended.
    Unreadable,
    /// There is no memory for it.
    NoMemory,
}

impl BodyError {
    /// Returns the status of the response to the request.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::Unreadable => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A complete body, and the memory that is held for it.
pub(crate) struct CallBody {
    pub(crate) bytes: Vec<u8>,
    pub(crate) held: Held,
}

/// Reads a body.
///
/// # Errors
///
/// Returns an error if the body is longer than `max_bytes`, if it ends early or if there is no
/// memory for it. A declared length is checked before the body is read.
pub(super) async fn read(
    share: &Arc<Share>,
    req: &mut Request,
    max_bytes: usize,
) -> Result<CallBody, BodyError> {
    let mut rest = req.take_body();
    let declared = declared_len(&rest);
    if declared > max_bytes {
        log::warn!("event=body_unreadable reason=\"longer than {max_bytes} bytes\"");
        return Err(BodyError::Unreadable);
    }
    if declared > share.free().saturating_sub(reserve(share, declared)) {
        return Err(BodyError::NoMemory);
    }
    let mut body = CallBody {
        bytes: Vec::new(),
        held: share.hold(),
    };
    while let Some(frame) = rest.next().await {
        let frame = frame.map_err(|err| {
            log::warn!("event=body_unreadable reason=\"{err}\"");
            BodyError::Unreadable
        })?;
        if let Ok(piece) = frame.into_data() {
            body.push(&piece, max_bytes)?;
        }
    }
    Ok(body)
}

/// Returns the length that the head of a request states for its body, or 0.
fn declared_len(body: &ReqBody) -> usize {
    usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX)
}

/// Returns the bytes that a body of a length leaves for others.
fn reserve(share: &Share, len: usize) -> usize {
    match len > SMALL_BYTES {
        true => share.max / RESERVE_DIVISOR,
        false => 0,
    }
}

impl CallBody {
    /// Adds a piece, after memory for it is held.
    fn push(&mut self, piece: &[u8], max_bytes: usize) -> Result<(), BodyError> {
        let len = self.bytes.len() + piece.len();
        if len > max_bytes {
            log::warn!("event=body_unreadable reason=\"longer than {max_bytes} bytes\"");
            return Err(BodyError::Unreadable);
        }
        if len > self.held.bytes() {
            let step = MIN_STEP_BYTES.max(self.bytes.len() / STEP_DIVISOR);
            let wanted = len.max(self.held.bytes() + step).min(max_bytes);
            if !self.try_hold(wanted, len) && !self.try_hold(len, len) {
                return Err(BodyError::NoMemory);
            }
            self.bytes
                .reserve_exact(self.held.bytes() - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Holds memory for `bytes` in all, for a body that has `len` bytes now.
    fn try_hold(&mut self, bytes: usize, len: usize) -> bool {
        let reserve = reserve(self.held.share(), len);
        let more = bytes - self.held.bytes();
        self.held.try_grow_beside(more, reserve)
    }
}
