//! The control leader's registry of the daemons and upstreams in the fleet.

mod reported_starts;
mod service;

use crate::checksums::{bucket_of, checksums};
use crate::departures::{Departures, DeregisteredStart};
use crate::homes::{Candidate, Homes};
use reported_starts::ReportedStarts;
use service::{FIRST_VERSION, ServiceLog};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{
    Announcement, ConfigVersion, DaemonId, Departure, Heartbeat, QuotaHome, ServiceDelta,
    ServiceId, Subscription, UpstreamInfo, VIEW_BUCKETS,
};

/// Time between two checks of the leases from which this process must have been
/// paused. Missing heartbeats then do not mean that daemons have failed.
const MIN_PROCESS_PAUSE: Duration = Duration::from_secs(1);
/// Time after an election before which no homes are listed although no limit was in force:
/// the daemons register first, so that the list does not change at once.
const FIRST_HOMES_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of earlier incarnations remembered for a daemon.
const MAX_SUPERSEDED: usize = 4;

/// A registered daemon.
#[derive(Clone, Debug)]
struct Registration {
    last_heartbeat: Duration,
    started: Duration,
    incarnation: u64,
    superseded: Vec<u64>,
    sequence: u64,
    config_version: ConfigVersion,
    runs_replica: bool,
    service: Option<ServiceId>,
    info: UpstreamInfo,
    /// Announcements that were reported.
    reported: ReportedStarts,
    /// When the upstream started, as far as known: when the daemon did, or when another
    /// start of the upstream was first reported.
    upstream_started: Duration,
    in_progress: u32,
}

/// An upstream of a service, with what its daemon reports about it.
#[derive(Clone, Copy, Debug)]
pub struct RegisteredUpstream<'a> {
    /// The upstream.
    pub info: &'a UpstreamInfo,
    /// Configuration version of its daemon.
    pub config_version: ConfigVersion,
    /// Requests in progress at the upstream.
    pub in_progress: u32,
    /// When it started, as far as known: when the daemon did, or when another start of
    /// the upstream was first reported.
    pub started: Duration,
}

/// Daemons registered under leases, and the version of each service.
///
/// The registry is soft state of one term: it is not replicated, and a new leader
/// rebuilds it from the daemons' heartbeats and the recorded departures of upstreams.
#[derive(Clone, Debug)]
pub struct Registry {
    epoch: u64,
    lease: Duration,
    created: Duration,
    last_expiry_check: Duration,
    daemons: BTreeMap<DaemonId, Registration>,
    services: BTreeMap<ServiceId, ServiceLog>,
    homes: Homes,
    homes_outdated: bool,
    initial_homes: InitialHomes,
    home_options: HomeOptions,
    /// Departures in the replicated log, which outlast registrations and terms.
    departures: Departures,
}

/// Whether the first homes of this term are the first that may ever grant.
#[derive(Clone, Debug, Default)]
struct InitialHomes {
    /// Whether a limit was in force before this term; unknown before the first reply.
    limited_before: Option<bool>,
    /// Checksum of the first list of homes.
    first_hash: Option<u64>,
    /// Whether the list has changed since.
    changed: bool,
}

impl InitialHomes {
    fn record_list(&mut self, hash: u64) {
        if hash != 0 || self.first_hash.is_some() {
            let first = *self.first_hash.get_or_insert(hash);
            self.changed |= hash != first;
        }
    }
}

/// How quota homes are selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeOptions {
    /// Time for which a home may grant after control's confirmation. A silent daemon is no
    /// home after this time, and a new leader lists none before.
    pub lease: Duration,
    /// Whether daemons with a control replica are preferred.
    pub on_replicas: bool,
}

impl Registry {
    /// Creates an empty registry for the leader of term `epoch`, elected at
    /// `now`.
    #[must_use]
    pub fn new(epoch: u64, lease: Duration, now: Duration) -> Self {
        Self {
            epoch,
            lease,
            created: now,
            last_expiry_check: now,
            daemons: BTreeMap::new(),
            services: BTreeMap::new(),
            homes: Homes::default(),
            homes_outdated: false,
            initial_homes: InitialHomes::default(),
            home_options: HomeOptions {
                lease,
                on_replicas: false,
            },
            departures: Departures::default(),
        }
    }

    /// Sets the departures that the replicated log records.
    #[must_use]
    pub fn with_departures(mut self, departures: Departures) -> Self {
        self.departures = departures;
        self
    }

    /// Sets how quota homes are selected.
    #[must_use]
    pub fn with_home_options(mut self, options: HomeOptions) -> Self {
        self.home_options = options;
        self
    }

