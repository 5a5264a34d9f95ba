//! A simulated fleet whose entries share the limit of one customer: daemons that are
//! entries and homes, links that can be cut, and a control that lists the homes.

use quota::{Bucket, HomeTimes, RateAdmission, RateLeases, RateLedger, RateLimit, home_of};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, CustomerId, QuotaHome, RequestId};

pub(crate) const CUSTOMER: CustomerId = CustomerId::const_new("tc-utrecht");
/// Window of the bound.
pub(crate) const WINDOW: Duration = Duration::from_secs(5);
/// Time for which control's confirmation of a daemon, and its registration, last.
pub(crate) const LEASE: Duration = Duration::from_secs(3);
const HEARTBEAT: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(5);
/// Delay of a link in one direction.
const DELAY: Duration = Duration::from_micros(1_500);
/// Longest time for which a request is held.
const HOLD: Duration = Duration::from_millis(40);
/// Time within which a changed limit reaches every entry that control reaches, and
/// after which it binds for one window.
const CHANGE_TIME: Duration = Duration::from_secs(2);
/// Time after the start before which control lists no homes.
const FIRST_HOMES_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of homes.
const HOMES: usize = 3;

#[derive(Clone, Debug)]
enum Message {
    Ask(usize, AllowanceRequest),
    Reply(Allowance),
}

#[derive(Debug)]
pub(crate) struct Daemon {
    leases: RateLeases,
    ledger: RateLedger,
    times: HomeTimes,
    homes: Vec<QuotaHome>,
    /// Whether control stated that no daemon was a home before this list.
    initial_homes: bool,
    limit: RateLimit,
    version: u64,
    confirmed: Option<Duration>,
    incarnation: u64,
    /// Messages that arrived while it was frozen.
    inbox: Vec<Message>,
    pub(crate) running: bool,
    pub(crate) frozen: bool,
    /// Whether control can't be reached.
    pub(crate) cut_off: bool,
    /// Only daemons of the same part reach each other.
    pub(crate) part: u32,
}

impl Daemon {
    fn new(index: usize, incarnation: u64) -> Self {
        Self {
            leases: RateLeases::new(format!("entry-{index}").into()),
            ledger: RateLedger::new(),
            times: HomeTimes::new(LEASE),
            homes: Vec::new(),
            initial_homes: false,
            limit: RateLimit::default(),
            version: 0,
            confirmed: None,
            incarnation,
            inbox: Vec::new(),
            running: true,
            frozen: false,
            cut_off: false,
            part: 0,
        }
    }

    fn works(&self) -> bool {
        self.running && !self.frozen
    }
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) messages: u64,
    pub(crate) offered: u64,
    pub(crate) refused: u64,
    /// Requests that a single bucket for the whole fleet would have refused.
    pub(crate) beyond: u64,
    bucket: Bucket,
    /// When requests were sent to upstreams that ran them.
    pub(crate) runs: VecDeque<Duration>,
    pub(crate) admitted: u64,
    /// One in this many admitted requests is run by no upstream; 0 for none.
    pub(crate) not_run_every: u64,
    /// Limits, and when control set them.
    limits: Vec<(Duration, RateLimit)>,
    heartbeats: Vec<Option<Duration>>,
    homes: Vec<QuotaHome>,
    started: Duration,
    /// Whether the list of homes has changed since the first one.
    homes_changed: bool,
    /// Incarnation of each daemon in its first heartbeat.
    first_incarnations: Vec<Option<u64>>,
    queue: BTreeMap<(Duration, u64), (usize, Message)>,
    not_run: VecDeque<(Duration, usize, Duration)>,
    sequence: u64,
    request: RequestId,
    ticks: u64,
}

impl Fleet {
    pub(crate) fn new(entries: usize, limit: RateLimit) -> Self {
        let now = Duration::from_secs(3_600);
        Self {
            now,
            daemons: (0..entries).map(|i| Daemon::new(i, 1)).collect(),
            messages: 0,
            offered: 0,
            refused: 0,
            beyond: 0,
            bucket: Bucket::new(now, limit.rate_milli, limit.burst, Duration::ZERO),
            runs: VecDeque::new(),
            admitted: 0,
            not_run_every: 0,
            limits: vec![(now, limit)],
            heartbeats: vec![None; entries],
            homes: Vec::new(),
            started: now,
            homes_changed: false,
            first_incarnations: vec![None; entries],
            queue: BTreeMap::new(),
            not_run: VecDeque::new(),
            sequence: 0,
            request: 0,
            ticks: 0,
        }
    }

    /// Changes the limit at control.
    pub(crate) fn set_limit(&mut self, limit: RateLimit) {
        self.limits.push((self.now, limit));
    }

    /// Returns the daemon that control lists as the customer's home.
    pub(crate) fn home(&self) -> usize {
        let home = home_of(&CUSTOMER, &self.homes);
        index_of(&home.expect("there is a home").daemon)
    }

