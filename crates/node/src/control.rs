//! The control role: the replicated state machine and the leader's registry.
//!
//! Feeds inputs into the consensus replica, turns its outputs into effects, and
//! applies committed commands to the state machine. All other state is kept in
//! memory only and belongs to the term in which this replica leads.

mod apply;
mod batch;
mod command;
mod drive;
mod held_heartbeats;
mod leadership;
mod log_lines;
mod orders;
mod reads;
mod replies;
mod retrials;
mod rollouts;
mod state_machine;
mod suspects;
mod transit;
mod unconfirmed_crashes;

use crate::effect::Effect;
use crate::event::LinkId;
use crate::millis::millis;
use batch::{Batch, Waiter};
use claims::Limits;
use command::Item;
use conf::{Settings, Transfers};
use fleet::{HomeOptions, Registry};
use held_heartbeats::{HeldHeartbeat, HeldHeartbeats};
use leadership::Leadership;
use reads::{PendingRead, Reads};
use replica::{DiskDone, Input, Replica, Role};
use rollouts::Rollouts;
use state_machine::StateMachine;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use suspects::Suspects;
use transit::PagesInTransit;
use unconfirmed_crashes::UnconfirmedCrashes;
use wire::{Body, Departure, Heartbeat, control_request};

/// The state of the control role.
#[derive(Debug)]
pub struct Control {
    replica: Replica,
    state_machine: StateMachine,
    halted: bool,
    lease: Duration,
    home_options: HomeOptions,
    limits: Limits,
    /// Number of voters below which the leader handles no requests, so that a
    /// copy of every acknowledged write survives the tolerated losses.
    target_voters: usize,
    unix_ms: u64,
    /// Present while this replica leads.
    leadership: Option<Leadership>,
    registry: Registry,
    transfers: Transfers,
    pages_in_transit: PagesInTransit,
    suspects: Suspects,
    unconfirmed_crashes: UnconfirmedCrashes,
    rollouts: Rollouts,
    bounds: rollout::Bounds,
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
        let quota = &settings.quota;
        let home_options = HomeOptions {
            lease: settings.home_lease(),
            on_replicas: quota.homes_on_replicas,
        };
        let registry = Registry::new(replica.term(), control.lease, Duration::ZERO);
        Self {
            replica,
            state_machine: StateMachine::default(),
            halted: false,
            lease: control.lease,
            home_options,
            limits: Limits {
                retention_ms: millis(control.claim_retention),
                max_claims: control.max_claims,
            },
            target_voters: control.target_voters.unwrap_or_default(),
            unix_ms: 0,
            leadership: None,
            registry,
            transfers: Transfers::default(),
            pages_in_transit: PagesInTransit::default(),
            suspects: Suspects::default(),
            unconfirmed_crashes: UnconfirmedCrashes::default(),
            rollouts: Rollouts::default(),
            bounds: rollouts::bounds(&settings.rollout),
            reads: Reads::default(),
            held: HeldHeartbeats::default(),
            batch: Batch::default(),
            last_token: 0,
        }
    }

    /// Replaces the control replica addresses from the settings.
    pub fn set_configured_replicas(&mut self, replicas: &[SocketAddr]) {
        let addresses = replicas.iter().map(ToString::to_string).collect();
        self.replica.set_configured_replicas(addresses);
    }

    /// Returns the consensus replica.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the committed configuration that this replica has applied.
    #[must_use]
    pub fn config(&self) -> &conf::Configuration {
        self.state_machine.config.current()
    }

    /// Returns the number of claims kept.
    #[must_use]
    pub fn claims(&self) -> usize {
        self.state_machine.claims.len()
    }

    /// Initialises a new cluster with this empty replica as its first member.
    pub fn initialise(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        self.drive(now, Input::Initialise, tx);
    }

    /// Passes leadership and vote on, because the process is about to stop.
    pub fn leave(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        self.drive(now, Input::Leave, tx);
    }

    /// Drops the reads and heartbeats that came over a closed connection.
    pub fn link_closed(&mut self, link: LinkId) {
        self.reads.link_closed(link);
        self.held.link_closed(link);
        self.pages_in_transit.link_closed(link);
    }

    /// Replaces a replica whose data folder could not be opened, or whose disk has failed.
    /// The new one restores or applies everything again.
    pub fn replace_replica(&mut self, now: Duration, mut replica: Replica, tx: &mut Vec<Effect>) {
        if self.replica.role() == Role::Faulty {
            // The settings may have been reloaded since the start.
            let configured = self.replica.configured_replicas().to_vec();
            replica.set_configured_replicas(configured);
            self.replica = replica;
            self.state_machine = StateMachine::default();
            self.drive(now, Input::Tick, tx);
        }
    }

    /// Handles a completed disk operation.
    pub fn disk_done(&mut self, now: Duration, done: DiskDone, tx: &mut Vec<Effect>) {
        self.drive(now, Input::DiskDone(done), tx);
    }

    /// Expires outdated state and advances the replica's timers.
    pub fn tick(&mut self, now: Duration, unix_ms: u64, tx: &mut Vec<Effect>) {
        self.unix_ms = unix_ms;
        self.registry.expire(now);
        self.suspects.expire(now);
        self.unconfirmed_crashes.expire(now);
        self.review_retrials(now);
        let expired = self.reads.drop_expired(now, self.lease);
        expired
            .iter()
            .for_each(|read| self.reply_not_leader(read, tx));
        self.step_rollouts(now, tx);
        self.drive(now, Input::Tick, tx);
    }

    /// Offers requests that were convicted together to daemons that may run them once.
    fn review_retrials(&mut self, now: Duration) {
        let registry = &self.registry;
        let daemons_of = |service: &str| {
            let upstreams = registry.upstreams(service);
            let names: BTreeSet<&str> = upstreams.map(|u| u.info.upstream.as_str()).collect();
            names.into_iter().map(str::to_owned).collect()
        };
        self.suspects.review_retrials(now, daemons_of);
    }

    /// Handles a message of another daemon.
    pub fn handle_message(
        &mut self,
        now: Duration,
        link: Option<LinkId>,
        _daemon: &str,
        body: Body,
        tx: &mut Vec<Effect>,
    ) {
        match (link, body) {
            (_, Body::Replica(message)) => self.drive(now, Input::Message(message), tx),
            (Some(link), Body::Heartbeat(heartbeat)) => {
                self.handle_heartbeat(now, link, heartbeat, tx)
            }
            (Some(link), Body::ControlRequest(request)) => {
                let waiter = Waiter {
                    link,
                    id: request.id,
                };
                if let Some(kind) = request.kind {
                    self.handle_request(now, waiter, kind, tx);
                }
            }
            _ => {}
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Duration,
        link: LinkId,
        heartbeat: Heartbeat,
        tx: &mut Vec<Effect>,
    ) {
        if self.is_ready() {
            if self.registry.handle_heartbeat(now, &heartbeat) {
                let config = self.state_machine.config.current();
                self.rollouts.record(now, &heartbeat, config);
                self.record_unconfirmed_crashes(now, &heartbeat, tx);
                self.record_leave(&heartbeat);
            }
            self.enqueue_read(now, PendingRead::Heartbeat(link, heartbeat), tx);
            return;
        }
        let held = HeldHeartbeat {
            link,
            heartbeat,
            at: now,
        };
        let refused = match self.awaits_leader() {
            true => self.held.push(held),
            false => Some(held),
        };
        self.reject_heartbeats(refused, tx);
    }

    /// Records in the replicated log that an upstream leaves, which this leader alone knows.
    fn record_leave(&mut self, heartbeat: &Heartbeat) {
        let departure = self.departure(heartbeat);
        let unrecorded = departure.filter(|d| !self.state_machine.departures.covers(d));
        if let Some(departure) = unrecorded {
            self.batch.push_departure(departure);
        }
    }

    /// Returns whether a heartbeat reports an upstream that leaves, and this is not recorded
    /// in the replicated log.
    fn is_leave_pending(&self, heartbeat: &Heartbeat) -> bool {
        let leaves = heartbeat.upstream.as_ref().is_some_and(|u| u.leaving);
        let recorded = &self.state_machine.departures;
        let departure = self.departure(heartbeat);
        leaves && !departure.is_some_and(|d| recorded.covers(&d))
    }

    /// Returns the departure of the upstream that a heartbeat reports, if it is known to
    /// leave.
    fn departure(&self, heartbeat: &Heartbeat) -> Option<Departure> {
        let upstream = heartbeat.upstream.as_ref()?;
        self.registry.departure(&heartbeat.daemon, upstream)
    }

    /// Counts a crash that an earlier start of a daemon reported as possible, and that a
    /// heartbeat of the present one makes certain.
    fn record_unconfirmed_crashes(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        tx: &mut Vec<Effect>,
    ) {
        let Some(crash) = self.unconfirmed_crashes.record(now, heartbeat) else {
            return;
        };
        tx.push(log_lines::crash_inferred(&crash));
        let changes = self.suspects.update(now, &crash);
        tx.extend(changes.iter().map(log_lines::verdict_changed));
    }

    /// Replies to heartbeats that this replica is not the leader.
    fn reject_heartbeats(
        &self,
        refused: impl IntoIterator<Item = HeldHeartbeat>,
        tx: &mut Vec<Effect>,
    ) {
        for HeldHeartbeat {
            link, heartbeat, ..
        } in refused
        {
            self.reply_not_leader(&PendingRead::Heartbeat(link, heartbeat), tx);
        }
    }

    /// Handles or rejects the held heartbeats that need not wait any longer.
    fn release_held(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        if self.held.is_empty() {
            return;
        }
        if self.is_ready() {
            for held in self.held.take_all() {
                self.handle_heartbeat(now, held.link, held.heartbeat, tx);
            }
            return;
        }
        let released = match self.awaits_leader() {
            true => self.held.take_expired(now),
            false => self.held.take_all(),
        };
        self.reject_heartbeats(released, tx);
    }

    /// Returns whether no leader is known, or this replica leads but is
    /// not ready yet.
    fn awaits_leader(&self) -> bool {
        !self.halted && !self.is_ready() && self.leader_hint().is_empty()
    }

    fn handle_request(
        &mut self,
        now: Duration,
        waiter: Waiter,
        kind: control_request::Kind,
        tx: &mut Vec<Effect>,
    ) {
        if !self.is_ready() {
            self.reply_not_leader(&PendingRead::Request(waiter, kind), tx);
            return;
        }
        match kind {
            control_request::Kind::Claim(claim) => self.queue(waiter, Item::claim(claim), tx),
            control_request::Kind::Settle(settle) => self.queue(waiter, Item::settle(settle), tx),
            control_request::Kind::Routing(change) => {
                self.queue(waiter, Item::routing(change), tx);
            }
            control_request::Kind::DataCentre(mut order) => {
                if !self.take_order(waiter, order.base.take(), tx) {
                    return;
                }
                self.queue(waiter, Item::data_centre(order), tx);
            }
            control_request::Kind::StartRollout(mut order) => {
                if !self.take_order(waiter, order.base.take(), tx) {
                    return;
                }
                let share_ppm = rollout::canary_share(self.bounds);
                self.queue(waiter, Item::rollout_order(order, share_ppm), tx);
            }
            control_request::Kind::Suspect(suspect) => {
                let changes = self.suspects.update(now, &suspect);
                tx.extend(changes.iter().map(log_lines::verdict_changed));
                replies::reply(waiter, true, String::new(), None, tx);
                return;
            }
            kind => {
                self.enqueue_read(now, PendingRead::Request(waiter, kind), tx);
                return;
            }
        }
        self.start_due_input(now, tx);
    }

    /// Queues a read until a majority confirms that this replica leads.
    fn enqueue_read(&mut self, now: Duration, read: PendingRead, tx: &mut Vec<Effect>) {
        if let Some(refused) = self.reads.push(now, read) {
            self.reply_not_leader(&refused, tx);
        }
        self.start_due_input(now, tx);
    }

    /// Returns whether this replica can handle requests as the leader: it leads,
    /// has a configuration, and the cluster has the target number of voters.
    fn is_ready(&self) -> bool {
        let voters = self.replica.membership().voters.len();
        self.leadership.is_some()
            && self.state_machine.config.current().version > 0
            && voters >= self.target_voters
    }

    fn leader_hint(&self) -> String {
        if self.leadership.is_some() || self.halted {
            return String::new();
        }
        self.replica.leader().unwrap_or_default().to_owned()
    }

    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }
}
