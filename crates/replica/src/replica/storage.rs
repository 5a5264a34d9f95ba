//! Disk operations and the actions that depend on them.

use super::Replica;
use crate::disk::DiskError;
use crate::io::{DiskDone, DiskOp, DiskWrite, Output, Role};
use crate::stored::Snapshot;
use std::collections::VecDeque;
use std::time::Duration;
use wire::{LogEntry, LogIndex, Member};

/// Election timeouts after which a pending operation means that the disk has
/// stalled.
const DISK_STALL_ELECTION_TIMEOUTS: u32 = 4;

/// Action that follows when an operation is synced.
#[derive(Debug)]
enum AfterSync {
    Recovered { last: LogIndex },
    Appended { last: LogIndex },
    StateSaved,
    SnapshotTaken(Snapshot),
    SnapshotInstalled { index: LogIndex, leader: Member },
}

#[derive(Debug)]
struct Pending {
    id: u64,
    started_at: Duration,
    after: AfterSync,
}

#[derive(Debug)]
struct DeferredOutput {
    op: u64,
    output: Output,
}

/// Pending disk operations, and messages that are deferred until a term or vote
/// is synced.
#[derive(Debug)]
pub(super) struct Storage {
    fault: Option<DiskError>,
    last_id: u64,
    pending: VecDeque<Pending>,
    unsynced_state: Option<u64>,
    deferred: VecDeque<DeferredOutput>,
}

impl Storage {
    pub(super) fn new(fault: Option<DiskError>) -> Self {
        Self {
            fault,
            last_id: 0,
            pending: VecDeque::new(),
            unsynced_state: None,
            deferred: VecDeque::new(),
        }
    }

    pub(super) fn take_fault(&mut self) -> Option<DiskError> {
        self.fault.take()
    }

    /// Sends a message, or defers it until the replica's id, term and vote are
    /// synced.
    pub(super) fn send_or_defer(&mut self, output: Output, tx: &mut Vec<Output>) {
        match self.unsynced_state {
            Some(op) => self.deferred.push_back(DeferredOutput { op, output }),
            None => tx.push(output),
        }
    }

    /// Returns whether the replica's id, term and vote are synced.
    pub(super) fn state_is_synced(&self) -> bool {
        self.unsynced_state.is_none()
    }

    /// Returns when the oldest pending operation was started.
    fn oldest_started_at(&self) -> Option<Duration> {
        self.pending.front().map(|p| p.started_at)
    }

    /// Completes an operation and emits the messages that were deferred until
    /// then. Returns `None` if it is not the oldest pending operation.
    fn complete(&mut self, id: u64, tx: &mut Vec<Output>) -> Option<AfterSync> {
        if self.pending.front().is_none_or(|p| p.id != id) {
            return None;
        }
        if self.unsynced_state == Some(id) {
            self.unsynced_state = None;
        }
        while self.deferred.front().is_some_and(|h| h.op <= id) {
            tx.extend(self.deferred.pop_front().map(|h| h.output));
        }
        self.pending.pop_front().map(|p| p.after)
    }

    /// Limits pending syncs of entries to those before an index, so that replaced
    /// entries do not count as synced.
    fn cap_appends_before(&mut self, index: LogIndex) {
        for pending in &mut self.pending {
            if let AfterSync::Recovered { last } | AfterSync::Appended { last } = &mut pending.after
            {
                *last = (*last).min(index.saturating_sub(1));
            }
        }
    }
}

impl Replica {
    /// Returns whether the oldest disk operation has been pending for too long.
    /// The replica then neither leads nor campaigns.
    pub(super) fn disk_is_stalled(&self) -> bool {
        let limit = self.options.election_timeout * DISK_STALL_ELECTION_TIMEOUTS;
        let since = self.storage.oldest_started_at();
        since.is_some_and(|at| self.now >= at + limit)
    }

    fn start_write(&mut self, write: DiskWrite, after: AfterSync, tx: &mut Vec<Output>) -> u64 {
        self.storage.last_id += 1;
        let id = self.storage.last_id;
        let started_at = self.now;
        let pending = Pending {
            id,
            started_at,
            after,
        };
        self.storage.pending.push_back(pending);
        tx.push(Output::Disk(DiskOp { id, write }));
        id
    }

    /// Syncs what was recovered at the start. Nothing that depends on it is sent before:
    /// the process before may have ended between a write and its sync, and a loss of power
    /// would take that write away.
    pub(super) fn sync_recovered(&mut self, tx: &mut Vec<Output>) {
        if self.hard_state.id == 0 {
            return;
        }
        let last = self.log.last_index();
        let id = self.start_write(DiskWrite::Recovered, AfterSync::Recovered { last }, tx);
        self.storage.unsynced_state = Some(id);
    }

    /// Appends entries that directly follow the log's last one, in memory and
    /// on disk.
    pub(super) fn append_entries(&mut self, entries: Vec<LogEntry>, tx: &mut Vec<Output>) {
        let Some(last) = entries.last().map(|e| e.index) else {
            return;
        };
        entries.iter().for_each(|e| self.log.push(e.clone()));
        let after = AfterSync::Appended { last };
        self.start_write(DiskWrite::Append(entries), after, tx);
    }

    /// Removes entries from memory. On disk, the append that replaces them does
    /// so.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.storage.cap_appends_before(index);
    }

    pub(super) fn save_state(&mut self, tx: &mut Vec<Output>) {
        let write = DiskWrite::State(self.hard_state);
        let id = self.start_write(write, AfterSync::StateSaved, tx);
        self.storage.unsynced_state = Some(id);
    }

    pub(super) fn save_taken_snapshot(&mut self, snapshot: Snapshot, tx: &mut Vec<Output>) {
        let after = AfterSync::SnapshotTaken(snapshot.clone());
        self.start_write(DiskWrite::Snapshot(snapshot), after, tx);
    }

    /// Replaces the log with a leader's snapshot, in memory and on disk.
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
            self.storage.cap_appends_before(0);
        }
        let after = AfterSync::SnapshotInstalled { index, leader };
        self.start_write(DiskWrite::Snapshot(snapshot), after, tx);
    }

    pub(super) fn handle_disk_done(&mut self, done: DiskDone, tx: &mut Vec<Output>) {
        if let Err(error) = done.result {
            self.fail(&error.to_string(), tx);
            return;
        }
        let Some(after) = self.storage.complete(done.id, tx) else {
            self.fail("a disk operation finished out of order", tx);
            return;
        };
        match after {
            AfterSync::Recovered { last } | AfterSync::Appended { last } => {
                self.log.mark_synced(last);
                self.handle_append_synced(tx);
            }
            AfterSync::StateSaved => self.handle_state_synced(tx),
            AfterSync::SnapshotTaken(snapshot) => self.finish_taken_snapshot(snapshot),
            AfterSync::SnapshotInstalled { index, leader } => {
                self.log.mark_synced(index);
                self.finish_installed_snapshot(index, &leader, tx);
            }
        }
    }

    fn handle_append_synced(&mut self, tx: &mut Vec<Output>) {
        if self.leader_state.is_some() {
            self.advance_commit(tx);
        } else {
            self.report_progress(tx);
        }
    }

    /// Stops the replica permanently: it neither votes nor serves requests.
    pub(super) fn fail(&mut self, reason: &str, tx: &mut Vec<Output>) {
        self.step_down(tx);
        self.storage = Storage::new(None);
        self.election.clear_leader();
        tx.push(Output::Fault(reason.to_owned()));
        self.set_role(Role::Faulty, tx);
    }
}
