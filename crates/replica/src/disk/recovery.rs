//! Recovery of a replica's state from its data folder at start.
//!
//! What is read may be in the cache of the system only: the process before may have ended
//! between a write and its sync. It has to be synced before anything depends on it, the
//! removal of outdated files included.

use super::error::DiskError;
use super::file::{Files, corrupt, list, read, read_start};
use super::format::{
    Batch, FORMAT_VERSION, Frame, STATE_NAME, SegmentHeader, TEMPORARY_SUFFIX, parse_segment_name,
    parse_snapshot_name, read_frame, segment_name, snapshot_name,
};
use super::synced_record::Synced;
use crate::stored::{HardState, Recovered, Snapshot};
use prost::Message;
use std::path::{Path, PathBuf};
use wire::{LogEntry, LogIndex, Term};

/// Maximum length of the frame that holds a segment's header.
const MAX_HEADER_BYTES: u64 = 256;

/// A segment file in the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Segment {
    pub(super) sequence: u64,
    /// Highest index in the segment, or 0 if it has no entries.
    pub(super) max_index: LogIndex,
}

/// Recovered state and files of a data folder.
#[derive(Debug, Default)]
pub(super) struct FolderContents {
    pub(super) recovered: Recovered,
    pub(super) segments: Vec<Segment>,
    /// Indexes of the snapshots in ascending order. All but the last are outdated.
    pub(super) snapshots: Vec<LogIndex>,
    /// Files that the recovered state was read from, which may not be synced.
    pub(super) sources: Vec<PathBuf>,
}

/// Reads all files of the folder, removes temporary files, and truncates a torn tail.
/// `known` states what is synced if the record of it
/// may be outdated.
pub(super) fn recover(
    files: &mut Files,
    folder: &Path,
    known: Option<Synced>,
) -> Result<FolderContents, DiskError> {
    let names = list(folder)?;
    remove_temporary_files(files, folder, &names)?;
    let hard_state = read_state(folder, &names)?;
    let snapshots = snapshot_indexes(&names);
    let snapshot = read_snapshot(folder, &snapshots)?;
    let sequences = segment_sequences(folder, &names)?;
    let recorded = Synced::read(folder, &names)?;
    let synced = known.or(recorded);
    let mut replay = Replay::new(snapshot.as_ref());
    let mut segments = Vec::new();
    let newest = sequences.last().copied();
    if synced.is_some_and(|s| newest.is_none_or(|newest| newest < s.sequence)) {
        return Err(corrupt(folder, 0, "the newest log segment is missing"));
    }
    let first = first_needed(folder, &sequences, replay.base)?;
    for sequence in sequences {
        if sequence < first {
            segments.push(Segment {
                sequence,
                max_index: 0,
            });
            continue;
        }
        let source = SegmentSource {
            folder,
            sequence,
            is_newest: Some(sequence) == newest,
            synced_len: synced.map_or(0, |s| s.len_of(sequence)),
        };
        segments.extend(read_segment(files, source, &mut replay)?);
    }
    let has_log = snapshot.is_some() || !replay.entries.is_empty();
    check_required_files(folder, hard_state.is_some(), has_log, &segments)?;
    let state_name = hard_state.map(|_| STATE_NAME.to_owned());
    let snapshot_name = snapshots.last().copied().map(snapshot_name);
    let read_segments = segments.iter().map(|s| s.sequence);
    let read_segments = read_segments.filter(|sequence| *sequence >= first);
    let sources = state_name
        .into_iter()
        .chain(snapshot_name)
        .chain(read_segments.map(segment_name))
        .map(|name| folder.join(name))
        .collect();
    let recovered = Recovered {
        hard_state,
        snapshot,
        entries: replay.entries,
        ..Recovered::default()
    };
    Ok(FolderContents {
        recovered,
        segments,
        snapshots,
        sources,
    })
}

/// Rejects a folder with missing files. Without the state file the replica
/// could vote twice in a term; without the log it could lose entries that it
/// has acknowledged.
fn check_required_files(
    folder: &Path,
    has_state: bool,
    has_log: bool,
    segments: &[Segment],
) -> Result<(), DiskError> {
    if has_state && segments.is_empty() {
        return Err(corrupt(folder, 0, "all log segments are missing"));
    }
    if has_log && !has_state {
        return Err(corrupt(folder, 0, "the state file is missing"));
    }
    Ok(())
}

