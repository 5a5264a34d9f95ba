//! The configuration at one version.

use crate::lists::{Customers, Plans};
use crate::routes::RouteTable;
use std::collections::{BTreeMap, BTreeSet};
use wire::{
    ConfigVersion, CustomerPlan, DataCentreId, OperationKind, Rollout, ServiceId, UpstreamId,
};

/// The configuration at one version, as daemons hold it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Version; 0 before the first transfer, 1 after initialisation, without lists.
    pub version: ConfigVersion,
    /// Text of the plan list.
    pub plans_text: String,
    /// Parsed plan list.
    pub plans: Plans,
    /// Plan of each customer.
    pub customers: Customers,
    /// Data centres taken out of service.
    pub out_data_centres: BTreeSet<DataCentreId>,
    /// Upstreams taken out of service.
    pub out_upstreams: BTreeSet<UpstreamId>,
    /// Routes, services and limits.
    pub routing: RouteTable,
    /// The newest rollout of each service.
    pub rollouts: BTreeMap<ServiceId, Rollout>,
}

impl Configuration {
    /// Returns whether an upstream or its data centre has been taken out of
    /// service.
    #[must_use]
    pub fn is_out(&self, upstream: &str, data_centre: &str) -> bool {
        self.out_upstreams.contains(upstream) || self.out_data_centres.contains(data_centre)
    }

    pub(super) fn set_plans(&mut self, text: Option<&str>, plans: Option<Plans>) {
        if let (Some(text), Some(plans)) = (text, plans) {
            text.clone_into(&mut self.plans_text);
            self.plans = plans;
        }
    }

    pub(super) fn apply_operation(&mut self, kind: OperationKind, target: &str) {
        match kind {
            OperationKind::DataCentreOut => {
                self.out_data_centres.insert(target.into());
            }
            OperationKind::DataCentreReturn => {
                self.out_data_centres.remove(target);
            }
            OperationKind::UpstreamOut => {
                self.out_upstreams.insert(target.into());
            }
            OperationKind::UpstreamReturn => {
                self.out_upstreams.remove(target);
            }
            OperationKind::Lists | OperationKind::Unknown => {}
        }
    }
}

/// Sets customers' plans; an empty plan removes the customer.
pub(super) fn apply_customer_changes(customers: &mut Customers, changes: &[CustomerPlan]) {
    for CustomerPlan { customer, plan } in changes {
        if plan.is_empty() {
            customers.remove(customer.as_str());
        } else {
            customers.insert(customer.as_str().into(), plan.as_str().into());
        }
    }
}

/// Returns rollouts by the name of their service.
pub(super) fn rollouts_by_service(rollouts: &[Rollout]) -> BTreeMap<ServiceId, Rollout> {
    let rollouts = rollouts.iter();
    rollouts
        .map(|rollout| (rollout.service.as_str().into(), rollout.clone()))
        .collect()
}
