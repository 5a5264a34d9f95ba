//! Invalid input and exceeded limits get a clear error and do not affect other
//! requests.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use serde_json::Value;
use std::time::Duration;
use support::{Daemon, Options, Pair, free_address, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn refusal(res: reqwest::Response) -> (u16, String, String, String) {
    let status = res.status().as_u16();
    let header = |name: &str| {
        let value = res.headers().get(name);
        value.map_or(String::new(), |v| v.to_str().unwrap().to_owned())
    };
    let (run, reason) = (header("plumhitch-run"), header("plumhitch-reason"));
    let body: Value = res.json().await.unwrap();
    assert_eq!(body["reason"], reason);
    assert_eq!(body["run"], run);
    (status, run, reason, body["message"].to_string())
}

/// Waits until no request runs at the upstream. A cold gate has one slot, which an
/// aborted upload holds until the upstream has let go of it.
async fn wait_until_idle(pair: &Pair) {
    let metrics = format!("http://{}/metrics", pair.gate.operators);
    wait_until("no request runs at the upstream", async || {
        let Ok(res) = pair.client.get(&metrics).send().await else {
            return false;
        };
        let text = res.text().await.unwrap_or_default();
        let mut lines = text.lines();
        lines.any(|line| line == "plumhitch_upstream_in_flight 0")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_invalid_is_refused_with_its_run_state() {
    let settings = "[limits]\nheader-size = 4 KB\nbody-size = 1 MB\nheld-size = 16 KB\n";
    let pair = Pair::start(settings, "").await;
    let url = format!("http://{}/", pair.entry.callers);
    let (status, run, reason, message) = refusal(pair.client.get(&url).send().await.unwrap()).await;
    assert_eq!(
        (status, run.as_str(), reason.as_str()),
        (400, "not-run", "malformed")
    );
    assert!(message.contains("plumhitch-customer"), "{message}");

    let long = pair
        .request("GET", "/ready")
        .header("x-long", "a".repeat(5000));
    let (status, run, reason, _) = refusal(long.send().await.unwrap()).await;
    assert_eq!(
        (status, run.as_str(), reason.as_str()),
        (431, "not-run", "headers-too-long")
    );

    let big = pair.request("POST", "/echo").body(vec![0; 2 * 1024 * 1024]);
    let (status, run, reason, _) = refusal(big.send().await.unwrap()).await;
    assert_eq!(
        (status, run.as_str(), reason.as_str()),
        (413, "not-run", "body-too-long")
    );

    let chunks = (0..40).map(|_| Ok::<_, std::io::Error>(vec![0_u8; 64 * 1024]));
    let chunked = reqwest::Body::wrap_stream(futures_util::stream::iter(chunks));
    let big = pair.request("POST", "/echo").body(chunked);
    let (status, run, reason, _) = refusal(big.send().await.unwrap()).await;
    assert_eq!(
        (status, run.as_str(), reason.as_str()),
        (413, "may-have-run", "body-too-long")
    );
    wait_until_idle(&pair).await;

    let deadline = pair
        .request("GET", "/ready")
        .header("plumhitch-deadline-ms", "soon");
    let (status, run, reason, _) = refusal(deadline.send().await.unwrap()).await;
    assert_eq!(
        (status, run.as_str(), reason.as_str()),
        (400, "not-run", "malformed")
    );

    let mut stream = TcpStream::connect(pair.entry.callers).await.unwrap();
    let raw = "OPTIONS * HTTP/1.1\r\nhost: a\r\nplumhitch-customer: tc-utrecht\r\n\
               plumhitch-service: booking\r\nconnection: close\r\n\r\n";
    stream.write_all(raw.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");

    let res = pair.request("GET", "/ready").send().await.unwrap();
    assert_eq!(res.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_any_listener_does_not_affect_other_requests() {
    let pair = Pair::start("", "").await;
    for address in [pair.gate.peers, pair.entry.callers, pair.entry.operators] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&[0xff; 64]).await.unwrap();
        let mut buf = Vec::new();
        let read = stream.read_to_end(&mut buf);
        let _ = tokio::time::timeout(Duration::from_secs(10), read)
            .await
            .unwrap();
    }
    let res = pair.request("GET", "/ready").send().await.unwrap();
    assert_eq!(res.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_above_the_limit_are_closed() {
    let pair = Pair::start("[limits]\nconnections = 3\n", "").await;
    let mut open = Vec::new();
    let mut closed = 0;
    for _ in 0..6 {
        let mut stream = TcpStream::connect(pair.entry.callers).await.unwrap();
        let mut byte = [0; 1];
        let read = tokio::time::timeout(Duration::from_millis(300), stream.read(&mut byte));
        match read.await {
            Ok(_) => closed += 1,
            Err(_) => open.push(stream),
        }
    }
    assert!(closed >= 3, "{closed} closed");
    drop(open);
    wait_until("connection is accepted again", async || {
        let sent = pair.request("GET", "/ready").send().await;
        sent.is_ok_and(|res| res.status().is_success())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_without_the_token_are_refused() {
    let folder = tempfile::TempDir::new().unwrap();
    let file = folder.path().join("token");
    std::fs::write(&file, "s3cret\n").unwrap();
    let control = free_address();
    let daemon = Daemon::start(Options {
        name: "entry-1",
        upstream: free_address(),
        peers: control,
        replicas: &[control],
        settings: &format!("[operators]\ntoken-file = {}\n", file.display()),
    });
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let metrics = format!("http://{}/metrics", daemon.operators);
    wait_until("operators listener accepts connections", async || {
        client.get(&metrics).send().await.is_ok()
    })
    .await;
    for path in ["/metrics", "/v1/status", "/v1/history"] {
        let url = format!("http://{}{path}", daemon.operators);
        for token in ["", "s3cre", "s3cret2", "S3cret"] {
            let res = client.get(&url).bearer_auth(token).send().await.unwrap();
            assert_eq!(res.status(), 401, "{path} {token}");
        }
        assert_eq!(client.get(&url).send().await.unwrap().status(), 401);
    }
    let initialise = format!("http://{}/v1/initialise", daemon.operators);
    assert_eq!(client.post(&initialise).send().await.unwrap().status(), 401);
    let res = client
        .get(&metrics)
        .bearer_auth("s3cret")
        .send()
        .await
        .unwrap();
    assert_eq!(res.status(), 200);
    assert!(
        res.text()
            .await
            .unwrap()
            .contains("plumhitch_config_version 0")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_label_only_configured_customers() {
    let pair = Pair::start("", "").await;
    pair.request("GET", "/ready").send().await.unwrap();
    for i in 0..5 {
        let unknown = format!("nobody-{i}");
        let req = pair.client.get(format!("http://{}/", pair.entry.callers));
        let req = req.header("plumhitch-customer", unknown);
        let req = req.header("plumhitch-service", "booking");
        let res = req.header("plumhitch-class", "page").send().await.unwrap();
        let (status, run, reason, _) = refusal(res).await;
        assert_eq!(
            (status, run.as_str(), reason.as_str()),
            (403, "not-run", "unknown-customer")
        );
    }
    let url = format!("http://{}/metrics", pair.entry.operators);
    let text = pair
        .client
        .get(url)
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert!(text.contains("plumhitch_config_version 2"));
    assert!(lines.iter().any(|l| l.starts_with(
        "plumhitch_class_requests_total{class=\"page\",outcome=\"answered\",reason=\"\"}"
    )));
    let others = "plumhitch_customer_requests_total{customer=\"other\",outcome=\"refused\",\
                  reason=\"unknown-customer\"} 5";
    assert!(lines.contains(&others), "{text}");
    assert!(!text.contains("nobody-"));
}

/// Guards against a response without end that the gate reads for good after its caller
/// has left: an upstream that does not drop a request when its connection closes would
/// keep the slot and the gate's processor.
#[tokio::test(flavor = "multi_thread")]
async fn response_without_end_is_cut_off_after_its_caller_left() {
    let pair = Pair::start("", "").await;
    let endless = pair.request("GET", "/big?len=1000000000000");
    let mut response = endless.send().await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    assert!(response.chunk().await.unwrap().is_some());
    drop(response);
    wait_until_idle(&pair).await;
}
