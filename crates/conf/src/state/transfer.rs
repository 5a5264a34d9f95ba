//! Sending side of a configuration transfer: splits the difference to a daemon's
//! version into pages.

use super::ConfigState;
use super::recent_changes::{RoutingDelta, customer_bytes};
use crate::customers::{routing_without_keys, without_keys};
use bytes::Bytes;
use prost::Message;
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use wire::{ConfigDelta, ConfigVersion, CustomerPlan, Routing, RoutingChange};

/// Approximate maximum size of a page.
pub const MAX_PAGE_BYTES: usize = 256 * 1024;
/// Minimum size of a page that is compressed.
const MIN_COMPRESSED_BYTES: usize = 1024;
/// Maximum number of transfers whose pages are cached.
const MAX_TRANSFERS: usize = 8;

/// Cached transfers to the current version, by the version that they start from and
/// whether they contain routing changes.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    to: ConfigVersion,
    pages: BTreeMap<(ConfigVersion, bool), Vec<Page>>,
}

#[derive(Clone, Debug)]
struct Page {
    delta: ConfigDelta,
    /// The page in compressed form, or `None` if it is small or cannot be compressed.
    compressed: OnceCell<Option<Bytes>>,
}

impl Page {
    fn new(delta: ConfigDelta) -> Self {
        Self {
            delta,
            compressed: OnceCell::new(),
        }
    }

    /// Returns the page in compressed form, unless it is sent as it is. It is compressed once.
    fn compressed(&self) -> Option<&Bytes> {
        let compressed = self.compressed.get_or_init(|| {
            let is_large = self.delta.encoded_len() >= MIN_COMPRESSED_BYTES;
            is_large.then(|| self.delta.compress().ok()).flatten()
        });
        compressed.as_ref()
    }
}

impl Transfers {
    /// Returns a page of the transfer to a daemon at `daemon_version`, or `None` if
    /// the daemon is up to date. Pages are numbered from 1; 0 also requests the
    /// first. A daemon that does not support routing changes gets the full routing.
    pub fn page(
        &mut self,
        state: &ConfigState,
        daemon_version: ConfigVersion,
        page: u64,
        supports_routing_changes: bool,
    ) -> Option<ConfigDelta> {
        let page = self.cached(state, daemon_version, page, supports_routing_changes)?;
        Some(page.delta.clone())
    }

    /// Returns the same in compressed form, for a daemon that supports it and routing
    /// changes. Returns `None` also if the page is too small to be compressed.
    pub fn compressed_page(
        &mut self,
        state: &ConfigState,
        daemon_version: ConfigVersion,
        page: u64,
    ) -> Option<Bytes> {
        let page = self.cached(state, daemon_version, page, true)?;
        page.compressed().cloned()
    }

    fn cached(
        &mut self,
        state: &ConfigState,
        daemon_version: ConfigVersion,
        page: u64,
        supports_routing_changes: bool,
    ) -> Option<&Page> {
        let to = state.current().version;
        if daemon_version >= to {
            return None;
        }
        if self.to != to {
            self.pages.clear();
            self.to = to;
        }
        // Daemons that need everything share one transfer.
        let from = match state.recent_changes.covers(daemon_version) {
            true => daemon_version,
            false => 0,
        };
        let key = (from, supports_routing_changes);
        if !self.pages.contains_key(&key) && self.pages.len() >= MAX_TRANSFERS {
            // The full transfer comes first and is the most expensive one to build.
            self.pages.pop_last();
        }
        let pages = self.pages.entry(key);
        let pages =
            pages.or_insert_with(|| split_into_pages(state, from, supports_routing_changes));
        let index = usize::try_from(page.saturating_sub(1)).ok()?;
        pages.get(index).or_else(|| pages.first())
    }
}

/// Splits the changes since `daemon_version` into pages, or the full configuration
/// if not all of these changes are stored.
fn split_into_pages(
    state: &ConfigState,
    daemon_version: ConfigVersion,
    supports_routing_changes: bool,
) -> Vec<Page> {
    let current = state.current();
    let merged = state.recent_changes.since(daemon_version);
    let from = if merged.is_some() { daemon_version } else { 0 };
    let with_plans = merged.as_ref().is_none_or(|m| m.plans_changed);
    let delta = merged.as_ref().map_or(&RoutingDelta::Full, |m| &m.routing);
    let (routing, routing_change) =
        routing(current.routing.content(), delta, supports_routing_changes);
    let customers = merged.map_or_else(|| all_customers(state), |m| m.customers);
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
        rollouts: current.rollouts.values().cloned().collect(),
    });
    deltas.into_iter().map(Page::new).collect()
}

/// Returns the full routing, a routing delta, or neither if the routing is
/// unchanged. Neither contains the text of keys.
fn routing(
    current: &Routing,
    delta: &RoutingDelta,
    supports_routing_changes: bool,
) -> (Option<Routing>, Option<Box<RoutingChange>>) {
    match delta {
        RoutingDelta::None => (None, None),
        RoutingDelta::Named {
            routes,
            services,
            customers,
        } if supports_routing_changes => {
            let (routes, removed_routes) = split_changed(&current.routes, routes, |r| &r.name);
            let (services, removed_services) =
                split_changed(&current.services, services, |s| &s.name);
            let (customers, removed_customers) =
                split_changed(&current.customers, customers, |c| &c.name);
            let change = RoutingChange {
                version: current.version,
                base: 0,
                full: false,
                routes: routes.into_iter().cloned().collect(),
                services: services.into_iter().cloned().collect(),
                limits: current.limits,
                removed_routes,
                removed_services,
                customers: customers.into_iter().map(without_keys).collect(),
                removed_customers,
                needs_credentials: current.needs_credentials,
                credential_salt: current.credential_salt.clone(),
            };
            (None, Some(Box::new(change)))
        }
        RoutingDelta::Named { .. } | RoutingDelta::Full => {
            (Some(routing_without_keys(current)), None)
        }
    }
}

/// Returns the entries with changed names, and the changed names that no entry has.
fn split_changed<'a, T>(
    current: &'a [T],
    changed: &BTreeSet<String>,
    name: impl Fn(&T) -> &String,
) -> (Vec<&'a T>, Vec<String>) {
    let mut removed: BTreeSet<&String> = changed.iter().collect();
    let set = current.iter().filter(|entry| removed.remove(name(entry)));
    let set = set.collect();
    (set, removed.into_iter().cloned().collect())
}

fn all_customers(state: &ConfigState) -> Vec<CustomerPlan> {
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

fn names<T: ToString>(names: &BTreeSet<T>) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}
