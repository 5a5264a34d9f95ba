//! A change as the log carries it.

use super::Configuration;
use crate::finding::Findings;
use crate::lists::{Customers, Plans, check_lists, parse_customers, parse_lists, parse_plans};
use wire::{
    ChangeOperation, ChangeRequest, CustomerPlan, Fingerprint, Lists, OperationKind, fingerprint,
};

/// Findings that an outcome shows at most.
const MAX_OUTCOME_FINDINGS: usize = 50;
/// Bytes of a change id, an author or a target.
const MAX_NAME_BYTES: usize = 200;

/// A change as the log carries it: the difference to the version it was based
/// on, or why it can't be made.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeCommand {
    /// Id that makes the change idempotent.
    #[prost(string, tag = "1")]
    pub change: String,
    /// Hash of what the operator asked for.
    #[prost(fixed64, tag = "2")]
    pub digest: Fingerprint,
    /// Version that the change is based on.
    #[prost(uint64, tag = "3")]
    pub base: u64,
    /// Whether the configuration was at another version already.
    #[prost(bool, tag = "4")]
    pub stale: bool,
    /// Who makes it.
    #[prost(string, tag = "5")]
    pub author: String,
    /// When it was made, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "6")]
    pub at_ms: u64,
    /// What it does, for people.
    #[prost(string, tag = "7")]
    pub summary: String,
    /// What is wrong with it.
    #[prost(string, repeated, tag = "8")]
    pub findings: Vec<String>,
    /// What it does.
    #[prost(enumeration = "OperationKind", tag = "9")]
    pub kind: i32,
    /// Data centre or upstream.
    #[prost(string, tag = "10")]
    pub target: String,
    /// Customers set or removed.
    #[prost(message, repeated, tag = "11")]
    pub customers: Vec<CustomerPlan>,
    /// Text of the plan list, if it changes.
    #[prost(string, optional, tag = "12")]
    pub plans: Option<String>,
}

/// Turns an operator's change into a command, checked against the
/// configuration that it is based on. `current` must hold every change that
/// was committed when the request arrived.
#[must_use]
pub fn prepare_change(
    current: &Configuration,
    request: &ChangeRequest,
    at_ms: u64,
) -> ChangeCommand {
    let operation = request.operation.clone().unwrap_or_default();
    let mut command = ChangeCommand {
        change: request.change.clone(),
        digest: digest(&operation),
        base: request.base,
        stale: request.base != current.version,
        author: request.author.clone(),
        at_ms,
        kind: operation.kind,
        ..ChangeCommand::default()
    };
    command.findings = name_findings(request, &operation);
    if command.stale || !command.findings.is_empty() {
        return command;
    }
    match (operation.kind(), operation.lists) {
        (OperationKind::Lists, Some(lists)) => prepare_lists(&mut command, current, lists),
        (kind, _) => prepare_target(&mut command, kind, operation.target),
    }
    command
}

fn digest(operation: &ChangeOperation) -> Fingerprint {
    let bytes = prost::Message::encode_to_vec(operation);
    fingerprint("", "", "", "", &bytes, None)
}

fn name_findings(request: &ChangeRequest, operation: &ChangeOperation) -> Vec<String> {
    let mut findings = Vec::new();
    for (what, name, required) in [
        ("change id", &request.change, true),
        ("author", &request.author, false),
        ("target", &operation.target, false),
    ] {
        if required && name.is_empty() {
            findings.push(format!("the {what} is empty"));
        }
        if name.len() > MAX_NAME_BYTES {
            findings.push(format!("the {what} has over {MAX_NAME_BYTES} bytes"));
        }
    }
    findings
}

fn prepare_target(command: &mut ChangeCommand, kind: OperationKind, target: String) {
    let verb = match kind {
        OperationKind::DataCentreOut => "takes data centre out",
        OperationKind::DataCentreReturn => "returns data centre",
        OperationKind::UpstreamOut => "takes upstream out",
        OperationKind::UpstreamReturn => "returns upstream",
        OperationKind::Lists | OperationKind::Unknown => {
            command.findings.push("the change does nothing".to_owned());
            return;
        }
    };
    if target.is_empty() {
        command.findings.push("the target is empty".to_owned());
    }
    command.summary = format!("{verb} {target}");
    command.target = target;
}

fn prepare_lists(command: &mut ChangeCommand, current: &Configuration, lists: Lists) {
    let customers = match read_lists(current, &lists) {
        Ok(customers) => customers,
        Err(findings) => {
            command.findings = shorten(findings.lines());
            return;
        }
    };
    if let Some(customers) = customers {
        command.customers = difference(&current.customers, &customers);
    }
    command.plans = lists.plans;
    let plans = if command.plans.is_some() {
        ", plans"
    } else {
        ""
    };
    command.summary = format!("sets {} customers{plans}", command.customers.len());
}

/// Reads and checks the new lists; returns the customer list, if it is given.
fn read_lists(current: &Configuration, lists: &Lists) -> Result<Option<Customers>, Findings> {
    let (plans, customers): (Option<Plans>, Option<Customers>) =
        match (&lists.plans, &lists.customers) {
            (Some(plans), Some(customers)) => {
                let (p, c) = parse_lists(("plans", plans), ("customers", customers))?;
                (Some(p), Some(c))
            }
            (Some(plans), None) => (Some(parse_plans("plans", plans)?), None),
            (None, Some(customers)) => (None, Some(parse_customers("customers", customers)?)),
            (None, None) => (None, None),
        };
    check_lists(
        plans.as_ref().unwrap_or(&current.plans),
        customers.as_ref().unwrap_or(&current.customers),
    )?;
    Ok(customers)
}

fn shorten(mut findings: Vec<String>) -> Vec<String> {
    let left_out = findings.len().saturating_sub(MAX_OUTCOME_FINDINGS);
    if left_out > 0 {
        findings.truncate(MAX_OUTCOME_FINDINGS);
        findings.push(format!("and {left_out} more findings"));
    }
    findings
}

/// Returns what turns `old` into `new`; an empty plan removes the customer.
/// Walks both lists once, in their order.
fn difference(old: &Customers, new: &Customers) -> Vec<CustomerPlan> {
    let mut changed = Vec::new();
    let mut old = old.iter().peekable();
    for (customer, plan) in new {
        while let Some((gone, _)) = old.next_if(|(before, _)| *before < customer) {
            changed.push(customer_plan(gone, ""));
        }
        let same = old.next_if(|(before, _)| *before == customer);
        if same.is_none_or(|(_, before)| before != plan) {
            changed.push(customer_plan(customer, plan));
        }
    }
    changed.extend(old.map(|(gone, _)| customer_plan(gone, "")));
    changed
}

fn customer_plan(customer: &str, plan: &str) -> CustomerPlan {
    CustomerPlan {
        customer: customer.to_owned(),
        plan: plan.to_owned(),
    }
}
