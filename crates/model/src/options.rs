//! The command line.

use crate::experiment::Experiment;
use crate::report::{Row, print, save};
use crate::world::play;
use argh::FromArgs;
use miette::{IntoDiagnostic, Result, WrapErr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Plays experiments on a model of the served systems, and compares ways to
/// decide.
#[derive(FromArgs)]
struct Options {
    /// experiments, as files
    #[argh(positional)]
    experiments: Vec<PathBuf>,
    /// plays only variants with this name
    #[argh(option)]
    variant: Vec<String>,
    /// plays only at this load
    #[argh(option)]
    load: Vec<f64>,
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// seeds of each run, whose results are put together
    #[argh(option, default = "1")]
    seeds: u64,
    /// folder for a CSV file and plots of each experiment
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Plays the experiments asked for; returns the exit code.
#[must_use]
pub fn main() -> ExitCode {
    let options: Options = argh::from_env();
    for path in &options.experiments {
        if let Err(err) = run(path, &options) {
            eprintln!("{err:?}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn run(path: &Path, options: &Options) -> Result<()> {
    let text = std::fs::read_to_string(path).into_diagnostic();
    let text = text.wrap_err_with(|| path.display().to_string())?;
    let experiment = Experiment::parse(&text).wrap_err_with(|| path.display().to_string())?;
    let loads = match options.load.is_empty() {
        true => &experiment.loads,
        false => &options.load,
    };
    let named = |name: &String| options.variant.is_empty() || options.variant.contains(name);
    let variants = experiment.variant.iter().filter(|v| named(&v.name));
    let mut rows = Vec::new();
    for variant in variants {
        for load in loads {
            for seed in options.seed..options.seed + options.seeds {
                let tally = play(&experiment, variant, *load, seed)?;
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
