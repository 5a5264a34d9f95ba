//! The share of one use in the memory of the process.

use crate::logging::LogInterval;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Memory for one use.
#[derive(Debug)]
pub(crate) struct Share {
    pub(crate) name: &'static str,
    /// Maximum number of bytes.
    pub(crate) max: usize,
    held: AtomicUsize,
    exceeded: AtomicU64,
    excess_logged: LogInterval,
}

impl Share {
    pub(super) fn new(name: &'static str, max: usize) -> Arc<Self> {
        Arc::new(Self {
            name,
            max,
            held: AtomicUsize::new(0),
            exceeded: AtomicU64::new(0),
            excess_logged: LogInterval::default(),
        })
    }

    /// Returns the number of bytes that are held.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Acquire)
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

    fn take(&self, bytes: usize) {
        let held = self.held.fetch_add(bytes, Ordering::AcqRel);
        if held.saturating_add(bytes) > self.max {
            self.record_excess(bytes);
        }
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
    /// Holds more bytes.
    pub(crate) fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.share.take(bytes);
    }

    /// Gives bytes back.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let returned = bytes.min(self.bytes);
        self.bytes -= returned;
        self.share.held.fetch_sub(returned, Ordering::AcqRel);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
