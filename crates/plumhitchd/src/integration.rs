//! What a daemon is called by those around it: names of headers, and listeners
//! of the program that embeds it.

use crate::handle::Handle;
use conf::Settings;
use http::header::{HeaderName, HeaderValue};
use http::{Method, StatusCode};
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::Arc;

/// Names of the headers that callers and upstreams use. A name that is absent
/// is neither read nor written.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Customer on whose plan a request runs.
    pub customer: Option<HeaderName>,
    /// Service asked for.
    pub service: Option<HeaderName>,
    /// Request class.
    pub class: Option<HeaderName>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<HeaderName>,
    /// Time left to answer, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Retries that the call tree may still spend.
    pub retry_budget: Option<HeaderName>,
    /// How many calls deep a call is, from 1.
    pub depth: Option<HeaderName>,
    /// Id by which an upstream is asked to cancel a request.
    pub request_id: Option<HeaderName>,
    /// Whether a refused request was run.
    pub run: Option<HeaderName>,
    /// Why a request was refused.
    pub reason: Option<HeaderName>,
    /// The caller's id of its attempt, which upstreams repeat in their answers.
    pub attempt_id: Option<HeaderName>,
    /// Name of the upstream that a request is meant for.
    pub target_instance: Option<HeaderName>,
    /// Service beside the daemon that a request came to first.
    pub caller_service: Option<HeaderName>,
    /// In an upstream's answer: its load, as counts of running and waiting
    /// requests and of slots, and how long work takes, in hundredths of the
    /// usual.
    pub server_load: Option<HeaderName>,
    /// In an upstream's answer: that the request did not run.
    pub not_executed: Option<HeaderName>,
    /// In an upstream's health report: how much longer it stays cold, in
    /// milliseconds.
    pub cold_remaining_ms: Option<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            customer: Some(name("plumhitch-customer")),
            service: Some(name("plumhitch-service")),
            class: Some(name("plumhitch-class")),
            idempotency_key: Some(name("idempotency-key")),
            deadline_ms: name("plumhitch-deadline-ms"),
            retry_budget: Some(name("plumhitch-retry-budget")),
            depth: Some(name("plumhitch-depth")),
            request_id: Some(name("plumhitch-request-id")),
            run: Some(name("plumhitch-run")),
            reason: Some(name("plumhitch-reason")),
            attempt_id: None,
            target_instance: None,
            caller_service: None,
            server_load: None,
            not_executed: None,
            cold_remaining_ms: None,
        }
    }
}

/// A request to a listener of the embedding program.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// Method.
    pub method: Method,
    /// Path without its query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
}

/// An answer of the embedding program.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    /// Status.
    pub status: StatusCode,
    /// JSON body, or empty.
    pub body: Vec<u8>,
}

/// The answer to a request, once it is there.
pub type ResponseFuture = Pin<Box<dyn Future<Output = ApiResponse> + Send>>;
/// Answers a request to a listener of the embedding program.
pub type RequestHandler = Arc<dyn Fn(Handle, ApiRequest) -> ResponseFuture + Send + Sync>;

/// A listener of the embedding program.
#[derive(Clone)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether the process does not start where the address can't be had; else
    /// it serves without this listener and logs why.
    pub required: bool,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// What answers.
    pub handler: RequestHandler,
}

/// Reads the settings again; returns why they can't be used.
pub type ReadSettings = Arc<dyn Fn(&Path) -> Result<Settings, String> + Send + Sync>;

/// A settings file, and how it is read.
#[derive(Clone)]
pub struct SettingsSource {
    /// The file.
    pub path: PathBuf,
    /// Reads it.
    pub read: ReadSettings,
}

/// How a daemon speaks with those around it.
#[derive(Clone, Default)]
pub struct Integration {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Whether a request's service, class and time follow from its host and
    /// path, by the routes.
    pub uses_routes: bool,
    /// Service that requests which come here first say they come from.
    pub caller_service: Option<HeaderValue>,
    /// Whether a refusal's time to come back has fractions of a second.
    pub fractional_retry_after: bool,
    /// Further listeners.
    pub endpoints: Vec<Endpoint>,
    /// Where the settings come from, to be read again when they change.
    pub settings_source: Option<SettingsSource>,
}

impl std::fmt::Debug for Integration {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Integration")
            .field("headers", &self.headers)
            .field("uses_routes", &self.uses_routes)
            .finish_non_exhaustive()
    }
}
