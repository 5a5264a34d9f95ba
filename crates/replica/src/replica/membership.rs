//! Membership changes, one at a time.

use super::Replica;
use super::quorum::{all_voters, contains, is_quorum};
use crate::io::Output;
use bytes::Bytes;
use std::collections::BTreeSet;
use wire::{Member, Membership, ReplicaId};

/// Maximum number of voters in a cluster.
const MAX_VOTERS: usize = 7;
/// Election timeouts after which a silent member that is no longer configured
/// is removed. With `target_voters`, this applies to every silent learner
/// instead.
const REMOVAL_ELECTION_TIMEOUTS: u32 = 10;
/// Election timeouts after which a silent voter is replaced by a learner that
/// has caught up.
const REPLACEMENT_ELECTION_TIMEOUTS: u32 = 1;

impl Replica {
    pub(super) fn is_voter(&self, id: ReplicaId) -> bool {
        let membership = self.log.membership();
        contains(&membership.voters, id) || contains(&membership.outgoing, id)
    }

    pub(super) fn other_voters(&self) -> Vec<Member> {
        let mut voters = all_voters(self.log.membership());
        voters.retain(|v| v.id != self.hard_state.id);
        voters
    }

    pub(super) fn is_quorum(&self, ids: &BTreeSet<ReplicaId>) -> bool {
        is_quorum(self.log.membership(), ids)
    }

    /// Returns whether a change may start: the last change and an entry of the
    /// current term are committed.
    pub(super) fn may_change_membership(&self) -> bool {
        let has_committed_in_term = self
            .leader_state
            .as_ref()
            .is_some_and(|l| self.commit_index >= l.first_index);
        has_committed_in_term && self.log.membership_index() <= self.commit_index
    }

    pub(super) fn change_membership(&mut self, membership: Membership, tx: &mut Vec<Output>) {
        self.append_as_leader(Bytes::new(), Some(membership), tx);
        self.refresh_peers();
        self.replicate(tx);
    }

    /// Starts the next step: the completion of a replacement, the promotion of a learner or
    /// the removal of a lost member.
    pub(super) fn tick_membership(&mut self, tx: &mut Vec<Output>) {
        if !self.may_change_membership() || self.is_transferring_leadership() {
            return;
        }
        if self.leader_state.is_some() && !self.is_voter(self.hard_state.id) {
            // It was replaced and led to the end of that change only.
            self.step_down(tx);
            self.refresh_role(tx);
            return;
        }
        let next = self.completed_replacement();
        let next = next.or_else(|| self.next_promotion());
        let next = next.or_else(|| self.next_removal());
        if let Some(membership) = next {
            self.change_membership(membership, tx);
        }
    }

    /// Returns whether a replica has replied within an election timeout.
    pub(super) fn is_responsive(&self, id: ReplicaId) -> bool {
        let earliest = self.now.saturating_sub(self.options.election_timeout);
        self.contacted_since(earliest).contains(&id)
    }

    /// Returns whether a learner has caught up to `catch_up_index`. It is not
    /// compared with the end of the log, which a learner never reaches under
    /// steady load.
    fn is_caught_up(&self, id: ReplicaId) -> bool {
        let peer = self.leader_state.as_ref().and_then(|l| l.peers.get(&id));
        let required = self
            .leader_state
            .as_ref()
            .map_or(u64::MAX, |l| l.catch_up_index);
        peer.is_some_and(|p| p.match_index >= required) && self.is_responsive(id)
    }

    /// Returns the other voters that are silent or lack entries that were committed
    /// before the last heartbeat. The cluster tolerates fewer losses by these. Empty
    /// unless this replica leads.
    #[must_use]
    pub fn lagging_voters(&self) -> Vec<Member> {
        let mut voters = self.other_voters();
        voters.retain(|v| self.leader_state.is_some() && !self.is_caught_up(v.id));
        voters
    }

    /// Returns the membership after the next step to promote the first learner
    /// that has caught up. A voter that the learner replaces may have to be
    /// removed in a step of its own.
    fn next_promotion(&self) -> Option<Membership> {
        let learners = self.log.membership().learners.iter();
        let mut caught_up =
            learners.filter(|l| self.is_caught_up(l.id) && !self.is_departing(l.id));
        match self.options.target_voters {
            Some(target) => caught_up.find_map(|l| self.with_voter(l, target)),
            None => caught_up.find_map(|l| self.promotion_step(l)),
        }
    }

