//! Recent changes, kept to compute the delta between two versions.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use wire::{ConfigVersion, CustomerPlan, Routing};

/// Maximum number of changes kept.
const MAX_CHANGES: usize = 4_096;
/// Maximum size of the customers, plans and names kept.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Approximate overhead of a kept name beyond its characters.
const NAME_OVERHEAD_BYTES: usize = 32;

/// Difference between two states of the routing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum RoutingDelta {
    /// No difference.
    #[default]
    None,
    /// Routes, services and customers with these names were set or removed.
    Named {
        routes: BTreeSet<String>,
        services: BTreeSet<String>,
        customers: BTreeSet<String>,
    },
    /// Unknown, or one that cannot be stated by name.
    Full,
}

impl RoutingDelta {
    /// Returns the difference between two states of the routing.
    pub(super) fn between(old: &Routing, new: &Routing) -> Self {
        if old.limits.is_some() && new.limits.is_none() {
            return Self::Full;
        }
        let drops_credentials = old.needs_credentials && !new.needs_credentials;
        let replaces_salt =
            !old.credential_salt.is_empty() && old.credential_salt != new.credential_salt;
        if drops_credentials || replaces_salt {
            return Self::Full;
        }
        let routes = changed_names(&old.routes, &new.routes, |r| &r.name);
        let services = changed_names(&old.services, &new.services, |s| &s.name);
        let customers = changed_names(&old.customers, &new.customers, |c| &c.name);
        Self::Named {
            routes,
            services,
            customers,
        }
    }

    /// Returns the combined difference of two consecutive changes.
    fn merge(self, other: &Self) -> Self {
        match (self, other) {
            (Self::Full, _) | (_, Self::Full) => Self::Full,
            (Self::None, other) => other.clone(),
            (this, Self::None) => this,
            (
                Self::Named {
                    mut routes,
                    mut services,
                    mut customers,
                },
                Self::Named {
                    routes: more_routes,
                    services: more_services,
                    customers: more_customers,
                },
            ) => {
                routes.extend(more_routes.iter().cloned());
                services.extend(more_services.iter().cloned());
                customers.extend(more_customers.iter().cloned());
                Self::Named {
                    routes,
                    services,
                    customers,
                }
            }
        }
    }
}

/// Returns the names of entries that differ or are in only one of the lists.
fn changed_names<T: PartialEq>(
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &String,
) -> BTreeSet<String> {
    let mut removed: HashMap<&String, &T> = old.iter().map(|entry| (name(entry), entry)).collect();
    let set = new
        .iter()
        .filter(|entry| removed.remove(name(entry)) != Some(*entry));
    let set: BTreeSet<String> = set.map(|entry| name(entry).clone()).collect();
    removed.into_keys().cloned().chain(set).collect()
}

/// What a change set or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RecentChange {
    pub(super) version: ConfigVersion,
    pub(super) customers: Vec<CustomerPlan>,
    pub(super) plans_changed: bool,
    pub(super) routing: RoutingDelta,
}

impl RecentChange {
    /// Returns its approximate size in memory.
    fn bytes(&self) -> usize {
        let names = match &self.routing {
            RoutingDelta::Named {
                routes,
                services,
                customers,
            } => {
                let names = routes.iter().chain(services).chain(customers);
                names.map(|name| name.len() + NAME_OVERHEAD_BYTES).sum()
            }
            RoutingDelta::None | RoutingDelta::Full => 0,
        };
        customers_bytes(&self.customers) + names
    }
}

/// All changes between two versions.
pub(super) struct MergedChanges {
    pub(super) customers: Vec<CustomerPlan>,
    pub(super) plans_changed: bool,
    pub(super) routing: RoutingDelta,
}

/// The most recent changes, without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RecentChanges {
    /// Version before the oldest kept change.
    base_version: ConfigVersion,
    changes: VecDeque<RecentChange>,
    bytes: usize,
}

impl RecentChanges {
    /// Removes all changes and continues from a version.
    pub(super) fn reset(&mut self, base_version: ConfigVersion) {
        self.base_version = base_version;
        self.changes.clear();
        self.bytes = 0;
    }

    /// Adds a change and removes the oldest ones beyond the limits.
    pub(super) fn push(&mut self, change: RecentChange) {
        self.bytes += change.bytes();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes();
            self.base_version = oldest.version;
        }
    }

    /// Returns whether all changes since a version are kept.
    pub(super) fn covers(&self, from: ConfigVersion) -> bool {
        from > 0 && from >= self.base_version
    }

    /// Returns the merged changes since a version, if all of them are kept.
    pub(super) fn since(&self, from: ConfigVersion) -> Option<MergedChanges> {
        if !self.covers(from) {
            return None;
        }
        let mut customers = BTreeMap::new();
        let mut plans_changed = false;
        let mut routing = RoutingDelta::None;
        for change in self.changes.iter().filter(|c| c.version > from) {
            plans_changed |= change.plans_changed;
            routing = routing.merge(&change.routing);
            customers.extend(change.customers.iter().map(|c| (&c.customer, &c.plan)));
        }
        let customers = customers.into_iter().map(|(customer, plan)| CustomerPlan {
            customer: customer.clone(),
            plan: plan.clone(),
        });
        Some(MergedChanges {
            customers: customers.collect(),
            plans_changed,
            routing,
        })
    }

    /// Returns the version before the oldest kept change.
    pub(super) fn base_version(&self) -> ConfigVersion {
        self.base_version
    }

    /// Returns the kept changes, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RecentChange> {
        self.changes.iter()
    }
}

/// Returns the approximate encoded size of customers.
pub(super) fn customers_bytes(customers: &[CustomerPlan]) -> usize {
    customers.iter().map(customer_bytes).sum()
}

/// Returns the approximate encoded size of a customer.
pub(super) fn customer_bytes(customer: &CustomerPlan) -> usize {
    const FIELD_BYTES: usize = 8;
    customer.customer.len() + customer.plan.len() + FIELD_BYTES
}
