//! The daemon's client of the control plane.
//!
//! Sends heartbeats to the control leader, keeps the configuration and the view
//! of the fleet that the replies bring, and forwards requests to the leader. A
//! daemon takes new work only while a recent reply confirms its state.

mod confirmation;
mod credential_lease;
mod heartbeats;
mod replicas;
mod requests;
mod updates;

use crate::effect::Effect;
use crate::millis::millis;
use compact_str::{CompactString, ToCompactString};
use conf::{Settings, TransferReceiver};
use confirmation::Confirmation;
use credential_lease::CredentialLease;
use fleet::{DeregisteredStart, FleetView, ServiceView, homes_hash};
use heartbeats::{Heartbeats, SentHeartbeat};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use replicas::Replicas;
use requests::{ReplyOutcome, Requests};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wire::{
    Announcement, Body, ConfigVersion, ControlReply, DataCentreId, Fingerprint, Heartbeat,
    HeartbeatReply, LinkKind, QuotaHome, Rollout, SuspectState, Term, UpstreamId, VersionEvidence,
    control_reply, control_request,
};

pub use conf::Configuration;

/// Timeout of a request to the control leader.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a daemon asks again whether control has recorded that its upstream
/// leaves: longer than most writes to the replicated log take.
const LEAVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The sender of a request to the control leader, which gets the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    /// An operator, over HTTP.
    Operator(u64),
    /// The entry role, to claim the request with this id.
    Claim(u64),
    /// No one waits for the reply.
    Detached,
}

/// The result of a request to the control leader.
#[derive(Debug)]
pub struct RequestResult {
    /// Sender of the request.
    pub requester: Requester,
    /// The reply, or `None` if the outcome is unknown.
    pub reply: Option<control_reply::Kind>,
}

/// The configuration that a request is decided by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigBasis {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Version that operators gave its routing, or 0 without routing.
    pub routing_version: u64,
    /// Age of the control leader's newest confirmation, or `None` before the first.
    pub confirmed: Option<Duration>,
}

/// A daemon's client of the control plane.
#[derive(Debug)]
pub struct Agent {
    /// Name of this daemon, and of the upstream on the same VM.
    pub name: UpstreamId,
    /// Data centre of this daemon.
    pub data_centre: DataCentreId,
    /// Configuration in force at this daemon.
    pub config: Configuration,
    address: CompactString,
    incarnation: u64,
    runs_replica: bool,
    started: Option<Duration>,
    last_tick: Duration,
    term: Term,
    confirmation: Confirmation,
    credential_lease: CredentialLease,
    serve_stale: bool,
    view: FleetView,
    receiver: TransferReceiver,
    homes: Vec<QuotaHome>,
    /// Whether no daemon was a home under a limit before this list.
    initial_homes: bool,
    convicted: BTreeMap<Fingerprint, Conviction>,
    /// Requests whose crashes the leader counts, by its last reply.
    counted: Vec<CountedSuspect>,
    /// Requests that the leader acquitted, by its last reply.
    acquitted: Vec<Fingerprint>,
    replicas: Replicas,
    leader: Option<CompactString>,
    heartbeats: Heartbeats,
    /// Number of the newest heartbeat whose confirmed reply has arrived.
    received: u64,
    upstream: Option<Announcement>,
    /// Boot of the upstream that control has last confirmed to have recorded as leaving.
    reported_leaving: Option<String>,
    /// Start of the upstream that has deregistered, as far as control knows.
    deregistered: DeregisteredStart,
    in_progress: u32,
    unconfirmed_crashes: Vec<SuspectState>,
    evidence: Option<VersionEvidence>,
    requests: Requests,
    rng: SmallRng,
}

/// A request that is refused because it crashes upstreams.
#[derive(Clone, Debug)]
struct Conviction {
    expires_at: Duration,
    /// When the first crash happened, if the conviction follows from a count.
    first_crash_at: Option<Duration>,
    /// Where it may run once all the same.
    retrial: Option<Retrial>,
}

/// A daemon that may run a convicted request once, to show whether it crashes upstreams.
#[derive(Clone, Debug)]
struct Retrial {
    daemon: UpstreamId,
    until: Duration,
}

/// A request whose crashes the leader counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CountedSuspect {
    pub(crate) fingerprint: Fingerprint,
    /// When the first crash happened, by this daemon's clock.
    pub(crate) first_crash_at: Duration,
}

