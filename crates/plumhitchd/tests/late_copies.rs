//! Upstreams that send a second copy of a response later, on a connection that is idle or
//! carries the next request by then.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::upstream::Stats;
use support::{Pair, WAIT_TIMEOUT};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Requests that are sent one after the other.
const REQUESTS: usize = 20;
/// Time after a response at which its copy is sent.
const COPY_DELAY: Duration = Duration::from_millis(20);

/// When the copy of a response is sent.
#[derive(Clone, Copy, PartialEq)]
enum Copy {
    /// While the connection is idle.
    WhileIdle,
    /// When the next request has arrived, before its response.
    WithNextRequest,
}

async fn start_upstream(copy: Copy) -> (SocketAddr, Arc<Stats>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, copy));
        }
    });
    (address, Arc::new(Stats::default()))
}

async fn serve(mut stream: TcpStream, copy: Copy) {
    let mut previous = String::new();
    while let Some(head) = read_head(&mut stream).await {
        let response = respond(&head);
        let late = std::mem::replace(&mut previous, response.clone());
        let text = match copy {
            Copy::WhileIdle => response.clone(),
            Copy::WithNextRequest => format!("{late}{response}"),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        if copy == Copy::WhileIdle {
            tokio::time::sleep(COPY_DELAY).await;
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// Responds with the path, and repeats the request id.
fn respond(head: &str) -> String {
    let path = head.split(' ').nth(1).unwrap();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("plumhitch-request-id: "));
    format!(
        "HTTP/1.1 200 OK\r\nplumhitch-request-id: {}\r\ncontent-length: {}\r\n\r\n{path}",
        id.unwrap_or_default(),
        path.len()
    )
}

/// Guards against a caller who gets the response to an earlier request.
#[test_case(Copy::WhileIdle; "while the connection is idle")]
#[test_case(Copy::WithNextRequest; "with the next request")]
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_reaches_no_other_caller(copy: Copy) {
    let upstream = start_upstream(copy).await;
    let pair = Pair::start_with_upstream(upstream, "", "").await;
    for n in 0..REQUESTS {
        let path = format!("/request-{n}");
        let sent = pair.request("GET", &path).timeout(WAIT_TIMEOUT).send();
        let response = sent.await.unwrap();
        let status = response.status();
        let body = response.text().await.unwrap();
        assert!(!status.is_success() || body == path, "{path} got {body}");
        assert!(status.is_success(), "{path} got {status}: {body}");
        tokio::time::sleep(COPY_DELAY * 2).await;
    }
}
