//! A simulated agent: it sends heartbeats to control like a daemon's agent, and
//! does nothing else. Many of them load control without many processes.

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

/// Timeout for a connection attempt and for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before the next connection attempt after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Counters of a session.
#[derive(Debug, Default)]
pub struct SessionStats {
    /// Configuration version that the session has received.
    pub version: AtomicU64,
    /// Heartbeats that the control leader has confirmed.
    pub confirmed: AtomicU64,
    /// Bytes of messages sent and received, without the overhead of TCP.
    pub bytes: AtomicU64,
    /// Time of the last confirmation and address of the replica that sent it.
    last_confirmation: Mutex<Option<(Instant, SocketAddr)>>,
}

/// Identity and timing of a session.
#[derive(Clone, Debug)]
pub struct SessionOptions {
    /// Name of the simulated daemon.
    pub daemon: String,
    /// Service of its upstream.
    pub service: String,
    /// Services that it subscribes to.
    pub subscriptions: Vec<String>,
    /// Name of its data centre.
    pub data_centre: String,
    /// Interval between heartbeats.
    pub interval: Duration,
    /// Delay of the first heartbeat, which spreads the heartbeats of many
    /// sessions over the interval.
    pub offset: Duration,
    /// Peer addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Whether its upstream announces that it is leaving.
    pub leaving: Arc<AtomicBool>,
}

/// Finds the control leader through the given peer addresses and returns its
/// address.
///
/// # Errors
///
/// Returns an error if no leader is found within `search_timeout`.
pub async fn find_leader(control: &[SocketAddr], search_timeout: Duration) -> Result<SocketAddr> {
    let options = SessionOptions {
        daemon: "leader-finder".into(),
        service: "leader-finder".into(),
        subscriptions: Vec::new(),
        data_centre: "none".into(),
        interval: RETRY_INTERVAL,
        offset: Duration::ZERO,
        control: control.to_vec(),
        leaving: Arc::default(),
    };
    let stats = Arc::new(SessionStats::default());
    let session = tokio::spawn(run(options, stats.clone()));
    let started = Instant::now();
    let result = loop {
        if let Some((_, address)) = stats.last_confirmation() {
            break Ok(address);
        }
        if started.elapsed() > search_timeout {
            break Err(miette!("no control leader found within {search_timeout:?}"));
        }
        sleep(RETRY_INTERVAL).await;
    };
    session.abort();
    result
}

/// Sends heartbeats until the task is aborted.
pub async fn run(options: SessionOptions, stats: Arc<SessionStats>) {
    sleep(options.offset).await;
    let mut state = State {
        sequence: 0,
        subscriptions: options
            .subscriptions
            .iter()
            .map(|s| subscription(s))
            .collect(),
        page: 0,
        homes_hash: 0,
        next_replica: 0,
        leader: None,
    };
    loop {
        if run_connection(&options, &mut state, &stats).await.is_err() {
            state.next_replica += 1;
            sleep(RETRY_INTERVAL).await;
        }
    }
}

#[derive(Debug)]
struct State {
    sequence: u64,
    subscriptions: Vec<Subscription>,
    page: u64,
    homes_hash: u64,
    next_replica: usize,
    leader: Option<SocketAddr>,
}

fn subscription(service: &str) -> Subscription {
    Subscription {
        service: service.into(),
        epoch: 0,
        version: 0,
        checksums: Vec::new(),
    }
}

