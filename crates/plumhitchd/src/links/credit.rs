//! Credit-based flow control per stream, so that a stalled body does not block
//! other streams on the connection.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Body bytes that this side of a stream may still send to the peer.
#[derive(Debug, Default)]
pub(crate) struct Credit {
    bytes: AtomicU64,
    granted: Notify,
}

impl Credit {
    /// Adds credit granted by the peer.
    pub(crate) fn add(&self, bytes: u64) {
        let _ = self
            .bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |available| {
                Some(available.saturating_add(bytes))
            });
        self.granted.notify_one();
    }

    /// Waits for credit and takes up to `max` bytes of it. Only one task per
    /// stream may wait.
    pub(crate) async fn take(&self, max: usize) -> usize {
        loop {
            let available = self.bytes.load(Ordering::Acquire);
            let taken = available.min(max as u64);
            if taken == 0 {
                self.granted.notified().await;
                continue;
            }
            let remaining = available - taken;
            let swapped = self.bytes.compare_exchange(
                available,
                remaining,
                Ordering::AcqRel,
                Ordering::Acquire,
            );
            if swapped.is_ok() {
                return usize::try_from(taken).unwrap_or(max);
            }
        }
    }
}

/// Body bytes that the peer may still send to this side of a stream.
#[derive(Debug, Default)]
pub(crate) struct Window {
    granted: AtomicU64,
    received: AtomicU64,
}

impl Window {
    /// Grants the peer more bytes.
    pub(crate) fn grant(&self, bytes: u64) {
        self.granted.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Counts received bytes; returns whether the peer stayed within its credit.
    pub(crate) fn receive(&self, bytes: usize) -> bool {
        let received = self.received.fetch_add(bytes as u64, Ordering::AcqRel) + bytes as u64;
        received <= self.granted.load(Ordering::Acquire)
    }
}
