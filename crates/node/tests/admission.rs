//! Decisions of a gate on offered requests and on announcements of its upstream.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod one_daemon;

use node::admission::{self, Arrival};
use node::{Event, Node};
use one_daemon::{admit, configured, run};
use std::time::Duration;
use test_case::test_case;
use wire::{Announcement, RefuseReason, Restriction};

const SLOTS: u32 = 2;

/// Returns a daemon beside an upstream with [`SLOTS`] slots and no queue.
fn gate() -> Node {
    gate_with_queue(0.0)
}

fn gate_with_queue(queue_ratio: f64) -> Node {
    let mut settings = one_daemon::settings("booking-1");
    settings.gate.isolate_suspects = false;
    settings.gate.cold_slots = SLOTS;
    settings.gate.queue_ratio = queue_ratio;
    let mut node = configured(settings);
    announce(&mut node, 2, 100, 1);
    node
}

fn announcement(incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        service: "booking".into(),
        slots: SLOTS,
        boot: format!("b{incarnation}"),
        incarnation,
        sequence,
        ..Announcement::default()
    }
}

/// Announces a start of the upstream; returns whether it is the known one then.
fn announce(node: &mut Node, at_ms: u64, incarnation: u64, sequence: u64) -> bool {
    let announced = admission::Event::Announced(announcement(incarnation, sequence));
    admit(node, at_ms, announced);
    let known = node.admission.announced();
    known.is_some_and(|a| (a.incarnation, a.sequence) == (incarnation, sequence))
}

fn arrival(ticket: u64) -> Arrival {
    Arrival {
        ticket,
        link: 1,
        believed_slow_percent: 0,
        service: "booking".into(),
        customer: "".into(),
        class: "upload".into(),
        deadline: Duration::from_secs(2),
        fingerprint: ticket,
        claim: 0,
        idempotent: false,
        weight: 1,
        objective: None,
        is_call: false,
        suspected: false,
    }
}

/// Returns the effect that sends a request to the present start of the upstream.
fn run_effect(node: &Node, ticket: u64) -> admission::Effect {
    let start = node.admission.upstream_start();
    admission::Effect::Run { ticket, start }
}

