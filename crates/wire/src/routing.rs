//! Routing configuration, as control stores it and sends it to daemons.

use bytes::Bytes;
use std::fmt;

/// Whether the requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RouteKind {
    /// Not specified.
    Unknown = 0,
    /// A request may run more than once.
    Idempotent = 1,
    /// A request runs at most once.
    NonIdempotent = 2,
    /// A request with a large body, which runs at most once.
    Upload = 3,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RouteDestination {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its share, relative to the weights of the route's other destinations.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// Assigns requests to services by host and path, with the rules for them.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Route {
    /// Name, unique among the routes.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Host of the requests.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Prefix of the path; the longest one that matches applies.
    #[prost(string, tag = "3")]
    pub prefix: String,
    /// Whether the requests may run more than once.
    #[prost(enumeration = "RouteKind", tag = "4")]
    pub kind: i32,
    /// Time-out of a request, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub objective_ms: u64,
    /// Priority under overload; 0 is the highest.
    #[prost(uint32, tag = "7")]
    pub priority: u32,
    /// Maximum number of upstreams that a request is sent to.
    #[prost(uint32, tag = "8")]
    pub attempts: u32,
    /// Services that receive the requests.
    #[prost(message, repeated, tag = "9")]
    pub destinations: Vec<RouteDestination>,
    /// Whether the operator wrote the destinations as a weighted list rather than
    /// as a single service, so that they can be shown in the same form.
    #[prost(bool, tag = "10")]
    pub split: bool,
    /// Whether its requests need no credential.
    #[prost(bool, tag = "11")]
    pub open: bool,
    /// Whether the operator stated `open`, so that it can be shown in the same form.
    #[prost(bool, tag = "12")]
    pub open_stated: bool,
    /// Single service that the operator named beside a weighted list. It receives no
    /// requests, but has to exist, and is shown.
    #[prost(string, optional, tag = "13")]
    pub unused_service: Option<String>,
}

/// A customer with its credentials and limits. Its debug output does not contain the
/// keys.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[prost(skip_debug)]
pub struct CustomerRules {
    /// Name, unique among the customers.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its API keys as the operator set them. Only control replicas hold them.
    #[prost(string, repeated, tag = "2")]
    pub keys: Vec<String>,
    /// Salted digests of its API keys, in what daemons receive.
    #[prost(bytes = "bytes", repeated, tag = "3")]
    pub key_digests: Vec<Bytes>,
    /// Priority of its requests under overload in place of that of their route; 0 is the
    /// highest.
    #[prost(uint32, optional, tag = "4")]
    pub priority: Option<u32>,
    /// Maximum rate over all entries together, in requests per 1,000 seconds; 0 for no
    /// limit.
    #[prost(uint64, tag = "5")]
    pub rate_milli: u64,
    /// Requests that may exceed the rate at once.
    #[prost(uint32, tag = "6")]
    pub burst: u32,
    /// Whether the operator stated the rate, so that 0 can be shown in the same form.
    #[prost(bool, tag = "7")]
    pub rate_stated: bool,
    /// Whether the operator stated the burst, so that 0 can be shown in the same form.
    #[prost(bool, tag = "8")]
    pub burst_stated: bool,
}

impl fmt::Debug for CustomerRules {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CustomerRules")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("key_digests", &self.key_digests.len())
            .field("priority", &self.priority)
            .field("rate_milli", &self.rate_milli)
            .field("burst", &self.burst)
            .finish_non_exhaustive()
    }
}

