//! The configuration state in a snapshot.

use super::ConfigState;
use super::configuration::set_customers;
use super::kept::{KeptChange, KeptChanges, RoutingPart};
use super::remembered::RememberedChanges;
use super::routing::AcceptedRouting;
use crate::finding::Findings;
use crate::lists::parse_plans;
use crate::routes::RouteTable;
use wire::{ChangeOutcome, CustomerPlan, HistoryEntry};

/// The configuration state in a snapshot.
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
    kept_floor: u64,
    #[prost(message, repeated, tag = "9")]
    kept: Vec<KeptRecord>,
    #[prost(message, optional, tag = "10")]
    routing: Option<wire::Routing>,
    #[prost(message, repeated, tag = "11")]
    routing_changes: Vec<AcceptedRouting>,
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
struct KeptRecord {
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
    /// Returns the state for a snapshot.
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
            kept_floor: self.kept.floor(),
            kept: kept_records(&self.kept),
            routing: Some(current.routing.content().clone()),
            routing_changes: self.routing_changes.iter().copied().collect(),
        }
    }

    /// Restores the state out of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns why the plan list can't be read.
    pub fn restore(snapshot: ConfigSnapshot) -> Result<Self, Findings> {
        let mut state = Self::default();
        let plans = parse_plans("plans", &snapshot.plans)?;
        state.current.version = snapshot.version;
        state.current.set_plans(Some(&snapshot.plans), Some(plans));
        set_customers(&mut state.current.customers, &snapshot.customers);
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
        state.kept.restart(snapshot.kept_floor);
        for record in snapshot.kept {
            state.kept.push(KeptChange {
                version: record.version,
                customers: record.customers,
                plans_changed: record.plans_changed,
                // Names aren't kept in snapshots.
                routing: match record.routing_changed {
                    true => RoutingPart::Whole,
                    false => RoutingPart::None,
                },
            });
        }
        state.current.routing = RouteTable::new(snapshot.routing.unwrap_or_default());
        state.routing_changes = snapshot.routing_changes.into();
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

fn kept_records(kept: &KeptChanges) -> Vec<KeptRecord> {
    let records = kept.iter().map(|change| KeptRecord {
        version: change.version,
        customers: change.customers.clone(),
        plans_changed: change.plans_changed,
        routing_changed: change.routing != RoutingPart::None,
    });
    records.collect()
}
