//! Customers of a routing: their checks, and the digests of their keys.

use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use wire::{CustomerRules, Routing, RoutingChange};

/// Maximum rate of a customer, in requests per 1,000 seconds.
const MAX_RATE_MILLI: u64 = 10_000_000_000;
/// Maximum burst of a customer, in requests.
const MAX_BURST: u32 = 10_000_000;

/// Returns the findings in a list of customers. They name customers, never keys.
pub(crate) fn findings(customers: &[CustomerRules]) -> Vec<String> {
    let mut problems = repeated_names(customers);
    problems.extend(shared_keys(customers));
    for customer in customers {
        let findings = customer_findings(customer).into_iter();
        problems.extend(findings.map(|f| format!("customer {:?}: {f}", customer.name)));
    }
    problems
}

/// Returns a finding for each name that several customers have.
pub(crate) fn repeated_names(customers: &[CustomerRules]) -> Vec<String> {
    let mut names = BTreeSet::new();
    let repeated = customers.iter().filter(|c| !names.insert(&c.name));
    repeated
        .map(|c| format!("customer {:?}: the name stands twice", c.name))
        .collect()
}

fn shared_keys(customers: &[CustomerRules]) -> Vec<String> {
    let mut problems = BTreeSet::new();
    let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
    for customer in customers {
        for key in customer.keys.iter().filter(|key| !key.is_empty()) {
            let holder = *holders.entry(key).or_insert(&customer.name);
            if holder != customer.name {
                let name = &customer.name;
                problems.insert(format!(
                    "customers {holder:?} and {name:?} hold the same key"
                ));
            }
        }
    }
    problems.into_iter().collect()
}

fn customer_findings(customer: &CustomerRules) -> Vec<String> {
    let mut problems = Vec::new();
    if customer.name.is_empty() {
        problems.push("the name is empty".to_owned());
    }
    // Upstreams receive the name in a header.
    if customer.name.chars().any(char::is_control) {
        problems.push("the name has control characters".to_owned());
    }
    if customer.keys.iter().any(String::is_empty) {
        problems.push("a key is empty".to_owned());
    }
    if customer.rate_milli > MAX_RATE_MILLI {
        problems.push(format!("the rate is above {}", MAX_RATE_MILLI / 1_000));
    }
    if customer.burst > MAX_BURST {
        problems.push(format!("the burst is above {MAX_BURST}"));
    }
    if customer.rate_milli == 0 && customer.burst > 0 {
        problems.push("there is a burst without a rate".to_owned());
    }
    problems
}

/// Returns a change with the digests of its keys, made with the salt of the current
/// routing. The first change that states customers brings the salt; it is kept from then
/// on, so that digests that daemons hold stay valid.
pub(crate) fn with_digests(current: &Routing, change: &RoutingChange) -> RoutingChange {
    let mut change = change.clone();
    let states_customers = change.needs_credentials || !change.customers.is_empty();
    if !current.credential_salt.is_empty() {
        change.credential_salt = current.credential_salt.clone();
    } else if !states_customers {
        change.credential_salt = Bytes::new();
    }
    let salt = &change.credential_salt;
    for customer in &mut change.customers {
        let keys = customer.keys.iter();
        let digests = keys.map(|key| credentials::digest(salt, key.as_bytes()));
        customer.key_digests = digests.map(|d| Bytes::copy_from_slice(&d)).collect();
    }
    change
}

/// Returns a customer as daemons receive it: without the text of its keys.
pub(crate) fn without_keys(customer: &CustomerRules) -> CustomerRules {
    CustomerRules {
        name: customer.name.clone(),
        keys: Vec::new(),
        key_digests: customer.key_digests.clone(),
        ..*customer
    }
}

/// Returns a routing as daemons without a control replica receive it: without the text of
/// keys.
#[must_use]
pub fn routing_without_keys(routing: &Routing) -> Routing {
    Routing {
        version: routing.version,
        routes: routing.routes.clone(),
        services: routing.services.clone(),
        limits: routing.limits,
        customers: routing.customers.iter().map(without_keys).collect(),
        needs_credentials: routing.needs_credentials,
        credential_salt: routing.credential_salt.clone(),
    }
}

/// Returns the index from the digests of keys to the indices of the customers.
pub(crate) fn index(routing: &Routing) -> credentials::Index {
    let customers = routing.customers.iter().enumerate();
    let digests = customers.flat_map(|(i, c)| c.key_digests.iter().map(move |d| (i, d)));
    credentials::Index::new(routing.credential_salt.clone(), digests)
}