    /// Returns the membership with a learner as a voter, if a voter is missing or has to be
    /// replaced.
    ///
    /// A replacement takes one step, after which the voters before it still count until it
    /// is complete. With the learner added first, its VM would have two votes if it returned
    /// with an empty disk, and with the other voter removed first, one of those that run
    /// would be missing.
    fn with_voter(&self, learner: &Member, target: usize) -> Option<Membership> {
        let mut next = self.log.membership().clone();
        if next.voters.len() > target {
            return None;
        }
        if next.voters.len() == target {
            let replaced = self.voter_to_replace(&next)?;
            next.outgoing = next.voters.clone();
            next.voters.retain(|v| v.id != replaced);
        }
        next.learners.retain(|l| l.id != learner.id);
        next.voters.push(learner.clone());
        self.has_reachable_quorum(&next).then_some(next)
    }

    /// Returns the membership in which only the voters after a replacement count.
    fn completed_replacement(&self) -> Option<Membership> {
        let mut next = self.log.membership().clone();
        let replaced = std::mem::take(&mut next.outgoing);
        (!replaced.is_empty()).then_some(next)
    }

    /// Returns a voter to replace: preferably one whose VM has returned with an
    /// empty disk, then one whose process is about to stop, otherwise one that is silent.
    fn voter_to_replace(&self, membership: &Membership) -> Option<ReplicaId> {
        let silence_limit = self.options.election_timeout * REPLACEMENT_ELECTION_TIMEOUTS;
        let recent = self.contacted_since(self.now.saturating_sub(silence_limit));
        let responsive =
            self.contacted_since(self.now.saturating_sub(self.options.election_timeout));
        let has_successor = |voter: &&Member| {
            let others = membership.voters.iter().chain(&membership.learners);
            let mut others = others.filter(|m| m.id != voter.id);
            !responsive.contains(&voter.id)
                && others.any(|m| m.address == voter.address && responsive.contains(&m.id))
        };
        let mut voters = membership.voters.iter();
        let replaced = membership.voters.iter().find(has_successor);
        let mut leaving = membership.voters.iter().filter(|v| self.is_departing(v.id));
        let replaced = replaced.or_else(|| leaving.next());
        let replaced = replaced.or_else(|| voters.find(|v| !recent.contains(&v.id)));
        replaced.map(|v| v.id)
    }

    /// Returns the membership without a voter that was replaced or, if there is
    /// no voter in excess, without a silent learner.
    fn without_surplus_member(&self, target: usize) -> Option<Membership> {
        let mut next = self.log.membership().clone();
        if next.voters.len() > target {
            let replaced = self.voter_to_replace(&next)?;
            next.voters.retain(|v| v.id != replaced);
        } else {
            let silence_limit = self.options.election_timeout * REMOVAL_ELECTION_TIMEOUTS;
            let recent = self.contacted_since(self.now.saturating_sub(silence_limit));
            let removed = next.learners.iter().find(|l| !recent.contains(&l.id));
            let removed = removed.map(|l| l.id)?;
            next.learners.retain(|l| l.id != removed);
        }
        self.has_reachable_quorum(&next).then_some(next)
    }

    /// Returns the membership without a member that has been silent for long
    /// and is no longer configured, because its VM was given up or replaced at
    /// another address.
    fn next_removal(&self) -> Option<Membership> {
        if let Some(target) = self.options.target_voters {
            return self.without_surplus_member(target);
        }
        let silence_limit = self.options.election_timeout * REMOVAL_ELECTION_TIMEOUTS;
        let recent = self.contacted_since(self.now.saturating_sub(silence_limit));
        let is_removable = |m: &Member| !recent.contains(&m.id) && !self.is_configured(&m.address);
        let mut next = self.log.membership().clone();
        let removed = next
            .voters
            .iter()
            .chain(&next.learners)
            .find(|m| is_removable(m));
        let id = removed?.id;
        next.voters.retain(|v| v.id != id);
        next.learners.retain(|l| l.id != id);
        self.has_reachable_quorum(&next).then_some(next)
    }

    /// Returns whether the replica at an address is configured. Every replica
    /// counts as configured if the list is empty.
    fn is_configured(&self, address: &str) -> bool {
        let configured = &self.options.configured_replicas;
        configured.is_empty() || configured.iter().any(|s| s == address)
    }

    fn promotion_step(&self, learner: &Member) -> Option<Membership> {
        let mut next = self.log.membership().clone();
        let predecessor = next.voters.iter().find(|v| v.address == learner.address);
        if let Some(predecessor) = predecessor.map(|v| v.id) {
            if self.is_responsive(predecessor) {
                return None;
            }
            next.voters.retain(|v| v.id != predecessor);
        } else {
            if next.voters.len() >= MAX_VOTERS {
                return None;
            }
            next.learners.retain(|l| l.id != learner.id);
            next.voters.push(learner.clone());
        }
        self.has_reachable_quorum(&next).then_some(next)
    }

    /// Returns whether a quorum of a membership is responsive, so that a change to this
    /// membership can be committed.
    fn has_reachable_quorum(&self, membership: &Membership) -> bool {
        let earliest = self.now.saturating_sub(self.options.election_timeout);
        is_quorum(membership, &self.contacted_since(earliest))
    }
}
