//! The limit that the routing states for a request's customer.

use super::Entry;
use super::refusal::RefusalCause;
use super::request::{ActiveRequest, TokenState};
use crate::allowance::{Denial, RoutedAdmission};
use crate::context::Cx;
use quota::Decision;
use std::time::Duration;

/// Longest time for which a request waits for the home of its customer.
const MAX_HOLD: Duration = Duration::from_millis(100);
/// Divisor of the time left to the objective that bounds the wait too.
const HOLD_DIVISOR: u32 = 5;

/// Counts a request against the limit of its customer, or holds it.
///
/// # Errors
///
/// Returns the refusal if the customer's limit is used up.
pub(super) fn admit(active: &mut ActiveRequest, cx: &mut Cx<'_>) -> Result<(), RefusalCause> {
    let late_at = active.late_at.unwrap_or(active.deadline);
    let left = late_at.min(active.deadline).saturating_sub(cx.now);
    let hold_until = cx.now + (left / HOLD_DIVISOR).min(MAX_HOLD);
    let held = (active.request.id, hold_until);
    let customer = &active.request.customer;
    let admitted = cx
        .allowances
        .admit_routed(cx.now, customer, held, cx.agent, cx.tx)?;
    active.token = match admitted {
        RoutedAdmission::Unlimited => TokenState::Unneeded,
        RoutedAdmission::Admitted => TokenState::TakenAt(cx.now),
        RoutedAdmission::Held => TokenState::Awaited,
    };
    Ok(())
}

impl Entry {
    /// Forwards or refuses a request that was held for its customer's limit. The token of
    /// a request that has ended meanwhile is returned.
    pub fn on_limit_decided(&mut self, decision: &Decision, cx: &mut Cx<'_>) {
        let id = decision.request;
        let active = self.active.get_mut(&id).filter(|a| a.is_held());
        match (active, decision.refused) {
            (Some(active), None) => {
                active.token = TokenState::TakenAt(cx.now);
                self.forward(id, cx);
            }
            (Some(_), Some(after)) => self.refuse(id, Denial::Limit(after).into(), cx),
            (None, None) => cx.allowances.give_back(cx.now, &decision.customer, cx.now),
            (None, Some(_)) => {}
        }
    }
}
