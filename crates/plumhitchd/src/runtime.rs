//! The daemon's shared state: passes events to the reducer and executes the
//! effects that it returns.

use crate::clock;
use crate::disk::DiskTx;
use crate::entry_http;
use crate::gate_http::{self, BodyIntake, Pool};
use crate::integration::Integration;
use crate::links::{self, Links};
use crate::listeners::Ports;
use crate::logging;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::task_messages::{TaskMessage, TaskTx};
use conf::Settings;
use gate::Ticket;
use node::agent::ConfigBasis;
use node::{Effect, Event, Node, NodeOptions, Policy, admission, entry};
use replica::Replica;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use wire::{CallerLimits, Load, RequestId, Restriction, control_reply};

/// Environment variable that selects a baseline policy, for measurements only.
const POLICY_VARIABLE: &str = "PLUMHITCH_BASELINE";
/// Suffix of a policy name that disables admission control at the gates.
const WITHOUT_GATE: &str = "_without_gate";
/// Maximum time for a caller to send a request head, and for its connection to be
/// idle, unless the routing configures other limits.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from which the handling of an event is logged. All other events wait for it.
const SLOW_EVENT: Duration = Duration::from_millis(100);
/// Interval between tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Sender of control's reply to a pending request.
pub(crate) type ReplyTx = oneshot::Sender<Option<control_reply::Kind>>;

/// A running daemon.
#[derive(Debug)]
pub(crate) struct Daemon {
    /// Validated settings.
    pub(crate) cfg: Settings,
    /// Connections to other daemons.
    pub(crate) links: Links,
    /// Message senders of the tasks of callers' requests.
    pub(crate) entry_tasks: Mutex<HashMap<RequestId, TaskTx>>,
    /// Message senders of the tasks of requests at the gate.
    pub(crate) gate_tasks: Mutex<HashMap<Ticket, TaskTx>>,
    /// Requests to control that wait for a reply.
    pub(crate) pending_requests: Mutex<HashMap<u64, ReplyTx>>,
    /// Header names and endpoints of the embedding program.
    pub(crate) integration: Integration,
    /// Connections to the upstream.
    pub(crate) pool: Pool,
    /// Request bodies that the gate is receiving.
    pub(crate) body_intake: BodyIntake,
    /// Counters and histograms.
    pub(crate) metrics: Metrics,
    /// Number of callers' requests whose responses are not yet completely sent.
    pub(crate) open_requests: AtomicUsize,
    /// Whether idle connections of callers are to be closed.
    pub(crate) closing: watch::Sender<bool>,
    /// Whether no more connections of callers are to be accepted.
    pub(crate) refusing: watch::Sender<bool>,
    /// Whether a graceful stop ends: no more requests are read from connections.
    pub(crate) ending: watch::Sender<bool>,
    /// Number of requests in progress that the end of a stop has cut off.
    pub(crate) cut_requests: AtomicUsize,
    /// Limits and counts of the listeners' connections.
    pub(crate) ports: Ports,
    /// Memory that is held for others.
    pub(crate) memory: Memory,
    /// Number of requests of operators and to endpoints whose bodies have been read and that
    /// are being handled.
    pub(crate) running_calls: AtomicUsize,
    /// Whether a graceful stop has begun.
    pub(crate) stopping: AtomicBool,
    /// Random number that identifies this run of the process.
    pub(crate) incarnation: u64,
    node: Mutex<Node>,
    disk: Option<DiskTx>,
    next_id: AtomicU64,
}

