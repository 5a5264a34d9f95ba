//! A deterministic simulation of a few daemons with fake links, disks and clock.
//!
//! Each daemon is run through `node::step`. Frames of a connection arrive in
//! order. A cut link holds frames back until it is healed; neither side notices
//! the cut itself.

#![allow(dead_code, unreachable_pub)]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use conf::{DaemonSettings, ListenSettings, Settings};
use node::{Effect, Event, LinkId, LogLine, Node, NodeOptions, admission, entry, step};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use replica::{DiskError, MemoryDisk, Replica, ReplicaOptions};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::{Body, LinkKind, control_reply, control_request};

/// Interval between two ticks.
pub const TICK: Duration = Duration::from_millis(10);
/// Peer port of the first daemon.
const FIRST_PORT: u16 = 7_000;

/// A daemon with its disk and the effects that it produced.
pub struct Daemon {
    pub name: String,
    pub address: SocketAddr,
    pub settings: Settings,
    /// `None` while the daemon is down.
    pub node: Option<Node>,
    pub disk: MemoryDisk,
    pub is_control: bool,
    pub starts: u64,
    pub frozen: bool,
    /// How far the time of day of its VM is ahead, in milliseconds.
    pub clock_offset_ms: i64,
    /// Whether disk syncs are suspended.
    pub disk_stalled: bool,
    inbox: Vec<Event>,
    pub logs: Vec<LogLine>,
    pub operator_replies: BTreeMap<u64, Option<control_reply::Kind>>,
    pub entry: Vec<entry::Effect>,
    pub admission: Vec<admission::Effect>,
}

struct Packet {
    from: usize,
    to: usize,
    /// Number of starts of both daemons when the packet was sent. A receiver
    /// that has restarted since does not get it.
    starts: (u64, u64),
    link: Option<LinkId>,
    kind: LinkKind,
    body: Body,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Connection {
    from: usize,
    to: usize,
    starts: (u64, u64),
    kind: LinkKind,
}

/// Returns the seeds of a longer run: as many as `SHUFFLE_SEEDS` states, or `default`,
/// from `SHUFFLE_FIRST` or `first` on.
pub fn shuffle_seeds(first: u64, default: u64) -> std::ops::Range<u64> {
    let variable = |name| std::env::var(name).ok().and_then(|s| s.parse().ok());
    let first = variable("SHUFFLE_FIRST").unwrap_or(first);
    first..first + variable("SHUFFLE_SEEDS").unwrap_or(default)
}

/// A few daemons, the links between them and one clock.
pub struct Simulation {
    pub now: Duration,
    pub unix_ms: u64,
    pub daemons: Vec<Daemon>,
    pub rng: SmallRng,
    /// Maximum delay of a frame.
    pub delay: Duration,
    /// Fraction of frames that arrive twice, 0 to 1.
    pub duplicate_ratio: f64,
    /// Real time that each daemon's steps took.
    pub step_time: Vec<Duration>,
    /// Replies over connections that no daemon of the cluster dialled.
    pub unrouted_replies: Vec<(LinkId, Body)>,
    cuts: BTreeSet<(usize, usize)>,
    in_transit: BTreeMap<(Duration, u64), Packet>,
    held: Vec<Packet>,
    connections: BTreeMap<Connection, LinkId>,
    last_arrival: BTreeMap<Connection, Duration>,
    counter: u64,
    queue: VecDeque<(usize, Event)>,
    dispatching: bool,
}

impl Simulation {
    /// Creates `controls` daemons with a control replica and `plain` ones
    /// without, and starts them.
    pub fn new(controls: usize, plain: usize, seed: u64) -> Self {
        Self::with_settings(controls, plain, seed, |_| {})
    }

    /// Does the same, with settings that `f` has adapted.
    pub fn with_settings(
        controls: usize,
        plain: usize,
        seed: u64,
        f: impl Fn(&mut Settings),
    ) -> Self {
        let addresses: Vec<SocketAddr> = (0..controls).map(address).collect();
        let daemons = (0..controls + plain).map(|i| {
            let mut daemon = daemon(i, i < controls, &addresses);
            f(&mut daemon.settings);
            daemon
        });
        let mut sim = Self {
            now: Duration::from_secs(1),
            unix_ms: 1_800_000_000_000,
            daemons: daemons.collect(),
            rng: SmallRng::seed_from_u64(seed),
            delay: Duration::from_millis(3),
            duplicate_ratio: 0.0,
            step_time: vec![Duration::ZERO; controls + plain],
            unrouted_replies: Vec::new(),
            cuts: BTreeSet::new(),
            in_transit: BTreeMap::new(),
            held: Vec::new(),
            connections: BTreeMap::new(),
            last_arrival: BTreeMap::new(),
            counter: 0,
            queue: VecDeque::new(),
            dispatching: false,
        };
        (0..sim.daemons.len()).for_each(|i| sim.start(i));
        sim
    }

