//! Prints results as text for a terminal or as one JSON document for scripts.

use crate::failure::{Failure, SentChange};
use crate::time::format_utc;
use api::{
    HistoryBody, HistoryItem, OutcomeBody, RolloutBody, RolloutState, ServiceStatus, StatusBody,
};
use serde::Serialize;
use serde_json::{Value, json};

/// Millionths in a hundredth.
const PPM_PER_PERCENT: f64 = 10_000.0;

/// Prints results in the requested format.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    /// Creates an output in JSON or in text for a terminal.
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints an accepted change.
    pub(crate) fn accepted(&self, sent: &SentChange, outcome: &OutcomeBody) {
        self.print(&outcome_json("accepted", sent, outcome), || {
            let (version, change) = (outcome.version, &sent.change);
            println!("accepted: version {version} (change {change})");
        });
    }

    /// Prints that the checked files have no findings.
    pub(crate) fn checked(&self) {
        let findings: [String; 0] = [];
        self.print(&json!({ "outcome": "valid", "findings": findings }), || {
            println!("no findings");
        });
    }

    /// Prints that the fleet was initialised.
    pub(crate) fn initialised(&self) {
        self.print(&json!({ "outcome": "initialised" }), || {
            println!("initialised");
        });
    }

    /// Prints a rollout.
    pub(crate) fn rollout(&self, rollout: &RolloutBody) {
        self.print(rollout, || println!("{}", rollout_line(rollout)));
    }

    /// Prints the state of the fleet.
    pub(crate) fn status(&self, status: &StatusBody) {
        self.print(status, || print_status(status));
    }

    /// Prints accepted changes.
    pub(crate) fn history(&self, history: &HistoryBody) {
        self.print(history, || {
            history
                .entries
                .iter()
                .for_each(|item| println!("{}", history_line(item)));
        });
    }

    /// Prints why the command failed.
    pub(crate) fn failure(&self, failure: &Failure) {
        self.print(&failure_json(failure), || print_failure(failure));
    }

    fn print(&self, document: &impl Serialize, text: impl FnOnce()) {
        if !self.json {
            return text();
        }
        match serde_json::to_string(document) {
            Ok(json) => println!("{json}"),
            Err(e) => eprintln!("cannot write the result as JSON: {e}"),
        }
    }
}

fn rollout_line(rollout: &RolloutBody) -> String {
    let state = match rollout.state {
        RolloutState::Active => "active",
        RolloutState::Complete => "complete",
        RolloutState::RolledBack => "rolled back",
    };
    let share = f64::from(rollout.share_ppm) / PPM_PER_PERCENT;
    let reason = match rollout.reason.as_str() {
        "" => String::new(),
        reason => format!(" ({reason})"),
    };
    format!(
        "{} to {}: {state}, share at most {share} %{reason}",
        rollout.service, rollout.version
    )
}

fn outcome_json(verdict: &str, sent: &SentChange, outcome: &OutcomeBody) -> Value {
    json!({
        "outcome": verdict,
        "change": sent.change,
        "base": sent.base,
        "version": outcome.version,
        "winner": outcome.winner,
        "findings": outcome.findings,
    })
}

fn failure_json(failure: &Failure) -> Value {
    let name = failure.outcome();
    match failure {
        Failure::Invalid(sent, outcome) | Failure::Conflict(sent, outcome) => {
            outcome_json(name, sent, outcome)
        }
        Failure::Findings(findings) => json!({ "outcome": name, "findings": findings.lines() }),
        Failure::Unknown(Some(sent), reason) => json!({
            "outcome": name,
            "change": sent.change,
            "base": sent.base,
            "error": reason,
        }),
        Failure::Failed(reason)
        | Failure::InvalidRollout(reason)
        | Failure::RolloutInProgress(reason)
        | Failure::Unknown(None, reason) => {
            json!({ "outcome": name, "error": reason })
        }
    }
}

fn print_failure(failure: &Failure) {
    if let Failure::Findings(findings) = failure {
        eprint!("{}", findings.report());
        return;
    }
    eprintln!("{failure}");
    if let Failure::Conflict(_, outcome) = failure {
        outcome
            .winner
            .iter()
            .for_each(|item| eprintln!("conflicting change: {}", history_line(item)));
    }
}

fn history_line(item: &HistoryItem) -> String {
    format!(
        "version {}  {}  {}  {}  (change {})",
        item.version,
        format_utc(item.at),
        item.author,
        item.summary,
        item.change
    )
}

/// Thousandths in a unit.
const MILLI_PER_UNIT: u64 = 1_000;

fn print_status(status: &StatusBody) {
    println!("configuration version {}", status.version);
    println!(
        "  lowest version among daemons with a recent heartbeat: {}",
        status.lowest_version
    );
    println!(
        "  version at {}, the daemon queried: {}",
        status.daemon, status.daemon_version
    );
    if let Some(milli) = status.stated_rate_milli {
        println!(
            "  its upstream states that it takes {}.{:03} requests a second",
            milli / MILLI_PER_UNIT,
            milli % MILLI_PER_UNIT
        );
    }
    if status.stated_leaving {
        println!("  its upstream states that it is leaving");
    }
    println!("daemons with a recent heartbeat: {}", status.daemons);
    println!("control: leader {}, term {}", status.leader, status.term);
    println!("  voters: {}", join_or_none(&status.voters));
    println!("  learners: {}", join_or_none(&status.learners));
    if !status.lagging_voters.is_empty() {
        let lagging = join_or_none(&status.lagging_voters);
        println!("  voters that are silent or lack committed entries: {lagging}");
    }
    if let Some(role) = &status.replica_role {
        println!("  replica at {}: {role}", status.daemon);
    }
    if !status.set_aside.is_empty() {
        let files = join_or_none(&status.set_aside);
        println!("  corrupt files set aside at {}: {files}", status.daemon);
    }
    println!(
        "customers: {}; claims stored: {}",
        status.customers, status.claims
    );
    println!("out of service:");
    println!("  data centres: {}", join_or_none(&status.out_data_centres));
    println!("  upstreams: {}", join_or_none(&status.out_upstreams));
    status.services.iter().for_each(print_service);
}

fn print_service(service: &ServiceStatus) {
    println!(
        "service {}: {} upstreams",
        service.service,
        service.upstreams.len()
    );
    for upstream in &service.upstreams {
        let leaving = if upstream.leaving { "  leaving" } else { "" };
        println!(
            "  {}  {}  {}  {} slots{leaving}",
            upstream.upstream, upstream.data_centre, upstream.address, upstream.slots
        );
    }
}

fn join_or_none(names: &[String]) -> String {
    match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(", "),
    }
}
