//! A daemon whose entry resolves requests through routes, and events for it.
#![allow(dead_code, unreachable_pub, missing_docs)]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use crate::one_daemon;
pub use crate::one_daemon::run;
use crate::requests;
use conf::Settings;
use node::entry;
use node::{Effect, Event, Node};
use std::time::Duration;
use wire::{
    Body, ConfigDelta, HeartbeatReply, LinkKind, Load, LoadUpdate, Refuse, RefuseReason, Route,
    RouteDestination, RouteKind, Routing, ServiceDelta, UpstreamInfo,
};

/// Fraction of requests that may be retried, and retries that an entry may
/// accumulate for a service.
pub const RETRY_RATIO: f64 = 0.2;
pub const SAVED_RETRIES: f64 = 2.0;
pub fn node() -> Node {
    node_with(|_| {})
}

/// Returns a daemon with changed settings that knows nothing yet.
pub fn node_with(change: impl Fn(&mut Settings)) -> Node {
    let mut settings = one_daemon::settings("entry-1");
    settings.gate.isolate_suspects = false;
    settings.routing.repicks = 4;
    settings.routing.by_expected_finish = true;
    settings.routing.shared_retries = Some(SAVED_RETRIES);
    settings.routing.retry_ratio = RETRY_RATIO;
    settings.routing.hedge_ratio = 0.2;
    change(&mut settings);
    one_daemon::node(settings)
}

pub fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: kind.into(),
        timeout_ms: 800,
        objective_ms: 200,
        priority: 1,
        attempts: 2,
        destinations: vec![RouteDestination {
            service: "booking".into(),
            weight: 1,
        }],
        ..Route::default()
    }
}

/// Name and data centre of an upstream.
pub type Place = (&'static str, &'static str);

/// Returns the upstreams of a service, with ports from 9001.
pub fn upstreams(places: &[Place]) -> Vec<UpstreamInfo> {
    let numbered = (1..).zip(places);
    numbered
        .map(|(n, (name, data_centre))| UpstreamInfo {
            upstream: (*name).into(),
            address: format!("127.0.0.1:{}", 9_000 + n),
            data_centre: (*data_centre).into(),
            slots: 6,
            ..UpstreamInfo::default()
        })
        .collect()
}

/// Replies to every heartbeat among the effects with these upstreams and with
/// routes at this version. Version 0 means a cluster without routes.
pub fn reply_to_heartbeats(
    node: &mut Node,
    at_ms: u64,
    effects: Vec<Effect>,
    (version, places): (u64, &[Place]),
) {
    for effect in effects {
        let Effect::Send {
            body: Body::Heartbeat(heartbeat),
            ..
        } = effect
        else {
            continue;
        };
        let routing = Routing {
            version,
            routes: vec![
                route("/read/", RouteKind::Idempotent),
                route("/pay/", RouteKind::NonIdempotent),
            ],
            ..Routing::default()
        };
        let reply = HeartbeatReply {
            sequence: heartbeat.sequence,
            confirmed: true,
            config_version: 2,
            config: Some(ConfigDelta {
                to: 2,
                last: true,
                routing: Some(routing).filter(|r| r.version > 0),
                ..ConfigDelta::default()
            }),
            services: vec![ServiceDelta {
                service: "booking".into(),
                epoch: 1,
                version: 1,
                full: true,
                upstreams: upstreams(places),
                ..ServiceDelta::default()
            }],
            term: 1,
            ..HeartbeatReply::default()
        };
        let body = Body::HeartbeatReply(reply);
        let daemon = "control-1".into();
        run(
            node,
            at_ms,
            Event::Received {
                link: None,
                daemon,
                body,
            },
        );
    }
}

/// Returns a daemon with routes and upstreams.
pub fn ready_node() -> Node {
    node_with_routing(7)
}

pub fn node_with_routing(version: u64) -> Node {
    prepared_node(version, &[("u1", "ams"), ("u2", "ams"), ("u3", "ams")])
}

