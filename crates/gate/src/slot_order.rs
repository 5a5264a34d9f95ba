//! Order in which the requests in the queue get slots.

use crate::queue::{QueueContext, SlotRequest};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Rank of a request, highest first: calls that can be in time, as the request that made
/// them holds a slot elsewhere; then requests that can still meet their objective,
/// customers that get less than a quarter of the average, the higher class weight,
/// customers within their share, and the shorter service time.
type Rank = (bool, bool, bool, u32, bool, Reverse<u32>);

/// Fair share of the slots of each customer with running or queued requests.
pub(crate) struct SlotOrder<'a> {
    shares: BTreeMap<&'a str, u32>,
    cx: QueueContext<'a>,
}

impl<'a> SlotOrder<'a> {
    pub(crate) fn of(
        cx: QueueContext<'a>,
        requests: impl Iterator<Item = &'a SlotRequest>,
    ) -> Self {
        let mut shares = cx.slots.shares();
        let of_customers = requests.filter(|request| !request.is_call);
        shares.extend(of_customers.map(|request| (request.customer.as_str(), request.share)));
        Self { shares, cx }
    }

    pub(crate) fn rank(&self, request: &SlotRequest) -> Rank {
        let cx = &self.cx;
        let typical_us = cx.service_times.of_class(cx.now, &request.class);
        let expected = Duration::from_micros(typical_us.into()).mul_f64(cx.slowness);
        let in_time = request.objective.is_none_or(|at| cx.now + expected <= at);
        let below_floor = cx
            .served
            .is_below_floor(cx.now, &request.customer, request.share);
        (
            request.is_call && in_time,
            in_time,
            below_floor,
            request.weight,
            self.is_within_share(request),
            Reverse(typical_us),
        )
    }

    fn is_within_share(&self, request: &SlotRequest) -> bool {
        let total: u64 = self.shares.values().map(|s| u64::from((*s).max(1))).sum();
        let share = u64::from(request.share.max(1));
        let fair_slots = (u64::from(self.cx.limit) * share).div_ceil(total.max(1));
        u64::from(self.cx.slots.held_by(&request.customer)) < fair_slots
    }
}
