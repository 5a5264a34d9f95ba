//! `plumhitch`, the command-line tool with which operators check and change the
//! configuration of a fleet and analyse its saved logs.

mod args;
mod change;
mod check;
mod client;
mod explain;
mod failure;
mod output;
mod rollout;
mod saved_logs;
mod time;
mod times;

use crate::args::{Args, Command, State};
use crate::client::Client;
use crate::failure::Failure;
use crate::output::Output;
use api::Operation;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let args: Args = argh::from_env();
    let output = Output::new(args.json);
    match run(&args, &output).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output.failure(&failure);
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run(args: &Args, output: &Output) -> Result<(), Failure> {
    let operation = match &args.command {
        Command::Check(files) => return check::check(files, output),
        Command::Explain(explain) => return explain::explain(explain),
        Command::Times(times) => return times::times(times),
        Command::Status(_) => return status(args, output).await,
        Command::History(history) => return self::history(args, history.limit, output).await,
        Command::Rollout(rollout) => return rollout::run(args, &rollout.action, output).await,
        Command::Initialise(_) => return initialise(args, output).await,
        Command::Apply(files) => check::read_lists(files)?,
        Command::DataCentre(data_centre) => data_centre_operation(&data_centre.state),
        Command::Upstream(upstream) => upstream_operation(&upstream.state),
    };
    change::submit(args, operation, output).await
}

fn data_centre_operation(state: &State) -> Operation {
    match state {
        State::Out(target) => Operation::DataCentreOut {
            data_centre: target.name.clone(),
        },
        State::Return(target) => Operation::DataCentreReturn {
            data_centre: target.name.clone(),
        },
    }
}

fn upstream_operation(state: &State) -> Operation {
    match state {
        State::Out(target) => Operation::UpstreamOut {
            upstream: target.name.clone(),
        },
        State::Return(target) => Operation::UpstreamReturn {
            upstream: target.name.clone(),
        },
    }
}

async fn status(args: &Args, output: &Output) -> Result<(), Failure> {
    let status = Client::new(args)?.status().await?;
    output.status(&status);
    Ok(())
}

async fn history(args: &Args, limit: u32, output: &Output) -> Result<(), Failure> {
    let history = Client::new(args)?.history(limit).await?;
    output.history(&history);
    Ok(())
}

async fn initialise(args: &Args, output: &Output) -> Result<(), Failure> {
    let mut client = Client::new(args)?;
    client.initialise().await?;
    output.initialised();
    Ok(())
}