fn remove_temporary_files(
    files: &mut Files,
    folder: &Path,
    names: &[String],
) -> Result<(), DiskError> {
    let temporary = names.iter().filter(|n| n.ends_with(TEMPORARY_SUFFIX));
    for name in temporary {
        files.remove(&folder.join(name))?;
    }
    Ok(())
}

fn read_state(folder: &Path, names: &[String]) -> Result<Option<HardState>, DiskError> {
    if !names.iter().any(|n| n == STATE_NAME) {
        return Ok(None);
    }
    read_single_frame::<HardState>(&folder.join(STATE_NAME)).map(Some)
}

fn snapshot_indexes(names: &[String]) -> Vec<LogIndex> {
    let indexes = names.iter().filter_map(|n| parse_snapshot_name(n));
    let mut indexes: Vec<LogIndex> = indexes.collect();
    indexes.sort_unstable();
    indexes
}

/// Reads the newest snapshot.
fn read_snapshot(folder: &Path, indexes: &[LogIndex]) -> Result<Option<Snapshot>, DiskError> {
    let Some(newest) = indexes.last() else {
        return Ok(None);
    };
    read_single_frame::<Snapshot>(&folder.join(snapshot_name(*newest))).map(Some)
}

/// Reads a file that consists of one frame. Such files are synced before they
/// are renamed into place, so an incomplete frame is corruption.
fn read_single_frame<M: Message + Default>(path: &Path) -> Result<M, DiskError> {
    let buf = read(path)?;
    match read_frame(&buf, 0) {
        Frame::Complete { payload, next } if next == buf.len() => decode(path, 0, payload),
        _ => Err(corrupt(
            path,
            0,
            "the file does not consist of one valid frame",
        )),
    }
}

fn decode<M: Message + Default>(
    path: &Path,
    offset: usize,
    payload: &[u8],
) -> Result<M, DiskError> {
    M::decode(payload).map_err(|_| corrupt(path, offset, "a frame's payload cannot be decoded"))
}

/// Returns the sequence numbers of the segments. Only the oldest segments are
/// ever removed, so a gap means that a segment is missing.
fn segment_sequences(folder: &Path, names: &[String]) -> Result<Vec<u64>, DiskError> {
    let mut sequences: Vec<u64> = names.iter().filter_map(|n| parse_segment_name(n)).collect();
    sequences.sort_unstable();
    if sequences.windows(2).any(|pair| pair[0] + 1 != pair[1]) {
        return Err(corrupt(folder, 0, "a log segment is missing"));
    }
    Ok(sequences)
}

/// Returns the newest segment that starts no later than after the snapshot. Nothing in
/// older ones is part of the log.
fn first_needed(folder: &Path, sequences: &[u64], base: LogIndex) -> Result<u64, DiskError> {
    for sequence in sequences.iter().rev().copied() {
        let header = read_header(&folder.join(segment_name(sequence)))?;
        if header.is_some_and(|h| h.prev_index <= base) {
            return Ok(sequence);
        }
    }
    Ok(0)
}

/// Reads the header of a segment. Returns `None` if it is incomplete or invalid.
fn read_header(path: &Path) -> Result<Option<SegmentHeader>, DiskError> {
    let buf = read_start(path, MAX_HEADER_BYTES)?;
    let Frame::Complete { payload, .. } = read_frame(&buf, 0) else {
        return Ok(None);
    };
    Ok(SegmentHeader::decode(payload).ok())
}

/// A segment to read.
#[derive(Clone, Copy)]
struct SegmentSource<'a> {
    folder: &'a Path,
    sequence: u64,
    is_newest: bool,
    /// Bytes that are known to be synced.
    synced_len: usize,
}

