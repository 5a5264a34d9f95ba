//! The entry's side: what it holds of each customer's allowance.

use crate::lease::{Lease, Question};
use conf::Plan;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, ConfigVersion, CustomerId, DaemonId};

/// Leases at once.
const MAX_LEASES: usize = 100_000;
/// Time without a request after which a lease is forgotten. Its starter share
/// comes back then, so this bounds what a customer over its limit gains by
/// calling each entry rarely.
const IDLE: Duration = Duration::from_secs(300);
/// Wait that is told when there is no room for another lease.
const FULL_WAIT: Duration = Duration::from_secs(1);

/// What of a customer's allowance is used up, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The rate.
    Rate(Duration),
    /// The requests in flight.
    InFlight(Duration),
}

/// The allowances that an entry holds.
#[derive(Debug)]
pub struct Leases {
    daemon: DaemonId,
    block: Duration,
    leases: HashMap<CustomerId, Lease>,
    timers: BinaryHeap<Reverse<(Duration, CustomerId)>>,
    next_id: u64,
    entries: u32,
}

impl Leases {
    /// Creates an entry without leases.
    #[must_use]
    pub fn new(daemon: DaemonId, block: Duration) -> Self {
        Self {
            daemon,
            block,
            leases: HashMap::new(),
            timers: BinaryHeap::new(),
            next_id: 0,
            entries: 1,
        }
    }

    /// Records that the fleet has at least so many entries.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = self.entries.max(entries);
    }

    /// Returns how many leases there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns whether there are no leases.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns the version of the configuration that a customer's lease is
    /// from.
    #[must_use]
    pub fn version(&self, customer: &str) -> Option<ConfigVersion> {
        self.leases.get(customer).map(Lease::version)
    }

    /// Takes the plan of a version for a customer; creates its lease.
    ///
    /// # Errors
    ///
    /// Returns a shortage when there is no room for another lease.
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
            return Err(LimitExceeded::Rate(FULL_WAIT));
        }
        let lease = Lease::new(now, plan, version, self.block, self.entries);
        self.leases.insert(customer.clone(), lease);
        self.timers
            .push(Reverse((now + self.block, customer.clone())));
        Ok(())
    }

    /// Takes one request out of a customer's allowance; appends the question
    /// for the customer's home, if a block is wanted.
    ///
    /// # Errors
    ///
    /// Returns what is used up, and when to come back; also for a customer
    /// without a lease.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        asks: &mut Vec<AllowanceRequest>,
    ) -> Result<(), LimitExceeded> {
        let Some(lease) = self.leases.get_mut(customer) else {
            return Err(LimitExceeded::Rate(FULL_WAIT));
        };
        let result = lease.admit(now);
        self.ask(now, customer, asks);
        self.schedule(now, customer);
        result
    }

    /// Records that an admitted request of a customer is over.
    pub fn finished(&mut self, customer: &str) {
        if let Some(lease) = self.leases.get_mut(customer) {
            lease.finished();
        }
    }

    /// Takes a home's answer in.
    pub fn handle_allowance(&mut self, now: Duration, answer: &Allowance) {
        self.set_entries(answer.entries);
        if let Some(lease) = self.leases.get_mut(answer.customer.as_str()) {
            lease.answered(now, answer);
        }
    }

    /// Gives up the question about a customer, because its home can't be
    /// reached.
    pub fn request_failed(&mut self, now: Duration, customer: &str) {
        if let Some(lease) = self.leases.get_mut(customer) {
            lease.lost(now);
        }
    }

    /// Lets time pass: appends questions that are due, gives up those that got
    /// no answer, and forgets idle leases.
    pub fn tick(&mut self, now: Duration, asks: &mut Vec<AllowanceRequest>) {
        while let Some(Reverse((due, _))) = self.timers.peek() {
            if *due > now {
                return;
            }
            let Some(Reverse((due, customer))) = self.timers.pop() else {
                return;
            };
            self.due(now, due, &customer, asks);
        }
    }

    fn due(
        &mut self,
        now: Duration,
        due: Duration,
        customer: &CustomerId,
        asks: &mut Vec<AllowanceRequest>,
    ) {
        let Some(lease) = self.leases.get_mut(customer) else {
            return;
        };
        if !lease.is_timer(due) {
            return;
        }
        if lease.is_idle(now, IDLE) {
            self.leases.remove(customer);
            return;
        }
        if lease.is_overdue(now) {
            lease.lost(now);
        }
        self.ask(now, customer, asks);
        self.schedule(now, customer);
    }

    /// Sets a timer for a lease, unless one goes off earlier.
    fn schedule(&mut self, now: Duration, customer: &CustomerId) {
        let Some(lease) = self.leases.get_mut(customer) else {
            return;
        };
        let due = lease.due(now, IDLE);
        if lease.set_timer(now, due) {
            self.timers.push(Reverse((due, customer.clone())));
        }
    }

    fn ask(&mut self, now: Duration, customer: &CustomerId, asks: &mut Vec<AllowanceRequest>) {
        let Some(lease) = self.leases.get_mut(customer) else {
            return;
        };
        // Also above the numbers of an earlier start of this daemon.
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        let id = micros.max(self.next_id + 1);
        let Some(question) = lease.question(now, id) else {
            return;
        };
        self.next_id = id;
        asks.push(self.request(id, customer, question));
    }

    fn request(&self, id: u64, customer: &CustomerId, question: Question) -> AllowanceRequest {
        AllowanceRequest {
            id,
            daemon: self.daemon.to_string(),
            customer: customer.to_string(),
            wanted: question.wanted,
            returned: question.returned,
            in_flight: question.in_flight,
            config_version: self.version(customer).unwrap_or(0),
            unreserved: question.spent,
            demand: question.demand,
            arrivals: question.arrivals,
        }
    }
}
