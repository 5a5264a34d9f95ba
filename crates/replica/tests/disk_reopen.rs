//! Data folders that are opened again by the same process, after an error of the disk.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use replica::disk::{Disk, FileOp};
use replica::{DiskError, DiskOp, DiskWrite, HardState, Recovered, Snapshot};
use std::collections::BTreeSet;
use std::fs;
use std::io::{self, ErrorKind};
use std::os::unix::fs::MetadataExt;
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

/// The kind of file operation that fails, if any.
type Failing = Arc<Mutex<Option<FileOp>>>;

fn entry(index: u64) -> LogEntry {
    LogEntry {
        term: 3,
        index,
        command: format!("command {index}").into(),
        membership: None,
    }
}

fn append(indexes: std::ops::RangeInclusive<u64>) -> DiskWrite {
    DiskWrite::Append(indexes.map(entry).collect())
}

fn snapshot(index: u64) -> DiskWrite {
    DiskWrite::Snapshot(Snapshot {
        index,
        term: 3,
        membership: Membership::default(),
        state: "state".into(),
    })
}

fn perform(disk: &mut Disk, write: DiskWrite) -> Result<(), DiskError> {
    let done = disk.perform(DiskOp { id: 1, write }, |reason| panic!("{reason}"));
    disk.record_synced();
    done.result
}

/// Opens a folder with a snapshot at 2 and entries up to 5.
fn populated_disk() -> (TempDir, Disk, Failing) {
    let dir = tempfile::tempdir().unwrap();
    let failing = Failing::default();
    let failing_ops = failing.clone();
    let check = move |op, _: &Path| match *failing_ops.lock().unwrap() == Some(op) {
        true => Err(io::Error::from(ErrorKind::Other)),
        false => Ok(()),
    };
    let (mut disk, _) = Disk::open_with_faults(dir.path(), Box::new(check)).unwrap();
    for write in [
        DiskWrite::State(STATE),
        append(1..=4),
        snapshot(2),
        append(5..=5),
    ] {
        assert_eq!(perform(&mut disk, write), Ok(()));
    }
    (dir, disk, failing)
}

fn indexes(recovered: &Recovered) -> Vec<u64> {
    recovered.entries.iter().map(|e| e.index).collect()
}

/// Returns the inodes of the files that hold the replica's data.
fn inodes(folder: &Path) -> BTreeSet<u64> {
    let files = fs::read_dir(folder).unwrap().map(|f| f.unwrap());
    let data = files.filter(|f| f.file_name() != "lock" && f.file_name() != "synced");
    data.map(|f| f.metadata().unwrap().ino()).collect()
}

/// Keeps a second name for each file, so that its inode is not used again.
fn keep_inodes(folder: &Path) -> TempDir {
    let kept = tempfile::tempdir_in(folder.parent().unwrap()).unwrap();
    for f in fs::read_dir(folder).unwrap().map(|f| f.unwrap()) {
        fs::hard_link(f.path(), kept.path().join(f.file_name())).unwrap();
    }
    kept
}

/// Guards against a replica that is out until its process restarts after an error of its
/// disk, and against one that counts data as synced that a failed sync has left in the
/// cache of the system only: nothing that was written before the error is in use after it.
#[test_case(FileOp::Write, append(6..=7))]
#[test_case(FileOp::Sync, append(6..=7))]
#[test_case(FileOp::Open, DiskWrite::State(HardState { term: 4, ..STATE }))]
#[test_case(FileOp::Rename, DiskWrite::State(HardState { term: 4, ..STATE }))]
#[test_case(FileOp::Sync, DiskWrite::State(HardState { term: 4, ..STATE }))]
#[test_case(FileOp::Rename, snapshot(4))]
#[test_case(FileOp::Remove, snapshot(5))]
fn reopen_after_failed_operation(failing_op: FileOp, write: DiskWrite) {
    let (dir, mut disk, failing) = populated_disk();
    *failing.lock().unwrap() = Some(failing_op);
    assert!(perform(&mut disk, write).is_err());
    assert!(disk.has_failed());
    if failing_op != FileOp::Remove {
        assert!(disk.reopen().is_err());
        assert!(disk.has_failed());
    }
    let before = inodes(dir.path());
    let kept = keep_inodes(dir.path());
    *failing.lock().unwrap() = None;
    let recovered = disk.reopen().unwrap();
    assert!(!disk.has_failed());
    assert!(inodes(dir.path()).is_disjoint(&before));
    drop(kept);

    let state = recovered.hard_state.unwrap();
    assert!(state.id == 5 && (3..=4).contains(&state.term), "{state:?}");
    let base = recovered.snapshot.as_ref().unwrap().index;
    let held: Vec<u64> = (1..=base).chain(indexes(&recovered)).collect();
    assert_eq!(held[..5], [1, 2, 3, 4, 5]);
    let next = held.len() as u64 + 1;
    assert_eq!(perform(&mut disk, append(next..=next)), Ok(()));
    drop(disk);
    let (_, again) = Disk::open(dir.path()).unwrap();
    assert_eq!(again.hard_state, recovered.hard_state);
    assert_eq!(again.snapshot, recovered.snapshot);
    assert_eq!(again.entries.last(), Some(&entry(next)));
}

