//! Departure of a replica whose process is about to stop.
//!
//! A leader passes its leadership to a voter that has its whole log. A voter asks the leader
//! to let a learner take its place, if there is one. The cluster then tolerates as many losses
//! after the process has ended as before, without having to tell a voter that is gone from
//! one that is silent for a moment.

use super::Replica;
use super::quorum::contains;
use crate::io::{Output, Role};
use rand::Rng;
use std::time::Duration;
use wire::replica_message::Kind;
use wire::{LeaveReply, LeaveRequest, Member, ReplicaId, Term, TimeoutNow};

/// State of the state.
#[derive(Debug)]
pub(super) struct LeaveState {
    /// Number that replies repeat. It tells them from replies to an earlier process.
    nonce: u64,
    next_message: Duration,
    /// Whether the leader has confirmed that nothing is left to pass on.
    confirmed: bool,
}

impl Replica {
    /// Returns whether the process may end without weakening the cluster: the leader has
    /// confirmed the departure, or the replica takes no part in a cluster.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let confirmed = self.leave_state.as_ref().is_some_and(|d| d.confirmed);
        let is_alone = self.other_voters().is_empty();
        confirmed || is_alone || matches!(self.role, Role::Empty | Role::Faulty)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leave_state.is_some()
    }

    /// Begins the departure, which can't be undone.
    pub(super) fn leave(&mut self, tx: &mut Vec<Output>) {
        if self.leave_state.is_some() {
            return;
        }
        self.leave_state = Some(LeaveState {
            nonce: self.rng.random(),
            next_message: self.now,
            confirmed: false,
        });
        self.tick_leave(tx);
    }

    /// Passes leadership on, or repeats the request of a follower. It is repeated until the
    /// process ends, so that the leader does not give a vote to a replica that leaves.
    pub(super) fn tick_leave(&mut self, tx: &mut Vec<Output>) {
        let now = self.now;
        let Some(state) = self.leave_state.as_mut().filter(|d| now >= d.next_message) else {
            return;
        };
        let nonce = state.nonce;
        let message = match self.leader_state {
            Some(_) => self
                .successor()
                .map(|m| (m, Kind::TimeoutNow(TimeoutNow {}))),
            None => {
                let leader = self.election.leader().cloned();
                leader.map(|m| (m, Kind::LeaveRequest(LeaveRequest { nonce })))
            }
        };
        if let Some((to, kind)) = message {
            self.send(&to, kind, tx);
            let next = now + self.options.heartbeat_interval;
            if let Some(state) = &mut self.leave_state {
                state.next_message = next;
            }
        }
    }

    /// Returns whether this leader is about to pass its leadership on. It then accepts no
    /// proposals and changes no membership, so that a successor can have its whole log.
    pub(super) fn is_transferring_leadership(&self) -> bool {
        let is_leader = self.leader_state.is_some();
        is_leader && self.is_leaving() && !self.possible_successors().is_empty()
    }

    fn possible_successors(&self) -> Vec<Member> {
        let mut voters = self.log.membership().voters.clone();
        voters.retain(|v| v.id != self.hard_state.id);
        voters.retain(|v| self.is_responsive(v.id) && !self.is_departing(v.id));
        voters
    }

    /// Returns a voter that has the whole log, all of which is committed.
    fn successor(&self) -> Option<Member> {
        let leader_state = self.leader_state.as_ref()?;
        let last = self.log.last_index();
        if self.commit_index < last {
            return None;
        }
        let has_log = |id: ReplicaId| {
            let peer = leader_state.peers.get(&id);
            peer.is_some_and(|p| p.match_index == last)
        };
        let mut successors = self.possible_successors().into_iter();
        successors.find(|v| has_log(v.id))
    }

    /// Campaigns at once on behalf of a leader that leaves.
    pub(super) fn handle_timeout_now(&mut self, term: Term, from: ReplicaId, tx: &mut Vec<Output>) {
        let from_leader = self.election.leader().is_some_and(|l| l.id == from);
        let may_campaign = self.is_voter(self.hard_state.id) && !self.is_leaving();
        if term == self.hard_state.term && from_leader && may_campaign && !self.disk_is_stalled() {
            self.start_election(true, tx);
        }
    }

    /// Records that a member leaves, and replies whether its process may end.
    pub(super) fn handle_leave_request(
        &mut self,
        sender: &Member,
        req: &LeaveRequest,
        tx: &mut Vec<Output>,
    ) {
        let now = self.now;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let timeout = self.options.election_timeout;
        leader_state.departing.retain(|_, at| now <= *at + timeout);
        leader_state.departing.insert(sender.id, now);
        self.tick_membership(tx);
        let reply = LeaveReply {
            nonce: req.nonce,
            confirmed: !self.may_relieve(sender.id),
        };
        self.send(sender, Kind::LeaveReply(reply), tx);
    }

    pub(super) fn handle_leave_reply(&mut self, reply: &LeaveReply) {
        if let Some(state) = &mut self.leave_state {
            state.confirmed |= reply.confirmed && reply.nonce == state.nonce;
        }
    }

    /// Returns whether a replica has asked within an election timeout to leave.
    pub(super) fn is_departing(&self, id: ReplicaId) -> bool {
        let asked = self
            .leader_state
            .as_ref()
            .and_then(|l| l.departing.get(&id));
        asked.is_some_and(|at| self.now <= *at + self.options.election_timeout)
    }

    /// Returns whether a replica is a voter whose place another one may take, or whether
    /// its removal is not committed yet.
    fn may_relieve(&self, id: ReplicaId) -> bool {
        let membership = self.log.membership();
        if !contains(&membership.voters, id) {
            return !self.membership_is_complete();
        }
        let Some(target) = self.options.target_voters else {
            return false;
        };
        let mut learners = membership.learners.iter();
        membership.voters.len() > target
            || learners.any(|l| self.is_responsive(l.id) && !self.is_departing(l.id))
    }
}
