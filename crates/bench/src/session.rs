//! A stand-in for the agent of a daemon: heartbeats to control, nothing else.

use futures_util::{SinkExt, StreamExt};
use miette::{IntoDiagnostic, Result, miette};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;
use wire::{
    Announcement, Body, Frame, FrameCodec, Heartbeat, HeartbeatReply, Hello, LinkKind,
    PROTOCOL_VERSION, Subscription,
};

/// Time that an answer or a connection may take.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
/// Time before the next try after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What a session saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Configuration version held.
    pub version: AtomicU64,
    /// Heartbeats confirmed.
    pub confirmed: AtomicU64,
    /// Message bytes sent and received, without TCP's own.
    pub bytes: AtomicU64,
    /// When the last confirmation came, and from whom.
    last: Mutex<Option<(Instant, SocketAddr)>>,
}

/// Who a session pretends to be.
#[derive(Clone, Debug)]
pub struct SessionOptions {
    /// Name of the daemon.
    pub daemon: String,
    /// Service of its upstream.
    pub service: String,
    /// Services that it subscribes to.
    pub subscriptions: Vec<String>,
    /// Data centre.
    pub data_centre: String,
    /// Time between heartbeats.
    pub interval: Duration,
    /// Time before the first heartbeat, so that sessions don't move in step.
    pub offset: Duration,
    /// Peer addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Whether its upstream announces that it is leaving.
    pub leaving: Arc<AtomicBool>,
}

/// Finds the control leader among some peer addresses.
///
/// # Errors
///
/// Returns an error when `limit` passes first.
pub async fn find_leader(control: &[SocketAddr], limit: Duration) -> Result<SocketAddr> {
    let options = SessionOptions {
        daemon: "leader-finder".into(),
        service: "leader-finder".into(),
        subscriptions: Vec::new(),
        data_centre: "none".into(),
        interval: RETRY_PAUSE,
        offset: Duration::ZERO,
        control: control.to_vec(),
        leaving: Arc::default(),
    };
    let seen = Arc::new(Seen::default());
    let session = tokio::spawn(run(options, seen.clone()));
    let begin = Instant::now();
    let found = loop {
        if let Some((_, address)) = seen.last() {
            break Ok(address);
        }
        if begin.elapsed() > limit {
            break Err(miette!("no leader within {limit:?}"));
        }
        sleep(RETRY_PAUSE).await;
    };
    session.abort();
    found
}

/// Heartbeats until the task is aborted.
pub async fn run(options: SessionOptions, seen: Arc<Seen>) {
    sleep(options.offset).await;
    let mut state = State {
        sequence: 0,
        held: options
            .subscriptions
            .iter()
            .map(|s| subscription(s))
            .collect(),
        page: 0,
        homes_hash: 0,
        target: 0,
        leader: None,
    };
    loop {
        if connected(&options, &mut state, &seen).await.is_err() {
            state.target += 1;
            sleep(RETRY_PAUSE).await;
        }
    }
}

#[derive(Debug)]
struct State {
    sequence: u64,
    held: Vec<Subscription>,
    page: u64,
    homes_hash: u64,
    target: usize,
    leader: Option<SocketAddr>,
}

fn subscription(service: &str) -> Subscription {
    Subscription {
        service: service.into(),
        epoch: 0,
        version: 0,
    }
}

/// Heartbeats over one connection until it fails or turns out not to lead to
/// the leader.
async fn connected(options: &SessionOptions, state: &mut State, seen: &Seen) -> Result<()> {
    let configured = options.control[state.target % options.control.len()];
    let address = state.leader.take().unwrap_or(configured);
    let dial = timeout(ANSWER_LIMIT, TcpStream::connect(address));
    let socket = dial.await.into_diagnostic()?.into_diagnostic()?;
    socket.set_nodelay(true).into_diagnostic()?;
    let mut link = Framed::new(socket, FrameCodec::new());
    let hello = Hello {
        version: PROTOCOL_VERSION,
        daemon: options.daemon.clone(),
        kind: LinkKind::Control.into(),
    };
    send(&mut link, Body::Hello(hello), seen).await?;
    loop {
        let sent = Instant::now();
        send(
            &mut link,
            Body::Heartbeat(heartbeat(options, state, seen)),
            seen,
        )
        .await?;
        let reply = answer(&mut link, state.sequence, seen).await?;
        if !reply.confirmed {
            state.leader = reply.leader.parse().ok();
            return Err(miette!("not the leader"));
        }
        take_in(state, &reply, seen);
        *lock(&seen.last) = Some((Instant::now(), address));
        if state.page == 0 {
            sleep(options.interval.saturating_sub(sent.elapsed())).await;
        }
    }
}

/// Locks a mutex; a panic elsewhere ends the process, so poison is ignored.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Seen {
    /// Returns when the last confirmation came, and from whom.
    #[must_use]
    pub fn last(&self) -> Option<(Instant, SocketAddr)> {
        *lock(&self.last)
    }
}

type Link = Framed<TcpStream, FrameCodec>;

async fn send(link: &mut Link, body: Body, seen: &Seen) -> Result<()> {
    let frame = Frame::new(body);
    count(&frame, seen);
    link.send(frame).await.into_diagnostic()
}

/// Waits for the answer to a heartbeat.
async fn answer(link: &mut Link, sequence: u64, seen: &Seen) -> Result<HeartbeatReply> {
    loop {
        let next = timeout(ANSWER_LIMIT, link.next()).await.into_diagnostic()?;
        let frame = next.ok_or_else(|| miette!("closed"))?.into_diagnostic()?;
        count(&frame, seen);
        if let Some(Body::HeartbeatReply(reply)) = frame.body
            && reply.sequence == sequence
        {
            return Ok(reply);
        }
    }
}

fn heartbeat(options: &SessionOptions, state: &mut State, seen: &Seen) -> Heartbeat {
    state.sequence += 1;
    Heartbeat {
        daemon: options.daemon.clone(),
        incarnation: 1,
        sequence: state.sequence,
        address: "127.0.0.1:9".into(),
        data_centre: options.data_centre.clone(),
        config_version: seen.version.load(Ordering::Relaxed),
        upstream: Some(Announcement {
            service: options.service.clone(),
            slots: 12,
            boot: "1".into(),
            leaving: options.leaving.load(Ordering::Relaxed),
            ..Announcement::default()
        }),
        subscriptions: state.held.clone(),
        config_page: state.page,
        homes_hash: state.homes_hash,
        age_ms: 0,
        supports_routing_changes: true,
    }
}

fn take_in(state: &mut State, reply: &HeartbeatReply, seen: &Seen) {
    seen.confirmed.fetch_add(1, Ordering::Relaxed);
    for delta in &reply.services {
        if let Some(held) = state.held.iter_mut().find(|h| h.service == delta.service) {
            held.epoch = delta.epoch;
            held.version = delta.version;
        }
    }
    if !reply.homes.is_empty() {
        state.homes_hash = fleet::homes_hash(&reply.homes);
    }
    match &reply.config {
        Some(delta) if delta.last || delta.page == 0 => {
            seen.version.store(delta.to, Ordering::Relaxed);
            state.page = 0;
        }
        Some(delta) => state.page = delta.page,
        None => state.page = 0,
    }
}

fn count(frame: &Frame, seen: &Seen) {
    let len = frame_len(frame);
    seen.bytes.fetch_add(len, Ordering::Relaxed);
}

fn frame_len(frame: &Frame) -> u64 {
    const LENGTH_BYTES: u64 = 4;
    prost::Message::encoded_len(frame) as u64 + LENGTH_BYTES
}
