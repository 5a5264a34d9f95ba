//! Applies routing changes and data centre orders in the replicated state
//! machine.

use super::ConfigState;
use super::recent_changes::{RecentChange, RoutingDelta};
use crate::customers::{repeated_names, with_digests};
use crate::routes::{RouteTable, findings};
use bytes::Bytes;
use prost::Message;
use std::collections::{HashMap, HashSet};
use wire::{
    ChangeOutcome, ChangeResult, DataCentreOrder, Fingerprint, OperationKind, Routing,
    RoutingChange, fingerprint,
};

/// Maximum number of accepted changes that are recognised when they are repeated.
const MAX_ACCEPTED_CHANGES: usize = 10_000;

/// An accepted routing change.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(super) struct AcceptedRoutingChange {
    /// Version that it created.
    #[prost(uint64, tag = "1")]
    pub(super) version: u64,
    /// Hash of the change.
    #[prost(fixed64, tag = "2")]
    pub(super) digest: Fingerprint,
}

impl ConfigState {
    /// Applies a committed routing change. An accepted change that is repeated is
    /// accepted again without effect, even after later changes.
    pub fn apply_routing(&mut self, change: &RoutingChange) -> ChangeOutcome {
        let accepted = AcceptedRoutingChange {
            version: change.version,
            digest: digest(change),
        };
        if self.routing_changes.contains(&accepted) {
            return self.routing_outcome(ChangeResult::Accepted, Vec::new());
        }
        let current = self.current.routing.content();
        if change.base != current.version {
            return self.routing_outcome(ChangeResult::Conflict, Vec::new());
        }
        let next = apply_change(current, &with_digests(current, change));
        let mut problems = findings(&next);
        if !change.full {
            // Of customers with the same name, the resulting routing has only the last.
            problems.extend(repeated_names(&change.customers));
        }
        if change.version <= current.version {
            problems.push(format!(
                "version {} is not above {}",
                change.version, current.version
            ));
        }
        if !problems.is_empty() {
            return self.routing_outcome(ChangeResult::Invalid, problems);
        }
        let delta = RoutingDelta::between(current, &next);
        self.current.routing = RouteTable::new(next);
        self.advance(delta);
        self.routing_changes.push_back(accepted);
        while self.routing_changes.len() > MAX_ACCEPTED_CHANGES {
            self.routing_changes.pop_front();
        }
        self.routing_outcome(ChangeResult::Accepted, Vec::new())
    }

    /// Takes a data centre out of service, or returns it. Repeating the order has
    /// no effect.
    pub fn apply_data_centre(&mut self, order: &DataCentreOrder) -> ChangeOutcome {
        let out = self
            .current
            .out_data_centres
            .contains(order.data_centre.as_str());
        if out != order.out {
            let kind = match order.out {
                true => OperationKind::DataCentreOut,
                false => OperationKind::DataCentreReturn,
            };
            self.current.apply_operation(kind, &order.data_centre);
            self.advance(RoutingDelta::None);
        }
        self.routing_outcome(ChangeResult::Accepted, Vec::new())
    }

    /// Increments the version, for a change without changes to customers and plans.
    pub(super) fn advance(&mut self, routing: RoutingDelta) {
        self.current.version += 1;
        self.recent_changes.push(RecentChange {
            version: self.current.version,
            customers: Vec::new(),
            plans_changed: false,
            routing,
        });
    }

    fn routing_outcome(&self, result: ChangeResult, findings: Vec<String>) -> ChangeOutcome {
        ChangeOutcome {
            result: result as i32,
            version: self.current.routing.content().version,
            winner: None,
            findings,
        }
    }
}

/// Returns the hash of a change as the operator made it, which is without the salt.
fn digest(change: &RoutingChange) -> Fingerprint {
    let encoded = match change.credential_salt.is_empty() {
        true => change.encode_to_vec(),
        false => {
            let mut change = change.clone();
            change.credential_salt = Bytes::new();
            change.encode_to_vec()
        }
    };
    fingerprint("", "", "", "", &encoded, None)
}

/// Returns the routing that results from a change.
pub(super) fn apply_change(current: &Routing, change: &RoutingChange) -> Routing {
    if change.full {
        return Routing {
            version: change.version,
            routes: change.routes.clone(),
            services: change.services.clone(),
            limits: change.limits,
            customers: change.customers.clone(),
            needs_credentials: change.needs_credentials,
            credential_salt: change.credential_salt.clone(),
        };
    }
    let salt = match change.credential_salt.is_empty() {
        true => &current.credential_salt,
        false => &change.credential_salt,
    };
    Routing {
        version: change.version,
        routes: changed_list(
            &current.routes,
            &change.routes,
            &change.removed_routes,
            |r| &r.name,
        ),
        services: changed_list(
            &current.services,
            &change.services,
            &change.removed_services,
            |s| &s.name,
        ),
        limits: change.limits.or(current.limits),
        customers: changed_list(
            &current.customers,
            &change.customers,
            &change.removed_customers,
            |c| &c.name,
        ),
        needs_credentials: current.needs_credentials || change.needs_credentials,
        credential_salt: salt.clone(),
    }
}

/// Returns a list without the removed entries, in which the set ones replace those of the
/// same name, or follow at the end. Of entries set twice the last one counts.
fn changed_list<T: Clone>(
    current: &[T],
    set: &[T],
    removed: &[String],
    name: impl Fn(&T) -> &String,
) -> Vec<T> {
    let removed: HashSet<&String> = removed.iter().collect();
    let kept = current
        .iter()
        .filter(|entry| !removed.contains(name(entry)));
    let mut list: Vec<T> = kept.cloned().collect();
    if set.is_empty() {
        return list;
    }
    let names = list.iter().map(|entry| name(entry).clone());
    let mut positions: HashMap<String, usize> = names.zip(0..).collect();
    for entry in set {
        match positions.get(name(entry)) {
            Some(position) => list[*position].clone_from(entry),
            None => {
                positions.insert(name(entry).clone(), list.len());
                list.push(entry.clone());
            }
        }
    }
    list
}
