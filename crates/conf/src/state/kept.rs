//! Recent changes, out of which deltas are made.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::{ConfigVersion, CustomerPlan, Routing};

/// Changes kept at most.
const MAX_CHANGES: usize = 4_096;
/// Bytes of customers, plans and names of routes kept at most.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Routes and services that are kept by name for a change; where it set more,
/// the whole is told.
const MAX_NAMES: usize = 256;

/// Bytes that a kept name takes besides its letters, about.
const NAME_BYTES: usize = 32;

/// What changed of the routing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum RoutingPart {
    /// Nothing.
    #[default]
    None,
    /// Routes and services with these names were set or removed.
    Named {
        routes: BTreeSet<String>,
        services: BTreeSet<String>,
    },
    /// It is not known, or too much.
    Whole,
}

impl RoutingPart {
    /// Returns what differs between two states of the routing.
    pub(super) fn between(old: &Routing, new: &Routing) -> Self {
        if old.limits.is_some() && new.limits.is_none() {
            return Self::Whole;
        }
        let routes = names(&old.routes, &new.routes, |r| &r.name);
        let services = names(&old.services, &new.services, |s| &s.name);
        if routes.len() + services.len() > MAX_NAMES {
            return Self::Whole;
        }
        Self::Named { routes, services }
    }

    /// Returns what changed in two changes together.
    fn and(self, other: &Self) -> Self {
        match (self, other) {
            (Self::Whole, _) | (_, Self::Whole) => Self::Whole,
            (Self::None, other) => other.clone(),
            (this, Self::None) => this,
            (
                Self::Named {
                    mut routes,
                    mut services,
                },
                Self::Named {
                    routes: more_routes,
                    services: more_services,
                },
            ) => {
                routes.extend(more_routes.iter().cloned());
                services.extend(more_services.iter().cloned());
                Self::Named { routes, services }
            }
        }
    }
}

/// Returns the names of the entries that only one list has, or that differ.
fn names<T: PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &String) -> BTreeSet<String> {
    let by_name = |list: &[T], entry: &T| {
        let found = list.iter().find(|other| name(other) == name(entry));
        found.is_some_and(|other| other == entry)
    };
    let gone = old.iter().filter(|entry| !by_name(new, entry));
    let set = new.iter().filter(|entry| !by_name(old, entry));
    gone.chain(set).map(|entry| name(entry).clone()).collect()
}

/// What one change set or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeptChange {
    pub(super) version: ConfigVersion,
    pub(super) customers: Vec<CustomerPlan>,
    pub(super) plans_changed: bool,
    pub(super) routing: RoutingPart,
}

impl KeptChange {
    /// Returns the bytes that it takes, about.
    fn bytes(&self) -> usize {
        let names = match &self.routing {
            RoutingPart::Named { routes, services } => {
                let names = routes.iter().chain(services);
                names.map(|name| name.len() + NAME_BYTES).sum()
            }
            RoutingPart::None | RoutingPart::Whole => 0,
        };
        bytes(&self.customers) + names
    }
}

/// Customers set or removed between two versions, and whether plans changed.
pub(super) struct Merged {
    pub(super) customers: Vec<CustomerPlan>,
    pub(super) plans_changed: bool,
    pub(super) routing: RoutingPart,
}

/// The newest changes, without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct KeptChanges {
    /// Version before the first kept change.
    floor: ConfigVersion,
    changes: VecDeque<KeptChange>,
    bytes: usize,
}

impl KeptChanges {
    /// Forgets all changes up to a version.
    pub(super) fn restart(&mut self, floor: ConfigVersion) {
        self.floor = floor;
        self.changes.clear();
        self.bytes = 0;
    }

    /// Keeps a change, and forgets the oldest beyond the bounds.
    pub(super) fn push(&mut self, change: KeptChange) {
        self.bytes += change.bytes();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes();
            self.floor = oldest.version;
        }
    }

    /// Returns what changed since a version, if every change since is kept.
    pub(super) fn since(&self, from: ConfigVersion) -> Option<Merged> {
        if from == 0 || from < self.floor {
            return None;
        }
        let mut customers = BTreeMap::new();
        let mut plans_changed = false;
        let mut routing = RoutingPart::None;
        for change in self.changes.iter().filter(|c| c.version > from) {
            plans_changed |= change.plans_changed;
            routing = routing.and(&change.routing);
            customers.extend(change.customers.iter().map(|c| (&c.customer, &c.plan)));
        }
        let customers = customers.into_iter().map(|(customer, plan)| CustomerPlan {
            customer: customer.clone(),
            plan: plan.clone(),
        });
        Some(Merged {
            customers: customers.collect(),
            plans_changed,
            routing,
        })
    }

    /// Returns the version before the first kept change.
    pub(super) fn floor(&self) -> ConfigVersion {
        self.floor
    }

    /// Returns the kept changes, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &KeptChange> {
        self.changes.iter()
    }
}

/// Returns the bytes that customers take on the wire, about.
pub(super) fn bytes(customers: &[CustomerPlan]) -> usize {
    customers.iter().map(customer_bytes).sum()
}

/// Returns the bytes that a customer takes on the wire, about.
pub(super) fn customer_bytes(customer: &CustomerPlan) -> usize {
    const FIELD_BYTES: usize = 8;
    customer.customer.len() + customer.plan.len() + FIELD_BYTES
}
