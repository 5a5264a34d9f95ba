//! Committing and applying entries.

use super::Replica;
use super::quorum::reached_by_quorum;
use crate::io::Output;
use crate::log::entry_bytes;
use wire::LogIndex;

impl Replica {
    /// Commits the entries that a quorum has synced. The leader's own entries
    /// count only once they are synced. Only an entry of the current term is
    /// committed directly; it commits all entries before it.
    pub(super) fn advance_commit(&mut self, tx: &mut Vec<Output>) {
        let index = self.quorum_index();
        if self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_up_to(index, tx);
            self.confirm_reads(tx);
        }
    }

    pub(super) fn commit_up_to(&mut self, index: LogIndex, tx: &mut Vec<Output>) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
        while self.applied_index < self.commit_index {
            self.apply(self.applied_index + 1, tx);
        }
        self.request_snapshot_if_due(tx);
    }

    /// Returns the last index synced by a quorum.
    fn quorum_index(&self) -> LogIndex {
        let Some(leader_state) = &self.leader_state else {
            return 0;
        };
        reached_by_quorum(self.log.membership(), |id| {
            match leader_state.peers.get(&id) {
                Some(peer) => peer.match_index,
                None => self.log.synced(),
            }
        })
    }

    fn apply(&mut self, index: LogIndex, tx: &mut Vec<Output>) {
        self.applied_index = index;
        let Some(entry) = self.log.entry(index).cloned() else {
            return;
        };
        self.bytes_since_snapshot += entry_bytes(&entry);
        let token = self.complete_proposal(&entry);
        if entry.command.is_empty() {
            return;
        }
        tx.push(Output::Apply {
            index,
            term: entry.term,
            command: entry.command,
            token,
        });
    }
}
