//! Pauses before a data folder is opened again after an error of its disk.

use crate::clock;
use replica::DiskError;
use std::thread;
use std::time::Duration;

/// Pause before the first attempt. It doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Maximum pause.
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Time without an error after which the pauses begin anew.
const RESET_TIME: Duration = Duration::from_secs(60);

/// Errors of a disk, one after another, that are not temporary.
#[derive(Debug, Default)]
pub(super) struct Outage {
    /// When the first error was met, while the folder is not open.
    since: Option<Duration>,
    /// When the folder was opened last.
    ended_at: Option<Duration>,
    pause: Duration,
}

impl Outage {
    /// Waits before the folder is opened again.
    pub(super) fn wait(&mut self, reason: &DiskError) {
        let now = clock::now();
        if self.has_worked_for_long(now) {
            self.pause = Duration::ZERO;
        }
        self.since.get_or_insert(now);
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        let ms = self.pause.as_millis();
        log::error!("event=disk_failed retry_ms={ms} reason=\"{reason}\"");
        thread::sleep(self.pause);
    }

    /// Notes that the folder has been opened.
    pub(super) fn end(&mut self) {
        let now = clock::now();
        if let Some(since) = self.since.take() {
            let ms = now.saturating_sub(since).as_millis();
            log::info!("event=disk_reopened out_ms={ms}");
        }
        self.ended_at = Some(now);
    }

    fn has_worked_for_long(&self, now: Duration) -> bool {
        let ended_at = self.ended_at.filter(|_| self.since.is_none());
        ended_at.is_some_and(|at| now.saturating_sub(at) >= RESET_TIME)
    }
}
