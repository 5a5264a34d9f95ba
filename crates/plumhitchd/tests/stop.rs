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
    assert!(upload.await.unwrap().is_err());
}
