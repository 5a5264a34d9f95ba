//! Randomised faults of file operations: a disk without space for a while, one that fails
//! for a while, a process that is killed between two operations, and losses of power.
//!
//! To run more seeds than CI does:
//! `SHUFFLE_SEEDS=2000 cargo test --release -p replica --test disk_faults`

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod power;
mod seeds;

use power::{Power, Unsynced};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use replica::disk::{Disk, FaultInjector, FileOp};
use replica::{DiskError, DiskOp, DiskWrite, HardState, MemoryDisk, Recovered, Snapshot};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use tempfile::TempDir;
use wire::{LogEntry, Membership};

const CI_SEEDS: u64 = 20;
/// Batches of operations per seed.
const BATCHES: usize = 60;
/// Probability with which the disk is full when a batch begins.
const FULL_RATIO: f64 = 0.4;
/// Probability with which a full disk refuses a file operation.
const REFUSED_RATIO: f64 = 0.5;
/// Probability with which the process is killed during a batch.
const KILLED_RATIO: f64 = 0.2;
/// Probability with which the disk fails during a batch.
const BROKEN_RATIO: f64 = 0.2;
/// Probability with which the power is lost when a process ends.
const POWER_LOSS_RATIO: f64 = 0.3;
/// Attempts to open the folder again while the disk fails.
const FAILED_ATTEMPTS: usize = 3;
/// Maximum length of a command in bytes.
const MAX_COMMAND_BYTES: usize = 2_000;

/// The state of the injected faults.
struct Faults {
    rng: SmallRng,
    full: bool,
    /// Number of file operations after which the process is killed.
    killed_after: Option<usize>,
    /// Number of file operations after which the disk fails.
    broken_after: Option<usize>,
    folder: PathBuf,
    power: Power,
}

impl Faults {
    /// Refuses an operation or lets it be performed.
    fn check(&mut self, op: FileOp, path: &Path) -> io::Result<()> {
        self.refuse()?;
        self.power.record(&self.folder, op, path);
        Ok(())
    }

