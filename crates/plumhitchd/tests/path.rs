//! The whole path through real daemons.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::{Pair, until};
use test_case::test_case;
use tokio::task::JoinHandle;

const MB: usize = 1024 * 1024;
/// Most memory that a daemon may use while it passes big bodies on.
const MEMORY_BOUND: usize = 60 * MB;

/// Returns the memory that a process has used at most, in bytes.
fn peak_memory(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM")).unwrap();
    let kb: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb * 1024
}

/// Returns a body of `pieces` of 64 KB and what the upstream will say of it.
fn big_body(pieces: usize) -> (reqwest::Body, String) {
    let bytes: Vec<Bytes> = (0..pieces)
        .map(|i| Bytes::from(vec![(i % 251) as u8; 64 * 1024]))
        .collect();
    let sum = bytes.iter().flatten().fold(0_u64, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(u64::from(*b))
    });
    let said = format!("{} {sum}", pieces * 64 * 1024);
    let body = stream::iter(bytes.into_iter().map(Ok::<_, std::io::Error>));
    (reqwest::Body::wrap_stream(body), said)
}

/// Sends a request on which its upstream works for a while, and waits until it
/// has begun.
async fn slow_call(pair: &Pair) -> JoinHandle<reqwest::Result<reqwest::Response>> {
    let before = pair.seen.begun.load(Ordering::SeqCst);
    let call = tokio::spawn(pair.request("GET", "/slow").send());
    until("the request", async || {
        pair.seen.begun.load(Ordering::SeqCst) > before
    })
    .await;
    call
}

#[tokio::test(flavor = "multi_thread")]
async fn request_comes_back_whole() {
    let pair = Pair::start("", "").await;
    let res = pair
        .request("POST", "/echo?a=%20b")
        .header("x-mine", "yes")
        .header("x-hop", "no")
        .header("connection", "x-hop")
        .body("hello")
        .send()
        .await
        .unwrap();
    assert_eq!(res.status(), 200);
    assert_eq!(res.headers()["got-x-mine"], "yes");
    assert_eq!(res.headers()["got-plumhitch-depth"], "2");
    assert!(res.headers().contains_key("got-plumhitch-deadline-ms"));
    assert!(!res.headers().contains_key("got-x-hop"));
    assert!(res.text().await.unwrap().starts_with("5 "));
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_without_body_stays_empty() {
    let pair = Pair::start("", "").await;
    let res = pair.request("GET", "/gone").send().await.unwrap();
    assert_eq!(res.status(), 404);
    assert_eq!(res.bytes().await.unwrap().len(), 0);
    let res = pair.request("HEAD", "/ready").send().await.unwrap();
    assert_eq!(res.status(), 200);
    assert_eq!(res.headers()["content-length"], "2");
}

#[tokio::test(flavor = "multi_thread")]
async fn upload_big_is_passed_on_in_bounded_memory() {
    let pair = Pair::start("", "").await;
    let (body, said) = big_body(80 * MB / (64 * 1024));
    let res = pair.request("POST", "/echo").body(body).send().await;
    assert_eq!(res.unwrap().text().await.unwrap(), said);
    for daemon in [&pair.entry, &pair.gate] {
        let peak = peak_memory(daemon.child.id());
        assert!(peak < MEMORY_BOUND, "{peak} bytes");
    }
}

#[test_case(true; "announced")]
#[test_case(false; "chunked")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_big_is_passed_on_in_bounded_memory(announced: bool) {
    let pair = Pair::start("", "").await;
    let len = 80 * MB + 7;
    let path = format!("/big?len={len}&announced={announced}");
    let mut res = pair.request("GET", &path).send().await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut got = 0;
    while let Some(bytes) = res.chunk().await.unwrap() {
        let first = got / (64 * 1024) % 251;
        assert_eq!(usize::from(bytes[0]), first, "at {got}");
        got += bytes.len();
    }
    assert_eq!(got, len);
    for daemon in [&pair.entry, &pair.gate] {
        let peak = peak_memory(daemon.child.id());
        assert!(peak < MEMORY_BOUND, "{peak} bytes");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn upload_stalled_does_not_block_its_neighbours() {
    let pair = Pair::start("", "[gate]\ncold-slots = 6\n").await;
    let pieces = stream::iter(0..16).then(|i| async move {
        if i == 8 {
            std::future::pending::<()>().await;
        }
        Ok::<_, std::io::Error>(Bytes::from(vec![1; 64 * 1024]))
    });
    let body = reqwest::Body::wrap_stream(pieces);
    let upload = tokio::spawn(pair.request("POST", "/echo").body(body).send());
    until("the upload", async || {
        pair.seen.read.load(Ordering::SeqCst) > 0
    })
    .await;
    let begun = Instant::now();
    for _ in 0..20 {
        let res = pair.request("GET", "/ready").send().await.unwrap();
        assert_eq!(res.status(), 200);
    }
    assert!(begun.elapsed() < Duration::from_secs(5));
    upload.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_broken_off_is_never_whole() {
    let pair = Pair::start("", "").await;
    let res = pair
        .request("GET", "/short?len=300000")
        .send()
        .await
        .unwrap();
    assert_eq!(res.status(), 200);
    assert!(res.bytes().await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_broken_off_while_held_may_have_run() {
    let pair = Pair::start("", "").await;
    let res = pair.request("GET", "/short?len=1000").send().await.unwrap();
    assert!(res.status().is_server_error(), "{}", res.status());
    assert_eq!(res.headers()["plumhitch-run"], "may-have-run");
    assert!(res.headers().contains_key("plumhitch-reason"));
}

/// A peer that owes an answer and is silent is asked for a sign of life; the
/// caller need not wait for its deadline of 30 s.
#[tokio::test(flavor = "multi_thread")]
async fn gate_silent_is_given_up_long_before_the_deadline() {
    let pair = Pair::start("", "").await;
    let call = slow_call(&pair).await;
    pair.gate.signal("STOP");
    let begun = Instant::now();
    let res = call.await.unwrap().unwrap();
    assert!(begun.elapsed() < Duration::from_secs(15));
    assert!(res.status().is_server_error(), "{}", res.status());
    assert_eq!(res.headers()["plumhitch-run"], "may-have-run");
}

/// A gate that gives signs of life is not given up while its upstream works.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_slow_behind_a_gate_that_lives_is_waited_for() {
    let pair = Pair::start("", "").await;
    let res = pair.request("GET", "/slow").send().await.unwrap();
    assert_eq!(res.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_gone_cancels_at_the_upstream() {
    let pair = Pair::start("", "").await;
    let call = slow_call(&pair).await;
    call.abort();
    until("the cancellation", async || {
        pair.seen.cancelled.load(Ordering::SeqCst) == 1
    })
    .await;
}
