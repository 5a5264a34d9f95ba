//! Child processes: start, signals, resource use and termination.

use miette::{IntoDiagnostic, Result, miette};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: u32 = 100;
/// Position of the user time in `/proc/PID/stat`, counted from the field after
/// the name; the system time follows it.
const USER_TIME_FIELD: usize = 11;

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with additional environment variables and appends its
    /// output to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started or the file can't be
    /// opened.
    pub fn start(
        program: &Path,
        args: &[String],
        envs: &[(String, String)],
        output: &Path,
    ) -> Result<Self> {
        let out = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(output)
            .into_diagnostic()?;
        let err = out.try_clone().into_diagnostic()?;
        let child = Command::new(program)
            .args(args)
            .envs(envs.iter().cloned())
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|err| miette!("can't start {}: {err}", program.display()))?;
        Ok(Self { child })
    }

    /// Returns the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the processor time used so far.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn cpu(&self) -> Result<Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.pid())).into_diagnostic()?;
        let (_, fields) = text
            .rsplit_once(')')
            .ok_or_else(|| miette!("/proc/{}/stat has an unknown format", self.pid()))?;
        let ticks: u32 = fields
            .split_whitespace()
            .skip(USER_TIME_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<u32>().ok())
            .sum();
        Ok(Duration::from_secs(1) * ticks / TICKS_PER_SECOND)
    }

    /// Returns the resident memory, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn memory(&self) -> Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).into_diagnostic()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line
            .and_then(|line| line.split_whitespace().nth(1))
            .and_then(|field| field.parse::<u64>().ok())
            .ok_or_else(|| miette!("/proc/{}/status has no VmRSS", self.pid()))?;
        Ok(kib * 1024)
    }

    /// Sends a signal, named as for `kill -NAME`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.pid().to_string())
            .status()
            .into_diagnostic()?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| miette!("kill -{name} {} failed: {status}", self.pid()))
    }

    /// Waits for the process to exit and returns whether it succeeded.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system can't wait for it.
    pub fn wait(&mut self) -> Result<bool> {
        Ok(self.child.wait().into_diagnostic()?.success())
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&mut self) {
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program built with this one: a binary by its name, an
/// example as `examples/NAME`.
///
/// # Errors
///
/// Returns an error if the program isn't built.
pub fn built_program(name: &str) -> Result<PathBuf> {
    let exe = std::env::current_exe().into_diagnostic()?;
    let program = exe
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join(name))
        .find(|p| p.exists());
    program.ok_or_else(|| {
        miette!("{name} isn't built; run `cargo build --release --workspace --bins --examples`")
    })
}