impl Agent {
    /// Creates an agent without configuration or confirmation.
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
            runs_replica: control.data_dir.is_some(),
            started: None,
            last_tick: Duration::ZERO,
            term: 0,
            confirmation: Confirmation::new(control.lease, control.heartbeat_interval),
            credential_lease: CredentialLease::new(control.credential_lease),
            serve_stale: control.serve_stale,
            view: FleetView::default(),
            receiver: TransferReceiver::default(),
            homes: Vec::new(),
            initial_homes: false,
            convicted: BTreeMap::new(),
            counted: Vec::new(),
            acquitted: Vec::new(),
            replicas: Replicas::new(&control.replicas),
            leader: None,
            heartbeats: Heartbeats::new(control.heartbeat_interval, control.lease),
            received: 0,
            upstream: None,
            reported_leaving: None,
            deregistered: DeregisteredStart::default(),
            in_progress: 0,
            unconfirmed_crashes: Vec::new(),
            evidence: None,
            requests: Requests::default(),
        }
    }

    /// Returns whether the daemon may take new work. It needs a configuration
    /// that the control leader confirmed within the lease. With `serve-stale`
    /// an older confirmation is sufficient.
    #[must_use]
    pub fn may_serve(&self, now: Duration) -> bool {
        let confirmed = self.confirmation.age(now).is_some();
        let fresh = self.confirmation.is_fresh(now);
        self.config.version > 0 && (fresh || self.serve_stale && confirmed)
    }

    /// Returns whether the control leader confirmed a heartbeat within a lease.
    #[must_use]
    pub fn is_confirmed(&self, now: Duration, lease: Duration) -> bool {
        let age = self.confirmation.age(now);
        age.is_some_and(|age| age < lease)
    }

    /// Returns the age of the last confirmation by the control leader, counted
    /// from when the confirmed heartbeat was sent.
    #[must_use]
    pub fn freshness_age(&self, now: Duration) -> Option<Duration> {
        self.confirmation.age(now)
    }

    /// Returns whether requests that need a credential may be sent: control confirmed the
    /// configuration within the credential lease, or there is no such lease.
    #[must_use]
    pub fn credentials_confirmed(&self, now: Duration) -> bool {
        self.credential_lease.holds(now)
    }

    /// Returns when the credential lease ends, in time since the VM booted, if there is a
    /// lease. Without a confirmation it has ended at zero.
    #[must_use]
    pub fn credential_lease_end(&self) -> Option<Duration> {
        self.credential_lease.end()
    }

    /// Returns the configuration version, and whether the configuration needs
    /// credentials.
    fn credential_basis(&self) -> (ConfigVersion, bool) {
        let needed = self.config.routing.content().needs_credentials;
        (self.config.version, needed)
    }

    /// Returns the configuration that decides requests now, for their log lines.
    #[must_use]
    pub fn config_basis(&self, now: Duration) -> ConfigBasis {
        ConfigBasis {
            version: self.config.version,
            routing_version: self.config.routing.content().version,
            confirmed: self.confirmation.age(now),
        }
    }

    /// Returns whether operators have taken an upstream or its data centre out
    /// of service.
    #[must_use]
    pub fn is_out(&self, upstream: &str, data_centre: &str) -> bool {
        self.config.is_out(upstream, data_centre)
    }

    /// Returns the upstreams of a service. The first call subscribes to the
    /// service; the result is `None` until the first update arrives.
    pub fn service(&mut self, service: &str) -> Option<&ServiceView> {
        if self.view.subscribe(self.last_tick, service) {
            self.heartbeats.schedule_now();
        }
        self.view.service(service)
    }

    /// Returns the upstreams of a service that the daemon subscribes to already.
    pub(crate) fn known_service(&self, service: &str) -> Option<&ServiceView> {
        self.view.service(service)
    }

    /// Returns the newest rollout of a service.
    pub(crate) fn rollout(&self, service: &str) -> Option<&Rollout> {
        self.config.rollouts.get(service)
    }

    /// Returns whether a rollout excludes the upstreams of a version.
    #[must_use]
    pub fn is_version_excluded(&self, service: &str, version: &str) -> bool {
        let view = self.view.service(service);
        let rollout = self.rollout(service);
        rollout.is_some_and(|rollout| fleet::is_excluded(rollout, version, view))
    }

    /// Returns the time since the start of the daemon.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started.unwrap_or(now))
    }

    /// Returns whether a tick at this time sends a heartbeat.
    pub(crate) fn is_heartbeat_due(&self, now: Duration) -> bool {
        self.heartbeats.is_due(now) || self.heartbeats.reply_overdue(now)
    }

    /// Sets what the next heartbeat reports about the upstream on this VM: the requests
    /// in progress there, those that it may have ended with, and its responses during a
    /// rollout.
    pub(crate) fn set_upstream_progress(
        &mut self,
        in_progress: u32,
        unconfirmed_crashes: Vec<SuspectState>,
        evidence: Option<VersionEvidence>,
    ) {
        self.in_progress = in_progress;
        self.unconfirmed_crashes = unconfirmed_crashes;
        self.evidence = evidence;
    }

    /// Has the next heartbeat sent as soon as the minimum interval allows.
    pub(crate) fn send_heartbeat_soon(&mut self) {
        self.heartbeats.schedule_now();
    }

    /// Returns the daemons that keep the ledgers of the customers' limits.
    #[must_use]
    pub fn homes(&self) -> &[QuotaHome] {
        &self.homes
    }

    /// Returns whether no daemon was a home under a limit before the present list.
    pub(crate) fn has_initial_homes(&self) -> bool {
        self.initial_homes
    }

    /// Returns whether a request is known to crash upstreams.
    #[must_use]
    pub fn convicted(&self, fingerprint: Fingerprint) -> bool {
        let conviction = self.convicted.get(&fingerprint);
        conviction.is_some_and(|conviction| conviction.expires_at > self.last_tick)
    }

    /// Returns the daemon that may run a convicted request once now.
    pub(crate) fn retrial_at(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
    ) -> Option<&UpstreamId> {
        let retrial = self.convicted.get(&fingerprint)?.retrial.as_ref()?;
        (now < retrial.until).then_some(&retrial.daemon)
    }

    /// Returns the requests that the leader suspects or has convicted because of a
    /// count of crashes.
    pub(crate) fn counted_suspects(&self) -> &[CountedSuspect] {
        &self.counted
    }

    /// Returns the requests that the leader has acquitted lately.
    pub(crate) fn acquitted(&self) -> &[Fingerprint] {
        &self.acquitted
    }

    /// Returns the highest term of a leader that has confirmed a heartbeat.
    pub(crate) fn term(&self) -> Term {
        self.term
    }

    /// Returns the random number of this start of the daemon.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Replaces the control replica addresses from the settings.
    pub fn set_configured_replicas(&mut self, replicas: &[SocketAddr]) {
        self.replicas.set_configured(replicas);
    }

    /// Returns the address of the leader, if one has confirmed a heartbeat since
    /// this daemon last switched to another replica.
    #[must_use]
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Announces the upstream on the same VM, with the next heartbeat.
    pub fn announce(&mut self, mut announcement: Announcement) {
        // Other daemons do not use these fields.
        announcement.cold_ms = 0;
        announcement.age_ms = None;
        // The number differs in every announcement and does not trigger a heartbeat.
        let unchanged = self.upstream.as_ref().is_some_and(|known| {
            let sequence = known.sequence;
            *known
                == Announcement {
                    sequence,
                    ..announcement.clone()
                }
        });
        self.upstream = Some(announcement);
        if !unchanged {
            self.heartbeats.schedule_now();
        }
    }

    /// Returns whether control has recorded that this start of the upstream leaves.
    #[must_use]
    pub fn is_leave_reported(&self, boot: &str) -> bool {
        self.reported_leaving.as_deref() == Some(boot)
    }

    /// Returns whether this start of the upstream has deregistered, as far as control
    /// knows. After a restart, this daemon has not heard of it.
    pub(crate) fn has_deregistered(&self, boot: &str) -> bool {
        !boot.is_empty() && self.deregistered.boot == boot
    }

    /// Returns the start of the upstream that has deregistered, as far as control knows.
    pub(crate) fn deregistered(&self) -> &DeregisteredStart {
        &self.deregistered
    }

    /// Sends a request to the control leader. [`Agent::control_reply`] or
    /// [`Agent::tick`] returns the result. The request is resent with the same
    /// id, also to a new leader, until [`CONTROL_TIMEOUT`].
    pub fn request(
        &mut self,
        now: Duration,
        requester: Requester,
        kind: control_request::Kind,
        tx: &mut Vec<Effect>,
    ) {
        if let control_request::Kind::Suspect(suspect) = &kind {
            self.convict(now, now, &suspect.states);
        }
        self.requests.push(now, requester, kind);
        self.send_requests(now, tx);
    }

    /// Sends due heartbeats and requests; returns the requests that timed out.
    pub fn tick(&mut self, now: Duration, tx: &mut Vec<Effect>) -> Vec<RequestResult> {
        self.last_tick = now;
        self.started.get_or_insert(now);
        self.view.prune(now);
        self.convicted.retain(|_, c| c.expires_at > now);
        if self.heartbeats.reply_overdue(now) {
            self.replicas.target_failed();
            self.try_next_replica(now);
        }
        if self.heartbeats.is_due(now) {
            self.send_heartbeat(now, tx);
        }
        let target = self.replicas.target().map_or("none", |t| t.as_str());
        self.confirmation.tick(now, target, self.config.version, tx);
        let basis = self.credential_basis();
        self.credential_lease.tick(now, basis, tx);
        let expired = self.requests.expire(now);
        self.send_requests(now, tx);
        expired
    }

    /// Handles the reply to a heartbeat.
    pub fn heartbeat_reply(&mut self, now: Duration, reply: HeartbeatReply, tx: &mut Vec<Effect>) {
        if reply.confirmed {
            self.received = self.received.max(reply.sequence);
        }
        let Some(sent) = self.heartbeats.take_sent(reply.sequence) else {
            return;
        };
        if self.heartbeats.is_outdated(now, &sent) {
            self.apply_outdated_reply(now, &sent, reply, tx);
            return;
        }
        self.replicas.set_learned(&reply.replicas);
        if !reply.confirmed {
            self.handle_unconfirmed(now, &sent, &reply.leader);
            return;
        }
        self.leader = Some(sent.target.clone());
        match reply.leave_pending {
            true => self.heartbeats.schedule_within(now, LEAVE_RETRY_DELAY),
            false => self.reported_leaving.clone_from(&sent.leaving_boot),
        }
        if self.replicas.leader_confirmed(&sent.target) {
            self.requests.resend_soon(now, &mut self.rng);
        }
        let new_leader = reply.term > self.term;
        let published: Vec<Fingerprint> = reply.convicted.iter().map(|s| s.fingerprint).collect();
        self.apply_reply(now, &sent, reply, tx);
        if new_leader {
            self.report_convictions(now, &published, tx);
        }
    }

    /// Handles the reply to a request; returns the result if it is final.
    pub fn control_reply(
        &mut self,
        now: Duration,
        reply: ControlReply,
        _tx: &mut Vec<Effect>,
    ) -> Vec<RequestResult> {
        match self.requests.handle_reply(now, reply, &mut self.rng) {
            ReplyOutcome::Completed(result) => vec![*result],
            ReplyOutcome::Retry(leader) => {
                if self.replicas.follow_hint(&leader) {
                    self.heartbeats.schedule_now();
                }
                Vec::new()
            }
            ReplyOutcome::Unknown => Vec::new(),
        }
    }

    /// Switches to another replica if the connection to the current one failed.
    pub fn link_failed(&mut self, now: Duration, address: &str, kind: LinkKind) {
        let target = self.replicas.target();
        if kind == LinkKind::Control && target.is_some_and(|a| a == address) {
            self.replicas.target_failed();
            self.try_next_replica(now);
        }
    }

    /// Handles a reply of a replica that is not the confirmed leader: follows
    /// its hint, retries the replica if it knows no leader, or switches to the
    /// next replica after a delay.
    fn handle_unconfirmed(&mut self, now: Duration, sent: &SentHeartbeat, leader: &str) {
        if Some(&sent.target) != self.replicas.target() {
            return;
        }
        if self.replicas.follow_hint(leader) {
            self.leader = None;
            self.heartbeats.schedule_now();
            self.requests.resend_soon(now, &mut self.rng);
        } else if leader.is_empty() && self.replicas.retry_leaderless() {
            self.leader = None;
            self.heartbeats.schedule_now();
        } else {
            self.try_next_replica(now);
        }
    }

    fn try_next_replica(&mut self, now: Duration) {
        self.leader = None;
        self.replicas.select_next();
        let interval = self.heartbeats.interval();
        let delay = self.replicas.next_retry_delay(interval, &mut self.rng);
        self.heartbeats.postpone(now, delay);
        self.requests.resend_soon(now, &mut self.rng);
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

    fn leaving_boot(&self) -> Option<String> {
        let leaving = self.upstream.as_ref().filter(|u| u.leaving);
        leaving.map(|u| u.boot.clone())
    }

    fn send_heartbeat(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        let Some(target) = self.replicas.target().cloned() else {
            return;
        };
        let sequence = self.heartbeats.record(SentHeartbeat {
            at: now,
            target,
            config_version: self.config.version,
            leaving_boot: self.leaving_boot(),
        });
        let age = self.age(now);
        let heartbeat = Heartbeat {
            daemon: self.name.to_string(),
            incarnation: self.incarnation,
            sequence,
            runs_replica: self.runs_replica,
            address: self.address.to_string(),
            data_centre: self.data_centre.to_string(),
            config_version: self.config.version,
            upstream: self.upstream.clone(),
            subscriptions: self.view.subscriptions(self.term),
            config_page: self.receiver.next_page(),
            homes_hash: homes_hash(&self.homes),
            supports_routing_changes: true,
            supports_compressed_config: true,
            received: Some(self.received),
            age_ms: millis(age),
            evidence: self.evidence.clone(),
            in_progress: self.in_progress,
            unconfirmed_crashes: self.unconfirmed_crashes.clone(),
        };
        self.send(Body::Heartbeat(heartbeat), tx);
    }
}

/// Returns the seed for a daemon's random delays. It differs between daemons,
/// so that their retries do not coincide.
fn seed(name: &str, incarnation: u64) -> u64 {
    wire::fingerprint(name, "", "", "", &incarnation.to_le_bytes(), None)
}
