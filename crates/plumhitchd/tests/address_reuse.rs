//! Connections to an upstream whose address passes to another start.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use support::upstream::Stats;
use support::{Pair, announce};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Requests after which the connection is the one of the pool.
const REQUESTS: usize = 3;

/// Starts an upstream that keeps its connections open, and responds with the number of the
/// connection.
async fn start_upstream() -> (SocketAddr, Arc<Stats>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 1.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            tokio::spawn(serve(stream, number));
        }
    });
    (address, Arc::new(Stats::default()))
}

async fn serve(mut stream: TcpStream, number: usize) {
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        let body = number.to_string();
        let text = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Returns the connection over which a request was sent.
async fn connection(pair: &Pair) -> usize {
    let res = pair.request("GET", "/page").send().await.unwrap();
    assert_eq!(res.status(), 200);
    res.text().await.unwrap().parse().unwrap()
}

/// Guards against requests that are sent over a connection to the start of the upstream which
/// had the address before: that one may be silent or of another service.
#[test_case("b1", true; "the same start")]
#[test_case("b2", false; "the next start")]
#[tokio::test(flavor = "multi_thread")]
async fn connection_is_used_again_for_the_same_start_only(boot: &str, is_used_again: bool) {
    let pair = Pair::start_with_upstream(start_upstream().await, "", "").await;
    let mut last = 0;
    for _ in 0..REQUESTS {
        last = connection(&pair).await;
    }
    announce(&pair.client, &pair.gate, boot).await;
    assert_eq!(connection(&pair).await == last, is_used_again);
}
