//! Bounded queue of requests that wait for a slot for a short time.
//!
//! Without a queue, a slot stays idle from the end of one request until the
//! next one happens to arrive, while other requests are refused.

use crate::service_times::ServiceTimes;
use crate::slot_order::SlotOrder;
use crate::slots::{Slots, Ticket};
use overload::CustomerShares;
use std::time::Duration;
use wire::{ClassId, CustomerId, ServiceId};

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Number of the request at this gate.
    pub ticket: Ticket,
    /// Requested service.
    pub service: ServiceId,
    /// Customer that the request belongs to.
    pub customer: CustomerId,
    /// Share of the customer's plan under overload.
    pub share: u32,
    /// Class of the request.
    pub class: ClassId,
    /// Weight of the class; requests of lower weight are refused first.
    pub weight: u32,
    /// Time after which the response is late, if there is one.
    pub objective: Option<Duration>,
    /// Whether a request that runs elsewhere made it and waits for it.
    pub is_call: bool,
}

/// State of the gate that the rank of queued requests depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueContext<'a> {
    pub(crate) now: Duration,
    pub(crate) slots: &'a Slots,
    /// What the customers were served recently.
    pub(crate) served: &'a CustomerShares,
    /// Current concurrency limit.
    pub(crate) limit: u32,
    /// Typical service times of the upstream.
    pub(crate) service_times: &'a ServiceTimes,
    /// Current service time relative to the normal one.
    pub(crate) slowness: f64,
}

#[derive(Clone, Debug)]
struct Waiting {
    request: SlotRequest,
    expires: Duration,
}

/// Queued requests in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
}

/// Result of adding a request to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PushResult {
    /// The request was added.
    Queued,
    /// The request was added in place of this one, which must be refused.
    Displaced(Ticket),
    /// The queue is full.
    Full,
}

/// Place of a new request in the queue.
enum Place {
    /// There is room.
    Free,
    /// That of the request at this index, which has a lower rank.
    Of(usize),
    /// None.
    None,
}

impl Queue {
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Queues a request until `expires`. If `capacity` requests are queued
    /// already, the request replaces the one with the lowest rank, provided its
    /// own rank is higher.
    pub(crate) fn push(
        &mut self,
        request: &SlotRequest,
        expires: Duration,
        capacity: u32,
        cx: QueueContext<'_>,
    ) -> PushResult {
        let place = self.place(request, capacity, cx);
        let waiting = Waiting {
            request: request.clone(),
            expires,
        };
        match place {
            Place::Free => {
                self.waiting.push(waiting);
                PushResult::Queued
            }
            Place::Of(index) => {
                let displaced = self.waiting.remove(index).request.ticket;
                self.waiting.push(waiting);
                PushResult::Displaced(displaced)
            }
            Place::None => PushResult::Full,
        }
    }

    /// Returns whether [`Queue::push`] would queue a request.
    pub(crate) fn has_room(
        &self,
        request: &SlotRequest,
        capacity: u32,
        cx: QueueContext<'_>,
    ) -> bool {
        !matches!(self.place(request, capacity, cx), Place::None)
    }

    fn place(&self, request: &SlotRequest, capacity: u32, cx: QueueContext<'_>) -> Place {
        if self.len() < capacity {
            return Place::Free;
        }
        let queued = self.waiting.iter().map(|w| &w.request);
        let order = SlotOrder::of(cx, queued.chain(std::iter::once(request)));
        let ranks = self.waiting.iter().map(|w| order.rank(&w.request));
        let last = ranks
            .enumerate()
            .min_by_key(|(index, rank)| (*rank, usize::MAX - index));
        match last.filter(|(_, rank)| *rank < order.rank(request)) {
            Some((index, _)) => Place::Of(index),
            None => Place::None,
        }
    }

    /// Removes and returns the request with the highest rank.
    pub(crate) fn pop(&mut self, cx: QueueContext<'_>) -> Option<SlotRequest> {
        let order = SlotOrder::of(cx, self.waiting.iter().map(|w| &w.request));
        let ranks = self.waiting.iter().map(|w| order.rank(&w.request));
        let first = ranks
            .enumerate()
            .max_by_key(|(index, rank)| (*rank, usize::MAX - index));
        let (index, _) = first?;
        Some(self.waiting.remove(index).request)
    }

    /// Removes all requests.
    pub(crate) fn clear(&mut self) -> Vec<Ticket> {
        let removed = self.waiting.drain(..);
        removed.map(|w| w.request.ticket).collect()
    }

    /// Removes a request; returns whether it was queued.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.request.ticket != ticket);
        self.waiting.len() < before
    }

    /// Removes the requests whose waiting time has expired.
    pub(crate) fn remove_expired(&mut self, now: Duration) -> Vec<Ticket> {
        let late = self.waiting.extract_if(.., |w| w.expires <= now);
        late.map(|w| w.request.ticket).collect()
    }
}
