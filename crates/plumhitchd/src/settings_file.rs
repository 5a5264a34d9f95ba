//! Reads the settings file at the start, and waits until it is usable.

use crate::integration::{Integration, SettingsSource};
use crate::signals::Signals;
use conf::Settings;
use std::fs;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Longest time to wait for a usable file: whoever writes it may be doing so.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Interval between attempts to read a file that is not usable.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What tells one content of a file from the next: its modification time, which advances
/// in steps of some milliseconds, and its length.
pub(crate) type Revision = Option<(SystemTime, u64)>;

/// Settings that the daemon starts with.
#[derive(Debug)]
pub(crate) struct Loaded {
    pub(crate) cfg: Settings,
    pub(crate) integration: Integration,
    /// Revision of the file that they were read from, or an earlier one.
    pub(crate) revision: Revision,
}

/// Reads the settings as soon as they are usable. Returns `None` if the process is to
/// stop.
///
/// # Errors
///
/// Returns why the settings are not usable after [`MAX_WAIT`].
pub(crate) fn load(source: &SettingsSource, signals: &Signals) -> Result<Option<Loaded>, String> {
    let started = Instant::now();
    let mut is_waiting = false;
    while !signals.stop_requested() {
        let revision = revision(&source.path);
        let reason = match (source.read)(&source.path) {
            Ok((cfg, integration)) => {
                return Ok(Some(Loaded {
                    cfg,
                    integration,
                    revision,
                }));
            }
            Err(reason) => reason,
        };
        if started.elapsed() >= MAX_WAIT {
            return Err(reason);
        }
        if !is_waiting {
            let ms = MAX_WAIT.as_millis();
            log::warn!("event=settings_unusable retry_for_ms={ms} reason={reason:?}");
        }
        is_waiting = true;
        thread::sleep(RETRY_INTERVAL);
    }
    Ok(None)
}

/// Returns the revision of a file, or `None` if it cannot be read.
pub(crate) fn revision(path: &Path) -> Revision {
    let metadata = fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