    /// Returns the index of a daemon by its name.
    pub fn index(&self, name: &str) -> usize {
        let position = self.daemons.iter().position(|d| d.name == name);
        position.unwrap_or_else(|| panic!("no daemon {name}"))
    }

    /// Starts a daemon from the contents of its disk.
    pub fn start(&mut self, i: usize) {
        let seed = self.rng.random();
        let now = self.now;
        let d = &mut self.daemons[i];
        assert!(d.node.is_none(), "{} is already up", d.name);
        d.starts += 1;
        d.frozen = false;
        d.inbox.clear();
        let replica = d.is_control.then(|| replica(d, seed, now));
        d.node = Some(Node::new(NodeOptions {
            settings: d.settings.clone(),
            incarnation: seed,
            seed,
            replica,
            policy: pick::Policy::default(),
        }));
    }

    /// Starts a control daemon whose data folder cannot be opened yet.
    pub fn start_without_space(&mut self, i: usize) {
        let stored = std::mem::take(&mut self.daemons[i].disk);
        self.daemons[i].disk = MemoryDisk::unusable(DiskError::Full);
        self.start(i);
        self.daemons[i].disk = stored;
    }

    /// Lets the data folder of such a daemon be opened.
    pub fn open_disk(&mut self, i: usize) {
        let seed = self.rng.random();
        let replica = replica(&self.daemons[i], seed, self.now);
        self.event(i, Event::ReplicaRecovered(replica));
    }

    /// Kills a daemon. Its connections break; frames that it has sent arrive.
    pub fn kill(&mut self, i: usize) {
        let d = &mut self.daemons[i];
        d.node = None;
        d.disk.discard_unsynced();
        let broken: Vec<(Connection, LinkId)> = self
            .connections
            .iter()
            .filter(|(c, _)| c.from == i || c.to == i)
            .map(|(c, link)| (*c, *link))
            .collect();
        for (c, link) in broken {
            self.connections.remove(&c);
            if c.from == i {
                self.event(c.to, Event::LinkClosed(link));
            } else {
                self.link_failed(c.from, i, c.kind);
            }
        }
    }

    /// Freezes a daemon, as when its process or VM is paused.
    pub fn freeze(&mut self, i: usize) {
        self.daemons[i].frozen = true;
    }

    /// Resumes a frozen daemon. It handles buffered events before its first
    /// tick.
    pub fn thaw(&mut self, i: usize) {
        self.daemons[i].frozen = false;
        let inbox = std::mem::take(&mut self.daemons[i].inbox);
        self.queue.extend(inbox.into_iter().map(|event| (i, event)));
        self.dispatch();
    }

    /// Cuts the link between two daemons in one direction.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Returns whether the link between two daemons is not cut in a direction.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Cuts all links of a daemon in both directions.
    pub fn isolate(&mut self, i: usize) {
        for other in (0..self.daemons.len()).filter(|o| *o != i) {
            self.cut(i, other);
            self.cut(other, i);
        }
    }

