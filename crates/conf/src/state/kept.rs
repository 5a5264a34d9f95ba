//! Recent changes, out of which deltas are made.

use std::collections::{BTreeMap, VecDeque};
use wire::{ConfigVersion, CustomerPlan};

/// Changes kept at most.
const MAX_CHANGES: usize = 4_096;
/// Bytes of customers and plans kept at most.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// What one change set or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeptChange {
    pub(super) version: ConfigVersion,
    pub(super) customers: Vec<CustomerPlan>,
    pub(super) plans_changed: bool,
    pub(super) routing_changed: bool,
}

/// Customers set or removed between two versions, and whether plans changed.
pub(super) struct Merged {
    pub(super) customers: Vec<CustomerPlan>,
    pub(super) plans_changed: bool,
    pub(super) routing_changed: bool,
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
        self.bytes += bytes(&change.customers);
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= bytes(&oldest.customers);
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
        let mut routing_changed = false;
        for change in self.changes.iter().filter(|c| c.version > from) {
            plans_changed |= change.plans_changed;
            routing_changed |= change.routing_changed;
            customers.extend(change.customers.iter().map(|c| (&c.customer, &c.plan)));
        }
        let customers = customers.into_iter().map(|(customer, plan)| CustomerPlan {
            customer: customer.clone(),
            plan: plan.clone(),
        });
        Some(Merged {
            customers: customers.collect(),
            plans_changed,
            routing_changed,
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
