//! File operations whose errors carry the path.

use super::error::DiskError;
use super::format::TEMPORARY_SUFFIX;
use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::Path;

/// Kind of a file operation that changes the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOp {
    /// Opening a file for writing, which may create it.
    Open,
    /// Writing to a file.
    Write,
    /// Syncing a file or a folder.
    Sync,
    /// Setting the length of a file.
    SetLen,
    /// Renaming a file.
    Rename,
    /// Removing a file.
    Remove,
}

/// Called before each file operation in tests, with the path of the file or folder; of a
/// renaming, the old path. The operation fails with the returned error; of a write, the
/// first half of the bytes is written.
pub type FaultInjector = Box<dyn FnMut(FileOp, &Path) -> io::Result<()> + Send>;

/// The operations on the files of a folder.
#[derive(Default)]
pub(super) struct Files {
    inject_fault: Option<FaultInjector>,
}

impl fmt::Debug for Files {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Files").finish_non_exhaustive()
    }
}

impl Files {
    pub(super) fn with_faults(inject_fault: FaultInjector) -> Self {
        Self {
            inject_fault: Some(inject_fault),
        }
    }

    fn check(&mut self, op: FileOp, path: &Path) -> io::Result<()> {
        self.inject_fault.as_mut().map_or(Ok(()), |f| f(op, path))
    }

    /// Creates a folder if it does not exist.
    pub(super) fn create_folder(&mut self, path: &Path) -> Result<(), DiskError> {
        if path.is_dir() {
            return Ok(());
        }
        let created = self.check(FileOp::Open, path);
        let created = created.and_then(|()| fs::create_dir_all(path));
        created.map_err(|e| io_error(path, &e))?;
        self.sync_parent(path)
    }

    /// Syncs the name of a folder in its parent. A parent that this process must not read
    /// belongs to whoever created the folder, and is left to them.
    pub(super) fn sync_parent(&mut self, path: &Path) -> Result<(), DiskError> {
        let Some(parent) = path.parent() else {
            return Ok(());
        };
        match self.sync_folder(parent) {
            Err(DiskError::Io { path, kind }) if kind == ErrorKind::PermissionDenied => {
                log::warn!("event=parent_folder_not_synced path={path} reason=\"{kind}\"");
                Ok(())
            }
            synced => synced,
        }
    }

    /// Syncs what was written to a file, whichever process wrote it.
    pub(super) fn sync(&mut self, path: &Path) -> Result<(), DiskError> {
        let synced = self.check(FileOp::Sync, path);
        let synced = synced.and_then(|()| File::open(path)?.sync_all());
        synced.map_err(|e| io_error(path, &e))
    }

    /// Syncs a folder, so that created, renamed and removed files survive a crash.
    pub(super) fn sync_folder(&mut self, path: &Path) -> Result<(), DiskError> {
        let path = if path.as_os_str().is_empty() {
            Path::new(".")
        } else {
            path
        };
        self.sync(path)
    }

    pub(super) fn remove(&mut self, path: &Path) -> Result<(), DiskError> {
        let removed = self.check(FileOp::Remove, path);
        let removed = removed.and_then(|()| fs::remove_file(path));
        removed.map_err(|e| io_error(path, &e))
    }

    /// Moves a file. The folders are not synced.
    pub(super) fn rename(&mut self, from: &Path, to: &Path) -> Result<(), DiskError> {
        let renamed = self.check(FileOp::Rename, from);
        let renamed = renamed.and_then(|()| fs::rename(from, to));
        renamed.map_err(|e| io_error(from, &e))
    }

    /// Removes a file, or a folder with all files in it.
    pub(super) fn remove_any(&mut self, path: &Path) -> Result<(), DiskError> {
        if !path.is_dir() {
            return self.remove(path);
        }
        let removed = self.check(FileOp::Remove, path);
        let removed = removed.and_then(|()| fs::remove_dir_all(path));
        removed.map_err(|e| io_error(path, &e))
    }

    /// Truncates a file and syncs it.
    pub(super) fn truncate(&mut self, path: &Path, len: usize) -> Result<(), DiskError> {
        let f = OpenOptions::new().write(true).open(path);
        let f = f.map_err(|e| io_error(path, &e))?;
        self.set_len(&f, path, len)?;
        self.check(FileOp::Sync, path)
            .and_then(|()| f.sync_all())
            .map_err(|e| io_error(path, &e))
    }

    pub(super) fn set_len(&mut self, f: &File, path: &Path, len: usize) -> Result<(), DiskError> {
        let set = self.check(FileOp::SetLen, path);
        let set = set.and_then(|()| f.set_len(len as u64));
        set.map_err(|e| io_error(path, &e))
    }

