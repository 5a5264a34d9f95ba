//! Who votes, and changes of that: one at a time.

use super::Replica;
use crate::io::Output;
use bytes::Bytes;
use std::collections::BTreeSet;
use wire::{Member, Membership, ReplicaId};

/// Voters of a cluster.
const MAX_VOTERS: usize = 7;
/// Election timeouts after which a silent member that is not configured any
/// more is removed.
const REMOVAL_ELECTIONS: u32 = 10;
/// Election timeouts after which a silent voter is replaced by a learner that
/// is level.
const REPLACEMENT_ELECTIONS: u32 = 3;

impl Replica {
    pub(super) fn is_voter(&self, id: ReplicaId) -> bool {
        contains(&self.log.membership().voters, id)
    }

    pub(super) fn other_voters(&self) -> Vec<Member> {
        let voters = self.log.membership().voters.iter();
        voters
            .filter(|v| v.id != self.hard_state.id)
            .cloned()
            .collect()
    }

    pub(super) fn is_majority(&self, ids: &BTreeSet<ReplicaId>) -> bool {
        holds_majority(&self.log.membership().voters, ids)
    }

    /// Returns whether a change may begin: the last one is committed, and so
    /// is an entry of the own term.
    pub(super) fn may_change_membership(&self) -> bool {
        let opened = self
            .leading
            .as_ref()
            .is_some_and(|l| self.commit >= l.first_index);
        opened && self.log.membership_index() <= self.commit
    }

    pub(super) fn change_membership(&mut self, membership: Membership, tx: &mut Vec<Output>) {
        self.append_own(Bytes::new(), Some(membership), tx);
        self.refresh_peers();
        self.replicate(tx);
    }

    /// Brings a learner that has caught up a step further, or removes a member
    /// that is gone for good.
    pub(super) fn tick_membership(&mut self, tx: &mut Vec<Output>) {
        if !self.may_change_membership() {
            return;
        }
        let next = self.next_promotion().or_else(|| self.next_removal());
        if let Some(membership) = next {
            self.change_membership(membership, tx);
        }
    }

    /// Returns whether a replica answered within an election timeout.
    pub(super) fn is_in_contact(&self, id: ReplicaId) -> bool {
        let earliest = self.now.saturating_sub(self.options.election_timeout);
        self.contacted_since(earliest).contains(&id)
    }

    /// Returns whether a learner has synced what was committed when the last
    /// heartbeat was due; under steady load none ever has all of it.
    fn is_level(&self, id: ReplicaId) -> bool {
        let peer = self.leading.as_ref().and_then(|l| l.peers.get(&id));
        let level = self.leading.as_ref().map_or(u64::MAX, |l| l.level_index);
        peer.is_some_and(|p| p.matched >= level) && self.is_in_contact(id)
    }

    /// Returns the next step of the first learner that has caught up: the voter
    /// whose place it takes is removed, then it becomes a voter itself.
    fn next_promotion(&self) -> Option<Membership> {
        let learners = self.log.membership().learners.iter();
        let mut level = learners.filter(|l| self.is_level(l.id));
        match self.options.target_voters {
            Some(wanted) => level.find_map(|l| self.added_voter(l, wanted)),
            None => level.find_map(|l| self.step_towards_voter(l)),
        }
    }

    /// Returns the membership with a learner as a voter, if a voter is missing
    /// or silent.
    fn added_voter(&self, learner: &Member, wanted: usize) -> Option<Membership> {
        let mut next = self.log.membership().clone();
        let replaces = next.voters.len() == wanted && self.silent_voter(&next).is_some();
        if next.voters.len() >= wanted && !replaces {
            return None;
        }
        next.learners.retain(|l| l.id != learner.id);
        next.voters.push(learner.clone());
        self.is_reachable(&next).then_some(next)
    }

    /// Returns a voter that is to be replaced: one that has fallen silent, first
    /// one whose VM has come back with an empty disk.
    fn silent_voter(&self, membership: &Membership) -> Option<ReplicaId> {
        let patience = self.options.election_timeout * REPLACEMENT_ELECTIONS;
        let recent = self.contacted_since(self.now.saturating_sub(patience));
        let now = self.contacted_since(self.now.saturating_sub(self.options.election_timeout));
        let came_back = |voter: &&Member| {
            let others = membership.voters.iter().chain(&membership.learners);
            let mut others = others.filter(|m| m.id != voter.id);
            !now.contains(&voter.id)
                && others.any(|m| m.address == voter.address && now.contains(&m.id))
        };
        let mut voters = membership.voters.iter();
        let lost = membership.voters.iter().find(came_back);
        let lost = lost.or_else(|| voters.find(|v| !recent.contains(&v.id)));
        lost.map(|v| v.id)
    }

    /// Returns the membership without a voter that has been replaced, or
    /// without a learner that is gone.
    fn without_replaced(&self, wanted: usize) -> Option<Membership> {
        let mut next = self.log.membership().clone();
        if next.voters.len() > wanted {
            let lost = self.silent_voter(&next)?;
            next.voters.retain(|v| v.id != lost);
        } else {
            let patience = self.options.election_timeout * REMOVAL_ELECTIONS;
            let recent = self.contacted_since(self.now.saturating_sub(patience));
            let gone = next.learners.iter().find(|l| !recent.contains(&l.id));
            let gone = gone.map(|l| l.id)?;
            next.learners.retain(|l| l.id != gone);
        }
        self.is_reachable(&next).then_some(next)
    }

    /// Returns the membership without a member that has long been silent and is
    /// not among the configured replicas any more: its VM was replaced by one
    /// at another address, or given up.
    fn next_removal(&self) -> Option<Membership> {
        if let Some(wanted) = self.options.target_voters {
            return self.without_replaced(wanted);
        }
        let patience = self.options.election_timeout * REMOVAL_ELECTIONS;
        let recent = self.contacted_since(self.now.saturating_sub(patience));
        let is_gone = |m: &Member| !recent.contains(&m.id) && !self.is_configured(&m.address);
        let mut next = self.log.membership().clone();
        let gone = next
            .voters
            .iter()
            .chain(&next.learners)
            .find(|m| is_gone(m));
        let id = gone?.id;
        next.voters.retain(|v| v.id != id);
        next.learners.retain(|l| l.id != id);
        self.is_reachable(&next).then_some(next)
    }

    /// Returns whether a replica at an address is configured; without any
    /// configured, all are.
    fn is_configured(&self, address: &str) -> bool {
        let configured = &self.options.configured_replicas;
        configured.is_empty() || configured.iter().any(|s| s == address)
    }

    fn step_towards_voter(&self, learner: &Member) -> Option<Membership> {
        let mut next = self.log.membership().clone();
        let predecessor = next.voters.iter().find(|v| v.address == learner.address);
        if let Some(predecessor) = predecessor.map(|v| v.id) {
            if self.is_in_contact(predecessor) {
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
        self.is_reachable(&next).then_some(next)
    }

    /// Returns whether a majority of a membership's voters is in contact, so
    /// that a change to it can commit.
    fn is_reachable(&self, membership: &Membership) -> bool {
        let earliest = self.now.saturating_sub(self.options.election_timeout);
        holds_majority(&membership.voters, &self.contacted_since(earliest))
    }
}

pub(super) fn contains(members: &[Member], id: ReplicaId) -> bool {
    members.iter().any(|m| m.id == id)
}

fn holds_majority(voters: &[Member], ids: &BTreeSet<ReplicaId>) -> bool {
    let held = voters.iter().filter(|v| ids.contains(&v.id)).count();
    held * 2 > voters.len()
}
