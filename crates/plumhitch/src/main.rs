//! `plumhitch`, the operators' command.

mod args;
mod change;
mod check;
mod client;
mod explain;
mod failure;
mod output;
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
    let out = Output::new(args.json);
    match run(&args, &out).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            out.failure(&failure);
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run(args: &Args, out: &Output) -> Result<(), Failure> {
    let operation = match &args.command {
        Command::Check(files) => return check::check(files, out),
        Command::Explain(explain) => return explain::explain(explain),
        Command::Times(times) => return times::times(times),
        Command::Status(_) => return status(args, out).await,
        Command::History(history) => return self::history(args, history.limit, out).await,
        Command::Initialise(_) => return initialise(args, out).await,
        Command::Apply(files) => check::lists(files)?,
        Command::DataCentre(data_centre) => data_centre_operation(&data_centre.state),
        Command::Upstream(upstream) => upstream_operation(&upstream.state),
    };
    change::submit(args, operation, out).await
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

async fn status(args: &Args, out: &Output) -> Result<(), Failure> {
    let status = Client::new(args)?.status().await?;
    out.status(&status);
    Ok(())
}

async fn history(args: &Args, limit: u32, out: &Output) -> Result<(), Failure> {
    let history = Client::new(args)?.history(limit).await?;
    out.history(&history);
    Ok(())
}

async fn initialise(args: &Args, out: &Output) -> Result<(), Failure> {
    let mut client = Client::new(args)?;
    client.initialise().await?;
    out.initialised();
    Ok(())
}
