//! The thread that writes and syncs the control replica's files.

mod outage;

use crate::clock;
use crate::runtime::Daemon;
use conf::Settings;
use node::Event;
use outage::Outage;
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

/// Starts the disk thread. It opens the data folder if an error has prevented that so far.
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
            Err(reason) if may_end(&reason) => open_later(&daemon, &reason),
            opened => opened.ok(),
        };
        if let Some(disk) = disk {
            perform_ops(&daemon, disk, &rx);
        }
    };
    thread::Builder::new().name("disk".into()).spawn(run)?;
    Ok(())
}

/// Returns whether the folder can be opened later, once an error has ended.
fn may_end(reason: &DiskError) -> bool {
    !matches!(reason, DiskError::UnknownFormat { .. })
}

/// Tries to open the data folder until it succeeds, and passes the recovered replica on.
fn open_later(daemon: &Arc<Daemon>, reason: &DiskError) -> Option<Disk> {
    let path = daemon.cfg.control.data_dir.as_deref()?;
    let mut outage = Outage::default();
    let mut full_since = None;
    wait_to_open(reason, &mut full_since, &mut outage);
    let opened = loop {
        match Disk::open_or_set_aside(path) {
            Err(reason) if may_end(&reason) => {
                wait_to_open(&reason, &mut full_since, &mut outage);
            }
            opened => break opened,
        }
    };
    log_writable(full_since);
    outage.end();
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

/// Waits before the data folder is opened again.
fn wait_to_open(reason: &DiskError, full_since: &mut Option<Duration>, outage: &mut Outage) {
    match reason.is_temporary() {
        true => wait_to_retry(reason, full_since),
        false => outage.wait(reason),
    }
}

/// Performs operations until the daemon ends. Those that queue up meanwhile share one
/// sync. After an error the folder is opened again.
fn perform_ops(daemon: &Arc<Daemon>, mut disk: Disk, rx: &mpsc::Receiver<DiskOp>) {
    let mut outage = Outage::default();
    while let Ok(first) = rx.recv() {
        let mut ops = vec![first];
        ops.extend(rx.try_iter());
        let mut full_since = None;
        let done = disk.perform_batch(ops, |reason| wait_to_retry(reason, &mut full_since));
        log_writable(full_since);
        let reason = done.iter().find_map(|d| d.result.clone().err());
        for done in done {
            daemon.handle_event(Event::DiskDone(done));
        }
        match reason {
            Some(reason) => reopen(daemon, &mut disk, rx, reason, &mut outage),
            None => disk.record_synced(),
        }
    }
}

/// Opens the data folder again until it succeeds, and passes the recovered replica on in
/// place of the one that the error has stopped.
fn reopen(
    daemon: &Arc<Daemon>,
    disk: &mut Disk,
    rx: &mpsc::Receiver<DiskOp>,
    mut reason: DiskError,
    outage: &mut Outage,
) {
    let recovered = loop {
        outage.wait(&reason);
        match disk.reopen() {
            Ok(recovered) => break recovered,
            Err(err) => reason = err,
        }
    };
    outage.end();
    // They come from the replica that the error has stopped.
    rx.try_iter().for_each(drop);
    let replica = replica(&daemon.cfg, recovered);
    daemon.handle_event(Event::ReplicaRecovered(replica));
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