/// Guards against a replica that goes on under its id with less than it has acknowledged,
/// because its folder was replaced while its disk failed.
#[test_case(|_| (); "empty")]
#[test_case(|folder| {
    let (mut disk, _) = Disk::open(folder).unwrap();
    for write in [DiskWrite::State(STATE), append(1..=3)] {
        perform(&mut disk, write).unwrap();
    }
}; "with a shorter log")]
#[test_case(|folder| {
    let (mut disk, _) = Disk::open(folder).unwrap();
    perform(&mut disk, DiskWrite::State(HardState { id: 6, ..STATE })).unwrap();
    for index in 1..=9 {
        perform(&mut disk, append(index..=index)).unwrap();
        perform(&mut disk, snapshot(index)).unwrap();
    }
}; "of another replica")]
fn reopen_replaced_folder(fill: impl Fn(&Path)) {
    let (dir, mut disk, failing) = populated_disk();
    *failing.lock().unwrap() = Some(FileOp::Write);
    assert!(perform(&mut disk, append(6..=6)).is_err());
    *failing.lock().unwrap() = None;
    let elsewhere = tempfile::tempdir().unwrap();
    fs::rename(dir.path(), elsewhere.path().join("old")).unwrap();
    fs::create_dir(dir.path()).unwrap();
    fill(dir.path());
    let recovered = disk.reopen().unwrap();
    assert_eq!((recovered.hard_state, indexes(&recovered)), (None, vec![]));
    assert!(!recovered.set_aside.is_empty());
    assert_eq!(perform(&mut disk, DiskWrite::State(STATE)), Ok(()));
}

/// Guards against a replica that votes twice in a term after its state file was replaced
/// by an older one while its disk failed.
#[test]
fn reopen_with_older_state() {
    let (dir, mut disk, failing) = populated_disk();
    let path = dir.path().join("state");
    let older = fs::read(&path).unwrap();
    let newer = HardState { term: 8, ..STATE };
    assert_eq!(perform(&mut disk, DiskWrite::State(newer)), Ok(()));
    *failing.lock().unwrap() = Some(FileOp::Sync);
    assert!(perform(&mut disk, append(6..=6)).is_err());
    *failing.lock().unwrap() = None;
    fs::write(&path, older).unwrap();
    let recovered = disk.reopen().unwrap();
    assert_eq!(recovered.hard_state, None);
    assert!(!recovered.set_aside.is_empty());
}

/// Guards against lost entries after a process that ended while it wrote its log to a new
/// file, or removed the old ones.
#[test_case(&[]; "before any was removed")]
#[test_case(&[1]; "after the oldest was removed")]
#[test_case(&[1, 2]; "after two were removed")]
fn reopen_interrupted(removed: &[u64]) {
    let (dir, mut disk, failing) = populated_disk();
    *failing.lock().unwrap() = Some(FileOp::Write);
    assert!(perform(&mut disk, append(6..=6)).is_err());
    *failing.lock().unwrap() = Some(FileOp::Remove);
    assert!(disk.reopen().is_err());
    drop(disk);
    for sequence in removed {
        fs::remove_file(dir.path().join(format!("log-{sequence:020}"))).unwrap();
    }
    let (_, recovered) = Disk::open(dir.path()).unwrap();
    assert_eq!(indexes(&recovered), [3, 4, 5]);
}
