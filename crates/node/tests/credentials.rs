//! Decisions of the entry on requests that need a customer's credential.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bytes::Bytes;
mod one_daemon;
mod requests;

use credentials::{Key, Presented, digest, parse, salt};
use node::entry::{self, Attempt, Reason, Refusal, RunState};
use node::{Effect, Event, Node};
use one_daemon::run;
use std::time::Duration;
use test_case::test_case;
use wire::{
    Body, ConfigDelta, CustomerRules, HeartbeatReply, Route, RouteDestination, RouteKind, Routing,
    ServiceDelta, UpstreamInfo,
};

const LEASE: Duration = Duration::from_millis(4_500);
/// Time of the heartbeat that [`ready_node`] gets confirmed last, in milliseconds.
const CONFIRMED_MS: u64 = 3_000;
/// Version of the first configuration and its routing.
const FIRST: u64 = 2;

fn new_node() -> Node {
    let mut settings = one_daemon::settings("entry-1");
    settings.control.credential_lease = Some(LEASE);
    settings.routing.repicks = 4;
    one_daemon::node(settings)
}

fn route(prefix: &str, open: bool) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent.into(),
        timeout_ms: 30_000,
        priority: 3,
        attempts: 2,
        destinations: vec![RouteDestination {
            service: "booking".into(),
            weight: 1,
        }],
        open,
        ..Route::default()
    }
}

fn customer(name: &str, keys: &[&str], priority: Option<u32>) -> CustomerRules {
    let digest = |key: &&str| Bytes::copy_from_slice(&digest(&salt(1), key.as_bytes()));
    CustomerRules {
        name: name.into(),
        key_digests: keys.iter().map(digest).collect(),
        priority,
        ..CustomerRules::default()
    }
}

/// Returns a routing as daemons receive it, with the keys of the customer `acme`.
fn routing(version: u64, keys: &[&str]) -> Routing {
    Routing {
        version,
        routes: vec![route("/read/", false), route("/open/", true)],
        customers: vec![
            customer("acme", keys, Some(0)),
            customer("other", &["o"], None),
        ],
        needs_credentials: true,
        credential_salt: salt(1),
        ..Routing::default()
    }
}

/// Confirms every heartbeat among the effects, with a configuration whose version is that
/// of its routing.
fn confirm(node: &mut Node, at_ms: u64, effects: Vec<Effect>, routing: &Routing) -> Vec<Effect> {
    let mut tx = Vec::new();
    for effect in effects {
        let Effect::Send {
            body: Body::Heartbeat(heartbeat),
            ..
        } = effect
        else {
            continue;
        };
        let upstream = |n| UpstreamInfo {
            upstream: format!("u{n}"),
            address: format!("127.0.0.1:{}", 9_000 + n),
            data_centre: "ams".into(),
            slots: 6,
            ..UpstreamInfo::default()
        };
        let body = Body::HeartbeatReply(HeartbeatReply {
            sequence: heartbeat.sequence,
            confirmed: true,
            config_version: routing.version,
            config: Some(ConfigDelta {
                to: routing.version,
                last: true,
                routing: Some(routing.clone()),
                ..ConfigDelta::default()
            }),
            services: vec![ServiceDelta {
                service: "booking".into(),
                epoch: 1,
                version: 1,
                full: true,
                upstreams: vec![upstream(1), upstream(2)],
                ..ServiceDelta::default()
            }],
            term: 1,
            ..HeartbeatReply::default()
        });
        let event = Event::Received {
            link: None,
            daemon: "control-1".into(),
            body,
        };
        tx.extend(run(node, at_ms, event));
    }
    tx
}

/// Advances to a time and gets the heartbeat of this time confirmed.
fn beat(node: &mut Node, at_ms: u64, routing: &Routing) -> Vec<Effect> {
    let mut effects = run(node, at_ms, Event::Tick { unix_ms: 0 });
    let logs = effects.extract_if(.., |e| matches!(e, Effect::Log(_)));
    let mut logs: Vec<Effect> = logs.collect();
    logs.extend(confirm(node, at_ms + 1, effects, routing));
    logs
}

fn ready_node() -> Node {
    let mut node = new_node();
    for at in [0, 1_500, CONFIRMED_MS] {
        beat(&mut node, at, &routing(FIRST, &["k"]));
    }
    node
}

fn token(text: &str) -> Presented {
    parse("Token", [text.as_bytes()])
}

fn key(text: &str) -> Presented {
    Presented::Key(Key::new(text.as_bytes()))
}

fn arrive(node: &mut Node, at_ms: u64, path: &str, credential: Presented) -> Vec<Effect> {
    let request = entry::Request {
        credential,
        received_at: Duration::from_millis(at_ms),
        ..requests::routed_request(1, path)
    };
    run(node, at_ms, Event::Entry(entry::Event::Arrived(request)))
}

fn forwarded(effects: &[Effect]) -> Option<Attempt> {
    effects.iter().find_map(|effect| match effect {
        Effect::Entry(entry::Effect::Forward(attempt)) => Some(attempt.clone()),
        _ => None,
    })
}

