//! In-memory copy of the log.

use crate::stored::Snapshot;
use std::collections::VecDeque;
use wire::{LogEntry, LogIndex, Membership, Term};

/// Bytes accounted for an entry in addition to its command.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Entries after a base index. The base and everything before it are covered by
/// the snapshot.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    base_membership: Membership,
    entries: VecDeque<LogEntry>,
    memberships: Vec<(LogIndex, Membership)>,
    snapshot: Option<Snapshot>,
    synced: LogIndex,
}

impl Log {
    /// Creates the log from the data recovered at start. The data counts as synced once
    /// it has been synced again.
    pub(crate) fn recovered(snapshot: Option<Snapshot>, entries: Vec<LogEntry>) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = snapshot {
            log.reset(snapshot);
        }
        entries.into_iter().for_each(|e| log.push(e));
        log
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the last index that is known to be synced on this replica.
    pub(crate) fn synced(&self) -> LogIndex {
        self.synced
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Returns the term of an entry, or `None` if it is compacted or not in the
    /// log.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns entries from an index on, up to `max_bytes` but at least one if
    /// there is any.
    pub(crate) fn entries_from(&self, index: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for index in index..=self.last_index() {
            let Some(entry) = self.entry(index) else {
                break;
            };
            bytes += entry_bytes(entry);
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Returns the first index of consecutive entries with the same term as the
    /// entry at an index.
    pub(crate) fn first_index_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Returns the newest membership, whether it is committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        self.memberships
            .last()
            .map_or(&self.base_membership, |(_, m)| m)
    }

    /// Returns the index of the newest membership.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships.last().map_or(self.base_index, |(i, _)| *i)
    }

    /// Returns the membership in force at an index.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let memberships = self.memberships.iter().rev();
        memberships
            .into_iter()
            .find(|(i, _)| *i <= index)
            .map_or(&self.base_membership, |(_, m)| m)
    }

    /// Appends the next entry, which is not synced yet.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        if let Some(membership) = &entry.membership {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let keep = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(0));
        self.memberships.retain(|(i, _)| *i < index);
        self.synced = self.synced.min(index.saturating_sub(1));
    }

    pub(crate) fn mark_synced(&mut self, index: LogIndex) {
        self.synced = self.synced.max(index);
    }

    /// Stores a snapshot taken by this replica and drops the entries it covers,
    /// except for the last `keep` entries or as many as fit into `keep_bytes`.
    /// The retained entries let followers that lag slightly catch up without a
    /// snapshot.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: u64, keep_bytes: usize) {
        let base = self.compaction_base(snapshot.index, keep, keep_bytes);
        self.snapshot = Some(snapshot);
        let Some(term) = self.term_at(base) else {
            return;
        };
        let dropped = base.saturating_sub(self.base_index);
        self.base_membership = self.membership_at(base).clone();
        self.memberships.retain(|(i, _)| *i > base);
        self.entries
            .drain(..usize::try_from(dropped).unwrap_or(usize::MAX));
        self.base_index = base;
        self.base_term = term;
    }

    /// Returns the index before the last `count` entries up to `index`, or
    /// before as many of them as fit into `max_bytes`.
    fn compaction_base(&self, index: LogIndex, count: u64, max_bytes: usize) -> LogIndex {
        let mut bytes = 0;
        let mut position = index;
        while position > index.saturating_sub(count) {
            let Some(entry) = self.entry(position) else {
                break;
            };
            bytes += entry_bytes(entry);
            if bytes > max_bytes {
                break;
            }
            position -= 1;
        }
        position
    }

    /// Replaces the entire log with a snapshot, which is not synced yet.
    pub(crate) fn reset(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.memberships.clear();
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.base_membership = snapshot.membership.clone();
        self.snapshot = Some(snapshot);
        self.synced = 0;
    }
}

/// Returns the approximate memory use of an entry.
pub(crate) fn entry_bytes(entry: &LogEntry) -> usize {
    entry.command.len() + ENTRY_OVERHEAD_BYTES
}
