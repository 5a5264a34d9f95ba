//! Command line and exit codes.

use crate::integration::{Integration, SettingsSource};
use crate::signals::Signals;
use crate::{logging, process, settings_file};
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
    let findings = Settings::load(&options.settings).err();
    if let Some(findings) = &findings {
        eprint!("{}", findings.report());
    }
    if options.check {
        return check_result(&options.settings, findings.is_none());
    }
    let read = |path: &Path| {
        let settings = Settings::load(path).map_err(|f| f.lines().join("; "))?;
        Ok((settings, Integration::default()))
    };
    let source = SettingsSource {
        path: options.settings,
        read: Arc::new(read),
    };
    run(signals, source)
}

fn check_result(path: &Path, is_valid: bool) -> ExitCode {
    if !is_valid {
        return ExitCode::from(EXIT_SETTINGS);
    }
    println!("{}: no findings", path.display());
    ExitCode::SUCCESS
}

/// Runs a daemon until it is stopped, for a program that embeds it; returns the exit code.
/// Settings that are not usable yet are waited for, as are addresses that are in use.
#[must_use]
pub fn run(signals: Signals, source: SettingsSource) -> ExitCode {
    let _logging = logging::start();
    abort_on_panic();
    let loaded = match settings_file::load(&source, &signals) {
        Ok(Some(loaded)) => loaded,
        Ok(None) => return ExitCode::SUCCESS,
        Err(reason) => {
            log::error!("event=start_failed reason={reason:?}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match process::run(loaded, source, signals) {
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
