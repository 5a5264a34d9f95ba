//! Data folders whose damaged files are set aside.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use replica::disk::Disk;
use replica::{DiskError, DiskOp, DiskWrite, HardState, Recovered};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;
use test_case::test_case;
use wire::LogEntry;

const STATE: HardState = HardState {
    id: 7,
    cluster: 9,
    term: 3,
    vote: 7,
};

/// Creates a folder with a state and two appends.
fn populated_folder() -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    write(dir.path());
    dir
}

fn write(folder: &Path) {
    let (mut disk, _) = Disk::open(folder).unwrap();
    for (id, write) in [DiskWrite::State(STATE), append(1), append(2)]
        .into_iter()
        .enumerate()
    {
        let op = DiskOp {
            id: id as u64,
            write,
        };
        disk.perform(op, |e| panic!("{e}")).result.unwrap();
        disk.record_synced();
    }
}

fn file(folder: &Path, prefix: &str) -> PathBuf {
    let mut paths = fs::read_dir(folder).unwrap().map(|f| f.unwrap().path());
    let found = paths.find(|p| p.file_name().unwrap().to_string_lossy().starts_with(prefix));
    found.unwrap()
}

fn append(index: u64) -> DiskWrite {
    DiskWrite::Append(vec![LogEntry {
        term: 3,
        index,
        command: "x".into(),
        membership: None,
    }])
}

/// Returns the path to which a file is renamed.
fn set_aside(folder: &Path, number: u64, path: &Path) -> PathBuf {
    let name = path.file_name().unwrap().to_str().unwrap();
    folder.join(format!("damaged-{number}-{name}"))
}

