//! Tests of transfers of the configuration from the control leader to a daemon.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::{Simulation, TICK};
use node::agent::Agent;
use node::{Effect, Event, LinkId};
use std::collections::VecDeque;
use std::time::Duration;
use wire::{
    Body, ControlRequest, HeartbeatReply, Route, RouteDestination, RouteKind, RoutingChange,
    ServiceRules, control_request,
};

const OPERATOR_LINK: LinkId = 1_000_000;
const FIRST_LINK: LinkId = 1_000_001;
const SECOND_LINK: LinkId = 1_000_002;

/// A cluster of three replicas, and a daemon whose replies take time.
struct Cluster {
    sim: Simulation,
    leader: usize,
    agent: Agent,
    link: LinkId,
    /// Replies on their way, with the time of arrival.
    replies: VecDeque<(Duration, HeartbeatReply)>,
    reply_delay: Duration,
    /// Number of replies with a page of the configuration.
    pages: usize,
    /// Size of these pages in bytes.
    page_bytes: usize,
}

impl Cluster {
    fn new() -> Self {
        let mut sim = Simulation::new(3, 0, 1);
        sim.event(0, Event::Initialise);
        let settled = |s: &Simulation| s.daemons.iter().all(|d| d.is_fresh(s.now));
        sim.run_until(Duration::from_secs(30), settled)
            .expect("settles");
        sim.run(Duration::from_millis(500));
        let leader = sim.daemons.iter().position(|d| d.is_leader());
        let leader = leader.expect("a leader");
        let mut settings = sim.daemons[leader].settings.clone();
        settings.daemon.name = "daemon-1".into();
        settings.control.replicas = vec![sim.daemons[leader].address];
        Self {
            agent: Agent::new(&settings, 7),
            sim,
            leader,
            link: FIRST_LINK,
            replies: VecDeque::new(),
            reply_delay: Duration::ZERO,
            pages: 0,
            page_bytes: 0,
        }
    }

    /// Sets `count` routes.
    fn change_routing(&mut self, first: usize, count: usize) {
        let nodes = self.sim.daemons[self.leader].node.as_ref();
        let control = nodes.and_then(|n| n.control.as_ref()).expect("a replica");
        let base = control.config().routing.content().version;
        let change = RoutingChange {
            version: base + 1,
            base,
            full: base == 0,
            routes: (first..first + count).map(route).collect(),
            services: vec![ServiceRules {
                name: "booking".into(),
                ..ServiceRules::default()
            }],
            ..RoutingChange::default()
        };
        let request = ControlRequest {
            id: base,
            kind: Some(control_request::Kind::Routing(change)),
        };
        let event = Event::Received {
            link: Some(OPERATOR_LINK),
            daemon: "operator".into(),
            body: Body::ControlRequest(request),
        };
        self.sim.event(self.leader, event);
    }

    fn run(&mut self, time: Duration) {
        let end = self.sim.now + time;
        while self.sim.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.sim.run(TICK);
        let now = self.sim.now;
        let mut tx = Vec::new();
        self.agent.tick(now, &mut tx);
        for effect in tx {
            if let Effect::Send { body, .. } = effect {
                let event = Event::Received {
                    link: Some(self.link),
                    daemon: "daemon-1".into(),
                    body,
                };
                self.sim.event(self.leader, event);
            }
        }
        self.take_replies();
        while self.replies.front().is_some_and(|(at, _)| *at <= now) {
            let (_, reply) = self.replies.pop_front().expect("a reply");
            self.agent.heartbeat_reply(now, reply, &mut Vec::new());
        }
    }

    fn take_replies(&mut self) {
        let arrives_at = self.sim.now + self.reply_delay;
        for (link, body) in std::mem::take(&mut self.sim.unrouted_replies) {
            let Body::HeartbeatReply(reply) = body else {
                continue;
            };
            if link != self.link {
                continue;
            }
            let has_page = reply.config.is_some() || !reply.compressed_config.is_empty();
            self.pages += usize::from(has_page);
            self.page_bytes += reply.compressed_config.len();
            self.replies.push_back((arrives_at, reply));
        }
    }

    /// Loses the replies on their way, as when the connection fails, and uses another one.
    fn reconnect(&mut self) {
        self.replies.clear();
        self.sim.event(self.leader, Event::LinkClosed(self.link));
        self.link = SECOND_LINK;
    }

    fn routes(&self) -> usize {
        self.agent.config.routing.content().routes.len()
    }
}

fn route(n: usize) -> Route {
    Route {
        name: format!("route-{n}"),
        host: "a.example".into(),
        prefix: format!("/{n}/"),
        kind: RouteKind::Idempotent.into(),
        timeout_ms: 800,
        attempts: 2,
        destinations: vec![RouteDestination {
            service: "booking".into(),
            weight: 1,
        }],
        ..Route::default()
    }
}

/// Guards against a large configuration that is sent again with each reply while it is on
/// its way, and so delays what follows over a slow link.
#[test]
fn page_on_its_way_is_not_sent_again() {
    let mut cluster = Cluster::new();
    cluster.run(Duration::from_secs(2));
    cluster.pages = 0;
    cluster.reply_delay = Duration::from_secs(3);
    cluster.change_routing(0, 2_000);
    cluster.run(Duration::from_secs(12));
    assert_eq!((cluster.routes(), cluster.pages), (2_000, 1));
}

/// A page that was lost with its connection is sent over the next one.
#[test]
fn page_lost_with_its_connection_is_sent_again() {
    let mut cluster = Cluster::new();
    cluster.run(Duration::from_secs(2));
    cluster.pages = 0;
    cluster.reply_delay = Duration::from_secs(2);
    cluster.change_routing(0, 2_000);
    cluster.run(Duration::from_secs(2));
    assert_eq!((cluster.routes(), cluster.pages), (0, 1));
    cluster.reconnect();
    cluster.run(Duration::from_secs(6));
    assert_eq!((cluster.routes(), cluster.pages), (2_000, 2));
}

/// Changes made while a page is on its way follow it.
#[test]
fn changes_after_a_page_on_its_way_arrive() {
    let mut cluster = Cluster::new();
    cluster.change_routing(0, 2_000);
    cluster.run(Duration::from_secs(2));
    cluster.reply_delay = Duration::from_secs(1);
    for n in 0..40 {
        cluster.change_routing(2_000 + n * 10, 10);
        cluster.run(Duration::from_millis(300));
    }
    assert!(cluster.routes() > 2_300, "{}", cluster.routes());
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.routes(), 2_400);
}

/// Guards against the transfer of a large configuration that takes a slow link for longer
/// than a change may take: routes are similar to each other.
#[test]
fn large_page_is_compressed() {
    let mut cluster = Cluster::new();
    cluster.run(Duration::from_secs(2));
    cluster.change_routing(0, 6_000);
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.routes(), 6_000);
    let plain_bytes = prost::Message::encoded_len(cluster.agent.config.routing.content());
    assert!(
        (1..plain_bytes / 4).contains(&cluster.page_bytes),
        "{} of {plain_bytes} bytes",
        cluster.page_bytes
    );
}