/// Returns the daemon `entry-1` in `ams` with routes and these upstreams.
pub fn prepared_node(version: u64, places: &[Place]) -> Node {
    prepare(node(), version, places)
}

/// Gives a new daemon routes and upstreams.
pub fn prepare(mut node: Node, version: u64, places: &[Place]) -> Node {
    for at in [0, 1_500, 3_000] {
        let effects = run(&mut node, at, Event::Tick { unix_ms: 0 });
        reply_to_heartbeats(&mut node, at + 1, effects, (version, places));
    }
    node
}

/// Fails the connection to an upstream.
pub fn fail_link(node: &mut Node, at_ms: u64, upstream: u32) -> Vec<Effect> {
    end_link(node, at_ms, upstream, false)
}

pub fn end_link(node: &mut Node, at_ms: u64, upstream: u32, closed_by_peer: bool) -> Vec<Effect> {
    let event = Event::LinkFailed {
        address: format!("127.0.0.1:{}", 9_000 + upstream).into(),
        kind: LinkKind::Data,
        closed_by_peer,
    };
    run(node, at_ms, event)
}

pub fn arrive(node: &mut Node, at_ms: u64, id: u64, path: &str) -> Vec<Effect> {
    arrive_with(node, at_ms, (id, path), 700)
}

/// Sends a request with this much time left until its deadline.
pub fn arrive_with(
    node: &mut Node,
    at_ms: u64,
    (id, path): (u64, &str),
    left_ms: u64,
) -> Vec<Effect> {
    let mut request = routed_request(id, path, left_ms);
    request.received_at = Duration::from_millis(at_ms);
    run(node, at_ms, Event::Entry(entry::Event::Arrived(request)))
}

/// Returns a request on a route, with this much time left until its deadline.
pub fn routed_request(id: u64, path: &str, left_ms: u64) -> entry::Request {
    entry::Request {
        deadline: Some(Duration::from_millis(left_ms)),
        ..requests::routed_request(id, path)
    }
}

pub fn refuse(node: &mut Node, at_ms: u64, attempt: u32, reason: RefuseReason) -> Vec<Effect> {
    let refuse = Refuse {
        reason: reason.into(),
        ..Refuse::default()
    };
    run(
        node,
        at_ms,
        Event::Entry(entry::Event::Refused(1, attempt, refuse)),
    )
}

pub fn forwarded(effects: &[Effect]) -> Option<entry::Attempt> {
    effects.iter().find_map(|effect| match effect {
        Effect::Entry(entry::Effect::Forward(attempt)) => Some(attempt.clone()),
        _ => None,
    })
}

pub fn refusal(effects: &[Effect]) -> Option<entry::Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Entry(entry::Effect::Refuse(_, refusal)) => Some(*refusal),
        _ => None,
    })
}

/// Completes a request after `took_ms`, so that its class is measured and earns
/// retry budget.
pub fn serve(node: &mut Node, at_ms: u64, id: u64, took_ms: u64) {
    let attempt = forwarded(&arrive(node, at_ms, id, "/read/x"))
        .unwrap()
        .attempt;
    let load = Some(Load {
        in_flight: 1,
        limit: 6,
        slow_percent: 100,
        ..Load::default()
    });
    for event in [
        entry::Event::ResponseStarted(id, attempt, 200, load),
        entry::Event::Ended(id, attempt, 100, load),
    ] {
        run(node, at_ms + took_ms, Event::Entry(event));
    }
}

/// Sends a load update of a gate with this slowness.
pub fn send_load_update(node: &mut Node, at_ms: u64, upstream: &str, slow_percent: u32) {
    let update = LoadUpdate {
        upstream: upstream.into(),
        load: Load {
            in_flight: 1,
            limit: 6,
            slow_percent,
            ..Load::default()
        },
    };
    let event = Event::Received {
        link: None,
        daemon: upstream.into(),
        body: Body::LoadUpdate(update),
    };
    run(node, at_ms, event);
}
