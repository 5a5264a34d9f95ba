//! Storage of a replica in its data folder.
//!
//! | file | contents |
//! |---|---|
//! | `state` | replica id, cluster id, term and vote |
//! | `snapshot-INDEX` | the newest snapshot |
//! | `log-SEQUENCE` | a segment of the log |
//! | `synced` | how much of the newest segment is synced |
//! | `lock` | empty; locked while the folder is open |
//! | `damaged-NUMBER-NAME` | file of an earlier replica whose folder was found corrupt |
//!
//! `state` and the snapshot are written to a temporary file, synced and
//! renamed. Segments are append-only: a suffix of the log is replaced by
//! appending the new entries. Compaction removes complete segments, because
//! removing a file costs the same whatever its length, while rewriting the log
//! would copy up to a full segment between two syncs. Saving a snapshot starts
//! a new segment, and the oldest segments are removed once a snapshot covers
//! all their entries. At start, the replica therefore reads the snapshot, the
//! entries after it and at most one segment of older entries.
//!
//! Everything written under one sync is one frame with one checksum, and is
//! synced before the next frame is written. An incomplete or invalid frame is
//! therefore a torn write only if nothing follows it; anywhere else it is
//! corruption. So it is where `synced` states that the frame was synced. Only
//! when the process ended between a sync and the record of it, or power was lost
//! after it, can a changed byte in the last frame not be distinguished from a
//! torn write.
//!
//! A write for which the disk has no space, or the process no descriptor, is undone and
//! tried again until there is one. To the replica this is a disk that takes long: it must
//! not end its part in the cluster, because the other replicas' disks may fill up next.
//! Any other error does until the folder has been read again and everything in it has been
//! written to new files, since what a failed sync has left on the disk is unknown.
//!
//! A process may end between a write and its sync. What is read at the start is therefore
//! synced by the first operation, [`DiskWrite::Recovered`] or any other, before it writes.

mod active_segment;
mod error;
mod file;
mod format;
mod recovery;
mod reopen;
mod set_aside;
mod synced_record;
mod term_index;

pub use error::DiskError;
pub use file::{FaultInjector, FileOp};

use crate::io::{DiskDone, DiskOp, DiskWrite};
use crate::stored::{HardState, Recovered, Snapshot};
use active_segment::ActiveSegment;
use file::Files;
use format::{
    Batch, FORMAT_VERSION, LOCK_NAME, STATE_NAME, SegmentHeader, encode_frame, segment_name,
    snapshot_name,
};
use recovery::{FolderContents, Segment, recover};
use set_aside::{names_set_aside, set_aside};
use std::collections::VecDeque;
use std::fs::File;
use std::path::{Path, PathBuf};
use synced_record::Synced;
use term_index::TermIndex;
use wire::LogEntry;

/// Segment length at which a new segment is started.
const SEGMENT_BYTES: usize = 8 * 1024 * 1024;
/// Maximum bytes of commands under one sync.
const MAX_BATCH_BYTES: usize = 16 * 1024 * 1024;

/// An open data folder.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    files: Files,
    segments: Vec<Segment>,
    /// The segment being written; `None` until the first write after the start.
    active: Option<ActiveSegment>,
    /// Files that were read at the start and not synced since.
    unsynced: Vec<PathBuf>,
    term_index: TermIndex,
    /// Indexes of the snapshots in the folder. All but the newest are outdated.
    snapshots: Vec<u64>,
    /// What the record of synced bytes states, if it was written since the start.
    recorded: Option<Synced>,
    /// Id, term and vote as last synced.
    state: Option<HardState>,
    failed: bool,
    lock: Option<File>,
}

impl Disk {
    /// Opens a data folder, creating it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is already open, cannot be read or
    /// written, or contains corrupt data.
    pub fn open(path: &Path) -> Result<(Self, Recovered), DiskError> {
        Self::open_with(path, Files::default(), false)
    }

    /// Opens a data folder as [`Disk::open`] does. If it contains corrupt data, its files
    /// are set aside and the folder is empty, as after the loss of the disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is already open, cannot be read or written, or was
    /// written by a version whose format is unknown.
    pub fn open_or_set_aside(path: &Path) -> Result<(Self, Recovered), DiskError> {
        Self::open_with(path, Files::default(), true)
    }

    /// Opens a data folder whose file operations can be made to fail, for tests.
    ///
    /// # Errors
    ///
    /// As [`Disk::open`].
    pub fn open_with_faults(
        path: &Path,
        inject_fault: FaultInjector,
    ) -> Result<(Self, Recovered), DiskError> {
        Self::open_with(path, Files::with_faults(inject_fault), false)
    }

