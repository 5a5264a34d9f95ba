//! The replica's state and the step that every input takes.

mod append;
mod commit;
mod election;
mod follow;
mod found;
mod join;
mod leading;
mod membership;
mod read;
mod snapshot;
mod storage;

use crate::io::{Input, Output, Role};
use crate::log::Log;
use crate::options::ReplicaOptions;
use crate::stored::{HardState, Recovered};
use election::Election;
use follow::Following;
use join::Joining;
use leading::Leading;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use storage::Storage;
use wire::replica_message::Kind;
use wire::{LogIndex, Member, Membership, ReplicaId, ReplicaMessage, Term};

/// A control replica.
#[derive(Debug)]
pub struct Replica {
    options: ReplicaOptions,
    rng: SmallRng,
    now: Duration,
    role: Role,
    hard_state: HardState,
    log: Log,
    commit: LogIndex,
    applied: LogIndex,
    election: Election,
    following: Following,
    leading: Option<Leading>,
    joining: Joining,
    storage: Storage,
    snapshot_asked: bool,
    /// Bytes applied since a snapshot was last asked for.
    unsnapshotted_bytes: usize,
    started: bool,
}

impl Replica {
    /// Creates a replica out of what its disk gave at start. What follows from
    /// that is put out by the first step: the snapshot to restore, the role,
    /// a fault.
    #[must_use]
    pub fn new(options: ReplicaOptions, recovered: Recovered, now: Duration) -> Self {
        let hard_state = recovered.hard_state.unwrap_or_default();
        let log = if hard_state.cluster == 0 {
            Log::default()
        } else {
            Log::recovered(recovered.snapshot, recovered.entries)
        };
        let snapshot_index = log.snapshot_index();
        let mut rng = SmallRng::seed_from_u64(options.rng_seed);
        let election = Election::new(&options, now, &mut rng);
        Self {
            options,
            rng,
            now,
            role: Role::Empty,
            hard_state,
            log,
            commit: snapshot_index,
            applied: snapshot_index,
            election,
            following: Following::default(),
            leading: None,
            joining: Joining::new(now),
            storage: Storage::new(recovered.fault),
            snapshot_asked: false,
            unsnapshotted_bytes: 0,
            started: false,
        }
    }

    /// Takes an input in and appends what is to be done to `tx`.
    pub fn step(&mut self, now: Duration, input: Input, tx: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.start(tx);
        if self.role == Role::Faulty {
            reject_input(&input, tx);
            return;
        }
        self.check_quorum(tx);
        match input {
            Input::Tick => self.tick(tx),
            Input::Message(message) => self.receive(message, tx),
            Input::Propose { token, command } => self.propose(token, command, tx),
            Input::Read { token } => self.read(token, tx),
            Input::DiskDone(done) => self.disk_done(done, tx),
            Input::SnapshotTaken { index, state } => self.snapshot_taken(index, state, tx),
            Input::Initialise => self.initialise(tx),
        }
    }

    /// Takes in which other replicas are configured.
    pub fn set_configured_replicas(&mut self, mut addresses: Vec<String>) {
        addresses.retain(|address| *address != self.options.address);
        self.options.configured_replicas = addresses;
    }

    /// Returns what the replica is now.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader's address, if one is known.
    #[must_use]
    pub fn leader(&self) -> Option<&str> {
        self.election.leader().map(|m| m.address.as_str())
    }

