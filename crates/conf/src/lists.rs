//! The operators' two lists: the plan list with plans and request classes, and
//! the customer list with each customer's plan.

use crate::finding::{Finding, Findings, Source, source};
use crate::ini::{Entry, Section};
use crate::reader::{Reader, valid_names};
use crate::value::{count, is_name, time, yes_no};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ClassId, CustomerId, PlanId};

/// Limits of a plan. They apply to each of its customers, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Sustained requests per second.
    pub rate: u32,
    /// Burst size: requests that may exceed the rate at once.
    pub burst: u32,
    /// Maximum number of requests in flight.
    pub in_flight: u32,
    /// Relative share of the slots under overload.
    pub share: u32,
}

/// Whether requests of a class must carry an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRule {
    /// A request without a key is refused.
    Required,
    /// The daemon sends a request without a key at most once; if the caller
    /// repeats it, it is run again.
    Optional,
}

/// Handling of the requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// Priority under overload; classes with the lowest weight are shed first.
    pub weight: u32,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Whether a request must carry an idempotency key.
    pub key: KeyRule,
    /// Deadline for the response, unless the caller sets a shorter one.
    pub deadline: Duration,
}

/// Parsed plan list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plans {
    /// Plans by name.
    pub plans: BTreeMap<PlanId, Plan>,
    /// Request classes by name.
    pub classes: BTreeMap<ClassId, Class>,
}

/// Parsed customer list: the plan of each customer.
pub type Customers = BTreeMap<CustomerId, PlanId>;

/// Maximum size of a list's text. A change with both lists must also fit into one
/// frame.
pub const MAX_LIST_BYTES: usize = 6 * 1024 * 1024;
/// Maximum number of customers.
pub const MAX_CUSTOMERS: usize = 200_000;
/// Maximum number of plans.
pub const MAX_PLANS: usize = 1_000;
/// Maximum number of request classes.
pub const MAX_CLASSES: usize = 64;

const MAX_RATE: u32 = 10_000_000;
const MAX_WEIGHT: u32 = 1_000;
const MIN_DEADLINE: Duration = Duration::from_millis(1);
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// Parses a plan list; `file` is its name in findings.
///
/// # Errors
///
/// Returns all findings in the text.
pub fn parse_plans(file: &str, text: &str) -> Result<Plans, Findings> {
    let source = list_source(file, text)?;
    let reader = Reader::new(&source, text);
    let mut plans = Plans::default();
    for section in reader.sections() {
        let mut words = section.name.text.split_whitespace();
        let (kind, name, rest) = (words.next(), words.next(), words.next());
        match (kind, name.filter(|n| is_name(n)), rest) {
            (Some("plan"), Some(name), None) => {
                let plan = read_plan(&reader, section);
                plans.plans.extend(plan.map(|p| (PlanId::new(name), p)));
            }
            (Some("class"), Some(name), None) => {
                let class = read_class(&reader, section);
                plans.classes.extend(class.map(|c| (ClassId::new(name), c)));
            }
            _ => reader.add_finding(
                section.name.span(),
                format!("unknown section [{}]", section.name.text),
                "[plan NAME] or [class NAME], with letters, digits, '.', '_' and '-'".into(),
            ),
        }
    }
    check_count(&reader, "plans", plans.plans.len(), MAX_PLANS);
    check_count(&reader, "classes", plans.classes.len(), MAX_CLASSES);
    reader.finish(Some(plans))
}

/// Parses a customer list; `file` is its name in findings. Plan names are not
/// looked up.
///
/// # Errors
///
/// Returns all findings in the text.
pub fn parse_customers(file: &str, text: &str) -> Result<Customers, Findings> {
    parse_customers_with_plans(file, text, None)
}

/// Checks that every customer's plan is on the plan list.
///
/// The findings have no line numbers, since the lists may come from different
/// changes; those of [`parse_lists`] do.
///
/// # Errors
///
/// Returns a finding for each customer with an unknown plan.
pub fn check_lists(plans: &Plans, customers: &Customers) -> Result<(), Findings> {
    let mut findings = Findings::default();
    for (customer, plan) in customers {
        if !plans.plans.contains_key(plan) {
            findings.push(|| {
                let problem = format!("customer '{customer}' has the unknown plan '{plan}'");
                Finding::about_file("customers", problem, valid_plans(plan, plans))
            });
        }
    }
    findings.into_result(Some(()))
}

