//! How an embedding program adapts the daemon to its environment: header names,
//! additional listeners and the source of the settings.

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
    /// Customer whose plan applies to a request.
    pub customer: Option<HeaderName>,
    /// Credential of a customer, if routes decide requests. Where the configuration needs
    /// credentials, it is not forwarded.
    pub credential: Option<HeaderName>,
    /// Tells the upstream the customer that was identified by its credential. Where the
    /// configuration needs credentials, callers cannot set it.
    pub identified_customer: Option<HeaderName>,
    /// Requested service.
    pub service: Option<HeaderName>,
    /// Request class.
    pub class: Option<HeaderName>,
    /// Idempotency key of the caller.
    pub idempotency_key: Option<HeaderName>,
    /// Remaining time until the deadline, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Remaining retries of the complete call tree.
    pub retry_budget: Option<HeaderName>,
    /// Depth of the call in the call tree, starting at 1.
    pub depth: Option<HeaderName>,
    /// Id of a request, by which it can be cancelled at the upstream.
    pub request_id: Option<HeaderName>,
    /// Whether a refused request ran at an upstream.
    pub run: Option<HeaderName>,
    /// Why a request was refused.
    pub reason: Option<HeaderName>,
    /// Caller's id of its attempt, which upstreams echo in their responses.
    pub attempt_id: Option<HeaderName>,
    /// Name of the upstream that a request is addressed to.
    pub target_upstream: Option<HeaderName>,
    /// Service beside the first daemon on a request's path.
    pub caller_service: Option<HeaderName>,
    /// Load in an upstream's response: the numbers of running requests, waiting
    /// requests and slots, and the service time in percent of the normal one.
    pub upstream_load: Option<HeaderName>,
    /// Marks an upstream's response to a request that it did not run.
    pub not_run: Option<HeaderName>,
    /// Name of the upstream in its health responses.
    pub upstream_id: Option<HeaderName>,
    /// Maximum rate in an upstream's response, in requests a second from all entries
    /// together.
    pub stated_rate: Option<HeaderName>,
    /// Marks the responses of an upstream that is leaving, with the value 1.
    pub stated_leaving: Option<HeaderName>,
    /// Remaining time of the cold start in an upstream's health report, in
    /// milliseconds.
    pub cold_remaining_ms: Option<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            customer: Some(name("plumhitch-customer")),
            credential: None,
            identified_customer: None,
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
            target_upstream: None,
            caller_service: None,
            upstream_load: None,
            not_run: None,
            upstream_id: None,
            stated_rate: Some(name("plumhitch-rate-limit")),
            stated_leaving: Some(name("plumhitch-leaving")),
            cold_remaining_ms: None,
        }
    }
}

/// A request to an endpoint of the embedding program.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Complete request body.
    pub body: Vec<u8>,
}

/// A response of the embedding program.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON text, or empty.
    pub body: Vec<u8>,
}

/// Future of the response to a request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = ApiResponse> + Send>>;
/// Handles the requests to an endpoint of the embedding program.
pub type RequestHandler = Arc<dyn Fn(Handle, ApiRequest) -> ResponseFuture + Send + Sync>;

/// An endpoint of the embedding program, with its own listener.
#[derive(Clone)]
pub struct Endpoint {
    /// Name of the endpoint in metrics and log lines.
    pub name: &'static str,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Whether the daemon starts only once it listens on the address, and exits if that
    /// takes too long; otherwise it runs without this endpoint meanwhile.
    pub required: bool,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Handler of its requests.
    pub handler: RequestHandler,
}

/// Reads and validates the settings, and how the daemon is integrated; the error says why
/// they are not usable.
pub type ReadSettings = Arc<dyn Fn(&Path) -> Result<(Settings, Integration), String> + Send + Sync>;

/// A settings file, which is read again when it changes, and its parser.
#[derive(Clone)]
pub struct SettingsSource {
    /// Path of the file.
    pub path: PathBuf,
    /// Reads and validates the file.
    pub read: ReadSettings,
}

/// How the daemon is integrated into its environment.
#[derive(Clone, Default)]
pub struct Integration {
    /// Header names of callers and upstreams.
    pub headers: HeaderNames,
    /// Whether the service, class and time limit of a request follow from its host
    /// and path by the routes, instead of from its headers.
    pub uses_routes: bool,
    /// Scheme of the credential header, which precedes the key.
    pub credential_scheme: &'static str,
    /// Value of the `caller_service` header of requests that enter here.
    pub caller_service: Option<HeaderValue>,
    /// Whether `retry-after` of a refusal has fractions of a second.
    pub fractional_retry_after: bool,
    /// HTTP status for a request that is refused because it crashes upstreams; 403 if
    /// `None`.
    pub convicted_status: Option<StatusCode>,
    /// Additional endpoints.
    pub endpoints: Vec<Endpoint>,
}

impl std::fmt::Debug for Integration {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Integration")
            .field("headers", &self.headers)
            .field("uses_routes", &self.uses_routes)
            .finish_non_exhaustive()
    }
}
