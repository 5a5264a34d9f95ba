//! Enforcement of the customers' rate and concurrency limits.
//!
//! Each customer has a home daemon that keeps the ledger of its limit. Every
//! daemon leases blocks of the limit from the home, so that requests are
//! admitted without a round trip. This role holds the leased blocks and, for
//! the customers whose home is this daemon, the ledger.

use crate::agent::Agent;
use crate::effect::{Effect, LogLine};
use crate::event::LinkId;
use compact_str::CompactString;
use conf::{Plan, Settings};
use quota::{
    Decision, HomeTimes, Leases, Ledger, LimitExceeded, RateAdmission, RateCounts, RateLeases,
    RateLedger, RateLimit, home_of,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, Body, CustomerId, LinkKind, QuotaHome, RequestId};

/// Time after which a request to a home is forgotten.
const SENT_RETENTION: Duration = Duration::from_secs(1);
/// Retry delay sent to an entry for a customer that is not in the configuration.
const UNKNOWN_CUSTOMER_RETRY_MS: u32 = 1_000;

/// Maximum number of requests of this daemon's entry to its own ledger in one event.
const MAX_LOCAL_ROUNDS: usize = 4;
/// Maximum number of log lines per second on homes that stop or begin to reply.
const MAX_HOME_LINES_PER_S: u32 = 10;

/// The reason for which a customer may not start a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The customer is not in the configuration.
    UnknownCustomer,
    /// The rate limit is exhausted; retry after this time.
    Rate(Duration),
    /// The limit that the routing states is used up; the next request is admitted after
    /// this time.
    Limit(Duration),
    /// Too many requests are in flight; retry after this time.
    InFlight(Duration),
}

/// How a request stands under the limit of the routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutedAdmission {
    /// No limit applies.
    Unlimited,
    /// It took a token.
    Admitted,
    /// It waits for the home's decision.
    Held,
}

impl From<LimitExceeded> for Denial {
    fn from(exceeded: LimitExceeded) -> Self {
        match exceeded {
            LimitExceeded::Rate(after) => Self::Rate(after),
            LimitExceeded::InFlight(after) => Self::InFlight(after),
        }
    }
}

/// A request for a block that was sent to a home.
#[derive(Debug)]
struct SentRequest {
    at: Duration,
    address: CompactString,
    customer: CustomerId,
    /// Whether the routing states the limit.
    routed: bool,
}

/// The leased blocks of this daemon, and the ledger of customers that it is
/// home to.
#[derive(Debug)]
pub struct Allowances {
    leases: Leases,
    ledger: Ledger,
    homes: Vec<QuotaHome>,
    sent: VecDeque<SentRequest>,
    rate_leases: RateLeases,
    rate_ledger: RateLedger,
    home_times: HomeTimes,
    home_lease: Duration,
    /// Second of the last log lines, and their number.
    log_second: u64,
    log_lines: u32,
}

