//! Limits of customers that the routing states, at one daemon: requests that are held for
//! the home's decision, refused, and released.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod one_daemon;
mod requests;

use node::entry::{self, Reason, RunState};
use node::{Effect, Event, Node};
use one_daemon::run;
use std::time::Duration;
use wire::{
    Allowance, AllowanceRequest, Body, ConfigDelta, CustomerRules, HeartbeatReply, QuotaHome,
    Route, RouteDestination, RouteKind, Routing, ServiceDelta, UpstreamInfo,
};

const CUSTOMER: &str = "shop";
/// A request's objective is 200 ms, and it may be held for a fifth of it.
const HELD_MS: u64 = 40;
/// Time at which the prepared daemon is ready; it is confirmed until 3 s later.
const READY_MS: u64 = 6_010;

fn node() -> Node {
    let mut settings = one_daemon::settings("entry-1");
    settings.control.lease = Duration::from_secs(2);
    one_daemon::node(settings)
}

fn routing(rate_milli: u64) -> Routing {
    let route = Route {
        name: "read".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        kind: RouteKind::Idempotent.into(),
        timeout_ms: 800,
        objective_ms: 200,
        attempts: 2,
        destinations: vec![RouteDestination {
            service: "booking".into(),
            weight: 1,
        }],
        ..Route::default()
    };
    Routing {
        version: 7,
        routes: vec![route],
        customers: vec![CustomerRules {
            name: CUSTOMER.into(),
            rate_milli,
            burst: 10,
            ..CustomerRules::default()
        }],
        ..Routing::default()
    }
}

fn tick(node: &mut Node, at_ms: u64) -> Vec<Effect> {
    run(node, at_ms, Event::Tick { unix_ms: 0 })
}

fn receive(node: &mut Node, at_ms: u64, link: Option<u64>, body: Body) -> Vec<Effect> {
    let daemon = "peer".into();
    run(node, at_ms, Event::Received { link, daemon, body })
}

/// The list of homes that control sends: one daemon.
struct Homes<'a> {
    daemon: &'a str,
    initial: bool,
}

/// Replies to the heartbeats among the effects.
fn confirm(node: &mut Node, at_ms: u64, effects: Vec<Effect>, home: &str, rate_milli: u64) {
    let list = Homes {
        daemon: home,
        initial: false,
    };
    confirm_homes(node, at_ms, effects, list, rate_milli);
}

fn confirm_homes(
    node: &mut Node,
    at_ms: u64,
    effects: Vec<Effect>,
    list: Homes<'_>,
    rate_milli: u64,
) {
    for effect in effects {
        let Effect::Send {
            body: Body::Heartbeat(heartbeat),
            ..
        } = effect
        else {
            continue;
        };
        let upstream = UpstreamInfo {
            upstream: "u1".into(),
            address: "127.0.0.1:9001".into(),
            data_centre: "ams".into(),
            slots: 6,
            ..UpstreamInfo::default()
        };
        let reply = HeartbeatReply {
            sequence: heartbeat.sequence,
            confirmed: true,
            config_version: 2,
            config: Some(ConfigDelta {
                to: 2,
                last: true,
                routing: Some(routing(rate_milli)),
                ..ConfigDelta::default()
            }),
            services: vec![ServiceDelta {
                service: "booking".into(),
                epoch: 1,
                version: 1,
                full: true,
                upstreams: vec![upstream],
                ..ServiceDelta::default()
            }],
            homes: vec![QuotaHome {
                daemon: list.daemon.into(),
                address: "127.0.0.1:9100".into(),
            }],
            initial_homes: list.initial,
            term: 1,
            ..HeartbeatReply::default()
        };
        receive(node, at_ms, None, Body::HeartbeatReply(reply));
    }
}

/// Returns a daemon whose customer has this home and this limit.
fn ready_node(home: &str, rate_milli: u64) -> Node {
    let mut node = node();
    for at in (0..=6_000).step_by(1_000) {
        let effects = tick(&mut node, at);
        confirm(&mut node, at + 1, effects, home, rate_milli);
    }
    tick(&mut node, READY_MS - 1);
    node
}

fn arrive(node: &mut Node, at_ms: u64, id: u64) -> Vec<Effect> {
    let request = entry::Request {
        customer: CUSTOMER.into(),
        deadline: Some(Duration::from_millis(700)),
        received_at: Duration::from_millis(at_ms),
        ..requests::routed_request(id, "/x")
    };
    run(node, at_ms, Event::Entry(entry::Event::Arrived(request)))
}

