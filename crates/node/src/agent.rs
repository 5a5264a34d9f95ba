//! The agent: heartbeats, the view of the fleet, and requests to control.

mod heartbeats;
mod news;
mod replicas;
mod requests;

use crate::effect::Effect;
use compact_str::{CompactString, ToCompactString};
use conf::{Settings, TransferReceiver};
use fleet::{FleetView, Freshness, ServiceView, homes_hash};
use heartbeats::{Heartbeats, Sent};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use replicas::Replicas;
use requests::{Outcome, Requests};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wire::{
    Announcement, Body, ControlReply, DataCentreId, Fingerprint, Heartbeat, HeartbeatReply,
    LinkKind, QuotaHome, Term, UpstreamId, control_reply, control_request,
};

pub use conf::Configuration;

/// Time that a request to control may take before it is given up.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

/// Who asked control something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    /// An operator, over HTTP.
    Operator(u64),
    /// The entry, to claim a request.
    Claim(u64),
    /// Nobody waits for the answer.
    Detached,
}

/// An answer of control; `kind` is `None` when the outcome is unknown.
#[derive(Debug)]
pub struct Answer {
    /// Who asked.
    pub requester: Requester,
    /// The answer.
    pub kind: Option<control_reply::Kind>,
}

/// A daemon's link to control.
#[derive(Debug)]
pub struct Agent {
    /// Name of this daemon, and of the upstream beside it.
    pub name: UpstreamId,
    /// Data centre of this daemon.
    pub data_centre: DataCentreId,
    /// Configuration in force here.
    pub config: Configuration,
    address: CompactString,
    incarnation: u64,
    started: Option<Duration>,
    clock: Duration,
    term: Term,
    freshness: Freshness,
    serve_stale: bool,
    view: FleetView,
    receiver: TransferReceiver,
    homes: Vec<QuotaHome>,
    convicted: BTreeMap<Fingerprint, Duration>,
    replicas: Replicas,
    leader: Option<CompactString>,
    heartbeats: Heartbeats,
    upstream: Option<Announcement>,
    requests: Requests,
    rng: SmallRng,
}

