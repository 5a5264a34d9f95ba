//! The thread that writes and syncs the control replica's files.

use crate::clock;
use crate::runtime::Daemon;
use conf::Settings;
use node::Event;
use replica::disk::Disk;
use replica::{DiskError, DiskOp, Recovered, Replica, ReplicaOptions};
use std::io;
use std::path::Path;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;
use tokio::runtime::Handle;

/// Heartbeats of a leader per minimum election timeout.
const HEARTBEATS_PER_ELECTION: u32 = 4;

/// Time after which a disk operation is tried again that met a temporary error.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Queue of disk operations.
pub(crate) type DiskTx = mpsc::Sender<DiskOp>;

/// Opens the data folder. Corrupt files are set aside. If that fails, the replica is marked
/// faulty and the daemon's other roles keep working.
pub(crate) fn open(path: &Path) -> (Result<Disk, DiskError>, Recovered) {
    match Disk::open_or_set_aside(path) {
        Ok((disk, recovered)) => (Ok(disk), recovered),
        Err(err) => {
            log::error!(
                "event=data_folder_unusable path={} reason=\"{err}\"",
                path.display()
            );
            (Err(err.clone()), Recovered::faulty(err))
        }
    }
}

/// Creates the control replica from the recovered state.
pub(crate) fn replica(cfg: &Settings, recovered: Recovered) -> Replica {
    let own = cfg.listen.peers.to_string();
    let others = cfg.control.replicas.iter().map(ToString::to_string);
    let mut options = ReplicaOptions::new(&own, rand::random());
    options.election_timeout = cfg.control.election_timeout;
    options.heartbeat_interval = cfg.control.election_timeout / HEARTBEATS_PER_ELECTION;
    options.snapshot_entries = cfg.control.snapshot_entries;
    options.target_voters = cfg.control.target_voters;
    if cfg.control.bootstrap {
        options.initial_voters = others.clone().collect();
    }
    options.configured_replicas = others.filter(|address| *address != own).collect();
    Replica::new(options, recovered, clock::now())
}

/// Starts the disk thread. It opens the data folder if a temporary error has prevented
/// that so far.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub(crate) fn start(
    daemon: Arc<Daemon>,
    opened: Result<Disk, DiskError>,
    rx: mpsc::Receiver<DiskOp>,
) -> io::Result<()> {
    // Effects of a completed operation may open connections, which needs the
    // runtime.
    let runtime = Handle::current();
    let run = move || {
        let _guard = runtime.enter();
        let disk = match opened {
            Err(reason) if reason.is_temporary() => open_later(&daemon, &reason),
            opened => opened.ok(),
        };
        if let Some(disk) = disk {
            perform_ops(&daemon, disk, &rx);
        }
    };
    thread::Builder::new().name("disk".into()).spawn(run)?;
    Ok(())
}

/// Tries to open the data folder until there is no temporary error, and passes the
/// recovered replica on.
fn open_later(daemon: &Arc<Daemon>, reason: &DiskError) -> Option<Disk> {
    let path = daemon.cfg.control.data_dir.as_deref()?;
    let mut full_since = None;
    wait_to_retry(reason, &mut full_since);
    let opened = loop {
        match Disk::open_or_set_aside(path) {
            Err(reason) if reason.is_temporary() => wait_to_retry(&reason, &mut full_since),
            opened => break opened,
        }
    };
    log_writable(full_since);
    match opened {
        Ok((disk, recovered)) => {
            let replica = replica(&daemon.cfg, recovered);
            daemon.handle_event(Event::ReplicaRecovered(replica));
            Some(disk)
        }
        Err(err) => {
            let path = path.display();
            log::error!("event=data_folder_unusable path={path} reason=\"{err}\"");
            None
        }
    }
}

/// Performs operations until the daemon ends. Those that queue up meanwhile share one
/// sync.
fn perform_ops(daemon: &Arc<Daemon>, mut disk: Disk, rx: &mpsc::Receiver<DiskOp>) {
    while let Ok(first) = rx.recv() {
        let mut ops = vec![first];
        ops.extend(rx.try_iter());
        let mut full_since = None;
        let done = disk.perform_batch(ops, |reason| wait_to_retry(reason, &mut full_since));
        log_writable(full_since);
        for done in done {
            daemon.handle_event(Event::DiskDone(done));
        }
        disk.record_synced();
    }
}

fn log_writable(full_since: Option<Duration>) {
    if let Some(since) = full_since {
        let ms = clock::now().saturating_sub(since).as_millis();
        log::info!("event=disk_writable full_ms={ms}");
    }
}

/// Waits before a disk operation is tried again after a temporary error.
fn wait_to_retry(reason: &DiskError, full_since: &mut Option<Duration>) {
    if full_since.is_none() {
        let ms = RETRY_INTERVAL.as_millis();
        log::error!("event=disk_full retry_ms={ms} reason=\"{reason}\"");
        *full_since = Some(clock::now());
    }
    thread::sleep(RETRY_INTERVAL);
}
