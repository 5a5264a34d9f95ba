//! The configuration at one version.

use crate::lists::{Customers, Plans};
use crate::routes::RouteTable;
use std::collections::BTreeSet;
use wire::{ConfigVersion, CustomerPlan, DataCentreId, OperationKind, UpstreamId};

/// The configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Version; 0 before the first word, 1 without lists.
    pub version: ConfigVersion,
    /// Text of the plan list.
    pub plans_text: String,
    /// Plans and classes.
    pub plans: Plans,
    /// Each customer's plan.
    pub customers: Customers,
    /// Data centres taken out.
    pub out_data_centres: BTreeSet<DataCentreId>,
    /// Upstreams taken out.
    pub out_upstreams: BTreeSet<UpstreamId>,
    /// Routes, services and limits.
    pub routing: RouteTable,
}

impl Configuration {
    /// Returns whether operators have taken an upstream, or its data centre,
    /// out.
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

    pub(super) fn operate(&mut self, kind: OperationKind, target: &str) {
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
pub(super) fn set_customers(customers: &mut Customers, changed: &[CustomerPlan]) {
    for CustomerPlan { customer, plan } in changed {
        if plan.is_empty() {
            customers.remove(customer.as_str());
        } else {
            customers.insert(customer.as_str().into(), plan.as_str().into());
        }
    }
}
