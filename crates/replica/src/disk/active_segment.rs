//! The segment that is being written.

use super::error::DiskError;
use super::file::Files;
use std::fs::File;
use std::path::{Path, PathBuf};

/// The newest segment of the log, to which frames are appended.
#[derive(Debug)]
pub(super) struct ActiveSegment {
    f: File,
    path: PathBuf,
    /// Bytes of complete frames.
    len: usize,
    /// Whether a failed append may have left part of a frame after them.
    torn: bool,
}

impl ActiveSegment {
    /// Creates the file with its first frame.
    pub(super) fn create(
        files: &mut Files,
        path: PathBuf,
        header: &[u8],
    ) -> Result<Self, DiskError> {
        let f = files.create(&path, header)?;
        Ok(Self {
            f,
            path,
            len: header.len(),
            torn: false,
        })
    }

    /// Creates the file with its first frames, all or none of them.
    pub(super) fn create_whole(
        files: &mut Files,
        folder: &Path,
        name: &str,
        frames: &[u8],
    ) -> Result<Self, DiskError> {
        files.replace(folder, name, frames)?;
        let path = folder.join(name);
        Ok(Self {
            f: files.open_to_append(&path)?,
            path,
            len: frames.len(),
            torn: false,
        })
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Appends a frame and syncs it. After a temporary error it can be tried again.
    pub(super) fn append(&mut self, files: &mut Files, frame: &[u8]) -> Result<(), DiskError> {
        self.cut_torn_tail(files)?;
        self.torn = true;
        let appended = files.append(&mut self.f, &self.path, frame);
        if appended.as_ref().is_err_and(DiskError::is_temporary) {
            self.cut_torn_tail(files)?;
        }
        appended?;
        self.torn = false;
        self.len += frame.len();
        Ok(())
    }

    /// Removes what a failed append has left. Some file systems cannot do so while they
    /// are full; another frame must not follow it then.
    fn cut_torn_tail(&mut self, files: &mut Files) -> Result<(), DiskError> {
        if self.torn {
            files.set_len(&self.f, &self.path, self.len)?;
            self.torn = false;
        }
        Ok(())
    }
}
