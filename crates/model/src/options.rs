//! Command-line options and the runs that they select.

use crate::experiment::Experiment;
use crate::report::{Row, print, save};
use crate::simulation::simulate;
use argh::FromArgs;
use miette::{IntoDiagnostic, Result, WrapErr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs experiments on a simulation of the served systems and compares routing
/// policies.
#[derive(FromArgs)]
struct Options {
    /// experiment files (TOML)
    #[argh(positional)]
    experiments: Vec<PathBuf>,
    /// runs only variants with this name
    #[argh(option)]
    variant: Vec<String>,
    /// runs only at this load
    #[argh(option)]
    load: Vec<f64>,
    /// first random seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds per run; the table and the plots show the means
    #[argh(option, default = "1")]
    seeds: u64,
    /// directory for the CSV file and the plots of each experiment
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Runs the experiments named on the command line and returns the exit code.
#[must_use]
pub fn main() -> ExitCode {
    let options: Options = argh::from_env();
    for path in &options.experiments {
        if let Err(err) = run_experiment(path, &options) {
            eprintln!("{err:?}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn run_experiment(path: &Path, options: &Options) -> Result<()> {
    let text = std::fs::read_to_string(path).into_diagnostic();
    let text = text.wrap_err_with(|| path.display().to_string())?;
    let experiment = Experiment::parse(&text).wrap_err_with(|| path.display().to_string())?;
    let loads = match options.load.is_empty() {
        true => &experiment.loads,
        false => &options.load,
    };
    let selected = |name: &String| options.variant.is_empty() || options.variant.contains(name);
    let variants = experiment.variant.iter().filter(|v| selected(&v.name));
    let mut rows = Vec::new();
    for variant in variants {
        for load in loads {
            for seed in options.seed..options.seed + options.seeds {
                let tally = simulate(&experiment, variant, *load, seed)?;
                rows.push(Row {
                    variant: variant.name.clone(),
                    load: *load,
                    seed,
                    tally,
                });
            }
        }
    }
    print(&experiment, &rows);
    options
        .out
        .as_ref()
        .map_or(Ok(()), |out| save(out, &experiment, &rows))
}
