//! High request rate while the log is not read.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use rustix::fs::{OFlags, fcntl_setfl};
use std::io::{BufRead, BufReader, PipeReader, Read};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::process::Stdio;
use std::time::Duration;
use support::{Daemon, Options, free_address, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes that a slow reader takes at once, and time before each read.
const SLOW_READ_BYTES: usize = 8 * 1024;
const SLOW_READ_DELAY: Duration = Duration::from_millis(2);
/// Maximum size of a write that a pipe accepts as a whole.
const MAX_WRITE_BYTES: usize = 4096;
/// Time within which the next lines arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of requests, each of which logs a line.
const REQUESTS: usize = 4_000;
/// Length of the customer's name, which is part of the log line.
const NAME_BYTES: usize = 250;
/// Maximum size of the lines that are kept: 512 KB in the buffer, as much in the
/// batch being written, and 64 KB in the pipe.
const MAX_KEPT_BYTES: usize = 2 * 512 * 1024 + 64 * 1024;

fn daemon(log: Stdio) -> Daemon {
    Daemon::start_with_log(
        Options {
            name: "entry-1",
            upstream: free_address(),
            peers: free_address(),
            replicas: &[free_address()],
            settings: "",
        },
        log,
    )
}

async fn wait_until_started(daemon: &Daemon) {
    wait_until("callers' listener accepts connections", async || {
        TcpStream::connect(daemon.callers).await.is_ok()
    })
    .await;
}

/// Sends pipelined requests and returns the number of responses.
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
        let (mut read, mut responses) = (Vec::new(), 0);
        while responses < REQUESTS {
            let n = rx.read_buf(&mut read).await.unwrap();
            assert!(n > 0, "connection closed after {responses} responses");
            responses = String::from_utf8_lossy(&read)
                .matches("HTTP/1.1 503")
                .count();
        }
        responses
    };
    let both = async { tokio::join!(sending, reading).1 };
    tokio::time::timeout(support::WAIT_TIMEOUT, both)
        .await
        .unwrap()
}

async fn dropped_lines(daemon: &Daemon) -> usize {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/metrics", daemon.operators);
    let metrics = client.get(url).send().await.unwrap().text().await.unwrap();
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix("plumhitch_log_lines_dropped "));
    line.unwrap().parse().unwrap()
}

/// Guards against requests that block on a full log pipe. Every request gets a
/// response, lines above the limit are dropped, and the log and the metric report
/// their number.
#[tokio::test(flavor = "multi_thread")]
async fn log_without_reader_drops_lines_and_counts_them() {
    let mut daemon = daemon(Stdio::piped());
    wait_until_started(&daemon).await;
    assert_eq!(flood(&daemon).await, REQUESTS);
    let counted = dropped_lines(&daemon).await;
    assert!(counted > 0);

    let log = BufReader::new(daemon.child.stderr.take().unwrap());
    let reading = tokio::task::spawn_blocking(move || {
        let (mut bytes, mut requests, mut reported) = (0, 0, 0);
        for line in log.lines().map(Result::unwrap) {
            bytes += line.len();
            requests += usize::from(line.contains("event=request "));
            if let Some((_, lines)) = line.split_once("event=log_dropped lines=") {
                reported += lines.parse::<usize>().unwrap();
            }
            if reported >= counted {
                break;
            }
        }
        (bytes, requests, reported)
    });
    let read = tokio::time::timeout(Duration::from_secs(30), reading).await;
    let (bytes, requests, reported) = read.unwrap().unwrap();
    assert!(
        reported >= counted,
        "log reports {reported} of {counted} dropped lines"
    );
    assert!(
        requests + reported >= REQUESTS,
        "{requests} logged and {reported} dropped lines"
    );
    assert!(bytes <= MAX_KEPT_BYTES, "{bytes} bytes logged");
}

/// Reads slowly.
struct SlowReader(PipeReader);

impl Read for SlowReader {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        std::thread::sleep(SLOW_READ_DELAY);
        let len = buf.len().min(SLOW_READ_BYTES);
        self.0.read(&mut buf[..len])
    }
}

/// Guards against lines that are cut in the middle and lost without being counted: a
/// reader that makes the pipe non-blocking and falls behind.
#[tokio::test(flavor = "multi_thread")]
async fn log_with_slow_reader_of_nonblocking_pipe_has_whole_lines() {
    let (reader, writer) = std::io::pipe().unwrap();
    fcntl_setfl(&writer, OFlags::WRONLY | OFlags::NONBLOCK).unwrap();
    let daemon = daemon(writer.into());
    let reading = tokio::task::spawn_blocking(move || {
        let (mut requests, mut reported) = (0, 0);
        for line in BufReader::new(SlowReader(reader)).lines() {
            let line = line.unwrap();
            let whole = line.starts_with("time=") && line.matches(" level=").count() == 1;
            assert!(whole, "{line}");
            requests += usize::from(line.contains("event=request "));
            if let Some((_, lines)) = line.split_once("event=log_dropped lines=") {
                reported += lines.parse::<usize>().unwrap();
            }
            if requests + reported >= REQUESTS {
                break;
            }
        }
        (requests, reported)
    });
    wait_until_started(&daemon).await;
    assert_eq!(flood(&daemon).await, REQUESTS);
    let read = tokio::time::timeout(Duration::from_secs(30), reading).await;
    let (requests, reported) = read.unwrap().unwrap();
    assert_eq!(reported, dropped_lines(&daemon).await);
    assert!(requests + reported >= REQUESTS);
}

/// Guards against lines that are lost without being counted because the reader of the
/// log has gone.
#[tokio::test(flavor = "multi_thread")]
async fn log_whose_reader_has_gone_counts_lines() {
    let (reader, writer) = std::io::pipe().unwrap();
    let daemon = daemon(writer.into());
    wait_until_started(&daemon).await;
    drop(reader);
    assert_eq!(flood(&daemon).await, REQUESTS);
    wait_until("every line counted as dropped", async || {
        dropped_lines(&daemon).await >= REQUESTS
    })
    .await;
}

/// Guards against lines that whoever collects the log cuts: one that takes a write as a
/// unit keeps the beginning of a long one. Each datagram here is one write.
#[tokio::test(flavor = "multi_thread")]
async fn log_is_written_in_short_pieces_of_whole_lines() {
    let (reader, writer) = UnixDatagram::pair().unwrap();
    reader.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let daemon = daemon(OwnedFd::from(writer).into());
    let reading = tokio::task::spawn_blocking(move || {
        let (mut requests, mut reported) = (0, 0);
        let mut buf = vec![0; 1024 * 1024];
        while requests + reported < REQUESTS {
            let len = reader.recv(&mut buf).unwrap();
            let lines = std::str::from_utf8(&buf[..len]).unwrap();
            assert!(len <= MAX_WRITE_BYTES, "{len} bytes at once");
            assert!(
                lines.starts_with("time=") && lines.ends_with('\n'),
                "{lines}"
            );
            requests += lines.matches("event=request ").count();
            let dropped = lines.split("event=log_dropped lines=").skip(1);
            let counts = dropped.filter_map(|rest| rest.lines().next());
            reported += counts.map(|n| n.parse::<usize>().unwrap()).sum::<usize>();
        }
    });
    wait_until_started(&daemon).await;
    assert_eq!(flood(&daemon).await, REQUESTS);
    reading.await.unwrap();
}
