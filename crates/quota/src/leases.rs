//! The entry's side: the leases of all customers.

use crate::lease::{BlockRequest, Lease};
use conf::Plan;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, ConfigVersion, CustomerId, DaemonId};

/// Maximum number of leases.
const MAX_LEASES: usize = 100_000;
/// Time without a request after which a lease is removed. A new lease starts with
/// a fresh number of unreserved requests, so this limits what a customer above
/// its limit gains by calling each entry rarely.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Time to retry when the maximum number of leases is reached.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The limit of a customer that a request exceeds, and the time after which to
/// retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The rate limit.
    Rate(Duration),
    /// The limit on requests in flight.
    InFlight(Duration),
}

/// The leases of an entry, one for each customer.
#[derive(Debug)]
pub struct Leases {
    daemon: DaemonId,
    block_lifetime: Duration,
    leases: HashMap<CustomerId, Lease>,
    timers: BinaryHeap<Reverse<(Duration, CustomerId)>>,
    next_id: u64,
    entries: u32,
}

impl Leases {
    /// Creates an empty set of leases for the entry `daemon`.
    #[must_use]
    pub fn new(daemon: DaemonId, block_lifetime: Duration) -> Self {
        Self {
            daemon,
            block_lifetime,
            leases: HashMap::new(),
            timers: BinaryHeap::new(),
            next_id: 0,
            entries: 1,
        }
    }

    /// Records that the fleet has at least this number of entries.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = self.entries.max(entries);
    }

    /// Returns the number of leases.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns whether there are no leases.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns the configuration version of a customer's plan, if there is a
    /// lease.
    #[must_use]
    pub fn version(&self, customer: &str) -> Option<ConfigVersion> {
        self.leases.get(customer).map(Lease::version)
    }

    /// Sets a customer's plan, and creates the lease if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the maximum number of leases is reached.
    pub fn set_plan(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        plan: Plan,
        version: ConfigVersion,
    ) -> Result<(), LimitExceeded> {
        if let Some(lease) = self.leases.get_mut(customer) {
            lease.set_plan(now, plan, version);
            return Ok(());
        }
        if self.leases.len() >= MAX_LEASES {
            return Err(LimitExceeded::Rate(FULL_RETRY_AFTER));
        }
        let lease = Lease::new(now, plan, version, self.block_lifetime, self.entries);
        self.leases.insert(customer.clone(), lease);
        self.timers
            .push(Reverse((now + self.block_lifetime, customer.clone())));
        Ok(())
    }

    /// Admits one request of a customer. Appends a message for the customer's home
    /// to `requests` if the lease needs a new block.
    ///
    /// # Errors
    ///
    /// Returns the limit that is exceeded. A customer without a lease is refused
    /// as well.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        requests: &mut Vec<AllowanceRequest>,
    ) -> Result<(), LimitExceeded> {
        let Some(lease) = self.leases.get_mut(customer) else {
            return Err(LimitExceeded::Rate(FULL_RETRY_AFTER));
        };
        let result = lease.admit(now);
        self.push_request(now, customer, requests);
        self.schedule(now, customer);
        result
    }

    /// Records that an admitted request of a customer has ended.
    pub fn finished(&mut self, customer: &str) {
        if let Some(lease) = self.leases.get_mut(customer) {
            lease.finished();
        }
    }

    /// Handles a home's reply.
    pub fn handle_allowance(&mut self, now: Duration, allowance: &Allowance) {
        self.set_entries(allowance.entries);
        if let Some(lease) = self.leases.get_mut(allowance.customer.as_str()) {
            lease.handle_allowance(now, allowance);
        }
    }

    /// Records that a customer's home can't be reached, so that the pending
    /// request gets no reply.
    pub fn request_failed(&mut self, now: Duration, customer: &str) {
        if let Some(lease) = self.leases.get_mut(customer) {
            lease.request_failed(now);
        }
    }

    /// Handles expired timers: appends requests for blocks that are due, gives up
    /// those without a reply, and removes idle leases.
    pub fn tick(&mut self, now: Duration, requests: &mut Vec<AllowanceRequest>) {
        while let Some(Reverse((due, _))) = self.timers.peek() {
            if *due > now {
                return;
            }
            let Some(Reverse((due, customer))) = self.timers.pop() else {
                return;
            };
            self.handle_timer(now, due, &customer, requests);
        }
    }

    fn handle_timer(
        &mut self,
        now: Duration,
        due: Duration,
        customer: &CustomerId,
        requests: &mut Vec<AllowanceRequest>,
    ) {
        let Some(lease) = self.leases.get_mut(customer) else {
            return;
        };
        if !lease.is_current_timer(due) {
            return;
        }
        if lease.is_idle(now, IDLE_TIMEOUT) {
            self.leases.remove(customer);
            return;
        }
        if lease.is_overdue(now) {
            lease.request_failed(now);
        }
        self.push_request(now, customer, requests);
        self.schedule(now, customer);
    }

    /// Sets the timer of a lease, unless an earlier one is set.
    fn schedule(&mut self, now: Duration, customer: &CustomerId) {
        let Some(lease) = self.leases.get_mut(customer) else {
            return;
        };
        let due = lease.next_timer(now, IDLE_TIMEOUT);
        if lease.set_timer(now, due) {
            self.timers.push(Reverse((due, customer.clone())));
        }
    }

    fn push_request(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        requests: &mut Vec<AllowanceRequest>,
    ) {
        let Some(lease) = self.leases.get_mut(customer) else {
            return;
        };
        // Based on the clock, so that numbers are higher than those that this
        // daemon used before a restart.
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        let id = micros.max(self.next_id + 1);
        let Some(request) = lease.block_request(now, id) else {
            return;
        };
        self.next_id = id;
        requests.push(self.message(id, customer, request));
    }

    fn message(&self, id: u64, customer: &CustomerId, request: BlockRequest) -> AllowanceRequest {
        AllowanceRequest {
            id,
            daemon: self.daemon.to_string(),
            customer: customer.to_string(),
            wanted: request.wanted,
            returned: request.returned,
            in_flight: request.in_flight,
            config_version: self.version(customer).unwrap_or(0),
            unreserved: request.unreserved,
            demand: request.demand,
            arrivals: request.arrivals,
            ..AllowanceRequest::default()
        }
    }
}
