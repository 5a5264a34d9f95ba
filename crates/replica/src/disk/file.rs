//! File operations whose errors carry the path.

use super::error::DiskError;
use super::format::TEMPORARY_SUFFIX;
use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::Path;

/// Converts an I/O error into a [`DiskError`].
pub(super) fn io_error(path: &Path, error: &io::Error) -> DiskError {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
            DiskError::Full
        }
        kind => DiskError::Io {
            path: path.display().to_string(),
            kind,
        },
    }
}

pub(super) fn corrupt(path: &Path, offset: usize, reason: &'static str) -> DiskError {
    DiskError::Corrupt {
        path: path.display().to_string(),
        offset: offset as u64,
        reason,
    }
}

/// Creates a folder if it does not exist.
pub(super) fn create_folder(path: &Path) -> Result<(), DiskError> {
    if path.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(path).map_err(|e| io_error(path, &e))?;
    path.parent().map_or(Ok(()), sync_folder)
}

/// Syncs a folder, so that created, renamed and removed files survive a crash.
pub(super) fn sync_folder(path: &Path) -> Result<(), DiskError> {
    let path = if path.as_os_str().is_empty() {
        Path::new(".")
    } else {
        path
    };
    let synced = File::open(path).and_then(|f| f.sync_all());
    synced.map_err(|e| io_error(path, &e))
}

/// Returns the names of the files in a folder.
pub(super) fn list(path: &Path) -> Result<Vec<String>, DiskError> {
    let entries = fs::read_dir(path).map_err(|e| io_error(path, &e))?;
    let names = entries.map(|e| e.map(|e| e.file_name().to_string_lossy().into_owned()));
    names
        .collect::<io::Result<_>>()
        .map_err(|e| io_error(path, &e))
}

pub(super) fn read(path: &Path) -> Result<Vec<u8>, DiskError> {
    fs::read(path).map_err(|e| io_error(path, &e))
}

pub(super) fn remove(path: &Path) -> Result<(), DiskError> {
    fs::remove_file(path).map_err(|e| io_error(path, &e))
}

/// Truncates a file and syncs it.
pub(super) fn truncate(path: &Path, len: usize) -> Result<(), DiskError> {
    let f = OpenOptions::new().write(true).open(path);
    let truncated = f.and_then(|f| {
        f.set_len(len as u64)?;
        f.sync_all()
    });
    truncated.map_err(|e| io_error(path, &e))
}

/// Creates a new file with the given contents and syncs the file and its
/// folder. Removes the file if that fails, so that it can be tried again.
pub(super) fn create(path: &Path, bytes: &[u8]) -> Result<File, DiskError> {
    let f = OpenOptions::new().append(true).create_new(true).open(path);
    let mut f = f.map_err(|e| io_error(path, &e))?;
    let written = f.write_all(bytes).and_then(|()| f.sync_all());
    let written = written.map_err(|e| io_error(path, &e));
    let synced = written.and_then(|()| path.parent().map_or(Ok(()), sync_folder));
    match synced {
        Ok(()) => Ok(f),
        Err(error) => {
            remove(path)?;
            Err(error)
        }
    }
}

/// Appends to a file of `len` bytes and syncs it. If that fails, cuts off what was
/// written, so that it can be tried again.
pub(super) fn append(f: &mut File, path: &Path, len: usize, bytes: &[u8]) -> Result<(), DiskError> {
    let written = f.write_all(bytes).and_then(|()| f.sync_data());
    let Err(error) = written else {
        return Ok(());
    };
    f.set_len(len as u64).map_err(|e| io_error(path, &e))?;
    Err(io_error(path, &error))
}

/// Replaces a file atomically: writes a temporary file, syncs it, renames it
/// and syncs the folder.
pub(super) fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
    let written = File::create(&temporary).and_then(|mut f| {
        f.write_all(bytes)?;
        f.sync_all()
    });
    written.map_err(|e| io_error(&temporary, &e))?;
    fs::rename(&temporary, &path).map_err(|e| io_error(&path, &e))?;
    sync_folder(folder)
}

/// Opens a file and holds an exclusive lock on it until it is closed.
pub(super) fn lock(path: &Path) -> Result<File, DiskError> {
    let f = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
        .map_err(|e| io_error(path, &e))?;
    let locked = flock(&f, FlockOperation::NonBlockingLockExclusive);
    match locked {
        Ok(()) => Ok(f),
        Err(Errno::WOULDBLOCK) => Err(DiskError::Locked {
            path: path.display().to_string(),
        }),
        Err(error) => Err(io_error(path, &error.into())),
    }
}
