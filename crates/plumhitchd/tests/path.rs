//! Requests through an entry, a gate and an upstream, with real daemons.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::{Pair, wait_until};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const MB: usize = 1024 * 1024;
/// Maximum memory of a daemon while it forwards large bodies.
const MEMORY_BOUND: usize = 60 * MB;

/// Returns the peak resident memory of a process in bytes.
fn peak_memory(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM")).unwrap();
    let kb: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb * 1024
}

/// Returns a body of `chunks` of 64 KB and the expected response of the upstream.
fn large_body(chunks: usize) -> (reqwest::Body, String) {
    let bytes: Vec<Bytes> = (0..chunks)
        .map(|i| Bytes::from(vec![(i % 251) as u8; 64 * 1024]))
        .collect();
    let sum = bytes.iter().flatten().fold(0_u64, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(u64::from(*b))
    });
    let expected = format!("{} {sum}", chunks * 64 * 1024);
    let body = stream::iter(bytes.into_iter().map(Ok::<_, std::io::Error>));
    (reqwest::Body::wrap_stream(body), expected)
}

/// Sends a request with a long service time and waits until the upstream has
/// started it.
async fn slow_call(pair: &Pair) -> JoinHandle<reqwest::Result<reqwest::Response>> {
    let before = pair.upstream_stats.started.load(Ordering::SeqCst);
    let call = tokio::spawn(pair.request("GET", "/slow").send());
    wait_until("slow request starts", async || {
        pair.upstream_stats.started.load(Ordering::SeqCst) > before
    })
    .await;
    call
}

