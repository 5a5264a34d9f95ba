//! A data folder while the process cannot open files. Alone in its file, because the
//! limit applies to the whole process.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use replica::disk::Disk;
use replica::{DiskError, DiskOp, DiskWrite, HardState};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

const STATE: HardState = HardState {
    id: 5,
    cluster: 9,
    term: 3,
    vote: 5,
};

/// Guards against a replica that ends its part in the cluster for good, because the
/// process had no descriptor left when a term or vote was to be saved or its data folder
/// to be opened.
#[test]
fn perform_waits_for_descriptors() {
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = Disk::open(dir.path()).unwrap();
    let limit = getrlimit(Resource::Nofile);
    forbid_open(limit);
    let op = DiskOp {
        id: 1,
        write: DiskWrite::State(STATE),
    };
    let mut waits = 0;
    let done = disk.perform(op, |reason| {
        assert_eq!(*reason, DiskError::TooManyFiles);
        waits += 1;
        if waits == 3 {
            setrlimit(Resource::Nofile, limit).unwrap();
        }
    });
    assert_eq!((done.result, waits), (Ok(()), 3));
    drop(disk);

    forbid_open(limit);
    let refused = Disk::open(dir.path()).map(|_| ());
    setrlimit(Resource::Nofile, limit).unwrap();
    assert_eq!(refused, Err(DiskError::TooManyFiles));
    let (_, recovered) = Disk::open(dir.path()).unwrap();
    assert_eq!(recovered.hard_state, Some(STATE));
}

fn forbid_open(limit: Rlimit) {
    let none = Rlimit {
        current: Some(0),
        ..limit
    };
    setrlimit(Resource::Nofile, none).unwrap();
}