    /// Ends all cuts. Frames that were held back arrive late.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for packet in std::mem::take(&mut self.held) {
            self.transmit(packet);
        }
    }

    /// Drops the frames held back by cuts, as when connections time out.
    pub fn drop_held(&mut self) {
        self.held.clear();
    }

    /// Advances the simulation by a duration.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Advances the simulation until a condition holds and returns how long it
    /// took, or `None` after the limit.
    pub fn run_until(&mut self, limit: Duration, f: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while !f(self) {
            if self.now - start >= limit {
                return None;
            }
            self.tick();
        }
        Some(self.now - start)
    }

    /// Advances the simulation by one tick.
    pub fn tick(&mut self) {
        let end = self.now + TICK;
        while let Some(next) = self.in_transit.first_entry().filter(|e| e.key().0 <= end) {
            self.now = self.now.max(next.key().0);
            let packet = next.remove();
            self.arrive(packet);
        }
        self.now = end;
        self.unix_ms += TICK.as_millis() as u64;
        for i in 0..self.daemons.len() {
            if self.daemons[i].frozen {
                continue;
            }
            let offset_ms = self.daemons[i].clock_offset_ms;
            let unix_ms = self.unix_ms.saturating_add_signed(offset_ms);
            self.event(i, Event::Tick { unix_ms });
        }
    }

    /// Passes an event to a daemon and executes the resulting effects.
    pub fn event(&mut self, i: usize, event: Event) {
        self.queue.push_back((i, event));
        if !self.dispatching {
            self.dispatch();
        }
    }

    /// Handles queued events in order. Disks sync when the queue is empty, so
    /// that completions arrive in order too.
    fn dispatch(&mut self) {
        self.dispatching = true;
        while !self.queue.is_empty() {
            while let Some((i, event)) = self.queue.pop_front() {
                self.handle(i, event);
            }
            (0..self.daemons.len()).for_each(|i| self.sync(i));
        }
        self.dispatching = false;
    }

    fn handle(&mut self, i: usize, event: Event) {
        let now = self.now;
        let d = &mut self.daemons[i];
        if d.frozen {
            if !matches!(event, Event::Tick { .. }) {
                d.inbox.push(event);
            }
            return;
        }
        let Some(node) = &mut d.node else {
            return;
        };
        let mut tx = Vec::new();
        let start = Instant::now();
        step(node, now, event, &mut tx);
        self.step_time[i] += start.elapsed();
        tx.into_iter().for_each(|effect| self.effect(i, effect));
    }

    /// Sends an operator's request through a daemon.
    pub fn send_request(&mut self, i: usize, id: u64, kind: control_request::Kind) {
        self.event(i, Event::Operator { id, kind });
    }

    fn effect(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Send {
                address,
                kind,
                body,
            } => self.send(i, &address, kind, body),
            Effect::Reply { link, body } => self.reply(i, link, body),
            Effect::Disk(op) => {
                self.daemons[i].disk.write(op);
            }
            Effect::OperatorReply { id, reply } => {
                self.daemons[i].operator_replies.insert(id, reply);
            }
            Effect::Log(line) => self.daemons[i].logs.push(line),
            Effect::Entry(effect) => self.daemons[i].entry.push(effect),
            Effect::Admission(effect) => self.daemons[i].admission.push(effect),
        }
    }

    fn sync(&mut self, i: usize) {
        let d = &mut self.daemons[i];
        if d.disk_stalled || d.frozen {
            return;
        }
        let done = d.disk.sync().into_iter();
        self.queue
            .extend(done.map(|done| (i, Event::DiskDone(done))));
    }

    fn send(&mut self, from: usize, address: &str, kind: LinkKind, body: Body) {
        let to = self
            .daemons
            .iter()
            .position(|d| d.address.to_string() == address);
        let Some(to) = to.filter(|to| self.daemons[*to].node.is_some()) else {
            let address = address.into();
            let closed_by_peer = false;
            self.event(
                from,
                Event::LinkFailed {
                    address,
                    kind,
                    closed_by_peer,
                },
            );
            return;
        };
        let connection = Connection {
            from,
            to,
            starts: (self.daemons[from].starts, self.daemons[to].starts),
            kind,
        };
        self.counter += 1;
        let counter = self.counter;
        let link = *self.connections.entry(connection).or_insert(counter);
        self.transmit(Packet {
            from,
            to,
            starts: connection.starts,
            link: Some(link),
            kind,
            body,
        });
    }

    fn reply(&mut self, from: usize, link: LinkId, body: Body) {
        let connection = self.connections.iter().find(|(_, l)| **l == link);
        let Some((c, _)) = connection.filter(|(c, _)| c.to == from) else {
            self.unrouted_replies.push((link, body));
            return;
        };
        let packet = Packet {
            from,
            to: c.from,
            starts: (c.starts.1, c.starts.0),
            link: None,
            kind: c.kind,
            body,
        };
        self.transmit(packet);
    }

    fn transmit(&mut self, packet: Packet) {
        if self.cuts.contains(&(packet.from, packet.to)) {
            self.held.push(packet);
            return;
        }
        let connection = Connection {
            from: packet.from,
            to: packet.to,
            starts: packet.starts,
            kind: packet.kind,
        };
        let delay = self.delay.mul_f64(self.rng.random::<f64>());
        let last = self.last_arrival.get(&connection).copied();
        let at = (self.now + delay).max(last.unwrap_or_default());
        self.last_arrival.insert(connection, at);
        self.counter += 1;
        if self.duplicate_ratio > 0.0 && self.rng.random_bool(self.duplicate_ratio) {
            let late = at + self.delay.mul_f64(self.rng.random::<f64>() * 20.0);
            let copy = Packet {
                body: packet.body.clone(),
                ..packet
            };
            self.in_transit
                .insert((late, self.counter + (1 << 60)), copy);
        }
        self.in_transit.insert((at, self.counter), packet);
    }

    fn arrive(&mut self, packet: Packet) {
        let starts = (
            self.daemons[packet.from].starts,
            self.daemons[packet.to].starts,
        );
        if starts.1 != packet.starts.1 || self.daemons[packet.to].node.is_none() {
            return;
        }
        let daemon = self.daemons[packet.from].name.as_str().into();
        let event = Event::Received {
            link: packet.link,
            daemon,
            body: packet.body,
        };
        self.event(packet.to, event);
    }

    fn link_failed(&mut self, i: usize, peer: usize, kind: LinkKind) {
        let address = self.daemons[peer].address.to_string().into();
        let closed_by_peer = false;
        self.event(
            i,
            Event::LinkFailed {
                address,
                kind,
                closed_by_peer,
            },
        );
    }
}

