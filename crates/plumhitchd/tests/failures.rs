//! Daemons that are killed or frozen under load: non-idempotent requests run at
//! most once, and the reported run state is correct.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{Daemon, Options, announce, bootstrap_cluster, free_address, upstream, wait_until};

/// Timeout of a caller's request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of callers, each of which sends one request at a time.
const CALLERS: usize = 6;

/// Three daemons, each with a control replica and an upstream beside it.
struct Fleet {
    daemons: Vec<Daemon>,
    upstream_stats: Vec<Arc<upstream::Stats>>,
    client: reqwest::Client,
}

impl Fleet {
    async fn start() -> Self {
        let replicas: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let (mut daemons, mut upstream_stats) = (Vec::new(), Vec::new());
        for (i, peers) in replicas.iter().enumerate() {
            let (address, stats) = upstream::start().await;
            upstream_stats.push(stats);
            daemons.push(Daemon::start(Options {
                name: &format!("booking-{i}"),
                upstream: address,
                peers: *peers,
                replicas: &replicas,
                settings: "[log]\nsample = 0\n",
            }));
        }
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALLER_TIMEOUT);
        let fleet = Self {
            daemons,
            upstream_stats,
            client: client.build().unwrap(),
        };
        bootstrap_cluster(&fleet.client, &fleet.daemons[0]).await;
        for i in 0..3 {
            announce(&fleet.client, &fleet.daemons[i], "b1").await;
            fleet.wait_until_serving(i).await;
        }
        fleet.wait_for_voters(3).await;
        fleet
    }

    async fn wait_until_serving(&self, daemon: usize) {
        wait_until("daemon serves requests", async || {
            let req = support::request(&self.client, "GET", &self.daemons[daemon], "/ready");
            req.send().await.is_ok_and(|res| res.status() == 200)
        })
        .await;
    }

    async fn wait_for_voters(&self, count: usize) {
        let url = format!("http://{}/v1/status", self.daemons[0].operators);
        wait_until("number of voters", async || {
            let Ok(res) = self.client.get(&url).send().await else {
                return false;
            };
            let body: serde_json::Value = res.json().await.unwrap_or_default();
            body["voters"].as_array().is_some_and(|v| v.len() == count)
        })
        .await;
    }

    fn runs_by_key(&self) -> BTreeMap<String, usize> {
        let mut sum = BTreeMap::new();
        for stats in &self.upstream_stats {
            for (key, runs) in stats.runs.lock().unwrap().iter() {
                *sum.entry(key.clone()).or_default() += runs;
            }
        }
        sum
    }
}

/// Outcomes of all attempts by idempotency key, as the callers saw them.
#[derive(Clone, Default)]
struct Outcomes(Arc<Mutex<BTreeMap<String, Vec<String>>>>);

