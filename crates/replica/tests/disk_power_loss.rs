//! Losses of power after a process that ended in the middle of a write.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod power;

use power::{Power, Unsynced};
use replica::disk::{Disk, FileOp};
use replica::{DiskError, DiskOp, DiskWrite, HardState, Recovered, Snapshot};
use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::{Arc, Mutex};
use tempfile::TempDir;
use test_case::test_case;
use wire::{LogEntry, Membership};

const STATE: HardState = HardState {
    id: 5,
    cluster: 9,
    term: 3,
    vote: 5,
};
const NEWER_STATE: HardState = HardState { term: 4, ..STATE };
/// Length of a command that fills a segment.
const LONG_COMMAND_BYTES: usize = 9 * 1024 * 1024;

fn append(index: u64, len: usize) -> DiskWrite {
    DiskWrite::Append(vec![LogEntry {
        term: 3,
        index,
        command: vec![7; len].into(),
        membership: None,
    }])
}

fn snapshot(index: u64) -> DiskWrite {
    DiskWrite::Snapshot(Snapshot {
        index,
        term: 3,
        membership: Membership::default(),
        state: "state".into(),
    })
}

/// A data folder whose process can be killed and whose power can be cut.
struct Folder {
    dir: TempDir,
    power: Arc<Mutex<Power>>,
}

impl Folder {
    fn new() -> Self {
        Self {
            dir: tempfile::tempdir().unwrap(),
            power: Arc::new(Mutex::new(Power::new())),
        }
    }

    fn path(&self) -> &Path {
        self.dir.path()
    }

    /// Starts a process that is killed after a number of file operations.
    fn start(&self, killed_after: usize) -> Result<(Disk, Recovered), DiskError> {
        let (path, power) = (self.path().to_owned(), self.power.clone());
        let mut left = killed_after;
        let check = move |op: FileOp, file: &Path| {
            let Some(rest) = left.checked_sub(1) else {
                return Err(io::Error::from(ErrorKind::Other));
            };
            left = rest;
            power.lock().unwrap().record(&path, op, file);
            Ok(())
        };
        Disk::open_with_faults(self.path(), Box::new(check))
    }

    /// Performs writes by a process that is killed after a number of file operations.
    /// Returns whether it performed them all.
    fn perform(&self, writes: &[DiskWrite], killed_after: usize) -> bool {
        let Ok((mut disk, _)) = self.start(killed_after) else {
            return false;
        };
        writes.iter().cloned().all(|write| {
            let done = disk.perform(DiskOp { id: 1, write }, |reason| panic!("{reason}"));
            disk.record_synced();
            done.result.is_ok()
        })
    }

    fn recovered(&self) -> Recovered {
        let opened = self.start(usize::MAX);
        opened.unwrap_or_else(|e| panic!("{e}")).1
    }

    fn cut_power(&self) {
        let mut power = self.power.lock().unwrap();
        power.cut(self.path(), Unsynced::Lost);
    }
}

/// Returns a write of the next process.
type Next = fn(&Recovered) -> DiskWrite;

const NEXT_ENTRY: Next = |recovered| {
    let base = recovered.snapshot.as_ref().map_or(0, |s| s.index);
    let last = recovered.entries.last().map_or(base, |e| e.index);
    append(last + 1, 20)
};
const NEXT_STATE: Next = |_| DiskWrite::State(HardState { term: 5, ..STATE });
const NO_WRITE: Next = |_| DiskWrite::Recovered;

/// Guards against a replica whose sound folder is taken for damaged, or that goes back
/// behind what it has acknowledged, because its process was killed before it synced a
/// write that the next process read, counted as durable and never synced.
#[test_case(append(4, 20), NEXT_ENTRY; "entry, then entry")]
#[test_case(append(4, 20), NEXT_STATE; "entry, then state")]
#[test_case(append(4, 20), NO_WRITE; "entry")]
#[test_case(append(3, 20), NEXT_ENTRY; "replaced entry, then entry")]
#[test_case(append(4, LONG_COMMAND_BYTES), NEXT_ENTRY; "long entry, then entry")]
#[test_case(DiskWrite::State(NEWER_STATE), NEXT_ENTRY; "state, then entry")]
#[test_case(DiskWrite::State(NEWER_STATE), NO_WRITE; "state")]
#[test_case(snapshot(3), NEXT_ENTRY; "snapshot, then entry")]
#[test_case(snapshot(3), NEXT_STATE; "snapshot, then state")]
#[test_case(snapshot(3), NO_WRITE; "snapshot")]
#[test_case(snapshot(9), NEXT_ENTRY; "snapshot beyond the log, then entry")]
#[test_case(snapshot(9), NO_WRITE; "snapshot beyond the log")]
fn power_lost_after_killed_write(killed: DiskWrite, next: Next) {
    let writes = [
        DiskWrite::State(STATE),
        append(1, 20),
        snapshot(1),
        append(2, 20),
        append(3, LONG_COMMAND_BYTES),
        killed,
    ];
    let mut killed_after = 0;
    loop {
        let folder = Folder::new();
        let is_whole = folder.perform(&writes, killed_after);
        let recovered = folder.recovered();
        let is_replica = recovered.hard_state.is_some();
        if is_replica {
            assert!(folder.perform(&[next(&recovered)], usize::MAX));
        }
        let before = folder.recovered();
        folder.cut_power();
        if is_replica {
            assert_eq!(
                folder.recovered(),
                before,
                "after {killed_after} operations"
            );
        }
        if is_whole {
            return;
        }
        killed_after += 1;
    }
}
