//! Errors of the data folder.

use std::fmt;
use std::io::ErrorKind;

/// Reason why a data folder cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// The disk has no space, or a quota or a limit on the length of files is exceeded.
    Full,
    /// The process or the VM has no descriptor left to open a file.
    TooManyFiles,
    /// The data is too long for a frame.
    TooLong,
    /// Reading, writing or syncing failed.
    Io {
        /// File or folder.
        path: String,
        /// Kind of I/O error.
        kind: ErrorKind,
    },
    /// Another process uses the folder.
    Locked {
        /// Lock file of the folder.
        path: String,
    },
    /// Synced data is missing or has changed.
    Corrupt {
        /// File or folder.
        path: String,
        /// Offset in the file, in bytes.
        offset: u64,
        /// Description of the corruption.
        reason: &'static str,
    },
    /// The folder was written by another version, whose format is unknown.
    UnknownFormat {
        /// File.
        path: String,
    },
    /// An earlier operation failed, so this one was not attempted.
    Stopped,
}

impl DiskError {
    /// Returns whether the operation was undone and can be tried again later. A process
    /// that ends holds its data folder for a little longer than its addresses.
    #[must_use]
    pub fn is_temporary(&self) -> bool {
        matches!(self, Self::Full | Self::TooManyFiles | Self::Locked { .. })
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => write!(f, "disk full or quota exceeded"),
            Self::TooManyFiles => write!(f, "too many open files"),
            Self::TooLong => write!(f, "data too long for one frame"),
            Self::Io { path, kind } => write!(f, "I/O error on {path}: {kind}"),
            Self::Locked { path } => write!(f, "{path} is locked by another process"),
            Self::Corrupt {
                path,
                offset,
                reason,
            } => write!(f, "{path}: corrupt at byte {offset}: {reason}"),
            Self::UnknownFormat { path } => write!(f, "{path}: unknown version of the log format"),
            Self::Stopped => write!(f, "disk operation not attempted after an earlier error"),
        }
    }
}

impl std::error::Error for DiskError {}
