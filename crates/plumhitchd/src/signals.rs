//! Signals that the process survives.

use signal_hook::consts::SIGXFSZ;
use signal_hook::flag;
use std::io;
use std::sync::Arc;

/// Signals that would end the process although it can continue: a write beyond the limit
/// on the length of files fails like one on a full disk.
const SURVIVED: [i32; 1] = [SIGXFSZ];

/// Handles the signals that the process survives, without any effect.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed.
pub(crate) fn survive() -> io::Result<()> {
    for signal in SURVIVED {
        // A handler, unlike an ignored signal, is not passed on by `exec`.
        flag::register(signal, Arc::default())?;
    }
    Ok(())
}