fn refused(effects: &[admission::Effect]) -> Option<RefuseReason> {
    effects.iter().find_map(|effect| match effect {
        admission::Effect::Refuse { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Load pattern: uploads over slow links. The gate asks for a body only if it would
/// admit the request, and the request takes a slot once its body is complete.
#[test]
fn offered_request_takes_no_slot_before_its_body_is_complete() {
    let mut node = gate();
    for ticket in 1..=3 {
        let effects = admit(&mut node, 10, admission::Event::Offered(arrival(ticket)));
        assert_eq!(effects, [admission::Effect::Receive(ticket)]);
    }
    assert_eq!(node.admission.load().in_flight, 0);
    for ticket in 1..=2 {
        let effects = admit(&mut node, 200, admission::Event::Arrived(arrival(ticket)));
        assert_eq!(effects, [run_effect(&node, ticket)]);
    }
}

#[test]
fn offered_request_is_refused_without_its_body_if_there_is_no_room() {
    let mut node = gate();
    for ticket in 1..=u64::from(SLOTS) {
        admit(&mut node, 10, admission::Event::Arrived(arrival(ticket)));
    }
    let effects = admit(&mut node, 20, admission::Event::Offered(arrival(9)));
    assert!(matches!(
        refused(&effects),
        Some(RefuseReason::NoSlot | RefuseReason::Cold)
    ));
}

#[test]
fn offered_request_for_another_service_is_refused_without_its_body() {
    let other = Arrival {
        service: "club".into(),
        ..arrival(1)
    };
    let effects = admit(&mut gate(), 10, admission::Event::Offered(other));
    assert_eq!(refused(&effects), Some(RefuseReason::NoUpstream));
}

#[test]
fn offered_request_is_refused_without_its_body_during_a_stop() {
    let mut node = gate();
    run(&mut node, 10, Event::Stop { until: None });
    let effects = admit(&mut node, 20, admission::Event::Offered(arrival(1)));
    assert_eq!(refused(&effects), Some(RefuseReason::Stopping));
}

/// The time of day is set back between two starts of an upstream, so that the later
/// start has the lower number.
#[test_case(4_999, false; "the known start may still be alive")]
#[test_case(5_000, true; "the known start has been silent")]
fn announced_start_with_a_lower_number_is_accepted_after_silence(silent_ms: u64, accepted: bool) {
    let mut node = gate();
    assert!(announce(&mut node, 1_000, 100, 2));
    assert_eq!(announce(&mut node, 1_000 + silent_ms, 40, 1), accepted);
}

/// A delayed announcement must not replace a start that is alive.
#[test]
fn announced_start_with_a_lower_number_is_ignored_while_the_known_one_is_alive() {
    let mut node = gate();
    for sequence in 2..10 {
        let at_ms = 1_000 + sequence * 1_500;
        assert!(announce(&mut node, at_ms, 100, sequence));
        assert!(!announce(&mut node, at_ms + 1_400, 40, sequence));
    }
}

/// Announcements of one start that overtake each other keep their order, however long
/// they take.
#[test]
fn announced_sequence_never_goes_back() {
    let mut node = gate();
    assert!(announce(&mut node, 1_000, 100, 5));
    assert!(!announce(&mut node, 60_000, 100, 4));
}

/// Returns what a response states.
fn stating(rate_milli: Option<u64>, leaving: bool) -> admission::ReadStatement {
    admission::ReadStatement {
        statement: gate::Statement {
            rate_milli,
            leaving,
            cold_remaining: None,
        },
        unusable: Vec::new(),
    }
}

/// Returns what the gate tells an entry about the upstream that stated this.
fn told(node: &mut Node, statement: admission::ReadStatement) -> Restriction {
    let effects = admit(node, 10, admission::Event::Arrived(arrival(1)));
    assert_eq!(effects, [run_effect(node, 1)]);
    admit(node, 20, admission::Event::ResponseStarted(1, statement));
    let now = Duration::from_millis(20);
    node.admission.restriction_to_send(now, false).unwrap()
}

/// Guards against a gate that has started again and sends requests to an upstream that
/// told its predecessor that it is leaving.
#[test]
fn restarted_gate_learns_from_an_entry_that_the_upstream_leaves() {
    let known = told(&mut gate(), stating(None, true));
    let mut restarted = gate();
    admit(&mut restarted, 30, admission::Event::Informed(known));
    let effects = admit(&mut restarted, 30, admission::Event::Arrived(arrival(2)));
    assert_eq!(refused(&effects), Some(RefuseReason::Leaving));
    let next_start = Restriction {
        start: known.start + 1,
        ..known
    };
    let mut other = gate();
    admit(&mut other, 30, admission::Event::Informed(next_start));
    let effects = admit(&mut other, 30, admission::Event::Arrived(arrival(2)));
    assert_eq!(effects, [run_effect(&other, 2)]);
}

/// Guards against a gate that has started again and sends as much as if its predecessor
/// had sent nothing.
#[test]
fn restarted_gate_begins_with_a_rate_that_is_used_up() {
    let known = told(&mut gate(), stating(Some(2_000), false));
    let mut restarted = gate();
    admit(&mut restarted, 30, admission::Event::Informed(known));
    let effects = admit(&mut restarted, 30, admission::Event::Arrived(arrival(2)));
    assert_eq!(refused(&effects), Some(RefuseReason::Limited));
    let effects = admit(&mut restarted, 540, admission::Event::Arrived(arrival(3)));
    assert_eq!(effects, [run_effect(&restarted, 3)]);
}

/// Guards against an entry that keeps to a rate which the upstream no longer states.
#[test]
fn entry_that_knows_a_rate_is_told_of_its_end() {
    let mut node = gate();
    let known = told(&mut node, stating(Some(2_000), false));
    assert_eq!(known.rate_milli, Some(2_000));
    admit(&mut node, 600, admission::Event::Arrived(arrival(2)));
    admit(
        &mut node,
        700,
        admission::Event::ResponseStarted(2, stating(None, false)),
    );
    let told = node
        .admission
        .restriction_to_send(Duration::from_millis(700), true);
    let told = told.unwrap();
    assert_eq!(
        (told.rate_milli, told.leaving, told.pause_ms),
        (None, false, 0)
    );
}

/// Guards against requests that wait in the queue of an upstream that is leaving until
/// their time is up.
#[test_case(true; "stated in a response")]
#[test_case(false; "announced")]
fn waiting_requests_are_refused_at_once_when_the_upstream_leaves(stated: bool) {
    let mut node = gate_with_queue(1.0);
    for ticket in 1..=3 {
        admit(&mut node, 10, admission::Event::Arrived(arrival(ticket)));
    }
    let event = match stated {
        true => admission::Event::ResponseStarted(1, stating(None, true)),
        false => admission::Event::Announced(Announcement {
            leaving: true,
            ..announcement(100, 2)
        }),
    };
    let effects = admit(&mut node, 11, event);
    assert_eq!(
        refused(&effects),
        Some(RefuseReason::Leaving),
        "{effects:?}"
    );
}

/// Guards against announcements of the upstream that bring it back to the fleet although
/// its responses state that it is leaving.
#[test]
fn stated_leaving_is_announced_to_the_fleet() {
    let mut node = gate();
    told(&mut node, stating(None, true));
    announce(&mut node, 100, 100, 2);
    assert!(node.admission.announced().unwrap().leaving);
    assert!(announce(&mut node, 200, 101, 1));
    assert!(!node.admission.announced().unwrap().leaving);
}

/// Guards against an upstream that has deregistered and is brought back by an announcement
/// that was sent before and has a higher number than the gate knew then (review/3).
#[test_case(100, 9, false; "late_announcement")]
#[test_case(200, 1, true; "next_start")]
fn announced_after_deregistration_by_start(incarnation: u64, sequence: u64, counts: bool) {
    let mut node = gate();
    let deregistration = Announcement {
        leaving: true,
        deregistered: true,
        ..announcement(100, 2)
    };
    admit(&mut node, 10, admission::Event::Announced(deregistration));
    assert_eq!(announce(&mut node, 20, incarnation, sequence), counts);
    let effects = admit(&mut node, 30, admission::Event::Arrived(arrival(1)));
    assert_eq!(refused(&effects) == Some(RefuseReason::Leaving), !counts);
}