impl Allowances {
    /// Creates the role without any blocks.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let block = settings.quota.block_lifetime;
        let home_lease = settings.home_lease();
        Self {
            leases: Leases::new(settings.daemon.name.clone(), block),
            ledger: Ledger::new(Duration::ZERO, block),
            homes: Vec::new(),
            sent: VecDeque::new(),
            rate_leases: RateLeases::new(settings.daemon.name.clone()),
            rate_ledger: RateLedger::new(),
            home_times: HomeTimes::new(home_lease),
            home_lease,
            log_second: 0,
            log_lines: 0,
        }
    }

    /// Counts a request against the limit that the routing states for its customer, if
    /// there is one. [`Self::take_decisions`] returns the decision on a request that is
    /// held, by `hold_until` at the latest.
    ///
    /// # Errors
    ///
    /// Returns the reason if the customer may not start a request now.
    pub fn admit_routed(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        (request, hold_until): (RequestId, Duration),
        agent: &Agent,
        tx: &mut Vec<Effect>,
    ) -> Result<RoutedAdmission, Denial> {
        let Some(limit) = limit_of(customer, agent) else {
            return Ok(RoutedAdmission::Unlimited);
        };
        let version = agent.config.version;
        if self.rate_leases.version(customer) != Some(version) {
            self.rate_leases.set_limit(now, customer, limit, version);
        }
        let mut requests = Vec::new();
        let held = (request, hold_until);
        let admission = self.rate_leases.admit(now, customer, held, &mut requests);
        self.send_requests(now, requests, agent, tx);
        match admission {
            RateAdmission::Admitted => Ok(RoutedAdmission::Admitted),
            RateAdmission::Refused(after) => Err(Denial::Limit(after)),
            RateAdmission::Held => Ok(RoutedAdmission::Held),
        }
    }

    /// Returns the token of a request that was admitted at `admitted_at` and run by no
    /// upstream.
    pub fn give_back(&mut self, now: Duration, customer: &str, admitted_at: Duration) {
        self.rate_leases.give_back(now, customer, admitted_at);
    }

    /// Returns the decisions on held requests since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.rate_leases.take_decisions()
    }

    /// Returns the requests under limits of the routing, by customer.
    #[must_use]
    pub fn rate_counts(&self) -> &BTreeMap<CustomerId, RateCounts> {
        self.rate_leases.counts()
    }

    /// Counts one request against a customer's limits.
    ///
    /// # Errors
    ///
    /// Returns the reason if the customer may not start a request now.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        agent: &Agent,
        tx: &mut Vec<Effect>,
    ) -> Result<(), Denial> {
        let version = agent.config.version;
        if self.leases.version(customer) != Some(version) {
            let plan = plan_of(customer, agent).ok_or(Denial::UnknownCustomer)?;
            self.leases.set_plan(now, customer, *plan, version)?;
        }
        let mut requests = Vec::new();
        let result = self.leases.admit(now, customer, &mut requests);
        self.send_requests(now, requests, agent, tx);
        Ok(result?)
    }

    /// Records that an admitted request of the customer ended.
    pub fn finished(&mut self, _now: Duration, customer: &CustomerId) {
        self.leases.finished(customer);
    }

    /// Handles a request for a block, or the reply to one.
    pub fn handle_message(
        &mut self,
        now: Duration,
        link: Option<LinkId>,
        body: Body,
        agent: &Agent,
        tx: &mut Vec<Effect>,
    ) {
        match (body, link) {
            (Body::Allowance(allowance), _) if allowance.from_routing => {
                let mut requests = Vec::new();
                let leases = &mut self.rate_leases;
                leases.handle_allowance(now, &allowance, &mut requests);
                self.send_requests(now, requests, agent, tx);
            }
            (Body::Allowance(allowance), _) => self.leases.handle_allowance(now, &allowance),
            (Body::AllowanceRequest(req), Some(link)) => {
                if let Some(allowance) = self.reply_as_home(now, &req, agent) {
                    let body = Body::Allowance(allowance);
                    tx.push(Effect::Reply { link, body });
                }
            }
            _ => {}
        }
    }

    /// Marks the requests to an unreachable address as failed.
    pub fn link_failed(&mut self, now: Duration, address: &str, kind: LinkKind) {
        if kind != LinkKind::Data {
            return;
        }
        let (leases, rate_leases) = (&mut self.leases, &mut self.rate_leases);
        self.sent.retain(|request| {
            let failed = request.address == address;
            if failed && request.routed {
                rate_leases.request_failed(now, &request.customer);
            } else if failed {
                leases.request_failed(now, &request.customer);
            }
            !failed
        });
    }

    /// Applies changes of the homes and expiries, and requests due blocks.
    pub fn tick(&mut self, now: Duration, agent: &Agent, tx: &mut Vec<Effect>) {
        if self.homes != agent.homes() {
            self.homes = agent.homes().to_vec();
            self.ledger.homes_changed(now);
            let entries = u32::try_from(self.homes.len()).unwrap_or(u32::MAX);
            self.leases.set_entries(entries);
            let homes = &self.homes;
            self.rate_ledger.retain(|customer| {
                home_of(customer, homes).is_some_and(|home| home.daemon == agent.name)
            });
        }
        self.home_times
            .update(now, agent.homes(), agent.is_confirmed(now, self.home_lease));
        if agent.has_initial_homes() {
            self.home_times.mark_initial();
        }
        while self
            .sent
            .front()
            .is_some_and(|a| a.at + SENT_RETENTION <= now)
        {
            self.sent.pop_front();
        }
        self.ledger.tick(now);
        self.rate_ledger.tick(now);
        let mut requests = Vec::new();
        self.leases.tick(now, &mut requests);
        self.rate_leases.tick(now, &mut requests);
        self.send_requests(now, requests, agent, tx);
        self.log_home_changes(now, tx);
    }

    /// Reports the customers whose home stopped or began to reply, up to a number of
    /// lines per second.
    fn log_home_changes(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        if self.log_second != now.as_secs() {
            self.log_second = now.as_secs();
            self.log_lines = 0;
        }
        for (customer, replies) in self.rate_leases.take_home_changes() {
            if self.log_lines >= MAX_HOME_LINES_PER_S {
                continue;
            }
            self.log_lines += 1;
            let home = home_of(&customer, &self.homes);
            let home = home.map_or("none", |home| home.daemon.as_str());
            tx.push(home_changed(&customer, home, replies));
        }
    }

    /// Sends requests to the homes of their customers. Requests whose home is
    /// this daemon are handled directly.
    fn send_requests(
        &mut self,
        now: Duration,
        requests: Vec<AllowanceRequest>,
        agent: &Agent,
        tx: &mut Vec<Effect>,
    ) {
        for mut req in requests {
            req.incarnation = agent.incarnation();
            let routed = req.rate_milli > 0;
            let Some(home) = home_of(&req.customer, agent.homes()) else {
                if !routed {
                    self.leases.request_failed(now, &req.customer);
                }
                continue;
            };
            if home.daemon == agent.name {
                self.handle_local_request(now, &req, agent);
                continue;
            }
            let address = CompactString::new(&home.address);
            self.sent.push_back(SentRequest {
                at: now,
                address: address.clone(),
                customer: CustomerId::new(&req.customer),
                routed,
            });
            tx.push(Effect::Send {
                address,
                kind: LinkKind::Data,
                body: Body::AllowanceRequest(req),
            });
        }
    }

    /// Handles a request of this daemon's entry as the home, and the reply.
    fn handle_local_request(&mut self, now: Duration, req: &AllowanceRequest, agent: &Agent) {
        let mut due = vec![req.clone()];
        for _ in 0..MAX_LOCAL_ROUNDS {
            let Some(mut req) = due.pop() else {
                return;
            };
            req.incarnation = agent.incarnation();
            let Some(allowance) = self.reply_as_home(now, &req, agent) else {
                return;
            };
            match allowance.from_routing {
                true => self.rate_leases.handle_allowance(now, &allowance, &mut due),
                false => self.leases.handle_allowance(now, &allowance),
            }
        }
    }

    /// Returns the reply to a request under a limit of the routing, if this daemon may
    /// decide as the customer's home: control confirmed within the lease that it is.
    /// The limit is that of the newer of the two configurations.
    fn reply_to_routed(
        &mut self,
        now: Duration,
        req: &AllowanceRequest,
        agent: &Agent,
    ) -> Option<Allowance> {
        if !agent.is_confirmed(now, self.home_lease) {
            return None;
        }
        let since = self.home_times.home_since(&req.customer, &agent.name)?;
        let stated = RateLimit {
            rate_milli: req.rate_milli,
            burst: req.burst,
        };
        let limit = match req.config_version > agent.config.version {
            true => stated,
            false => limit_of(&req.customer, agent).unwrap_or(stated),
        };
        Some(self.rate_ledger.handle_request(now, req, limit, since))
    }

    /// Returns the reply to an entry, as the customer's home. If the entry has a
    /// newer configuration than this daemon and the customer is unknown here,
    /// returns `None`; the entry uses its fallback share until this daemon has
    /// caught up.
    fn reply_as_home(
        &mut self,
        now: Duration,
        req: &AllowanceRequest,
        agent: &Agent,
    ) -> Option<Allowance> {
        if req.rate_milli > 0 {
            return self.reply_to_routed(now, req, agent);
        }
        if let Some(plan) = plan_of(&req.customer, agent) {
            return Some(self.ledger.handle_request(now, req, plan));
        }
        let removed = req.config_version <= agent.config.version;
        removed.then(|| quota::refusal(req, UNKNOWN_CUSTOMER_RETRY_MS))
    }
}

fn plan_of<'a>(customer: &str, agent: &'a Agent) -> Option<&'a Plan> {
    let plan = agent.config.customers.get(customer)?;
    agent.config.plans.plans.get(plan)
}

/// Returns the limit that the routing states for a customer, if it states one.
fn limit_of(customer: &str, agent: &Agent) -> Option<RateLimit> {
    let rules = agent.config.routing.customer(customer)?;
    let limit = RateLimit {
        rate_milli: rules.rate_milli,
        burst: rules.burst,
    };
    Some(limit).filter(|limit| limit.rate_milli > 0)
}

fn home_changed(customer: &str, home: &str, replies: bool) -> Effect {
    Effect::Log(LogLine {
        level: if replies {
            log::Level::Info
        } else {
            log::Level::Warn
        },
        event: if replies {
            "quota_home_regained"
        } else {
            "quota_home_lost"
        },
        pairs: vec![("customer", customer.to_owned()), ("home", home.to_owned())],
    })
}
