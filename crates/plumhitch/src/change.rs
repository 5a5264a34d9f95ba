//! Submits changes of the configuration and resolves conflicts.

use crate::args::{Args, Command, State};
use crate::client::Client;
use crate::failure::{Failure, SentChange};
use crate::output::Output;
use api::{ChangeBody, Operation, StatusBody, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::env;

/// Submits a change and prints its outcome.
///
/// Without `--base` the change is based on the current version of the fleet.
/// If another change is accepted in between, the daemon reports a conflict.
/// `out` and `return` are then retried on the new version, but only while their
/// target is in the same state as when the command started, so that no other
/// operator's change of the same target is overwritten unseen. Lists are never
/// retried: they replace the whole list and would undo the other change.
///
/// # Errors
///
/// Returns the outcome of the change, unless it was accepted.
pub(crate) async fn submit(args: &Args, operation: Operation, out: &Output) -> Result<(), Failure> {
    let mut client = Client::new(args)?;
    let mut was_out = None;
    let mut base = args.base;
    if base.is_none() || requires_registered_target(args) {
        let status = client.status().await?;
        check_target_registered(args, &operation, &status)?;
        was_out = is_out(&operation, &status);
        base = base.or(Some(status.version));
    }
    let mut change = ChangeBody {
        change: args.change.clone().unwrap_or_else(random_id),
        base: base.unwrap_or_default(),
        author: author(args),
        operation,
    };
    loop {
        let sent = SentChange {
            change: change.change.clone(),
            base: change.base,
        };
        let result = client.change(&change).await;
        let outcome = result.map_err(|e| e.with_change(&sent))?;
        match outcome.verdict {
            Verdict::Accepted => {
                out.accepted(&sent, &outcome);
                return Ok(());
            }
            Verdict::Invalid => return Err(Failure::Invalid(sent, outcome.into())),
            Verdict::Conflict => {}
        }
        let has_fixed_base_or_id = args.base.is_some() || args.change.is_some();
        if has_fixed_base_or_id || was_out.is_none() {
            return Err(Failure::Conflict(sent, outcome.into()));
        }
        let status = client.status().await?;
        if is_out(&change.operation, &status) != was_out {
            return Err(Failure::Conflict(sent, outcome.into()));
        }
        log::info!(
            "event=change_rebased from={} to={}",
            change.base,
            status.version
        );
        change.base = status.version;
        // The daemons store the conflict as the outcome of the previous id.
        change.change = random_id();
    }
}

/// Returns whether the target of an operation is out of service; `None` for
/// lists.
fn is_out(operation: &Operation, status: &StatusBody) -> Option<bool> {
    match operation {
        Operation::Lists { .. } => None,
        Operation::DataCentreOut { data_centre } | Operation::DataCentreReturn { data_centre } => {
            Some(status.out_data_centres.contains(data_centre))
        }
        Operation::UpstreamOut { upstream } | Operation::UpstreamReturn { upstream } => {
            Some(status.out_upstreams.contains(upstream))
        }
    }
}

fn requires_registered_target(args: &Args) -> bool {
    match &args.command {
        Command::DataCentre(d) => matches!(&d.state, State::Out(out) if !out.unknown),
        Command::Upstream(u) => matches!(&u.state, State::Out(out) if !out.unknown),
        _ => false,
    }
}

/// Checks that the target of an `out` command is registered. The daemons accept
/// any name, so with a misspelt one the intended target would stay in service.
fn check_target_registered(
    args: &Args,
    operation: &Operation,
    status: &StatusBody,
) -> Result<(), Failure> {
    if !requires_registered_target(args) {
        return Ok(());
    }
    let upstreams = status.services.iter().flat_map(|s| &s.upstreams);
    let (target, mut registered): (&String, Vec<&String>) = match operation {
        Operation::DataCentreOut { data_centre } => {
            (data_centre, upstreams.map(|u| &u.data_centre).collect())
        }
        Operation::UpstreamOut { upstream } => (upstream, upstreams.map(|u| &u.upstream).collect()),
        _ => return Ok(()),
    };
    if registered.contains(&target) {
        return Ok(());
    }
    registered.sort();
    registered.dedup();
    let registered: Vec<&str> = registered.into_iter().map(String::as_str).collect();
    Err(Failure::Failed(format!(
        "'{target}' has no registered upstream; known: {}; with --unknown it is taken out anyway",
        registered.join(", ")
    )))
}

fn random_id() -> String {
    format!("c-{:016x}", SmallRng::from_os_rng().random::<u64>())
}

fn author(args: &Args) -> String {
    let given = args.author.clone().or_else(|| env::var("USER").ok());
    given.unwrap_or_else(|| "unknown".to_owned())
}
