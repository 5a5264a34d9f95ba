//! Shares of the memory of a process.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use support::Pair;

/// Length of the longest body of a call that operators may send, in bytes.
const LONGEST_CALL_BYTES: u64 = 7 * 1024 * 1024;

/// Guards against a daemon with little memory that rejects each long change for want of it.
#[tokio::test(flavor = "multi_thread")]
async fn share_of_calls_takes_longest_call() {
    let pair = Pair::start("", "[limits]\nmemory = 64 MB\n").await;
    let url = format!("http://{}/metrics", pair.gate.operators);
    let text = pair.client.get(url).send().await.unwrap();
    let text = text.text().await.unwrap();
    let is_max = |l: &&str| l.contains("use=\"calls\"") && l.contains("\"max\"");
    let line = text.lines().find(is_max).unwrap();
    let max: u64 = line.rsplit(' ').next().unwrap().parse().unwrap();
    // Long bodies leave a quarter to others.
    assert!(max / 4 * 3 >= LONGEST_CALL_BYTES, "{max}");
}
