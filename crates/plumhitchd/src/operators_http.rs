//! HTTP interface for operators, upstream announcements and metrics.

mod convert;
mod rollouts;
mod token;

pub(crate) use token::Token;

use crate::handle::Handle;
use crate::http_server::{self, BodyError, read_body, reject_body};
use crate::listeners::Acceptor;
use crate::metrics;
use crate::runtime::Daemon;
use api::{ErrorBody, OutcomeBody, Verdict};
use convert::OwnStatus;
use node::{Event, admission};
use replica::Role;
use salvo::http::header::{CONTENT_TYPE, WWW_AUTHENTICATE};
use salvo::http::{HeaderValue, Method, Request, ResBody, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Router, async_trait};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::sync::Arc;
use tokio::net::TcpListener;
use wire::{HistoryRequest, StatusRequest, control_reply, control_request};

/// Maximum size of a change in bytes; it must fit into one frame.
const MAX_CHANGE_BYTES: usize = 7 * 1024 * 1024;
/// Maximum size of an announcement in bytes.
const MAX_ANNOUNCE_BYTES: usize = 16 * 1024;
/// Number of past changes returned if `limit` is absent.
const DEFAULT_HISTORY: u32 = 20;

/// Serves operators and the upstream on a listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(crate) fn serve(
    daemon: &Arc<Daemon>,
    listener: TcpListener,
    token: Option<Token>,
) -> io::Result<()> {
    let trusted = daemon.cfg.operators.trusted_network;
    let loopback = daemon.cfg.listen.operators.ip().is_loopback();
    let open = token.is_none() && (loopback || trusted);
    let operators = Operators {
        daemon: daemon.clone(),
        token,
        open,
    };
    let acceptor = Acceptor::new(listener, daemon.ports.operators.clone());
    let router = Router::with_path("{**path}").goal(operators);
    http_server::serve(daemon, acceptor, router)
}

struct Operators {
    daemon: Arc<Daemon>,
    token: Option<Token>,
    /// Whether requests need no token.
    open: bool,
}

/// Status and body of an HTTP response.
struct HttpResponse {
    status: StatusCode,
    body: Vec<u8>,
    /// Why the body of the request was not read.
    body_error: Option<BodyError>,
}

#[async_trait]
impl Handler for Operators {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let response = self.respond(req).await.unwrap_or_else(|refusal| refusal);
        if response.status == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            res.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        let kind = match req.uri().path() {
            api::METRICS => "text/plain; version=0.0.4",
            _ => "application/json",
        };
        res.headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        res.status_code(response.status);
        if let Some(err) = response.body_error {
            reject_body(res, err);
        }
        res.body(ResBody::Once(response.body.into()));
    }
}

impl Operators {
    async fn respond(&self, req: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let path = req.uri().path().to_owned();
        let method = req.method().clone();
        match (method, path.as_str()) {
            (Method::POST, api::ANNOUNCE) => return self.announce(req).await,
            (Method::GET, api::HEALTH) => return Ok(self.health()),
            _ => self.authorise(req)?,
        }
        match (req.method().clone(), path.as_str()) {
            (Method::POST, api::CHANGES) => self.change(req).await,
            (Method::GET, api::HISTORY) => self.history(req).await,
            (Method::GET, api::STATUS) => self.status().await,
            (Method::POST, api::INITIALISE) => self.initialise(),
            (Method::GET, api::METRICS) => self.metrics(),
            (Method::POST, api::ROLLOUTS) => self.start_rollout(req).await,
            (Method::GET, path) => match rollout_service(path) {
                Some(service) => self.rollout(service).await,
                None => Err(no_endpoint()),
            },
            _ => Err(no_endpoint()),
        }
    }

    fn authorise(&self, req: &Request) -> Result<(), HttpResponse> {
        let header = req.headers().get("authorization");
        let authorised = self.token.as_ref().is_some_and(|t| t.matches(header));
        match self.open || authorised {
            true => Ok(()),
            false => Err(error(
                StatusCode::UNAUTHORIZED,
                "the bearer token is missing or wrong",
            )),
        }
    }

    async fn announce(&self, req: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let from = req.remote_addr().clone().into_std();
        if !from.is_some_and(|from| from.ip().is_loopback()) {
            let why = "only the upstream on this VM may announce itself here";
            return Err(error(StatusCode::FORBIDDEN, why));
        }
        let body: api::AnnounceBody = self.parse(req, MAX_ANNOUNCE_BYTES).await?;
        let event = admission::Event::Announced(body.into());
        self.daemon.handle_event(Event::Admission(event));
        Ok(empty(StatusCode::NO_CONTENT))
    }

    fn health(&self) -> HttpResponse {
        match Handle::new(self.daemon.clone()).is_ready() {
            true => empty(StatusCode::OK),
            false => error(
                StatusCode::SERVICE_UNAVAILABLE,
                "this daemon takes no new work: it is stopping or has had no fresh word \
                 from control",
            ),
        }
    }

