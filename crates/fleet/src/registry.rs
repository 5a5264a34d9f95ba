//! The leader's record of who is in the fleet.

mod service;

use crate::homes::{Candidate, Homes};
use service::{FIRST_VERSION, ServiceLog};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{
    ConfigVersion, DaemonId, Heartbeat, QuotaHome, ServiceDelta, ServiceId, Subscription,
    UpstreamInfo,
};

/// Time between two looks at the leases after which this process, and not the
/// daemons, must have been paused.
const PAUSE: Duration = Duration::from_secs(1);
/// Earlier incarnations remembered for a daemon.
const MAX_SUPERSEDED: usize = 4;

/// A registered daemon.
#[derive(Clone, Debug)]
struct Registration {
    heard: Duration,
    started: Duration,
    incarnation: u64,
    superseded: Vec<u64>,
    sequence: u64,
    config_version: ConfigVersion,
    service: Option<ServiceId>,
    info: UpstreamInfo,
}

/// Registrations with leases, and each service's version.
///
/// It is soft state of one term: a new leader starts an empty one and hears of
/// the daemons by their heartbeats.
#[derive(Clone, Debug)]
pub struct Registry {
    epoch: u64,
    lease: Duration,
    since: Duration,
    checked: Duration,
    daemons: BTreeMap<DaemonId, Registration>,
    services: BTreeMap<ServiceId, ServiceLog>,
    homes: Homes,
    homes_due: bool,
}

impl Registry {
    /// Creates an empty registry for the leader of term `epoch`, elected at
    /// `now`.
    #[must_use]
    pub fn new(epoch: u64, lease: Duration, now: Duration) -> Self {
        Self {
            epoch,
            lease,
            since: now,
            checked: now,
            daemons: BTreeMap::new(),
            services: BTreeMap::new(),
            homes: Homes::default(),
            homes_due: false,
        }
    }