    /// Creates a file with the given contents and syncs the file and its folder. After
    /// an error it can be tried again: what the first attempt has left is replaced.
    pub(super) fn create(&mut self, path: &Path, bytes: &[u8]) -> Result<File, DiskError> {
        let mut f = self.open_to_append(path)?;
        self.set_len(&f, path, 0)?;
        let written = self.write_and_sync(&mut f, path, bytes);
        written.map_err(|e| io_error(path, &e))?;
        path.parent()
            .map_or(Ok(()), |folder| self.sync_folder(folder))?;
        Ok(f)
    }

    /// Opens a file, which is created if needed, to append to it.
    pub(super) fn open_to_append(&mut self, path: &Path) -> Result<File, DiskError> {
        let f = self
            .check(FileOp::Open, path)
            .and_then(|()| OpenOptions::new().append(true).create(true).open(path));
        f.map_err(|e| io_error(path, &e))
    }

    /// Appends to a file and syncs it. If that fails, any part may have been written.
    pub(super) fn append(
        &mut self,
        f: &mut File,
        path: &Path,
        bytes: &[u8],
    ) -> Result<(), DiskError> {
        let written = self.write(f, path, bytes);
        let synced = written.and_then(|()| {
            self.check(FileOp::Sync, path)?;
            f.sync_data()
        });
        synced.map_err(|e| io_error(path, &e))
    }

    /// Writes the first bytes of a file without syncing it, and creates it if needed.
    pub(super) fn overwrite(&mut self, path: &Path, bytes: &[u8]) -> Result<(), DiskError> {
        let f = self.check(FileOp::Open, path).and_then(|()| {
            let mut options = OpenOptions::new();
            options.write(true).create(true).truncate(false).open(path)
        });
        let written = f.and_then(|mut f| self.write(&mut f, path, bytes));
        written.map_err(|e| io_error(path, &e))
    }

    /// Replaces a file atomically: writes a temporary file, syncs it, renames it
    /// and syncs the folder.
    pub(super) fn replace(
        &mut self,
        folder: &Path,
        name: &str,
        bytes: &[u8],
    ) -> Result<(), DiskError> {
        let path = folder.join(name);
        let temporary = folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
        let f = self.check(FileOp::Open, &temporary);
        let written = f.and_then(|()| {
            let mut f = File::create(&temporary)?;
            self.write_and_sync(&mut f, &temporary, bytes)
        });
        written.map_err(|e| io_error(&temporary, &e))?;
        self.rename(&temporary, &path)?;
        self.sync_folder(folder)
    }

    /// Opens a file and holds an exclusive lock on it until it is closed.
    pub(super) fn lock(&mut self, path: &Path) -> Result<File, DiskError> {
        let f = self.check(FileOp::Open, path).and_then(|()| {
            OpenOptions::new()
                .write(true)
                .create(true)
                .truncate(false)
                .open(path)
        });
        let f = f.map_err(|e| io_error(path, &e))?;
        let locked = flock(&f, FlockOperation::NonBlockingLockExclusive);
        match locked {
            Ok(()) => Ok(f),
            Err(Errno::WOULDBLOCK) => Err(DiskError::Locked {
                path: path.display().to_string(),
            }),
            Err(error) => Err(io_error(path, &error.into())),
        }
    }

    fn write(&mut self, f: &mut File, path: &Path, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.check(FileOp::Write, path) {
            f.write_all(&bytes[..bytes.len() / 2])?;
            return Err(error);
        }
        f.write_all(bytes)
    }

    fn write_and_sync(&mut self, f: &mut File, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.write(f, path, bytes)?;
        self.check(FileOp::Sync, path)?;
        f.sync_all()
    }
}

/// Converts an I/O error into a [`DiskError`].
pub(super) fn io_error(path: &Path, error: &io::Error) -> DiskError {
    if matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE)
    ) {
        return DiskError::TooManyFiles;
    }
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

/// Returns the names of the files in a folder.
pub(super) fn list(path: &Path) -> Result<Vec<String>, DiskError> {
    let entries = fs::read_dir(path).map_err(|e| io_error(path, &e))?;
    let names = entries.map(|e| e.map(|e| e.file_name().to_string_lossy().into_owned()));
    names
        .collect::<io::Result<_>>()
        .map_err(|e| io_error(path, &e))
}

/// Reads a file. A folder in its place is corruption; an error of the disk or a lack of
/// permission is not, since the data may be sound.
pub(super) fn read(path: &Path) -> Result<Vec<u8>, DiskError> {
    fs::read(path).map_err(|e| read_error(path, &e))
}

/// Reads the first bytes of a file, as [`read`] does.
pub(super) fn read_start(path: &Path, len: u64) -> Result<Vec<u8>, DiskError> {
    let mut buf = Vec::new();
    File::open(path)
        .and_then(|f| f.take(len).read_to_end(&mut buf))
        .map_err(|e| read_error(path, &e))?;
    Ok(buf)
}

fn read_error(path: &Path, error: &io::Error) -> DiskError {
    match Errno::from_io_error(error) {
        Some(Errno::ISDIR) => corrupt(path, 0, "the file cannot be read"),
        _ => io_error(path, error),
    }
}
