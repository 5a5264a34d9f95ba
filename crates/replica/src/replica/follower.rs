//! Replication on followers and learners.

use super::Replica;
use super::snapshot::IncomingSnapshot;
use crate::io::Output;
use std::cmp::Ordering;
use wire::replica_message::Kind;
use wire::{AppendReply, AppendRequest, LogEntry, LogIndex, Member, Term};

/// State of replication from the leader of the current term.
#[derive(Debug, Default)]
pub(super) struct FollowerState {
    /// Last index that is known to match the leader's log.
    match_index: LogIndex,
    /// Newest heartbeat round received.
    round: u64,
    /// Snapshot that is being received.
    pub(super) incoming: Option<IncomingSnapshot>,
}

impl FollowerState {
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    pub(super) fn advance_match_index(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
    }
}

impl Replica {
    pub(super) fn handle_append_request(
        &mut self,
        term: Term,
        leader: Member,
        req: AppendRequest,
        tx: &mut Vec<Output>,
    ) {
        if !self.accept_leader(term, &leader, tx) {
            return;
        }
        self.follower_state.round = self.follower_state.round.max(req.round);
        if !self.matches_at(req.prev_index, req.prev_term) {
            self.reject_append(&leader, req.prev_index, tx);
            return;
        }
        let last = req.prev_index + req.entries.len() as u64;
        self.append_missing_entries(req.entries, tx);
        self.follower_state.advance_match_index(last);
        self.commit_up_to(req.commit.min(self.follower_state.match_index), tx);
        self.report_progress(tx);
    }

    /// Handles the term of a leader's message and returns whether the sender is
    /// the current leader. A leader of an earlier term is sent a rejection with
    /// the current term.
    pub(super) fn accept_leader(
        &mut self,
        term: Term,
        leader: &Member,
        tx: &mut Vec<Output>,
    ) -> bool {
        match term.cmp(&self.hard_state.term) {
            Ordering::Less => {
                self.reject_append(leader, 0, tx);
                return false;
            }
            Ordering::Equal => {}
            Ordering::Greater => self.adopt_term(term, tx),
        }
        if self.leader_state.is_some() {
            return false;
        }
        self.follow_leader(leader.clone(), tx);
        true
    }

    /// Reports to the leader up to which index its log is synced on this
    /// replica.
    pub(super) fn report_progress(&mut self, tx: &mut Vec<Output>) {
        let Some(leader) = self.election.leader().cloned() else {
            return;
        };
        let reply = AppendReply {
            success: true,
            index: self.follower_state.match_index.min(self.log.synced()),
            round: self.follower_state.round,
        };
        self.send(&leader, Kind::AppendReply(reply), tx);
    }

    fn reject_append(&mut self, leader: &Member, prev_index: LogIndex, tx: &mut Vec<Output>) {
        let reply = AppendReply {
            success: false,
            index: self.retry_index(prev_index),
            round: self.follower_state.round,
        };
        self.send(leader, Kind::AppendReply(reply), tx);
    }

    /// Returns an index before the rejected `prev` that may match the leader's
    /// log.
    fn retry_index(&self, prev: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if prev > last {
            return last;
        }
        let before_term = self.log.first_index_of_term(prev).saturating_sub(1);
        before_term.max(self.commit_index)
    }

    fn matches_at(&self, index: LogIndex, term: Term) -> bool {
        index <= self.commit_index || self.log.term_at(index) == Some(term)
    }

    /// Appends the entries that are missing, replacing conflicting ones.
    fn append_missing_entries(&mut self, entries: Vec<LogEntry>, tx: &mut Vec<Output>) {
        let new: Vec<LogEntry> = entries
            .into_iter()
            .skip_while(|e| self.matches_at(e.index, e.term))
            .collect();
        let Some(first) = new.first().map(|e| e.index) else {
            return;
        };
        if first <= self.log.last_index() {
            self.truncate_from(first);
        }
        self.append_entries(new, tx);
        self.refresh_role(tx);
    }
}