fn asks(effects: &[Effect]) -> Vec<AllowanceRequest> {
    let asks = effects.iter().filter_map(|effect| match effect {
        Effect::Send {
            body: Body::AllowanceRequest(req),
            ..
        } => Some(req.clone()),
        _ => None,
    });
    asks.collect()
}

fn forwarded(effects: &[Effect]) -> Vec<u64> {
    let forwarded = effects.iter().filter_map(|effect| match effect {
        Effect::Entry(entry::Effect::Forward(attempt)) => Some(attempt.request),
        _ => None,
    });
    forwarded.collect()
}

fn refusals(effects: &[Effect]) -> Vec<(u64, entry::Refusal)> {
    let refusals = effects.iter().filter_map(|effect| match effect {
        Effect::Entry(entry::Effect::Refuse(id, refusal)) => Some((*id, *refusal)),
        _ => None,
    });
    refusals.collect()
}

/// Replies as the home, at `at_ms`.
fn reply(node: &mut Node, at_ms: u64, ask: &AllowanceRequest, granted: u32) -> Vec<Effect> {
    let allowance = Allowance {
        id: ask.id,
        customer: ask.customer.clone(),
        granted,
        from_routing: true,
        retry_after_ms: if granted > 0 { 0 } else { 730 },
        ask_after_ms: if granted > 0 { 0 } else { 500 },
        ..Allowance::default()
    };
    receive(node, at_ms, None, Body::Allowance(allowance))
}

/// Guards against a request that is sent before the home has granted it a token.
#[test]
fn request_without_a_token_is_held_until_the_home_grants_one() {
    let mut node = ready_node("home-1", 5_000);
    let effects = arrive(&mut node, READY_MS, 1);
    assert!(forwarded(&effects).is_empty(), "{effects:?}");
    let asks = asks(&effects);
    assert_eq!(asks.len(), 1);
    assert_eq!((asks[0].rate_milli, asks[0].burst), (5_000, 10));
    let effects = reply(&mut node, READY_MS + 3, &asks[0], 2);
    assert_eq!(forwarded(&effects), [1]);
    let effects = arrive(&mut node, READY_MS + 4, 2);
    assert_eq!(forwarded(&effects), [2], "the block has a second token");
}

/// Guards against a limit that applies to customers without one.
#[test]
fn request_of_a_customer_without_a_limit_is_sent_at_once() {
    let mut node = ready_node("home-1", 0);
    let effects = arrive(&mut node, READY_MS, 1);
    assert_eq!(forwarded(&effects), [1]);
    assert!(asks(&effects).is_empty());
}

/// Guards against a Retry-After that does not follow from the bucket, and against a
/// message for each refused request.
#[test]
fn refusal_of_the_home_is_passed_on_and_remembered() {
    let mut node = ready_node("home-1", 5_000);
    let ask = asks(&arrive(&mut node, READY_MS, 1)).remove(0);
    let effects = reply(&mut node, READY_MS + 3, &ask, 0);
    let refused = refusals(&effects);
    assert_eq!(refused.len(), 1);
    let (id, refusal) = refused[0];
    assert_eq!((id, refusal.reason), (1, Reason::PlanRate));
    assert_eq!(refusal.run, RunState::NotRun);
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(730)));
    let effects = arrive(&mut node, READY_MS + 103, 2);
    assert!(asks(&effects).is_empty());
    let retry_after = refusals(&effects)[0].1.retry_after;
    assert_eq!(retry_after, Some(Duration::from_millis(630)));
    let effects = arrive(&mut node, READY_MS + 503, 3);
    assert_eq!(asks(&effects).len(), 1, "the home may have a token again");
}

/// Guards against a request that waits longer than a fifth of its objective.
#[test]
fn held_request_is_refused_when_the_home_does_not_reply() {
    let mut node = ready_node("home-1", 5_000);
    arrive(&mut node, READY_MS, 1);
    assert!(refusals(&tick(&mut node, READY_MS + HELD_MS - 1)).is_empty());
    let effects = tick(&mut node, READY_MS + HELD_MS);
    assert_eq!(refusals(&effects)[0].1.reason, Reason::PlanRate);
    let lost = |effect: &Effect| matches!(effect, Effect::Log(l) if l.event == "quota_home_lost");
    assert_eq!(effects.iter().filter(|e| lost(e)).count(), 1);
    assert_eq!(node.entry.in_flight(), 0);
    let counts = node.allowances.rate_counts()[CUSTOMER];
    assert_eq!((counts.held, counts.refused, counts.unanswered), (1, 1, 1));
}

