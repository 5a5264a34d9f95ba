//! Frames of requests and bodies that share a connection over a slow link.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use flow::SendQueue;
use std::time::Duration;
use test_case::test_case;
use wire::{Body, Cancel, Data, Open, Ping, Refuse, Reset, ResponseHead};

const START: Duration = Duration::from_secs(100);

fn data(stream: u64, offset: u64) -> Body {
    Body::Data(Data {
        stream,
        offset,
        bytes: Bytes::from_static(b"body"),
        end: false,
        load: None,
    })
}

fn open(stream: u64, deadline_ms: u64, objective_ms: u64) -> Body {
    Body::Open(Open {
        stream,
        deadline_ms,
        objective_ms,
        ..Open::default()
    })
}

fn refuse(stream: u64) -> Body {
    Body::Refuse(Refuse {
        stream,
        ..Refuse::default()
    })
}

fn pop_all(queue: &mut SendQueue, now: Duration) -> Vec<Body> {
    std::iter::from_fn(|| queue.pop(now)).collect()
}

#[test_case(Body::Ping(Ping {}); "ping")]
#[test_case(open(2, 500, 0); "request")]
#[test_case(refuse(2); "refusal")]
#[test_case(Body::Response(ResponseHead { stream: 2, ..ResponseHead::default() }); "response")]
#[test_case(Body::Cancel(Cancel { stream: 2 }); "cancel")]
fn pop_small_frame_overtakes_the_body_of_another_request(small: Body) {
    let mut queue = SendQueue::default();
    queue.push(START, data(1, 0));
    queue.push(START, data(1, 4));
    queue.push(START, small.clone());
    let sent = pop_all(&mut queue, START);
    assert_eq!(sent, [small, data(1, 0), data(1, 4)]);
    assert!(queue.is_empty());
}

#[test]
fn pop_frames_of_one_stream_stay_in_order() {
    let mut queue = SendQueue::default();
    let frames = [open(1, 500, 0), data(1, 0), data(1, 4), data(1, 8)];
    for frame in &frames {
        queue.push(START, frame.clone());
    }
    assert_eq!(pop_all(&mut queue, START), frames);
}

#[test_case(Body::Cancel(Cancel { stream: 1 }); "cancelled by the entry")]
#[test_case(Body::Reset(Reset { stream: 1, ..Reset::default() }); "reset by the gate")]
fn push_end_of_a_stream_discards_its_pieces(end: Body) {
    let mut queue = SendQueue::default();
    queue.push(START, data(1, 0));
    queue.push(START, data(2, 0));
    queue.push(START, end.clone());
    assert_eq!(pop_all(&mut queue, START), [end, data(2, 0)]);
}

#[test_case(0, 500, 300; "sent at once")]
#[test_case(200, 300, 100; "queued while the connection is dialled")]
#[test_case(400, 100, 1; "the objective is missed, but there is one")]
#[test_case(900, 0, 1; "the deadline has passed")]
fn pop_request_states_the_time_that_is_left(waited_ms: u64, deadline_ms: u64, objective_ms: u64) {
    let mut queue = SendQueue::default();
    queue.push(START, open(1, 500, 300));
    let sent = queue.pop(START + Duration::from_millis(waited_ms));
    assert_eq!(sent, Some(open(1, deadline_ms, objective_ms)));
}

#[test]
fn pop_request_without_objective_gets_none() {
    let mut queue = SendQueue::default();
    queue.push(START, open(1, 500, 0));
    let sent = queue.pop(START + Duration::from_millis(100));
    assert_eq!(sent, Some(open(1, 400, 0)));
}
