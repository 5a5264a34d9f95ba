//! Callers that take their responses slowly beside many requests in progress.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time::Duration;
use support::Pair;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Length of the response that is read slowly, in bytes.
const LONG_BYTES: usize = 20_000_000;
/// Bytes of one read, and the pause after it while the caller is slow.
const READ_BYTES: usize = 40_000;
const PAUSE: Duration = Duration::from_millis(50);
/// Bytes that are read slowly.
const SLOW_BYTES: usize = 6_000_000;
/// Time in which a read returns something.
const READ_TIME: Duration = Duration::from_secs(5);
/// Other requests, which are in progress meanwhile.
const OTHERS: usize = 120;

/// Guards against a response that is cut off while its caller reads it steadily: memory that
/// other requests in progress held for responses to come counted as memory in use.
#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_gets_response_beside_many_requests() {
    let limits = "[limits]\nmemory = 160 MB\n";
    let pair = Pair::start(limits, "[gate]\ncold-slots = 300\n").await;
    let announcement = serde_json::json!({"service": "booking", "slots": 300, "boot": "b2"});
    support::post(&pair.client, &pair.gate, "/v1/announce", &announcement).await;
    sleep(Duration::from_secs(3)).await;
    let mut reader = TcpStream::connect(pair.entry.callers).await.unwrap();
    let head = format!(
        "GET /big?len={LONG_BYTES}&content_length=true HTTP/1.1\r\nhost: a\r\n\
         plumhitch-customer: tc-utrecht\r\nplumhitch-service: booking\r\n\
         plumhitch-class: page\r\n\r\n"
    );
    reader.write_all(head.as_bytes()).await.unwrap();
    let mut others = JoinSet::new();
    for _ in 0..OTHERS {
        let request = pair.request("GET", "/long");
        others.spawn(async move { request.send().await.unwrap().status().as_u16() });
    }
    let mut buf = vec![0; READ_BYTES];
    let mut received = 0;
    while received < LONG_BYTES {
        let read = timeout(READ_TIME, reader.read(&mut buf)).await;
        let len = read.expect("a read in time").unwrap();
        assert!(len > 0, "cut off after {received} bytes");
        received += len;
        if received < SLOW_BYTES {
            sleep(PAUSE).await;
        }
    }
    let statuses = others.join_all().await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
