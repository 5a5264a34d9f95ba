//! In-memory disk for tests.

use crate::disk::DiskError;
use crate::io::{DiskDone, DiskOp, DiskWrite};
use crate::stored::{Recovered, Snapshot};
use std::collections::VecDeque;
use wire::LogEntry;

/// A fake disk that keeps all data in memory. Operations complete immediately,
/// unless a test delays syncs, makes them fail or discards data.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    synced: Recovered,
    unsynced: VecDeque<DiskOp>,
    /// Writes of a process that ended before it synced them. They can be read, but are
    /// lost with the power.
    cached: Vec<DiskWrite>,
    error: Option<DiskError>,
    /// The first operation that failed, which may be complete on the disk.
    failed: Option<DiskOp>,
}

impl MemoryDisk {
    /// Creates an empty disk.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a disk whose recovery reports an error.
    #[must_use]
    pub fn unusable(error: DiskError) -> Self {
        Self {
            synced: Recovered::faulty(error),
            ..Self::default()
        }
    }

    /// Writes and syncs an operation. No other operation may be pending.
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

    /// Syncs all pending operations and returns their results.
    pub fn sync(&mut self) -> Vec<DiskDone> {
        std::iter::from_fn(|| self.sync_next()).collect()
    }

    /// Syncs the oldest pending operation.
    pub fn sync_next(&mut self) -> Option<DiskDone> {
        let op = self.unsynced.pop_front()?;
        let result = self.error.clone().map_or(Ok(()), Err);
        let id = op.id;
        match result {
            Ok(()) if op.write == DiskWrite::Recovered => self.sync_cached(),
            Ok(()) => apply(&mut self.synced, op.write),
            Err(_) => drop(self.failed.get_or_insert(op)),
        }
        Some(DiskDone { id, result })
    }

    /// Discards unsynced operations, as when a VM loses power.
    pub fn discard_unsynced(&mut self) {
        self.unsynced.clear();
        self.cached.clear();
    }

    /// Ends the process without a loss of power: the oldest unsynced operation may have
    /// been written, which a restarted replica then reads.
    pub fn kill(&mut self, has_written: bool) {
        let oldest = self.unsynced.drain(..).next().filter(|_| has_written);
        self.cached.extend(oldest.map(|op| op.write));
    }

    fn sync_cached(&mut self) {
        for write in self.cached.drain(..) {
            apply(&mut self.synced, write);
        }
    }

    /// Simulates a torn write: keeps the first half of the entries of the
    /// oldest unsynced append and discards all other unsynced operations.
    pub fn tear_unsynced(&mut self) {
        self.cached.clear();
        if let Some(DiskOp {
            write: DiskWrite::Append(mut entries),
            ..
        }) = self.unsynced.drain(..).next()
        {
            entries.truncate(entries.len() / 2);
            apply(&mut self.synced, DiskWrite::Append(entries));
        }
    }

    /// Makes every later operation fail.
    pub fn fail(&mut self, error: DiskError) {
        self.error = Some(error);
    }

    /// Lets a disk that failed work again. The operation that failed first is complete on
    /// it or has left nothing. What can be read back is written again.
    pub fn mend(&mut self, has_failed_write: bool) {
        self.error = None;
        self.unsynced.clear();
        self.sync_cached();
        let failed = self.failed.take().filter(|_| has_failed_write);
        if let Some(op) = failed {
            apply(&mut self.synced, op.write);
        }
    }

    /// Loses the last synced entries without a trace, as when a file is cut.
    pub fn lose_entries(&mut self, count: usize) {
        let entries = &mut self.synced.entries;
        entries.truncate(entries.len().saturating_sub(count));
    }

    /// Corrupts synced data, so that recovery reports an error.
    pub fn corrupt(&mut self) {
        self.synced.fault = Some(DiskError::Corrupt {
            path: "memory".to_owned(),
            offset: 0,
            reason: "corrupted by a test",
        });
    }

    /// Returns whether the disk has neither failed nor been corrupted.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.error.is_none() && self.synced.fault.is_none()
    }

    /// Sets the files of a damaged folder aside, so that it is empty.
    pub fn set_aside(&mut self) {
        self.wipe();
        self.synced.set_aside = vec!["damaged-1-state".to_owned()];
    }

    /// Replaces the disk with an empty one.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }

    /// Returns the state that a restarted replica recovers.
    #[must_use]
    pub fn recover(&self) -> Recovered {
        let mut recovered = self.synced.clone();
        for write in &self.cached {
            apply(&mut recovered, write.clone());
        }
        recovered
    }
}

fn apply(stored: &mut Recovered, write: DiskWrite) {
    match write {
        DiskWrite::Recovered => {}
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
