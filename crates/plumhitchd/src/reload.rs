//! Reloads the settings on `SIGHUP` and when the settings file changes.

use crate::integration::SettingsSource;
use crate::runtime::Daemon;
use crate::settings_file::{Revision, revision};
use crate::signals::ReloadSignals;
use conf::Settings;
use node::Event;
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks of the file's modification time.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads on every signal and whenever the file has another revision than the one that
/// was read last.
pub(crate) async fn watch(
    daemon: Arc<Daemon>,
    source: SettingsSource,
    mut last: Revision,
    mut signals: ReloadSignals,
) {
    loop {
        tokio::select! {
            received = signals.recv() => match received {
                Some(()) => reload(&daemon, &source),
                None => return,
            },
            () = tokio::time::sleep(POLL_INTERVAL) => {
                let now = revision(&source.path);
                if now != last {
                    reload(&daemon, &source);
                }
                last = now;
            }
        }
    }
}

/// Applies the settings that may change at run time: the addresses of the control
/// replicas. All other changes need a restart, which the log line reports.
fn reload(daemon: &Arc<Daemon>, source: &SettingsSource) {
    match (source.read)(&source.path) {
        Ok((settings, _)) => {
            let needs_restart = needs_restart(&daemon.cfg, &settings);
            let replicas = settings.control.replicas;
            let addresses: Vec<String> = replicas.iter().map(ToString::to_string).collect();
            let addresses = addresses.join(",");
            log::info!("event=reloaded replicas={addresses} needs_restart={needs_restart}");
            daemon.handle_event(Event::Replicas(replicas));
        }
        Err(reason) => log::error!("event=reload_failed reason={reason:?}"),
    }
}

fn needs_restart(old: &Settings, new: &Settings) -> bool {
    let mut expected = new.clone();
    expected.control.replicas.clone_from(&old.control.replicas);
    expected.control.bootstrap = old.control.bootstrap;
    expected != *old
}