impl Daemon {
    /// Returns the state of a daemon that is up.
    pub fn node(&self) -> &Node {
        self.node
            .as_ref()
            .unwrap_or_else(|| panic!("{} is down", self.name))
    }

    /// Returns the configuration version in force, or 0 if the daemon is down.
    pub fn version(&self) -> u64 {
        self.node.as_ref().map_or(0, |n| n.agent.config.version)
    }

    /// Returns the higher of the version in force at the daemon and the one
    /// committed at its replica.
    pub fn committed(&self) -> u64 {
        let control = self.node.as_ref().and_then(|n| n.control.as_ref());
        control
            .map_or(0, |c| c.config().version)
            .max(self.version())
    }

    /// Returns whether the daemon takes new work at `now`.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.node.as_ref().is_some_and(|n| n.agent.may_serve(now))
    }

    /// Returns whether this daemon's replica considers itself the leader.
    pub fn is_leader(&self) -> bool {
        let control = self.node.as_ref().and_then(|n| n.control.as_ref());
        control.is_some_and(|c| c.replica().role() == replica::Role::Leader)
    }
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + i as u16))
}

fn daemon(i: usize, is_control: bool, replicas: &[SocketAddr]) -> Daemon {
    let listen = ListenSettings {
        callers: Some(address(i + 1_000)),
        operators: address(i + 2_000),
        peers: address(i),
    };
    let plain = i.checked_sub(replicas.len());
    let name = plain.map_or(format!("c{}", i + 1), |p| format!("d{}", p + 1));
    let daemon = DaemonSettings {
        name: name.as_str().into(),
        data_centre: format!("dc{}", i % 3 + 1).into(),
    };
    let mut settings = Settings::new(daemon, listen, address(i + 3_000));
    settings.control.replicas = replicas.to_vec();
    settings.control.snapshot_entries = 50;
    Daemon {
        name,
        address: address(i),
        settings,
        node: None,
        disk: MemoryDisk::new(),
        is_control,
        starts: 0,
        frozen: false,
        clock_offset_ms: 0,
        disk_stalled: false,
        inbox: Vec::new(),
        logs: Vec::new(),
        operator_replies: BTreeMap::new(),
        entry: Vec::new(),
        admission: Vec::new(),
    }
}

fn replica(d: &Daemon, seed: u64, now: Duration) -> Replica {
    let own = d.address.to_string();
    let mut options = ReplicaOptions::new(&own, seed);
    options.election_timeout = d.settings.control.election_timeout;
    options.snapshot_entries = d.settings.control.snapshot_entries;
    let replicas = d.settings.control.replicas.iter();
    options.configured_replicas = replicas
        .map(ToString::to_string)
        .filter(|a| *a != own)
        .collect();
    Replica::new(options, d.disk.recover(), now)
}
