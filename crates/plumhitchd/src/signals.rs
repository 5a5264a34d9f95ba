//! Signals that the process handles.
//!
//! They are handled from the start of the program on, before the runtime exists: one that
//! arrives while the daemon is being started takes effect once it has started.

use nix::sys::signal::{SigSet, Signal};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2, SIGXFSZ};
use signal_hook::flag;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::signal::unix::{self, SignalKind, signal};

/// Signals that would end the process although it can continue: a write beyond the limit
/// on the length of files, which fails like one on a full disk, and those by which tools
/// ask other programs to reopen their logs or to print their state.
const SURVIVED: [i32; 3] = [SIGXFSZ, SIGUSR1, SIGUSR2];
/// Signals that take effect even if the program was started with them blocked.
const UNBLOCKED: [Signal; 6] = [
    Signal::SIGHUP,
    Signal::SIGTERM,
    Signal::SIGINT,
    Signal::SIGXFSZ,
    Signal::SIGUSR1,
    Signal::SIGUSR2,
];

/// Handlers of the process's signals, which record those that arrive early.
#[derive(Debug)]
pub struct Signals {
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers, and unblocks the signals, which the threads that are started
    /// later inherit. A signal that arrives before may end the process, so this comes first
    /// in `main`.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed or the signals stay blocked.
    pub fn install() -> io::Result<Self> {
        let reload = Arc::new(AtomicBool::new(false));
        let stop = Arc::new(AtomicBool::new(false));
        flag::register(SIGHUP, reload.clone())?;
        flag::register(SIGTERM, stop.clone())?;
        flag::register(SIGINT, stop.clone())?;
        for signal in SURVIVED {
            flag::register(signal, Arc::default())?;
        }
        UNBLOCKED.into_iter().collect::<SigSet>().thread_unblock()?;
        Ok(Self { reload, stop })
    }

    /// Returns whether a signal to stop has arrived.
    pub(crate) fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Passes on the signals that have arrived and those to come.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub(crate) fn into_streams(self) -> io::Result<(ReloadSignals, StopSignals)> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        // From here on the streams receive each signal, so none is missed in between.
        let reload = ReloadSignals {
            arrived: self.reload.load(Ordering::Relaxed),
            hangup,
        };
        let stop = StopSignals {
            arrived: self.stop.load(Ordering::Relaxed),
            terminate,
            interrupt,
        };
        Ok((reload, stop))
    }
}

/// Requests to read the settings again.
#[derive(Debug)]
pub(crate) struct ReloadSignals {
    /// Whether a signal arrived before the stream existed.
    arrived: bool,
    hangup: unix::Signal,
}

impl ReloadSignals {
    /// Waits for a request; returns `None` if none will come any more.
    pub(crate) async fn recv(&mut self) -> Option<()> {
        match std::mem::take(&mut self.arrived) {
            true => Some(()),
            false => self.hangup.recv().await,
        }
    }
}

/// Requests to stop.
#[derive(Debug)]
pub(crate) struct StopSignals {
    /// Whether a signal arrived before the streams existed.
    arrived: bool,
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl StopSignals {
    /// Waits for a request.
    pub(crate) async fn recv(&mut self) {
        if std::mem::take(&mut self.arrived) {
            return;
        }
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
