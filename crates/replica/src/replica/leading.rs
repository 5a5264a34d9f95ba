//! What a leader keeps, and how a lead begins and ends.

use super::Replica;
use super::snapshot::Transfer;
use crate::io::Output;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use wire::{LogEntry, LogIndex, Member, Membership, ReplicaId};

/// A replica as its leader sees it.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// Next index to send.
    pub(super) next: LogIndex,
    /// Last index known to be synced there.
    pub(super) matched: LogIndex,
    /// Whether one append at a time is sent, to find where the logs match.
    pub(super) probing: bool,
    /// Last index of each append that was not answered yet.
    pub(super) in_flight: VecDeque<LogIndex>,
    /// Newest confirmation round that it answered.
    pub(super) round: u64,
    /// When the newest message that it answered was sent.
    pub(super) contact: Duration,
    /// Snapshot on its way there.
    pub(super) transfer: Option<Transfer>,
}

impl Peer {
    fn new(member: Member, next: LogIndex, now: Duration) -> Self {
        Self {
            member,
            next,
            matched: 0,
            probing: true,
            in_flight: VecDeque::new(),
            round: 0,
            contact: now,
            transfer: None,
        }
    }
}

/// A read that waits for a confirmation round.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) token: u64,
    pub(super) round: u64,
}

/// What a leader keeps during its term.
#[derive(Debug)]
pub(super) struct Leading {
    pub(super) peers: BTreeMap<ReplicaId, Peer>,
    /// Index of the entry that opened the term.
    pub(super) first_index: LogIndex,
    pub(super) next_heartbeat: Duration,
    /// Index that a learner must have synced to be level: what was committed
    /// when the last heartbeat was due, and an entry of the own term.
    pub(super) level_index: LogIndex,
    /// Newest confirmation round, and when each recent one was sent.
    pub(super) round: u64,
    pub(super) rounds: VecDeque<(u64, Duration)>,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) proposals: BTreeMap<LogIndex, u64>,
    pub(super) uncommitted_bytes: usize,
}

impl Replica {
    pub(super) fn start_leading(&mut self, tx: &mut Vec<Output>) {
        let first_index = self.log.last_index() + 1;
        self.leading = Some(Leading {
            peers: BTreeMap::new(),
            first_index,
            level_index: first_index,
            next_heartbeat: self.now,
            round: 0,
            rounds: VecDeque::new(),
            reads: VecDeque::new(),
            proposals: BTreeMap::new(),
            uncommitted_bytes: 0,
        });
        self.lead(tx);
        self.refresh_peers();
        self.append_own(bytes::Bytes::new(), None, tx);
        self.start_round(tx);
    }

    /// Ends the lead, if there is one. What was asked for is rejected; a
    /// proposal in the log may still be committed by another leader.
    pub(super) fn stop_leading(&mut self, tx: &mut Vec<Output>) {
        let Some(leading) = self.leading.take() else {
            return;
        };
        let reads = leading.reads.into_iter().map(|r| (r.token, false));
        let proposals = leading.proposals.into_values().map(|token| (token, true));
        let rejected = reads.chain(proposals);
        tx.extend(rejected.map(|(token, unknown)| Output::Rejected { token, unknown }));
        self.election.forget_leader();
        self.reset_election_deadline();
    }

    /// Ends a lead that no majority has confirmed for an election timeout, or
    /// whose own disk has stalled.
    /// This comes before any input is looked at, so that a leader that was
    /// frozen can't act on what it finds on waking.
    pub(super) fn check_quorum(&mut self, tx: &mut Vec<Output>) {
        if self.leading.is_none() {
            return;
        }
        let earliest = self.now.saturating_sub(self.options.election_timeout);
        let alive = self.contacted_since(earliest);
        if !self.is_majority(&alive) || self.disk_is_stalled() {
            self.stop_leading(tx);
            self.refresh_role(tx);
        }
    }

    /// Returns this replica and those that answered something that was sent at
    /// a time or later.
    pub(super) fn contacted_since(&self, earliest: Duration) -> BTreeSet<ReplicaId> {
        let peers = self.leading.iter().flat_map(|l| &l.peers);
        let alive = peers.filter(|(_, p)| p.contact >= earliest);
        let ids = alive.map(|(id, _)| *id);
        ids.chain([self.hard_state.id]).collect()
    }

    /// Appends an entry of the own term and sends it on its way.
    pub(super) fn append_own(
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

    /// Brings the leader's peers in line with the newest membership.
    pub(super) fn refresh_peers(&mut self) {
        let membership = self.log.membership();
        let members = membership.voters.iter().chain(&membership.learners);
        let others: Vec<Member> = members
            .filter(|m| m.id != self.hard_state.id)
            .cloned()
            .collect();
        let next = self.log.last_index() + 1;
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let ids: BTreeSet<ReplicaId> = others.iter().map(|m| m.id).collect();
        leading.peers.retain(|id, _| ids.contains(id));
        for member in others {
            let peer = leading.peers.entry(member.id);
            peer.or_insert_with(|| Peer::new(member, next, now));
        }
    }
}