    /// Registers the daemon or extends its lease; returns whether the heartbeat
    /// was accepted. A heartbeat is ignored when it arrives out of order, or comes
    /// from an earlier incarnation while the newer one still sends heartbeats.
    pub fn handle_heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) -> bool {
        let old = self.daemons.get(heartbeat.daemon.as_str());
        let reported = match old {
            Some(old) => old.reported.clone(),
            None => ReportedStarts::departed(self.departures.of(&heartbeat.daemon)),
        };
        let Some(registration) = register(now, self.lease / 2, old, reported, heartbeat) else {
            return false;
        };
        let old_service = old.and_then(|o| o.service.clone());
        let unchanged = old.is_some_and(|o| {
            o.service == registration.service
                && o.info == registration.info
                && o.incarnation == registration.incarnation
        });
        // A daemon that was silent may be a home again.
        let home_lease = self.home_options.lease;
        if old.is_some_and(|o| now.saturating_sub(o.last_heartbeat) >= home_lease) {
            self.homes_outdated = true;
        }
        if !unchanged {
            if old_service != registration.service {
                self.record_change(old_service, &heartbeat.daemon);
            }
            self.record_change(registration.service.clone(), &heartbeat.daemon);
            self.homes_outdated = true;
        }
        self.daemons
            .insert(heartbeat.daemon.as_str().into(), registration);
        true
    }

    /// Removes the daemons whose lease has expired. After a pause of this process
    /// all leases are extended by its length, since no heartbeat could be received
    /// meanwhile.
    pub fn expire(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_expiry_check);
        self.last_expiry_check = now;
        if gap >= MIN_PROCESS_PAUSE {
            self.daemons
                .values_mut()
                .for_each(|r| r.last_heartbeat += gap);
        }
        self.homes_outdated |= self
            .homes
            .members()
            .any(|home| self.daemons.get(home).is_none_or(|r| self.is_silent(r)));
        let lease = self.lease;
        let expired: Vec<DaemonId> = self
            .daemons
            .iter()
            .filter(|(_, r)| now.saturating_sub(r.last_heartbeat) >= lease)
            .map(|(daemon, _)| daemon.clone())
            .collect();
        for daemon in expired {
            self.initial_homes.changed |= self.homes.members().any(|home| *home == daemon);
            let service = self.daemons.remove(&daemon).and_then(|r| r.service);
            self.record_change(service, &daemon);
            self.homes_outdated = true;
        }
    }

    /// Returns the update for a subscription, or `None` if it is up to date.
    ///
    /// For one lease after the election, a daemon that has a version of an earlier
    /// leader learns only which upstreams leave, and none gets an update for a service that
    /// is not known yet: some daemons may not have sent a heartbeat to this leader, and
    /// would be missing from the list.
    #[must_use]
    pub fn delta(&self, now: Duration, subscription: &Subscription) -> Option<ServiceDelta> {
        let same_epoch = subscription.version > 0 && subscription.epoch == self.epoch;
        let log = self.services.get(subscription.service.as_str());
        if self.is_warming_up(now) && !same_epoch && (subscription.version > 0 || log.is_none()) {
            return self.leaving_delta(subscription);
        }
        let version = log.map_or(FIRST_VERSION, ServiceLog::version);
        if same_epoch && subscription.version == version {
            return None;
        }
        let changed = log
            .filter(|_| same_epoch)
            .and_then(|l| l.since(subscription.version));
        let full = changed.is_none();
        let daemons = changed.unwrap_or_else(|| self.members(&subscription.service));
        let delta = self.service_delta(&subscription.service, version, full, &daemons);
        match full && subscription.checksums.len() == VIEW_BUCKETS {
            true => Some(without_known(delta, &subscription.checksums)),
            false => Some(delta),
        }
    }

    /// Returns which upstreams leave or have left, as an update of the view of an earlier
    /// leader.
    fn leaving_delta(&self, subscription: &Subscription) -> Option<ServiceDelta> {
        if subscription.version == 0 || subscription.epoch >= self.epoch {
            return None;
        }
        let service = subscription.service.as_str();
        let is_leaving = |daemon: &DaemonId| {
            let registration = self.daemons.get(daemon);
            registration.is_some_and(|r| r.info.leaving || r.service.as_deref() != Some(service))
        };
        let departed = self.departures.iter().map(|d| d.daemon.as_str().into());
        let mut leaving: BTreeSet<DaemonId> = departed.chain(self.members(service)).collect();
        leaving.retain(is_leaving);
        if leaving.is_empty() {
            return None;
        }
        let leaving: Vec<DaemonId> = leaving.into_iter().collect();
        let version = subscription.version.saturating_add(1);
        let delta = self.service_delta(service, version, false, &leaving);
        Some(ServiceDelta {
            epoch: subscription.epoch,
            ..delta
        })
    }

    /// Returns all services with their upstreams.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceDelta> {
        let services = self.services.iter();
        services
            .map(|(service, log)| {
                self.service_delta(service, log.version(), true, &self.members(service))
            })
            .collect()
    }

    /// Records whether the configuration states limits. Only the first call of a term
    /// counts, which must come before the first list of homes.
    pub fn record_limits(&mut self, is_limited: impl FnOnce() -> bool) {
        let limited_before = &mut self.initial_homes.limited_before;
        limited_before.get_or_insert_with(is_limited);
    }

    /// Returns the quota homes, or an empty list if a daemon has them already
    /// (`known_hash`) or homes that an earlier leader listed may still grant.
    #[must_use]
    pub fn homes(&mut self, now: Duration, known_hash: u64) -> Vec<QuotaHome> {
        let lease = self.home_options.lease;
        let wait = match self.initial_homes.limited_before {
            Some(false) => lease.min(FIRST_HOMES_DELAY),
            Some(true) | None => lease,
        };
        if now.saturating_sub(self.created) < wait {
            return Vec::new();
        }
        self.update_homes();
        self.initial_homes.record_list(self.homes.hash());
        self.homes.if_changed(known_hash)
    }

    /// Returns whether no daemon, nor an earlier start of this one, was a home under a limit
    /// before the present list.
    #[must_use]
    pub fn has_initial_homes(&self, daemon: &str) -> bool {
        let initial = &self.initial_homes;
        let registration = self.daemons.get(daemon);
        initial.limited_before == Some(false)
            && !initial.changed
            && registration.is_some_and(|r| r.superseded.is_empty())
    }

    /// Returns the start beside a daemon that has deregistered, the one that was reported
    /// last, if any is remembered.
    #[must_use]
    pub fn deregistered_start(&self, daemon: &str) -> Option<DeregisteredStart> {
        self.daemons.get(daemon)?.reported.deregistered()
    }

    /// Takes over a departure that the replicated log records, from this term or an earlier
    /// one.
    pub fn record_departure(&mut self, departure: &Departure) {
        self.departures.record(departure.clone(), departure.at_ms);
        let daemon: DaemonId = departure.daemon.as_str().into();
        let Some(registration) = self.daemons.get_mut(&daemon) else {
            return;
        };
        registration.reported.adopt(departure);
        let newest = registration.reported.newest();
        let leaving = registration.service.is_some() && newest.is_some_and(|n| n.leaving);
        if registration.info.leaving != leaving {
            registration.info.leaving = leaving;
            let service = registration.service.clone();
            self.record_change(service, &daemon);
        }
    }

    /// Returns the departure to record for a leaving upstream that a daemon has reported;
    /// `None` if this leader does not know that it leaves.
    #[must_use]
    pub fn departure(&self, daemon: &str, upstream: &Announcement) -> Option<Departure> {
        let reported = &self.daemons.get(daemon)?.reported;
        reported.start_of(upstream)?.departure(daemon)
    }

    /// Returns the number of registered daemons.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the lowest configuration version reported by a registered daemon.
    #[must_use]
    pub fn lowest_version(&self) -> Option<ConfigVersion> {
        self.daemons.values().map(|r| r.config_version).min()
    }

    /// Returns the registered upstreams of a service.
    pub fn upstreams(&self, service: &str) -> impl Iterator<Item = RegisteredUpstream<'_>> {
        let daemons = self.daemons.values();
        let members = daemons.filter(move |r| r.service.as_deref() == Some(service));
        members.map(|r| RegisteredUpstream {
            info: &r.info,
            config_version: r.config_version,
            in_progress: r.in_progress,
            started: r.upstream_started,
        })
    }

    /// Returns whether the election was less than one lease ago, so that some of the
    /// daemons may not have sent a heartbeat to this leader.
    #[must_use]
    pub fn is_warming_up(&self, now: Duration) -> bool {
        now.saturating_sub(self.created) < self.lease
    }

    /// Returns whether a daemon was silent for the lease of homes at the last check of the
    /// leases.
    fn is_silent(&self, registration: &Registration) -> bool {
        let silence = self
            .last_expiry_check
            .saturating_sub(registration.last_heartbeat);
        silence >= self.home_options.lease
    }

    fn update_homes(&mut self) {
        if !self.homes_outdated {
            return;
        }
        self.homes_outdated = false;
        let candidates: Vec<Candidate> = self
            .daemons
            .iter()
            .filter(|(_, r)| !self.is_silent(r))
            .map(|(daemon, r)| Candidate {
                daemon: daemon.clone(),
                address: r.info.address.clone(),
                data_centre: r.info.data_centre.as_str().into(),
                started: r.started,
                preferred: self.home_options.on_replicas && r.runs_replica,
            })
            .collect();
        self.homes.update(&candidates);
    }

    fn record_change(&mut self, service: Option<ServiceId>, daemon: &str) {
        if let Some(service) = service {
            self.services.entry(service).or_default().record(daemon);
        }
    }

    fn members(&self, service: &str) -> Vec<DaemonId> {
        let daemons = self.daemons.iter();
        daemons
            .filter(|(_, r)| r.service.as_deref() == Some(service))
            .map(|(daemon, _)| daemon.clone())
            .collect()
    }

    fn service_delta(
        &self,
        service: &str,
        version: u64,
        full: bool,
        daemons: &[DaemonId],
    ) -> ServiceDelta {
        let mut delta = ServiceDelta {
            service: service.to_owned(),
            epoch: self.epoch,
            version,
            full,
            ..ServiceDelta::default()
        };
        for daemon in daemons {
            let registration = self.daemons.get(daemon);
            match registration.filter(|r| r.service.as_deref() == Some(service)) {
                Some(r) => delta.upstreams.push(r.info.clone()),
                None => delta.removed.push(daemon.to_string()),
            }
        }
        delta
    }
}

