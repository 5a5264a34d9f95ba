//! Tests of the data folder on real files: recovery after crashes, corruption
//! and lost files.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use replica::disk::Disk;
use replica::{DiskError, DiskOp, DiskWrite, HardState, Recovered, Snapshot};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;
use test_case::test_case;
use wire::{LogEntry, Membership};

const STATE: HardState = HardState {
    id: 5,
    cluster: 9,
    term: 3,
    vote: 5,
};

fn entry(term: u64, index: u64) -> LogEntry {
    LogEntry {
        term,
        index,
        command: format!("command {index} of term {term}").into(),
        membership: None,
    }
}

fn entries(term: u64, indexes: std::ops::RangeInclusive<u64>) -> Vec<LogEntry> {
    indexes.map(|index| entry(term, index)).collect()
}

fn snapshot(term: u64, index: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        membership: Membership::default(),
        state: format!("state at {index}").into(),
    }
}

fn perform(disk: &mut Disk, writes: Vec<DiskWrite>) {
    let ops = (1..).zip(writes).map(|(id, write)| DiskOp { id, write });
    for done in disk.perform_batch(ops.collect(), disk_is_full) {
        assert_eq!(done.result, Ok(()), "operation {}", done.id);
    }
}

fn disk_is_full(reason: &DiskError) {
    panic!("{reason}");
}

fn open(folder: &Path) -> (Disk, Recovered) {
    Disk::open(folder).unwrap_or_else(|e| panic!("{e}"))
}

fn reopen(folder: &Path) -> Result<Recovered, DiskError> {
    Disk::open(folder).map(|(_, recovered)| recovered)
}

/// Creates a folder with a snapshot at 4 and entries 5 to 12 in two segments,
/// as left by a process that was stopped.
fn populated_folder() -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(dir.path());
    perform(&mut disk, vec![DiskWrite::State(STATE)]);
    perform(&mut disk, vec![DiskWrite::Append(entries(1, 1..=6))]);
    perform(&mut disk, vec![DiskWrite::Snapshot(snapshot(1, 4))]);
    perform(&mut disk, vec![DiskWrite::Append(entries(2, 7..=9))]);
    perform(&mut disk, vec![DiskWrite::Append(entries(3, 10..=12))]);
    dir
}

fn expected(last: u64) -> Recovered {
    let all = [entries(1, 5..=6), entries(2, 7..=9), entries(3, 10..=12)].concat();
    Recovered {
        hard_state: Some(STATE),
        snapshot: Some(snapshot(1, 4)),
        entries: all.into_iter().filter(|e| e.index <= last).collect(),
        ..Recovered::default()
    }
}

fn files(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let paths = fs::read_dir(folder).unwrap().map(|f| f.unwrap().path());
    let mut paths: Vec<PathBuf> = paths
        .filter(|p| p.file_name().unwrap().to_string_lossy().starts_with(prefix))
        .collect();
    paths.sort();
    paths
}

fn newest_segment(folder: &Path) -> PathBuf {
    files(folder, "log-").pop().unwrap()
}

fn copy(from: &Path) -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    for file in files(from, "") {
        fs::copy(&file, dir.path().join(file.file_name().unwrap())).unwrap();
    }
    dir
}

#[test]
fn open_empty_folder() {
    let dir = tempfile::tempdir().unwrap();
    let folder = dir.path().join("new/data");
    assert_eq!(reopen(&folder), Ok(Recovered::default()));
    assert_eq!(reopen(&folder), Ok(Recovered::default()));
}

#[test]
fn open_populated_folder() {
    let dir = populated_folder();
    for _ in 0..3 {
        assert_eq!(reopen(dir.path()), Ok(expected(12)));
    }
}

#[test]
fn open_locked_folder() {
    let dir = tempfile::tempdir().unwrap();
    let _disk = open(dir.path());
    let error = reopen(dir.path()).unwrap_err();
    assert!(error.to_string().contains("another process"), "{error}");
}

#[test]
fn open_after_suffix_was_replaced() {
    let dir = populated_folder();
    let (mut disk, _) = open(dir.path());
    perform(&mut disk, vec![DiskWrite::Append(entries(4, 8..=8))]);
    drop(disk);
    let mut expected = expected(7);
    expected.entries.push(entry(4, 8));
    assert_eq!(reopen(dir.path()), Ok(expected));
}

#[test]
fn open_with_temporary_files() {
    let dir = populated_folder();
    fs::write(dir.path().join("snapshot-00000000000000000009.tmp"), "half").unwrap();
    fs::write(dir.path().join("state.tmp"), "half").unwrap();
    assert_eq!(reopen(dir.path()), Ok(expected(12)));
    assert!(files(dir.path(), "state.tmp").is_empty());
}

