//! A simulated fleet of entries with one home, over links that have a delay and
//! can be cut.

use conf::Plan;
use quota::{Leases, Ledger, LimitExceeded};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, CustomerId};

/// Interval between ticks of an entry.
pub(crate) const TICK: Duration = Duration::from_millis(10);
/// Delay of a link in one direction.
pub(crate) const DELAY: Duration = Duration::from_micros(1_500);
/// The customer that sends all requests.
pub(crate) const CUSTOMER: CustomerId = CustomerId::const_new("tc-utrecht");

#[derive(Debug)]
enum Message {
    Request(usize, AllowanceRequest),
    Reply(usize, Allowance),
    Finish(usize),
}

/// Daemons that share the limits of one customer.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Simulated time.
    pub(crate) now: Duration,
    /// Messages sent between daemons.
    pub(crate) messages: u64,
    /// Current and maximum number of requests in flight.
    pub(crate) in_flight: (u32, u32),
    /// Whether the home can be reached.
    pub(crate) reachable: bool,
    /// Whether each request for a block arrives twice.
    pub(crate) duplicate_requests: bool,
    /// Current plan.
    pub(crate) plan: Plan,
    /// Current configuration version.
    pub(crate) version: u64,
    entries: Vec<Leases>,
    /// The customer's home.
    pub(crate) home: Ledger,
    queue: BTreeMap<(Duration, u64), Message>,
    sequence: u64,
    next_tick: Duration,
}

impl Fleet {
    /// Creates daemons that have been running for an hour.
    pub(crate) fn new(entries: usize, plan: Plan, block_lifetime: Duration) -> Self {
        let leases = |i| {
            let mut leases = Leases::new(format!("entry-{i}").into(), block_lifetime);
            leases.set_entries(u32::try_from(entries.min(32)).unwrap_or(1));
            leases
        };
        let now = Duration::from_secs(3_600);
        Self {
            now,
            messages: 0,
            in_flight: (0, 0),
            reachable: true,
            duplicate_requests: false,
            plan,
            version: 1,
            entries: (0..entries).map(leases).collect(),
            home: Ledger::new(Duration::ZERO, block_lifetime),
            queue: BTreeMap::new(),
            sequence: 0,
            next_tick: now,
        }
    }

    /// Advances the time, with the ticks and messages that fall due.
    pub(crate) fn run_until(&mut self, end: Duration) {
        loop {
            let next = self
                .queue
                .keys()
                .next()
                .map_or(Duration::MAX, |(at, _)| *at);
            if next.min(self.next_tick) > end {
                break;
            }
            if next <= self.next_tick {
                self.deliver();
            } else {
                self.tick();
            }
        }
        self.now = end;
    }

    /// Starts a request at an entry; it ends after `hold` if it is admitted.
    pub(crate) fn admit(&mut self, entry: usize, hold: Duration) -> Result<(), LimitExceeded> {
        let leases = &mut self.entries[entry];
        if leases.version(&CUSTOMER) != Some(self.version) {
            leases.set_plan(self.now, &CUSTOMER, self.plan, self.version)?;
        }
        let mut requests = Vec::new();
        let result = leases.admit(self.now, &CUSTOMER, &mut requests);
        self.send(entry, requests);
        if result.is_ok() {
            let running = self.in_flight.0 + 1;
            self.in_flight = (running, self.in_flight.1.max(running));
            self.push(self.now + hold, Message::Finish(entry));
        }
        result
    }

    fn tick(&mut self) {
        self.now = self.next_tick;
        self.next_tick += TICK;
        self.home.tick(self.now);
        for entry in 0..self.entries.len() {
            let mut requests = Vec::new();
            self.entries[entry].tick(self.now, &mut requests);
            self.send(entry, requests);
        }
    }

    fn send(&mut self, entry: usize, requests: Vec<AllowanceRequest>) {
        for request in requests {
            self.messages += 1;
            if self.duplicate_requests {
                let at = self.now + DELAY * 2;
                self.push(at, Message::Request(entry, request.clone()));
            }
            self.push(self.now + DELAY, Message::Request(entry, request));
        }
    }

    fn deliver(&mut self) {
        let Some(((at, _), message)) = self.queue.pop_first() else {
            return;
        };
        self.now = at;
        match message {
            Message::Finish(entry) => {
                self.in_flight.0 -= 1;
                self.entries[entry].finished(&CUSTOMER);
            }
            _ if !self.reachable => {}
            Message::Reply(entry, reply) => self.entries[entry].handle_allowance(at, &reply),
            Message::Request(entry, request) => {
                self.messages += 1;
                let reply = self.home.handle_request(at, &request, &self.plan);
                self.push(at + DELAY, Message::Reply(entry, reply));
            }
        }
    }

    fn push(&mut self, at: Duration, message: Message) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), message);
    }
}