    fn open_with(
        path: &Path,
        mut files: Files,
        sets_aside: bool,
    ) -> Result<(Self, Recovered), DiskError> {
        files.create_folder(path)?;
        let lock = files.lock(&path.join(LOCK_NAME))?;
        let mut contents = recover(&mut files, path, None);
        if sets_aside && let Err(error @ DiskError::Corrupt { .. }) = &contents {
            let prefix = set_aside(&mut files, path)?;
            log_set_aside(error, path, &prefix);
            contents = recover(&mut files, path, None);
        }
        let FolderContents {
            mut recovered,
            segments,
            snapshots,
            sources,
        } = contents?;
        if recovered.hard_state.is_none() {
            // The process that created the folder may have ended before it synced its name.
            files.sync_parent(path)?;
        }
        recovered.set_aside = names_set_aside(path)?;
        let snapshot = recovered.snapshot.as_ref();
        let disk = Self {
            folder: path.to_owned(),
            files,
            segments,
            active: None,
            unsynced: sources,
            term_index: TermIndex::new(snapshot, &recovered.entries),
            snapshots,
            recorded: None,
            state: recovered.hard_state,
            failed: false,
            lock: Some(lock),
        };
        Ok((disk, recovered))
    }

    /// Performs one operation and syncs it. Calls `wait` with the reason before it tries
    /// again after a temporary error.
    pub fn perform(&mut self, op: DiskOp, wait: impl FnMut(&DiskError)) -> DiskDone {
        let id = op.id;
        let result = self.perform_writes(vec![op.write], wait);
        DiskDone { id, result }
    }

    /// Performs operations in order with as few syncs as possible. Consecutive
    /// appends share a sync, and only the last of consecutive state updates is
    /// written. Calls `wait` with the reason before it tries again after a temporary
    /// error. Nothing more is written after any other error.
    pub fn perform_batch(
        &mut self,
        ops: Vec<DiskOp>,
        mut wait: impl FnMut(&DiskError),
    ) -> Vec<DiskDone> {
        let mut ops = VecDeque::from(ops);
        let mut done = Vec::with_capacity(ops.len());
        while !ops.is_empty() {
            let (ids, writes): (Vec<u64>, Vec<DiskWrite>) = take_sync_group(&mut ops)
                .map(|op| (op.id, op.write))
                .unzip();
            let result = self.perform_writes(writes, &mut wait);
            done.extend(ids.into_iter().map(|id| DiskDone {
                id,
                result: result.clone(),
            }));
        }
        done
    }

    /// Records how much of the log is synced, so that damage to it is not taken for a torn
    /// write. Without the record, only less is told apart.
    pub fn record_synced(&mut self) {
        let Some(synced) = self.synced() else {
            return;
        };
        if self.failed || self.recorded == Some(synced) {
            return;
        }
        if let Err(reason) = synced.write(&mut self.files, &self.folder) {
            log::warn!("event=synced_record_failed reason=\"{reason}\"");
        }
        self.recorded = Some(synced);
    }

    /// Returns how much of the newest segment is synced, if it was written since the start.
    fn synced(&self) -> Option<Synced> {
        let (segment, active) = (self.segments.last()?, self.active.as_ref()?);
        Some(Synced {
            sequence: segment.sequence,
            len: active.len() as u64,
        })
    }

    /// Performs one write, several appends, or the last of several state
    /// updates.
    fn perform_writes(
        &mut self,
        mut writes: Vec<DiskWrite>,
        mut wait: impl FnMut(&DiskError),
    ) -> Result<(), DiskError> {
        if self.failed {
            return Err(DiskError::Stopped);
        }
        let write = match writes.pop() {
            Some(append @ DiskWrite::Append(_)) => {
                writes.push(append);
                DiskWrite::Append(writes.into_iter().flat_map(entries_of).collect())
            }
            Some(write) => write,
            None => return Ok(()),
        };
        loop {
            match self.write(&write) {
                Err(reason) if reason.is_temporary() => wait(&reason),
                result => {
                    self.failed = result.is_err();
                    return result;
                }
            }
        }
    }

    /// Performs a write. After a temporary error it can be tried again.
    fn write(&mut self, write: &DiskWrite) -> Result<(), DiskError> {
        self.sync_recovered()?;
        let writes = !matches!(write, DiskWrite::Recovered);
        if writes && self.active.is_none() {
            self.remove_outdated_snapshots()?;
            self.start_segment()?;
            self.remove_covered_segments()?;
        }
        match write {
            DiskWrite::Recovered => Ok(()),
            DiskWrite::State(state) => self.save_state(state),
            DiskWrite::Snapshot(snapshot) => self.save_snapshot(snapshot),
            DiskWrite::Append(entries) => self.append(entries),
        }
    }

