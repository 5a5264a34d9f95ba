//! Reopening of a data folder after an error of its disk.
//!
//! What a failed sync has left is unknown: the data may be in the cache of the system and
//! not on the disk, and no later sync of the same file tells. Everything that was synced
//! before can be read back. It is written to new files and synced again before the replica
//! goes on under its id. If it cannot be read back whole, the replica's files are set aside
//! and a new one takes its place.

use super::active_segment::ActiveSegment;
use super::error::DiskError;
use super::file::corrupt;
use super::format::{
    Batch, FORMAT_VERSION, LOCK_NAME, STATE_NAME, SegmentHeader, encode_frame, segment_name,
    snapshot_name,
};
use super::recovery::{FolderContents, Segment, recover};
use super::set_aside::{names_set_aside, set_aside};
use super::term_index::TermIndex;
use super::{Disk, MAX_BATCH_BYTES, log_set_aside};
use crate::stored::{HardState, Recovered};
use wire::LogEntry;

impl Disk {
    /// Returns whether an operation has failed, so that nothing more is written until the
    /// folder is reopened.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Reads the folder again after an error and writes its contents to new files. If
    /// anything is missing that was synced, the files are set aside and the folder is
    /// empty, as after the loss of the disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be read or written. It can be tried again.
    pub fn reopen(&mut self) -> Result<Recovered, DiskError> {
        self.failed = true;
        self.lock = None;
        self.files.create_folder(&self.folder)?;
        self.lock = Some(self.files.lock(&self.folder.join(LOCK_NAME))?);
        let mut contents = self.read_back();
        if let Err(error @ DiskError::Corrupt { .. }) = &contents {
            let prefix = set_aside(&mut self.files, &self.folder)?;
            log_set_aside(error, &self.folder, &prefix);
            (self.state, self.active) = (None, None);
            self.unsynced.clear();
            contents = self.read_back();
        }
        let mut contents = contents?;
        contents.recovered.set_aside = names_set_aside(&self.folder)?;
        self.renew(contents)
    }

    /// Reads the folder and checks that it holds what was synced.
    fn read_back(&mut self) -> Result<FolderContents, DiskError> {
        let known = self.synced();
        let contents = recover(&mut self.files, &self.folder, known)?;
        let found = contents.recovered.hard_state;
        match self.state.is_none_or(|synced| follows(found, synced)) {
            true => Ok(contents),
            false => {
                let path = self.folder.join(STATE_NAME);
                Err(corrupt(&path, 0, "the state is older than the synced one"))
            }
        }
    }

    /// Writes what was read back to new files.
    fn renew(&mut self, contents: FolderContents) -> Result<Recovered, DiskError> {
        let FolderContents {
            recovered,
            mut segments,
            snapshots,
            ..
        } = contents;
        if let Some(state) = &recovered.hard_state {
            self.save_state(state)?;
        }
        if let Some(snapshot) = &recovered.snapshot {
            let frame = encode_frame(snapshot).ok_or(DiskError::TooLong)?;
            let name = snapshot_name(snapshot.index);
            self.files.replace(&self.folder, &name, &frame)?;
        }
        let sequence = segments.last().map_or(1, |s| s.sequence + 1);
        let frames = encode_log(&recovered)?;
        let name = segment_name(sequence);
        let active = ActiveSegment::create_whole(&mut self.files, &self.folder, &name, &frames)?;
        segments.iter_mut().for_each(|s| s.max_index = 0);
        segments.push(Segment {
            sequence,
            max_index: recovered.entries.last().map_or(0, |e| e.index),
        });
        let snapshot = recovered.snapshot.as_ref();
        self.term_index = TermIndex::new(snapshot, &recovered.entries);
        self.snapshots = snapshots;
        self.segments = segments;
        self.active = Some(active);
        self.unsynced.clear();
        self.recorded = None;
        self.remove_outdated_snapshots()?;
        self.remove_covered_segments()?;
        self.failed = false;
        self.record_synced();
        Ok(recovered)
    }
}

/// Returns whether a state is the synced one, or one that was being written after it.
fn follows(found: Option<HardState>, synced: HardState) -> bool {
    found.is_some_and(|found| {
        let same_vote = found.vote == synced.vote || synced.vote == 0;
        found.id == synced.id
            && (found.cluster == synced.cluster || synced.cluster == 0)
            && (found.term > synced.term || (found.term == synced.term && same_vote))
    })
}

/// Encodes a segment that holds all entries after the snapshot.
fn encode_log(recovered: &Recovered) -> Result<Vec<u8>, DiskError> {
    let base = recovered.snapshot.as_ref();
    let header = SegmentHeader {
        version: FORMAT_VERSION,
        prev_index: base.map_or(0, |s| s.index),
        prev_term: base.map_or(0, |s| s.term),
    };
    let mut frames = encode_frame(&header).ok_or(DiskError::TooLong)?;
    let mut rest = &recovered.entries[..];
    while !rest.is_empty() {
        let (batch, later) = rest.split_at(batch_len(rest));
        let entries = batch.to_vec();
        frames.extend(encode_frame(&Batch { entries }).ok_or(DiskError::TooLong)?);
        rest = later;
    }
    Ok(frames)
}

/// Returns the number of entries in the next batch, at least one.
fn batch_len(entries: &[LogEntry]) -> usize {
    let mut bytes = 0;
    let fitting = entries.iter().take_while(|e| {
        bytes += e.command.len();
        bytes <= MAX_BATCH_BYTES
    });
    fitting.count().max(1)
}
