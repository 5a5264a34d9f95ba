//! Entries that take the response of a gate late or not at all.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use futures_util::{SinkExt, StreamExt};
use support::{Pair, wait_until};
use test_case::test_case;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use wire::{Body, Cancel, Credit, Frame, FrameCodec, Hello, LinkKind, Open, PROTOCOL_VERSION};

/// Stream of the only request.
const STREAM: u64 = 1;
/// Length of a body that gates buffer and do not send with the head, in bytes.
const BODY_BYTES: usize = 30_000;
/// Credit for a part of it, in bytes.
const CREDIT_BYTES: u32 = 5_000;
/// Length of a body that gates do not buffer, and credit for its first part, in bytes.
const LONG_BODY_BYTES: usize = 1024 * 1024;
const LONG_CREDIT_BYTES: u32 = 200_000;
/// Deadline of the request.
const DEADLINE_MS: u64 = 60_000;

/// How an entry goes away.
#[derive(Clone, Copy, PartialEq)]
enum Departure {
    /// It cancels the request.
    Cancel,
    /// Its connection closes.
    Close,
}

/// Returns the bytes that a gate holds for responses.
async fn held_bytes(pair: &Pair) -> u64 {
    let url = format!("http://{}/metrics", pair.gate.operators);
    let text = pair.client.get(url).send().await.unwrap();
    let text = text.text().await.unwrap();
    let is_held = |l: &&str| l.contains("gate_responses") && l.contains("\"held\"");
    let line = text.lines().find(is_held).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

async fn send(frames: &mut Framed<TcpStream, FrameCodec>, body: Body) {
    frames.send(Frame::new(body)).await.unwrap();
}

/// Sends a gate a request for a response with a body of `len` bytes, as an entry that grants
/// `credit` bytes for it, and waits for its head.
async fn request_response(pair: &Pair, len: usize, credit: u32) -> Framed<TcpStream, FrameCodec> {
    let stream = TcpStream::connect(pair.gate.peers).await.unwrap();
    let mut frames = Framed::new(stream, FrameCodec::new());
    let hello = Hello {
        version: PROTOCOL_VERSION,
        daemon: "entry-2".to_owned(),
        kind: LinkKind::Data.into(),
    };
    send(&mut frames, Body::Hello(hello)).await;
    let open = Open {
        stream: STREAM,
        service: "booking".to_owned(),
        customer: "tc-utrecht".to_owned(),
        class: "page".to_owned(),
        method: "GET".to_owned(),
        path: format!("/big?len={len}&content_length=true"),
        deadline_ms: DEADLINE_MS,
        idempotent: true,
        end: true,
        weight: 10,
        ..Open::default()
    };
    send(&mut frames, Body::Open(open)).await;
    if credit > 0 {
        let credit = Credit {
            stream: STREAM,
            bytes: credit,
        };
        send(&mut frames, Body::Credit(credit)).await;
    }
    while let Some(frame) = frames.next().await {
        match frame.unwrap().body {
            Some(Body::Response(head)) => {
                assert_eq!(head.status, 200);
                return frames;
            }
            Some(Body::Refuse(refuse)) => panic!("{refuse:?}"),
            _ => {}
        }
    }
    panic!("the connection closed before the response");
}

/// Guards against a complete response that stays in the memory of a gate for good: while it
/// waited for credit, the gate did not notice that the entry no longer wanted it.
#[test_case(Departure::Cancel, 0; "cancelled without credit")]
#[test_case(Departure::Close, 0; "closed without credit")]
#[test_case(Departure::Cancel, CREDIT_BYTES; "cancelled with little credit")]
#[tokio::test(flavor = "multi_thread")]
async fn unwanted_response_is_dropped(departure: Departure, credit: u32) {
    let pair = Pair::start("", "").await;
    let mut frames = request_response(&pair, BODY_BYTES, credit).await;
    wait_until("the response waits", async || held_bytes(&pair).await > 0).await;
    match departure {
        Departure::Cancel => send(&mut frames, Body::Cancel(Cancel { stream: STREAM })).await,
        Departure::Close => drop(frames),
    }
    wait_until("its memory is given back", async || {
        held_bytes(&pair).await == 0
    })
    .await;
}

/// Guards against long responses that use up the memory of a gate on paper: it counted the
/// first part of each to its end, although the part had been sent.
#[tokio::test(flavor = "multi_thread")]
async fn sent_part_of_long_response_is_not_counted() {
    let pair = Pair::start("", "").await;
    let mut frames = request_response(&pair, LONG_BODY_BYTES, LONG_CREDIT_BYTES).await;
    let mut received = 0;
    while received < LONG_CREDIT_BYTES as usize {
        let frame = frames.next().await.unwrap().unwrap();
        if let Some(Body::Data(data)) = frame.body {
            assert!(!data.end);
            received += data.bytes.len();
        }
    }
    assert_eq!(held_bytes(&pair).await, 0);
}
