//! Simulated cluster with a fake network, disks and clocks, which checks its
//! invariants after every step.

#![allow(dead_code)]

mod invariants;

use invariants::Invariants;
use replica::{DiskError, Input, MemoryDisk, Output, Recovered, Replica, ReplicaOptions, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use wire::{LogIndex, Member, ReplicaId, ReplicaMessage};

pub(crate) const ELECTION_TIMEOUT: Duration = Duration::from_millis(200);
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const TICK_MS: u64 = 10;
/// Time for which a stop waits for the replica to leave.
pub(crate) const MAX_LEAVE_MS: u64 = 3 * ELECTION_TIMEOUT.as_millis() as u64;
const LINK_DELAY_MS: u64 = 2;

/// A VM that runs a replica.
pub(crate) struct Server {
    pub(crate) name: String,
    pub(crate) replica: Option<Replica>,
    pub(crate) disk: MemoryDisk,
    /// Whether writes stay unsynced until [`Simulation::sync`].
    pub(crate) holds_syncs: bool,
    pub(crate) frozen: bool,
    /// Clock of the server. It advances at `clock_percent` of simulated time.
    clock: Duration,
    pub(crate) clock_percent: u32,
    /// Messages received while the server was frozen.
    buffered: VecDeque<ReplicaMessage>,
    /// Applied commands by index.
    pub(crate) applied: BTreeMap<LogIndex, String>,
    pub(crate) fault: Option<String>,
    /// Disk that was removed and can be put back.
    pub(crate) removed_disk: MemoryDisk,
}

/// A message in transit.
struct InFlightMessage {
    due: u64,
    from: String,
    to: String,
    message: ReplicaMessage,
}

/// A simulated cluster.
pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) servers: Vec<Server>,
    pub(crate) snapshot_entries: u64,
    /// Servers that bootstrap the cluster, and the number of voters it
    /// maintains.
    pub(crate) initial_voters: Vec<String>,
    pub(crate) target_voters: Option<usize>,
    /// Blocked links, as pairs of sender and receiver.
    pub(crate) blocked_links: BTreeSet<(String, String)>,
    /// Delays of links in ms, by sender and receiver.
    pub(crate) delays: BTreeMap<(String, String), u64>,
    /// Whether every message is delivered twice, the second time later.
    pub(crate) duplicates: bool,
    /// Whether messages that are due at the same time are delivered in reverse
    /// order.
    pub(crate) reorders: bool,
    /// Events since they were last printed, one line each.
    pub(crate) events: Vec<String>,
    in_flight: Vec<InFlightMessage>,
    invariants: Invariants,
    seed: u64,
    next_token: u64,
    proposals: BTreeMap<u64, String>,
    names: BTreeMap<ReplicaId, String>,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: 0,
            servers: Vec::new(),
            snapshot_entries: 1000,
            initial_voters: Vec::new(),
            target_voters: None,
            blocked_links: BTreeSet::new(),
            delays: BTreeMap::new(),
            duplicates: false,
            reorders: false,
            events: Vec::new(),
            in_flight: Vec::new(),
            invariants: Invariants::default(),
            seed,
            next_token: 0,
            proposals: BTreeMap::new(),
            names: BTreeMap::new(),
        }
    }

    /// Starts servers `n1` to `nN` with empty disks, lets the first one create
    /// a cluster and waits until all are voters.
    pub(crate) fn initialise(&mut self, size: usize) {
        let names: Vec<String> = (1..=size).map(|n| format!("n{n}")).collect();
        names.iter().for_each(|name| self.add_server(name));
        names.iter().for_each(|name| self.restart(name));
        self.input("n1", Input::Initialise);
        let deadline = self.now + 20_000;
        while self.voters().len() < size {
            assert!(self.now < deadline, "no cluster of {size} after 20 s");
            self.run(TICK_MS);
        }
        self.run(4 * HEARTBEAT_INTERVAL.as_millis() as u64);
    }

    /// Starts servers `n1` to `nN` with empty disks. The first three bootstrap
    /// a cluster that maintains `voters` voters. Waits until there are as many.
    pub(crate) fn bootstrap(&mut self, size: usize, voters: usize) {
        let names: Vec<String> = (1..=size).map(|n| format!("n{n}")).collect();
        self.initial_voters = names.iter().take(3).cloned().collect();
        self.target_voters = Some(voters);
        names.iter().for_each(|name| self.add_server(name));
        names.iter().for_each(|name| self.restart(name));
        let deadline = self.now + 20_000;
        while self.voters().len() < voters {
            assert!(self.now < deadline, "no cluster of {voters} after 20 s");
            self.run(TICK_MS);
        }
        self.initial_voters.clear();
        self.run(4 * HEARTBEAT_INTERVAL.as_millis() as u64);
    }

    pub(crate) fn add(&mut self, name: &str) {
        self.add_server(name);
        self.restart(name);
    }

    /// Removes a server permanently.
    pub(crate) fn remove(&mut self, name: &str) {
        self.servers.retain(|s| s.name != name);
    }

    fn add_server(&mut self, name: &str) {
        self.servers.push(Server {
            name: name.to_owned(),
            replica: None,
            disk: MemoryDisk::new(),
            holds_syncs: false,
            frozen: false,
            clock: Duration::ZERO,
            clock_percent: 100,
            buffered: VecDeque::new(),
            applied: BTreeMap::new(),
            fault: None,
            removed_disk: MemoryDisk::new(),
        });
    }

    /// Starts a server with the synced data of its disk.
    pub(crate) fn restart(&mut self, name: &str) {
        self.seed += 1;
        let others = self.servers.iter().map(|s| s.name.clone());
        let options = ReplicaOptions {
            address: name.to_owned(),
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            snapshot_entries: self.snapshot_entries,
            rng_seed: self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            configured_replicas: others.filter(|o| o != name).collect(),
            initial_voters: self.initial_voters.clone(),
            target_voters: self.target_voters,
        };
        let server = self.server(name);
        let now = server.clock;
        server.frozen = false;
        server.buffered.clear();
        server.applied.clear();
        server.fault = None;
        let recovered: Recovered = server.disk.recover();
        server.replica = Some(Replica::new(options, recovered, now));
        self.input(name, Input::Tick);
    }

    /// Cuts a server's power: it loses its unsynced data.
    pub(crate) fn crash(&mut self, name: &str) {
        let server = self.server(name);
        server.replica = None;
        server.disk.discard_unsynced();
    }

    /// Cuts a server's power during a write, so that part of its unsynced data is
    /// kept.
    pub(crate) fn crash_mid_write(&mut self, name: &str) {
        let server = self.server(name);
        server.replica = None;
        server.disk.tear_unsynced();
    }

    /// Ends a server's process without a loss of power. What it was writing may be in the
    /// cache of the system.
    pub(crate) fn kill(&mut self, name: &str, has_written: bool) {
        let server = self.server(name);
        server.replica = None;
        server.disk.kill(has_written);
    }

    /// Stops a server as planned: its process ends once the replica has left, or after
    /// [`MAX_LEAVE_MS`]. Returns whether it has left.
    pub(crate) fn stop(&mut self, name: &str) -> bool {
        self.input(name, Input::Leave);
        let deadline = self.now + MAX_LEAVE_MS;
        while !self.has_left(name) && self.now < deadline {
            self.run(1);
        }
        let left = self.has_left(name);
        self.kill(name, false);
        left
    }

    pub(crate) fn has_left(&self, name: &str) -> bool {
        replica_of(&self.servers, name).has_left()
    }

    /// Swaps a server's disk with the one that was removed before, or with an
    /// empty one.
    pub(crate) fn swap_disk(&mut self, name: &str) {
        let server = self.server(name);
        std::mem::swap(&mut server.disk, &mut server.removed_disk);
    }

    /// Resumes a frozen server, which handles all buffered messages before the
    /// next tick.
    pub(crate) fn resume(&mut self, name: &str) {
        let server = self.server(name);
        server.frozen = false;
        let buffered = std::mem::take(&mut server.buffered);
        for message in buffered {
            self.input(name, Input::Message(message));
        }
    }

    pub(crate) fn sync(&mut self, name: &str) {
        if self.server(name).frozen {
            return;
        }
        let done = self.server(name).disk.sync().into_iter();
        self.inputs(name, done.map(Input::DiskDone).collect());
    }

    pub(crate) fn fail_disk(&mut self, name: &str, error: DiskError) {
        self.server(name).disk.fail(error);
    }

    /// Syncs only the oldest pending write.
    pub(crate) fn sync_next(&mut self, name: &str) {
        if self.server(name).frozen {
            return;
        }
        if let Some(done) = self.server(name).disk.sync_next() {
            self.input(name, Input::DiskDone(done));
        }
    }

    /// Blocks the links between a server and all others in both directions.
    pub(crate) fn isolate(&mut self, name: &str) {
        let names: Vec<String> = self.servers.iter().map(|s| s.name.clone()).collect();
        for other in names.into_iter().filter(|o| o != name) {
            self.blocked_links.insert((name.to_owned(), other.clone()));
            self.blocked_links.insert((other, name.to_owned()));
        }
    }

    pub(crate) fn propose(&mut self, name: &str, command: &str) {
        self.next_token += 1;
        let token = self.next_token;
        self.proposals.insert(token, command.to_owned());
        let command = command.to_owned().into_bytes().into();
        self.input(name, Input::Propose { token, command });
    }

    pub(crate) fn read(&mut self, name: &str) {
        self.next_token += 1;
        let token = self.next_token;
        self.invariants.read_started(token);
        self.input(name, Input::Read { token });
    }

    /// Advances the time.
    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            for server in &mut self.servers {
                server.clock += Duration::from_millis(1) * server.clock_percent / 100;
            }
            self.deliver();
            if self.now.is_multiple_of(TICK_MS) {
                for name in self.running() {
                    self.input(&name, Input::Tick);
                }
            }
        }
    }

    /// Returns the names of the voters known to the newest leader.
    pub(crate) fn voters(&self) -> Vec<String> {
        let leader = self.leader_server();
        let voters = leader.map(|r| r.membership().voters).unwrap_or_default();
        voters.into_iter().map(|m| m.address).collect()
    }

    /// Returns the name of the leader with the highest term.
    pub(crate) fn leader(&self) -> Option<String> {
        let replicas = self.servers.iter().filter(|s| !s.frozen);
        replicas
            .filter_map(|s| Some((s.replica.as_ref()?, &s.name)))
            .filter(|(r, _)| r.role() == Role::Leader)
            .max_by_key(|(r, _)| r.term())
            .map(|(_, name)| name.clone())
    }

    /// Returns the name of a member: its server, with an apostrophe for each
    /// disk that the server has lost.
    pub(crate) fn member_name(&self, id: ReplicaId) -> String {
        self.names.get(&id).cloned().unwrap_or_default()
    }

    pub(crate) fn server(&mut self, name: &str) -> &mut Server {
        let server = self.servers.iter_mut().find(|s| s.name == name);
        server.unwrap_or_else(|| panic!("no server {name}"))
    }

    /// Asserts that every server has applied all committed commands.
    pub(crate) fn assert_all_applied(&self) {
        for server in &self.servers {
            assert_eq!(
                &server.applied,
                &self.invariants.committed(),
                "{} has not applied all committed commands at {} ms",
                server.name,
                self.now
            );
        }
    }

    /// Returns the number of acknowledged commands.
    pub(crate) fn acknowledged(&self) -> usize {
        self.invariants.acknowledged()
    }

    /// Returns one line per server.
    pub(crate) fn status(&self) -> String {
        let lines = self.servers.iter().map(|server| match &server.replica {
            Some(replica) => self.replica_status(server, replica),
            None => format!("{}: down\n", server.name),
        });
        lines.collect()
    }

    fn replica_status(&self, server: &Server, replica: &Replica) -> String {
        let membership = replica.membership();
        let names = |members: &[Member]| {
            let names: Vec<String> = members.iter().map(|m| self.member_name(m.id)).collect();
            names.join(" ")
        };
        let commands: Vec<&str> = server.applied.values().map(String::as_str).collect();
        let shown = match commands.len() {
            0..=6 => commands.join(" "),
            n => format!("{} … {} ({n})", commands[0], commands[n - 1]),
        };
        format!(
            "{}: {:?} term={} commit={} voters=[{}] learners=[{}] applied=[{shown}]\n",
            self.member_name(replica.id()),
            replica.role(),
            replica.term(),
            replica.commit_index(),
            names(&membership.voters),
            names(&membership.learners),
        )
    }

    fn leader_server(&self) -> Option<&Replica> {
        let name = self.leader()?;
        let server = self.servers.iter().find(|s| s.name == name)?;
        server.replica.as_ref()
    }

    pub(crate) fn running(&self) -> Vec<String> {
        let running = self.servers.iter().filter(|s| s.replica.is_some());
        running
            .filter(|s| !s.frozen)
            .map(|s| s.name.clone())
            .collect()
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition::<Vec<_>, _>(|f| f.due <= now);
        self.in_flight = later;
        if self.reorders {
            due.reverse();
        }
        for delivery in due {
            self.deliver_message(delivery);
        }
    }

    fn deliver_message(&mut self, delivery: InFlightMessage) {
        if self
            .blocked_links
            .contains(&(delivery.from, delivery.to.clone()))
        {
            return;
        }
        let Some(server) = self.servers.iter_mut().find(|s| s.name == delivery.to) else {
            return;
        };
        if server.frozen {
            server.buffered.push_back(delivery.message);
        } else if server.replica.is_some() {
            self.input(&delivery.to, Input::Message(delivery.message));
        }
    }

    /// Handles an input and everything that immediately follows from its
    /// outputs.
    pub(crate) fn input(&mut self, name: &str, input: Input) {
        self.inputs(name, VecDeque::from([input]));
    }

    fn inputs(&mut self, name: &str, mut inputs: VecDeque<Input>) {
        while let Some(input) = inputs.pop_front() {
            let mut tx = Vec::new();
            let server = self.server(name);
            let now = server.clock;
            let Some(replica) = &mut server.replica else {
                return;
            };
            replica.step(now, input, &mut tx);
            self.invariants
                .check_leader(replica_of(&self.servers, name));
            for output in tx {
                inputs.extend(self.handle_output(name, output));
            }
            self.record_name(name);
        }
    }

    fn record_name(&mut self, name: &str) {
        let Some(replica) = &self.server(name).replica else {
            return;
        };
        let id = replica.id();
        if id != 0 && !self.names.contains_key(&id) {
            let earlier = self.names.values().filter(|n| n.starts_with(name)).count();
            self.names
                .insert(id, format!("{name}{}", "'".repeat(earlier)));
        }
    }

    fn handle_output(&mut self, name: &str, output: Output) -> Vec<Input> {
        match output {
            Output::Send { address, message } => self.send(name, address, message),
            Output::Disk(op) => {
                let server = self.server(name);
                if server.holds_syncs {
                    server.disk.write(op);
                } else {
                    return vec![Input::DiskDone(server.disk.perform(op))];
                }
            }
            Output::Apply {
                index,
                term,
                command,
                token,
            } => {
                let command = String::from_utf8(command.to_vec()).unwrap();
                self.apply(name, index, term, command, token);
            }
            Output::Restore { index, state } => {
                let state = decode_state(&state);
                self.invariants.check_restored(name, index, &state);
                self.server(name).applied = state;
                self.record_event(format!("{name} restored to {index}"));
            }
            Output::TakeSnapshot { index } => {
                let state = encode_state(&self.server(name).applied);
                return vec![Input::SnapshotTaken { index, state }];
            }
            Output::ReadReady { token } => {
                let applied = replica_of(&self.servers, name).applied_index();
                self.invariants.check_read(token, name, applied);
                self.record_event(format!("{name} read ready"));
            }
            Output::Rejected { token, unknown } => {
                let what = self.proposals.get(&token).cloned();
                let what = what.unwrap_or_else(|| "read".to_owned());
                let outcome = if unknown {
                    "outcome unknown"
                } else {
                    "rejected"
                };
                self.record_event(format!("{name} {what} {outcome}"));
            }
            Output::RoleChanged(role) => {
                let term = replica_of(&self.servers, name).term();
                self.record_event(format!("{name} {role:?} in term {term}"));
            }
            Output::Fault(reason) => {
                self.server(name).fault = Some(reason.clone());
                self.record_event(format!("{name} fault: {reason}"));
            }
        }
        Vec::new()
    }

    fn apply(
        &mut self,
        name: &str,
        index: LogIndex,
        term: u64,
        command: String,
        token: Option<u64>,
    ) {
        let server = self.server(name);
        let before = server.applied.keys().next_back().copied().unwrap_or(0);
        server.applied.insert(index, command.clone());
        self.invariants
            .check_applied(name, before, index, term, &command);
        if token.is_some() {
            self.invariants.acknowledge(index);
            self.record_event(format!("{name} {command} committed at {index}"));
        }
    }

    fn send(&mut self, from: &str, to: String, message: ReplicaMessage) {
        self.invariants.check_vote(&message);
        let link = (from.to_owned(), to.clone());
        let delay = self.delays.get(&link).copied().unwrap_or(LINK_DELAY_MS);
        let due = self.now + delay;
        let copies = if self.duplicates {
            vec![due, due + 7]
        } else {
            vec![due]
        };
        for due in copies {
            self.in_flight.push(InFlightMessage {
                due,
                from: from.to_owned(),
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    fn record_event(&mut self, event: String) {
        self.events.push(event);
    }
}

fn replica_of<'a>(servers: &'a [Server], name: &str) -> &'a Replica {
    let server = servers.iter().find(|s| s.name == name).unwrap();
    server.replica.as_ref().unwrap()
}

fn encode_state(applied: &BTreeMap<LogIndex, String>) -> bytes::Bytes {
    let lines: Vec<String> = applied.iter().map(|(i, c)| format!("{i} {c}")).collect();
    lines.join("\n").into_bytes().into()
}

fn decode_state(state: &[u8]) -> BTreeMap<LogIndex, String> {
    let text = String::from_utf8(state.to_vec()).unwrap();
    text.lines()
        .map(|line| {
            let (index, command) = line.split_once(' ').unwrap();
            (index.parse().unwrap(), command.to_owned())
        })
        .collect()
}