/// Sends heartbeats over one connection until it fails or its replica turns out
/// not to be the leader.
async fn run_connection(
    options: &SessionOptions,
    state: &mut State,
    stats: &SessionStats,
) -> Result<()> {
    let configured = options.control[state.next_replica % options.control.len()];
    let address = state.leader.take().unwrap_or(configured);
    let dial = timeout(REPLY_TIMEOUT, TcpStream::connect(address));
    let socket = dial.await.into_diagnostic()?.into_diagnostic()?;
    socket.set_nodelay(true).into_diagnostic()?;
    let mut link = Framed::new(socket, FrameCodec::new());
    let hello = Hello {
        version: PROTOCOL_VERSION,
        daemon: options.daemon.clone(),
        kind: LinkKind::Control.into(),
    };
    send(&mut link, Body::Hello(hello), stats).await?;
    loop {
        let sent = Instant::now();
        send(
            &mut link,
            Body::Heartbeat(heartbeat(options, state, stats)),
            stats,
        )
        .await?;
        let reply = receive_reply(&mut link, state.sequence, stats).await?;
        if !reply.confirmed {
            state.leader = reply.leader.parse().ok();
            return Err(miette!("{address} is not the control leader"));
        }
        apply_reply(state, &reply, stats);
        *lock(&stats.last_confirmation) = Some((Instant::now(), address));
        if state.page == 0 {
            sleep(options.interval.saturating_sub(sent.elapsed())).await;
        }
    }
}

/// Locks a mutex. Poisoning is ignored, because a panic ends the process.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SessionStats {
    /// Returns the time of the last confirmation and the address of the replica
    /// that sent it.
    #[must_use]
    pub fn last_confirmation(&self) -> Option<(Instant, SocketAddr)> {
        *lock(&self.last_confirmation)
    }
}

type Link = Framed<TcpStream, FrameCodec>;

async fn send(link: &mut Link, body: Body, stats: &SessionStats) -> Result<()> {
    let frame = Frame::new(body);
    count_bytes(&frame, stats);
    link.send(frame).await.into_diagnostic()
}

/// Waits for the reply to a heartbeat.
async fn receive_reply(
    link: &mut Link,
    sequence: u64,
    stats: &SessionStats,
) -> Result<HeartbeatReply> {
    loop {
        let next = timeout(REPLY_TIMEOUT, link.next())
            .await
            .into_diagnostic()?;
        let frame = next
            .ok_or_else(|| miette!("control replica closed the connection"))?
            .into_diagnostic()?;
        count_bytes(&frame, stats);
        if let Some(Body::HeartbeatReply(reply)) = frame.body
            && reply.sequence == sequence
        {
            return Ok(reply);
        }
    }
}

fn heartbeat(options: &SessionOptions, state: &mut State, stats: &SessionStats) -> Heartbeat {
    state.sequence += 1;
    Heartbeat {
        daemon: options.daemon.clone(),
        incarnation: 1,
        sequence: state.sequence,
        address: "127.0.0.1:9".into(),
        data_centre: options.data_centre.clone(),
        config_version: stats.version.load(Ordering::Relaxed),
        upstream: Some(Announcement {
            service: options.service.clone(),
            slots: 12,
            boot: "1".into(),
            leaving: options.leaving.load(Ordering::Relaxed),
            ..Announcement::default()
        }),
        subscriptions: state.subscriptions.clone(),
        config_page: state.page,
        homes_hash: state.homes_hash,
        supports_routing_changes: true,
        ..Heartbeat::default()
    }
}

fn apply_reply(state: &mut State, reply: &HeartbeatReply, stats: &SessionStats) {
    stats.confirmed.fetch_add(1, Ordering::Relaxed);
    for delta in &reply.services {
        if let Some(subscription) = state
            .subscriptions
            .iter_mut()
            .find(|s| s.service == delta.service)
        {
            subscription.epoch = delta.epoch;
            subscription.version = delta.version;
        }
    }
    if !reply.homes.is_empty() {
        state.homes_hash = fleet::homes_hash(&reply.homes);
    }
    match &reply.config {
        Some(delta) if delta.last || delta.page == 0 => {
            stats.version.store(delta.to, Ordering::Relaxed);
            state.page = 0;
        }
        Some(delta) => state.page = delta.page,
        None => state.page = 0,
    }
}

fn count_bytes(frame: &Frame, stats: &SessionStats) {
    let len = frame_len(frame);
    stats.bytes.fetch_add(len, Ordering::Relaxed);
}

fn frame_len(frame: &Frame) -> u64 {
    const LENGTH_BYTES: u64 = 4;
    prost::Message::encoded_len(frame) as u64 + LENGTH_BYTES
}
