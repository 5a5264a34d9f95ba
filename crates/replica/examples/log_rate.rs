//! Measures a single replica on a real data folder: commands per second by the
//! number of commands per sync, and the time to reopen the folder.
//!
//! Run with `cargo run --release -p replica --example log_rate [FOLDER]`.

use bytes::Bytes;
use replica::disk::Disk;
use replica::{DiskError, DiskOp, Input, Output, Recovered, Replica, ReplicaOptions, Role};
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const COMMAND_BYTES: usize = 200;
const BATCHES: [u64; 4] = [1, 8, 64, 256];
const RUN_TIME: Duration = Duration::from_secs(2);
const REOPEN_ENTRIES: [u64; 3] = [1_000, 10_000, 50_000];
const REOPEN_BATCH: u64 = 500;
const FULL_DISK_WAIT: Duration = Duration::from_millis(200);
const NO_SNAPSHOTS: u64 = u64::MAX;
const DEFAULT_SNAPSHOTS: u64 = 10_000;

/// A single-node cluster and its disk.
struct SingleNode {
    replica: Replica,
    disk: Disk,
    started: Instant,
    applied: u64,
}

impl SingleNode {
    fn open(folder: &Path, snapshot_entries: u64) -> Result<Self, DiskError> {
        let started = Instant::now();
        let (disk, recovered) = Disk::open(folder)?;
        let is_new = recovered == Recovered::default();
        let mut options = ReplicaOptions::new("127.0.0.1:7300", 1);
        options.snapshot_entries = snapshot_entries;
        let mut single = Self {
            replica: Replica::new(options, recovered, Duration::ZERO),
            disk,
            started,
            applied: 0,
        };
        single.run(vec![Input::Tick]);
        if is_new {
            single.run(vec![Input::Initialise]);
        }
        Ok(single)
    }

    fn wait_for_leadership(&mut self) {
        while self.replica.role() != Role::Leader {
            std::thread::sleep(Duration::from_millis(5));
            self.run(vec![Input::Tick]);
        }
    }

    /// Steps the replica through inputs and their results until none is left.
    /// The disk operations of each pass are performed as one batch.
    fn run(&mut self, inputs: Vec<Input>) {
        let mut inputs = VecDeque::from(inputs);
        while !inputs.is_empty() {
            let mut tx = Vec::new();
            for input in inputs.drain(..) {
                let now = self.started.elapsed();
                self.replica.step(now, input, &mut tx);
            }
            let mut ops: Vec<DiskOp> = Vec::new();
            for output in tx {
                match output {
                    Output::Disk(op) => ops.push(op),
                    Output::Apply { .. } => self.applied += 1,
                    Output::TakeSnapshot { index } => {
                        let state = Bytes::from(vec![7; COMMAND_BYTES * 1_000]);
                        inputs.push_back(Input::SnapshotTaken { index, state });
                    }
                    _ => {}
                }
            }
            let done = self
                .disk
                .perform_batch(ops, |_| std::thread::sleep(FULL_DISK_WAIT));
            inputs.extend(done.into_iter().map(Input::DiskDone));
        }
    }

    fn propose(&mut self, count: u64) {
        let command = Bytes::from(vec![1; COMMAND_BYTES]);
        let inputs = (0..count).map(|token| Input::Propose {
            token,
            command: command.clone(),
        });
        self.run(inputs.collect());
    }
}

fn main() -> Result<(), DiskError> {
    let folder = std::env::args().nth(1);
    let folder = folder.map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = folder.join(format!("log_rate-{}", std::process::id()));
    println!(
        "folder {}, commands of {COMMAND_BYTES} bytes",
        folder.display()
    );
    let result = measure(&folder);
    let removed = std::fs::remove_dir_all(&folder);
    if let Err(e) = removed {
        eprintln!("failed to remove {}: {e}", folder.display());
    }
    result
}

fn measure(folder: &Path) -> Result<(), DiskError> {
    println!("\n| commands per sync | commands/s | ms per sync |\n|---:|---:|---:|");
    for batch in BATCHES {
        measure_rate(&folder.join(format!("rate-{batch}")), batch)?;
    }
    println!("\n| entries | snapshot every | ms to open | entries read |\n|---:|---:|---:|---:|");
    for entries in REOPEN_ENTRIES {
        for snapshots in [NO_SNAPSHOTS, DEFAULT_SNAPSHOTS] {
            let path = folder.join(format!("open-{entries}-{snapshots}"));
            measure_reopen(&path, entries, snapshots)?;
        }
    }
    Ok(())
}

fn measure_rate(folder: &Path, batch: u64) -> Result<(), DiskError> {
    let mut single = SingleNode::open(folder, DEFAULT_SNAPSHOTS)?;
    single.wait_for_leadership();
    let start = Instant::now();
    let mut syncs = 0;
    while start.elapsed() < RUN_TIME {
        single.propose(batch);
        syncs += 1;
    }
    let seconds = start.elapsed().as_secs_f64();
    let rate = single.applied as f64 / seconds;
    let ms_per_sync = seconds * 1_000.0 / f64::from(syncs);
    println!("| {batch} | {rate:.0} | {ms_per_sync:.3} |");
    Ok(())
}

fn measure_reopen(folder: &Path, entries: u64, snapshots: u64) -> Result<(), DiskError> {
    let mut single = SingleNode::open(folder, snapshots)?;
    single.wait_for_leadership();
    for _ in 0..entries / REOPEN_BATCH {
        single.propose(REOPEN_BATCH);
    }
    drop(single);
    let start = Instant::now();
    let (disk, recovered) = Disk::open(folder)?;
    let read = recovered.entries.len();
    let replica = Replica::new(ReplicaOptions::new("n1", 1), recovered, Duration::ZERO);
    let ms = start.elapsed().as_secs_f64() * 1_000.0;
    drop((disk, replica));
    let every = if snapshots == NO_SNAPSHOTS {
        "never".to_owned()
    } else {
        snapshots.to_string()
    };
    println!("| {entries} | {every} | {ms:.1} | {read} |");
    Ok(())
}
