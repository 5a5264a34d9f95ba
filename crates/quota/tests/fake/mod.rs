//! Entries and one home, with links that delay and can be cut.

use conf::Plan;
use quota::{Leases, Ledger, LimitExceeded};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, CustomerId};

/// Time between ticks of an entry.
pub(crate) const TICK: Duration = Duration::from_millis(10);
/// One way over a link.
pub(crate) const DELAY: Duration = Duration::from_micros(1_500);
/// The customer of all requests.
pub(crate) const CUSTOMER: CustomerId = CustomerId::const_new("tc-utrecht");

#[derive(Debug)]
enum Message {
    Ask(usize, AllowanceRequest),
    Answer(usize, Allowance),
    Finish(usize),
}

/// A few daemons' allowances of one customer.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Time that has passed.
    pub(crate) now: Duration,
    /// Messages sent between daemons.
    pub(crate) messages: u64,
    /// Requests in flight now, and the most there were.
    pub(crate) in_flight: (u32, u32),
    /// Whether the home can be reached.
    pub(crate) reachable: bool,
    /// Whether each question arrives twice.
    pub(crate) doubled: bool,
    /// Plan in force.
    pub(crate) plan: Plan,
    /// Version in force.
    pub(crate) version: u64,
    entries: Vec<Leases>,
    /// The customer's home.
    pub(crate) home: Ledger,
    queue: BTreeMap<(Duration, u64), Message>,
    sequence: u64,
    next_tick: Duration,
}

impl Fleet {
    /// Creates daemons that have been up for long.
    pub(crate) fn new(entries: usize, plan: Plan, block: Duration) -> Self {
        let leases = |i| {
            let mut leases = Leases::new(format!("entry-{i}").into(), block);
            leases.set_entries(u32::try_from(entries.min(32)).unwrap_or(1));
            leases
        };
        let now = Duration::from_secs(3_600);
        Self {
            now,
            messages: 0,
            in_flight: (0, 0),
            reachable: true,
            doubled: false,
            plan,
            version: 1,
            entries: (0..entries).map(leases).collect(),
            home: Ledger::new(Duration::ZERO, block),
            queue: BTreeMap::new(),
            sequence: 0,
            next_tick: now,
        }
    }

    /// Lets time pass, with ticks and messages on the way.
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

    /// Starts a request at an entry; it ends after a time.
    pub(crate) fn admit(&mut self, entry: usize, hold: Duration) -> Result<(), LimitExceeded> {
        let leases = &mut self.entries[entry];
        if leases.version(&CUSTOMER) != Some(self.version) {
            leases.set_plan(self.now, &CUSTOMER, self.plan, self.version)?;
        }
        let mut asks = Vec::new();
        let result = leases.admit(self.now, &CUSTOMER, &mut asks);
        self.ask(entry, asks);
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
            let mut asks = Vec::new();
            self.entries[entry].tick(self.now, &mut asks);
            self.ask(entry, asks);
        }
    }

    fn ask(&mut self, entry: usize, asks: Vec<AllowanceRequest>) {
        for ask in asks {
            self.messages += 1;
            if self.doubled {
                let at = self.now + DELAY * 2;
                self.push(at, Message::Ask(entry, ask.clone()));
            }
            self.push(self.now + DELAY, Message::Ask(entry, ask));
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
            Message::Answer(entry, answer) => self.entries[entry].handle_allowance(at, &answer),
            Message::Ask(entry, ask) => {
                self.messages += 1;
                let answer = self.home.handle_request(at, &ask, &self.plan);
                self.push(at + DELAY, Message::Answer(entry, answer));
            }
        }
    }

    fn push(&mut self, at: Duration, message: Message) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), message);
    }
}
