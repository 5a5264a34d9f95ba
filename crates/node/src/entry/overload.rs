//! Rejects requests under overload before any gate is asked.

use super::Entry;
use super::forward::is_guess;
use super::refusal::{Reason, RefusalCause};
use super::request::Purpose;
use crate::context::Cx;
use ::overload::AskRequest;
use pick::Estimate;
use std::time::Duration;
use wire::{RefuseReason, RequestId};

/// Ratio of the expected response time to the time left to the objective above which a
/// response is expected to be late. It is above 1 because service times vary and reports
/// are slightly outdated.
const MAX_LATENESS_RATIO: u32 = 2;

impl Entry {
    /// Returns whether the response of an upstream is expected within the objective, or
    /// nothing is known against it.
    pub(super) fn is_in_time(&self, id: RequestId, estimate: &Estimate, cx: &Cx<'_>) -> bool {
        let late_at = self.active.get(&id).and_then(|active| active.late_at);
        let latest = |at: Duration| at.saturating_sub(cx.now) * MAX_LATENESS_RATIO;
        is_guess(estimate) || late_at.is_none_or(|at| estimate.finish <= latest(at))
    }

    /// Checks whether a request may be sent to an upstream, or whether gates refuse too many
    /// that rank like it.
    ///
    /// # Errors
    ///
    /// Returns the cause of its rejection.
    pub(super) fn check_overload(
        &mut self,
        id: RequestId,
        purpose: Purpose,
        in_time: bool,
        cx: &Cx<'_>,
    ) -> Result<(), RefusalCause> {
        let Some(active) = self.active.get(&id) else {
            return Ok(());
        };
        if !matches!(purpose, Purpose::First | Purpose::Repick) {
            return Ok(());
        }
        let request = AskRequest {
            customer: &active.request.customer,
            weight: active.class.weight,
            is_call: active.request.depth > 1,
            in_time,
            has_waited: active.has_waited,
        };
        let budget = self.ask_budgets.entry(active.request.service.clone());
        let checked = budget.or_default().check(cx.now, &request);
        checked.map_err(|earliest| RefusalCause {
            earliest,
            ..Reason::Overload.into()
        })
    }

    /// Records that a gate refused a request, which counts against those after it if there
    /// was no room. Refused calls do not count, because they are always sent.
    pub(super) fn record_gate_refusal(&mut self, id: RequestId, reason: RefuseReason, cx: &Cx<'_>) {
        let active = self.active.get_mut(&id).filter(|a| a.request.depth <= 1);
        let lacks_room = matches!(reason, RefuseReason::NoSlot | RefuseReason::Cold);
        let Some(active) = active.filter(|_| lacks_room) else {
            return;
        };
        active.no_room_refusals += 1;
        let service = active.request.service.clone();
        self.ask_budgets
            .entry(service)
            .or_default()
            .record_refused(cx.now);
    }

    /// Records the response to a request.
    pub(super) fn record_served(&mut self, id: RequestId, cx: &Cx<'_>) {
        let Some(active) = self.active.get(&id).filter(|a| a.request.depth <= 1) else {
            return;
        };
        let refusals = u32::try_from(active.no_room_refusals).unwrap_or(u32::MAX);
        if let Some(budget) = self.ask_budgets.get_mut(&active.request.service) {
            budget.record_response(cx.now, &active.request.customer, refusals);
        }
    }
}