    /// Returns the customer's home, or `otherwise` if control lists none.
    pub(crate) fn home_or(&self, otherwise: usize) -> usize {
        home_of(&CUSTOMER, &self.homes).map_or(otherwise, |home| index_of(&home.daemon))
    }

    /// Starts a daemon anew, without any memory.
    pub(crate) fn restart(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation + 1;
        let (cut_off, part) = (self.daemons[daemon].cut_off, self.daemons[daemon].part);
        self.daemons[daemon] = Daemon::new(daemon, incarnation);
        self.daemons[daemon].cut_off = cut_off;
        self.daemons[daemon].part = part;
    }

    /// Runs for a time with this demand, in requests per second by entry.
    pub(crate) fn run(&mut self, time: Duration, demand: &[f64]) {
        let end = self.now + time;
        let total: f64 = demand.iter().sum();
        // Starts at random fractions, so that entries do not act at once.
        let mut due: Vec<f64> = (0..demand.len())
            .map(|i| (i as f64 * 0.618_033_988).fract())
            .collect();
        while self.now < end {
            let next = self.now + STEP;
            self.deliver_until(next);
            self.now = next;
            self.step();
            if total > 0.0 {
                for (entry, rate) in demand.iter().enumerate() {
                    due[entry] += rate * STEP.as_secs_f64();
                    while due[entry] >= 1.0 {
                        due[entry] -= 1.0;
                        self.offer(entry);
                    }
                }
            }
        }
    }

    /// Sends one request to an entry.
    pub(crate) fn offer(&mut self, entry: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[entry];
        if !daemon.works() || daemon.version == 0 {
            return;
        }
        self.offered += 1;
        self.beyond += u64::from(!self.bucket.take(now, 1));
        self.request += 1;
        if daemon.leases.version(&CUSTOMER) != Some(daemon.version) {
            let (limit, version) = (daemon.limit, daemon.version);
            daemon.leases.set_limit(now, &CUSTOMER, limit, version);
        }
        let mut tx = Vec::new();
        let held = (self.request, now + HOLD);
        let admission = daemon.leases.admit(now, &CUSTOMER, held, &mut tx);
        match admission {
            RateAdmission::Admitted => self.record_admitted(entry),
            RateAdmission::Refused(_) => self.refused += 1,
            RateAdmission::Held => {}
        }
        self.send_asks(entry, tx);
    }

    /// Fails if more requests ran in a window than the limits of that time allow.
    pub(crate) fn assert_bound(&self, context: &str) {
        let mut start = 0;
        for (i, at) in self.runs.iter().enumerate() {
            while self.runs[start] + WINDOW <= *at {
                start += 1;
            }
            let bound = self.bound(self.runs[start], *at);
            let count = (i + 1 - start) as f64;
            assert!(
                count <= bound,
                "{context}: {count} of {bound} in the window that ends at {at:?}, {:?}",
                self.limits
            );
        }
    }

    fn bound(&self, from: Duration, until: Duration) -> f64 {
        let mut bound: f64 = 0.0;
        for (i, (at, limit)) in self.limits.iter().enumerate() {
            let replaced = self.limits.get(i + 1).map(|next| next.0 + CHANGE_TIME);
            if *at <= until && replaced.is_none_or(|replaced| replaced >= from) {
                let window = WINDOW.as_secs_f64();
                let rate = limit.rate_milli as f64 / 1_000.0;
                bound = bound.max((rate * window + f64::from(limit.burst)) * 1.1 + 20.0);
            }
        }
        bound
    }

    fn record_admitted(&mut self, entry: usize) {
        self.admitted += 1;
        if self.not_run_every > 0 && self.admitted.is_multiple_of(self.not_run_every) {
            let at = self.now + Duration::from_millis(60);
            self.not_run.push_back((at, entry, self.now));
        } else {
            self.runs.push_back(self.now);
        }
    }