    /// Returns the number of this replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.hard_state.id
    }

    /// Returns the number of the cluster, or 0.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.hard_state.cluster
    }

    /// Returns the last index known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the last index whose command was handed out for applying.
    #[must_use]
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// Returns who votes and who learns.
    #[must_use]
    pub fn membership(&self) -> Membership {
        self.log.membership().clone()
    }

    /// Returns whether the newest membership is known to be committed. A lost
    /// disk is made good only then.
    #[must_use]
    pub fn membership_is_committed(&self) -> bool {
        self.log.membership_index() <= self.commit
    }

    /// Puts out what follows from the disk, once.
    fn start(&mut self, tx: &mut Vec<Output>) {
        if self.started {
            return;
        }
        self.started = true;
        if let Some(error) = self.storage.take_fault() {
            self.fail(&error.to_string(), tx);
            return;
        }
        if let Some(snapshot) = self.log.snapshot() {
            tx.push(Output::Restore {
                index: snapshot.index,
                state: snapshot.state.clone(),
            });
        }
        self.found_together(tx);
        self.ensure_identity(tx);
        self.refresh_role(tx);
    }

    fn tick(&mut self, tx: &mut Vec<Output>) {
        self.tick_election(tx);
        self.tick_leading(tx);
        self.tick_membership(tx);
        self.tick_joining(tx);
    }

    fn receive(&mut self, message: ReplicaMessage, tx: &mut Vec<Output>) {
        let Some(kind) = message.kind else {
            return;
        };
        self.joining.note_cluster(message.cluster);
        let sender = Member {
            id: message.from,
            address: message.address,
        };
        if let Kind::JoinRequest(req) = kind {
            self.join_requested(message.cluster, sender, &req, tx);
            return;
        }
        if message.to != self.hard_state.id {
            return;
        }
        if let Kind::JoinReply(reply) = kind {
            self.join_answered(reply);
            return;
        }
        if !self.accept_cluster(message.cluster, &kind) {
            return;
        }
        self.dispatch(message.term, sender, kind, tx);
    }

    fn dispatch(&mut self, term: Term, sender: Member, kind: Kind, tx: &mut Vec<Output>) {
        match kind {
            Kind::VoteRequest(req) => self.vote_requested(term, &sender, &req, tx),
            Kind::VoteReply(reply) => self.vote_answered(term, sender.id, &reply, tx),
            Kind::AppendRequest(req) => self.append_requested(term, sender, req, tx),
            Kind::AppendReply(reply) => self.append_answered(term, sender.id, &reply, tx),
            Kind::SnapshotChunk(chunk) => self.chunk_received(term, sender, chunk, tx),
            Kind::SnapshotReply(reply) => self.chunk_answered(term, sender.id, &reply, tx),
            Kind::JoinRequest(_) | Kind::JoinReply(_) => {}
        }
    }

    /// Returns whether a message of a cluster concerns this replica. A replica
    /// without a cluster takes on that of the leader that appends to it: the
    /// leader knows this replica's number only from its request to join.
    fn accept_cluster(&mut self, cluster: u64, kind: &Kind) -> bool {
        let from_leader = matches!(kind, Kind::AppendRequest(_) | Kind::SnapshotChunk(_));
        if self.hard_state.cluster == 0 && cluster != 0 && from_leader {
            self.hard_state.cluster = cluster;
        }
        self.hard_state.cluster != 0 && self.hard_state.cluster == cluster
    }

    fn me(&self) -> Member {
        Member {
            id: self.hard_state.id,
            address: self.options.address.clone(),
        }
    }

    fn send(&mut self, to: &Member, kind: Kind, tx: &mut Vec<Output>) {
        self.send_in_term(self.hard_state.term, to, kind, tx);
    }

    fn send_in_term(&mut self, term: Term, to: &Member, kind: Kind, tx: &mut Vec<Output>) {
        let message = ReplicaMessage {
            cluster: self.hard_state.cluster,
            from: self.hard_state.id,
            to: to.id,
            term,
            kind: Some(kind),
            address: self.options.address.clone(),
        };
        let output = Output::Send {
            address: to.address.clone(),
            message,
        };
        self.storage.release_or_hold(output, tx);
    }

    fn set_role(&mut self, role: Role, tx: &mut Vec<Output>) {
        if self.role != role {
            self.role = role;
            tx.push(Output::RoleChanged(role));
        }
    }

    /// Sets the role of a replica that neither leads nor stands for election.
    fn refresh_role(&mut self, tx: &mut Vec<Output>) {
        let role = if self.hard_state.cluster == 0 {
            Role::Empty
        } else if self.is_voter(self.hard_state.id) {
            Role::Follower
        } else {
            Role::Learner
        };
        self.set_role(role, tx);
    }
}

fn reject_input(input: &Input, tx: &mut Vec<Output>) {
    if let Input::Propose { token, .. } | Input::Read { token } = input {
        tx.push(Output::Rejected {
            token: *token,
            unknown: false,
        });
    }
}
