//! Configuration news for daemons, in pages.

use super::ConfigState;
use super::kept::{RoutingPart, customer_bytes};
use std::collections::BTreeMap;
use wire::{ConfigDelta, ConfigVersion, CustomerPlan, Routing, RoutingChange};

/// Bytes of a page, about.
pub const MAX_PAGE_BYTES: usize = 256 * 1024;
/// Transfers that are kept split into pages.
const MAX_TRANSFERS: usize = 4;

/// Transfers to the newest version, by the version that daemons hold.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    to: ConfigVersion,
    pages: BTreeMap<(ConfigVersion, bool), Vec<ConfigDelta>>,
}

impl Transfers {
    /// Returns a page of what a daemon lacks that holds version `held`, or
    /// `None` when it lacks nothing. `page` counts from 1; 0 is the first. One
    /// that doesn't take changes of the routing gets the whole of it.
    pub fn page(
        &mut self,
        state: &ConfigState,
        held: ConfigVersion,
        page: u64,
        takes_changes: bool,
    ) -> Option<ConfigDelta> {
        let to = state.current().version;
        if held >= to {
            return None;
        }
        if self.to != to {
            self.pages.clear();
            self.to = to;
        }
        let key = (held, takes_changes);
        if !self.pages.contains_key(&key) && self.pages.len() >= MAX_TRANSFERS {
            self.pages.pop_first();
        }
        let pages = self.pages.entry(key);
        let pages = pages.or_insert_with(|| split(state, held, takes_changes));
        let index = usize::try_from(page.saturating_sub(1)).ok()?;
        pages.get(index).or_else(|| pages.first()).cloned()
    }
}

/// Splits what changed since `held`, or the whole, into pages.
fn split(state: &ConfigState, held: ConfigVersion, takes_changes: bool) -> Vec<ConfigDelta> {
    let current = state.current();
    let merged = state.kept.since(held);
    let from = if merged.is_some() { held } else { 0 };
    let with_plans = merged.as_ref().is_none_or(|m| m.plans_changed);
    let part = merged.as_ref().map_or(&RoutingPart::Whole, |m| &m.routing);
    let (routing, routing_change) = routing(current.routing.content(), part, takes_changes);
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
        routing,
        routing_change,
    });
    deltas
}

/// Returns the routing, or what changed of it.
fn routing(
    current: &Routing,
    part: &RoutingPart,
    takes_changes: bool,
) -> (Option<Routing>, Option<Box<RoutingChange>>) {
    match part {
        RoutingPart::None => (None, None),
        RoutingPart::Named { routes, services } if takes_changes => {
            let set_routes = current.routes.iter().filter(|r| routes.contains(&r.name));
            let set_services = current.services.iter();
            let set_services = set_services.filter(|s| services.contains(&s.name));
            let has_route = |name: &&String| current.routes.iter().any(|r| r.name == **name);
            let has_service = |name: &&String| current.services.iter().any(|s| s.name == **name);
            let removed_routes = routes.iter().filter(|name| !has_route(name));
            let removed_services = services.iter().filter(|name| !has_service(name));
            let change = RoutingChange {
                version: current.version,
                base: 0,
                full: false,
                routes: set_routes.cloned().collect(),
                services: set_services.cloned().collect(),
                limits: current.limits,
                removed_routes: removed_routes.cloned().collect(),
                removed_services: removed_services.cloned().collect(),
            };
            (None, Some(Box::new(change)))
        }
        RoutingPart::Named { .. } | RoutingPart::Whole => (Some(current.clone()), None),
    }
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
