//! Runs of the load generator and their results.

use crate::process::{Process, built_program};
use miette::{IntoDiagnostic, Result, miette};
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// Options of a run of the load generator.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses of the daemons over which requests are distributed.
    pub daemons: Vec<SocketAddr>,
    /// Flows, in the syntax of the load generator's `--flow`.
    pub flows: Vec<String>,
    /// Measured duration, in seconds.
    pub seconds: u64,
    /// Duration of the warm-up before it, in seconds.
    pub warm_up: u64,
    /// Connections of each flow to each daemon.
    pub connections: usize,
    /// Additional arguments.
    pub args: Vec<String>,
}

/// Outcomes of the requests of a flow.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowResult {
    /// Customer and class, as `customer/class`.
    pub name: String,
    /// Requests with a response.
    pub answered: u64,
    /// Requests with an error response of the upstream.
    pub errors: u64,
    /// Refused requests.
    pub refused: u64,
    /// Requests without a response.
    pub unanswered: u64,
    /// Median, 99th and 99.9th percentile of the latency, in milliseconds.
    pub latency_ms: [f64; 3],
    /// Refusals by reason.
    pub reasons: String,
}

impl FlowResult {
    /// Returns the number of all requests of the flow.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.answered + self.errors + self.refused + self.unanswered
    }

    fn parse(row: &str) -> Result<Self> {
        let cells: Vec<&str> = row.split(',').collect();
        let cell = |i: usize| {
            cells
                .get(i)
                .copied()
                .ok_or_else(|| miette!("row of the load generator has no column {i}: {row}"))
        };
        let count = |i| cell(i)?.parse().into_diagnostic();
        let ms = |i| cell(i)?.parse().into_diagnostic();
        Ok(Self {
            name: cell(0)?.to_owned(),
            answered: count(2)?,
            errors: count(3)?,
            refused: count(4)?,
            unanswered: count(5)?,
            latency_ms: [ms(6)?, ms(7)?, ms(8)?],
            reasons: cells.get(10).copied().unwrap_or("").to_owned(),
        })
    }
}

/// Starts a run that writes its results to a file in `dir`.
///
/// # Errors
///
/// Returns an error if the load generator isn't built.
pub fn start(options: &LoadOptions, dir: &Path) -> Result<Process> {
    let mut args: Vec<String> = Vec::new();
    for daemon in &options.daemons {
        args.extend(["--daemon".into(), daemon.to_string()]);
    }
    for flow in &options.flows {
        args.extend(["--flow".into(), flow.clone()]);
    }
    for (name, value) in [
        ("--seconds", options.seconds),
        ("--warm-up", options.warm_up),
        ("--connections", options.connections as u64),
    ] {
        args.extend([name.into(), value.to_string()]);
    }
    args.extend(["--csv".into(), csv_path(dir).display().to_string()]);
    args.extend(options.args.iter().cloned());
    Process::start(
        &built_program("examples/load")?,
        &args,
        &[],
        &dir.join("load.log"),
    )
}

/// Waits for the end of a run and reads its results.
///
/// # Errors
///
/// Returns an error if the run failed or its results are malformed.
pub async fn finish(mut run: Process, dir: &Path) -> Result<Vec<FlowResult>> {
    while run.is_running() {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    if !run.wait()? {
        let log = fs::read_to_string(dir.join("load.log")).unwrap_or_default();
        return Err(miette!("the load generator exited with an error: {log}"));
    }
    let text = fs::read_to_string(csv_path(dir)).into_diagnostic()?;
    text.lines().skip(1).map(FlowResult::parse).collect()
}

fn csv_path(dir: &Path) -> std::path::PathBuf {
    dir.join("load.csv")
}