/// Reduces a full update to the buckets of upstreams whose checksums differ from those
/// of the daemon's view.
fn without_known(mut delta: ServiceDelta, known: &[u64]) -> ServiceDelta {
    let current = checksums(delta.upstreams.iter());
    let differing = (0..VIEW_BUCKETS).filter(|bucket| known.get(*bucket) != current.get(*bucket));
    let replaced = differing.fold(0, |bits, bucket| bits | 1 << bucket);
    delta
        .upstreams
        .retain(|info| replaced & (1 << bucket_of(&info.upstream)) != 0);
    delta.full = false;
    delta.base_checksums = known.to_vec();
    delta.replaced_buckets = replaced;
    delta
}

/// Returns the registration that results from a heartbeat, or `None` if the
/// heartbeat comes from an earlier incarnation or arrives out of order.
///
/// When both incarnations of a daemon are new to this leader, it can't determine
/// which one is older, and a delayed heartbeat may supersede the live one. The live
/// incarnation is accepted again once the other has been silent for `max_silence`,
/// because a daemon that has died sends no further heartbeats.
fn register(
    now: Duration,
    max_silence: Duration,
    old: Option<&Registration>,
    mut reported: ReportedStarts,
    heartbeat: &Heartbeat,
) -> Option<Registration> {
    let mut superseded = Vec::new();
    if let Some(old) = old {
        let silent = now.saturating_sub(old.last_heartbeat) >= max_silence;
        if old.superseded.contains(&heartbeat.incarnation) && !silent {
            return None;
        }
        superseded.clone_from(&old.superseded);
        superseded.retain(|i| *i != heartbeat.incarnation);
        if old.incarnation != heartbeat.incarnation {
            superseded.push(old.incarnation);
            let excess = superseded.len().saturating_sub(MAX_SUPERSEDED);
            superseded.drain(..excess);
        } else if heartbeat.sequence <= old.sequence {
            return None;
        }
    }
    let upstream = heartbeat.upstream.as_ref();
    // A daemon that has started again may be reached by a delayed announcement first.
    if let Some(upstream) = upstream {
        reported.record(upstream);
    }
    let same_start = old.filter(|o| o.incarnation == heartbeat.incarnation);
    let age = Duration::from_millis(heartbeat.age_ms);
    let started = same_start.map_or(now.saturating_sub(age), |o| o.started);
    let boot = |r: &Registration| r.reported.newest().map(|n| n.boot.clone());
    let upstream_started = match (same_start, upstream) {
        (Some(old), Some(upstream)) if boot(old).as_ref() == Some(&upstream.boot) => {
            old.upstream_started
        }
        (Some(_), Some(_)) => now,
        _ => started,
    };
    Some(Registration {
        last_heartbeat: now,
        started,
        upstream_started,
        in_progress: heartbeat.in_progress,
        incarnation: heartbeat.incarnation,
        superseded,
        sequence: heartbeat.sequence,
        config_version: heartbeat.config_version,
        runs_replica: heartbeat.runs_replica,
        service: upstream.map(|u| u.service.as_str().into()),
        info: UpstreamInfo {
            upstream: heartbeat.daemon.clone(),
            address: heartbeat.address.clone(),
            data_centre: heartbeat.data_centre.clone(),
            slots: upstream.map_or(0, |u| u.slots),
            leaving: upstream.is_some() && reported.newest().is_some_and(|n| n.leaving),
            version: upstream.map(|u| u.version.clone()).unwrap_or_default(),
        },
        reported,
    })
}
