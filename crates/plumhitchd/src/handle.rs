//! Interface of a running daemon to the program that embeds it.

use crate::clock;
use crate::runtime::{Daemon, lock};
use bytes::Bytes;
use node::{Event, admission};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;
use wire::{
    Announcement, ChangeOutcome, DataCentreOrder, OrderPosition, RolloutOrder, RolloutOutcome,
    RolloutQuery, RolloutResult, Routing, RoutingChange, RoutingRequest, control_reply,
    control_request,
};

/// Interval at which a change of the daemon's state is looked for.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Length of the salt of digests, in bytes.
const SALT_BYTES: usize = 16;
/// Maximum number of times that an order is sent because other orders came in between.
const MAX_ORDER_ATTEMPTS: u32 = 16;

/// Handle to a running daemon.
#[derive(Clone, Debug)]
pub struct Handle {
    daemon: Arc<Daemon>,
}

impl Handle {
    pub(crate) fn new(daemon: Arc<Daemon>) -> Self {
        Self { daemon }
    }

    /// Returns whether the daemon accepts new requests: it is not stopping, has a
    /// recent confirmation by the control leader, and has routes if it uses them.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = clock::now();
        let uses_routes = self.daemon.integration.uses_routes;
        let may_serve = self.daemon.read(|node| {
            let agent = &node.agent;
            let has_routes = agent.config.routing.content().version > 0;
            agent.may_serve(now) && (has_routes || !uses_routes)
        });
        may_serve && !self.daemon.stopping.load(Ordering::Relaxed)
    }

    /// Returns the daemon's metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub fn metrics(&self) -> Result<String, String> {
        let text = self.daemon.metrics.text(&self.daemon);
        text.map_err(|err| err.to_string())
    }

    /// Applies an announcement of the upstream beside the daemon; returns false
    /// and ignores it if it is older than the current one.
    #[must_use]
    pub fn announce(&self, announcement: Announcement) -> bool {
        let now = clock::now();
        let outdated = |node: &node::Node| node.admission.is_outdated(now, &announcement);
        if self.daemon.read(outdated) {
            return false;
        }
        let event = admission::Event::Announced(announcement);
        self.daemon.handle_event(Event::Admission(event));
        true
    }

    /// Waits until the control leader knows that a start of the upstream beside the daemon
    /// leaves, so that a restart of the daemon does not bring it back; returns whether it
    /// does within a time.
    pub async fn leave_reported(&self, boot: &str, limit: Duration) -> bool {
        let is_reported = || self.daemon.read(|node| node.agent.is_leave_reported(boot));
        let reported = async {
            while !is_reported() {
                tokio::time::sleep(STATE_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(limit, reported).await.is_ok()
    }

    /// Returns the latest announcement of an upstream that holds or held the address beside
    /// the daemon, or else that of the upstream which holds it.
    #[must_use]
    pub fn announced_by(&self, target: &str) -> Option<Announcement> {
        self.daemon.read(|node| {
            let admission = &node.admission;
            let announced = admission.announced_by(target);
            announced.or(admission.announced()).cloned()
        })
    }

    /// Returns the latest announcement of the upstream beside the daemon.
    #[must_use]
    pub fn announced(&self) -> Option<Announcement> {
        self.daemon.read(|node| node.admission.announced().cloned())
    }

    /// Changes the routing; returns `None` if no control leader confirmed an
    /// outcome in time. The first change with customers determines the salt of the digests
    /// of their keys; a random one is offered with each.
    pub async fn change_routing(&self, mut change: RoutingChange) -> Option<ChangeOutcome> {
        if change.needs_credentials {
            let salt: [u8; SALT_BYTES] = rand::random();
            change.credential_salt = Bytes::copy_from_slice(&salt);
        }
        self.change(control_request::Kind::Routing(change)).await
    }

    /// Takes a data centre out of service or returns it; returns `None` if no
    /// control leader confirmed an outcome in time.
    ///
    /// The order is not carried out once the future has been dropped and a later order
    /// has been accepted: drop it when the operator no longer waits.
    pub async fn change_data_centre(&self, order: DataCentreOrder) -> Option<ChangeOutcome> {
        let request = |base| {
            control_request::Kind::DataCentre(DataCentreOrder {
                base: Some(base),
                ..order.clone()
            })
        };
        match self.order(request).await? {
            control_reply::Kind::Change(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Returns the routing in force, or `None` if no control leader confirmed it
    /// in time. It contains the keys of customers only at a daemon with a control replica.
    pub async fn read_routing(&self) -> Option<Routing> {
        let with_keys = self.daemon.cfg.control.data_dir.is_some();
        let kind = control_request::Kind::ReadRouting(RoutingRequest { with_keys });
        match self.request(kind).await? {
            control_reply::Kind::Routing(routing) => Some(routing),
            _ => None,
        }
    }

    /// Orders a rollout; returns `None` if no control leader confirmed an outcome in
    /// time. The same order may then be sent again.
    ///
    /// The future is to be dropped when the operator no longer waits, as that of
    /// [`Handle::change_data_centre`].
    pub async fn start_rollout(&self, order: RolloutOrder) -> Option<RolloutOutcome> {
        let request = |base| {
            control_request::Kind::StartRollout(RolloutOrder {
                base: Some(base),
                ..order.clone()
            })
        };
        rollout_outcome(self.order(request).await?)
    }

    /// Returns the newest rollout of a service, or `None` if no control leader
    /// confirmed it in time.
    pub async fn read_rollout(&self, service: &str) -> Option<RolloutOutcome> {
        let service = service.to_owned();
        let query = RolloutQuery { service };
        rollout_outcome(
            self.request(control_request::Kind::ReadRollout(query))
                .await?,
        )
    }

    /// Sends an order that has neither an id nor a base version, until the leader takes it.
    ///
    /// The first request states no known position, so that the leader replies with the
    /// newest one. Before the order itself is sent, the future yields: by then the
    /// connection has been read, and the future is dropped if the operator has left. What
    /// is sent while the operator waits cannot follow an order that comes after.
    async fn order(
        &self,
        request: impl Fn(OrderPosition) -> control_request::Kind,
    ) -> Option<control_reply::Kind> {
        let mut base = OrderPosition::default();
        for _ in 0..MAX_ORDER_ATTEMPTS {
            match self.request(request(base)).await? {
                control_reply::Kind::NewestOrder(newest) => base = newest,
                reply => return Some(reply),
            }
            tokio::task::yield_now().await;
        }
        None
    }

    /// Sends a request to the control leader; returns `None` if no reply arrives
    /// in time.
    pub(crate) async fn request(&self, kind: control_request::Kind) -> Option<control_reply::Kind> {
        let id = self.daemon.next_id();
        let (tx, rx) = oneshot::channel();
        lock(&self.daemon.pending_requests).insert(id, tx);
        self.daemon.handle_event(Event::Operator { id, kind });
        rx.await.ok().flatten()
    }

    async fn change(&self, kind: control_request::Kind) -> Option<ChangeOutcome> {
        match self.request(kind).await? {
            control_reply::Kind::Change(outcome) => Some(outcome),
            _ => None,
        }
    }
}

fn rollout_outcome(reply: control_reply::Kind) -> Option<RolloutOutcome> {
    match reply {
        control_reply::Kind::Rollout(outcome) => {
            Some(outcome).filter(|o| o.result() != RolloutResult::Unknown)
        }
        _ => None,
    }
}
