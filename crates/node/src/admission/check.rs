//! Checks that the gate makes itself, because the entry may have decided on an
//! outdated view.

use super::Admission;
use super::message::Arrival;
use crate::agent::Agent;
use crate::context::Cx;
use conf::KeyRule;
use wire::RefuseReason;

impl Admission {
    /// Checks everything except slots and suspicion.
    pub(super) fn check(&self, arrival: &Arrival, cx: &Cx<'_>) -> Result<(), RefuseReason> {
        if self.stopping {
            return Err(RefuseReason::Stopping);
        }
        if !cx.agent.may_serve(cx.now) {
            return Err(RefuseReason::Stale);
        }
        if cx.agent.is_out(&cx.agent.name, &cx.agent.data_centre) {
            return Err(RefuseReason::Out);
        }
        if arrival.service != self.service() {
            return Err(RefuseReason::NoUpstream);
        }
        if self.is_version_excluded(cx) {
            return Err(RefuseReason::Out);
        }
        if arrival.deadline.is_zero() {
            return Err(RefuseReason::Deadline);
        }
        let fingerprint = arrival.fingerprint;
        let convicted = cx.agent.convicted(fingerprint) && !self.may_retry_convicted(arrival, cx);
        if convicted || self.crash_counts.convicts(fingerprint) {
            return Err(RefuseReason::Convicted);
        }
        if self.is_slower_than_assumed(arrival) {
            return Err(RefuseReason::Slow);
        }
        if arrival.claim == 0 && needs_claim(arrival, cx.agent) {
            return Err(RefuseReason::Malformed);
        }
        if arrival.claim != 0 && self.dispatched.contains(arrival.claim) {
            return Err(RefuseReason::Duplicate);
        }
        Ok(())
    }
}

/// Ratio of the current slowness to the one that the entry assumed above which
/// the entry should choose again.
const MAX_SLOWNESS_RATIO: f64 = 1.5;

impl Admission {
    /// Returns whether a convicted request may run here once, to show whether it crashes
    /// upstreams, and has not yet.
    fn may_retry_convicted(&self, arrival: &Arrival, cx: &Cx<'_>) -> bool {
        let retrial_at = cx.agent.retrial_at(cx.now, arrival.fingerprint);
        retrial_at == Some(&cx.agent.name) && !self.retried.contains(&arrival.fingerprint)
    }

    /// Returns whether the entry chose this upstream on an outdated slowness.
    fn is_slower_than_assumed(&self, arrival: &Arrival) -> bool {
        let assumed = arrival.believed_slow_percent;
        let current = self.gate.load().slow_percent;
        assumed > 0 && f64::from(current) > f64::from(assumed) * MAX_SLOWNESS_RATIO
    }
}

/// Returns whether a request must not run without a claim.
fn needs_claim(arrival: &Arrival, agent: &Agent) -> bool {
    let class = agent.config.plans.classes.get(&arrival.class);
    class.is_some_and(|class| !class.idempotent && class.key == KeyRule::Required)
}

/// Returns the share that a customer's plan has under overload.
pub(super) fn customer_share(customer: &str, agent: &Agent) -> u32 {
    let config = &agent.config;
    let plan = config.customers.get(customer);
    let plan = plan.and_then(|plan| config.plans.plans.get(plan));
    plan.map_or(1, |plan| plan.share)
}
