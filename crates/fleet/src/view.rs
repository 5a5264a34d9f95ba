//! A daemon's view of the services that it subscribes to.

use crate::checksums::{self, bucket_of};
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{DataCentreId, ServiceDelta, ServiceId, Subscription, UpstreamId, UpstreamInfo};

/// An upstream as last reported by the control leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Peer address of the daemon on the upstream's VM, `ip:port`.
    pub address: CompactString,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Slots that the upstream announced: how many requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving the fleet.
    pub leaving: bool,
    /// Version of its software, or empty if it states none.
    pub version: CompactString,
}

/// The upstreams of one service, at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceView {
    /// Registry epoch: the term of the leader that assigned the version.
    pub epoch: u64,
    /// Version within the epoch; 0 before the first update.
    pub version: u64,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
}

impl ServiceView {
    /// Returns the checksums of the buckets of upstreams.
    fn checksums(&self) -> Vec<u64> {
        let upstreams = self.upstreams.iter();
        let infos: Vec<UpstreamInfo> = upstreams
            .map(|(name, upstream)| UpstreamInfo {
                upstream: name.to_string(),
                address: upstream.address.to_string(),
                data_centre: upstream.data_centre.to_string(),
                slots: upstream.slots,
                leaving: upstream.leaving,
                version: upstream.version.to_string(),
            })
            .collect();
        checksums::checksums(infos.iter())
    }

    /// Returns whether an update builds on this view.
    fn is_base_of(&self, delta: &ServiceDelta) -> bool {
        if delta.full || delta.epoch == self.epoch && delta.base_checksums.is_empty() {
            return true;
        }
        !delta.base_checksums.is_empty() && delta.base_checksums == self.checksums()
    }
}

/// Time after which an unused subscription is removed.
pub const SUBSCRIPTION_IDLE: Duration = Duration::from_secs(600);

#[derive(Clone, Debug, Default)]
struct SubscribedService {
    view: ServiceView,
    last_used: Duration,
}

/// The services that a daemon subscribes to.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    services: BTreeMap<ServiceId, SubscribedService>,
}

impl FleetView {
    /// Subscribes to a service, or records that the subscription is in use;
    /// returns whether it is new.
    pub fn subscribe(&mut self, now: Duration, service: &str) -> bool {
        if let Some(subscribed) = self.services.get_mut(service) {
            subscribed.last_used = now;
            return false;
        }
        let subscribed = SubscribedService {
            last_used: now,
            ..SubscribedService::default()
        };
        self.services.insert(service.into(), subscribed);
        true
    }

    /// Removes the subscriptions that were not used for [`SUBSCRIPTION_IDLE`].
    pub fn prune(&mut self, now: Duration) {
        self.services
            .retain(|_, s| now.saturating_sub(s.last_used) < SUBSCRIPTION_IDLE);
    }

    /// Returns the subscriptions, each with the version that this daemon has. A view
    /// of another epoch than `epoch` is described by its checksums too.
    #[must_use]
    pub fn subscriptions(&self, epoch: u64) -> Vec<Subscription> {
        let services = self.services.iter();
        services
            .map(|(service, subscribed)| {
                let view = &subscribed.view;
                let outdated = view.version > 0 && view.epoch != epoch;
                Subscription {
                    service: service.to_string(),
                    epoch: view.epoch,
                    version: view.version,
                    checksums: match outdated {
                        true => view.checksums(),
                        false => Vec::new(),
                    },
                }
            })
            .collect()
    }

    /// Returns a service's upstreams, once an update for it has arrived.
    #[must_use]
    pub fn service(&self, service: &str) -> Option<&ServiceView> {
        let subscribed = self.services.get(service)?;
        Some(&subscribed.view).filter(|view| view.version > 0)
    }

    /// Applies an update; returns whether it was newer than the view. An update that
    /// does not build on this view is ignored.
    pub fn apply(&mut self, delta: &ServiceDelta) -> bool {
        let Some(subscribed) = self.services.get_mut(delta.service.as_str()) else {
            return false;
        };
        let view = &mut subscribed.view;
        if (delta.epoch, delta.version) <= (view.epoch, view.version) {
            return false;
        }
        if !view.is_base_of(delta) {
            return false;
        }
        if delta.full {
            view.upstreams.clear();
        }
        view.upstreams
            .retain(|name, _| delta.replaced_buckets & (1 << bucket_of(name)) == 0);
        for name in &delta.removed {
            view.upstreams.remove(name.as_str());
        }
        for info in &delta.upstreams {
            view.upstreams.insert(
                info.upstream.as_str().into(),
                Upstream {
                    address: info.address.as_str().into(),
                    data_centre: info.data_centre.as_str().into(),
                    slots: info.slots,
                    leaving: info.leaving,
                    version: info.version.as_str().into(),
                },
            );
        }
        view.epoch = delta.epoch;
        view.version = delta.version;
        true
    }
}
