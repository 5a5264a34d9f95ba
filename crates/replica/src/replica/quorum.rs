//! Majorities of a membership. While a voter is replaced, a decision needs a majority of the
//! voters before and of those after the change.

use std::collections::BTreeSet;
use wire::{Member, Membership, ReplicaId};

/// Returns the voters before and after a change, each once.
pub(super) fn all_voters(membership: &Membership) -> Vec<Member> {
    let mut voters = membership.voters.clone();
    let outgoing = membership.outgoing.iter();
    voters.extend(
        outgoing
            .filter(|o| !contains(&membership.voters, o.id))
            .cloned(),
    );
    voters
}

pub(super) fn contains(members: &[Member], id: ReplicaId) -> bool {
    members.iter().any(|m| m.id == id)
}

/// Returns whether these replicas can decide.
pub(super) fn is_quorum(membership: &Membership, ids: &BTreeSet<ReplicaId>) -> bool {
    let holds_majority = |voters: &[Member]| {
        let present = voters.iter().filter(|v| ids.contains(&v.id)).count();
        present * 2 > voters.len()
    };
    let outgoing = &membership.outgoing;
    holds_majority(&membership.voters) && (outgoing.is_empty() || holds_majority(outgoing))
}

/// Returns the highest value that a quorum has reached, given the value of each voter.
pub(super) fn reached_by_quorum(
    membership: &Membership,
    value_of: impl Fn(ReplicaId) -> u64,
) -> u64 {
    let reached_by_majority = |voters: &[Member]| {
        let mut values: Vec<u64> = voters.iter().map(|v| value_of(v.id)).collect();
        values.sort_unstable();
        let minority = values.len().saturating_sub(1) / 2;
        values.get(minority).copied()
    };
    let reached = reached_by_majority(&membership.voters).unwrap_or_default();
    let before = reached_by_majority(&membership.outgoing);
    before.map_or(reached, |before| before.min(reached))
}
