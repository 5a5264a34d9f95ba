//! The daemon's shared state: the reducer, and who carries its effects out.

use crate::clock;
use crate::disk::DiskTx;
use crate::entry_http;
use crate::gate_http::{self, Pool};
use crate::integration::Integration;
use crate::links::{self, Links};
use crate::logging;
use crate::metrics::Metrics;
use crate::task_messages::{TaskMessage, TaskTx};
use conf::Settings;
use gate::Ticket;
use node::{Effect, Event, Node, NodeOptions, Policy, admission, entry};
use replica::Replica;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use wire::{CallerLimits, Load, RequestId, control_reply};

/// Environment variable that names a baseline, for measurements only.
const POLICY_VARIABLE: &str = "PLUMHITCH_BASELINE";
/// Ending of a policy's name by which its gates admit everything.
const WITHOUT_GATE: &str = "_without_gate";
/// Time that a caller may take to send a head, and that its connection may be
/// idle, unless the routing sets bounds.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between ticks.
const TICK: Duration = Duration::from_millis(20);

/// Where the answer to an operator's question goes.
pub(crate) type ReplyTx = oneshot::Sender<Option<control_reply::Kind>>;

/// A running daemon.
#[derive(Debug)]
pub(crate) struct Daemon {
    /// Checked settings.
    pub(crate) cfg: Settings,
    /// Connections to other daemons.
    pub(crate) links: Links,
    /// Tasks of callers' requests.
    pub(crate) entry_tasks: Mutex<HashMap<RequestId, TaskTx>>,
    /// Tasks of requests at the gate.
    pub(crate) gate_tasks: Mutex<HashMap<Ticket, TaskTx>>,
    /// Operators' questions that wait for control.
    pub(crate) pending_requests: Mutex<HashMap<u64, ReplyTx>>,
    /// Names and listeners of those around the daemon.
    pub(crate) integration: Integration,
    /// Connections to the upstream.
    pub(crate) pool: Pool,
    /// Counters and histograms.
    pub(crate) metrics: Metrics,
    /// Callers' requests in progress, until their answers are handed over.
    pub(crate) open_requests: AtomicUsize,
    /// Requests whose bodies are being read before the reducer knows of them.
    pub(crate) buffering: Mutex<BTreeSet<RequestId>>,
    /// Whether callers' connections are closed as soon as they are idle.
    pub(crate) closing: watch::Sender<bool>,
    /// Whether a graceful stop has begun.
    pub(crate) stopping: AtomicBool,
    /// Number drawn for this start.
    pub(crate) incarnation: u64,
    node: Mutex<Node>,
    disk: Option<DiskTx>,
    next_id: AtomicU64,
}

