//! State of the replica and the handling of its inputs.

mod append;
mod bootstrap;
mod commit;
mod election;
mod follower;
mod join;
mod leader;
mod leave;
mod membership;
mod quorum;
mod read;
mod snapshot;
mod storage;

use crate::io::{Input, Output, Role};
use crate::log::Log;
use crate::options::ReplicaOptions;
use crate::stored::{HardState, Recovered};
use election::Election;
use follower::FollowerState;
use join::JoinState;
use leader::LeaderState;
use leave::LeaveState;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use storage::Storage;
use wire::replica_message::Kind;
use wire::{LogIndex, Member, Membership, ReplicaId, ReplicaMessage, Term};

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    options: ReplicaOptions,
    rng: SmallRng,
    now: Duration,
    role: Role,
    hard_state: HardState,
    log: Log,
    commit_index: LogIndex,
    applied_index: LogIndex,
    election: Election,
    follower_state: FollowerState,
    leader_state: Option<LeaderState>,
    join_state: JoinState,
    /// Present once the process is about to stop.
    leave_state: Option<LeaveState>,
    /// Names of the files of a former replica that were set aside.
    set_aside: Vec<String>,
    storage: Storage,
    snapshot_requested: bool,
    /// Bytes of entries applied since a snapshot was last requested.
    bytes_since_snapshot: usize,
    started: bool,
}

impl Replica {
    /// Creates a replica from the state recovered from its disk. The first step
    /// emits the resulting outputs: the snapshot to restore, the role or a
    /// fault.
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
            commit_index: snapshot_index,
            applied_index: snapshot_index,
            election,
            follower_state: FollowerState::default(),
            leader_state: None,
            join_state: JoinState::new(now, !recovered.set_aside.is_empty()),
            leave_state: None,
            set_aside: recovered.set_aside,
            storage: Storage::new(recovered.fault),
            snapshot_requested: false,
            bytes_since_snapshot: 0,
            started: false,
        }
    }

    /// Handles an input and appends the resulting outputs to `tx`.
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
            Input::Message(message) => self.handle_message(message, tx),
            Input::Propose { token, command } => self.propose(token, command, tx),
            Input::Read { token } => self.read(token, tx),
            Input::DiskDone(done) => self.handle_disk_done(done, tx),
            Input::SnapshotTaken { index, state } => self.handle_snapshot_taken(index, state, tx),
            Input::Initialise => self.initialise(tx),
            Input::Leave => self.leave(tx),
        }
    }

    /// Updates the addresses of the configured replicas; this replica's own
    /// address is ignored.
    pub fn set_configured_replicas(&mut self, mut addresses: Vec<String>) {
        addresses.retain(|address| *address != self.options.address);
        self.options.configured_replicas = addresses;
    }

    /// Returns the addresses of the other configured replicas.
    #[must_use]
    pub fn configured_replicas(&self) -> &[String] {
        &self.options.configured_replicas
    }

    /// Returns the replica's role.
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

    /// Returns the names of the files in the data folder that were set aside, because
    /// an earlier replica's files were corrupt.
    #[must_use]
    pub fn set_aside(&self) -> &[String] {
        &self.set_aside
    }

    /// Returns the replica's id.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.hard_state.id
    }

    /// Returns the cluster's id, or 0 if the replica belongs to none.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.hard_state.cluster
    }

    /// Returns the last index that is known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the last index that was passed on to be applied.
    #[must_use]
    pub fn applied_index(&self) -> LogIndex {
        self.applied_index
    }

    /// Returns the newest membership, whether it is committed or not.
    #[must_use]
    pub fn membership(&self) -> Membership {
        self.log.membership().clone()
    }

    /// Returns whether the newest membership is known to be committed, and no voters of an
    /// earlier one count. The replacement of a lost disk is complete only then.
    #[must_use]
    pub fn membership_is_complete(&self) -> bool {
        let is_committed = self.log.membership_index() <= self.commit_index;
        is_committed && self.log.membership().outgoing.is_empty()
    }

    /// Emits the outputs that follow from the recovered state, once.
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
        self.sync_recovered(tx);
        self.bootstrap(tx);
        self.ensure_id(tx);
        self.refresh_role(tx);
    }

    fn tick(&mut self, tx: &mut Vec<Output>) {
        self.tick_election(tx);
        self.tick_leader(tx);
        self.tick_membership(tx);
        self.tick_join(tx);
        self.tick_leave(tx);
    }

    fn handle_message(&mut self, message: ReplicaMessage, tx: &mut Vec<Output>) {
        let Some(kind) = message.kind else {
            return;
        };
        self.join_state.record_cluster(message.cluster);
        let sender = Member {
            id: message.from,
            address: message.address,
        };
        if let Kind::JoinRequest(req) = kind {
            self.handle_join_request(message.cluster, sender, &req, tx);
            return;
        }
        if message.to != self.hard_state.id {
            return;
        }
        if let Kind::JoinReply(reply) = kind {
            self.handle_join_reply(reply);
            return;
        }
        if !self.accept_cluster(message.cluster, &kind) {
            return;
        }
        self.dispatch(message.term, sender, kind, tx);
    }

    fn dispatch(&mut self, term: Term, sender: Member, kind: Kind, tx: &mut Vec<Output>) {
        match kind {
            Kind::VoteRequest(req) => self.handle_vote_request(term, &sender, &req, tx),
            Kind::VoteReply(reply) => self.handle_vote_reply(term, sender.id, &reply, tx),
            Kind::AppendRequest(req) => self.handle_append_request(term, sender, req, tx),
            Kind::AppendReply(reply) => self.handle_append_reply(term, sender.id, &reply, tx),
            Kind::SnapshotChunk(chunk) => self.handle_snapshot_chunk(term, sender, chunk, tx),
            Kind::SnapshotReply(reply) => self.handle_snapshot_reply(term, sender.id, &reply, tx),
            Kind::LeaveRequest(req) => self.handle_leave_request(&sender, &req, tx),
            Kind::LeaveReply(reply) => self.handle_leave_reply(&reply),
            Kind::TimeoutNow(_) => self.handle_timeout_now(term, sender.id, tx),
            Kind::JoinRequest(_) | Kind::JoinReply(_) => {}
        }
    }

    /// Returns whether a message of a cluster is meant for this replica. A
    /// replica without a cluster adopts that of the leader that sends it the
    /// log: the leader can only know this replica's id from its join request.
    fn accept_cluster(&mut self, cluster: u64, kind: &Kind) -> bool {
        let from_leader = matches!(kind, Kind::AppendRequest(_) | Kind::SnapshotChunk(_));
        if self.hard_state.cluster == 0 && cluster != 0 && from_leader {
            self.hard_state.cluster = cluster;
        }
        self.hard_state.cluster != 0 && self.hard_state.cluster == cluster
    }

    fn own_member(&self) -> Member {
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
        self.storage.send_or_defer(output, tx);
    }

    fn set_role(&mut self, role: Role, tx: &mut Vec<Output>) {
        if self.role != role {
            self.role = role;
            tx.push(Output::RoleChanged(role));
        }
    }

    /// Updates the role of a replica that is neither leader nor candidate.
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