/// Wherever a write is torn, recovery returns all synced entries, and new
/// entries can be appended.
#[test]
fn open_torn_tail() {
    let dir = populated_folder();
    let name = newest_segment(dir.path());
    let bytes = fs::read(&name).unwrap();
    let mut last_indexes = Vec::new();
    for len in 0..bytes.len() {
        let torn = copy(dir.path());
        fs::write(torn.path().join(name.file_name().unwrap()), &bytes[..len]).unwrap();
        let (mut disk, recovered) = open(torn.path());
        let last = recovered.entries.last().unwrap().index;
        assert_eq!(recovered, expected(last), "truncated at {len}");
        last_indexes.push(last);
        perform(
            &mut disk,
            vec![DiskWrite::Append(entries(5, last + 1..=20))],
        );
        drop(disk);
        let again = reopen(torn.path()).unwrap();
        assert_eq!(
            again.entries.last(),
            Some(&entry(5, 20)),
            "truncated at {len}"
        );
    }
    last_indexes.dedup();
    assert_eq!(last_indexes, [6, 9]);
}

#[test_case(&[0; 700]; "zeros")]
#[test_case(b"PLH1 and nothing that fits"; "half a frame")]
fn open_torn_tail_with(rest: &[u8]) {
    let dir = populated_folder();
    let name = newest_segment(dir.path());
    let bytes = fs::read(&name).unwrap();
    fs::write(&name, [&bytes, rest].concat()).unwrap();
    assert_eq!(reopen(dir.path()), Ok(expected(12)));
}

/// A changed byte is reported as corruption anywhere but in the last frame,
/// where it cannot be told from a torn write.
#[test]
fn open_corrupt_file() {
    let dir = populated_folder();
    let newest = newest_segment(dir.path());
    for file in files(dir.path(), "") {
        let bytes = fs::read(&file).unwrap();
        for at in 0..bytes.len() {
            let corrupt = copy(dir.path());
            let mut changed = bytes.clone();
            changed[at] ^= 0x40;
            fs::write(corrupt.path().join(file.file_name().unwrap()), changed).unwrap();
            match reopen(corrupt.path()) {
                Err(DiskError::Corrupt { .. }) => {}
                Ok(recovered) => {
                    assert_eq!(file, newest, "byte {at}");
                    assert_eq!(recovered, expected(9), "byte {at}");
                }
                Err(error) => panic!("{error} at byte {at}"),
            }
        }
    }
}

#[test_case("state")]
#[test_case("snapshot-")]
#[test_case("log-")]
fn open_without(prefix: &str) {
    let dir = populated_folder();
    let (mut disk, _) = open(dir.path());
    perform(&mut disk, vec![DiskWrite::Snapshot(snapshot(2, 9))]);
    drop(disk);
    let lost = files(dir.path(), prefix);
    lost.iter().for_each(|f| fs::remove_file(f).unwrap());
    assert!(matches!(reopen(dir.path()), Err(DiskError::Corrupt { .. })));
}

#[test]
fn open_without_older_segment() {
    let dir = populated_folder();
    fs::remove_file(&files(dir.path(), "log-")[0]).unwrap();
    assert!(matches!(reopen(dir.path()), Err(DiskError::Corrupt { .. })));
}

#[test]
fn open_truncated_older_segment() {
    let dir = populated_folder();
    let older = files(dir.path(), "log-").remove(0);
    let bytes = fs::read(&older).unwrap();
    for len in 0..bytes.len() {
        fs::write(&older, &bytes[..len]).unwrap();
        let result = reopen(dir.path());
        assert!(
            matches!(result, Err(DiskError::Corrupt { .. })),
            "truncated at {len}"
        );
    }
}

/// The process crashes right after a snapshot was renamed into place, before
/// the log was changed.
#[test_case(2, 9, &[entry(3, 10), entry(3, 11), entry(3, 12)]; "that the log agrees with")]
#[test_case(3, 9, &[]; "that the log differs from")]
#[test_case(3, 30, &[]; "beyond the log")]
fn open_after_crash_with_snapshot(term: u64, index: u64, kept: &[LogEntry]) {
    let dir = populated_folder();
    let before = copy(dir.path());
    let (mut disk, _) = open(dir.path());
    perform(&mut disk, vec![DiskWrite::Snapshot(snapshot(term, index))]);
    drop(disk);
    let newest = files(dir.path(), "snapshot-").pop().unwrap();
    fs::copy(&newest, before.path().join(newest.file_name().unwrap())).unwrap();

    for folder in [dir.path(), before.path()] {
        let (mut disk, recovered) = open(folder);
        assert_eq!(recovered.snapshot, Some(snapshot(term, index)));
        assert_eq!(recovered.entries, kept);
        let next = index + kept.len() as u64 + 1;
        perform(&mut disk, vec![DiskWrite::Append(entries(6, next..=next))]);
        drop(disk);
        let again = reopen(folder).unwrap();
        assert_eq!(again.entries.last(), Some(&entry(6, next)));
        assert_eq!(again.entries.len(), kept.len() + 1);
    }
}

