//! One connection to another daemon, as the rest of the daemon sees it.

use super::stream::{StreamHandle, Streams};
use crate::clock;
use node::LinkId;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use wire::{Body, Open, Ping, StreamId};

/// Silence of a peer that owes an answer after which it is asked for a sign of
/// life.
const SILENCE: Duration = Duration::from_millis(250);
/// Time after which a peer that gives none counts as lost.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);

/// Frames on their way out of a connection.
pub(super) type FrameRx = mpsc::UnboundedReceiver<Body>;

/// An open connection to another daemon.
#[derive(Debug)]
pub(crate) struct Link {
    /// Number of an accepted connection; 0 of one that this daemon dialled.
    id: LinkId,
    /// Request streams on it.
    pub(super) streams: Streams,
    tx: mpsc::UnboundedSender<Body>,
    used_ms: AtomicU64,
    /// When the newest frame came.
    received_ms: AtomicU64,
    /// When a sign of life was asked for that has not come; 0 for never.
    pinged_ms: AtomicU64,
    failed: Notify,
}

impl Link {
    /// Creates a connection's handle, and the end that its writer reads.
    pub(super) fn new(id: LinkId) -> (Arc<Self>, FrameRx) {
        let (tx, rx) = mpsc::unbounded_channel();
        let link = Self {
            id,
            streams: Streams::default(),
            tx,
            used_ms: AtomicU64::new(now_ms()),
            received_ms: AtomicU64::new(now_ms()),
            pinged_ms: AtomicU64::new(0),
            failed: Notify::new(),
        };
        (Arc::new(link), rx)
    }

    /// Returns the number of an accepted connection.
    pub(crate) fn id(&self) -> LinkId {
        self.id
    }

    /// Queues a frame; it is dropped if the connection is gone.
    pub(crate) fn send(&self, body: Body) {
        let _ = self.tx.send(body);
    }

    /// Opens a stream under a number that this connection has not used;
    /// returns `None` if the connection is closed.
    pub(crate) fn open(&self, slot: StreamHandle, open: &Open) -> Option<StreamId> {
        self.streams.open(slot, |stream| {
            let open = open.clone();
            self.send(Body::Open(Open { stream, ..open }));
        })
    }

    /// Adds a stream that the peer opened; returns false if the connection is
    /// closed.
    pub(crate) fn insert(&self, id: StreamId, slot: StreamHandle) -> bool {
        self.streams.insert(id, slot)
    }

    /// Forgets a stream.
    pub(crate) fn remove(&self, id: StreamId) {
        self.streams.remove(id);
    }

    /// Returns how long no frame came or went.
    pub(super) fn idle(&self) -> Duration {
        let used = self.used_ms.load(Ordering::Relaxed);
        Duration::from_millis(now_ms().saturating_sub(used))
    }

    /// Records that a frame came.
    pub(super) fn received(&self) {
        self.touch();
        self.received_ms.store(now_ms(), Ordering::Relaxed);
        self.pinged_ms.store(0, Ordering::Relaxed);
    }

    /// Asks for a sign of life when the peer owes an answer and has been
    /// silent, and fails the connection when none comes.
    pub(super) fn watch(&self) {
        if !self.streams.any_sent() {
            return;
        }
        let now = now_ms();
        let since =
            |at: &AtomicU64| Duration::from_millis(now.saturating_sub(at.load(Ordering::Relaxed)));
        let pinged = self.pinged_ms.load(Ordering::Relaxed) > 0;
        if pinged && since(&self.pinged_ms) >= PONG_TIMEOUT {
            self.failed.notify_one();
        } else if !pinged && since(&self.received_ms) >= SILENCE {
            self.pinged_ms.store(now, Ordering::Relaxed);
            self.send(Body::Ping(Ping {}));
        }
    }

    /// Waits until the peer gave no sign of life.
    pub(super) async fn failed(&self) {
        self.failed.notified().await;
    }

    /// Records that a frame came or went.
    pub(super) fn touch(&self) {
        self.used_ms.store(now_ms(), Ordering::Relaxed);
    }
}

fn now_ms() -> u64 {
    u64::try_from(clock::now().as_millis()).unwrap_or(u64::MAX)
}
