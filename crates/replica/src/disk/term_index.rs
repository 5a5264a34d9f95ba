//! Terms of the log on disk.

use crate::stored::Snapshot;
use wire::{LogEntry, LogIndex, Term};

/// Last index of the log on disk, and the terms of its entries after the
/// snapshot.
#[derive(Debug, Default)]
pub(super) struct TermIndex {
    last: LogIndex,
    /// First index and term of each run of entries with the same term. The
    /// first run starts at the snapshot's last entry.
    runs: Vec<(LogIndex, Term)>,
}

impl TermIndex {
    pub(super) fn new(snapshot: Option<&Snapshot>, entries: &[LogEntry]) -> Self {
        let base = snapshot.map_or((0, 0), |s| (s.index, s.term));
        let mut term_index = Self::at(base.0, base.1);
        entries.iter().for_each(|e| term_index.push(e));
        term_index
    }

    pub(super) fn at(index: LogIndex, term: Term) -> Self {
        Self {
            last: index,
            runs: vec![(index, term)],
        }
    }

    /// Returns the last index and its term.
    pub(super) fn last(&self) -> (LogIndex, Term) {
        let term = self.runs.last().map_or(0, |(_, term)| *term);
        (self.last, term)
    }

    pub(super) fn push(&mut self, entry: &LogEntry) {
        self.runs.retain(|(first, _)| *first < entry.index);
        if self.runs.last().is_none_or(|(_, term)| *term != entry.term) {
            self.runs.push((entry.index, entry.term));
        }
        self.last = entry.index;
    }

    /// Returns whether the log has an entry with this index and term.
    pub(super) fn contains(&self, index: LogIndex, term: Term) -> bool {
        let run = self.runs.iter().rev().find(|(first, _)| *first <= index);
        index <= self.last && run.is_some_and(|(_, t)| *t == term)
    }
}
