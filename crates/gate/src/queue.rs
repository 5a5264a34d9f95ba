//! Requests that wait for a slot: few, for a short time, the heaviest first.
//!
//! Without it a slot stands idle from the end of one request until another
//! happens to arrive, while entries are refused.

use crate::pace::Pace;
use crate::slots::{Slots, Ticket};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ClassId, CustomerId, ServiceId};

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Number at this gate.
    pub ticket: Ticket,
    /// Service asked for.
    pub service: ServiceId,
    /// Customer.
    pub customer: CustomerId,
    /// Share of the customer's plan under overload.
    pub share: u32,
    /// Class.
    pub class: ClassId,
    /// Weight of the class; heavier ones are shed later.
    pub weight: u32,
    /// When its answer is late, if there is such a time.
    pub objective: Option<Duration>,
}

/// Who goes first: customers within their share, then requests that can still
/// be in time, then the heavier class, then the shorter work.
type Rank = (bool, bool, u32, Reverse<u32>);

/// What the order of the waiting requests depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing<'a> {
    pub(crate) now: Duration,
    pub(crate) slots: &'a Slots,
    /// Requests that may run at once.
    pub(crate) limit: u32,
    /// How long the upstream usually takes.
    pub(crate) pace: &'a Pace,
    /// How long work takes there now, where 1 is as usual.
    pub(crate) slowness: f64,
}

#[derive(Clone, Debug)]
struct Waiting {
    ask: SlotRequest,
    until: Duration,
}

/// The requests that wait, in the order of their arrival.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
}

/// What became of a request that wanted to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Queued {
    /// It waits.
    Waits,
    /// It waits in the place of this one, which is to be refused.
    Instead(Ticket),
    /// There is no room for it.
    Full,
}

impl Queue {
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Lets a request wait until `until`, among at most `room`; one that
    /// outranks the last of them takes its place.
    pub(crate) fn push(
        &mut self,
        ask: &SlotRequest,
        until: Duration,
        room: u32,
        standing: Standing<'_>,
    ) -> Queued {
        let ask = ask.clone();
        if self.len() < room {
            self.waiting.push(Waiting { ask, until });
            return Queued::Waits;
        }
        let shares = Shares::of(standing, &self.waiting, Some(&ask));
        let ranks = self.waiting.iter().map(|w| shares.rank(&w.ask));
        let last = ranks
            .enumerate()
            .min_by_key(|(at, rank)| (*rank, usize::MAX - at));
        let Some((at, _)) = last.filter(|(_, rank)| *rank < shares.rank(&ask)) else {
            return Queued::Full;
        };
        let displaced = self.waiting.remove(at).ask.ticket;
        self.waiting.push(Waiting { ask, until });
        Queued::Instead(displaced)
    }

    /// Takes the request out that goes first.
    pub(crate) fn pop(&mut self, standing: Standing<'_>) -> Option<SlotRequest> {
        let shares = Shares::of(standing, &self.waiting, None);
        let ranks = self.waiting.iter().map(|w| shares.rank(&w.ask));
        let first = ranks
            .enumerate()
            .max_by_key(|(at, rank)| (*rank, usize::MAX - at));
        let (at, _) = first?;
        Some(self.waiting.remove(at).ask)
    }

    /// Takes a request out that no longer waits; returns whether it did.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.ask.ticket != ticket);
        self.waiting.len() < before
    }

    /// Takes the requests out that have waited long enough.
    pub(crate) fn remove_expired(&mut self, now: Duration) -> Vec<Ticket> {
        let late = self.waiting.extract_if(.., |w| w.until <= now);
        late.map(|w| w.ask.ticket).collect()
    }
}

/// Each customer's fair part of the slots, among the customers at work or
/// waiting.
struct Shares<'a> {
    shares: BTreeMap<&'a str, u32>,
    standing: Standing<'a>,
}

impl<'a> Shares<'a> {
    fn of(standing: Standing<'a>, waiting: &'a [Waiting], ask: Option<&'a SlotRequest>) -> Self {
        let mut shares = standing.slots.shares();
        let asks = waiting.iter().map(|w| &w.ask).chain(ask);
        shares.extend(asks.map(|ask| (ask.customer.as_str(), ask.share)));
        Self { shares, standing }
    }

    fn rank(&self, ask: &SlotRequest) -> Rank {
        let total: u64 = self.shares.values().map(|s| u64::from((*s).max(1))).sum();
        let share = u64::from(ask.share.max(1));
        let standing = &self.standing;
        let fair = (u64::from(standing.limit) * share).div_ceil(total.max(1));
        let within = u64::from(standing.slots.of_customer(&ask.customer)) < fair;
        let usual_us = standing.pace.of_class(&ask.class);
        let takes = Duration::from_micros(usual_us.into()).mul_f64(standing.slowness);
        let in_time = ask.objective.is_none_or(|at| standing.now + takes <= at);
        (within, in_time, ask.weight, Reverse(usual_us))
    }
}