#[tokio::test(flavor = "multi_thread")]
async fn request_and_response_are_forwarded_without_hop_by_hop_headers() {
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
async fn response_without_body_stays_empty() {
    let pair = Pair::start("", "").await;
    let res = pair.request("GET", "/gone").send().await.unwrap();
    assert_eq!(res.status(), 404);
    assert_eq!(res.bytes().await.unwrap().len(), 0);
    let res = pair.request("HEAD", "/ready").send().await.unwrap();
    assert_eq!(res.status(), 200);
    assert_eq!(res.headers()["content-length"], "2");
}

#[tokio::test(flavor = "multi_thread")]
async fn large_upload_is_forwarded_in_bounded_memory() {
    let pair = Pair::start("", "").await;
    let (body, expected) = large_body(80 * MB / (64 * 1024));
    let res = pair.request("POST", "/echo").body(body).send().await;
    assert_eq!(res.unwrap().text().await.unwrap(), expected);
    for daemon in [&pair.entry, &pair.gate] {
        let peak = peak_memory(daemon.child.id());
        assert!(peak < MEMORY_BOUND, "peak memory of {peak} bytes");
    }
}

#[test_case(true; "with content-length")]
#[test_case(false; "chunked")]
#[tokio::test(flavor = "multi_thread")]
async fn large_response_is_forwarded_in_bounded_memory(content_length: bool) {
    let pair = Pair::start("", "").await;
    let len = 80 * MB + 7;
    let path = format!("/big?len={len}&content_length={content_length}");
    let mut res = pair.request("GET", &path).send().await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut received = 0;
    while let Some(bytes) = res.chunk().await.unwrap() {
        let first = received / (64 * 1024) % 251;
        assert_eq!(usize::from(bytes[0]), first, "at {received}");
        received += bytes.len();
    }
    assert_eq!(received, len);
    for daemon in [&pair.entry, &pair.gate] {
        let peak = peak_memory(daemon.child.id());
        assert!(peak < MEMORY_BOUND, "peak memory of {peak} bytes");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_upload_does_not_block_other_requests() {
    let pair = Pair::start("", "[gate]\ncold-slots = 6\n").await;
    let chunks = stream::iter(0..16).then(|i| async move {
        if i == 8 {
            std::future::pending::<()>().await;
        }
        Ok::<_, std::io::Error>(Bytes::from(vec![1; 64 * 1024]))
    });
    let body = reqwest::Body::wrap_stream(chunks);
    let upload = tokio::spawn(pair.request("POST", "/echo").body(body).send());
    wait_until("upstream reads the upload", async || {
        pair.upstream_stats.body_bytes_read.load(Ordering::SeqCst) > 0
    })
    .await;
    let start = Instant::now();
    for _ in 0..20 {
        let res = pair.request("GET", "/ready").send().await.unwrap();
        assert_eq!(res.status(), 200);
    }
    assert!(start.elapsed() < Duration::from_secs(5));
    upload.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_never_complete() {
    let pair = Pair::start("", "").await;
    let res = pair
        .request("GET", "/short?len=300000")
        .send()
        .await
        .unwrap();
    assert_eq!(res.status(), 200);
    assert!(res.bytes().await.is_err());
}

/// Sends a GET request of a caller that knows no chunks; reads until the connection ends.
async fn get_with_http_1_0(pair: &Pair, path: &str) -> (String, std::io::Result<()>) {
    let mut stream = TcpStream::connect(pair.entry.callers).await.unwrap();
    let request = format!(
        "GET {path} HTTP/1.0\r\nplumhitch-customer: tc-utrecht\r\n\
         plumhitch-service: booking\r\nplumhitch-class: page\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received).await;
    let text = String::from_utf8_lossy(&received).into_owned();
    (text, read.map(|_| ()))
}

/// Guards against a response of unknown length that breaks off and looks complete to a
/// caller of HTTP/1.0, which takes the end of the connection for the end of the body.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_reset_for_http_1_0() {
    let pair = Pair::start("", "").await;
    let (_, read) = get_with_http_1_0(&pair, "/short?len=300000").await;
    assert!(read.is_err(), "the connection was closed in order");
}

#[tokio::test(flavor = "multi_thread")]
async fn response_of_unknown_length_has_no_chunks_for_http_1_0() {
    let pair = Pair::start("", "").await;
    let (text, read) = get_with_http_1_0(&pair, "/big?len=300000").await;
    assert!(read.is_ok());
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(!head.contains("transfer-encoding"), "{head}");
    // Bytes above 127 are no valid text, and each is replaced by three bytes.
    assert!(body.len() >= 300_000, "{}", body.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn response_truncated_while_buffered_may_have_run() {
    let pair = Pair::start("", "").await;
    let res = pair.request("GET", "/short?len=1000").send().await.unwrap();
    assert!(res.status().is_server_error(), "{}", res.status());
    assert_eq!(res.headers()["plumhitch-run"], "may-have-run");
    assert!(res.headers().contains_key("plumhitch-reason"));
}

/// Guards against waiting for the deadline of 30 s when a gate freezes: a silent
/// peer with open requests is pinged, and the requests fail if no reply arrives.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_gate_is_detected_long_before_the_deadline() {
    let pair = Pair::start("", "").await;
    let call = slow_call(&pair).await;
    pair.gate.signal("STOP");
    let start = Instant::now();
    let res = call.await.unwrap().unwrap();
    assert!(start.elapsed() < Duration::from_secs(15));
    assert!(res.status().is_server_error(), "{}", res.status());
    assert_eq!(res.headers()["plumhitch-run"], "may-have-run");
}

/// A gate does not run a request before it has the complete body. If its connection
/// fails before that, the request has not run, and the response says so.
#[tokio::test(flavor = "multi_thread")]
async fn upload_to_a_frozen_gate_is_reported_as_not_run() {
    let pair = Pair::start("[limits]\nheld-size = 1 MB\n", "").await;
    let started = || pair.upstream_stats.started.load(Ordering::SeqCst);
    let before = started();
    pair.gate.signal("STOP");
    let upload = pair.request("POST", "/echo").body(vec![7; 300 * 1024]);
    let res = upload.send().await.unwrap();
    assert_eq!(res.status(), 503);
    assert_eq!(res.headers()["plumhitch-run"], "not-run");

    pair.gate.signal("CONT");
    wait_until("the gate serves again", async || {
        let sent = pair.request("GET", "/ready").send().await;
        sent.is_ok_and(|res| res.status().is_success())
    })
    .await;
    // Only the probes for `/ready` that reached the upstream have run.
    let bodies = pair.upstream_stats.body_bytes_read.load(Ordering::SeqCst);
    assert_eq!(bodies, 0);
    assert!(started() > before);
}

/// A gate that replies to pings is not treated as failed while its upstream works.
#[tokio::test(flavor = "multi_thread")]
async fn slow_upstream_behind_a_responsive_gate_is_awaited() {
    let pair = Pair::start("", "").await;
    let res = pair.request("GET", "/slow").send().await.unwrap();
    assert_eq!(res.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_at_the_upstream() {
    let pair = Pair::start("", "").await;
    let call = slow_call(&pair).await;
    call.abort();
    wait_until("cancellation reaches the upstream", async || {
        pair.upstream_stats.cancelled.load(Ordering::SeqCst) == 1
    })
    .await;
}

/// Guards against running work that is given up because its machine was only silent for a
/// while: the response is delivered, though late.
#[test_case("page"; "request that may run twice")]
#[test_case("reservation"; "request that must not run twice")]
#[tokio::test(flavor = "multi_thread")]
async fn response_of_a_gate_that_was_frozen_for_a_while_is_delivered(class: &'static str) {
    let pair = Pair::start("", "").await;
    let started = pair.upstream_stats.started.load(Ordering::SeqCst);
    let request = pair
        .request("POST", "/slow")
        .header("idempotency-key", "frozen");
    let mut request = request.build().unwrap();
    request
        .headers_mut()
        .insert("plumhitch-class", class.parse().unwrap());
    let call = tokio::spawn(pair.client.execute(request));
    wait_until("the upstream runs the request", async || {
        pair.upstream_stats.started.load(Ordering::SeqCst) > started
    })
    .await;
    pair.gate.signal("STOP");
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    pair.gate.signal("CONT");
    let response = call.await.unwrap().unwrap();
    assert_eq!(response.status(), 200);
    let runs = pair.upstream_stats.started.load(Ordering::SeqCst) - started;
    assert_eq!(runs, 1);
}

/// Guards against long work that is given up although its machine was silent for a moment
/// only, long before: nobody asked it again whether it is alive.
#[tokio::test(flavor = "multi_thread")]
async fn long_work_of_a_gate_that_was_frozen_for_a_moment_is_delivered() {
    let pair = Pair::start("", "").await;
    let started = pair.upstream_stats.started.load(Ordering::SeqCst);
    let call = tokio::spawn(pair.request("GET", "/long").send());
    wait_until("the upstream runs the request", async || {
        pair.upstream_stats.started.load(Ordering::SeqCst) > started
    })
    .await;
    pair.gate.signal("STOP");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    pair.gate.signal("CONT");
    let response = call.await.unwrap().unwrap();
    assert_eq!(response.status(), 200);
}

/// Guards against an upload whose rest is dropped because its gate was silent for a moment:
/// its upstream waits for it in vain.
#[tokio::test(flavor = "multi_thread")]
async fn upload_that_a_gate_froze_during_is_completed() {
    let pair = Pair::start("", "").await;
    let (pieces, piece) = (60, Bytes::from(vec![7; 64 * 1024]));
    let expected = format!("{} ", pieces * piece.len());
    let body = stream::iter(0..pieces).then(move |_| {
        let piece = piece.clone();
        async {
            tokio::time::sleep(Duration::from_millis(60)).await;
            Ok::<_, std::io::Error>(piece)
        }
    });
    let body = reqwest::Body::wrap_stream(body);
    let call = tokio::spawn(pair.request("POST", "/echo").body(body).send());
    wait_until("the upstream reads the body", async || {
        pair.upstream_stats.body_bytes_read.load(Ordering::SeqCst) > 0
    })
    .await;
    pair.gate.signal("STOP");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    pair.gate.signal("CONT");
    let response = call.await.unwrap().unwrap();
    assert_eq!(response.status(), 200);
    assert!(response.text().await.unwrap().starts_with(&expected));
}

/// Guards against an upload that was reported as not run and is completed at the gate
/// later, because its connection stays open for another request that runs there.
#[tokio::test(flavor = "multi_thread")]
async fn upload_beside_a_running_request_never_runs_after_it_was_refused() {
    let pair = Pair::start("[limits]\nheld-size = 1 MB\n", "").await;
    let running = slow_call(&pair).await;
    pair.gate.signal("STOP");
    let upload = pair.request("POST", "/echo").body(vec![7; 300 * 1024]);
    let response = upload.send().await.unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["plumhitch-run"], "not-run");
    pair.gate.signal("CONT");
    assert_eq!(running.await.unwrap().unwrap().status(), 200);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let bodies = pair.upstream_stats.body_bytes_read.load(Ordering::SeqCst);
    assert_eq!(bodies, 0, "the upload ran after it was refused");
}

/// Guards against an upload that is reported as possibly run, though no part of it can have
/// run: it was written to a new connection to a gate that was frozen before it had stated
/// its protocol version there.
#[test_case("page"; "request that may run twice")]
#[test_case("reservation"; "request that must not run twice")]
#[tokio::test(flavor = "multi_thread")]
async fn upload_on_a_new_connection_to_a_frozen_gate_is_reported_as_not_run(class: &'static str) {
    let pair = Pair::start("[limits]\nheld-size = 1 MB\n", "").await;
    let running = slow_call(&pair).await;
    pair.gate.signal("STOP");
    // The connection of the running request is retired meanwhile.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let upload = pair
        .request("POST", "/echo")
        .header("idempotency-key", "frozen")
        .body(vec![7; 300 * 1024]);
    let mut upload = upload.build().unwrap();
    upload
        .headers_mut()
        .insert("plumhitch-class", class.parse().unwrap());
    let response = pair.client.execute(upload).await.unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["plumhitch-run"], "not-run");
    pair.gate.signal("CONT");
    assert_eq!(running.await.unwrap().unwrap().status(), 200);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let bodies = pair.upstream_stats.body_bytes_read.load(Ordering::SeqCst);
    assert_eq!(bodies, 0, "the upload ran after it was refused");
}
