//! Ids of new replicas, creation of a cluster and requests to join one.

use super::Replica;
use super::quorum::contains;
use crate::io::{Output, Role};
use rand::Rng;
use std::time::Duration;
use wire::replica_message::Kind;
use wire::{JoinReply, JoinRequest, Member};

/// Maximum number of learners in a cluster.
const MAX_LEARNERS: usize = 7;

/// Election timeouts without a leader after which a learner requests to join.
const LEARNER_JOIN_ELECTION_TIMEOUTS: u32 = 2;
/// Election timeouts without a leader after which a voter requests to join.
const VOTER_JOIN_ELECTION_TIMEOUTS: u32 = 10;

/// State of the requests to join a cluster.
#[derive(Debug)]
pub(super) struct JoinState {
    /// Time at which this replica was started.
    started_at: Duration,
    next_request: Duration,
    target_index: usize,
    leader_hint: Option<String>,
    /// Whether a voter is in contact with a leader that sends nothing to this replica.
    leader_reported: bool,
    /// Whether a message from a replica of any cluster was received, or the data folder
    /// held a replica before.
    cluster_seen: bool,
}

impl JoinState {
    pub(super) fn new(now: Duration, cluster_seen: bool) -> Self {
        Self {
            started_at: now,
            next_request: now,
            target_index: 0,
            leader_hint: None,
            leader_reported: false,
            cluster_seen,
        }
    }

    /// Records a leader that a voter is in contact with, while this replica campaigns.
    pub(super) fn record_leader(&mut self, address: &str) {
        self.leader_hint = Some(address.to_owned());
        self.leader_reported = true;
    }

    pub(super) fn forget_reported_leader(&mut self) {
        self.leader_reported = false;
    }

    pub(super) fn has_seen_cluster(&self) -> bool {
        self.cluster_seen
    }

    pub(super) fn record_cluster(&mut self, cluster: u64) {
        self.cluster_seen |= cluster != 0;
    }
}

impl Replica {
    /// Generates an id for a replica whose data folder is empty.
    pub(super) fn ensure_id(&mut self, tx: &mut Vec<Output>) {
        if self.hard_state.id == 0 {
            self.hard_state.id = self.random_id();
            self.save_state(tx);
        }
    }

    /// Creates a cluster unless this replica belongs to one, has received a message from
    /// one or has a folder that held a replica before. In the latter two cases its disk may have been lost, and it
    /// must not create a second cluster.
    pub(super) fn initialise(&mut self, tx: &mut Vec<Output>) {
        if self.hard_state.cluster != 0 || self.join_state.has_seen_cluster() {
            return;
        }
        let cluster = self.random_id();
        self.create_cluster(cluster, vec![self.own_member()], tx);
        self.refresh_role(tx);
        self.expire_election_deadline();
    }

    /// Sends join requests to the configured replicas in turn until a leader
    /// sends its log. A learner without a leader requests again. So does a voter, which
    /// may have been removed without receiving that change: at once if another voter is in
    /// contact with a leader, otherwise after a longer time. A request of a member changes
    /// nothing.
    pub(super) fn tick_join(&mut self, tx: &mut Vec<Output>) {
        let should_request = self.should_request_join() && !self.is_leaving();
        if !should_request || self.now < self.join_state.next_request {
            return;
        }
        self.join_state.next_request = self.now + self.options.election_timeout / 2;
        let Some(address) = self.next_join_address() else {
            return;
        };
        let req = JoinRequest {
            address: self.options.address.clone(),
        };
        let to = Member { id: 0, address };
        self.send(&to, Kind::JoinRequest(req), tx);
    }

    pub(super) fn handle_join_request(
        &mut self,
        cluster: u64,
        sender: Member,
        req: &JoinRequest,
        tx: &mut Vec<Output>,
    ) {
        let same_cluster = cluster == 0 || cluster == self.hard_state.cluster;
        if self.hard_state.cluster == 0 || !same_cluster || sender.id == 0 {
            return;
        }
        let member = Member {
            id: sender.id,
            address: req.address.clone(),
        };
        let accepted = self.leader_state.is_some() && self.add_learner(&member, tx);
        let leader = self.leader().unwrap_or_default().to_owned();
        let reply = JoinReply { accepted, leader };
        self.send(&member, Kind::JoinReply(reply), tx);
    }

    pub(super) fn handle_join_reply(&mut self, reply: JoinReply) {
        if !reply.accepted && !reply.leader.is_empty() {
            self.join_state.leader_hint = Some(reply.leader);
        }
    }

    /// Adds a replica as a learner and returns whether it is a member.
    fn add_learner(&mut self, member: &Member, tx: &mut Vec<Output>) -> bool {
        let current = self.log.membership();
        if self.is_voter(member.id) || contains(&current.learners, member.id) {
            return true;
        }
        if !self.may_change_membership() || self.has_responsive_voter(&member.address) {
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

    /// Returns whether the voter at an address is responsive. In that case a
    /// new replica at the address cannot be its replacement after a lost disk.
    fn has_responsive_voter(&self, address: &str) -> bool {
        let voters = &self.log.membership().voters;
        let voter = voters.iter().find(|v| v.address == address);
        voter.is_some_and(|v| self.is_responsive(v.id))
    }

    /// Returns whether the replica has been without a leader for long enough to
    /// send a join request, or is the only one without.
    fn should_request_join(&self) -> bool {
        let timeouts = match self.role {
            Role::Empty | Role::Learner => LEARNER_JOIN_ELECTION_TIMEOUTS,
            Role::Follower | Role::Candidate if self.join_state.leader_reported => return true,
            Role::Follower | Role::Candidate => VOTER_JOIN_ELECTION_TIMEOUTS,
            Role::Leader | Role::Faulty => return false,
        };
        let Some(last_contact) = self.election.last_leader_contact() else {
            return self.role == Role::Empty || self.has_run_for(timeouts);
        };
        self.now >= last_contact + self.options.election_timeout * timeouts
    }

    fn has_run_for(&self, timeouts: u32) -> bool {
        self.now >= self.join_state.started_at + self.options.election_timeout * timeouts
    }

    fn next_join_address(&mut self) -> Option<String> {
        if let Some(hint) = self.join_state.leader_hint.take() {
            return Some(hint);
        }
        let configured = &self.options.configured_replicas;
        let next = configured
            .get(self.join_state.target_index % configured.len().max(1))
            .cloned();
        self.join_state.target_index += 1;
        next
    }

    /// Generates a random non-zero id.
    fn random_id(&mut self) -> u64 {
        self.rng.random::<u64>().max(1)
    }
}
