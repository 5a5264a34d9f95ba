//! Reads and checks lists and settings files on the operator's machine.

use crate::args::{Apply, Check};
use crate::failure::Failure;
use crate::output::Output;
use api::Operation;
use conf::{Findings, Settings, parse_customers, parse_lists, parse_plans};
use std::fs;
use std::path::Path;

/// Checks the given files and prints the result.
///
/// # Errors
///
/// Returns all findings, or why a file cannot be read.
pub(crate) fn check(files: &Check, out: &Output) -> Result<(), Failure> {
    if files.plans.is_none() && files.customers.is_none() && files.settings.is_empty() {
        let reason = "nothing to check: give --plans, --customers or --settings";
        return Err(Failure::Failed(reason.to_owned()));
    }
    let plans = read_list(files.plans.as_deref())?;
    let customers = read_list(files.customers.as_deref())?;
    let mut findings = check_lists(plans.as_ref(), customers.as_ref())
        .err()
        .unwrap_or_default();
    for path in &files.settings {
        findings.extend(Settings::load(path).err().unwrap_or_default());
    }
    if findings.items().is_empty() {
        out.checked();
        return Ok(());
    }
    Err(Failure::Findings(findings))
}

/// Reads and checks the lists to apply.
///
/// # Errors
///
/// Returns all findings, or why a file cannot be read.
pub(crate) fn read_lists(files: &Apply) -> Result<Operation, Failure> {
    let plans = read_list(files.plans.as_deref())?;
    let customers = read_list(files.customers.as_deref())?;
    if plans.is_none() && customers.is_none() {
        let reason = "nothing to apply: give --plans or --customers";
        return Err(Failure::Failed(reason.to_owned()));
    }
    check_lists(plans.as_ref(), customers.as_ref()).map_err(Failure::Findings)?;
    Ok(Operation::Lists {
        customers: customers.map(|f| f.text),
        plans: plans.map(|f| f.text),
    })
}

/// File with a list of plans or customers.
struct ListFile {
    name: String,
    text: String,
}

fn check_lists(plans: Option<&ListFile>, customers: Option<&ListFile>) -> Result<(), Findings> {
    match (plans, customers) {
        (Some(plans), Some(customers)) => {
            let plans = (plans.name.as_str(), plans.text.as_str());
            parse_lists(plans, (&customers.name, &customers.text)).map(|_| ())
        }
        (Some(plans), None) => parse_plans(&plans.name, &plans.text).map(|_| ()),
        (None, Some(customers)) => parse_customers(&customers.name, &customers.text).map(|_| ()),
        (None, None) => Ok(()),
    }
}

fn read_list(path: Option<&Path>) -> Result<Option<ListFile>, Failure> {
    let Some(path) = path else {
        return Ok(None);
    };
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| Failure::Failed(format!("{name}: {e}")))?;
    Ok(Some(ListFile { name, text }))
}
