//! Frames and file names of the data folder.
//!
//! Every file is made of frames: a header of magic number, length, checksum of
//! the payload and checksum of the header, all little-endian, then the payload.

use prost::Message;
use wire::{LogEntry, LogIndex, Term};

/// Version of the format.
pub(super) const FORMAT_VERSION: u32 = 1;
/// File of identity, term and vote.
pub(super) const STATE_NAME: &str = "state";
/// Ending of files that are not whole yet.
pub(super) const TEMPORARY_SUFFIX: &str = ".tmp";
/// File that an open data folder is locked by.
pub(super) const LOCK_NAME: &str = "lock";

const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const MAGIC: [u8; 4] = *b"PLH1";
const HEADER_BYTES: usize = 16;

/// First frame of a segment.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(super) struct SegmentHeader {
    /// Version of the format.
    #[prost(uint32, tag = "1")]
    pub(super) version: u32,
    /// Last index of the log when the segment was begun.
    #[prost(uint64, tag = "2")]
    pub(super) prev_index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub(super) prev_term: Term,
}

/// A further frame of a segment: what was written under one sync.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Batch {
    /// The entries; one whose index is in the log already replaces it and all
    /// that follow.
    #[prost(message, repeated, tag = "1")]
    pub(super) entries: Vec<LogEntry>,
}

/// What stands at a position of a file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Frame<'a> {
    /// A whole frame.
    Complete {
        /// Its payload.
        payload: &'a [u8],
        /// Position of the next one.
        next: usize,
    },
    /// Nothing.
    End,
    /// The remains of a write that was not synced.
    Torn,
    /// Something that was synced and has changed.
    Corrupt(&'static str),
}

pub(super) fn segment_name(sequence: u64) -> String {
    format!("{SEGMENT_PREFIX}{sequence:020}")
}

pub(super) fn snapshot_name(index: LogIndex) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

pub(super) fn parse_segment_name(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
}

pub(super) fn parse_snapshot_name(name: &str) -> Option<LogIndex> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok()
}

/// Encodes a message as a frame; `None` when it is too long for one.
pub(super) fn encode_frame(message: &impl Message) -> Option<Vec<u8>> {
    let len = message.encoded_len();
    let prefix = u32::try_from(len).ok()?;
    let mut buf = Vec::with_capacity(HEADER_BYTES + len);
    buf.resize(HEADER_BYTES, 0);
    message.encode(&mut buf).ok()?;
    let payload_crc = crc32fast::hash(&buf[HEADER_BYTES..]);
    buf[..4].copy_from_slice(&MAGIC);
    buf[4..8].copy_from_slice(&prefix.to_le_bytes());
    buf[8..12].copy_from_slice(&payload_crc.to_le_bytes());
    let header_crc = crc32fast::hash(&buf[..12]);
    buf[12..16].copy_from_slice(&header_crc.to_le_bytes());
    Some(buf)
}

/// Reads the frame at a position.
///
/// A frame is written only after the one before it was synced. So a frame that
/// is not whole is the remains of a torn write if nothing was written after
/// it, and damage otherwise.
pub(super) fn read_frame(buf: &[u8], offset: usize) -> Frame<'_> {
    let rest = &buf[offset..];
    if rest.is_empty() {
        return Frame::End;
    }
    let Some((len, payload_crc)) = read_header(rest) else {
        return if contains_header(rest) {
            Frame::Corrupt("a frame's header has changed")
        } else {
            Frame::Torn
        };
    };
    let end = HEADER_BYTES + len;
    let Some(payload) = rest.get(HEADER_BYTES..end) else {
        return Frame::Torn;
    };
    if crc32fast::hash(payload) == payload_crc {
        let next = offset + end;
        return Frame::Complete { payload, next };
    }
    if rest.len() == end {
        Frame::Torn
    } else {
        Frame::Corrupt("a frame's payload has changed")
    }
}

/// Returns length and checksum of the payload, if a header stands there.
fn read_header(buf: &[u8]) -> Option<(usize, u32)> {
    let header = buf.get(..HEADER_BYTES)?;
    let valid = header[..4] == MAGIC && crc32fast::hash(&header[..12]) == read_u32(header, 12);
    valid.then(|| (read_u32(header, 4) as usize, read_u32(header, 8)))
}

fn contains_header(buf: &[u8]) -> bool {
    (0..buf.len()).any(|i| buf[i..].starts_with(&MAGIC) && read_header(&buf[i..]).is_some())
}

fn read_u32(header: &[u8], at: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&header[at..at + 4]);
    u32::from_le_bytes(bytes)
}
