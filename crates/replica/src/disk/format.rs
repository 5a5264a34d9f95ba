//! Frame format and file names of the data folder.
//!
//! Every file is a sequence of frames. A frame has a 16-byte header (magic
//! number, payload length, payload checksum and header checksum, all
//! little-endian) followed by the payload.

use prost::Message;
use wire::{LogEntry, LogIndex, Term};

/// Version of the file format.
pub(super) const FORMAT_VERSION: u32 = 1;
/// Name of the file with the replica's id, term and vote.
pub(super) const STATE_NAME: &str = "state";
/// Suffix of files that are still being written.
pub(super) const TEMPORARY_SUFFIX: &str = ".tmp";
/// Name of the file that locks the data folder.
pub(super) const LOCK_NAME: &str = "lock";

const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const MAGIC: [u8; 4] = *b"PLH1";
const HEADER_BYTES: usize = 16;

/// First frame of a segment.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(super) struct SegmentHeader {
    /// Version of the file format.
    #[prost(uint32, tag = "1")]
    pub(super) version: u32,
    /// Last index of the log when the segment was started.
    #[prost(uint64, tag = "2")]
    pub(super) prev_index: LogIndex,
    /// Term of the entry at `prev_index`.
    #[prost(uint64, tag = "3")]
    pub(super) prev_term: Term,
}

/// Every later frame of a segment: the entries written under one sync.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Batch {
    /// Entries in index order. An entry whose index is already in the log
    /// replaces that entry and all that follow it.
    #[prost(message, repeated, tag = "1")]
    pub(super) entries: Vec<LogEntry>,
}

/// Result of reading a frame.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Frame<'a> {
    /// A complete frame with valid checksums.
    Complete {
        /// Payload of the frame.
        payload: &'a [u8],
        /// Offset of the next frame.
        next: usize,
    },
    /// The end of the file.
    End,
    /// An incomplete write that was never synced.
    Torn,
    /// Synced data that has changed, with a description.
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

/// Encodes a message as a frame. Returns `None` if it is too long for one.
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

/// Reads the frame at an offset.
///
/// Each frame is synced before the next one is written. An invalid frame is
/// therefore a torn write if nothing follows it, and corruption otherwise.
pub(super) fn read_frame(buf: &[u8], offset: usize) -> Frame<'_> {
    let rest = &buf[offset..];
    if rest.is_empty() {
        return Frame::End;
    }
    let Some((len, payload_crc)) = read_header(rest) else {
        return if contains_header(rest) {
            Frame::Corrupt("invalid frame header before a valid one")
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
        Frame::Corrupt("checksum mismatch in a frame's payload")
    }
}

/// Returns the length and checksum of the payload if the buffer starts with a
/// valid header.
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
