//! What a program that embeds the daemon may ask of it.

use crate::clock;
use crate::runtime::{Daemon, lock};
use node::{Event, admission};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;
use wire::{
    Announcement, ChangeOutcome, DataCentreOrder, Routing, RoutingChange, RoutingRequest,
    control_reply, control_request,
};

/// A running daemon.
#[derive(Clone, Debug)]
pub struct Handle {
    daemon: Arc<Daemon>,
}

impl Handle {
    pub(crate) fn new(daemon: Arc<Daemon>) -> Self {
        Self { daemon }
    }

    /// Returns whether the daemon takes new work: it has word from control, and
    /// routes where requests take them.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = clock::now();
        let routed = self.daemon.integration.uses_routes;
        let serves = self.daemon.read(|node| {
            let agent = &node.agent;
            let has_routes = agent.config.routing.content().version > 0;
            agent.may_serve(now) && (has_routes || !routed)
        });
        serves && !self.daemon.stopping.load(Ordering::Relaxed)
    }

    /// Returns the daemon's metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns why the text can't be made.
    pub fn metrics(&self) -> Result<String, String> {
        let text = self.daemon.metrics.text(&self.daemon);
        text.map_err(|err| err.to_string())
    }

    /// Takes in what the upstream beside the daemon says of itself; returns
    /// whether it counts, which something older than what is known does not.
    #[must_use]
    pub fn announce(&self, announcement: Announcement) -> bool {
        let outdated = |node: &node::Node| node.admission.is_outdated(&announcement);
        if self.daemon.read(outdated) {
            return false;
        }
        let event = admission::Event::Announced(announcement);
        self.daemon.dispatch(Event::Admission(event));
        true
    }

    /// Returns what the upstream beside the daemon last said of itself.
    #[must_use]
    pub fn announced(&self) -> Option<Announcement> {
        self.daemon.read(|node| node.admission.announced().cloned())
    }

    /// Changes the routing; `None` when no leader confirmed an outcome in time.
    pub async fn change_routing(&self, change: RoutingChange) -> Option<ChangeOutcome> {
        self.change(control_request::Kind::Routing(change)).await
    }

    /// Takes a data centre out, or returns it; `None` when no leader confirmed
    /// it in time.
    pub async fn order_data_centre(&self, order: DataCentreOrder) -> Option<ChangeOutcome> {
        self.change(control_request::Kind::DataCentre(order)).await
    }

    /// Returns the routing in force; `None` when no leader confirmed it in time.
    pub async fn read_routing(&self) -> Option<Routing> {
        let kind = control_request::Kind::ReadRouting(RoutingRequest {});
        match self.request(kind).await? {
            control_reply::Kind::Routing(routing) => Some(routing),
            _ => None,
        }
    }

    /// Asks the control leader; `None` when it gave no answer in time.
    pub(crate) async fn request(&self, kind: control_request::Kind) -> Option<control_reply::Kind> {
        let id = self.daemon.next_id();
        let (tx, rx) = oneshot::channel();
        lock(&self.daemon.pending_requests).insert(id, tx);
        self.daemon.dispatch(Event::Operator { id, kind });
        rx.await.ok().flatten()
    }

    async fn change(&self, kind: control_request::Kind) -> Option<ChangeOutcome> {
        match self.request(kind).await? {
            control_reply::Kind::Change(outcome) => Some(outcome),
            _ => None,
        }
    }
}