    async fn parse<T: DeserializeOwned>(
        &self,
        req: &mut Request,
        max: usize,
    ) -> Result<T, HttpResponse> {
        let refuse = |err: BodyError| {
            let why = match err {
                BodyError::NoMemory => "there is no memory for the body; send the same again",
                BodyError::Late | BodyError::Unreadable => {
                    &format!("the body can't be read in time or is longer than {max} bytes")
                }
            };
            HttpResponse {
                body_error: Some(err),
                ..error(err.status(), why)
            }
        };
        let body = read_body(&self.daemon, req, max).await.map_err(refuse)?;
        serde_json::from_slice(&body.bytes)
            .map_err(|err| error(StatusCode::BAD_REQUEST, &format!("not valid: {err}")))
    }

    async fn change(&self, req: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let body = self.parse(req, MAX_CHANGE_BYTES).await?;
        let change = convert::change_request(body);
        match self.request(control_request::Kind::Change(change)).await? {
            control_reply::Kind::Change(outcome) => {
                let body = convert::outcome_body(outcome).ok_or_else(no_outcome)?;
                Ok(json(outcome_status(&body), &body))
            }
            _ => Err(no_outcome()),
        }
    }

    async fn history(&self, req: &Request) -> Result<HttpResponse, HttpResponse> {
        let limit = req.query("limit").unwrap_or(DEFAULT_HISTORY);
        let kind = control_request::Kind::History(HistoryRequest { limit });
        match self.request(kind).await? {
            control_reply::Kind::History(history) => {
                Ok(json(StatusCode::OK, &convert::history_body(history)))
            }
            _ => Err(no_outcome()),
        }
    }

    async fn status(&self) -> Result<HttpResponse, HttpResponse> {
        let own = self.daemon.read(|node| {
            let replica = node.control.as_ref().map(|c| c.replica());
            let role = replica.map(|r| metrics::role_name(r.role()));
            OwnStatus {
                daemon: node.agent.name.to_string(),
                version: node.agent.config.version,
                statement: node.admission.statement(),
                replica_role: role.map(str::to_owned),
                set_aside: replica.map_or_else(Vec::new, |r| r.set_aside().to_vec()),
            }
        });
        match self
            .request(control_request::Kind::Status(StatusRequest {}))
            .await?
        {
            control_reply::Kind::Status(status) => {
                let body = convert::status_body(own, status);
                Ok(json(StatusCode::OK, &body))
            }
            _ => Err(no_outcome()),
        }
    }

    /// Sends a request to the control leader.
    async fn request(
        &self,
        kind: control_request::Kind,
    ) -> Result<control_reply::Kind, HttpResponse> {
        let handle = Handle::new(self.daemon.clone());
        handle.request(kind).await.ok_or_else(no_outcome)
    }

    fn initialise(&self) -> Result<HttpResponse, HttpResponse> {
        let role = self
            .daemon
            .read(|node| node.control.as_ref().map(|c| c.replica().role()));
        match role {
            Some(Role::Empty) => {
                log::info!("event=initialise");
                self.daemon.handle_event(Event::Initialise);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            Some(_) => Err(error(
                StatusCode::CONFLICT,
                "this daemon's control replica belongs to a cluster already",
            )),
            None => Err(error(
                StatusCode::CONFLICT,
                "this daemon runs no control replica: its settings have no data folder",
            )),
        }
    }

    fn metrics(&self) -> Result<HttpResponse, HttpResponse> {
        let text = Handle::new(self.daemon.clone()).metrics();
        let text = text.map_err(|err| error(StatusCode::INTERNAL_SERVER_ERROR, &err));
        Ok(HttpResponse {
            status: StatusCode::OK,
            body: text?.into_bytes(),
            body_error: None,
        })
    }
}

fn outcome_status(body: &OutcomeBody) -> StatusCode {
    match body.verdict {
        Verdict::Accepted => StatusCode::OK,
        Verdict::Conflict => StatusCode::CONFLICT,
        Verdict::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
    }
}

/// Returns the service whose rollout is read by a request to a path.
fn rollout_service(path: &str) -> Option<&str> {
    let service = path.strip_prefix(api::ROLLOUTS)?.strip_prefix('/')?;
    Some(service).filter(|service| !service.is_empty())
}

fn no_endpoint() -> HttpResponse {
    error(StatusCode::NOT_FOUND, "no such endpoint")
}

fn no_outcome() -> HttpResponse {
    error(
        StatusCode::SERVICE_UNAVAILABLE,
        "no control leader confirmed an outcome in time; send the same again",
    )
}

fn empty(status: StatusCode) -> HttpResponse {
    HttpResponse {
        status,
        body: Vec::new(),
        body_error: None,
    }
}

fn json(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_vec(body).unwrap_or_default();
    HttpResponse {
        status,
        body,
        body_error: None,
    }
}

fn error(status: StatusCode, why: &str) -> HttpResponse {
    let error = why.to_owned();
    json(status, &ErrorBody { error })
}
