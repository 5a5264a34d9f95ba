//! The control role: the replicated state machine and the leader's registry.
//!
//! The replica's outputs become effects; its committed commands go into the
//! state machine. Everything here but the state machine is soft state of one
//! term of this replica's lead.

mod apply;
mod batch;
mod command;
mod drive;
mod held;
mod lead;
mod lines;
mod machine;
mod reads;
mod replies;
mod suspects;

use crate::effect::Effect;
use crate::event::LinkId;
use batch::{Batch, Waiter};
use claims::Limits;
use command::Item;
use conf::{Settings, Transfers};
use fleet::Registry;
use held::{Held, HeldHeartbeats};
use lead::Lead;
use machine::Machine;
use reads::{Asked, Reads};
use replica::{DiskDone, Input, Replica};
use std::net::SocketAddr;
use std::time::Duration;
use suspects::Suspects;
use wire::{Body, Heartbeat, control_request};

/// A control replica's state.
#[derive(Debug)]
pub struct Control {
    replica: Replica,
    machine: Machine,
    halted: bool,
    lease: Duration,
    limits: Limits,
    /// Voters without which nothing is acknowledged, so that losses that are
    /// to be borne leave a copy.
    voters: usize,
    unix_ms: u64,
    /// Term in which this replica leads, if it does.
    leads: Option<Lead>,
    registry: Registry,
    transfers: Transfers,
    suspects: Suspects,
    reads: Reads,
    held: HeldHeartbeats,
    batch: Batch,
    last_token: u64,
}

impl Control {
    /// Creates the role around a recovered replica.
    #[must_use]
    pub fn new(settings: &Settings, replica: Replica) -> Self {
        let control = &settings.control;
        let registry = Registry::new(replica.term(), control.lease, Duration::ZERO);
        Self {
            replica,
            machine: Machine::default(),
            halted: false,
            lease: control.lease,
            limits: Limits {
                retention_ms: millis(control.claim_retention),
                max_claims: control.max_claims,
            },
            voters: control.target_voters.unwrap_or_default(),
            unix_ms: 0,
            leads: None,
            registry,
            transfers: Transfers::default(),
            suspects: Suspects::default(),
            reads: Reads::default(),
            held: HeldHeartbeats::default(),
            batch: Batch::default(),
            last_token: 0,
        }
    }

    /// Takes in where the settings say that control replicas are.
    pub fn configure_seeds(&mut self, replicas: &[SocketAddr]) {
        let seeds = replicas.iter().map(ToString::to_string).collect();
        self.replica.set_configured_replicas(seeds);
    }

    /// Returns the replica.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the committed configuration that was applied here.
    #[must_use]
    pub fn config(&self) -> &conf::Configuration {
        self.machine.config.current()
    }

    /// Returns how many claims are held.
    #[must_use]
    pub fn claims(&self) -> usize {
        self.machine.claims.len()
    }

    /// Makes this empty replica the first of a new cluster.
    pub fn initialise(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        self.drive(now, Input::Initialise, tx);
    }

    /// Drops what waits for a connection that closed.
    pub fn link_closed(&mut self, link: LinkId) {
        self.reads.link_closed(link);
        self.held.link_closed(link);
    }

    /// Takes a finished disk operation in.
    pub fn disk_done(&mut self, now: Duration, done: DiskDone, tx: &mut Vec<Effect>) {
        self.drive(now, Input::DiskDone(done), tx);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration, unix_ms: u64, tx: &mut Vec<Effect>) {
        self.unix_ms = unix_ms;
        self.registry.expire(now);
        self.suspects.expire(now);
        let late = self.reads.drop_late(now, self.lease);
        late.iter()
            .for_each(|asked| self.answer_not_leader(asked, tx));
        self.drive(now, Input::Tick, tx);
    }

