//! Elections: timeouts, pre-votes and votes.

use super::Replica;
use crate::io::{Output, Role};
use crate::options::ReplicaOptions;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::replica_message::Kind;
use wire::{Member, ReplicaId, Term, VoteReply, VoteRequest};

/// Known leader, election timeout and candidacy of a replica.
#[derive(Debug)]
pub(super) struct Election {
    leader: Option<Member>,
    last_leader_contact: Option<Duration>,
    deadline: Duration,
    /// Whether the candidacy is a pre-vote.
    pre_vote: bool,
    votes: BTreeSet<ReplicaId>,
}

/// Divisor of the first election timeout after a start. Campaigning early is
/// safe, because replicas in contact with a leader reject the pre-vote. After a
/// power cut, the replica whose start completes a majority soon finds a leader
/// or becomes it.
const STARTUP_TIMEOUT_DIVISOR: u32 = 8;

impl Election {
    pub(super) fn new(options: &ReplicaOptions, now: Duration, rng: &mut SmallRng) -> Self {
        Self {
            leader: None,
            last_leader_contact: None,
            deadline: now + random_timeout(options.election_timeout, rng) / STARTUP_TIMEOUT_DIVISOR,
            pre_vote: false,
            votes: BTreeSet::new(),
        }
    }

    pub(super) fn leader(&self) -> Option<&Member> {
        self.leader.as_ref()
    }

    pub(super) fn clear_leader(&mut self) {
        self.leader = None;
    }

    /// Returns when the last message of a leader was received.
    pub(super) fn last_leader_contact(&self) -> Option<Duration> {
        self.last_leader_contact
    }
}

impl Replica {
    pub(super) fn tick_election(&mut self, tx: &mut Vec<Output>) {
        let is_voter = self.is_voter(self.hard_state.id) && !self.is_leaving();
        let may_campaign = self.leader_state.is_none() && is_voter;
        if may_campaign && self.now >= self.election.deadline && !self.disk_is_stalled() {
            self.start_pre_vote(tx);
        }
    }

    /// Follows a leader of the current term.
    pub(super) fn follow_leader(&mut self, leader: Member, tx: &mut Vec<Output>) {
        self.election.leader = Some(leader);
        self.election.last_leader_contact = Some(self.now);
        self.join_state.forget_reported_leader();
        self.reset_election_deadline();
        self.refresh_role(tx);
    }

    /// Adopts a higher term. Messages are deferred until it is synced.
    pub(super) fn adopt_term(&mut self, term: Term, tx: &mut Vec<Output>) {
        self.step_down(tx);
        self.hard_state.term = term;
        self.hard_state.vote = 0;
        self.election.leader = None;
        self.follower_state.reset();
        self.save_state(tx);
        self.refresh_role(tx);
    }

    pub(super) fn handle_vote_request(
        &mut self,
        term: Term,
        candidate: &Member,
        req: &VoteRequest,
        tx: &mut Vec<Output>,
    ) {
        let granted = if req.pre {
            self.would_grant_vote(term, req)
        } else {
            self.try_grant_vote(term, candidate.id, req, tx)
        };
        let leader = self.active_leader().filter(|_| !granted);
        let reply = VoteReply {
            pre: req.pre,
            granted,
            leader: leader.map(|m| m.address.clone()).unwrap_or_default(),
        };
        let reply_term = if req.pre && granted {
            term
        } else {
            self.hard_state.term
        };
        self.send_in_term(reply_term, candidate, Kind::VoteReply(reply), tx);
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        term: Term,
        from: ReplicaId,
        reply: &VoteReply,
        tx: &mut Vec<Output>,
    ) {
        if self.role == Role::Candidate && !reply.leader.is_empty() {
            self.join_state.record_leader(&reply.leader);
        }
        let pre_vote_granted = reply.pre && reply.granted;
        if term > self.hard_state.term && !pre_vote_granted {
            self.adopt_term(term, tx);
            return;
        }
        let requested_term = self.hard_state.term + u64::from(self.election.pre_vote);
        let counts = self.role == Role::Candidate
            && reply.granted
            && reply.pre == self.election.pre_vote
            && term == requested_term;
        if counts && self.is_voter(from) {
            self.election.votes.insert(from);
            self.count_votes(tx);
        }
    }

    /// Counts the replica's own vote once it is synced.
    pub(super) fn handle_state_synced(&mut self, tx: &mut Vec<Output>) {
        let is_candidate = self.role == Role::Candidate && !self.election.pre_vote;
        if is_candidate && self.storage.state_is_synced() {
            self.election.votes.insert(self.hard_state.id);
            self.count_votes(tx);
        }
    }

