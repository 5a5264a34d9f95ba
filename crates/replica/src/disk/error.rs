//! Why a data folder can't be used.

use std::fmt;
use std::io::ErrorKind;

/// Why a data folder can't be used any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// No space is left.
    Full,
    /// Reading, writing or syncing failed.
    Io {
        /// File or folder.
        path: String,
        /// Kind of failure.
        kind: ErrorKind,
    },
    /// Something that was synced is missing or has changed.
    Corrupt {
        /// File or folder.
        path: String,
        /// Position in the file, in bytes.
        offset: u64,
        /// What is wrong there.
        reason: &'static str,
    },
    /// An earlier operation failed; nothing was written.
    Stopped,
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => write!(f, "no space left"),
            Self::Io { path, kind } => write!(f, "{path}: {kind}"),
            Self::Corrupt {
                path,
                offset,
                reason,
            } => write!(f, "{path}: damaged at byte {offset}: {reason}"),
            Self::Stopped => write!(f, "stopped after an earlier error"),
        }
    }
}

impl std::error::Error for DiskError {}