fn change_middle(path: &Path) {
    let mut bytes = fs::read(path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x40;
    fs::write(path, bytes).unwrap();
}

fn cut_last_frame(path: &Path) {
    let bytes = fs::read(path).unwrap();
    let last = bytes.windows(4).rposition(|w| w == b"PLH1").unwrap();
    fs::write(path, &bytes[..last]).unwrap();
}

fn change_end(path: &Path, change: impl Fn(u8) -> u8) {
    let mut bytes = fs::read(path).unwrap();
    let end = bytes.len() - 5;
    bytes[end..].iter_mut().for_each(|b| *b = change(*b));
    fs::write(path, bytes).unwrap();
}

fn make_folder(path: &Path) {
    fs::remove_file(path).unwrap();
    fs::create_dir(path).unwrap();
}

/// Guards against a replica that stays out until an operator empties its data folder.
#[test_case("state", |path| fs::write(path, "").unwrap(); "empty state")]
#[test_case("state", |path| fs::remove_file(path).unwrap(); "no state")]
#[test_case("state", change_middle; "changed state")]
#[test_case("state", make_folder; "state that cannot be read")]
#[test_case("log-", |path| fs::write(path, "").unwrap(); "empty log")]
#[test_case("log-", |path| fs::remove_file(path).unwrap(); "no log")]
#[test_case("log-", |path| fs::write(path, "a file of another program").unwrap(); "foreign log")]
#[test_case("log-", cut_last_frame; "log cut at its end")]
#[test_case("log-", |path| change_end(path, |_| 0); "log with zeros at its end")]
#[test_case("log-", |path| change_end(path, |b| b ^ 0x5a); "log with noise at its end")]
#[test_case("log-", change_middle; "changed log")]
fn open_or_set_aside_damaged_folder(prefix: &str, damage: impl Fn(&Path)) {
    let dir = populated_folder();
    let path = file(dir.path(), prefix);
    damage(&path);
    let kept: Vec<Vec<u8>> = vec![fs::read(&path).unwrap_or_default()];
    let (disk, recovered) = Disk::open_or_set_aside(dir.path()).unwrap();
    assert!(!recovered.set_aside.is_empty());
    let only_set_aside = Recovered {
        set_aside: recovered.set_aside.clone(),
        ..Recovered::default()
    };
    assert_eq!(recovered, only_set_aside);
    drop(disk);
    let moved = set_aside(dir.path(), 1, &path);
    assert_eq!(vec![fs::read(moved).unwrap_or_default()], kept);

    // The new replica's files are used from then on.
    write(dir.path());
    let (_, recovered) = Disk::open_or_set_aside(dir.path()).unwrap();
    assert_eq!(recovered.hard_state, Some(STATE));
    assert_eq!(recovered.entries.len(), 2);
}

/// Guards against damaged folders that fill the disk.
#[test]
fn open_or_set_aside_keeps_two_folders() {
    let dir = populated_folder();
    for _ in 0..4 {
        fs::write(file(dir.path(), "state"), "").unwrap();
        drop(Disk::open_or_set_aside(dir.path()).unwrap());
        write(dir.path());
    }
    let mut kept: Vec<String> = fs::read_dir(dir.path())
        .unwrap()
        .map(|f| f.unwrap().file_name().into_string().unwrap())
        .filter(|name| name.ends_with("-state"))
        .collect();
    kept.sort();
    assert_eq!(kept, ["damaged-3-state", "damaged-4-state"]);
}

#[test]
fn open_or_set_aside_limits_bytes() {
    let dir = populated_folder();
    fs::write(file(dir.path(), "state"), "").unwrap();
    let log = file(dir.path(), "log-");
    let f = fs::File::options().write(true).open(&log).unwrap();
    f.set_len(65 * 1024 * 1024).unwrap();
    drop(Disk::open_or_set_aside(dir.path()).unwrap());
    assert!(dir.path().join("damaged-1-state").exists());
    let kept = set_aside(dir.path(), 1, &log).metadata().unwrap();
    assert!(!log.exists());
    assert_eq!(kept.len(), 0);
}

/// Guards against replicas that all forget what they hold after a return to a version that
/// does not know their format.
#[test]
fn open_or_set_aside_keeps_unknown_format() {
    let dir = populated_folder();
    let log = file(dir.path(), "log-");
    let payload = [0x08, 0x02];
    let mut frame = b"PLH1".to_vec();
    frame.extend(2_u32.to_le_bytes());
    frame.extend(crc32fast::hash(&payload).to_le_bytes());
    frame.extend(crc32fast::hash(&frame).to_le_bytes());
    frame.extend(payload);
    fs::write(&log, frame).unwrap();
    let result = Disk::open_or_set_aside(dir.path());
    assert!(matches!(result, Err(DiskError::UnknownFormat { .. })));
    assert!(log.exists());
}

/// Guards against a folder that is set aside under a process that uses it.
#[test]
fn open_or_set_aside_leaves_locked_folder() {
    let dir = populated_folder();
    let _disk = Disk::open(dir.path()).unwrap();
    fs::write(file(dir.path(), "state"), "").unwrap();
    let result = Disk::open_or_set_aside(dir.path());
    assert!(matches!(result, Err(DiskError::Locked { .. })));
}

/// Guards against a replica that is replaced because of a write that a loss of power tore.
#[test]
fn open_or_set_aside_repairs_what_was_not_synced() {
    let dir = populated_folder();
    let (mut disk, _) = Disk::open(dir.path()).unwrap();
    let mut perform = |index| {
        let op = DiskOp {
            id: index,
            write: append(index),
        };
        disk.perform(op, |e| panic!("{e}")).result.unwrap();
        disk.record_synced();
    };
    perform(3);
    let record = fs::read(dir.path().join("synced")).unwrap();
    let log = dir.path().join("log-00000000000000000002");
    let synced = fs::read(&log).unwrap().len();
    perform(4);
    drop(disk);
    let bytes = fs::read(&log).unwrap();
    for len in 0..bytes.len() {
        fs::write(dir.path().join("synced"), &record).unwrap();
        fs::write(&log, &bytes[..len]).unwrap();
        if len < synced {
            let result = Disk::open(dir.path());
            assert!(
                matches!(result, Err(DiskError::Corrupt { .. })),
                "cut at {len}"
            );
            continue;
        }
        let (_, recovered) = Disk::open_or_set_aside(dir.path()).unwrap();
        assert_eq!(recovered.entries.len(), 3, "cut at {len}");
        assert!(recovered.set_aside.is_empty());
    }
}

/// A record that is missing, outdated or torn after a loss of power costs only what it tells.
#[test_case(|path| fs::remove_file(path).unwrap(); "missing")]
#[test_case(|path| fs::write(path, "").unwrap(); "empty")]
#[test_case(change_middle; "torn")]
fn open_or_set_aside_without_record(change: impl Fn(&Path)) {
    let dir = populated_folder();
    change(&dir.path().join("synced"));
    cut_last_frame(&file(dir.path(), "log-"));
    let (_, recovered) = Disk::open_or_set_aside(dir.path()).unwrap();
    assert_eq!(recovered.entries.len(), 1);
    assert!(recovered.set_aside.is_empty());
}