/// Replays a segment. Returns `None` if the segment was removed because its
/// header was incomplete.
fn read_segment(
    files: &mut Files,
    source: SegmentSource<'_>,
    replay: &mut Replay,
) -> Result<Option<Segment>, DiskError> {
    let SegmentSource {
        folder,
        sequence,
        is_newest,
        synced_len,
    } = source;
    let path = folder.join(segment_name(sequence));
    let buf = read(&path)?;
    let mut segment = Segment {
        sequence,
        max_index: 0,
    };
    let mut offset = 0;
    loop {
        match read_frame(&buf, offset) {
            Frame::Complete { payload, next } => {
                replay_frame(&path, offset, payload, &mut segment, replay)?;
                offset = next;
            }
            Frame::End | Frame::Torn if offset < synced_len => {
                return Err(corrupt(&path, offset, "synced data is missing or changed"));
            }
            Frame::End if offset > 0 => return Ok(Some(segment)),
            Frame::End | Frame::Torn if is_newest => {
                let has_header = truncate_torn_tail(files, folder, &path, offset)?;
                return Ok(has_header.then_some(segment));
            }
            Frame::End | Frame::Torn => {
                return Err(corrupt(
                    &path,
                    offset,
                    "incomplete frame in a segment that is not the newest",
                ));
            }
            Frame::Corrupt(reason) => return Err(corrupt(&path, offset, reason)),
        }
    }
}

fn replay_frame(
    path: &Path,
    offset: usize,
    payload: &[u8],
    segment: &mut Segment,
    replay: &mut Replay,
) -> Result<(), DiskError> {
    if offset == 0 {
        let header: SegmentHeader = decode(path, offset, payload)?;
        if header.version != FORMAT_VERSION {
            let path = path.display().to_string();
            return Err(DiskError::UnknownFormat { path });
        }
        let started = replay.start_segment(&header);
        return started.map_err(|reason| corrupt(path, offset, reason));
    }
    let batch: Batch = decode(path, offset, payload)?;
    for entry in batch.entries {
        segment.max_index = segment.max_index.max(entry.index);
        let added = replay.add_entry(entry);
        added.map_err(|reason| corrupt(path, offset, reason))?;
    }
    Ok(())
}

/// Truncates a torn write, or removes the segment if its header is incomplete.
/// Returns whether the segment still exists.
fn truncate_torn_tail(
    files: &mut Files,
    folder: &Path,
    path: &Path,
    offset: usize,
) -> Result<bool, DiskError> {
    log::warn!("event=log_tail_cut file={} at={offset}", path.display());
    if offset > 0 {
        files.truncate(path, offset)?;
        return Ok(true);
    }
    files.remove(path)?;
    files.sync_folder(folder)?;
    Ok(false)
}

/// Rebuilds the entries after the snapshot by replaying the appends.
#[derive(Debug)]
struct Replay {
    base: LogIndex,
    base_term: Term,
    entries: Vec<LogEntry>,
    /// Whether the entry at the snapshot's index has another term than the
    /// snapshot. Entries that follow it are then invalid and skipped.
    diverged: bool,
}

impl Replay {
    fn new(snapshot: Option<&Snapshot>) -> Self {
        let (base, base_term) = snapshot.map_or((0, 0), |s| (s.index, s.term));
        Self {
            base,
            base_term,
            entries: Vec::new(),
            diverged: false,
        }
    }

    fn last(&self) -> (LogIndex, Term) {
        let last = self.entries.last();
        last.map_or((self.base, self.base_term), |e| (e.index, e.term))
    }

    /// Starts a segment after checking that the replayed log ends where the
    /// segment's header says.
    fn start_segment(&mut self, header: &SegmentHeader) -> Result<(), &'static str> {
        if header.prev_index <= self.base {
            self.entries.clear();
            self.diverged = false;
        } else if !self.diverged && self.last() != (header.prev_index, header.prev_term) {
            return Err("log entries are missing before this segment");
        }
        Ok(())
    }

    fn add_entry(&mut self, entry: LogEntry) -> Result<(), &'static str> {
        if entry.index <= self.base {
            self.entries.clear();
            self.diverged = entry.index == self.base && entry.term != self.base_term;
            return Ok(());
        }
        if self.diverged {
            return Ok(());
        }
        let kept = usize::try_from(entry.index - self.base - 1).unwrap_or(usize::MAX);
        if kept > self.entries.len() {
            return Err("log entries are missing before this entry");
        }
        self.entries.truncate(kept);
        self.entries.push(entry);
        Ok(())
    }
}
