//! How a replica gets its number, founds a cluster or joins one.

use super::Replica;
use super::membership::contains;
use crate::io::{Output, Role};
use rand::Rng;
use std::time::Duration;
use wire::replica_message::Kind;
use wire::{JoinReply, JoinRequest, Member};

/// Learners of a cluster at a time.
const MAX_LEARNERS: usize = 7;

/// Election timeouts without a leader after which a learner asks to join.
const LEARNER_PATIENCE_ELECTIONS: u32 = 2;
/// Election timeouts without a leader after which a voter asks to join.
const VOTER_PATIENCE_ELECTIONS: u32 = 10;

/// Requests to join.
#[derive(Debug)]
pub(super) struct Joining {
    /// When this replica was started.
    begun: Duration,
    next: Duration,
    target: usize,
    hint: Option<String>,
    /// Whether a replica of some cluster was heard.
    found_cluster: bool,
}

impl Joining {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            begun: now,
            next: now,
            target: 0,
            hint: None,
            found_cluster: false,
        }
    }

    pub(super) fn note_cluster(&mut self, cluster: u64) {
        self.found_cluster |= cluster != 0;
    }
}

impl Replica {
    /// Draws the number of a replica whose data folder is empty.
    pub(super) fn ensure_identity(&mut self, tx: &mut Vec<Output>) {
        if self.hard_state.id == 0 {
            self.hard_state.id = self.draw_number();
            self.save_state(tx);
        }
    }

    /// Founds a cluster, unless this replica belongs to one or has heard of
    /// one: then its disk was lost, and it must not begin from nothing.
    pub(super) fn initialise(&mut self, tx: &mut Vec<Output>) {
        if self.hard_state.cluster != 0 || self.joining.found_cluster {
            return;
        }
        let cluster = self.draw_number();
        self.begin_cluster(cluster, vec![self.me()], tx);
        self.refresh_role(tx);
        self.expire_election_deadline();
    }

    /// Asks the configured replicas one after the other, until a leader sends
    /// its log. A learner that no leader sends to any more asks again, and so
    /// does a voter after long: it may have been removed without knowing.
    pub(super) fn tick_joining(&mut self, tx: &mut Vec<Output>) {
        if !self.waits_for_leader() || self.now < self.joining.next {
            return;
        }
        self.joining.next = self.now + self.options.election_timeout / 2;
        let Some(address) = self.next_join_address() else {
            return;
        };
        let req = JoinRequest {
            address: self.options.address.clone(),
        };
        let to = Member { id: 0, address };
        self.send(&to, Kind::JoinRequest(req), tx);
    }

    pub(super) fn join_requested(
        &mut self,
        cluster: u64,
        sender: Member,
        req: &JoinRequest,
        tx: &mut Vec<Output>,
    ) {
        let same = cluster == 0 || cluster == self.hard_state.cluster;
        if self.hard_state.cluster == 0 || !same || sender.id == 0 {
            return;
        }
        let member = Member {
            id: sender.id,
            address: req.address.clone(),
        };
        let accepted = self.leading.is_some() && self.admit(&member, tx);
        let leader = self.leader().unwrap_or_default().to_owned();
        let reply = JoinReply { accepted, leader };
        self.send(&member, Kind::JoinReply(reply), tx);
    }

    pub(super) fn join_answered(&mut self, reply: JoinReply) {
        if !reply.accepted && !reply.leader.is_empty() {
            self.joining.hint = Some(reply.leader);
        }
    }

    /// Makes a replica a learner; returns whether it is a member now.
    fn admit(&mut self, member: &Member, tx: &mut Vec<Output>) -> bool {
        let current = self.log.membership();
        if contains(&current.voters, member.id) || contains(&current.learners, member.id) {
            return true;
        }
        if !self.may_change_membership() || self.is_taken(&member.address) {
            return false;
        }
        let mut next = current.clone();
        next.learners.retain(|l| l.address != member.address);
        if next.learners.len() >= MAX_LEARNERS {
            return false;
        }
        next.learners.push(member.clone());
        self.change_membership(next, tx);
        true
    }

    /// Returns whether a voter at an address is in contact: then nobody else
    /// can have lost its disk there.
    fn is_taken(&self, address: &str) -> bool {
        let voters = &self.log.membership().voters;
        let voter = voters.iter().find(|v| v.address == address);
        voter.is_some_and(|v| self.is_in_contact(v.id))
    }

    /// Returns whether no leader was heard for as long as a member of this role
    /// can wait.
    fn waits_for_leader(&self) -> bool {
        let patience = match self.role {
            Role::Empty | Role::Learner => LEARNER_PATIENCE_ELECTIONS,
            Role::Follower | Role::Candidate => VOTER_PATIENCE_ELECTIONS,
            Role::Leader | Role::Faulty => return false,
        };
        let Some(heard) = self.election.heard() else {
            return self.role == Role::Empty || self.has_run_for(patience);
        };
        self.now >= heard + self.options.election_timeout * patience
    }

    fn has_run_for(&self, elections: u32) -> bool {
        self.now >= self.joining.begun + self.options.election_timeout * elections
    }

    fn next_join_address(&mut self) -> Option<String> {
        if let Some(hint) = self.joining.hint.take() {
            return Some(hint);
        }
        let configured = &self.options.configured_replicas;
        let next = configured
            .get(self.joining.target % configured.len().max(1))
            .cloned();
        self.joining.target += 1;
        next
    }

    /// Draws a number other than 0.
    fn draw_number(&mut self) -> u64 {
        self.rng.random::<u64>().max(1)
    }
}
