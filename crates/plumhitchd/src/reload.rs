//! Reads the settings again when they change, with a signal or without.

use crate::integration::SettingsSource;
use crate::runtime::Daemon;
use conf::Settings;
use node::Event;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time between looks at the file.
const INTERVAL: Duration = Duration::from_secs(2);

/// Creates the stream of signals to reload. It must be there before the first
/// such signal, which would end the process otherwise.
///
/// # Errors
///
/// Returns why signals can't be received.
pub(crate) fn signals() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reloads at every signal, and whenever the file has another time of change.
pub(crate) async fn watch(daemon: Arc<Daemon>, mut signals: Signal) {
    let Some(source) = daemon.integration.settings_source.clone() else {
        while signals.recv().await.is_some() {
            log::warn!("event=reload_ignored reason=\"no settings file is known\"");
        }
        return;
    };
    let mut seen = changed_at(&source.path);
    loop {
        tokio::select! {
            received = signals.recv() => match received {
                Some(()) => reload(&daemon, &source),
                None => return,
            },
            () = tokio::time::sleep(INTERVAL) => {
                let now = changed_at(&source.path);
                if now != seen {
                    reload(&daemon, &source);
                }
                seen = now;
            }
        }
    }
}

/// Takes over what may change while a daemon runs: where the control replicas
/// are. For anything else it must be started again.
fn reload(daemon: &Arc<Daemon>, source: &SettingsSource) {
    match (source.read)(&source.path) {
        Ok(settings) => {
            let needs_restart = needs_restart(&daemon.cfg, &settings);
            let replicas = settings.control.replicas;
            let names: Vec<String> = replicas.iter().map(ToString::to_string).collect();
            let names = names.join(",");
            log::info!("event=reloaded replicas={names} needs_restart={needs_restart}");
            daemon.dispatch(Event::Replicas(replicas));
        }
        Err(reason) => log::error!("event=reload_failed reason={reason:?}"),
    }
}

fn needs_restart(old: &Settings, new: &Settings) -> bool {
    let mut same = new.clone();
    same.control.replicas.clone_from(&old.control.replicas);
    same.control.found = old.control.found;
    same != *old
}

fn changed_at(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).ok()?.modified().ok()
}
