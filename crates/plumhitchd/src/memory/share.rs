//! The share of one use in the memory of the process.

use crate::logging::LogInterval;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Part of a share that has to be left so that it is not short.
const SHORT_DIVISOR: usize = 4;

/// Memory for one use.
#[derive(Debug)]
pub(crate) struct Share {
    pub(crate) name: &'static str,
    /// Maximum number of bytes.
    pub(crate) max: usize,
    held: AtomicUsize,
    exceeded: AtomicU64,
    excess_logged: LogInterval,
    returned: Notify,
}

impl Share {
    pub(super) fn new(name: &'static str, max: usize) -> Arc<Self> {
        Arc::new(Self {
            name,
            max,
            held: AtomicUsize::new(0),
            exceeded: AtomicU64::new(0),
            excess_logged: LogInterval::default(),
            returned: Notify::new(),
        })
    }

    /// Returns the number of bytes that are held.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Acquire)
    }

    /// Returns the number of bytes that are left.
    pub(crate) fn free(&self) -> usize {
        self.max.saturating_sub(self.held())
    }

    /// Returns whether so little is left that memory is held for what arrives, not for what may.
    pub(crate) fn is_short(&self) -> bool {
        self.free() < self.max / SHORT_DIVISOR
    }

    /// Returns a future that completes when bytes are given back after this call.
    pub(crate) fn returned(&self) -> Notified<'_> {
        self.returned.notified()
    }

    /// Returns how often more than the maximum was wanted.
    pub(crate) fn exceeded(&self) -> u64 {
        self.exceeded.load(Ordering::Relaxed)
    }

    /// Begins to hold bytes, none at first.
    pub(crate) fn hold(self: &Arc<Self>) -> Held {
        Held {
            share: self.clone(),
            bytes: 0,
        }
    }

    /// Takes bytes if that many and `reserve` are left.
    fn try_take(&self, bytes: usize, reserve: usize) -> bool {
        let max = self.max.saturating_sub(reserve);
        let update = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= max);
        let taken = self
            .held
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, update);
        if taken.is_err() {
            self.record_excess(bytes);
        }
        taken.is_ok()
    }

    fn record_excess(&self, bytes: usize) {
        let exceeded = self.exceeded.fetch_add(1, Ordering::Relaxed) + 1;
        if self.excess_logged.is_due() {
            log::warn!(
                "event=memory_short use={} wanted={bytes} held={} max={} exceeded={exceeded}",
                self.name,
                self.held(),
                self.max
            );
        }
    }
}

/// Bytes of a share that are held until this is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    share: Arc<Share>,
    bytes: usize,
}

impl Held {
    /// Returns the number of bytes that are held.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the share that the bytes belong to.
    pub(crate) fn share(&self) -> &Arc<Share> {
        &self.share
    }

    /// Holds more bytes if that many are left; returns whether they are.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        self.try_grow_beside(bytes, 0)
    }

    /// Holds more bytes if that many are left, and `reserve` for others; returns whether they
    /// are.
    pub(crate) fn try_grow_beside(&mut self, bytes: usize, reserve: usize) -> bool {
        let is_taken = self.share.try_take(bytes, reserve);
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }

    /// Gives bytes back.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let returned = bytes.min(self.bytes);
        if returned == 0 {
            return;
        }
        self.bytes -= returned;
        self.share.held.fetch_sub(returned, Ordering::AcqRel);
        self.share.returned.notify_waiters();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
