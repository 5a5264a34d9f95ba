//! Disk operations and what waits for them.

use super::Replica;
use crate::disk::DiskError;
use crate::io::{DiskDone, DiskOp, DiskWrite, Output, Role};
use crate::stored::Snapshot;
use std::collections::VecDeque;
use std::time::Duration;
use wire::{LogEntry, LogIndex, Member};

/// Election timeouts after which an operation that is not done means that the
/// disk has stalled.
const STALLED_ELECTIONS: u32 = 4;

/// What follows when an operation is synced.
#[derive(Debug)]
enum AfterSync {
    Appended { last: LogIndex },
    StateSaved,
    SnapshotTaken(Snapshot),
    SnapshotInstalled { index: LogIndex, leader: Member },
}

#[derive(Debug)]
struct Pending {
    id: u64,
    begun: Duration,
    after: AfterSync,
}

#[derive(Debug)]
struct Held {
    op: u64,
    output: Output,
}

/// Operations on their way, and messages that wait for a term or vote to be
/// synced.
#[derive(Debug)]
pub(super) struct Storage {
    fault: Option<DiskError>,
    last_id: u64,
    pending: VecDeque<Pending>,
    unsynced_state: Option<u64>,
    held: VecDeque<Held>,
}

impl Storage {
    pub(super) fn new(fault: Option<DiskError>) -> Self {
        Self {
            fault,
            last_id: 0,
            pending: VecDeque::new(),
            unsynced_state: None,
            held: VecDeque::new(),
        }
    }

    pub(super) fn take_fault(&mut self) -> Option<DiskError> {
        self.fault.take()
    }

    /// Sends a message, or holds it until identity, term and vote are synced.
    pub(super) fn release_or_hold(&mut self, output: Output, tx: &mut Vec<Output>) {
        match self.unsynced_state {
            Some(op) => self.held.push_back(Held { op, output }),
            None => tx.push(output),
        }
    }

    /// Returns whether identity, term and vote are synced.
    pub(super) fn state_is_synced(&self) -> bool {
        self.unsynced_state.is_none()
    }

    /// Returns when the oldest operation was begun that is not done.
    fn waits_since(&self) -> Option<Duration> {
        self.pending.front().map(|p| p.begun)
    }

    /// Removes the operation that was done, with the messages that it frees;
    /// `None` if it isn't the oldest one's turn.
    fn finish(&mut self, id: u64, tx: &mut Vec<Output>) -> Option<AfterSync> {
        if self.pending.front().is_none_or(|p| p.id != id) {
            return None;
        }
        if self.unsynced_state == Some(id) {
            self.unsynced_state = None;
        }
        while self.held.front().is_some_and(|h| h.op <= id) {
            tx.extend(self.held.pop_front().map(|h| h.output));
        }
        self.pending.pop_front().map(|p| p.after)
    }

    /// Lowers what appends on their way will count for.
    fn forget_from(&mut self, index: LogIndex) {
        for pending in &mut self.pending {
            if let AfterSync::Appended { last } = &mut pending.after {
                *last = (*last).min(index.saturating_sub(1));
            }
        }
    }
}

impl Replica {
    /// Returns whether the disk has done nothing for a while: then this replica
    /// doesn't lead, nor stand for election.
    pub(super) fn disk_is_stalled(&self) -> bool {
        let limit = self.options.election_timeout * STALLED_ELECTIONS;
        let since = self.storage.waits_since();
        since.is_some_and(|at| self.now >= at + limit)
    }

    fn begin(&mut self, write: DiskWrite, after: AfterSync, tx: &mut Vec<Output>) -> u64 {
        self.storage.last_id += 1;
        let id = self.storage.last_id;
        let begun = self.now;
        let pending = Pending { id, begun, after };
        self.storage.pending.push_back(pending);
        tx.push(Output::Disk(DiskOp { id, write }));
        id
    }

    /// Appends entries, which follow the log's last one, in memory and on disk.
    pub(super) fn append_entries(&mut self, entries: Vec<LogEntry>, tx: &mut Vec<Output>) {
        let Some(last) = entries.last().map(|e| e.index) else {
            return;
        };
        entries.iter().for_each(|e| self.log.push(e.clone()));
        let after = AfterSync::Appended { last };
        self.begin(DiskWrite::Append(entries), after, tx);
    }

    /// Drops entries from the memory; the append that replaces them does so on
    /// disk.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.storage.forget_from(index);
    }

    pub(super) fn save_state(&mut self, tx: &mut Vec<Output>) {
        let write = DiskWrite::State(self.hard_state);
        let id = self.begin(write, AfterSync::StateSaved, tx);
        self.storage.unsynced_state = Some(id);
    }

    pub(super) fn save_taken_snapshot(&mut self, snapshot: Snapshot, tx: &mut Vec<Output>) {
        let after = AfterSync::SnapshotTaken(snapshot.clone());
        self.begin(DiskWrite::Snapshot(snapshot), after, tx);
    }

    /// Replaces the log by a leader's snapshot, in memory and on disk.
    pub(super) fn save_installed_snapshot(
        &mut self,
        snapshot: Snapshot,
        leader: Member,
        tx: &mut Vec<Output>,
    ) {
        let index = snapshot.index;
        let keeps_tail = self.log.term_at(index) == Some(snapshot.term);
        if keeps_tail {
            self.log.compact(snapshot.clone(), 0, 0);
        } else {
            self.log.reset(snapshot.clone());
            self.storage.forget_from(0);
        }
        let after = AfterSync::SnapshotInstalled { index, leader };
        self.begin(DiskWrite::Snapshot(snapshot), after, tx);
    }

    pub(super) fn disk_done(&mut self, done: DiskDone, tx: &mut Vec<Output>) {
        if let Err(error) = done.result {
            self.fail(&error.to_string(), tx);
            return;
        }
        let Some(after) = self.storage.finish(done.id, tx) else {
            self.fail("a disk operation was done out of order", tx);
            return;
        };
        match after {
            AfterSync::Appended { last } => {
                self.log.mark_synced(last);
                self.appended(tx);
            }
            AfterSync::StateSaved => self.state_saved(tx),
            AfterSync::SnapshotTaken(snapshot) => self.taken_snapshot_saved(snapshot),
            AfterSync::SnapshotInstalled { index, leader } => {
                self.log.mark_synced(index);
                self.installed_snapshot_saved(index, &leader, tx);
            }
        }
    }

    fn appended(&mut self, tx: &mut Vec<Output>) {
        if self.leading.is_some() {
            self.advance_commit(tx);
        } else {
            self.report_progress(tx);
        }
    }

    /// Stops the replica for good: it neither votes nor serves.
    pub(super) fn fail(&mut self, reason: &str, tx: &mut Vec<Output>) {
        self.stop_leading(tx);
        self.storage = Storage::new(None);
        self.election.forget_leader();
        tx.push(Output::Fault(reason.to_owned()));
        self.set_role(Role::Faulty, tx);
    }
}