    /// Takes a heartbeat in and extends the daemon's lease; returns whether it
    /// counts, which a late one does not, nor one of an earlier incarnation
    /// while the newer one is heard.
    pub fn handle_heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) -> bool {
        let old = self.daemons.get(heartbeat.daemon.as_str());
        let Some(registration) = register(now, self.lease / 2, old, heartbeat) else {
            return false;
        };
        let old_service = old.and_then(|o| o.service.clone());
        let same = old.is_some_and(|o| {
            o.service == registration.service
                && o.info == registration.info
                && o.incarnation == registration.incarnation
        });
        if !same {
            if old_service != registration.service {
                self.record(old_service, &heartbeat.daemon);
            }
            self.record(registration.service.clone(), &heartbeat.daemon);
            self.homes_due = true;
        }
        self.daemons
            .insert(heartbeat.daemon.as_str().into(), registration);
        true
    }

    /// Drops the daemons whose lease has run out. After a pause of this
    /// process the leases are extended by it, since no heartbeat could be
    /// taken in.
    pub fn expire(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.checked);
        self.checked = now;
        if gap >= PAUSE {
            self.daemons.values_mut().for_each(|r| r.heard += gap);
        }
        let lease = self.lease;
        let gone: Vec<DaemonId> = self
            .daemons
            .iter()
            .filter(|(_, r)| now.saturating_sub(r.heard) >= lease)
            .map(|(daemon, _)| daemon.clone())
            .collect();
        for daemon in gone {
            let service = self.daemons.remove(&daemon).and_then(|r| r.service);
            self.record(service, &daemon);
            self.homes_due = true;
        }
    }

    /// Returns the news for a subscription, if there is any.
    ///
    /// Until one lease after the election a daemon that holds a version of an
    /// earlier leader gets none, since the registry may not have heard of
    /// every daemon yet.
    #[must_use]
    pub fn delta(&self, now: Duration, held: &Subscription) -> Option<ServiceDelta> {
        let known = held.version > 0 && held.epoch == self.epoch;
        let log = self.services.get(held.service.as_str());
        if self.is_settling(now) && !known && (held.version > 0 || log.is_none()) {
            return None;
        }
        let version = log.map_or(FIRST_VERSION, ServiceLog::version);
        if known && held.version == version {
            return None;
        }
        let touched = log.filter(|_| known).and_then(|l| l.since(held.version));
        let full = touched.is_none();
        let touched = touched.unwrap_or_else(|| self.members(&held.service));
        Some(self.service_delta(&held.service, version, full, &touched))
    }

    /// Returns every service with its upstreams.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceDelta> {
        let services = self.services.iter();
        services
            .map(|(service, log)| {
                self.service_delta(service, log.version(), true, &self.members(service))
            })
            .collect()
    }

    /// Returns the quota homes if they differ from what a daemon knows; none
    /// until one lease after the election.
    #[must_use]
    pub fn homes(&mut self, now: Duration, known: u64) -> Vec<QuotaHome> {
        if self.is_settling(now) {
            return Vec::new();
        }
        self.update_homes();
        self.homes.news(known)
    }

    /// Returns how many daemons are registered.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the lowest configuration version that a registered daemon
    /// reported.
    #[must_use]
    pub fn lowest_version(&self) -> Option<ConfigVersion> {
        self.daemons.values().map(|r| r.config_version).min()
    }

    fn is_settling(&self, now: Duration) -> bool {
        now.saturating_sub(self.since) < self.lease
    }

    fn update_homes(&mut self) {
        if !self.homes_due {
            return;
        }
        self.homes_due = false;
        let candidates: Vec<Candidate> = self
            .daemons
            .iter()
            .map(|(daemon, r)| Candidate {
                daemon: daemon.clone(),
                address: r.info.address.clone(),
                data_centre: r.info.data_centre.as_str().into(),
                started: r.started,
            })
            .collect();
        self.homes.update(&candidates);
    }

    fn record(&mut self, service: Option<ServiceId>, daemon: &str) {
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
        touched: &[DaemonId],
    ) -> ServiceDelta {
        let mut delta = ServiceDelta {
            service: service.to_owned(),
            epoch: self.epoch,
            version,
            full,
            ..ServiceDelta::default()
        };
        for daemon in touched {
            let registration = self.daemons.get(daemon);
            match registration.filter(|r| r.service.as_deref() == Some(service)) {
                Some(r) => delta.upstreams.push(r.info.clone()),
                None => delta.removed.push(daemon.to_string()),
            }
        }
        delta
    }
}

/// Returns the registration that a heartbeat makes, unless it comes from an
/// earlier incarnation, or late from the present one.
///
/// Which of two incarnations came first can't be told when both are new to
/// this leader. The one taken for the earlier is heard again once the other
/// has been silent for a while: a late frame doesn't go on.
fn register(
    now: Duration,
    silence: Duration,
    old: Option<&Registration>,
    heartbeat: &Heartbeat,
) -> Option<Registration> {
    let mut superseded = Vec::new();
    if let Some(old) = old {
        let silent = now.saturating_sub(old.heard) >= silence;
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
    let same_start = old.filter(|o| o.incarnation == heartbeat.incarnation);
    let age = Duration::from_millis(heartbeat.age_ms);
    Some(Registration {
        heard: now,
        started: same_start.map_or(now.saturating_sub(age), |o| o.started),
        incarnation: heartbeat.incarnation,
        superseded,
        sequence: heartbeat.sequence,
        config_version: heartbeat.config_version,
        service: upstream.map(|u| u.service.as_str().into()),
        info: UpstreamInfo {
            upstream: heartbeat.daemon.clone(),
            address: heartbeat.address.clone(),
            data_centre: heartbeat.data_centre.clone(),
            slots: upstream.map_or(0, |u| u.slots),
            leaving: upstream.is_some_and(|u| u.leaving),
        },
    })
}