    pub(super) fn reset_election_deadline(&mut self) {
        let timeout = random_timeout(self.options.election_timeout, &mut self.rng);
        self.election.deadline = self.now + timeout;
    }

    /// Makes the replica campaign at the next tick.
    pub(super) fn expire_election_deadline(&mut self) {
        self.election.deadline = self.now;
    }

    /// Records this replica as the leader and sets its role.
    pub(super) fn enter_leader_role(&mut self, tx: &mut Vec<Output>) {
        self.election.leader = Some(self.own_member());
        self.join_state.forget_reported_leader();
        self.election.votes.clear();
        self.set_role(Role::Leader, tx);
    }

    /// Asks the voters whether they would grant a vote. The term is not
    /// incremented, so that a replica returning from a partition does not
    /// disrupt the others.
    fn start_pre_vote(&mut self, tx: &mut Vec<Output>) {
        self.become_candidate(true, tx);
        self.election.votes.insert(self.hard_state.id);
        self.request_votes(self.hard_state.term + 1, false, tx);
        self.count_votes(tx);
    }

    /// Campaigns in the next term. `is_transfer` states whether the leader has passed its
    /// leadership to this replica.
    pub(super) fn start_election(&mut self, is_transfer: bool, tx: &mut Vec<Output>) {
        self.become_candidate(false, tx);
        self.hard_state.term += 1;
        self.hard_state.vote = self.hard_state.id;
        self.follower_state.reset();
        self.save_state(tx);
        self.request_votes(self.hard_state.term, is_transfer, tx);
    }

    fn become_candidate(&mut self, pre_vote: bool, tx: &mut Vec<Output>) {
        self.election.pre_vote = pre_vote;
        self.election.leader = None;
        self.election.votes.clear();
        self.reset_election_deadline();
        self.set_role(Role::Candidate, tx);
    }

    fn request_votes(&mut self, term: Term, is_transfer: bool, tx: &mut Vec<Output>) {
        let req = VoteRequest {
            leadership_transfer: is_transfer,
            pre: self.election.pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.other_voters() {
            self.send_in_term(term, &voter, Kind::VoteRequest(req.clone()), tx);
        }
    }

    fn count_votes(&mut self, tx: &mut Vec<Output>) {
        if !self.is_quorum(&self.election.votes) {
            return;
        }
        if self.election.pre_vote {
            self.start_election(false, tx);
        } else {
            self.become_leader(tx);
        }
    }

    fn would_grant_vote(&self, term: Term, req: &VoteRequest) -> bool {
        term > self.hard_state.term && !self.has_active_leader() && self.is_up_to_date(req)
    }

    fn try_grant_vote(
        &mut self,
        term: Term,
        candidate: ReplicaId,
        req: &VoteRequest,
        tx: &mut Vec<Output>,
    ) -> bool {
        let is_held_by_leader = self.has_active_leader() && !req.leadership_transfer;
        if term < self.hard_state.term || is_held_by_leader {
            return false;
        }
        if term > self.hard_state.term {
            self.adopt_term(term, tx);
        }
        let may_vote = self.hard_state.vote == 0 || self.hard_state.vote == candidate;
        if !may_vote || !self.is_up_to_date(req) {
            return false;
        }
        if self.hard_state.vote != candidate {
            self.hard_state.vote = candidate;
            self.save_state(tx);
        }
        self.reset_election_deadline();
        true
    }

    /// Returns this replica if it leads, or the leader from which it has received a message
    /// within the minimum election timeout. It then votes for no other candidate.
    fn active_leader(&self) -> Option<&Member> {
        let last_contact = self.election.last_leader_contact;
        let recent = last_contact.is_some_and(|at| self.now < at + self.options.election_timeout);
        let active = self.leader_state.is_some() || recent;
        self.election.leader.as_ref().filter(|_| active)
    }

    fn has_active_leader(&self) -> bool {
        self.active_leader().is_some()
    }

    fn is_up_to_date(&self, req: &VoteRequest) -> bool {
        let theirs = (req.last_term, req.last_index);
        theirs >= (self.log.last_term(), self.log.last_index())
    }
}

fn random_timeout(minimum: Duration, rng: &mut SmallRng) -> Duration {
    minimum + minimum.mul_f64(rng.random::<f64>())
}