/// Settings that apply to every upstream of a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceRules {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Path of its health check.
    #[prost(string, tag = "2")]
    pub health_path: String,
    /// Connections that an upstream accepts in total.
    #[prost(uint32, tag = "3")]
    pub connections: u32,
    /// Duration of the cold start of an upstream, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub cold_ms: u64,
    /// Requests that a cold upstream can run, per 1,000 seconds.
    #[prost(uint64, tag = "5")]
    pub cold_per_s_milli: u64,
    /// Protocol of its upstreams, as written by the operator.
    #[prost(string, tag = "6")]
    pub protocol: String,
    /// Whether the operator requested TLS.
    #[prost(bool, tag = "7")]
    pub tls: bool,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes; 0 for none.
    #[prost(uint64, tag = "1")]
    pub header_bytes: u64,
    /// Maximum size of a request's body, in bytes; 0 for none.
    #[prost(uint64, tag = "2")]
    pub body_bytes: u64,
    /// Time within which a request's head must arrive, in milliseconds; 0 for none.
    #[prost(uint64, tag = "3")]
    pub header_ms: u64,
    /// Time for which a connection may be idle, in milliseconds; 0 for none.
    #[prost(uint64, tag = "4")]
    pub idle_ms: u64,
}

/// All routes, services and limits at one version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Routing {
    /// Version chosen by the operator; 0 before the first change.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// All routes.
    #[prost(message, repeated, tag = "2")]
    pub routes: Vec<Route>,
    /// All services.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<ServiceRules>,
    /// Limits on callers, if set.
    #[prost(message, optional, tag = "4")]
    pub limits: Option<CallerLimits>,
    /// All customers.
    #[prost(message, repeated, tag = "5")]
    pub customers: Vec<CustomerRules>,
    /// Whether requests need a credential of a customer, unless their route is open.
    #[prost(bool, tag = "6")]
    pub needs_credentials: bool,
    /// Salt of the digests of the customers' keys.
    #[prost(bytes = "bytes", tag = "7")]
    pub credential_salt: Bytes,
}

/// Changes routes, services or limits, if the routing is at version `base`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RoutingChange {
    /// New version, higher than the current one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Version that the change is based on; 0 for the first.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Whether it replaces the complete routing; if not, it changes only what it
    /// contains.
    #[prost(bool, tag = "3")]
    pub full: bool,
    /// Routes added or replaced.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<Route>,
    /// Services added or replaced.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceRules>,
    /// New limits, if they change.
    #[prost(message, optional, tag = "6")]
    pub limits: Option<CallerLimits>,
    /// Names of routes removed.
    #[prost(string, repeated, tag = "7")]
    pub removed_routes: Vec<String>,
    /// Names of services removed.
    #[prost(string, repeated, tag = "8")]
    pub removed_services: Vec<String>,
    /// Customers added or replaced.
    #[prost(message, repeated, tag = "9")]
    pub customers: Vec<CustomerRules>,
    /// Names of customers removed.
    #[prost(string, repeated, tag = "10")]
    pub removed_customers: Vec<String>,
    /// Whether requests need a credential from now on; stays as it is where a change
    /// that is not full states nothing about customers.
    #[prost(bool, tag = "11")]
    pub needs_credentials: bool,
    /// Salt of the digests of the customers' keys, in what daemons receive.
    #[prost(bytes = "bytes", tag = "12")]
    pub credential_salt: Bytes,
}

/// Takes a data centre out of service, or returns it, independently of the
/// routing version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DataCentreOrder {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Whether it is taken out; if not, it is returned.
    #[prost(bool, tag = "2")]
    pub out: bool,
    /// Newest order known when the operator was last seen to wait for this one. Without
    /// it, the order is carried out whatever came before; daemons of earlier versions
    /// state none.
    #[prost(message, optional, tag = "3")]
    pub base: Option<OrderPosition>,
}

/// Position of an operator's order among those that a control leader has taken.
///
/// Orders for data centres and rollouts have neither an id nor a base version. An order
/// states the newest position that was known while its operator still waited, and the
/// leader takes it only if no other order has come since. So a copy that was delayed or
/// resent cannot undo a later order.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct OrderPosition {
    /// Term of the leader.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Number of orders that the leader has taken in its term.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Reads the current routing.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RoutingRequest {
    /// Whether the reply shall contain the keys of customers. Only daemons with a control
    /// replica request them.
    #[prost(bool, tag = "1")]
    pub with_keys: bool,
}
