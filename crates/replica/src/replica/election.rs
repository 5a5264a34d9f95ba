//! Elections: timeouts, pre-vote, votes.

use super::Replica;
use crate::io::{Output, Role};
use crate::options::ReplicaOptions;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::replica_message::Kind;
use wire::{Member, ReplicaId, Term, VoteReply, VoteRequest};

/// What a replica knows of the leader, and its own candidacy.
#[derive(Debug)]
pub(super) struct Election {
    leader: Option<Member>,
    heard: Option<Duration>,
    deadline: Duration,
    /// Whether the candidacy only asks if votes would be given.
    pre: bool,
    votes: BTreeSet<ReplicaId>,
}

/// Part of an election timeout after which a replica that has just started
/// stands: if a leader is there, the others promise it no vote. After a power
/// cut the last one of a majority that starts soon finds a leader, or leads.
const STARTED_PART: u32 = 8;

impl Election {
    pub(super) fn new(options: &ReplicaOptions, now: Duration, rng: &mut SmallRng) -> Self {
        Self {
            leader: None,
            heard: None,
            deadline: now + draw_timeout(options.election_timeout, rng) / STARTED_PART,
            pre: false,
            votes: BTreeSet::new(),
        }
    }

    pub(super) fn leader(&self) -> Option<&Member> {
        self.leader.as_ref()
    }

    pub(super) fn forget_leader(&mut self) {
        self.leader = None;
    }

    /// Returns when a leader was heard last.
    pub(super) fn heard(&self) -> Option<Duration> {
        self.heard
    }
}

impl Replica {
    pub(super) fn tick_election(&mut self, tx: &mut Vec<Output>) {
        let may_stand = self.leading.is_none() && self.is_voter(self.hard_state.id);
        if may_stand && self.now >= self.election.deadline && !self.disk_is_stalled() {
            self.ask_for_promises(tx);
        }
    }

    /// Follows a leader of the current term.
    pub(super) fn follow(&mut self, leader: Member, tx: &mut Vec<Output>) {
        self.election.leader = Some(leader);
        self.election.heard = Some(self.now);
        self.reset_election_deadline();
        self.refresh_role(tx);
    }

    /// Takes a higher term on; it counts when it is synced.
    pub(super) fn adopt_term(&mut self, term: Term, tx: &mut Vec<Output>) {
        self.stop_leading(tx);
        self.hard_state.term = term;
        self.hard_state.vote = 0;
        self.election.leader = None;
        self.following.reset();
        self.save_state(tx);
        self.refresh_role(tx);
    }

    pub(super) fn vote_requested(
        &mut self,
        term: Term,
        candidate: &Member,
        req: &VoteRequest,
        tx: &mut Vec<Output>,
    ) {
        let granted = if req.pre {
            self.would_vote(term, req)
        } else {
            self.vote(term, candidate.id, req, tx)
        };
        let reply = VoteReply {
            pre: req.pre,
            granted,
        };
        let reply_term = if req.pre && granted {
            term
        } else {
            self.hard_state.term
        };
        self.send_in_term(reply_term, candidate, Kind::VoteReply(reply), tx);
    }

    pub(super) fn vote_answered(
        &mut self,
        term: Term,
        from: ReplicaId,
        reply: &VoteReply,
        tx: &mut Vec<Output>,
    ) {
        let promised = reply.pre && reply.granted;
        if term > self.hard_state.term && !promised {
            self.adopt_term(term, tx);
            return;
        }
        let asked = self.hard_state.term + u64::from(self.election.pre);
        let counts = self.role == Role::Candidate
            && reply.granted
            && reply.pre == self.election.pre
            && term == asked;
        if counts && self.is_voter(from) {
            self.election.votes.insert(from);
            self.count_votes(tx);
        }
    }