    /// Syncs the files that were read at the start, and their names.
    fn sync_recovered(&mut self) -> Result<(), DiskError> {
        if self.unsynced.is_empty() {
            return Ok(());
        }
        for path in &self.unsynced {
            self.files.sync(path)?;
        }
        self.files.sync_folder(&self.folder)?;
        self.unsynced.clear();
        Ok(())
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), DiskError> {
        if self
            .active
            .as_ref()
            .is_some_and(|a| a.len() >= SEGMENT_BYTES)
        {
            self.start_segment()?;
        }
        let batch = Batch {
            entries: entries.to_vec(),
        };
        let frame = encode_frame(&batch).ok_or(DiskError::TooLong)?;
        let (Some(segment), Some(active)) = (self.segments.last_mut(), &mut self.active) else {
            return Err(DiskError::Stopped);
        };
        active.append(&mut self.files, &frame)?;
        for entry in entries {
            segment.max_index = segment.max_index.max(entry.index);
            self.term_index.push(entry);
        }
        Ok(())
    }

    fn save_state(&mut self, state: &HardState) -> Result<(), DiskError> {
        let frame = encode_frame(state).ok_or(DiskError::TooLong)?;
        self.files.replace(&self.folder, STATE_NAME, &frame)?;
        self.state = Some(*state);
        Ok(())
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), DiskError> {
        if self.snapshots.last() != Some(&snapshot.index) {
            let frame = encode_frame(snapshot).ok_or(DiskError::TooLong)?;
            let name = snapshot_name(snapshot.index);
            self.files.replace(&self.folder, &name, &frame)?;
            if !self.term_index.contains(snapshot.index, snapshot.term) {
                self.term_index = TermIndex::at(snapshot.index, snapshot.term);
            }
            self.start_segment()?;
            self.snapshots.push(snapshot.index);
        }
        self.remove_outdated_snapshots()?;
        self.remove_covered_segments()
    }

    /// Starts a segment at the end of the log.
    fn start_segment(&mut self) -> Result<(), DiskError> {
        let (prev_index, prev_term) = self.term_index.last();
        let header = SegmentHeader {
            version: FORMAT_VERSION,
            prev_index,
            prev_term,
        };
        let frame = encode_frame(&header).ok_or(DiskError::TooLong)?;
        let sequence = self.segments.last().map_or(1, |s| s.sequence + 1);
        let path = self.folder.join(segment_name(sequence));
        self.active = Some(ActiveSegment::create(&mut self.files, path, &frame)?);
        self.segments.push(Segment {
            sequence,
            max_index: 0,
        });
        Ok(())
    }

    fn remove_outdated_snapshots(&mut self) -> Result<(), DiskError> {
        while let [outdated, _, ..] = self.snapshots[..] {
            let path = self.folder.join(snapshot_name(outdated));
            self.files.remove(&path)?;
            self.snapshots.remove(0);
        }
        Ok(())
    }

    /// Removes the oldest segments whose entries are all covered by the
    /// snapshot.
    fn remove_covered_segments(&mut self) -> Result<(), DiskError> {
        let base = self.snapshots.last().copied().unwrap_or(0);
        let older = self.segments.len().saturating_sub(1);
        let covered = self.segments[..older]
            .iter()
            .take_while(|s| s.max_index <= base)
            .count();
        for _ in 0..covered {
            let path = self.folder.join(segment_name(self.segments[0].sequence));
            self.files.remove(&path)?;
            self.segments.remove(0);
            // After a loss of power, a later removal could be kept and an earlier lost.
            self.files.sync_folder(&self.folder)?;
        }
        Ok(())
    }
}

fn log_set_aside(error: &DiskError, folder: &Path, prefix: &str) {
    if let DiskError::Corrupt {
        path,
        offset,
        reason,
    } = error
    {
        log::error!(
            "event=data_folder_set_aside file={path} offset={offset} reason=\"{reason}\" kept={}/{prefix}*",
            folder.display()
        );
    }
}

fn entries_of(write: DiskWrite) -> Vec<LogEntry> {
    match write {
        DiskWrite::Append(entries) => entries,
        DiskWrite::State(_) | DiskWrite::Snapshot(_) | DiskWrite::Recovered => Vec::new(),
    }
}

/// Takes the operations that share the next sync: appends of up to
/// [`MAX_BATCH_BYTES`], consecutive state updates, or a single operation.
fn take_sync_group(ops: &mut VecDeque<DiskOp>) -> impl Iterator<Item = DiskOp> {
    let mut bytes = 0;
    let appends = ops.iter().take_while(|op| {
        let size = append_size(&op.write);
        bytes += size.unwrap_or(0);
        size.is_some() && bytes <= MAX_BATCH_BYTES
    });
    let states = ops
        .iter()
        .take_while(|op| matches!(op.write, DiskWrite::State(_)));
    let len = appends.count().max(states.count()).max(1);
    ops.drain(..len)
}

/// Returns the bytes of commands in an append, or `None` for other writes.
fn append_size(write: &DiskWrite) -> Option<usize> {
    let DiskWrite::Append(entries) = write else {
        return None;
    };
    Some(entries.iter().map(|e| e.command.len()).sum())
}
