//! Load pattern: a flood of requests while nobody reads the log.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::io::{BufRead, BufReader};
use std::process::Stdio;
use std::time::Duration;
use support::{Daemon, Options, free_address, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Requests, each with a line of the log.
const REQUESTS: usize = 4_000;
/// Bytes of a customer's name, which is in the line.
const NAME_BYTES: usize = 250;
/// Bytes of lines that the daemon may hold: half a megabyte that waits, as much
/// again that is being written, and what a pipe holds.
const HELD_BYTES: usize = 2 * 512 * 1024 + 64 * 1024;

fn daemon() -> Daemon {
    Daemon::start_with_log(
        Options {
            name: "entry-1",
            upstream: free_address(),
            peers: free_address(),
            replicas: &[free_address()],
            settings: "",
        },
        Stdio::piped(),
    )
}

/// Sends requests one behind the other and returns how many were answered.
async fn flood(daemon: &Daemon) -> usize {
    let mut stream = TcpStream::connect(daemon.callers).await.unwrap();
    let (mut rx, mut tx) = stream.split();
    let customer = "c".repeat(NAME_BYTES);
    let request = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nplumhitch-customer: {customer}\r\n\
         plumhitch-service: booking\r\n\r\n"
    );
    let sending = async {
        for _ in 0..REQUESTS {
            tx.write_all(request.as_bytes()).await.unwrap();
        }
    };
    let reading = async {
        let (mut read, mut answers) = (Vec::new(), 0);
        while answers < REQUESTS {
            let n = rx.read_buf(&mut read).await.unwrap();
            assert!(n > 0, "closed after {answers} answers");
            answers = String::from_utf8_lossy(&read)
                .matches("HTTP/1.1 503")
                .count();
        }
        answers
    };
    let both = async { tokio::join!(sending, reading).1 };
    tokio::time::timeout(support::LIMIT, both).await.unwrap()
}

async fn dropped(daemon: &Daemon) -> usize {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/metrics", daemon.operators);
    let metrics = client.get(url).send().await.unwrap().text().await.unwrap();
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix("plumhitch_log_lines_dropped "));
    line.unwrap().parse().unwrap()
}

/// Every request is answered, what the log can't hold is dropped, and the log
/// and the metric say how much that was once somebody reads.
#[tokio::test(flavor = "multi_thread")]
async fn log_that_nobody_reads_drops_lines_and_counts_them() {
    let mut daemon = daemon();
    until("the callers' port", async || {
        TcpStream::connect(daemon.callers).await.is_ok()
    })
    .await;
    assert_eq!(flood(&daemon).await, REQUESTS);
    let counted = dropped(&daemon).await;
    assert!(counted > 0);

    let log = BufReader::new(daemon.child.stderr.take().unwrap());
    let reading = tokio::task::spawn_blocking(move || {
        let (mut bytes, mut requests, mut said) = (0, 0, 0);
        for line in log.lines().map(Result::unwrap) {
            bytes += line.len();
            requests += usize::from(line.contains("event=request "));
            if let Some((_, lines)) = line.split_once("event=log_dropped lines=") {
                said += lines.parse::<usize>().unwrap();
            }
            if said >= counted {
                break;
            }
        }
        (bytes, requests, said)
    });
    let read = tokio::time::timeout(Duration::from_secs(30), reading).await;
    let (bytes, requests, said) = read.unwrap().unwrap();
    assert!(said >= counted, "{said} of {counted}");
    assert!(requests + said >= REQUESTS, "{requests} and {said}");
    assert!(bytes <= HELD_BYTES, "{bytes} bytes");
}