fn refusal(effects: &[Effect]) -> Option<Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Entry(entry::Effect::Refuse(_, refusal)) => Some(*refusal),
        _ => None,
    })
}

fn logs(effects: &[Effect], event: &str) -> bool {
    let is_event = |e: &&Effect| matches!(e, Effect::Log(line) if line.event == event);
    effects.iter().any(|e| is_event(&e))
}

#[test]
fn arrived_with_a_key_is_forwarded_for_its_customer_by_its_priority() {
    let mut node = ready_node();
    let attempt = forwarded(&arrive(&mut node, 3_010, "/read/x", key("k"))).unwrap();
    let sender = attempt.sender.unwrap();
    assert_eq!((&*sender.customer, attempt.weight), ("acme", 1 << 10));
    assert_eq!(
        sender.send_until,
        Some(Duration::from_millis(CONFIRMED_MS) + LEASE)
    );
}

/// A customer without a priority has that of the route.
#[test]
fn arrived_with_a_key_without_priority_has_that_of_the_route() {
    let mut node = ready_node();
    let attempt = forwarded(&arrive(&mut node, 3_010, "/read/x", key("o"))).unwrap();
    let sender = attempt.sender.unwrap();
    assert_eq!((&*sender.customer, attempt.weight), ("other", 1 << 7));
}

#[test_case(Presented::Missing; "missing")]
#[test_case(Presented::Malformed; "malformed")]
#[test_case(token("Bearer k"); "other scheme")]
#[test_case(token("Tokenk"); "without a space")]
#[test_case(parse("Token", [&b"Token k"[..], b"Token k"]); "repeated")]
#[test_case(key("K"); "unknown")]
fn arrived_without_a_valid_key_is_refused_for_good(credential: Presented) {
    let refusal = refusal(&arrive(&mut ready_node(), 3_010, "/read/x", credential)).unwrap();
    assert_eq!(refusal.reason, Reason::UnknownCredential);
    assert_eq!((refusal.run, refusal.retry_after), (RunState::NotRun, None));
}

#[test_case(Presented::Missing, ""; "missing")]
#[test_case(Presented::Malformed, ""; "malformed")]
#[test_case(key("K"), ""; "unknown")]
#[test_case(key("k"), "acme"; "valid")]
fn arrived_on_an_open_route_is_forwarded(credential: Presented, customer: &str) {
    let mut node = ready_node();
    let attempt = forwarded(&arrive(&mut node, 3_010, "/open/x", credential)).unwrap();
    let sender = attempt.sender.unwrap();
    assert_eq!(sender.customer, customer);
    assert_eq!(sender.send_until, None);
}

/// The route is checked before the key.
#[test]
fn arrived_without_route_and_key_has_no_route() {
    let refusal = refusal(&arrive(
        &mut ready_node(),
        3_010,
        "/none/",
        Presented::Missing,
    ));
    assert_eq!(refusal.unwrap().reason, Reason::NoRoute);
}

/// Deployments without customers must be served as before, header included.
#[test]
fn arrived_where_no_credentials_are_needed_is_forwarded_unchanged() {
    let mut node = new_node();
    let without = Routing {
        customers: Vec::new(),
        needs_credentials: false,
        ..routing(FIRST, &[])
    };
    for at in [0, 1_500, 3_000] {
        beat(&mut node, at, &without);
    }
    let attempt = forwarded(&arrive(&mut node, 60_000, "/read/x", key("K"))).unwrap();
    assert_eq!(attempt.sender, None);
}

/// A daemon that restarted has neither configuration nor confirmation; the key may be
/// valid.
#[test]
fn arrived_after_a_restart_is_not_unknown() {
    let refusal = refusal(&arrive(&mut new_node(), 10, "/read/x", key("k"))).unwrap();
    assert_eq!(
        (refusal.reason, refusal.run),
        (Reason::Stale, RunState::NotRun)
    );
}

/// The confirmation counts from when the heartbeat was sent.
#[test_case(4_499, None; "within the lease")]
#[test_case(4_500, Some(Reason::StaleCredentials); "after the lease")]
fn arrived_with_a_key_needs_a_confirmation(after_ms: u64, expected: Option<Reason>) {
    let mut node = ready_node();
    let at = CONFIRMED_MS + after_ms;
    let refusal = refusal(&arrive(&mut node, at, "/read/x", key("k")));
    assert_eq!(refusal.map(|r| r.reason), expected);
    if let Some(refusal) = refusal {
        assert_eq!(refusal.run, RunState::NotRun);
        assert!(refusal.retry_after.is_some());
    }
    assert!(forwarded(&arrive(&mut node, at, "/open/x", Presented::Missing)).is_some());
}

/// A key that is unknown to a daemon without confirmation may have been added.
#[test]
fn arrived_with_an_unknown_key_after_the_lease_is_not_refused_for_good() {
    let refusal = refusal(&arrive(&mut ready_node(), 60_000, "/read/x", key("new")));
    assert_eq!(refusal.unwrap().reason, Reason::StaleCredentials);
}

