//! Handle to one connection to another daemon.

use super::DIALLED;
use super::stream::{SendProgress, StreamHandle, Streams};
use crate::clock;
use crate::runtime::lock;
use flow::{Check, Liveness, SendQueue};
use node::LinkId;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use wire::{Body, HOLD_BODY_VERSION, LIMITED_VERSION, LinkKind, Open, Ping, StreamId};

/// An open connection to another daemon.
#[derive(Debug)]
pub(crate) struct Link {
    /// Id of an accepted connection; 0 for a dialled one.
    id: LinkId,
    /// Request streams of the connection.
    pub(super) streams: Streams,
    state: Mutex<LinkState>,
    /// Protocol version of the peer; 0 as long as its `Hello` has not arrived.
    peer_version: AtomicU32,
    queued: Notify,
    greeted: Notify,
    failed: Notify,
}

#[derive(Debug)]
struct LinkState {
    queue: SendQueue,
    liveness: Liveness,
    /// Time of the latest bytes in either direction.
    used_at: Duration,
    connected: bool,
    closed: bool,
}

impl Link {
    /// Creates the handle of a connection.
    pub(super) fn new(id: LinkId) -> Arc<Self> {
        let now = clock::now();
        let state = LinkState {
            queue: SendQueue::default(),
            liveness: Liveness::new(now),
            used_at: now,
            connected: false,
            closed: false,
        };
        Arc::new(Self {
            id,
            streams: Streams::default(),
            state: Mutex::new(state),
            peer_version: AtomicU32::new(0),
            queued: Notify::new(),
            greeted: Notify::new(),
            failed: Notify::new(),
        })
    }

    /// Returns the id of an accepted connection, or 0 for a dialled one.
    pub(crate) fn id(&self) -> LinkId {
        self.id
    }

    /// Queues a frame; it is dropped if the connection is closed.
    pub(crate) fn send(&self, body: Body) {
        let mut state = lock(&self.state);
        if state.closed {
            return;
        }
        state.queue.push(clock::now(), body);
        drop(state);
        self.queued.notify_one();
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

    /// Returns the next frame to write and records in its stream that it is about to
    /// be written. Returns `None` if no frame is queued.
    ///
    /// Frames of a request whose stream was closed meanwhile are dropped: it may have been
    /// reported as not run, and would run if they arrived.
    pub(super) fn next_frame(&self) -> Option<Body> {
        loop {
            let body = lock(&self.state).queue.pop(clock::now())?;
            if self.id != DIALLED || self.record_written(&body) {
                return Some(body);
            }
        }
    }

    /// Records how much of a request is written once a frame is. Returns false if the
    /// frame carries a part of a request whose stream is closed.
    fn record_written(&self, body: &Body) -> bool {
        match body {
            Body::Open(open) => {
                let progress = match open.hold_body {
                    true => SendProgress::Incomplete,
                    false => SendProgress::MayRun,
                };
                self.streams.record_written(open.stream, progress)
            }
            Body::Data(data) if data.end => {
                let progress = SendProgress::MayRun;
                self.streams.record_written(data.stream, progress)
            }
            Body::Data(data) => self.streams.contains(data.stream),
            _ => true,
        }
    }

    /// Waits until a frame is queued.
    pub(super) async fn wait_for_frame(&self) {
        self.queued.notified().await;
    }

    /// Records that the connection is established.
    pub(super) fn record_connected(&self) {
        let now = clock::now();
        let mut state = lock(&self.state);
        state.connected = true;
        state.liveness.record_activity(now);
    }

    /// Records the protocol version of the peer.
    pub(super) fn set_peer_version(&self, version: u32) {
        self.peer_version.store(version, Ordering::Release);
        self.greeted.notify_one();
    }

    /// Waits until the peer's `Hello` has arrived; only one task may wait.
    pub(super) async fn wait_for_hello(&self) {
        self.greeted.notified().await;
    }

    /// Returns whether requests wait for the `Hello` of a peer that is connected.
    fn awaits_hello(&self) -> bool {
        let is_greeted = self.peer_version.load(Ordering::Acquire) > 0;
        !is_greeted && lock(&self.state).connected && !self.streams.is_empty()
    }

    /// Returns whether the peer has introduced itself.
    pub(super) fn knows_peer(&self) -> bool {
        self.peer_version.load(Ordering::Acquire) > 0
    }

    /// Returns whether the peer is known to run no request before it has the complete
    /// body, where it is told so.
    fn peer_holds_bodies(&self) -> bool {
        self.peer_version.load(Ordering::Acquire) >= HOLD_BODY_VERSION
    }

    /// Returns whether the peer is known to understand a refusal because of a stated rate.
    pub(crate) fn peer_knows_limited(&self) -> bool {
        self.peer_version.load(Ordering::Acquire) >= LIMITED_VERSION
    }

    /// Returns the time since the last bytes in either direction.
    pub(super) fn idle(&self) -> Duration {
        clock::now().saturating_sub(lock(&self.state).used_at)
    }

    /// Returns the time since the peer was last active.
    pub(super) fn silence(&self) -> Duration {
        lock(&self.state).liveness.silence(clock::now())
    }

    /// Records that bytes were received.
    pub(super) fn record_received(&self) {
        let now = clock::now();
        let mut state = lock(&self.state);
        state.used_at = now;
        state.liveness.record_activity(now);
    }

    /// Records that the peer accepted bytes that had to wait.
    pub(super) fn record_accepted(&self) {
        lock(&self.state).liveness.record_activity(clock::now());
    }

    /// Records that frames are sent.
    pub(super) fn record_sent(&self) {
        let now = clock::now();
        let mut state = lock(&self.state);
        state.used_at = now;
        state.liveness.record_written(now);
    }

    /// Pings a peer that has been silent although a request is open, waits for its `Hello`,
    /// or a message was written, and fails the connection if it stays silent.
    pub(super) fn check_liveness(&self, kind: LinkKind) {
        let now = clock::now();
        let check = match kind {
            LinkKind::Data if self.streams.any_written() || self.awaits_hello() => {
                lock(&self.state).liveness.check_requests(now)
            }
            LinkKind::Data => return,
            LinkKind::Control | LinkKind::Replica | LinkKind::Unknown => {
                lock(&self.state).liveness.check_messages(now)
            }
        };
        match check {
            Check::Wait => {}
            Check::Ping => self.send(Body::Ping(Ping {})),
            Check::Fail => self.fail(),
        }
    }

    /// Lets the connection be closed.
    pub(super) fn fail(&self) {
        self.failed.notify_one();
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn failed(&self) {
        self.failed.notified().await;
    }

    /// Notifies the streams that the peer does not respond. Returns whether any stays open:
    /// those whose request may have run, the rest of which is still sent.
    pub(super) fn report_silence(&self) -> bool {
        self.streams.report_silence(self.peer_holds_bodies())
    }

    /// Closes the streams, and drops what is and will be queued.
    pub(super) fn close(&self) {
        let mut state = lock(&self.state);
        state.closed = true;
        state.queue = SendQueue::default();
        drop(state);
        self.streams.close(self.peer_holds_bodies());
    }
}
