//! Configuration news for daemons, in pages.

use super::ConfigState;
use super::kept::customer_bytes;
use std::collections::BTreeMap;
use wire::{ConfigDelta, ConfigVersion, CustomerPlan};

/// Bytes of a page, about.
pub const MAX_PAGE_BYTES: usize = 256 * 1024;
/// Transfers that are kept split into pages.
const MAX_TRANSFERS: usize = 4;

/// Transfers to the newest version, by the version that daemons hold.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    to: ConfigVersion,
    pages: BTreeMap<ConfigVersion, Vec<ConfigDelta>>,
}

impl Transfers {
    /// Returns a page of what a daemon lacks that holds version `held`, or
    /// `None` when it lacks nothing. `page` counts from 1; 0 is the first.
    pub fn page(
        &mut self,
        state: &ConfigState,
        held: ConfigVersion,
        page: u64,
    ) -> Option<ConfigDelta> {
        let to = state.current().version;
        if held >= to {
            return None;
        }
        if self.to != to {
            self.pages.clear();
            self.to = to;
        }
        if !self.pages.contains_key(&held) && self.pages.len() >= MAX_TRANSFERS {
            self.pages.pop_first();
        }
        let pages = self.pages.entry(held).or_insert_with(|| split(state, held));
        let index = usize::try_from(page.saturating_sub(1)).ok()?;
        pages.get(index).or_else(|| pages.first()).cloned()
    }
}

/// Splits what changed since `held`, or the whole, into pages.
fn split(state: &ConfigState, held: ConfigVersion) -> Vec<ConfigDelta> {
    let current = state.current();
    let merged = state.kept.since(held);
    let from = if merged.is_some() { held } else { 0 };
    let with_plans = merged.as_ref().is_none_or(|m| m.plans_changed);
    let with_routing = merged.as_ref().is_none_or(|m| m.routing_changed);
    let customers = merged.map_or_else(|| whole(state), |m| m.customers);
    let mut pages = split_customers(customers);
    let last = pages.pop().unwrap_or_default();
    let count = pages.len() as u64;
    let mut deltas: Vec<ConfigDelta> = (1..)
        .zip(pages)
        .map(|(page, customers)| ConfigDelta {
            from,
            to: current.version,
            customers,
            page,
            ..ConfigDelta::default()
        })
        .collect();
    deltas.push(ConfigDelta {
        from,
        to: current.version,
        customers: last,
        plans: with_plans.then(|| current.plans_text.clone()),
        out_data_centres: names(&current.out_data_centres),
        out_upstreams: names(&current.out_upstreams),
        page: if count == 0 { 0 } else { count + 1 },
        last: true,
        routing: with_routing.then(|| current.routing.content().clone()),
    });
    deltas
}

fn whole(state: &ConfigState) -> Vec<CustomerPlan> {
    let customers = state.current().customers.iter();
    customers
        .map(|(customer, plan)| CustomerPlan {
            customer: customer.to_string(),
            plan: plan.to_string(),
        })
        .collect()
}

fn split_customers(customers: Vec<CustomerPlan>) -> Vec<Vec<CustomerPlan>> {
    let mut pages = Vec::new();
    let mut page = Vec::new();
    let mut bytes = 0;
    for customer in customers {
        let size = customer_bytes(&customer);
        if bytes + size > MAX_PAGE_BYTES {
            pages.push(std::mem::take(&mut page));
            bytes = 0;
        }
        bytes += size;
        page.push(customer);
    }
    pages.push(page);
    pages
}

fn names<T: ToString>(names: &std::collections::BTreeSet<T>) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}
