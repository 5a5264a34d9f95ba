//! HTTP client for the daemons' operator API. Failed requests are retried at the
//! next daemon until the timeout.

use crate::args::Args;
use crate::failure::Failure;
use api::{
    ChangeBody, ErrorBody, HistoryBody, OutcomeBody, RolloutBody, RolloutOrderBody, StatusBody,
    Verdict,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reqwest::{Method, StatusCode, Url, redirect};
use serde::de::DeserializeOwned;
use std::env;
use std::fs;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Environment variable with the operator addresses of daemons.
const DAEMONS_VAR: &str = "PLUMHITCH_DAEMONS";
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for sending an order for a rollout again. The same order starts a new
/// rollout from 30 s after the one before was rolled back.
const MAX_ORDER_TIME: Duration = Duration::from_secs(25);
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Client of one or more daemons of the same fleet.
#[derive(Debug)]
pub(crate) struct Client {
    http: reqwest::Client,
    daemons: Vec<Url>,
    daemon_index: usize,
    token: Option<String>,
    deadline: Instant,
    rng: SmallRng,
}

/// Request that is sent unchanged in each attempt.
#[derive(Debug)]
struct Request {
    method: Method,
    path: String,
    body: Option<Vec<u8>>,
}

/// Result of one attempt.
#[derive(Debug)]
enum Attempt {
    /// The daemon sent a complete response.
    Response(StatusCode, Vec<u8>),
    /// No connection was established, so nothing was sent.
    NotSent(String),
    /// The request may have been sent and executed, but no complete response came.
    ResponseLost(String),
}

impl Client {
    /// Creates a client whose timeout starts now.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Failed`] for an invalid address or an unreadable token.
    pub(crate) fn new(args: &Args) -> Result<Self, Failure> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .redirect(redirect::Policy::none())
            .no_proxy()
            .build()
            .map_err(|e| Failure::Failed(format!("no HTTP client: {e}")))?;
        Ok(Self {
            http,
            daemons: daemon_urls(args)?,
            daemon_index: 0,
            token: read_token(args)?,
            deadline: Instant::now() + Duration::from_secs(args.timeout),
            rng: SmallRng::from_os_rng(),
        })
    }

    /// Requests the state of the fleet.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Failed`] when no daemon responded in time.
    pub(crate) async fn status(&mut self) -> Result<StatusBody, Failure> {
        self.get(api::STATUS.to_owned()).await
    }

    /// Requests accepted changes, newest first.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Failed`] when no daemon responded in time.
    pub(crate) async fn history(&mut self, limit: u32) -> Result<HistoryBody, Failure> {
        self.get(format!("{}?limit={limit}", api::HISTORY)).await
    }

    /// Sends a change until a daemon reports its outcome.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unknown`] when the change may have been committed, and
    /// [`Failure::Failed`] when it was certainly not.
    pub(crate) async fn change(&mut self, change: &ChangeBody) -> Result<OutcomeBody, Failure> {
        let body = serde_json::to_vec(change).map_err(|e| Failure::Failed(e.to_string()))?;
        let request = Request {
            method: Method::POST,
            path: api::CHANGES.to_owned(),
            body: Some(body),
        };
        self.send_with_retries(&request, parse_outcome).await
    }

    /// Sends an order for a rollout until a daemon reports that it is committed.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unknown`] when the order may have been committed, and another
    /// failure when it was certainly not.
    pub(crate) async fn start_rollout(
        &mut self,
        order: &RolloutOrderBody,
    ) -> Result<RolloutBody, Failure> {
        self.deadline = self.deadline.min(Instant::now() + MAX_ORDER_TIME);
        let body = serde_json::to_vec(order).map_err(|e| Failure::Failed(e.to_string()))?;
        let request = Request {
            method: Method::POST,
            path: api::ROLLOUTS.to_owned(),
            body: Some(body),
        };
        self.send_with_retries(&request, parse_rollout).await?
    }

    /// Requests the newest rollout of a service.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Failed`] when there is none, or no daemon responded in time.
    pub(crate) async fn rollout(&mut self, service: &str) -> Result<RolloutBody, Failure> {
        self.get(format!("{}/{service}", api::ROLLOUTS)).await
    }

    /// Makes the empty control replica of the only daemon the first of a new
    /// fleet. The request is sent once, to one daemon, and only after that daemon
    /// has found no leader: two first replicas would create two fleets.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Failed`] when not exactly one daemon is given, a fleet
    /// exists or the daemon refuses, and [`Failure::Unknown`] when the response
    /// is lost.
    pub(crate) async fn initialise(&mut self) -> Result<(), Failure> {
        let [daemon] = &self.daemons[..] else {
            let reason = "initialise takes exactly one --daemon: the first replica of the fleet";
            return Err(Failure::Failed(reason.to_owned()));
        };
        self.check_no_fleet(daemon).await?;
        let request = Request {
            method: Method::POST,
            path: api::INITIALISE.to_owned(),
            body: None,
        };
        match self.attempt(daemon, &request).await {
            Attempt::Response(status, _) if status.is_success() => Ok(()),
            Attempt::Response(status, body) => Err(Failure::Failed(error_message(status, &body))),
            Attempt::NotSent(reason) => Err(Failure::Failed(reason)),
            Attempt::ResponseLost(reason) => {
                let reason = format!("{reason}; see `plumhitch status` of that daemon");
                Err(Failure::Unknown(None, reason))
            }
        }
    }

    /// Fails if the daemon finds an existing fleet. It responds to a status
    /// request with 503 only when it finds no leader among the replicas in its
    /// settings.
    async fn check_no_fleet(&self, daemon: &Url) -> Result<(), Failure> {
        let request = Request {
            method: Method::GET,
            path: api::STATUS.to_owned(),
            body: None,
        };
        let reason = match self.attempt(daemon, &request).await {
            Attempt::Response(StatusCode::SERVICE_UNAVAILABLE, _) => return Ok(()),
            Attempt::Response(StatusCode::OK, _) => {
                "there is a fleet already: `plumhitch status` shows it".to_owned()
            }
            Attempt::Response(status, body) => error_message(status, &body),
            Attempt::NotSent(reason) | Attempt::ResponseLost(reason) => reason,
        };
        Err(Failure::Failed(reason))
    }

    async fn get<T: DeserializeOwned>(&mut self, path: String) -> Result<T, Failure> {
        let request = Request {
            method: Method::GET,
            path,
            body: None,
        };
        let parse = |status: StatusCode, body: &[u8]| {
            let body = status.is_success().then_some(body)?;
            serde_json::from_slice(body).ok()
        };
        let result = self.send_with_retries(&request, parse).await;
        // A read changes nothing, also when its response is lost.
        result.map_err(|e| match e {
            Failure::Unknown(_, reason) => Failure::Failed(reason),
            other => other,
        })
    }

    /// Sends a request to one daemon after the other, with exponential backoff,
    /// until `parse` accepts a response or a daemon rejects the request.
    async fn send_with_retries<T>(
        &mut self,
        request: &Request,
        parse: impl Fn(StatusCode, &[u8]) -> Option<T>,
    ) -> Result<T, Failure> {
        let mut may_have_run = false;
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let daemon = self.daemons[self.daemon_index % self.daemons.len()].clone();
            let reason = match self.attempt(&daemon, request).await {
                Attempt::Response(status, body) => {
                    if let Some(parsed) = parse(status, &body) {
                        return Ok(parsed);
                    }
                    let reason = error_message(status, &body);
                    if status.is_client_error() {
                        return Err(failure(may_have_run, reason));
                    }
                    may_have_run = true;
                    reason
                }
                Attempt::NotSent(reason) => reason,
                Attempt::ResponseLost(reason) => {
                    may_have_run = true;
                    reason
                }
            };
            log::info!("event=attempt_failed daemon={daemon} reason=\"{reason}\"");
            self.daemon_index += 1;
            let jittered = backoff.mul_f64(self.rng.random_range(0.5..1.0));
            if Instant::now() + jittered >= self.deadline {
                let reason = format!("{reason} (no daemon gave an answer within the timeout)");
                return Err(failure(may_have_run, reason));
            }
            sleep(jittered).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn attempt(&self, daemon: &Url, request: &Request) -> Attempt {
        let deadline = self.deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
        match timeout_at(deadline, self.send(daemon, request)).await {
            Ok(Ok((status, body))) => Attempt::Response(status, body),
            Ok(Err(e)) if e.is_connect() || e.is_builder() => {
                Attempt::NotSent(format!("{daemon}: can't connect"))
            }
            Ok(Err(e)) => Attempt::ResponseLost(format!("{daemon}: the answer was lost: {e}")),
            Err(_) => Attempt::ResponseLost(format!("{daemon}: no answer in time")),
        }
    }

    async fn send(
        &self,
        daemon: &Url,
        request: &Request,
    ) -> reqwest::Result<(StatusCode, Vec<u8>)> {
        let url = format!("{}{}", daemon.as_str().trim_end_matches('/'), request.path);
        let mut req = self.http.request(request.method.clone(), url);
        if let Some(token) = &self.token {
            req = req.bearer_auth(token);
        }
        if let Some(body) = &request.body {
            req = req
                .header("content-type", "application/json")
                .body(body.clone());
        }
        let res = req.send().await?;
        let status = res.status();
        Ok((status, res.bytes().await?.to_vec()))
    }
}

/// Parses the response to an order for a rollout; `None` if it says nothing about it.
fn parse_rollout(status: StatusCode, body: &[u8]) -> Option<Result<RolloutBody, Failure>> {
    match status {
        StatusCode::OK => serde_json::from_slice(body).ok().map(Ok),
        StatusCode::CONFLICT => {
            let reason = error_message(status, body);
            Some(Err(Failure::RolloutInProgress(reason)))
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            let reason = error_message(status, body);
            Some(Err(Failure::InvalidRollout(reason)))
        }
        _ => None,
    }
}

/// Parses an outcome; `None` if its verdict does not match the HTTP status.
fn parse_outcome(status: StatusCode, body: &[u8]) -> Option<OutcomeBody> {
    let outcome: OutcomeBody = serde_json::from_slice(body).ok()?;
    let expected = match outcome.verdict {
        Verdict::Accepted => StatusCode::OK,
        Verdict::Conflict => StatusCode::CONFLICT,
        Verdict::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
    };
    (status == expected).then_some(outcome)
}

fn failure(may_have_run: bool, reason: String) -> Failure {
    match may_have_run {
        true => Failure::Unknown(None, reason),
        false => Failure::Failed(reason),
    }
}

fn error_message(status: StatusCode, body: &[u8]) -> String {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => format!("{status}: {}", body.error),
        Err(_) if status == StatusCode::UNAUTHORIZED => {
            format!("{status}: the daemon wants its token, --token-file")
        }
        Err(_) => format!("the daemon answered {status}"),
    }
}