    /// Counts the own vote, which is synced now.
    pub(super) fn state_saved(&mut self, tx: &mut Vec<Output>) {
        let stands = self.role == Role::Candidate && !self.election.pre;
        if stands && self.storage.state_is_synced() {
            self.election.votes.insert(self.hard_state.id);
            self.count_votes(tx);
        }
    }

    pub(super) fn reset_election_deadline(&mut self) {
        let timeout = draw_timeout(self.options.election_timeout, &mut self.rng);
        self.election.deadline = self.now + timeout;
    }

    /// Stands for election as soon as the next tick comes.
    pub(super) fn expire_election_deadline(&mut self) {
        self.election.deadline = self.now;
    }

    /// Names this replica as the leader.
    pub(super) fn lead(&mut self, tx: &mut Vec<Output>) {
        self.election.leader = Some(self.me());
        self.election.votes.clear();
        self.set_role(Role::Leader, tx);
    }

    /// Asks whether votes would be given. No term is used up, so that a
    /// replica that was cut off doesn't disturb the others when it returns.
    fn ask_for_promises(&mut self, tx: &mut Vec<Output>) {
        self.begin_candidacy(true, tx);
        self.election.votes.insert(self.hard_state.id);
        self.ask_for_votes(self.hard_state.term + 1, tx);
        self.count_votes(tx);
    }

    fn stand(&mut self, tx: &mut Vec<Output>) {
        self.begin_candidacy(false, tx);
        self.hard_state.term += 1;
        self.hard_state.vote = self.hard_state.id;
        self.following.reset();
        self.save_state(tx);
        self.ask_for_votes(self.hard_state.term, tx);
    }

    fn begin_candidacy(&mut self, pre: bool, tx: &mut Vec<Output>) {
        self.election.pre = pre;
        self.election.leader = None;
        self.election.votes.clear();
        self.reset_election_deadline();
        self.set_role(Role::Candidate, tx);
    }

    fn ask_for_votes(&mut self, term: Term, tx: &mut Vec<Output>) {
        let req = VoteRequest {
            pre: self.election.pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.other_voters() {
            self.send_in_term(term, &voter, Kind::VoteRequest(req.clone()), tx);
        }
    }

    fn count_votes(&mut self, tx: &mut Vec<Output>) {
        if !self.is_majority(&self.election.votes) {
            return;
        }
        if self.election.pre {
            self.stand(tx);
        } else {
            self.start_leading(tx);
        }
    }

    fn would_vote(&self, term: Term, req: &VoteRequest) -> bool {
        term > self.hard_state.term && !self.hears_leader() && self.is_up_to_date(req)
    }

    fn vote(
        &mut self,
        term: Term,
        candidate: ReplicaId,
        req: &VoteRequest,
        tx: &mut Vec<Output>,
    ) -> bool {
        if term < self.hard_state.term || self.hears_leader() {
            return false;
        }
        if term > self.hard_state.term {
            self.adopt_term(term, tx);
        }
        let free = self.hard_state.vote == 0 || self.hard_state.vote == candidate;
        if !free || !self.is_up_to_date(req) {
            return false;
        }
        if self.hard_state.vote != candidate {
            self.hard_state.vote = candidate;
            self.save_state(tx);
        }
        self.reset_election_deadline();
        true
    }

    /// Returns whether this replica leads, or a leader was heard within the
    /// shortest election timeout: then no other candidate is helped.
    fn hears_leader(&self) -> bool {
        let known = self.election.leader.is_some();
        let heard = self.election.heard;
        let recent = heard.is_some_and(|at| self.now < at + self.options.election_timeout);
        self.leading.is_some() || known && recent
    }

    fn is_up_to_date(&self, req: &VoteRequest) -> bool {
        let theirs = (req.last_term, req.last_index);
        theirs >= (self.log.last_term(), self.log.last_index())
    }
}

fn draw_timeout(shortest: Duration, rng: &mut SmallRng) -> Duration {
    shortest + shortest.mul_f64(rng.random::<f64>())
}
