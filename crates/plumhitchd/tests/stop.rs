//! Graceful stop of real daemons.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use std::process::ExitStatus;
use std::sync::atomic::Ordering;
use std::time::Duration;
use support::{Daemon, Pair, WAIT_TIMEOUT, wait_until};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Number of chunks of a slow upload.
const CHUNKS: usize = 20;
/// Time between the chunks.
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);

fn slow_upload(chunk_bytes: usize) -> reqwest::Body {
    let chunks = stream::iter(0..CHUNKS).then(move |_| async move {
        tokio::time::sleep(CHUNK_INTERVAL).await;
        Ok::<_, std::io::Error>(Bytes::from(vec![1; chunk_bytes]))
    });
    reqwest::Body::wrap_stream(chunks)
}

async fn wait_for_exit(daemon: &mut Daemon) -> ExitStatus {
    let start = std::time::Instant::now();
    loop {
        if let Some(status) = daemon.child.try_wait().unwrap() {
            return status;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the daemon did not exit within {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[test_case(true; "entry")]
#[test_case(false; "gate")]
#[tokio::test(flavor = "multi_thread")]
async fn stop_during_an_upload_completes_the_request(at_entry: bool) {
    let mut pair = Pair::start("", "").await;
    let body = slow_upload(16 * 1024);
    let upload = tokio::spawn(pair.request("POST", "/echo").body(body).send());
    wait_until("upstream reads the upload", async || {
        pair.upstream_stats.body_bytes_read.load(Ordering::SeqCst) > 0
    })
    .await;
    let stopped = match at_entry {
        true => &mut pair.entry,
        false => &mut pair.gate,
    };
    stopped.signal("TERM");
    let res = upload.await.unwrap().unwrap();
    assert_eq!(res.status(), 200);
    let body = res.text().await.unwrap();
    assert!(
        body.starts_with(&format!("{} ", CHUNKS * 16 * 1024)),
        "{body}"
    );
    assert!(wait_for_exit(stopped).await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_while_a_small_body_is_buffered_completes_the_request() {
    let mut pair = Pair::start("", "").await;
    let upload = tokio::spawn(pair.request("POST", "/echo").body(slow_upload(100)).send());
    tokio::time::sleep(CHUNK_INTERVAL * 4).await;
    pair.entry.signal("TERM");
    let res = upload.await.unwrap().unwrap();
    assert_eq!(res.status(), 200);
    assert!(wait_for_exit(&mut pair.entry).await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_ends_the_daemon_at_the_time_limit() {
    let mut pair = Pair::start("[stop]\nbound = 1 s\n", "").await;
    let body = slow_upload(64 * 1024);
    let upload = tokio::spawn(pair.request("POST", "/echo").body(body).send());
    wait_until("upstream reads the upload", async || {
        pair.upstream_stats.body_bytes_read.load(Ordering::SeqCst) > 0
    })
    .await;
    pair.entry.signal("TERM");
    assert!(wait_for_exit(&mut pair.entry).await.success());
    let res = upload.await.unwrap().unwrap();
    assert_eq!(res.status(), 502);
    assert_eq!(res.headers()["plumhitch-run"], "may-have-run");
}

/// Guards against callers whose requests are in progress at the time limit, and who were
/// told nothing.
#[tokio::test(flavor = "multi_thread")]
async fn stop_at_the_time_limit_tells_callers_whether_requests_ran() {
    let mut pair = Pair::start("[stop]\nbound = 700 ms\n", "").await;
    let upload = tokio::spawn(upload_without_end(pair.entry.callers));
    let started = pair.upstream_stats.started.load(Ordering::SeqCst);
    let slow = tokio::spawn(pair.request("GET", "/slow").send());
    wait_until("the upstream works on the request", async || {
        pair.upstream_stats.started.load(Ordering::SeqCst) > started
    })
    .await;
    pair.entry.signal("TERM");
    let res = slow.await.unwrap().unwrap();
    assert_eq!(res.status(), 502);
    assert_eq!(res.headers()["plumhitch-run"], "may-have-run");
    let received = String::from_utf8(upload.await.unwrap()).unwrap();
    assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
    assert!(received.contains("plumhitch-run: not-run"), "{received}");
    assert!(wait_for_exit(&mut pair.entry).await.success());
}

/// Connections that the kernel may still establish between the last look at its queue and
/// the close of the listener. The daemon has not accepted them.
const MAX_RESET: usize = 1;
/// Callers that connect and send one request each, one after the other.
const CALLERS: usize = 24;

/// Sends requests on new connections until the daemon accepts none. Returns how many were
/// answered, and how many were cut off after the connection was accepted.
async fn send_until_refused(callers: std::net::SocketAddr) -> (usize, usize) {
    let request = "GET /ready HTTP/1.1\r\nhost: h\r\nplumhitch-customer: tc-utrecht\r\n\
                   plumhitch-service: booking\r\nplumhitch-class: page\r\nconnection: close\r\n\r\n";
    let (mut answered, mut cut) = (0, 0);
    while let Ok(mut stream) = tokio::net::TcpStream::connect(callers).await {
        let mut received = Vec::new();
        let sent = stream.write_all(request.as_bytes()).await;
        let read = stream.read_to_end(&mut received).await;
        match sent.is_ok() && read.is_ok() && received.starts_with(b"HTTP/1.1 ") {
            true => answered += 1,
            false => cut += 1,
        }
    }
    (answered, cut)
}

/// Guards against requests on connections that were accepted just before the process ends,
/// which are cut off without a response.
#[tokio::test(flavor = "multi_thread")]
async fn stop_under_load_answers_what_was_accepted() {
    let mut pair = Pair::start("", "").await;
    let callers = pair.entry.callers;
    let sending: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(send_until_refused(callers)))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    pair.entry.signal("TERM");
    let (mut answered, mut cut) = (0, 0);
    for task in sending {
        let counts = task.await.unwrap();
        (answered, cut) = (answered + counts.0, cut + counts.1);
    }
    assert!(wait_for_exit(&mut pair.entry).await.success());
    assert!(answered > CALLERS, "{answered} answered");
    assert!(cut <= MAX_RESET, "{cut} cut off, {answered} answered");
}

/// Settings of an entry that accepts requests for 0.3 s of a stop of at most 3.5 s, longer
/// than two slow requests one after the other.
const SHORT_LINGER: &str = "[stop]\nbound = 3500 ms\nlinger = 300 ms\n";
/// Time between the bytes of an upload that outlasts the stop.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);

/// Sends a small upload, byte by byte, until the connection fails.
async fn upload_without_end(callers: std::net::SocketAddr) -> Vec<u8> {
    let head = "POST /echo HTTP/1.1\r\nhost: h\r\nplumhitch-customer: tc-utrecht\r\n\
                plumhitch-service: booking\r\nplumhitch-class: page\r\ncontent-length: 2000\r\n\r\n";
    let mut stream = tokio::net::TcpStream::connect(callers).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut read, mut write) = stream.into_split();
    let sending = tokio::spawn(async move {
        while write.write_all(b"x").await.is_ok() {
            tokio::time::sleep(BYTE_INTERVAL).await;
        }
    });
    let mut received = Vec::new();
    let _ = read.read_to_end(&mut received).await;
    sending.abort();
    received
}

/// Guards against an upload that is still arriving when a stop begins: until the end of the
/// stop, new requests were passed on, and cut off at its end.
#[tokio::test(flavor = "multi_thread")]
async fn stop_during_a_slow_upload_cuts_no_other_request() {
    let mut pair = Pair::start(SHORT_LINGER, "").await;
    let callers = pair.entry.callers;
    let upload = tokio::spawn(upload_without_end(callers));
    tokio::time::sleep(BYTE_INTERVAL).await;
    let started = || pair.upstream_stats.started.load(Ordering::SeqCst);
    let before = started();
    pair.entry.signal("TERM");
    let sending: Vec<_> = (0..4)
        .map(|_| tokio::spawn(send_until_closed(callers, "/slow")))
        .collect();
    let mut answered = 0;
    for task in sending {
        answered += task.await.unwrap();
    }
    assert!(wait_for_exit(&mut pair.entry).await.success());
    assert!(answered > 0, "none was accepted while the daemon lingers");
    assert_eq!(started() - before, answered, "passed on, of which answered");
    upload.await.unwrap();
}

/// Sends requests on new connections until the daemon accepts none. Returns how many got
/// the upstream's response.
async fn send_until_closed(callers: std::net::SocketAddr, path: &str) -> usize {
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: h\r\nplumhitch-customer: tc-utrecht\r\n\
         plumhitch-service: booking\r\nplumhitch-class: page\r\nconnection: close\r\n\r\n"
    );
    let mut answered = 0;
    while let Ok(mut stream) = tokio::net::TcpStream::connect(callers).await {
        let mut received = Vec::new();
        let _ = stream.write_all(request.as_bytes()).await;
        let _ = stream.read_to_end(&mut received).await;
        answered += usize::from(received.starts_with(b"HTTP/1.1 200 "));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    answered
}

/// Length of a response that the buffers of sockets do not hold.
const LONG_BYTES: usize = 30_000_000;

fn request_head(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: h\r\nplumhitch-customer: tc-utrecht\r\n\
         plumhitch-service: booking\r\nplumhitch-class: page\r\n\r\n"
    )
}

/// Guards against a request that is read behind the last response of a connection while this
/// is being written, passed on and cut off.
#[tokio::test(flavor = "multi_thread")]
async fn stop_passes_nothing_on_behind_the_last_response() {
    let mut pair = Pair::start("[stop]\nlinger = 3 s\n", "[gate]\ncold-slots = 4\n").await;
    let started = || pair.upstream_stats.started.load(Ordering::SeqCst);
    let before = started();
    pair.entry.signal("TERM");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut stream = tokio::net::TcpStream::connect(pair.entry.callers)
        .await
        .unwrap();
    let long = request_head(&format!("/big?len={LONG_BYTES}&content_length=true"));
    stream.write_all(long.as_bytes()).await.unwrap();
    // Until the response is stuck in the buffers of the sockets.
    tokio::time::sleep(Duration::from_secs(1)).await;
    stream
        .write_all(request_head("/ready").as_bytes())
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    assert!(received.len() > LONG_BYTES, "{}", received.len());
    assert_eq!(started() - before, 1, "passed on");
    assert!(wait_for_exit(&mut pair.entry).await.success());
}

/// Requests that are sent at once on a connection, more than it queues responses.
const PIPELINED: usize = 80;

/// Guards against requests that are cut off in a stop because they were read while the queue
/// of the connection's responses was full.
#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_pipelined_requests_beyond_the_queue() {
    let mut pair = Pair::start("[stop]\nlinger = 3 s\n", "").await;
    let mut stream = tokio::net::TcpStream::connect(pair.entry.callers)
        .await
        .unwrap();
    let mut requests = request_head("/slow");
    requests.push_str(&request_head("/ready").repeat(PIPELINED));
    stream.write_all(requests.as_bytes()).await.unwrap();
    // The responses wait for the first one, and the reader for space in their queue.
    tokio::time::sleep(Duration::from_millis(100)).await;
    pair.entry.signal("TERM");
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    let received = String::from_utf8(received).unwrap();
    assert_eq!(received.matches("HTTP/1.1 ").count(), 1 + PIPELINED);
    assert!(wait_for_exit(&mut pair.entry).await.success());
}

/// Longest time to the refusal of a request.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Guards against uploads that are received to their end although they will be refused, and
/// that delay the exit.
#[tokio::test(flavor = "multi_thread")]
async fn stop_refuses_an_upload_before_its_body() {
    let mut pair = Pair::start(SHORT_LINGER, "").await;
    let callers = pair.entry.callers;
    let slow = tokio::spawn(pair.request("GET", "/slow").send());
    tokio::time::sleep(Duration::from_millis(100)).await;
    pair.entry.signal("TERM");
    tokio::time::sleep(Duration::from_millis(600)).await;
    let started = std::time::Instant::now();
    let received = upload_without_end(callers).await;
    let took = started.elapsed();
    assert!(received.starts_with(b"HTTP/1.1 503 "));
    assert!(took < REFUSAL_TIME, "refused after {took:?}");
    assert_eq!(slow.await.unwrap().unwrap().status(), 200);
    assert!(wait_for_exit(&mut pair.entry).await.success());
}

/// Guards against a close that meets a request on its way, because a stop closed the
/// connections that were idle when it began.
#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_requests_on_connections_that_were_idle() {
    let mut pair = Pair::start("[stop]\nlinger = 1 s\n", "").await;
    let request = "GET /ready HTTP/1.1\r\nhost: h\r\nplumhitch-customer: tc-utrecht\r\n\
                   plumhitch-service: booking\r\nplumhitch-class: page\r\n\r\n";
    let mut stream = tokio::net::TcpStream::connect(pair.entry.callers)
        .await
        .unwrap();
    let mut received = [0; 4096];
    for stopping in [false, true] {
        if stopping {
            pair.entry.signal("TERM");
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        stream.write_all(request.as_bytes()).await.unwrap();
        let n = stream.read(&mut received).await.unwrap();
        let received = String::from_utf8_lossy(&received[..n]);
        assert!(received.starts_with("HTTP/1.1 200"), "{received:?}");
        assert_eq!(received.contains("connection: close"), stopping);
    }
    assert!(wait_for_exit(&mut pair.entry).await.success());
}