#[test]
fn lease_is_reported_when_lost_and_regained() {
    let mut node = ready_node();
    let lost = run(&mut node, 8_000, Event::Tick { unix_ms: 0 });
    assert!(logs(&lost, "credential_lease_lost"));
    let again = run(&mut node, 8_020, Event::Tick { unix_ms: 0 });
    assert!(!logs(&again, "credential_lease_lost"));
    let mut regained = Vec::new();
    for at in (9_000..20_000).step_by(500) {
        regained.extend(beat(&mut node, at, &routing(FIRST, &["k"])));
    }
    assert!(logs(&regained, "credential_lease_regained"));
    assert!(forwarded(&arrive(&mut node, 20_000, "/read/x", key("k"))).is_some());
}

#[test]
fn withdrawn_key_is_refused_once_its_version_is_in_force() {
    let mut node = ready_node();
    let effects = beat(&mut node, 4_500, &routing(FIRST + 1, &["new"]));
    assert!(logs(&effects, "credentials_in_force"));
    let refused = refusal(&arrive(&mut node, 4_510, "/read/x", key("k"))).unwrap();
    assert_eq!(refused.reason, Reason::UnknownCredential);
    assert!(forwarded(&arrive(&mut node, 4_520, "/read/x", key("new"))).is_some());
}

/// A late reply of an earlier leader must not bring a withdrawn key back.
#[test]
fn older_configuration_that_arrives_later_changes_nothing() {
    let mut node = ready_node();
    beat(&mut node, 4_500, &routing(FIRST + 1, &["new"]));
    beat(&mut node, 6_000, &routing(FIRST, &["k"]));
    let refused = refusal(&arrive(&mut node, 6_010, "/read/x", key("k"))).unwrap();
    assert_eq!(refused.reason, Reason::UnknownCredential);
}

/// A confirmation of an older version must not extend the lease of withdrawn keys.
#[test]
fn older_version_does_not_renew_the_lease() {
    let mut node = ready_node();
    beat(&mut node, 4_500, &routing(FIRST + 1, &["k"]));
    beat(&mut node, 8_000, &routing(FIRST, &["k"]));
    let refused = refusal(&arrive(&mut node, 9_010, "/read/x", key("k"))).unwrap();
    assert_eq!(refused.reason, Reason::StaleCredentials);
}

fn not_sent(node: &mut Node, at_ms: u64) -> Vec<Effect> {
    run(node, at_ms, Event::Entry(entry::Event::NotSent(1, 1)))
}

/// The process may be suspended between the arrival and an attempt.
#[test]
fn attempt_after_a_suspension_needs_a_confirmation() {
    let mut node = ready_node();
    assert!(forwarded(&arrive(&mut node, 3_010, "/read/x", key("k"))).is_some());
    let effects = not_sent(&mut node, 20_000);
    assert!(forwarded(&effects).is_none());
    let refused = refusal(&effects).unwrap();
    assert_eq!(
        (refused.reason, refused.run),
        (Reason::StaleCredentials, RunState::NotRun)
    );
}

/// A new configuration may arrive between two attempts.
#[test]
fn attempt_after_the_key_was_withdrawn_is_not_sent() {
    let mut node = ready_node();
    assert!(forwarded(&arrive(&mut node, 3_010, "/read/x", key("k"))).is_some());
    beat(&mut node, 4_500, &routing(FIRST + 1, &["new"]));
    let effects = not_sent(&mut node, 4_510);
    assert!(forwarded(&effects).is_none());
    assert_eq!(refusal(&effects).unwrap().reason, Reason::UnknownCredential);
}

/// A change that keeps the key must not end requests in progress.
#[test]
fn attempt_after_another_change_is_sent() {
    let mut node = ready_node();
    assert!(forwarded(&arrive(&mut node, 3_010, "/read/x", key("k"))).is_some());
    beat(&mut node, 4_500, &routing(FIRST + 1, &["new", "k"]));
    assert!(forwarded(&not_sent(&mut node, 4_510)).is_some());
}

#[test]
fn requests_are_counted_by_how_they_were_identified() {
    let mut node = ready_node();
    for (path, credential) in [
        ("/read/x", key("k")),
        ("/open/x", Presented::Missing),
        ("/read/x", Presented::Missing),
        ("/read/x", Presented::Malformed),
        ("/read/x", key("K")),
    ] {
        arrive(&mut node, 3_010, path, credential);
    }
    arrive(&mut node, 60_000, "/read/x", key("k"));
    let counts = node.entry.credentials();
    let of_each = entry::CredentialCounts {
        identified: 1,
        anonymous: 1,
        missing: 1,
        malformed: 1,
        unknown: 1,
        unconfirmed: 1,
    };
    assert_eq!(counts, of_each);
}

/// The request is logged by debug output in places; the key must not appear there.
#[test]
fn debug_output_of_a_credential_has_no_key() {
    let presented = format!("{:?}", token("Token verysecret"));
    assert!(!presented.contains("verysecret"), "{presented}");
}