/// Callers that send bookings through all daemons and retry those without a final
/// response through another daemon, until stopped.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    outcomes: Outcomes,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let load = Self {
            stop: Arc::default(),
            answered: Arc::default(),
            outcomes: Outcomes::default(),
            tasks: Vec::new(),
        };
        let targets: Vec<SocketAddr> = fleet.daemons.iter().map(|d| d.callers).collect();
        let tasks = (0..CALLERS).map(|caller| {
            let (stop, answered) = (load.stop.clone(), load.answered.clone());
            let (outcomes, client, targets) =
                (load.outcomes.clone(), fleet.client.clone(), targets.clone());
            tokio::spawn(async move {
                for i in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let key = format!("{caller}-{i}");
                    let attempts = send_booking(&client, &targets, caller + i, &key).await;
                    if attempts.iter().any(|s| s == "200") {
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                    outcomes.0.lock().unwrap().insert(key, attempts);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        });
        Self {
            tasks: tasks.collect(),
            ..load
        }
    }

    async fn wait_for_responses(&self, more: u64) {
        let before = self.answered.load(Ordering::SeqCst);
        wait_until("more bookings with a response", async || {
            self.answered.load(Ordering::SeqCst) >= before + more
        })
        .await;
    }

    /// Stops the load and checks the reported outcomes against the runs at the
    /// upstreams.
    async fn stop_and_check(self, fleet: &Fleet) {
        self.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.unwrap();
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let runs = fleet.runs_by_key();
        for (key, attempts) in self.outcomes.0.lock().unwrap().iter() {
            let runs = runs.get(key).copied().unwrap_or(0);
            assert!(runs <= 1, "{key} ran {runs} times: {attempts:?}");
            let answered = attempts.iter().any(|s| s == "200" || s == "409 ran");
            assert!(!answered || runs == 1, "{key} did not run: {attempts:?}");
            let not_run = attempts.iter().all(|s| s.ends_with("not-run"));
            assert!(!not_run || runs == 0, "{key} ran: {attempts:?}");
        }
    }
}

/// Sends a booking, retries it up to three times without a final response, and
/// returns the outcome of each attempt.
async fn send_booking(
    client: &reqwest::Client,
    targets: &[SocketAddr],
    first: usize,
    key: &str,
) -> Vec<String> {
    let mut attempts = Vec::new();
    for attempt in 0..4 {
        let url = format!(
            "http://{}/reserve",
            targets[(first + attempt) % targets.len()]
        );
        let sent = client
            .post(url)
            .header("plumhitch-customer", "tc-utrecht")
            .header("plumhitch-service", "booking")
            .header("plumhitch-class", "reservation")
            .header("idempotency-key", key)
            .send()
            .await;
        let Ok(res) = sent else {
            attempts.push("lost".to_owned());
            continue;
        };
        let run = res.headers().get("plumhitch-run").cloned();
        let status = res.status().as_u16();
        let run = run.map_or(String::new(), |r| format!(" {}", r.to_str().unwrap()));
        attempts.push(format!("{status}{run}"));
        if status == 200 || status == 409 {
            break;
        }
    }
    attempts
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_of_each_daemon_under_load_runs_no_request_twice() {
    let mut fleet = Fleet::start().await;
    let load = Load::start(&fleet);
    load.wait_for_responses(50).await;
    for i in 0..3 {
        fleet.daemons[i].kill();
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.daemons[i].restart();
        announce(&fleet.client, &fleet.daemons[i], "b1").await;
        fleet.wait_until_serving(i).await;
        load.wait_for_responses(50).await;
    }
    load.stop_and_check(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_of_each_daemon_under_load_runs_no_request_twice() {
    let fleet = Fleet::start().await;
    let load = Load::start(&fleet);
    load.wait_for_responses(50).await;
    for daemon in &fleet.daemons {
        daemon.signal("STOP");
        tokio::time::sleep(Duration::from_secs(6)).await;
        daemon.signal("CONT");
        load.wait_for_responses(50).await;
    }
    load.stop_and_check(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_out_gets_no_new_requests_from_a_frozen_daemon() {
    let fleet = Fleet::start().await;
    fleet.daemons[2].signal("STOP");
    let out = serde_json::json!({
        "change": "out", "base": 2, "author": "test",
        "operation": {"kind": "upstream-out", "upstream": "booking-2"},
    });
    support::post(&fleet.client, &fleet.daemons[0], "/v1/changes", &out).await;
    let before = fleet.upstream_stats[2].started.load(Ordering::SeqCst);
    // These requests queue in the frozen daemon's sockets; it reads them first.
    let queued: Vec<_> = (0..30)
        .map(|_| {
            let req = support::request(&fleet.client, "GET", &fleet.daemons[2], "/ready");
            tokio::spawn(req.send())
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(5)).await;
    fleet.daemons[2].signal("CONT");
    for task in queued {
        let _ = task.await;
    }
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) {
        for daemon in &fleet.daemons {
            let _ = support::request(&fleet.client, "GET", daemon, "/ready")
                .send()
                .await;
        }
    }
    assert_eq!(
        fleet.upstream_stats[2].started.load(Ordering::SeqCst),
        before
    );
}
