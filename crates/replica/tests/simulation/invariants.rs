//! What must hold after every step.

use replica::{Replica, Role};
use std::collections::BTreeMap;
use wire::replica_message::Kind;
use wire::{LogIndex, ReplicaId, ReplicaMessage, Term};

/// What was seen so far, by all replicas together.
#[derive(Default)]
pub(crate) struct Invariants {
    leaders: BTreeMap<Term, ReplicaId>,
    votes: BTreeMap<(ReplicaId, Term), ReplicaId>,
    committed: BTreeMap<LogIndex, (Term, String)>,
    acknowledged: LogIndex,
    acknowledgements: usize,
    /// Last index that was acknowledged before each read began.
    reads: BTreeMap<u64, LogIndex>,
}

impl Invariants {
    /// At most one replica leads in a term.
    pub(crate) fn check_leader(&mut self, replica: &Replica) {
        if replica.role() == Role::Leader {
            let id = replica.id();
            let leader = *self.leaders.entry(replica.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", replica.term());
        }
    }

    /// A replica votes for one candidate in a term, restarts or not.
    pub(crate) fn check_vote(&mut self, message: &ReplicaMessage) {
        let candidate = match &message.kind {
            Some(Kind::VoteReply(reply)) if reply.granted && !reply.pre => message.to,
            Some(Kind::VoteRequest(req)) if !req.pre => message.from,
            _ => return,
        };
        let key = (message.from, message.term);
        let vote = *self.votes.entry(key).or_insert(candidate);
        assert_eq!(
            vote, candidate,
            "two votes of a replica in term {}",
            message.term
        );
    }

    /// All replicas apply the same commands in the same order.
    pub(crate) fn check_applied(
        &mut self,
        name: &str,
        before: LogIndex,
        index: LogIndex,
        term: Term,
        command: &str,
    ) {
        assert!(before < index, "{name} applied {index} after {before}");
        let skipped = self.committed.range(before + 1..index).next();
        assert_eq!(skipped, None, "{name} skipped a command before {index}");
        let newest = self.committed.keys().next_back().copied().unwrap_or(0);
        let entry = (term, command.to_owned());
        if index > newest {
            self.committed.insert(index, entry);
        } else {
            let committed = self.committed.get(&index);
            assert_eq!(
                committed,
                Some(&entry),
                "{name} applied another command at {index}"
            );
        }
    }

    /// A snapshot holds what was committed, no more and no less.
    pub(crate) fn check_restored(
        &self,
        name: &str,
        index: LogIndex,
        state: &BTreeMap<LogIndex, String>,
    ) {
        let committed = self.committed.range(..=index);
        let expected: BTreeMap<LogIndex, String> =
            committed.map(|(i, (_, c))| (*i, c.clone())).collect();
        assert_eq!(state, &expected, "{name} restored another state at {index}");
    }

    pub(crate) fn acknowledge(&mut self, index: LogIndex) {
        self.acknowledged = self.acknowledged.max(index);
        self.acknowledgements += 1;
    }

    pub(crate) fn read_started(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged);
    }

    /// A confirmed read sees all that was acknowledged before it began.
    pub(crate) fn check_read(&self, token: u64, name: &str, applied: LogIndex) {
        let acknowledged = self.reads[&token];
        assert!(
            applied >= acknowledged,
            "{name} reads at {applied}, but {acknowledged} was acknowledged before"
        );
    }

    pub(crate) fn committed(&self) -> BTreeMap<LogIndex, String> {
        let committed = self.committed.iter();
        committed.map(|(i, (_, c))| (*i, c.clone())).collect()
    }

    pub(crate) fn acknowledged(&self) -> usize {
        self.acknowledgements
    }
}