/// Parses both lists, each given as file name and text, and checks that every
/// customer's plan is on the plan list.
///
/// # Errors
///
/// Returns all findings in both texts.
pub fn parse_lists(
    plans: (&str, &str),
    customers: (&str, &str),
) -> Result<(Plans, Customers), Findings> {
    let plans = parse_plans(plans.0, plans.1);
    let customers = parse_customers_with_plans(customers.0, customers.1, plans.as_ref().ok());
    match (plans, customers) {
        (Ok(plans), Ok(customers)) => Ok((plans, customers)),
        (plans, customers) => {
            let mut findings = plans.err().unwrap_or_default();
            findings.extend(customers.err().unwrap_or_default());
            Err(findings)
        }
    }
}

fn list_source(file: &str, text: &str) -> Result<Source, Findings> {
    if text.len() <= MAX_LIST_BYTES {
        return Ok(source(file, text));
    }
    let problem = format!("the list has {} bytes", text.len());
    let valid = format!("up to {MAX_LIST_BYTES} bytes");
    Err(Finding::about_file(file, problem, valid).into())
}

fn read_plan(reader: &Reader<'_>, section: &Section<'_>) -> Option<Plan> {
    let mut keys = reader.keys(section.name.text, Some(section));
    let number = |t: &str| count(t, 1..=MAX_RATE);
    let rate = keys.require("rate", "requests a second", number);
    let burst = keys.get("burst", number);
    let in_flight = keys.require("in-flight", "requests at once", number);
    let share = keys.get("share", |t| count(t, 1..=MAX_WEIGHT));
    keys.report_unknown_keys();
    Some(Plan {
        rate: rate?,
        burst: burst.or(rate)?,
        in_flight: in_flight?,
        share: share.unwrap_or(1),
    })
}

fn read_class(reader: &Reader<'_>, section: &Section<'_>) -> Option<Class> {
    let mut keys = reader.keys(section.name.text, Some(section));
    let weight = keys.require("weight", "a whole number", |t| count(t, 1..=MAX_WEIGHT));
    let idempotent = keys.require("idempotent", "yes or no", yes_no);
    let key = keys.get("key", parse_key_rule);
    let deadline = keys.require("deadline", "a time", |t| {
        time(t, MIN_DEADLINE..=MAX_DEADLINE)
    });
    keys.report_unknown_keys();
    if idempotent == Some(true) && key == Some(KeyRule::Required) {
        let problem = "an idempotent class needs no key".to_owned();
        keys.add_finding(
            "key",
            problem,
            "key = optional, or idempotent = no".to_owned(),
        );
    }
    let default_rule = match idempotent? {
        true => KeyRule::Optional,
        false => KeyRule::Required,
    };
    Some(Class {
        weight: weight?,
        idempotent: idempotent?,
        key: key.unwrap_or(default_rule),
        deadline: deadline?,
    })
}

fn parse_key_rule(text: &str) -> Result<KeyRule, String> {
    match text {
        "required" => Ok(KeyRule::Required),
        "optional" => Ok(KeyRule::Optional),
        _ => Err("required or optional".to_owned()),
    }
}

fn parse_customers_with_plans(
    file: &str,
    text: &str,
    plans: Option<&Plans>,
) -> Result<Customers, Findings> {
    let source = list_source(file, text)?;
    let reader = Reader::new(&source, text);
    reader.report_unknown_sections(&["customers"]);
    let section = reader
        .sections()
        .iter()
        .find(|s| s.name.text == "customers");
    if section.is_none() {
        // A file that is empty by mistake must not remove all customers.
        reader.add_file_finding("no customers".into(), "[customers]".into());
    }
    let mut customers = Customers::new();
    for entry in section.iter().flat_map(|s| &s.entries) {
        customers.extend(read_customer(&reader, entry, plans));
    }
    check_count(&reader, "customers", customers.len(), MAX_CUSTOMERS);
    reader.finish(Some(customers))
}

fn read_customer(
    reader: &Reader<'_>,
    entry: &Entry<'_>,
    plans: Option<&Plans>,
) -> Option<(CustomerId, PlanId)> {
    let customer = reader.name("customer", entry.key, entry.key);
    let plan = reader.name("plan", entry.value, entry.key);
    let (customer, plan) = customer.zip(plan)?;
    if let Some(plans) = plans.filter(|p| !p.plans.contains_key(&plan)) {
        reader.add_finding_with(entry.value.span(), || {
            let problem = format!("customer '{customer}' has the unknown plan '{plan}'");
            (problem, valid_plans(&plan, plans))
        });
    }
    Some((customer, plan))
}

fn valid_plans(name: &str, plans: &Plans) -> String {
    let known: Vec<&str> = plans.plans.keys().map(|p| p.as_str()).collect();
    match known.is_empty() {
        true => "no plan is listed yet: add [plan NAME] to the plan list".to_owned(),
        false => valid_names(name, &known),
    }
}

fn check_count(reader: &Reader<'_>, noun: &str, len: usize, max: usize) {
    if len > max {
        reader.add_file_finding(format!("{len} {noun}"), format!("up to {max}"));
    }
}
