//! The exact count of an upstream's work.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ClassId, CustomerId};

/// Number of a request at this gate, never used twice.
pub type Ticket = u64;

/// A request that the upstream works on.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    /// When it was handed over.
    pub(crate) since: Duration,
    /// Customer.
    pub(crate) customer: CustomerId,
    /// Class.
    pub(crate) class: ClassId,
    /// Share of the customer's plan.
    pub(crate) share: u32,
    /// Requests under way when it was handed over, this one included.
    pub(crate) level: u32,
    /// Ramp epoch in which it was handed over.
    pub(crate) epoch: u64,
    /// Whether the gate has asked the upstream to drop it.
    pub(crate) cancelled: bool,
}

/// The requests that the upstream works on.
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

    pub(crate) fn cancel(&mut self, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.cancelled = true;
        }
    }

    /// Frees every slot; returns the requests that held them.
    pub(crate) fn clear(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.running).into_keys().collect()
    }

    pub(crate) fn of_customer(&self, customer: &str) -> u32 {
        let held = self.running.values().filter(|r| r.customer == customer);
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    /// Returns each customer at work with its share.
    pub(crate) fn shares(&self) -> BTreeMap<&str, u32> {
        let running = self.running.values();
        running.map(|r| (r.customer.as_str(), r.share)).collect()
    }
}
