//! Invariants that are checked after every step.

use replica::{Replica, Role};
use std::collections::BTreeMap;
use wire::replica_message::Kind;
use wire::{LogIndex, ReplicaId, ReplicaMessage, Term};

/// Observations of all replicas.
#[derive(Default)]
pub(crate) struct Invariants {
    leaders: BTreeMap<Term, ReplicaId>,
    votes: BTreeMap<(ReplicaId, Term), ReplicaId>,
    committed: BTreeMap<LogIndex, (Term, String)>,
    acknowledged: LogIndex,
    acknowledgements: usize,
    /// Last index that was acknowledged before each read was requested.
    reads: BTreeMap<u64, LogIndex>,
}

impl Invariants {
    /// Asserts that at most one replica leads in a term.
    pub(crate) fn check_leader(&mut self, replica: &Replica) {
        if replica.role() == Role::Leader {
            let id = replica.id();
            let leader = *self.leaders.entry(replica.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", replica.term());
        }
    }

    /// Asserts that a replica votes for one candidate per term, even across
    /// restarts.
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
            "replica voted for two candidates in term {}",
            message.term
        );
    }

    /// Asserts that all replicas apply the same commands in the same order.
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
                "{name} applied a different command at {index}"
            );
        }
    }

    /// Asserts that a snapshot holds exactly the committed commands.
    pub(crate) fn check_restored(
        &self,
        name: &str,
        index: LogIndex,
        state: &BTreeMap<LogIndex, String>,
    ) {
        let committed = self.committed.range(..=index);
        let expected: BTreeMap<LogIndex, String> =
            committed.map(|(i, (_, c))| (*i, c.clone())).collect();
        assert_eq!(
            state, &expected,
            "{name} restored a different state at {index}"
        );
    }

    pub(crate) fn acknowledge(&mut self, index: LogIndex) {
        self.acknowledged = self.acknowledged.max(index);
        self.acknowledgements += 1;
    }

    pub(crate) fn read_started(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged);
    }

    /// Asserts that a confirmed read sees every command that was acknowledged
    /// before the read was requested.
    pub(crate) fn check_read(&self, token: u64, name: &str, applied: LogIndex) {
        let acknowledged = self.reads[&token];
        assert!(
            applied >= acknowledged,
            "{name} reads at index {applied}, but index {acknowledged} was acknowledged before"
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
