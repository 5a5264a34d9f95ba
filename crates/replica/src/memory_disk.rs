//! A disk in memory, for tests.

use crate::disk::DiskError;
use crate::io::{DiskDone, DiskOp, DiskWrite};
use crate::stored::{Recovered, Snapshot};
use std::collections::VecDeque;
use wire::LogEntry;

/// A fake disk that keeps everything in memory and completes operations at
/// once, unless it is told to hold syncs back, to fail or to lose data.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    synced: Recovered,
    unsynced: VecDeque<DiskOp>,
    error: Option<DiskError>,
}

impl MemoryDisk {
    /// Creates an empty disk.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes and syncs an operation, when no other waits for its sync.
    pub fn perform(&mut self, op: DiskOp) -> DiskDone {
        let id = op.id;
        self.write(op);
        let done = self.sync().pop();
        done.unwrap_or(DiskDone { id, result: Ok(()) })
    }

    /// Writes an operation without syncing it.
    pub fn write(&mut self, op: DiskOp) {
        self.unsynced.push_back(op);
    }

    /// Syncs what was written and returns the completions.
    pub fn sync(&mut self) -> Vec<DiskDone> {
        std::iter::from_fn(|| self.sync_next()).collect()
    }

    /// Syncs the oldest operation that is not synced yet.
    pub fn sync_next(&mut self) -> Option<DiskDone> {
        let op = self.unsynced.pop_front()?;
        let result = self.error.clone().map_or(Ok(()), Err);
        if result.is_ok() {
            apply(&mut self.synced, op.write);
        }
        Some(DiskDone { id: op.id, result })
    }

    /// Loses what was not synced, as a VM does that loses power.
    pub fn discard_unsynced(&mut self) {
        self.unsynced.clear();
    }

    /// Loses what was not synced but for the first half of the entries of the
    /// oldest append.
    pub fn tear_tail(&mut self) {
        if let Some(DiskOp {
            write: DiskWrite::Append(mut entries),
            ..
        }) = self.unsynced.drain(..).next()
        {
            entries.truncate(entries.len() / 2);
            apply(&mut self.synced, DiskWrite::Append(entries));
        }
    }

    /// Makes every operation fail from now on.
    pub fn fail(&mut self, error: DiskError) {
        self.error = Some(error);
    }

    /// Damages synced data: opening the disk will report it.
    pub fn damage(&mut self) {
        self.synced.fault = Some(DiskError::Damaged {
            path: "memory".to_owned(),
            offset: 0,
            reason: "damaged by a test",
        });
    }

    /// Returns whether the disk neither fails nor is damaged.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.error.is_none() && self.synced.fault.is_none()
    }

    /// Replaces the disk by an empty one.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }

    /// Returns what a restarted replica finds.
    #[must_use]
    pub fn recover(&self) -> Recovered {
        self.synced.clone()
    }
}

fn apply(stored: &mut Recovered, write: DiskWrite) {
    match write {
        DiskWrite::Append(entries) => append(&mut stored.entries, entries),
        DiskWrite::State(state) => stored.hard_state = Some(state),
        DiskWrite::Snapshot(snapshot) => {
            compact(&mut stored.entries, &snapshot);
            stored.snapshot = Some(snapshot);
        }
    }
}

fn append(log: &mut Vec<LogEntry>, entries: Vec<LogEntry>) {
    if let Some(first) = entries.first() {
        log.retain(|e| e.index < first.index);
    }
    log.extend(entries);
}

fn compact(log: &mut Vec<LogEntry>, snapshot: &Snapshot) {
    let agrees = |e: &LogEntry| e.index == snapshot.index && e.term == snapshot.term;
    if log.iter().any(agrees) {
        log.retain(|e| e.index > snapshot.index);
    } else {
        log.clear();
    }
}