/// Locks a mutex. Poisoning is ignored, because a panic aborts the process.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Daemon {
    /// Creates a daemon without starting its listeners.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be created.
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
            body_intake: BodyIntake::new(cfg.limits.link_bytes, cfg.limits.window_bytes as u64),
            integration,
            closing: watch::Sender::new(false),
            refusing: watch::Sender::new(false),
            ending: watch::Sender::new(false),
            cut_requests: AtomicUsize::new(0),
            ports: Ports::new(&cfg),
            memory: Memory::new(&cfg),
            running_calls: AtomicUsize::new(0),
            metrics: Metrics::new().map_err(io::Error::other)?,
            open_requests: AtomicUsize::new(0),
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

    /// Returns an id that is unique in this run of the process.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Reads from the reducer's state.
    pub(crate) fn read<T>(&self, f: impl FnOnce(&Node) -> T) -> T {
        f(&lock(&self.node))
    }

    /// Returns the maximum length of a request head in bytes.
    pub(crate) fn max_header_bytes(&self) -> usize {
        let from_routing = self.caller_limits().header_bytes;
        let from_settings = self.cfg.limits.header_bytes;
        usize::try_from(from_routing)
            .ok()
            .filter(|n| *n > 0)
            .unwrap_or(from_settings)
    }

    /// Returns the maximum length of a request body in bytes.
    pub(crate) fn max_body_bytes(&self) -> u64 {
        match self.caller_limits().body_bytes {
            0 => self.cfg.limits.body_bytes,
            from_routing => from_routing,
        }
    }

    /// Returns the maximum time for a caller to send a request head.
    pub(crate) fn header_timeout(&self) -> Duration {
        timeout_or_default(self.caller_limits().header_ms)
    }

    /// Returns the maximum idle time of a caller's connection.
    pub(crate) fn idle_timeout(&self) -> Duration {
        timeout_or_default(self.caller_limits().idle_ms)
    }

    fn caller_limits(&self) -> CallerLimits {
        self.read(|node| node.agent.config.routing.limits())
    }

    /// Returns whether idle connections of callers are to be closed.
    pub(crate) fn is_closing_connections(&self) -> bool {
        *self.closing.borrow()
    }

    /// Waits until no more connections of callers are to be accepted.
    pub(crate) async fn wait_until_refusing(&self) {
        let mut refusing = self.refusing.subscribe();
        let _ = refusing.wait_for(|refusing| *refusing).await;
    }

    /// Returns whether a graceful stop ends.
    pub(crate) fn is_ending(&self) -> bool {
        *self.ending.borrow()
    }

    /// Waits until a graceful stop ends.
    pub(crate) async fn wait_until_ending(&self) {
        let mut ending = self.ending.subscribe();
        let _ = ending.wait_for(|ending| *ending).await;
    }

    /// Returns whether the start of the upstream with this number still holds the address.
    pub(crate) fn is_upstream_start(&self, number: u64) -> bool {
        self.read(|node| node.admission.start_number()) == number
    }

    /// Returns the current load of the gate.
    pub(crate) fn load(&self) -> Load {
        self.read(|node| node.admission.load())
    }

    /// Returns the current load of the gate to send to an entry, if the budget
    /// for load measurement allows it.
    pub(crate) fn load_to_send(&self) -> Option<Load> {
        lock(&self.node).admission.load_to_send(clock::now())
    }

    /// Returns what to tell an entry about the upstream's statements.
    pub(crate) fn restriction_to_send(&self, informed: bool) -> Option<Restriction> {
        let mut node = lock(&self.node);
        node.admission.restriction_to_send(clock::now(), informed)
    }

    /// Returns whether the budget for load measurement allows reading the
    /// upstream's load report now.
    pub(crate) fn may_read_report(&self) -> bool {
        lock(&self.node).admission.may_read_report(clock::now())
    }

    /// Passes an event to the reducer and executes its effects in order. Nothing
    /// here blocks, and the lock is held until the last effect has been queued.
    pub(crate) fn handle_event(self: &Arc<Self>, event: Event) {
        self.step(&mut lock(&self.node), clock::now(), event);
    }

    /// Passes a caller's request to the reducer; returns the configuration that
    /// decided it.
    pub(crate) fn handle_arrival(self: &Arc<Self>, request: entry::Request) -> ConfigBasis {
        let mut node = lock(&self.node);
        let now = clock::now();
        let basis = node.agent.config_basis(now);
        self.step(&mut node, now, Event::Entry(entry::Event::Arrived(request)));
        basis
    }

    fn step(self: &Arc<Self>, node: &mut Node, now: Duration, event: Event) {
        let kind = event.kind();
        let mut effects = Vec::new();
        node::step(node, now, event, &mut effects);
        effects.into_iter().for_each(|effect| self.execute(effect));
        let took = clock::now().saturating_sub(now);
        if took >= SLOW_EVENT {
            log::warn!("event=slow_event kind={kind} took_ms={}", took.as_millis());
        }
    }

    fn execute(self: &Arc<Self>, effect: Effect) {
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
            Effect::Entry(effect) => self.send_to_entry_task(effect),
            Effect::Admission(effect) => self.send_to_gate_task(effect),
            Effect::OperatorReply { id, reply } => {
                if let Some(tx) = lock(&self.pending_requests).remove(&id) {
                    let _ = tx.send(reply);
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

    fn send_to_entry_task(&self, effect: entry::Effect) {
        let mut tasks = lock(&self.entry_tasks);
        let id = entry_http::request_of(&effect);
        if let Some(tx) = tasks.get(&id) {
            let finished = matches!(effect, entry::Effect::Forget(_));
            let _ = tx.send(TaskMessage::Entry(effect));
            if finished {
                tasks.remove(&id);
            }
        }
    }

    fn send_to_gate_task(&self, effect: admission::Effect) {
        let ticket = gate_http::ticket_of(&effect);
        if let Some(tx) = lock(&self.gate_tasks).get(&ticket) {
            let _ = tx.send(TaskMessage::Gate(effect));
        }
    }
}

/// Returns a time limit of callers' connections, or the default if it is not set.
fn timeout_or_default(ms: u64) -> Duration {
    match ms {
        0 => DEFAULT_CALLER_TIMEOUT,
        ms => Duration::from_millis(ms),
    }
}

/// Returns the policy for choosing upstreams: the default, or for measurements the
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
    let baseline = baselines.into_iter().find(|p| p.name == base);
    let policy = baseline.unwrap_or_default();
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

/// Sends tick events to the reducer at regular intervals.
pub(crate) async fn tick(daemon: Arc<Daemon>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        daemon.handle_event(Event::Tick {
            unix_ms: clock::unix_ms(),
        });
    }
}
