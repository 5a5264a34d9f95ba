//! Command line and exit codes.

use crate::integration::{Integration, SettingsSource};
use crate::signals::Signals;
use crate::{logging, process};
use argh::FromArgs;
use conf::Settings;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Exit code if the daemon failed to start or run.
const EXIT_FAILED: u8 = 1;
/// Exit code if the settings are invalid.
const EXIT_SETTINGS: u8 = 2;

/// The plumhitch daemon: runs beside one upstream.
#[derive(FromArgs)]
struct Options {
    /// file with the daemon's settings
    #[argh(option)]
    settings: PathBuf,
    /// checks the settings and exits
    #[argh(switch)]
    check: bool,
}

/// Parses the command line and runs the daemon until it is stopped; returns the
/// exit code.
#[must_use]
pub fn main() -> ExitCode {
    let signals = match Signals::install() {
        Ok(signals) => signals,
        Err(err) => {
            eprintln!("cannot handle signals: {err}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let options: Options = argh::from_env();
    let cfg = match Settings::load(&options.settings) {
        Ok(cfg) => cfg,
        Err(findings) => {
            eprint!("{}", findings.report());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        println!("{}: no findings", options.settings.display());
        return ExitCode::SUCCESS;
    }
    let read = |path: &Path| Settings::load(path).map_err(|f| f.lines().join("; "));
    let integration = Integration {
        settings_source: Some(SettingsSource {
            path: options.settings,
            read: Arc::new(read),
        }),
        ..Integration::default()
    };
    run(signals, cfg, integration)
}

/// Runs a daemon with validated settings until it is stopped, for a program that
/// embeds it; returns the exit code.
#[must_use]
pub fn run(signals: Signals, cfg: Settings, integration: Integration) -> ExitCode {
    let _logging = logging::start();
    abort_on_panic();
    match process::run(cfg, integration, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("event=start_failed reason=\"{err}\"");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Aborts the process on a panic in any task, because the shared state may be
/// inconsistent afterwards.
fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::abort();
    }));
}
