//! Handle to one connection to another daemon.

use super::stream::{StreamHandle, Streams};
use crate::clock;
use node::LinkId;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use wire::{Body, Open, Ping, StreamId};

/// Time without frames from a peer with open requests, after which it is pinged.
const PING_AFTER: Duration = Duration::from_millis(250);
/// Time without any frame after a ping, after which the connection has failed.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);

/// Queue of frames to write to a connection.
pub(super) type FrameRx = mpsc::UnboundedReceiver<Body>;

/// An open connection to another daemon.
#[derive(Debug)]
pub(crate) struct Link {
    /// Id of an accepted connection; 0 for a dialled one.
    id: LinkId,
    /// Request streams of the connection.
    pub(super) streams: Streams,
    tx: mpsc::UnboundedSender<Body>,
    used_ms: AtomicU64,
    /// Time at which the latest frame was received.
    received_ms: AtomicU64,
    /// Time of the ping that has no reply yet; 0 if there is none.
    pinged_ms: AtomicU64,
    failed: Notify,
}

impl Link {
    /// Creates a handle and the queue that the connection's writer reads.
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

    /// Returns the id of an accepted connection, or 0 for a dialled one.
    pub(crate) fn id(&self) -> LinkId {
        self.id
    }

    /// Queues a frame; it is dropped if the connection is closed.
    pub(crate) fn send(&self, body: Body) {
        let _ = self.tx.send(body);
    }

    /// Opens a stream with a new id and sends its `Open` frame; returns `None` if
    /// the connection is closed.
    pub(crate) fn open(&self, handle: StreamHandle, open: &Open) -> Option<StreamId> {
        self.streams.open(handle, |stream| {
            let open = open.clone();
            self.send(Body::Open(Open { stream, ..open }));
        })
    }

    /// Adds a stream opened by the peer; returns false if the connection is
    /// closed.
    pub(crate) fn insert(&self, id: StreamId, handle: StreamHandle) -> bool {
        self.streams.insert(id, handle)
    }

    /// Removes a stream.
    pub(crate) fn remove(&self, id: StreamId) {
        self.streams.remove(id);
    }

    /// Returns the time since the last frame in either direction.
    pub(super) fn idle(&self) -> Duration {
        let used = self.used_ms.load(Ordering::Relaxed);
        Duration::from_millis(now_ms().saturating_sub(used))
    }

    /// Records that a frame was received. Any frame counts as the reply to a ping.
    pub(super) fn received(&self) {
        self.touch();
        self.received_ms.store(now_ms(), Ordering::Relaxed);
        self.pinged_ms.store(0, Ordering::Relaxed);
    }

    /// Pings a peer with open requests that has been silent, and fails the
    /// connection if no frame follows the ping.
    pub(super) fn check_liveness(&self) {
        if !self.streams.any_sent() {
            return;
        }
        let now = now_ms();
        let elapsed_since =
            |at: &AtomicU64| Duration::from_millis(now.saturating_sub(at.load(Ordering::Relaxed)));
        let pinged = self.pinged_ms.load(Ordering::Relaxed) > 0;
        if pinged && elapsed_since(&self.pinged_ms) >= PONG_TIMEOUT {
            self.failed.notify_one();
        } else if !pinged && elapsed_since(&self.received_ms) >= PING_AFTER {
            self.pinged_ms.store(now, Ordering::Relaxed);
            self.send(Body::Ping(Ping {}));
        }
    }

    /// Waits until a liveness check fails.
    pub(super) async fn failed(&self) {
        self.failed.notified().await;
    }

    /// Records that a frame was received or sent.
    pub(super) fn touch(&self) {
        self.used_ms.store(now_ms(), Ordering::Relaxed);
    }
}

fn now_ms() -> u64 {
    u64::try_from(clock::now().as_millis()).unwrap_or(u64::MAX)
}