fn daemon_urls(args: &Args) -> Result<Vec<Url>, Failure> {
    let from_env = env::var(DAEMONS_VAR).unwrap_or_default();
    let addresses: Vec<&str> = match args.daemon.is_empty() {
        true => from_env.split(',').map(str::trim).collect(),
        false => args.daemon.iter().map(String::as_str).collect(),
    };
    let addresses = addresses.into_iter().filter(|address| !address.is_empty());
    let urls = addresses.map(parse_url).collect::<Result<Vec<_>, _>>()?;
    if urls.is_empty() {
        let reason = format!("no daemon: give --daemon IP:PORT, or {DAEMONS_VAR}");
        return Err(Failure::Failed(reason));
    }
    Ok(urls)
}

fn parse_url(name: &str) -> Result<Url, Failure> {
    let text = match name.contains("://") {
        true => name.to_owned(),
        false => format!("http://{name}"),
    };
    let url = Url::parse(&text)
        .ok()
        .filter(|u| u.scheme() == "http" && u.has_host());
    url.ok_or_else(|| {
        let reason = format!("'{name}' is no daemon's address; valid: IP:PORT or http://IP:PORT");
        Failure::Failed(reason)
    })
}

fn read_token(args: &Args) -> Result<Option<String>, Failure> {
    let Some(path) = &args.token_file else {
        return Ok(None);
    };
    let text = fs::read_to_string(path)
        .map_err(|e| Failure::Failed(format!("{}: {e}", path.display())))?;
    Ok(Some(text.trim().to_owned()))
}