/// Guards against a token that is lost with a caller that has gone.
#[test]
fn token_of_a_caller_that_has_gone_is_returned() {
    let mut node = ready_node("home-1", 5_000);
    let ask = asks(&arrive(&mut node, READY_MS, 1)).remove(0);
    run(
        &mut node,
        READY_MS + 1,
        Event::Entry(entry::Event::CallerGone(1)),
    );
    let effects = reply(&mut node, READY_MS + 3, &ask, 1);
    assert!(forwarded(&effects).is_empty());
    let returned = asks(&tick(&mut node, READY_MS + 20));
    assert_eq!((returned[0].wanted, returned[0].returned), (0, 1));
}

/// Guards against a token that is lost with a request that no upstream ran, and against
/// one that is returned although the request ran.
#[test]
fn token_of_a_request_that_was_not_run_is_returned() {
    let mut node = ready_node("home-1", 5_000);
    let ask = asks(&arrive(&mut node, READY_MS, 1)).remove(0);
    reply(&mut node, READY_MS + 3, &ask, 2);
    arrive(&mut node, READY_MS + 4, 2);
    let not_sent = Event::Entry(entry::Event::NotSent(1, 1));
    let effects = run(&mut node, READY_MS + 5, not_sent);
    assert_eq!(refusals(&effects)[0].1.run, RunState::NotRun);
    let broken = Event::Entry(entry::Event::Broken(2, 1, None));
    run(&mut node, READY_MS + 6, broken);
    let returned = asks(&tick(&mut node, READY_MS + 20));
    assert_eq!((returned[0].wanted, returned[0].returned), (0, 1));
}

fn ask_as_peer(node: &mut Node, at_ms: u64, id: u64) -> Option<Allowance> {
    let req = AllowanceRequest {
        id,
        daemon: "entry-2".into(),
        customer: CUSTOMER.into(),
        wanted: 1,
        arrivals: 1,
        config_version: 2,
        rate_milli: 5_000,
        burst: 10,
        incarnation: 9,
        ..AllowanceRequest::default()
    };
    let effects = receive(node, at_ms, Some(4), Body::AllowanceRequest(req));
    effects.into_iter().find_map(|effect| match effect {
        Effect::Reply {
            body: Body::Allowance(allowance),
            ..
        } => Some(allowance),
        _ => None,
    })
}

/// Guards against a home that grants tokens that its predecessor may have granted, and
/// against one that grants while control may have listed another.
#[test]
fn home_grants_only_while_control_confirms_it() {
    let mut node = ready_node("entry-1", 5_000);
    let grant = ask_as_peer(&mut node, READY_MS, 1).expect("a reply");
    assert!(grant.granted == 1 && grant.from_routing, "{grant:?}");
    assert_eq!(ask_as_peer(&mut node, READY_MS + 3_000, 2), None);
}

/// Guards against a home that grants as soon as it has started.
#[test]
fn new_home_grants_nothing_until_its_predecessor_has_ended() {
    let mut node = node();
    let effects = tick(&mut node, 0);
    confirm(&mut node, 1, effects, "entry-1", 5_000);
    tick(&mut node, 20);
    let allowance = ask_as_peer(&mut node, 21, 1).expect("a reply");
    assert_eq!((allowance.granted, allowance.retry_after_ms), (0, 1_999));
}

/// Guards against a customer within its limit that is refused after the first configuration.
#[test]
fn first_home_ever_grants_at_once() {
    let mut node = node();
    let effects = tick(&mut node, 0);
    let list = Homes {
        daemon: "entry-1",
        initial: true,
    };
    confirm_homes(&mut node, 1, effects, list, 5_000);
    tick(&mut node, 20);
    let allowance = ask_as_peer(&mut node, 21, 1).expect("a reply");
    assert_eq!(allowance.granted, 1);
}

/// Guards against a request that is held although its own daemon is the home.
#[test]
fn request_at_the_home_itself_is_decided_at_once() {
    let mut node = ready_node("entry-1", 5_000);
    assert_eq!(forwarded(&arrive(&mut node, READY_MS, 1)), [1]);
}
