//! What a daemon knows of the services that it subscribes to.

use compact_str::CompactString;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{DataCentreId, ServiceDelta, ServiceId, Subscription, UpstreamId};

/// An upstream, as a daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Peer address of the daemon beside it, `ip:port`.
    pub address: CompactString,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Announced slots.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The upstreams of one service, at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceView {
    /// Registry epoch.
    pub epoch: u64,
    /// Version within the epoch; 0 before the first word.
    pub version: u64,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
}

/// Time after which a subscription that nobody used is dropped.
pub const SUBSCRIPTION_IDLE: Duration = Duration::from_secs(600);

#[derive(Clone, Debug, Default)]
struct Subscribed {
    view: ServiceView,
    used: Duration,
}

/// The services that a daemon subscribes to.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    services: BTreeMap<ServiceId, Subscribed>,
}

impl FleetView {
    /// Subscribes to a service, or notes that it is used still; returns
    /// whether it is new.
    pub fn subscribe(&mut self, now: Duration, service: &str) -> bool {
        if let Some(subscribed) = self.services.get_mut(service) {
            subscribed.used = now;
            return false;
        }
        let subscribed = Subscribed {
            used: now,
            ..Subscribed::default()
        };
        self.services.insert(service.into(), subscribed);
        true
    }

    /// Drops the subscriptions that were not used for [`SUBSCRIPTION_IDLE`].
    pub fn prune(&mut self, now: Duration) {
        self.services
            .retain(|_, s| now.saturating_sub(s.used) < SUBSCRIPTION_IDLE);
    }

    /// Returns the subscriptions with the versions held.
    #[must_use]
    pub fn subscriptions(&self) -> Vec<Subscription> {
        self.services
            .iter()
            .map(|(service, subscribed)| Subscription {
                service: service.to_string(),
                epoch: subscribed.view.epoch,
                version: subscribed.view.version,
            })
            .collect()
    }

    /// Returns a service's upstreams, once word of them has come.
    #[must_use]
    pub fn service(&self, service: &str) -> Option<&ServiceView> {
        let subscribed = self.services.get(service)?;
        Some(&subscribed.view).filter(|view| view.version > 0)
    }

    /// Applies news; returns whether anything changed. Versions never go back.
    pub fn apply(&mut self, delta: &ServiceDelta) -> bool {
        let Some(subscribed) = self.services.get_mut(delta.service.as_str()) else {
            return false;
        };
        let view = &mut subscribed.view;
        if (delta.epoch, delta.version) <= (view.epoch, view.version) {
            return false;
        }
        if !delta.full && delta.epoch != view.epoch {
            return false;
        }
        if delta.full {
            view.upstreams.clear();
        }
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
                },
            );
        }
        view.epoch = delta.epoch;
        view.version = delta.version;
        true
    }
}
