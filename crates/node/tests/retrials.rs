//! Convicted requests that may run once more, at the entry: they are sent to the daemon
//! that control names, and only for as long as its offer holds.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod one_daemon;
mod requests;
mod routed_entry;

use node::entry::{Reason, RunState};
use node::{Effect, Event, Node};
use routed_entry::{arrive, forwarded, ready_node, refusal, run};
use test_case::test_case;
use wire::{Body, HeartbeatReply, RequestId, SuspectState, Verdict};

/// Id of the convicted request, which is its fingerprint too.
const CONVICTED: RequestId = 1;
/// When the daemon sends the heartbeat whose reply convicts, in milliseconds.
const HEARTBEAT_MS: u64 = 4_500;

/// Returns a daemon whose newest heartbeat reply, received `delay_ms` after the heartbeat
/// was sent, convicts the request and offers it to a daemon.
fn node_with_offer(only_at: &str, delay_ms: u64) -> Node {
    let mut node = ready_node();
    let effects = run(&mut node, HEARTBEAT_MS, Event::Tick { unix_ms: 0 });
    let sequence = effects.iter().find_map(|effect| match effect {
        Effect::Send {
            body: Body::Heartbeat(heartbeat),
            ..
        } => Some(heartbeat.sequence),
        _ => None,
    });
    let state = SuspectState {
        fingerprint: CONVICTED,
        verdict: Verdict::Convicted.into(),
        only_at: only_at.to_owned(),
        expires_ms: 600_000,
        since_ms: Some(10_000),
        ..SuspectState::default()
    };
    let reply = HeartbeatReply {
        sequence: sequence.unwrap(),
        confirmed: true,
        config_version: 2,
        convicted: vec![state],
        term: 1,
        ..HeartbeatReply::default()
    };
    let received = Event::Received {
        link: None,
        daemon: "control-1".into(),
        body: Body::HeartbeatReply(reply),
    };
    run(&mut node, HEARTBEAT_MS + delay_ms, received);
    node
}

fn send_convicted(node: &mut Node, at_ms: u64) -> Vec<Effect> {
    arrive(node, at_ms, CONVICTED, "/read/x")
}

/// Guards against a retrial at another upstream than the one that control watches.
#[test]
fn convicted_request_is_sent_to_the_daemon_that_may_run_it() {
    let mut node = node_with_offer("u2", 1);
    let attempt = forwarded(&send_convicted(&mut node, HEARTBEAT_MS + 10)).unwrap();
    assert_eq!(attempt.upstream, "u2");
}

/// Guards against retrials without an offer, and by an offer that the daemon holds for
/// longer than control counts on, as after a suspension or a delayed reply.
#[test_case("", 1, 10; "no offer")]
#[test_case("u2", 1, 1_000; "old offer")]
#[test_case("u2", 1_200, 1_210; "late reply")]
#[test_case("gone", 1, 10; "unknown upstream")]
fn convicted_request_is_refused(only_at: &str, delay_ms: u64, after_ms: u64) {
    let mut node = node_with_offer(only_at, delay_ms);
    let effects = send_convicted(&mut node, HEARTBEAT_MS + after_ms);
    assert!(forwarded(&effects).is_none());
    let refusal = refusal(&effects).unwrap();
    assert_eq!(refusal.run, RunState::NotRun);
    if only_at != "gone" {
        assert_eq!(refusal.reason, Reason::Convicted);
    }
}
