//! Tracks the requests that the upstream processes.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ClassId, CustomerId};

/// Number of a request at this gate; never reused.
pub type Ticket = u64;

/// A request that the upstream processes.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    /// Time at which the request was sent to the upstream.
    pub(crate) since: Duration,
    pub(crate) customer: CustomerId,
    pub(crate) class: ClassId,
    /// Share of the customer's plan under overload.
    pub(crate) share: u32,
    /// Whether a request that runs elsewhere made it and waits for it.
    pub(crate) is_call: bool,
    /// Start of the upstream that it was sent to.
    pub(crate) start: u64,
    /// Number of running requests when this one was sent, including it.
    pub(crate) concurrency: u32,
    /// Epoch of the ramp in which the request was sent.
    pub(crate) epoch: u64,
    /// Whether the upstream was asked to cancel the request.
    pub(crate) cancelled: bool,
}

/// The requests that the upstream processes.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    running: BTreeMap<Ticket, Running>,
}

impl Slots {
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn take(&mut self, ticket: Ticket, running: Running) {
        self.running.insert(ticket, running);
    }

    pub(crate) fn free(&mut self, ticket: Ticket) -> Option<Running> {
        self.running.remove(&ticket)
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Running> {
        self.running.get(&ticket)
    }

    pub(crate) fn mark_cancelled(&mut self, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.cancelled = true;
        }
    }

    /// Frees all slots; returns the requests that held them.
    pub(crate) fn clear(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.running).into_keys().collect()
    }

    pub(crate) fn held_by(&self, customer: &str) -> u32 {
        let held = self.running.values().filter(|r| r.customer == customer);
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    /// Returns the customers with running requests and their shares.
    pub(crate) fn shares(&self) -> BTreeMap<&str, u32> {
        let running = self.running.values().filter(|r| !r.is_call);
        running.map(|r| (r.customer.as_str(), r.share)).collect()
    }
}
