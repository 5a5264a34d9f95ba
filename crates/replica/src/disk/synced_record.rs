//! Record of what has been synced, which tells a torn write from lost data.
//!
//! It states the newest segment and how many of its bytes are synced. It is written after
//! the sync and not synced itself, so it may state less than is synced, but never more.
//! After a loss of power it may be missing, outdated or torn.

use super::error::DiskError;
use super::file::{Files, read};
use std::path::Path;

/// Name of the file.
pub(super) const SYNCED_NAME: &str = "synced";
const VALUES_BYTES: usize = 16;
const RECORD_BYTES: usize = VALUES_BYTES + 4;

/// Bytes of a segment that are synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Synced {
    pub(super) sequence: u64,
    pub(super) len: u64,
}

impl Synced {
    /// Writes the record.
    pub(super) fn write(self, files: &mut Files, folder: &Path) -> Result<(), DiskError> {
        let mut buf = [0; RECORD_BYTES];
        buf[..8].copy_from_slice(&self.sequence.to_le_bytes());
        buf[8..VALUES_BYTES].copy_from_slice(&self.len.to_le_bytes());
        let crc = crc32fast::hash(&buf[..VALUES_BYTES]);
        buf[VALUES_BYTES..].copy_from_slice(&crc.to_le_bytes());
        files.overwrite(&folder.join(SYNCED_NAME), &buf)
    }

    /// Reads the record. Returns `None` if there is none or it is invalid.
    pub(super) fn read(folder: &Path, names: &[String]) -> Result<Option<Self>, DiskError> {
        if !names.iter().any(|name| name == SYNCED_NAME) {
            return Ok(None);
        }
        let buf = read(&folder.join(SYNCED_NAME))?;
        Ok(decode(&buf))
    }

    /// Returns how many bytes of a segment are synced at least.
    pub(super) fn len_of(self, sequence: u64) -> usize {
        match self.sequence == sequence {
            true => usize::try_from(self.len).unwrap_or(usize::MAX),
            false => 0,
        }
    }
}

fn decode(buf: &[u8]) -> Option<Synced> {
    let (values, crc) = buf.split_at_checked(VALUES_BYTES)?;
    if crc != crc32fast::hash(values).to_le_bytes() {
        return None;
    }
    let (sequence, len) = values.split_at(8);
    Some(Synced {
        sequence: u64::from_le_bytes(sequence.try_into().ok()?),
        len: u64::from_le_bytes(len.try_into().ok()?),
    })
}