    fn step(&mut self) {
        let now = self.now;
        while self.not_run.front().is_some_and(|n| n.0 <= now) {
            let Some((_, entry, admitted_at)) = self.not_run.pop_front() else {
                break;
            };
            self.daemons[entry]
                .leases
                .give_back(now, &CUSTOMER, admitted_at);
        }
        self.ticks += 1;
        let ticks_per = TICK.as_millis() / STEP.as_millis();
        let beats_per = HEARTBEAT.as_millis() / STEP.as_millis();
        self.list_homes();
        for i in 0..self.daemons.len() {
            let phase = u128::from(self.ticks) + i as u128 * 7;
            if phase.is_multiple_of(beats_per) {
                self.heartbeat(i);
            }
            if phase.is_multiple_of(ticks_per) && self.daemons[i].works() {
                self.tick(i);
            }
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        self.thaw(i);
        let daemon = &mut self.daemons[i];
        let confirmed = daemon.confirmed.is_some_and(|at| now < at + LEASE);
        daemon.times.update(now, &daemon.homes, confirmed);
        if daemon.initial_homes {
            daemon.times.mark_initial();
        }
        let homes = &daemon.homes;
        daemon
            .ledger
            .retain(|c| home_of(c, homes).is_some_and(|home| index_of(&home.daemon) == i));
        daemon.ledger.tick(now);
        let mut tx = Vec::new();
        daemon.leases.tick(now, &mut tx);
        self.send_asks(i, tx);
    }

    /// Handles the messages that arrived while the daemon was frozen.
    fn thaw(&mut self, i: usize) {
        for message in std::mem::take(&mut self.daemons[i].inbox) {
            self.receive(i, message);
        }
    }

    fn heartbeat(&mut self, i: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[i];
        if !daemon.works() || daemon.cut_off {
            return;
        }
        self.heartbeats[i] = Some(now);
        daemon.confirmed = Some(now);
        let first = *self.first_incarnations[i].get_or_insert(daemon.incarnation);
        if daemon.homes != self.homes {
            daemon.homes.clone_from(&self.homes);
            daemon.initial_homes = !self.homes_changed && daemon.incarnation == first;
        }
        daemon.version = self.limits.len() as u64;
        daemon.limit = self.limits[self.limits.len() - 1].1;
    }

    /// Removes homes whose registration expired, and adds others.
    fn list_homes(&mut self) {
        let now = self.now;
        if now < self.started + FIRST_HOMES_DELAY {
            return;
        }
        let registered = |i: usize| self.heartbeats[i].is_some_and(|at| now < at + LEASE);
        let mut homes = self.homes.clone();
        homes.retain(|home| registered(index_of(&home.daemon)));
        for i in 0..self.daemons.len() {
            let listed = homes.iter().any(|home| index_of(&home.daemon) == i);
            if homes.len() < HOMES && registered(i) && !listed {
                homes.push(QuotaHome {
                    daemon: format!("entry-{i}"),
                    address: format!("10.1.0.{i}:7300"),
                });
            }
        }
        self.homes_changed |= !self.homes.is_empty() && homes != self.homes;
        self.homes = homes;
    }

    fn deliver_until(&mut self, end: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                return;
            }
            let (to, message) = entry.remove();
            self.now = at;
            if self.daemons[to].frozen {
                self.daemons[to].inbox.push(message);
            } else if self.daemons[to].running {
                self.receive(to, message);
            }
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        match message {
            Message::Ask(from, req) => {
                if let Some(allowance) = self.reply(to, &req) {
                    self.send(to, from, Message::Reply(allowance));
                }
            }
            Message::Reply(allowance) => self.handle_reply(to, &allowance),
        }
    }

    fn handle_reply(&mut self, entry: usize, allowance: &Allowance) {
        let mut tx = Vec::new();
        let leases = &mut self.daemons[entry].leases;
        leases.handle_allowance(self.now, allowance, &mut tx);
        self.send_asks(entry, tx);
    }

    fn reply(&mut self, home: usize, req: &AllowanceRequest) -> Option<Allowance> {
        let now = self.now;
        let daemon = &mut self.daemons[home];
        daemon.confirmed.filter(|at| now < *at + LEASE)?;
        let name = format!("entry-{home}");
        let since = daemon.times.home_since(&req.customer, &name)?;
        let limit = match req.config_version > daemon.version {
            true => RateLimit {
                rate_milli: req.rate_milli,
                burst: req.burst,
            },
            false => daemon.limit,
        };
        Some(daemon.ledger.handle_request(now, req, limit, since))
    }

    fn send_asks(&mut self, entry: usize, asks: Vec<AllowanceRequest>) {
        for mut req in asks {
            req.incarnation = self.daemons[entry].incarnation;
            let homes = &self.daemons[entry].homes;
            let Some(home) = home_of(&CUSTOMER, homes).map(|h| index_of(&h.daemon)) else {
                continue;
            };
            if home == entry {
                if let Some(allowance) = self.reply(home, &req) {
                    self.handle_reply(entry, &allowance);
                }
            } else {
                self.send(entry, home, Message::Ask(entry, req));
            }
        }
        for decision in self.daemons[entry].leases.take_decisions() {
            match decision.refused {
                None => self.record_admitted(entry),
                Some(_) => self.refused += 1,
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.daemons[from].part != self.daemons[to].part {
            return;
        }
        self.messages += 1;
        self.sequence += 1;
        self.queue
            .insert((self.now + DELAY, self.sequence), (to, message));
    }
}

fn index_of(name: &str) -> usize {
    let number = name.strip_prefix("entry-").expect("a daemon's name");
    number.parse().expect("a daemon's number")
}