#[test_case(2, 9, 12; "that the log agrees with")]
#[test_case(3, 9, 9; "that the log differs from")]
#[test_case(3, 30, 30; "beyond the log")]
fn append_after_snapshot(term: u64, index: u64, last: u64) {
    let dir = populated_folder();
    let (mut disk, _) = open(dir.path());
    let next = entries(6, last + 1..=last + 2);
    perform(
        &mut disk,
        vec![
            DiskWrite::Snapshot(snapshot(term, index)),
            DiskWrite::Append(next.clone()),
        ],
    );
    drop(disk);
    let recovered = reopen(dir.path()).unwrap();
    assert_eq!(
        recovered.entries[..],
        [entries(3, index + 1..=last), next].concat()
    );
}

#[test]
fn snapshot_bounds_retained_entries() {
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(dir.path());
    perform(&mut disk, vec![DiskWrite::State(STATE)]);
    for hundred in 0..30 {
        let first = hundred * 100 + 1;
        let appended = entries(1, first..=first + 99);
        perform(&mut disk, vec![DiskWrite::Append(appended)]);
        let taken = snapshot(1, first + 89);
        perform(&mut disk, vec![DiskWrite::Snapshot(taken)]);
    }
    drop(disk);
    assert_eq!(reopen(dir.path()).unwrap().entries, entries(1, 2991..=3000));
    assert!(files(dir.path(), "log-").len() <= 3);
    assert_eq!(files(dir.path(), "snapshot-").len(), 1);
}

#[test]
fn perform_batch_of_all_kinds() {
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(dir.path());
    let earlier = HardState { term: 2, ..STATE };
    let writes = vec![
        DiskWrite::State(earlier),
        DiskWrite::State(STATE),
        DiskWrite::Append(entries(1, 1..=4)),
        DiskWrite::Append(entries(2, 3..=5)),
        DiskWrite::Snapshot(snapshot(2, 4)),
        DiskWrite::Append(entries(3, 6..=6)),
    ];
    let ops = (1..).zip(writes).map(|(id, write)| DiskOp { id, write });
    let done = disk.perform_batch(ops.collect(), disk_is_full);
    let ids: Vec<u64> = done.iter().map(|d| d.id).collect();
    assert_eq!(ids, [1, 2, 3, 4, 5, 6]);
    assert!(done.iter().all(|d| d.result.is_ok()));
    drop(disk);
    let recovered = reopen(dir.path()).unwrap();
    assert_eq!(recovered.hard_state, Some(STATE));
    assert_eq!(recovered.snapshot, Some(snapshot(2, 4)));
    assert_eq!(recovered.entries, [entry(2, 5), entry(3, 6)]);
}

#[test]
fn perform_after_error() {
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(dir.path());
    fs::remove_dir_all(dir.path()).unwrap();
    let mut op = |id, write| disk.perform(DiskOp { id, write }, disk_is_full).result;
    assert!(matches!(
        op(1, DiskWrite::State(STATE)),
        Err(DiskError::Io { .. })
    ));
    let stopped = op(2, DiskWrite::Append(entries(1, 1..=1)));
    assert_eq!(stopped, Err(DiskError::Stopped));
}

/// Guards against a replica that a full disk ends for good.
#[test_case(DiskWrite::State(HardState { term: 7, ..STATE }), "state.tmp")]
#[test_case(
    DiskWrite::Snapshot(snapshot(3, 11)),
    "snapshot-00000000000000000011.tmp"
)]
fn perform_waits_for_space(write: DiskWrite, written: &str) {
    let dir = populated_folder();
    let (mut disk, _) = open(dir.path());
    let path = dir.path().join(written);
    std::os::unix::fs::symlink("/dev/full", &path).unwrap();
    let mut waits = 0;
    let op = DiskOp {
        id: 1,
        write: write.clone(),
    };
    let done = disk.perform(op, |_| {
        waits += 1;
        if waits == 3 {
            fs::remove_file(&path).unwrap();
        }
    });
    assert_eq!((done.result, waits), (Ok(()), 3));
    perform(&mut disk, vec![DiskWrite::Append(entries(8, 13..=14))]);
    drop(disk);
    let recovered = reopen(dir.path()).unwrap();
    assert_eq!(recovered.entries.last(), Some(&entry(8, 14)));
    match write {
        DiskWrite::State(state) => assert_eq!(recovered.hard_state, Some(state)),
        DiskWrite::Snapshot(snapshot) => assert_eq!(recovered.snapshot, Some(snapshot)),
        DiskWrite::Append(_) | DiskWrite::Recovered => unreachable!(),
    }
}
