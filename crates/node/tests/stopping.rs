//! Which requests an entry accepts during a graceful stop.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod one_daemon;
mod requests;
mod routed_entry;

use node::entry::{self, Reason, RunState};
use node::{Event, Node};
use routed_entry::{Place, forwarded, prepared_node, refusal, routed_request, run};
use std::time::Duration;
use test_case::test_case;

const PLACES: [Place; 1] = [("u1", "ams")];
/// Start of the stop, and the time at which it cuts off what is in progress.
const STOP_MS: u64 = 10_000;
const CUT_MS: u64 = 13_000;
/// Time left until the deadline of a request.
const LEFT_MS: u64 = 700;

fn stopping_node(cut_ms: Option<u64>) -> Node {
    let mut node = prepared_node(7, &PLACES);
    let until = cut_ms.map(Duration::from_millis);
    run(&mut node, STOP_MS, Event::Stop { until });
    node
}

/// Passes a request on to the entry whose body took until `at_ms`. Returns whether it is
/// forwarded; otherwise it is refused because of the stop, as not run.
fn is_accepted(node: &mut Node, received_ms: u64, at_ms: u64) -> bool {
    let mut request = routed_request(1, "/read/x", LEFT_MS);
    request.received_at = Duration::from_millis(received_ms);
    let effects = run(node, at_ms, Event::Entry(entry::Event::Arrived(request)));
    if forwarded(&effects).is_some() {
        return true;
    }
    let refused = refusal(&effects).unwrap();
    assert_eq!(refused.reason, Reason::Stopping);
    assert_eq!(refused.run, RunState::NotRun);
    false
}

/// Guards against uploads that were begun before the stop and refused after it, and against
/// ones that are passed on so late that they are cut off.
#[test_case(STOP_MS - 1, STOP_MS + 1, Some(CUT_MS) => true; "begun before the stop")]
#[test_case(STOP_MS - 1, CUT_MS + 1, None => true; "begun before a stop without limit")]
#[test_case(STOP_MS, STOP_MS + 1, Some(CUT_MS) => false; "begun after the stop")]
#[test_case(STOP_MS - 1, CUT_MS - LEFT_MS, Some(CUT_MS) => true; "deadline when the stop ends")]
#[test_case(STOP_MS - 1, CUT_MS - LEFT_MS + 1, Some(CUT_MS) => false; "deadline after the stop")]
#[test_case(STOP_MS - 1, CUT_MS - 1, Some(CUT_MS) => false; "complete only when the stop ends")]
fn stopping_entry_accepts_request(received_ms: u64, at_ms: u64, cut_ms: Option<u64>) -> bool {
    is_accepted(&mut stopping_node(cut_ms), received_ms, at_ms)
}