    fn refuse(&mut self) -> io::Result<()> {
        match &mut self.killed_after {
            Some(0) => return Err(ErrorKind::Other.into()),
            Some(operations) => *operations -= 1,
            None => {}
        }
        match &mut self.broken_after {
            Some(0) => return Err(ErrorKind::ReadOnlyFilesystem.into()),
            Some(operations) => *operations -= 1,
            None => {}
        }
        match self.full && self.rng.random_bool(REFUSED_RATIO) {
            true => Err(ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

fn injector(faults: &Arc<Mutex<Faults>>) -> FaultInjector {
    let faults = faults.clone();
    Box::new(move |op, path| faults.lock().unwrap().check(op, path))
}

/// A data folder under faults, and the data that it has to hold.
struct Shuffle {
    seed: u64,
    rng: SmallRng,
    faults: Arc<Mutex<Faults>>,
    dir: TempDir,
    disk: Disk,
    model: MemoryDisk,
    term: u64,
    last_id: u64,
}

impl Shuffle {
    fn new(seed: u64) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let faults = Arc::new(Mutex::new(Faults {
            rng: SmallRng::seed_from_u64(seed),
            full: false,
            killed_after: None,
            broken_after: None,
            folder: dir.path().to_owned(),
            power: Power::new(),
        }));
        let (disk, _) = open(dir.path(), &faults);
        let mut shuffle = Self {
            seed,
            rng: SmallRng::seed_from_u64(seed + 1),
            faults,
            dir,
            disk,
            model: MemoryDisk::new(),
            term: 1,
            last_id: 0,
        };
        shuffle.perform(vec![state(1)]);
        shuffle
    }

    /// Performs a batch beside faults, and checks what can be read afterwards.
    fn step(&mut self) {
        let writes = self.random_writes();
        {
            let mut faults = self.faults.lock().unwrap();
            faults.full = self.rng.random_bool(FULL_RATIO);
            let killed = self.rng.random_bool(KILLED_RATIO);
            faults.killed_after = killed.then(|| self.rng.random_range(0..12));
            let broken = !killed && self.rng.random_bool(BROKEN_RATIO);
            faults.broken_after = broken.then(|| self.rng.random_range(0..12));
        }
        self.perform(writes);
        if self.rng.random_bool(0.2) {
            let model = self.model.clone();
            self.restart(&[model]);
        }
    }

    fn perform(&mut self, writes: Vec<DiskWrite>) {
        let first = self.last_id + 1;
        self.last_id += writes.len() as u64;
        let ops = (first..)
            .zip(writes)
            .map(|(id, write)| DiskOp { id, write });
        let ops: Vec<DiskOp> = ops.collect();
        let mut waits = 0;
        let space_after = self.rng.random_range(1..6);
        let faults = self.faults.clone();
        let done = self.disk.perform_batch(ops.clone(), |_| {
            waits += 1;
            faults.lock().unwrap().full &= waits < space_after;
        });
        self.disk.record_synced();
        let mut possible = vec![self.model.clone()];
        for (op, done) in ops.into_iter().zip(done) {
            let mut next = possible.last().unwrap().clone();
            next.perform(op);
            match done.result {
                Ok(()) => possible = vec![next],
                // The operation that was interrupted may be complete on the disk.
                Err(DiskError::Io {
                    kind: ErrorKind::Other | ErrorKind::ReadOnlyFilesystem,
                    ..
                }) => possible.push(next),
                Err(DiskError::Stopped) => {}
                Err(error) => panic!("seed {}: {error}", self.seed),
            }
        }
        match possible.len() {
            1 => self.model = possible.remove(0),
            _ if self.is_broken() && self.rng.random_bool(0.8) => self.reopen(&possible),
            _ => self.restart(&possible),
        }
        self.faults.lock().unwrap().broken_after = None;
    }

    fn is_broken(&self) -> bool {
        self.faults.lock().unwrap().broken_after == Some(0)
    }

    /// Opens the folder again in the same process: first while the disk fails after a few
    /// operations, then while it works or is full.
    fn reopen(&mut self, possible: &[MemoryDisk]) {
        for _ in 0..self.rng.random_range(0..=FAILED_ATTEMPTS) {
            let operations = self.rng.random_range(0..20);
            self.faults.lock().unwrap().broken_after = Some(operations);
            if let Ok(recovered) = self.disk.reopen() {
                return self.check(possible, &recovered);
            }
        }
        self.faults.lock().unwrap().broken_after = None;
        let recovered = loop {
            match self.disk.reopen() {
                Ok(recovered) => break recovered,
                Err(DiskError::Full) => {
                    let is_full = self.rng.random_bool(0.5);
                    self.faults.lock().unwrap().full &= is_full;
                }
                Err(error) => panic!("seed {}: {error}", self.seed),
            }
        };
        self.check(possible, &recovered);
    }

    /// Restarts the process, in some cases with a loss of power. The folder has to hold the
    /// data of one of the models. Nothing depends on what a start has read before it is
    /// synced.
    fn restart(&mut self, possible: &[MemoryDisk]) {
        self.restart_once(possible);
        while self.rng.random_bool(POWER_LOSS_RATIO) {
            self.restart_once(possible);
        }
        self.perform(vec![DiskWrite::Recovered]);
    }

    fn restart_once(&mut self, possible: &[MemoryDisk]) {
        {
            let mut faults = self.faults.lock().unwrap();
            faults.killed_after = None;
            faults.broken_after = None;
            faults.full = self.rng.random_bool(FULL_RATIO);
        }
        let unused = tempfile::tempdir().unwrap();
        self.disk = Disk::open(unused.path()).unwrap().0;
        if self.rng.random_bool(POWER_LOSS_RATIO) {
            let rng = &mut self.rng;
            let unsynced = match rng.random_bool(0.5) {
                true => Unsynced::Lost,
                false => Unsynced::Random(rng),
            };
            let mut faults = self.faults.lock().unwrap();
            faults.power.cut(self.dir.path(), unsynced);
        }
        let (disk, recovered) = open(self.dir.path(), &self.faults);
        self.disk = disk;
        self.check(possible, &recovered);
    }

    /// Asserts that the folder holds the data of one of the models.
    fn check(&mut self, possible: &[MemoryDisk], recovered: &Recovered) {
        let found = possible.iter().find(|model| model.recover() == *recovered);
        let Some(found) = found else {
            let expected: Vec<Recovered> = possible.iter().map(MemoryDisk::recover).collect();
            panic!("seed {}: {recovered:?}, not one of {expected:?}", self.seed);
        };
        self.model = found.clone();
    }

    fn random_writes(&mut self) -> Vec<DiskWrite> {
        let mut model = self.model.clone();
        let count = self.rng.random_range(1..4);
        let writes = (0..count).map(|id| {
            let write = self.random_write(&model.recover());
            let op = DiskOp { id, write };
            model.perform(op.clone());
            op.write
        });
        writes.collect()
    }

    fn random_write(&mut self, stored: &Recovered) -> DiskWrite {
        let base = stored
            .snapshot
            .as_ref()
            .map_or((0, 0), |s| (s.index, s.term));
        let last = stored.entries.last().map_or(base, |e| (e.index, e.term));
        self.term += self.rng.random_range(0..2);
        match self.rng.random_range(0..10) {
            0 | 1 => state(self.term),
            // A snapshot of another replica, beyond the log.
            2 => snapshot(last.0 + self.rng.random_range(1..9), self.term),
            3 | 4 if last.0 > base.0 => {
                let n = self.rng.random_range(0..stored.entries.len());
                snapshot(stored.entries[n].index, stored.entries[n].term)
            }
            _ => {
                let replaced = self.rng.random_bool(0.2) && last.0 > base.0;
                let first = match replaced {
                    true => self.rng.random_range(base.0 + 1..=last.0),
                    false => last.0 + 1,
                };
                let count = self.rng.random_range(1..5);
                DiskWrite::Append((first..first + count).map(|i| self.entry(i)).collect())
            }
        }
    }

    fn entry(&mut self, index: u64) -> LogEntry {
        let len = self.rng.random_range(1..MAX_COMMAND_BYTES);
        LogEntry {
            term: self.term,
            index,
            command: vec![u8::try_from(index % 251).unwrap(); len].into(),
            membership: None,
        }
    }
}

fn state(term: u64) -> DiskWrite {
    DiskWrite::State(HardState {
        id: 5,
        cluster: 9,
        term,
        vote: 5,
    })
}

fn snapshot(index: u64, term: u64) -> DiskWrite {
    DiskWrite::Snapshot(Snapshot {
        index,
        term,
        membership: Membership::default(),
        state: vec![7; 3_000].into(),
    })
}

/// Opens a folder; while the disk is full, tries again.
fn open(folder: &Path, faults: &Arc<Mutex<Faults>>) -> (Disk, Recovered) {
    loop {
        match Disk::open_with_faults(folder, injector(faults)) {
            Ok(opened) => return opened,
            Err(DiskError::Full) => {}
            Err(error) => panic!("cannot be opened: {error}"),
        }
    }
}

/// Guards against a replica that ends its part in the cluster for good, or loses or
/// corrupts its log, because its disk was full or failed for a while: when what a failed
/// write left could not be removed at once either, and when the disk fails again while the
/// folder is reopened.
#[test]
fn full_and_failed_disks_and_kills_preserve_data() {
    for seed in seeds::shuffle_seeds(1, CI_SEEDS) {
        println!("seed {seed}");
        let mut shuffle = Shuffle::new(seed);
        (0..BATCHES).for_each(|_| shuffle.step());
    }
}

/// Guards against a folder that cannot be opened after a loss of power, because a segment
/// was removed and an older one is back: a removed name is only gone for good once the
/// folder has been synced.
#[test]
fn covered_segments_are_removed_one_by_one() {
    let dir = tempfile::tempdir().unwrap();
    let performed = Arc::new(Mutex::new(Vec::new()));
    let perform = |writes: Vec<DiskWrite>| {
        let performed = performed.clone();
        let record = move |op, _: &Path| {
            performed.lock().unwrap().push(op);
            Ok(())
        };
        let (mut disk, _) = Disk::open_with_faults(dir.path(), Box::new(record)).unwrap();
        for write in writes {
            let done = disk.perform(DiskOp { id: 1, write }, |reason| panic!("{reason}"));
            assert_eq!(done.result, Ok(()));
        }
    };
    perform(vec![state(1)]);
    for index in 1..=3 {
        // Each start begins a segment.
        let entry = LogEntry {
            term: 1,
            index,
            ..LogEntry::default()
        };
        perform(vec![DiskWrite::Append(vec![entry])]);
    }
    perform(vec![snapshot(3, 1)]);
    let performed = performed.lock().unwrap();
    let removed = performed.iter().filter(|op| **op == FileOp::Remove);
    assert!(removed.count() >= 3, "{performed:?}");
    let mut successive = performed.windows(2);
    let unsynced = successive.any(|ops| ops == [FileOp::Remove, FileOp::Remove]);
    assert!(!unsynced, "{performed:?}");
}
