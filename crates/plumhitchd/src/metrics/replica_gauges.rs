//! Gauges of the control replica on this VM.

use super::gauges::{int_gauge, int_gauge_vec, set, to_i64};
use crate::runtime::Daemon;
use prometheus::{IntGauge, IntGaugeVec, Registry};
use replica::{Replica, Role};

const ROLES: [Role; 6] = [
    Role::Empty,
    Role::Learner,
    Role::Follower,
    Role::Candidate,
    Role::Leader,
    Role::Faulty,
];

/// Gauges that are updated whenever the metrics are requested.
#[derive(Debug)]
pub(super) struct ReplicaGauges {
    role: IntGaugeVec,
    voters: IntGaugeVec,
    set_aside: IntGauge,
}

impl ReplicaGauges {
    /// Creates and registers the gauges.
    ///
    /// # Errors
    ///
    /// Returns an error if a gauge cannot be registered.
    pub(super) fn new(registry: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            role: int_gauge_vec(
                registry,
                "control_role",
                "1 for the role of the control replica on this VM, and 0 for the others.",
                &["role"],
            )?,
            voters: int_gauge_vec(
                registry,
                "control_voters",
                "At the control leader, its voters, and those that are silent or lack committed \
                 entries; 0 elsewhere.",
                &["what"],
            )?,
            set_aside: int_gauge(
                registry,
                "control_files_set_aside",
                "Files of the data folder that were set aside because they were corrupt.",
            )?,
        })
    }

    /// Sets all gauges to the current values.
    pub(super) fn update(&self, daemon: &Daemon) {
        daemon.read(|node| {
            if let Some(control) = &node.control {
                self.update_from(control.replica());
            }
        });
    }

    fn update_from(&self, replica: &Replica) {
        for role in ROLES {
            let is_current = u64::from(role == replica.role());
            set(&self.role, &[(role_name(role), is_current)]);
        }
        let voters = match replica.role() {
            Role::Leader => replica.membership().voters.len(),
            _ => 0,
        };
        let lagging = replica.lagging_voters().len();
        set(
            &self.voters,
            &[("all", voters as u64), ("lagging", lagging as u64)],
        );
        self.set_aside.set(to_i64(replica.set_aside().len() as u64));
    }
}

/// Returns the name of a role in metrics and the status.
pub(crate) fn role_name(role: Role) -> &'static str {
    match role {
        Role::Empty => "empty",
        Role::Learner => "learner",
        Role::Follower => "follower",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
        Role::Faulty => "faulty",
    }
}
