//! A fake upstream with configurable slots, service time, cold start and failures.
//!
//! It announces itself to the daemon beside it every second. `GET /runs` returns
//! the number of runs of each idempotency key, `GET /counts` the current counters
//! and `GET /load` a delayed copy of them. `POST /leave` announces that it is
//! leaving, `POST /cancel` ends a request early, and a request with the header
//! `x-crash` ends the process.

use argh::FromArgs;
use rand::Rng;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{Request, Response, StatusCode};
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Router, Server, async_trait};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::error::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// A fake upstream.
#[derive(FromArgs)]
struct Options {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// operators' address of its daemon
    #[argh(option)]
    daemon: Option<SocketAddr>,
    /// service that it runs
    #[argh(option, default = "String::from(\"booking\")")]
    service: String,
    /// concurrent requests that it can process when warm
    #[argh(option, default = "6")]
    slots: u32,
    /// concurrent requests that it can process at its start
    #[argh(option, default = "1")]
    cold_slots: u32,
    /// duration of the cold start, in milliseconds
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// mean service time, in microseconds
    #[argh(option, default = "0")]
    service_us: u64,
    /// maximum deviation from the mean service time, as a fraction from 0 to 1
    #[argh(option, default = "0.3")]
    jitter: f64,
    /// fraction of the requests that fail immediately, from 0 to 1
    #[argh(option, default = "0.0")]
    fail: f64,
    /// update interval of the load endpoint, in milliseconds
    #[argh(option, default = "500")]
    lag_ms: u64,
}

#[derive(Clone, Default, Serialize)]
struct Counts {
    started: u64,
    finished: u64,
    cancelled: u64,
    /// Total time of all finished requests, in microseconds.
    busy_us: u64,
    /// Number of requests above the capacity.
    overloads: u64,
    in_flight: u32,
    most_in_flight: u32,
}

#[derive(Default)]
struct State {
    counts: Counts,
    reported: Counts,
    runs: BTreeMap<String, u64>,
    cancels: HashMap<String, Arc<Notify>>,
    leaving: bool,
}

struct Upstream {
    options: Options,
    started: Instant,
    boot: String,
    state: Mutex<State>,
}

impl Upstream {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current maximum number of concurrent requests, which grows
    /// linearly during the cold start.
    fn capacity(&self) -> u32 {
        let warm = Duration::from_millis(self.options.cold_ms);
        let age = self.started.elapsed();
        if age >= warm {
            return self.options.slots;
        }
        let fraction = age.as_secs_f64() / warm.as_secs_f64();
        let extra = f64::from(self.options.slots - self.options.cold_slots) * fraction;
        self.options.cold_slots + extra as u32
    }

    fn service_time(&self) -> Duration {
        let jitter = self.options.jitter;
        let factor = 1.0 + jitter * rand::rng().random_range(-1.0..=1.0);
        Duration::from_micros(self.options.service_us).mul_f64(factor)
    }

    async fn process(&self, req: &mut Request, res: &mut Response) {
        let header = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
        if header("x-crash").is_some() {
            std::process::exit(101);
        }
        let id = header("plumhitch-request-id").unwrap_or("").to_owned();
        let key = header("idempotency-key").map(str::to_owned);
        let cancel = Arc::new(Notify::new());
        let begin = Instant::now();
        let within_capacity = self.begin(key, &id, &cancel);
        let body = req.payload_with_max_size(usize::MAX).await;
        let len = body.map_or(0, |body| body.len());
        let fails = rand::rng().random::<f64>() < self.options.fail;
        if fails {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            res.render("failed");
        } else if !within_capacity {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            res.render("overloaded");
        } else {
            let time = self.service_time();
            if !time.is_zero() {
                let _ = tokio::time::timeout(time, cancel.notified()).await;
            }
            res.render(format!("{} took {len} bytes", self.options.service));
        }
        let mut state = self.state();
        state.counts.finished += 1;
        state.counts.busy_us += u64::try_from(begin.elapsed().as_micros()).unwrap_or(0);
        state.counts.in_flight -= 1;
        state.cancels.remove(&id);
    }

    /// Counts a request; returns whether it is within the capacity.
    fn begin(&self, key: Option<String>, id: &str, cancel: &Arc<Notify>) -> bool {
        let mut state = self.state();
        let counts = &mut state.counts;
        counts.started += 1;
        counts.in_flight += 1;
        counts.most_in_flight = counts.most_in_flight.max(counts.in_flight);
        let within_capacity = counts.in_flight <= self.capacity();
        counts.overloads += u64::from(!within_capacity);
        if let Some(key) = key {
            *state.runs.entry(key).or_default() += 1;
        }
        state.cancels.insert(id.to_owned(), cancel.clone());
        within_capacity
    }

    fn cancel(&self, req: &Request) {
        let id = req.headers().get("plumhitch-request-id");
        let id = id.and_then(|v| v.to_str().ok()).unwrap_or("");
        let mut state = self.state();
        if let Some(cancel) = state.cancels.get(id).cloned() {
            state.counts.cancelled += 1;
            cancel.notify_one();
        }
    }

    async fn announce_periodically(self: Arc<Self>, daemon: SocketAddr) {
        let client = reqwest::Client::new();
        loop {
            let body = serde_json::json!({
                "service": self.options.service,
                "slots": self.options.slots,
                "boot": self.boot,
                "leaving": self.state().leaving,
            });
            let url = format!("http://{daemon}/v1/announce");
            let _ = client.post(url).json(&body).send().await;
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    async fn update_reported(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(self.options.lag_ms.max(1))).await;
            let mut state = self.state();
            state.reported = state.counts.clone();
        }
    }
}

struct Endpoint(Arc<Upstream>);

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match req.uri().path() {
            "/runs" => res.render(Json(self.0.state().runs.clone())),
            "/counts" => res.render(Json(self.0.state().counts.clone())),
            "/load" => res.render(Json(self.0.state().reported.clone())),
            "/health" => res.render("well"),
            "/leave" => self.0.state().leaving = true,
            "/cancel" => self.0.cancel(req),
            _ => self.0.process(req, res).await,
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options: Options = argh::from_env();
    let daemon = options.daemon;
    let listener = TcpListener::bind(options.listen).await?;
    let upstream = Arc::new(Upstream {
        options,
        started: Instant::now(),
        boot: format!("{:016x}", rand::random::<u64>()),
        state: Mutex::default(),
    });
    if let Some(daemon) = daemon {
        tokio::spawn(upstream.clone().announce_periodically(daemon));
    }
    tokio::spawn(upstream.clone().update_reported());
    let router = Router::with_path("{**path}").goal(Endpoint(upstream));
    Server::new(TcpAcceptor::try_from(listener)?)
        .try_serve(router)
        .await?;
    Ok(())
}