    /// Takes a message in.
    pub fn received(
        &mut self,
        now: Duration,
        link: Option<LinkId>,
        _daemon: &str,
        body: Body,
        tx: &mut Vec<Effect>,
    ) {
        match (link, body) {
            (_, Body::Replica(message)) => self.drive(now, Input::Message(message), tx),
            (Some(link), Body::Heartbeat(heartbeat)) => self.heartbeat(now, link, heartbeat, tx),
            (Some(link), Body::ControlRequest(request)) => {
                let waiter = Waiter {
                    link,
                    id: request.id,
                };
                if let Some(kind) = request.kind {
                    self.request(now, waiter, kind, tx);
                }
            }
            _ => {}
        }
    }

    fn heartbeat(
        &mut self,
        now: Duration,
        link: LinkId,
        heartbeat: Heartbeat,
        tx: &mut Vec<Effect>,
    ) {
        if self.is_ready() {
            self.registry.handle_heartbeat(now, &heartbeat);
            self.ask(now, Asked::Heartbeat(link, heartbeat), tx);
            return;
        }
        let held = Held {
            link,
            heartbeat,
            at: now,
        };
        let refused = match self.expects_a_leader() {
            true => self.held.push(held),
            false => Some(held),
        };
        self.turn_away(refused, tx);
    }

    /// Answers heartbeats that this replica does not lead.
    fn turn_away(&self, refused: impl IntoIterator<Item = Held>, tx: &mut Vec<Effect>) {
        for Held {
            link, heartbeat, ..
        } in refused
        {
            self.answer_not_leader(&Asked::Heartbeat(link, heartbeat), tx);
        }
    }

    /// Answers the heartbeats that need wait no longer.
    fn release_held(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        if self.held.is_empty() {
            return;
        }
        if self.is_ready() {
            for held in self.held.take_all() {
                self.heartbeat(now, held.link, held.heartbeat, tx);
            }
            return;
        }
        let released = match self.expects_a_leader() {
            true => self.held.take_late(now),
            false => self.held.take_all(),
        };
        self.turn_away(released, tx);
    }

    /// Returns whether no replica is known to lead, or this one does and can't
    /// answer yet.
    fn expects_a_leader(&self) -> bool {
        !self.halted && !self.is_ready() && self.leader_hint().is_empty()
    }

    fn request(
        &mut self,
        now: Duration,
        waiter: Waiter,
        kind: control_request::Kind,
        tx: &mut Vec<Effect>,
    ) {
        if !self.is_ready() {
            self.answer_not_leader(&Asked::Request(waiter, kind), tx);
            return;
        }
        match kind {
            control_request::Kind::Claim(claim) => self.queue(waiter, Item::claim(claim), tx),
            control_request::Kind::Settle(settle) => self.queue(waiter, Item::settle(settle), tx),
            control_request::Kind::Routing(change) => {
                self.queue(waiter, Item::routing(change), tx);
            }
            control_request::Kind::DataCentre(order) => {
                self.queue(waiter, Item::data_centre(order), tx);
            }
            control_request::Kind::Suspect(suspect) => {
                self.suspects.learn(now, &suspect);
                replies::reply(waiter, true, String::new(), None, tx);
                return;
            }
            kind => {
                self.ask(now, Asked::Request(waiter, kind), tx);
                return;
            }
        }
        self.pump(now, tx);
    }

    /// Holds a question until a majority confirms the lead.
    fn ask(&mut self, now: Duration, asked: Asked, tx: &mut Vec<Effect>) {
        if let Some(refused) = self.reads.push(now, asked) {
            self.answer_not_leader(&refused, tx);
        }
        self.pump(now, tx);
    }

    /// Returns whether this replica leads, has a configuration, and has enough
    /// voters for what is acknowledged to be kept.
    fn is_ready(&self) -> bool {
        let voters = self.replica.membership().voters.len();
        self.leads.is_some() && self.machine.config.current().version > 0 && voters >= self.voters
    }

    fn leader_hint(&self) -> String {
        if self.leads.is_some() || self.halted {
            return String::new();
        }
        self.replica.leader().unwrap_or_default().to_owned()
    }

    fn token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