/// Locks a mutex; a panic elsewhere ends the process, so poison is ignored.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Daemon {
    /// Creates a daemon that has not started its listeners yet.
    ///
    /// # Errors
    ///
    /// Returns why the metrics can't be made.
    pub(crate) fn new(
        cfg: Settings,
        integration: Integration,
        replica: Option<Replica>,
        disk: Option<DiskTx>,
    ) -> io::Result<Arc<Self>> {
        let incarnation = rand::random();
        let node = Node::new(NodeOptions {
            settings: cfg.clone(),
            incarnation,
            seed: rand::random(),
            replica,
            policy: policy(),
        });
        Ok(Arc::new(Self {
            pool: Pool::new(cfg.upstream.as_ref().map(|u| u.address)),
            integration,
            closing: watch::Sender::new(false),
            metrics: Metrics::new().map_err(io::Error::other)?,
            open_requests: AtomicUsize::new(0),
            buffering: Mutex::default(),
            stopping: AtomicBool::new(false),
            disk,
            cfg,
            links: Links::default(),
            entry_tasks: Mutex::default(),
            gate_tasks: Mutex::default(),
            pending_requests: Mutex::default(),
            incarnation,
            node: Mutex::new(node),
            next_id: AtomicU64::new(1),
        }))
    }

    /// Draws a number that this daemon has not used since it started.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Reads something of the reducer's state.
    pub(crate) fn read<T>(&self, f: impl FnOnce(&Node) -> T) -> T {
        f(&lock(&self.node))
    }

    /// Returns the bytes that a request's head may have.
    pub(crate) fn max_header_bytes(&self) -> usize {
        let routed = self.caller_limits().header_bytes;
        let own = self.cfg.limits.header_bytes;
        usize::try_from(routed)
            .ok()
            .filter(|n| *n > 0)
            .unwrap_or(own)
    }

    /// Returns the bytes that a request's body may have.
    pub(crate) fn max_body_bytes(&self) -> u64 {
        match self.caller_limits().body_bytes {
            0 => self.cfg.limits.body_bytes,
            routed => routed,
        }
    }

    /// Returns the time that a caller may take to send a head.
    pub(crate) fn header_timeout(&self) -> Duration {
        bound_ms(self.caller_limits().header_ms)
    }

    /// Returns the time that a caller's connection may be idle.
    pub(crate) fn idle_timeout(&self) -> Duration {
        bound_ms(self.caller_limits().idle_ms)
    }

    fn caller_limits(&self) -> CallerLimits {
        self.read(|node| node.agent.config.routing.limits())
    }

    /// Returns whether callers' connections are closed as soon as they are idle.
    pub(crate) fn is_closing_connections(&self) -> bool {
        *self.closing.borrow()
    }

    /// Waits until callers' connections are to be closed as soon as they are
    /// idle.
    pub(crate) async fn wait_until_closing(&self) {
        let mut closing = self.closing.subscribe();
        let _ = closing.wait_for(|closing| *closing).await;
    }

    /// Returns the gate's exact load.
    pub(crate) fn load(&self) -> Load {
        self.read(|node| node.admission.load())
    }

    /// Returns the gate's exact load for an entry, if the budget for measuring
    /// pays for it.
    pub(crate) fn load_to_send(&self) -> Option<Load> {
        lock(&self.node).admission.load_to_send(clock::now())
    }

    /// Returns whether the budget for measuring pays for reading the upstream's
    /// load report now.
    pub(crate) fn may_read_report(&self) -> bool {
        lock(&self.node).admission.may_read_report(clock::now())
    }

    /// Takes an event in and hands its effects out, in order: nothing here
    /// waits, and the lock is held until the last effect has been handed over.
    pub(crate) fn dispatch(self: &Arc<Self>, event: Event) {
        let mut tx = Vec::new();
        let mut node = lock(&self.node);
        node::step(&mut node, clock::now(), event, &mut tx);
        tx.into_iter().for_each(|effect| self.carry_out(effect));
    }

    fn carry_out(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Send {
                address,
                kind,
                body,
            } => links::send(self, address, kind, body),
            Effect::Reply { link, body } => {
                if let Some(link) = lock(&self.links.accepted).get(&link) {
                    link.send(body);
                }
            }
            Effect::Entry(effect) => self.to_entry(effect),
            Effect::Admission(effect) => self.to_gate(effect),
            Effect::OperatorAnswer { id, answer } => {
                if let Some(tx) = lock(&self.pending_requests).remove(&id) {
                    let _ = tx.send(answer);
                }
            }
            Effect::Disk(op) => {
                if let Some(disk) = &self.disk {
                    let _ = disk.send(op);
                }
            }
            Effect::Log(line) => logging::write(&line),
        }
    }

    fn to_entry(&self, effect: entry::Effect) {
        let mut entries = lock(&self.entry_tasks);
        let id = entry_http::request_of(&effect);
        if let Some(tx) = entries.get(&id) {
            let over = matches!(effect, entry::Effect::Forget(_));
            let _ = tx.send(TaskMessage::Entry(effect));
            if over {
                entries.remove(&id);
            }
        }
    }

    fn to_gate(&self, effect: admission::Effect) {
        let ticket = gate_http::ticket_of(&effect);
        if let Some(tx) = lock(&self.gate_tasks).get(&ticket) {
            let _ = tx.send(TaskMessage::Gate(effect));
        }
    }
}

/// Returns a bound of callers' connections, or the default where none is set.
fn bound_ms(ms: u64) -> Duration {
    match ms {
        0 => DEFAULT_CALLER_TIMEOUT,
        ms => Duration::from_millis(ms),
    }
}

/// Returns the way to choose upstreams: the default, or for a measurement a
/// baseline that [`POLICY_VARIABLE`] names.
fn policy() -> Policy {
    let baselines = [Policy::RANDOM, Policy::ROUND_ROBIN, Policy::LEAST_IN_FLIGHT];
    let Ok(name) = std::env::var(POLICY_VARIABLE) else {
        return Policy::default();
    };
    let (base, gateless) = match name.strip_suffix(WITHOUT_GATE) {
        Some(base) => (base, true),
        None => (name.as_str(), false),
    };
    let known = baselines.into_iter().find(|p| p.name == base);
    let policy = known.unwrap_or_default();
    log::warn!(
        "event=policy_for_measurement policy={} gateless={gateless}",
        policy.name
    );
    if gateless {
        policy.without_gate()
    } else {
        policy
    }
}

/// Tells the reducer that time passes.
pub(crate) async fn tick(daemon: Arc<Daemon>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        daemon.dispatch(Event::Tick {
            unix_ms: clock::unix_ms(),
        });
    }
}
