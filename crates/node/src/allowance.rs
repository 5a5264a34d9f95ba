//! Customers' allowances: this daemon's blocks of them, and those it is home to.

use crate::agent::Agent;
use crate::effect::Effect;
use crate::event::LinkId;
use compact_str::CompactString;
use conf::{Plan, Settings};
use quota::{Leases, Ledger, LimitExceeded, home_of};
use std::collections::VecDeque;
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, Body, CustomerId, LinkKind, QuotaHome};

/// Time after which a question that was sent is no longer of interest.
const ASKED_MEMORY: Duration = Duration::from_secs(1);
/// Wait that an entry is told for a customer that is on no list.
const UNKNOWN_RETRY_MS: u32 = 1_000;

/// Why a customer may not start a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The customer is on no list.
    UnknownCustomer,
    /// The rate is used up; come back after this time.
    Rate(Duration),
    /// Too many requests in flight; come back after this time.
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

/// A question that was sent to a home.
#[derive(Debug)]
struct Asked {
    at: Duration,
    address: CompactString,
    customer: CustomerId,
}

/// The allowance role.
#[derive(Debug)]
pub struct Allowances {
    leases: Leases,
    ledger: Ledger,
    homes: Vec<QuotaHome>,
    asked: VecDeque<Asked>,
}

impl Allowances {
    /// Creates the role without blocks.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let block = settings.quota.block_lifetime;
        Self {
            leases: Leases::new(settings.daemon.name.clone(), block),
            ledger: Ledger::new(Duration::ZERO, block),
            homes: Vec::new(),
            asked: VecDeque::new(),
        }
    }

    /// Takes one request out of a customer's allowance.
    ///
    /// # Errors
    ///
    /// Returns why the customer may not start a request now.
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
        let mut asks = Vec::new();
        let result = self.leases.admit(now, customer, &mut asks);
        self.send(now, asks, agent, tx);
        Ok(result?)
    }

    /// Records that an admitted request of the customer is over.
    pub fn finished(&mut self, _now: Duration, customer: &CustomerId) {
        self.leases.finished(customer);
    }

    /// Takes a message about an allowance in.
    pub fn received(
        &mut self,
        now: Duration,
        link: Option<LinkId>,
        body: Body,
        agent: &Agent,
        tx: &mut Vec<Effect>,
    ) {
        match (body, link) {
            (Body::Allowance(answer), _) => self.leases.handle_allowance(now, &answer),
            (Body::AllowanceRequest(req), Some(link)) => {
                if let Some(answer) = self.answer(now, &req, agent) {
                    let body = Body::Allowance(answer);
                    tx.push(Effect::Reply { link, body });
                }
            }
            _ => {}
        }
    }

    /// Gives up the questions that went to an address that can't be reached.
    pub fn link_failed(&mut self, now: Duration, address: &str, kind: LinkKind) {
        if kind != LinkKind::Data {
            return;
        }
        let leases = &mut self.leases;
        self.asked.retain(|asked| {
            let failed = asked.address == address;
            if failed {
                leases.request_failed(now, &asked.customer);
            }
            !failed
        });
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration, agent: &Agent, tx: &mut Vec<Effect>) {
        if self.homes != agent.homes() {
            self.homes = agent.homes().to_vec();
            self.ledger.homes_changed(now);
            let entries = u32::try_from(self.homes.len()).unwrap_or(u32::MAX);
            self.leases.set_entries(entries);
        }
        while self
            .asked
            .front()
            .is_some_and(|a| a.at + ASKED_MEMORY <= now)
        {
            self.asked.pop_front();
        }
        self.ledger.tick(now);
        let mut asks = Vec::new();
        self.leases.tick(now, &mut asks);
        self.send(now, asks, agent, tx);
    }

    /// Sends questions to the homes of their customers; those that are at home
    /// here are answered at once.
    fn send(
        &mut self,
        now: Duration,
        asks: Vec<AllowanceRequest>,
        agent: &Agent,
        tx: &mut Vec<Effect>,
    ) {
        for req in asks {
            let Some(home) = home_of(&req.customer, agent.homes()) else {
                self.leases.request_failed(now, &req.customer);
                continue;
            };
            if home.daemon == agent.name {
                if let Some(answer) = self.answer(now, &req, agent) {
                    self.leases.handle_allowance(now, &answer);
                }
                continue;
            }
            let address = CompactString::new(&home.address);
            self.asked.push_back(Asked {
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

    /// Answers an entry as the customer's home. A customer that this daemon
    /// has not heard of yet gets no answer, so that the entry falls back to
    /// its share until it has.
    fn answer(
        &mut self,
        now: Duration,
        req: &AllowanceRequest,
        agent: &Agent,
    ) -> Option<Allowance> {
        if let Some(plan) = plan_of(&req.customer, agent) {
            return Some(self.ledger.handle_request(now, req, plan));
        }
        let removed = req.config_version <= agent.config.version;
        removed.then(|| quota::refusal(req, UNKNOWN_RETRY_MS))
    }
}

fn plan_of<'a>(customer: &str, agent: &'a Agent) -> Option<&'a Plan> {
    let plan = agent.config.customers.get(customer)?;
    agent.config.plans.plans.get(plan)
}