impl Agent {
    /// Creates an agent that has had no word yet.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let control = &settings.control;
        let address = settings.listen.peers.to_compact_string();
        Self {
            name: settings.daemon.name.clone(),
            data_centre: settings.daemon.data_centre.clone(),
            config: Configuration::default(),
            rng: SmallRng::seed_from_u64(seed(&settings.daemon.name, incarnation)),
            address,
            incarnation,
            started: None,
            clock: Duration::ZERO,
            term: 0,
            freshness: Freshness::new(control.lease),
            serve_stale: control.serve_stale,
            view: FleetView::default(),
            receiver: TransferReceiver::default(),
            homes: Vec::new(),
            convicted: BTreeMap::new(),
            replicas: Replicas::new(&control.replicas),
            leader: None,
            heartbeats: Heartbeats::new(control.heartbeat_interval, control.lease),
            upstream: None,
            requests: Requests::default(),
        }
    }

    /// Returns whether new work may be taken: word from control is fresh, or
    /// there was word once and the settings let a daemon go on with it.
    #[must_use]
    pub fn may_serve(&self, now: Duration) -> bool {
        let word = self.freshness.age(now).is_some();
        self.config.version > 0 && (self.freshness.is_fresh(now) || self.serve_stale && word)
    }

    /// Returns the age of the newest confirmed word, counted from when it was
    /// asked for.
    #[must_use]
    pub fn freshness_age(&self, now: Duration) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Returns whether operators have taken an upstream, or its data centre,
    /// out.
    #[must_use]
    pub fn is_out(&self, upstream: &str, data_centre: &str) -> bool {
        self.config.is_out(upstream, data_centre)
    }

    /// Returns the upstreams of a service; subscribes to it when it is new,
    /// and then returns `None` until word of it has come.
    pub fn service(&mut self, service: &str) -> Option<&ServiceView> {
        if self.view.subscribe(self.clock, service) {
            self.heartbeats.hurry();
        }
        self.view.service(service)
    }

    /// Returns the daemons that keep customers' allowances.
    #[must_use]
    pub fn homes(&self) -> &[QuotaHome] {
        &self.homes
    }

    /// Returns whether a request is known to crash upstreams.
    #[must_use]
    pub fn convicted(&self, fingerprint: Fingerprint) -> bool {
        let expires = self.convicted.get(&fingerprint);
        expires.is_some_and(|expires| *expires > self.clock)
    }

    /// Takes in where the settings say that control replicas are.
    pub fn configure_replicas(&mut self, replicas: &[SocketAddr]) {
        self.replicas.configure(replicas);
    }

    /// Returns the address of the leader that last answered, if one did since
    /// this daemon turned to another replica.
    #[must_use]
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Tells control about the upstream beside this daemon, at once.
    pub fn announce(&mut self, mut announcement: Announcement) {
        // What changes with every announcement is of no interest to others.
        announcement.sequence = 0;
        announcement.cold_ms = 0;
        announcement.age_ms = None;
        if self.upstream.as_ref() != Some(&announcement) {
            self.upstream = Some(announcement);
            self.heartbeats.hurry();
        }
    }

    /// Asks the control leader something; the answer comes out of
    /// [`Agent::control_reply`] or [`Agent::tick`]. The request is sent again
    /// with the same id, to another leader too, until [`CONTROL_TIMEOUT`].
    pub fn request(
        &mut self,
        now: Duration,
        requester: Requester,
        kind: control_request::Kind,
        tx: &mut Vec<Effect>,
    ) {
        if let control_request::Kind::Suspect(suspect) = &kind {
            self.convict(now, &suspect.states);
        }
        self.requests.push(now, requester, kind);
        self.send_requests(now, tx);
    }

    /// Sends what is due; returns the requests that were given up.
    pub fn tick(&mut self, now: Duration, tx: &mut Vec<Effect>) -> Vec<Answer> {
        self.clock = now;
        self.started.get_or_insert(now);
        self.view.prune(now);
        self.convicted.retain(|_, expires| *expires > now);
        if self.heartbeats.is_silent(now) {
            self.replicas.broke();
            self.turn_away(now);
        }
        if self.heartbeats.is_due(now) {
            self.heartbeat(now, tx);
        }
        let given_up = self.requests.give_up(now);
        self.send_requests(now, tx);
        given_up
    }

    /// Takes the leader's news in.
    pub fn heartbeat_reply(&mut self, now: Duration, reply: HeartbeatReply, tx: &mut Vec<Effect>) {
        let Some(sent) = self.heartbeats.answered(reply.sequence) else {
            return;
        };
        self.replicas.learn(&reply.replicas);
        if !reply.confirmed {
            self.unconfirmed(now, &sent, &reply.leader);
            return;
        }
        self.leader = Some(sent.target.clone());
        if self.replicas.succeeded(&sent.target) {
            self.requests.turned(now, &mut self.rng);
        }
        self.news(now, &sent, reply, tx);
    }

    /// Takes the leader's answer to a request in.
    pub fn control_reply(
        &mut self,
        now: Duration,
        reply: ControlReply,
        _tx: &mut Vec<Effect>,
    ) -> Vec<Answer> {
        match self.requests.answered(now, reply, &mut self.rng) {
            Outcome::Answered(answer) => vec![answer],
            Outcome::Again(leader) => {
                if self.replicas.follow(&leader) {
                    self.heartbeats.hurry();
                }
                Vec::new()
            }
            Outcome::Unknown => Vec::new(),
        }
    }

    /// Turns to another replica when the connection to control fails.
    pub fn link_failed(
        &mut self,
        now: Duration,
        address: &str,
        kind: LinkKind,
        _tx: &mut Vec<Effect>,
    ) {
        let target = self.replicas.target();
        if kind == LinkKind::Control && target.is_some_and(|a| a == address) {
            self.replicas.broke();
            self.turn_away(now);
        }
    }

    /// Follows a hint, asks again a replica that knows no leader, or turns to
    /// the next replica after a delay.
    fn unconfirmed(&mut self, now: Duration, sent: &Sent, leader: &str) {
        if Some(&sent.target) != self.replicas.target() {
            return;
        }
        if self.replicas.follow(leader) {
            self.leader = None;
            self.heartbeats.hurry();
            self.requests.turned(now, &mut self.rng);
        } else if leader.is_empty() && self.replicas.knows_no_leader() {
            self.leader = None;
            self.heartbeats.hurry();
        } else {
            self.turn_away(now);
        }
    }

    fn turn_away(&mut self, now: Duration) {
        self.leader = None;
        self.replicas.rotate();
        let interval = self.heartbeats.interval();
        let delay = self.replicas.failed(interval, &mut self.rng);
        self.heartbeats.delay(now, delay);
        self.requests.turned(now, &mut self.rng);
    }

    fn send_requests(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        for request in self.requests.due(now) {
            self.send(Body::ControlRequest(request), tx);
        }
    }

    fn send(&self, body: Body, tx: &mut Vec<Effect>) {
        if let Some(address) = self.replicas.target() {
            tx.push(Effect::Send {
                address: address.clone(),
                kind: LinkKind::Control,
                body,
            });
        }
    }

    fn heartbeat(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        let Some(target) = self.replicas.target().cloned() else {
            return;
        };
        let sequence = self.heartbeats.record(Sent {
            at: now,
            target,
            config_version: self.config.version,
        });
        let age = now.saturating_sub(self.started.unwrap_or(now));
        let heartbeat = Heartbeat {
            daemon: self.name.to_string(),
            incarnation: self.incarnation,
            sequence,
            address: self.address.to_string(),
            data_centre: self.data_centre.to_string(),
            config_version: self.config.version,
            upstream: self.upstream.clone(),
            subscriptions: self.view.subscriptions(),
            config_page: self.receiver.next_page(),
            homes_hash: homes_hash(&self.homes),
            supports_routing_changes: true,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        };
        self.send(Body::Heartbeat(heartbeat), tx);
    }
}

/// Returns the seed of a daemon's delays, different for each daemon.
fn seed(name: &str, incarnation: u64) -> u64 {
    wire::fingerprint(name, "", "", "", &incarnation.to_le_bytes(), None)
}
