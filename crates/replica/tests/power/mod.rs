//! Model of what a data folder holds after a loss of power: of each file what was last
//! synced, under the names that were last synced.

#![allow(dead_code)]

use rand::Rng;
use rand::rngs::SmallRng;
use replica::disk::FileOp;
use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use tempfile::TempDir;

/// What of the unsynced writes is present after the loss of power.
pub(crate) enum Unsynced<'a> {
    Lost,
    /// For each file and for the names on their own: lost, present or torn.
    Random(&'a mut SmallRng),
}

/// The synced contents of one folder.
pub(crate) struct Power {
    /// Synced contents by inode.
    contents: BTreeMap<u64, Vec<u8>>,
    /// Inodes by synced name.
    names: BTreeMap<String, u64>,
    /// Second names of the synced files, so that no inode is used again.
    kept: TempDir,
}

impl Power {
    pub(crate) fn new() -> Self {
        Self {
            contents: BTreeMap::new(),
            names: BTreeMap::new(),
            kept: tempfile::tempdir().unwrap(),
        }
    }

    /// Records an operation on the files of a folder, just before it is performed.
    pub(crate) fn record(&mut self, folder: &Path, op: FileOp, path: &Path) {
        if op != FileOp::Sync {
            return;
        }
        if path == folder {
            self.names = names(folder);
        } else if path.parent() == Some(folder) {
            let inode = fs::metadata(path).unwrap().ino();
            let second_name = self.kept.path().join(inode.to_string());
            if !second_name.exists() {
                fs::hard_link(path, second_name).unwrap();
            }
            self.contents.insert(inode, fs::read(path).unwrap());
        }
    }

    /// Cuts the power: changes the folder to what is on its disk then.
    pub(crate) fn cut(&mut self, folder: &Path, mut unsynced: Unsynced<'_>) {
        let current: BTreeMap<u64, Vec<u8>> = names(folder)
            .into_iter()
            .map(|(name, inode)| (inode, fs::read(folder.join(name)).unwrap()))
            .collect();
        let names_are_present = match &mut unsynced {
            Unsynced::Lost => false,
            Unsynced::Random(rng) => rng.random_bool(0.5),
        };
        let kept_names = match names_are_present {
            true => names(folder),
            false => self.names.clone(),
        };
        let files: Vec<(String, Vec<u8>)> = kept_names
            .into_iter()
            .map(|(name, inode)| {
                let synced = self.contents.get(&inode).cloned().unwrap_or_default();
                let written = current.get(&inode).unwrap_or(&synced);
                let content = match &mut unsynced {
                    Unsynced::Lost => synced,
                    Unsynced::Random(rng) => torn(&synced, written, rng),
                };
                (name, content)
            })
            .collect();
        for name in names(folder).into_keys() {
            fs::remove_file(folder.join(name)).unwrap();
        }
        *self = Self::new();
        for (name, content) in files {
            let path = folder.join(name);
            fs::write(&path, content).unwrap();
            self.record(folder, FileOp::Sync, &path);
        }
        self.record(folder, FileOp::Sync, folder);
    }
}

/// Returns what is present of a file: the synced bytes, or the written ones, or some of
/// those that were appended.
fn torn(synced: &[u8], written: &[u8], rng: &mut SmallRng) -> Vec<u8> {
    match rng.random_range(0..3) {
        0 => synced.to_owned(),
        1 if written.starts_with(synced) => {
            let len = rng.random_range(synced.len()..=written.len());
            written[..len].to_owned()
        }
        _ => written.to_owned(),
    }
}

fn names(folder: &Path) -> BTreeMap<String, u64> {
    let files = fs::read_dir(folder).unwrap().map(|f| f.unwrap());
    let named = files.map(|f| {
        let name = f.file_name().to_string_lossy().into_owned();
        (name, f.metadata().unwrap().ino())
    });
    named.collect()
}
