//! Reading a data folder at start.

use super::error::DiskError;
use super::file::{corrupt, list, read, remove, sync_folder, truncate};
use super::format::{
    Batch, FORMAT_VERSION, Frame, STATE_NAME, SegmentHeader, TEMPORARY_SUFFIX, parse_segment_name,
    parse_snapshot_name, read_frame, segment_name, snapshot_name,
};
use crate::stored::{HardState, Recovered, Snapshot};
use prost::Message;
use std::path::Path;
use wire::{LogEntry, LogIndex, Term};

/// A segment that stands in the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Segment {
    pub(super) sequence: u64,
    /// Highest index in it, or 0.
    pub(super) max_index: LogIndex,
}

/// What the folder held.
#[derive(Debug, Default)]
pub(super) struct FolderContents {
    pub(super) recovered: Recovered,
    pub(super) segments: Vec<Segment>,
}

/// Reads the whole folder. Temporary files and outdated snapshots are removed,
/// and a torn tail is cut.
pub(super) fn recover(folder: &Path) -> Result<FolderContents, DiskError> {
    let names = list(folder)?;
    remove_temporary_files(folder, &names)?;
    let hard_state = read_state(folder, &names)?;
    let snapshot = read_snapshot(folder, &names)?;
    let sequences = segment_sequences(folder, &names)?;
    let mut replay = Replay::new(snapshot.as_ref());
    let mut segments = Vec::new();
    let newest = sequences.last().copied();
    for sequence in sequences {
        let is_newest = Some(sequence) == newest;
        segments.extend(read_segment(folder, sequence, is_newest, &mut replay)?);
    }
    let has_log = snapshot.is_some() || !replay.entries.is_empty();
    check_required_files(folder, hard_state.is_some(), has_log, &segments)?;
    let recovered = Recovered {
        hard_state,
        snapshot,
        entries: replay.entries,
        fault: None,
    };
    Ok(FolderContents {
        recovered,
        segments,
    })
}

/// Refuses a folder from which a file has vanished: with identity and vote the
/// replica could vote twice, with the log it could forget what it acknowledged.
fn check_required_files(
    folder: &Path,
    has_state: bool,
    has_log: bool,
    segments: &[Segment],
) -> Result<(), DiskError> {
    if has_state && segments.is_empty() {
        return Err(corrupt(folder, 0, "all segments are missing"));
    }
    if has_log && !has_state {
        return Err(corrupt(folder, 0, "the state file is missing"));
    }
    Ok(())
}

fn remove_temporary_files(folder: &Path, names: &[String]) -> Result<(), DiskError> {
    let temporary = names.iter().filter(|n| n.ends_with(TEMPORARY_SUFFIX));
    for name in temporary {
        remove(&folder.join(name))?;
    }
    Ok(())
}

fn read_state(folder: &Path, names: &[String]) -> Result<Option<HardState>, DiskError> {
    if !names.iter().any(|n| n == STATE_NAME) {
        return Ok(None);
    }
    read_single_frame::<HardState>(&folder.join(STATE_NAME)).map(Some)
}

fn read_snapshot(folder: &Path, names: &[String]) -> Result<Option<Snapshot>, DiskError> {
    let mut indexes: Vec<LogIndex> = names
        .iter()
        .filter_map(|n| parse_snapshot_name(n))
        .collect();
    indexes.sort_unstable();
    let Some(newest) = indexes.pop() else {
        return Ok(None);
    };
    let snapshot = read_single_frame::<Snapshot>(&folder.join(snapshot_name(newest)))?;
    for index in indexes {
        remove(&folder.join(snapshot_name(index)))?;
    }
    Ok(Some(snapshot))
}

/// Reads a file of one frame. Such files are renamed into place after a sync,
/// so a torn one is damaged as well.
fn read_single_frame<M: Message + Default>(path: &Path) -> Result<M, DiskError> {
    let buf = read(path)?;
    match read_frame(&buf, 0) {
        Frame::Complete { payload, next } if next == buf.len() => decode(path, 0, payload),
        _ => Err(corrupt(path, 0, "the file is not one whole frame")),
    }
}

fn decode<M: Message + Default>(
    path: &Path,
    offset: usize,
    payload: &[u8],
) -> Result<M, DiskError> {
    M::decode(payload).map_err(|_| corrupt(path, offset, "the payload can't be decoded"))
}

/// Returns the numbers of the segments; only the oldest are ever removed, so
/// there can't be a gap.
fn segment_sequences(folder: &Path, names: &[String]) -> Result<Vec<u64>, DiskError> {
    let mut sequences: Vec<u64> = names.iter().filter_map(|n| parse_segment_name(n)).collect();
    sequences.sort_unstable();
    if sequences.windows(2).any(|pair| pair[0] + 1 != pair[1]) {
        return Err(corrupt(folder, 0, "a segment is missing"));
    }
    Ok(sequences)
}

/// Replays a segment. Returns `None` when it was removed, because not even its
/// header was whole.
fn read_segment(
    folder: &Path,
    sequence: u64,
    is_newest: bool,
    replay: &mut Replay,
) -> Result<Option<Segment>, DiskError> {
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
            Frame::End if offset > 0 => return Ok(Some(segment)),
            Frame::End | Frame::Torn if is_newest => {
                let has_header = truncate_torn_tail(folder, &path, offset)?;
                return Ok(has_header.then_some(segment));
            }
            Frame::End | Frame::Torn => {
                return Err(corrupt(&path, offset, "an older segment is cut off"));
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

/// Cuts the remains of a torn write off, or removes the segment if not even its
/// header is whole. Returns whether it still stands there.
fn truncate_torn_tail(folder: &Path, path: &Path, offset: usize) -> Result<bool, DiskError> {
    log::warn!("event=log_tail_cut file={} at={offset}", path.display());
    if offset > 0 {
        truncate(path, offset)?;
        return Ok(true);
    }
    remove(path)?;
    sync_folder(folder)?;
    Ok(false)
}

/// Rebuilds the entries after a snapshot out of what was appended.
#[derive(Debug)]
struct Replay {
    base: LogIndex,
    base_term: Term,
    entries: Vec<LogEntry>,
    /// Whether the entry at the base differs from the snapshot: then what
    /// follows it differs as well, and is void.
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

    /// Begins a segment: the log ended where its header says.
    fn start_segment(&mut self, header: &SegmentHeader) -> Result<(), &'static str> {
        if header.version != FORMAT_VERSION {
            return Err("unknown version of the format");
        }
        if header.prev_index <= self.base {
            self.entries.clear();
            self.diverged = false;
        } else if !self.diverged && self.last() != (header.prev_index, header.prev_term) {
            return Err("entries are missing before this segment");
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
            return Err("entries are missing");
        }
        self.entries.truncate(kept);
        self.entries.push(entry);
        Ok(())
    }
}
