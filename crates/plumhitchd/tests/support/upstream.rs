//! A fake upstream inside the test process.

use bytes::Bytes;
use futures_util::StreamExt;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{Request, ResBody, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Router, Server, async_trait};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

/// Requests that the upstream has received.
#[derive(Default)]
pub struct Stats {
    pub started: AtomicUsize,
    pub finished: AtomicUsize,
    pub cancelled: AtomicUsize,
    /// Bytes read from request bodies.
    pub body_bytes_read: AtomicUsize,
    /// Runs by idempotency key.
    pub runs: Mutex<BTreeMap<String, usize>>,
}

struct Upstream(Arc<Stats>);

/// Starts an upstream on a free port.
pub async fn start() -> (SocketAddr, Arc<Stats>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stats = Arc::new(Stats::default());
    let router = Router::with_path("{**path}").goal(Upstream(stats.clone()));
    let acceptor = TcpAcceptor::try_from(listener).unwrap();
    tokio::spawn(Server::new(acceptor).serve(router));
    (address, stats)
}

#[async_trait]
impl Handler for Upstream {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        self.0.started.fetch_add(1, Ordering::SeqCst);
        let path = req.uri().path().to_owned();
        if let Some(key) = req.header::<String>("idempotency-key") {
            *self.0.runs.lock().unwrap().entry(key).or_default() += 1;
        }
        match path.as_str() {
            "/echo" => echo(&self.0, req, res).await,
            "/big" => large_response(req, res),
            "/short" => truncated_response(req, res),
            "/reserve" => tokio::time::sleep(Duration::from_millis(20)).await,
            "/slow" => tokio::time::sleep(Duration::from_millis(1500)).await,
            "/long" => tokio::time::sleep(Duration::from_secs(14)).await,
            "/cancel" => {
                self.0.cancelled.fetch_add(1, Ordering::SeqCst);
            }
            "/gone" => {
                res.status_code(StatusCode::NOT_FOUND);
                res.body(ResBody::Once(Bytes::new()));
            }
            _ => res.render("ok"),
        }
        self.0.finished.fetch_add(1, Ordering::SeqCst);
    }
}

/// Responds with the length and hash of the body, and copies some request headers
/// to `got-` headers.
async fn echo(stats: &Stats, req: &mut Request, res: &mut Response) {
    let mut body = req.take_body();
    let (mut len, mut sum) = (0_u64, 0_u64);
    while let Some(Ok(frame)) = body.next().await {
        if let Ok(bytes) = frame.into_data() {
            len += bytes.len() as u64;
            stats
                .body_bytes_read
                .fetch_add(bytes.len(), Ordering::SeqCst);
            sum = bytes.iter().fold(sum, |sum, b| {
                sum.wrapping_mul(31).wrapping_add(u64::from(*b))
            });
        }
    }
    for name in [
        "plumhitch-depth",
        "plumhitch-deadline-ms",
        "x-mine",
        "connection",
        "x-hop",
    ] {
        if let Some(value) = req.headers().get(name) {
            res.headers_mut().insert(
                salvo::http::HeaderName::from_bytes(format!("got-{name}").as_bytes()).unwrap(),
                value.clone(),
            );
        }
    }
    res.render(format!("{len} {sum}"));
}

/// Responds with `len` bytes, with or without `content-length`.
fn large_response(req: &mut Request, res: &mut Response) {
    let len: usize = req.query("len").unwrap();
    let chunks = (0..len.div_ceil(64 * 1024)).map(move |i| {
        let remaining = len - i * 64 * 1024;
        Ok::<_, std::io::Error>(Bytes::from(vec![(i % 251) as u8; remaining.min(64 * 1024)]))
    });
    if req.query::<bool>("content_length").unwrap_or(false) {
        let len = salvo::http::HeaderValue::from(len as u64);
        res.headers_mut().insert("content-length", len);
    }
    res.body(ResBody::stream(futures_util::stream::iter(chunks)));
}

/// Aborts the response after `len` bytes.
fn truncated_response(req: &Request, res: &mut Response) {
    let len: usize = req.query("len").unwrap();
    let chunks = futures_util::stream::iter([true, false]).then(move |first| async move {
        if first {
            return Ok(Bytes::from(vec![7_u8; len]));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        Err(std::io::Error::other("broken off"))
    });
    res.body(ResBody::stream(chunks));
}
