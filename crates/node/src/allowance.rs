//! Enforcement of the customers' rate and concurrency limits.
//!
//! Each customer has a home daemon that keeps the ledger of its limit. Every
//! daemon leases blocks of the limit from the home, so that requests are
//! admitted without a round trip. This role holds the leased blocks and, for
//! the customers whose home is this daemon, the ledger.

use crate::agent::Agent;
use crate::effect::Effect;
use crate::event::LinkId;
use compact_str::CompactString;
use conf::{Plan, Settings};
use quota::{Leases, Ledger, LimitExceeded, home_of};
use std::collections::VecDeque;
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, Body, CustomerId, LinkKind, QuotaHome};

/// Time after which a request to a home is forgotten.
const SENT_RETENTION: Duration = Duration::from_secs(1);
/// Retry delay sent to an entry for a customer that is not in the configuration.
const UNKNOWN_CUSTOMER_RETRY_MS: u32 = 1_000;

/// The reason for which a customer may not start a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The customer is not in the configuration.
    UnknownCustomer,
    /// The rate limit is exhausted; retry after this time.
    Rate(Duration),
    /// Too many requests are in flight; retry after this time.
    InFlight(Duration),
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
}

/// The leased blocks of this daemon, and the ledger of customers that it is
/// home to.
#[derive(Debug)]
pub struct Allowances {
    leases: Leases,
    ledger: Ledger,
    homes: Vec<QuotaHome>,
    sent: VecDeque<SentRequest>,
}

impl Allowances {
    /// Creates the role without any blocks.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let block = settings.quota.block_lifetime;
        Self {
            leases: Leases::new(settings.daemon.name.clone(), block),
            ledger: Ledger::new(Duration::ZERO, block),
            homes: Vec::new(),
            sent: VecDeque::new(),
        }
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
        let leases = &mut self.leases;
        self.sent.retain(|request| {
            let failed = request.address == address;
            if failed {
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
        }
        while self
            .sent
            .front()
            .is_some_and(|a| a.at + SENT_RETENTION <= now)
        {
            self.sent.pop_front();
        }
        self.ledger.tick(now);
        let mut requests = Vec::new();
        self.leases.tick(now, &mut requests);
        self.send_requests(now, requests, agent, tx);
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
        for req in requests {
            let Some(home) = home_of(&req.customer, agent.homes()) else {
                self.leases.request_failed(now, &req.customer);
                continue;
            };
            if home.daemon == agent.name {
                if let Some(allowance) = self.reply_as_home(now, &req, agent) {
                    self.leases.handle_allowance(now, &allowance);
                }
                continue;
            }
            let address = CompactString::new(&home.address);
            self.sent.push_back(SentRequest {
                at: now,
                address: address.clone(),
                customer: CustomerId::new(&req.customer),
            });
            tx.push(Effect::Send {
                address,
                kind: LinkKind::Data,
                body: Body::AllowanceRequest(req),
            });
        }
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
