//! Saves the configuration state in a snapshot and restores it.

use super::ConfigState;
use super::configuration::{apply_customer_changes, rollouts_by_service};
use super::recent_changes::{RecentChange, RecentChanges, RoutingDelta};
use super::remembered::RememberedChanges;
use super::routing::AcceptedRoutingChange;
use crate::finding::Findings;
use crate::lists::parse_plans;
use crate::routes::RouteTable;
use wire::{ChangeOutcome, CustomerPlan, HistoryEntry, Rollout};

/// The configuration state as stored in a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigSnapshot {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(string, tag = "2")]
    plans: String,
    #[prost(message, repeated, tag = "3")]
    customers: Vec<CustomerPlan>,
    #[prost(string, repeated, tag = "4")]
    out_data_centres: Vec<String>,
    #[prost(string, repeated, tag = "5")]
    out_upstreams: Vec<String>,
    #[prost(message, repeated, tag = "6")]
    remembered: Vec<RememberedRecord>,
    #[prost(message, repeated, tag = "7")]
    history: Vec<HistoryEntry>,
    #[prost(uint64, tag = "8")]
    recent_changes_base: u64,
    #[prost(message, repeated, tag = "9")]
    recent_changes: Vec<RecentChangeRecord>,
    #[prost(message, optional, tag = "10")]
    routing: Option<wire::Routing>,
    #[prost(message, repeated, tag = "11")]
    routing_changes: Vec<AcceptedRoutingChange>,
    #[prost(message, repeated, tag = "12")]
    rollouts: Vec<Rollout>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RememberedRecord {
    #[prost(string, tag = "1")]
    change: String,
    #[prost(fixed64, tag = "2")]
    digest: u64,
    #[prost(message, required, tag = "3")]
    outcome: ChangeOutcome,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RecentChangeRecord {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(message, repeated, tag = "2")]
    customers: Vec<CustomerPlan>,
    #[prost(bool, tag = "3")]
    plans_changed: bool,
    #[prost(bool, tag = "4")]
    routing_changed: bool,
}

impl ConfigState {
    /// Returns a snapshot of the state.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        let current = &self.current;
        let customers = current.customers.iter().map(|(c, p)| CustomerPlan {
            customer: c.to_string(),
            plan: p.to_string(),
        });
        ConfigSnapshot {
            version: current.version,
            plans: current.plans_text.clone(),
            customers: customers.collect(),
            out_data_centres: current
                .out_data_centres
                .iter()
                .map(|n| n.to_string())
                .collect(),
            out_upstreams: current
                .out_upstreams
                .iter()
                .map(|n| n.to_string())
                .collect(),
            remembered: remembered_records(&self.remembered),
            history: self.history.iter().cloned().collect(),
            recent_changes_base: self.recent_changes.base_version(),
            recent_changes: recent_change_records(&self.recent_changes),
            routing: Some(current.routing.content().clone()),
            routing_changes: self.routing_changes.iter().copied().collect(),
            rollouts: current.rollouts.values().cloned().collect(),
        }
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the findings if the plan list is invalid.
    pub fn restore(snapshot: ConfigSnapshot) -> Result<Self, Findings> {
        let mut state = Self::default();
        let plans = parse_plans("plans", &snapshot.plans)?;
        state.current.version = snapshot.version;
        state.current.set_plans(Some(&snapshot.plans), Some(plans));
        apply_customer_changes(&mut state.current.customers, &snapshot.customers);
        state.current.out_data_centres = names(&snapshot.out_data_centres);
        state.current.out_upstreams = names(&snapshot.out_upstreams);
        for record in snapshot.remembered {
            let RememberedRecord {
                change,
                digest,
                outcome,
            } = record;
            state.remembered.insert(&change, digest, outcome);
        }
        state.history = snapshot.history.into();
        state.recent_changes.reset(snapshot.recent_changes_base);
        for record in snapshot.recent_changes {
            state.recent_changes.push(RecentChange {
                version: record.version,
                customers: record.customers,
                plans_changed: record.plans_changed,
                // Snapshots do not store which routes, services and customers changed.
                routing: match record.routing_changed {
                    true => RoutingDelta::Full,
                    false => RoutingDelta::None,
                },
            });
        }
        state.current.routing = RouteTable::new(snapshot.routing.unwrap_or_default());
        state.routing_changes = snapshot.routing_changes.into();
        state.current.rollouts = rollouts_by_service(&snapshot.rollouts);
        Ok(state)
    }
}

fn names(names: &[String]) -> std::collections::BTreeSet<compact_str::CompactString> {
    names.iter().map(Into::into).collect()
}

fn remembered_records(remembered: &RememberedChanges) -> Vec<RememberedRecord> {
    let records = remembered
        .iter()
        .map(|(change, digest, outcome)| RememberedRecord {
            change: change.to_owned(),
            digest,
            outcome: outcome.clone(),
        });
    records.collect()
}

fn recent_change_records(recent_changes: &RecentChanges) -> Vec<RecentChangeRecord> {
    let records = recent_changes.iter().map(|change| RecentChangeRecord {
        version: change.version,
        customers: change.customers.clone(),
        plans_changed: change.plans_changed,
        routing_changed: change.routing != RoutingDelta::None,
    });
    records.collect()
}
