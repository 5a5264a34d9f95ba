//! State of the leader, and the start and end of its leadership.

use super::Replica;
use super::quorum::all_voters;
use super::snapshot::SnapshotTransfer;
use crate::io::Output;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use wire::{LogEntry, LogIndex, Member, Membership, ReplicaId};

/// Replication state of another member.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// Next index to send.
    pub(super) next_index: LogIndex,
    /// Last index that is known to be synced on the peer.
    pub(super) match_index: LogIndex,
    /// Whether only one append at a time is sent, to find where the logs match.
    pub(super) probing: bool,
    /// Last index of each append without a reply.
    pub(super) in_flight: VecDeque<LogIndex>,
    /// Newest heartbeat round that the peer has replied to.
    pub(super) round: u64,
    /// Time at which the newest heartbeat that the peer has replied to was
    /// sent.
    pub(super) last_contact: Duration,
    /// Snapshot that is being sent to the peer.
    pub(super) transfer: Option<SnapshotTransfer>,
}

impl Peer {
    fn new(member: Member, next_index: LogIndex, now: Duration) -> Self {
        Self {
            member,
            next_index,
            match_index: 0,
            probing: true,
            in_flight: VecDeque::new(),
            round: 0,
            last_contact: now,
            transfer: None,
        }
    }
}

/// A read that waits for the confirmation of a heartbeat round.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) token: u64,
    pub(super) round: u64,
}

/// State of the leader in the current term.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<ReplicaId, Peer>,
    /// Index of the first entry of the term.
    pub(super) first_index: LogIndex,
    pub(super) next_heartbeat: Duration,
    /// Index that a learner has to sync to be caught up: the commit index when
    /// the last heartbeat was due, but at least the first entry of the term.
    pub(super) catch_up_index: LogIndex,
    /// Newest heartbeat round. `rounds` records when each recent round was
    /// sent.
    pub(super) round: u64,
    pub(super) rounds: VecDeque<(u64, Duration)>,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) proposals: BTreeMap<LogIndex, u64>,
    pub(super) uncommitted_bytes: usize,
    /// Replicas whose processes are about to stop, and when each last reported it.
    pub(super) departing: BTreeMap<ReplicaId, Duration>,
}

impl Replica {
    pub(super) fn become_leader(&mut self, tx: &mut Vec<Output>) {
        let first_index = self.log.last_index() + 1;
        self.leader_state = Some(LeaderState {
            peers: BTreeMap::new(),
            first_index,
            catch_up_index: first_index,
            next_heartbeat: self.now,
            round: 0,
            rounds: VecDeque::new(),
            reads: VecDeque::new(),
            proposals: BTreeMap::new(),
            uncommitted_bytes: 0,
            departing: BTreeMap::new(),
        });
        self.enter_leader_role(tx);
        self.refresh_peers();
        self.append_as_leader(bytes::Bytes::new(), None, tx);
        self.start_heartbeat_round(tx);
    }

    /// Ends the leadership, if there is one, and rejects pending reads and
    /// proposals. A proposal in the log may still be committed by another
    /// leader.
    pub(super) fn step_down(&mut self, tx: &mut Vec<Output>) {
        let Some(leader_state) = self.leader_state.take() else {
            return;
        };
        let reads = leader_state.reads.into_iter().map(|r| (r.token, false));
        let proposals = leader_state
            .proposals
            .into_values()
            .map(|token| (token, true));
        let rejected = reads.chain(proposals);
        tx.extend(rejected.map(|(token, unknown)| Output::Rejected { token, unknown }));
        self.election.clear_leader();
        self.reset_election_deadline();
    }

    /// Steps down if no majority has replied within an election timeout or the
    /// disk has stalled. Called before every input, so that a leader resumed
    /// after a freeze does not act on outdated messages.
    pub(super) fn check_quorum(&mut self, tx: &mut Vec<Output>) {
        if self.leader_state.is_none() {
            return;
        }
        let earliest = self.now.saturating_sub(self.options.election_timeout);
        let alive = self.contacted_since(earliest);
        if !self.is_quorum(&alive) || self.disk_is_stalled() {
            self.step_down(tx);
            self.refresh_role(tx);
        }
    }

    /// Returns this replica and the peers that have replied to a heartbeat sent
    /// at `earliest` or later.
    pub(super) fn contacted_since(&self, earliest: Duration) -> BTreeSet<ReplicaId> {
        let peers = self.leader_state.iter().flat_map(|l| &l.peers);
        let alive = peers.filter(|(_, p)| p.last_contact >= earliest);
        let ids = alive.map(|(id, _)| *id);
        ids.chain([self.hard_state.id]).collect()
    }

    /// Appends an entry of the current term and replicates it.
    pub(super) fn append_as_leader(
        &mut self,
        command: bytes::Bytes,
        membership: Option<Membership>,
        tx: &mut Vec<Output>,
    ) -> LogIndex {
        let index = self.log.last_index() + 1;
        let entry = LogEntry {
            term: self.hard_state.term,
            index,
            command,
            membership,
        };
        self.append_entries(vec![entry], tx);
        self.replicate(tx);
        index
    }

    /// Adds and removes peers according to the newest membership.
    pub(super) fn refresh_peers(&mut self) {
        let membership = self.log.membership();
        let mut others = all_voters(membership);
        others.extend(membership.learners.iter().cloned());
        others.retain(|m| m.id != self.hard_state.id);
        let next_index = self.log.last_index() + 1;
        let now = self.now;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let ids: BTreeSet<ReplicaId> = others.iter().map(|m| m.id).collect();
        leader_state.peers.retain(|id, _| ids.contains(id));
        for member in others {
            let peer = leader_state.peers.entry(member.id);
            peer.or_insert_with(|| Peer::new(member, next_index, now));
        }
    }
}
