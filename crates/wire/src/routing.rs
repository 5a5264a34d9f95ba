//! Routes, as control keeps them and daemons get them.

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RouteKind {
    /// Not stated.
    Unknown = 0,
    /// A request may run more than once.
    Idempotent = 1,
    /// A request runs once at most.
    NonIdempotent = 2,
    /// A request with a large body, which runs once at most.
    Upload = 3,
}

/// A service that gets a part of a route's requests.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RouteDestination {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its part, relative to the weights of the route's other parts.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// Where requests with a host and a path go, and how they are handled.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Route {
    /// Name, unique among the routes.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Host that callers ask for.
    #[prost(string, tag = "2")]
    pub host: String,
    /// What the path begins with; the longest match of a host counts.
    #[prost(string, tag = "3")]
    pub prefix: String,
    /// What may be repeated.
    #[prost(enumeration = "RouteKind", tag = "4")]
    pub kind: i32,
    /// Longest time to the answer, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub timeout_ms: u64,
    /// Time within which an answer has its full worth, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub objective_ms: u64,
    /// Rank under overload; 0 is the highest.
    #[prost(uint32, tag = "7")]
    pub priority: u32,
    /// Upstreams that a request may reach.
    #[prost(uint32, tag = "8")]
    pub attempts: u32,
    /// Services that get the requests.
    #[prost(message, repeated, tag = "9")]
    pub destinations: Vec<RouteDestination>,
    /// Whether the operator wrote the parts as a weighted list.
    #[prost(bool, tag = "10")]
    pub split: bool,
}

/// What holds for every upstream of a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceRules {
    /// Service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Path of its health report.
    #[prost(string, tag = "2")]
    pub health_path: String,
    /// Connections that an upstream accepts from all callers together.
    #[prost(uint32, tag = "3")]
    pub connections: u32,
    /// Time for which an upstream that has started is cold, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub cold_ms: u64,
    /// Requests a second that a cold upstream bears, in thousandths.
    #[prost(uint64, tag = "5")]
    pub cold_per_s_milli: u64,
    /// Protocol of its upstreams, as the operator named it.
    #[prost(string, tag = "6")]
    pub protocol: String,
    /// Whether the operator asked for TLS.
    #[prost(bool, tag = "7")]
    pub tls: bool,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct CallerLimits {
    /// Bytes of a request's head; 0 for none stated.
    #[prost(uint64, tag = "1")]
    pub header_bytes: u64,
    /// Bytes of a request's body; 0 for none stated.
    #[prost(uint64, tag = "2")]
    pub body_bytes: u64,
    /// Time to send a request's head, in milliseconds; 0 for none stated.
    #[prost(uint64, tag = "3")]
    pub header_ms: u64,
    /// Time that a connection may be idle, in milliseconds; 0 for none stated.
    #[prost(uint64, tag = "4")]
    pub idle_ms: u64,
}

/// All routes, services and limits at one version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Routing {
    /// Version, chosen by the operator; 0 before the first one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Routes.
    #[prost(message, repeated, tag = "2")]
    pub routes: Vec<Route>,
    /// Services.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<ServiceRules>,
    /// Limits.
    #[prost(message, optional, tag = "4")]
    pub limits: Option<CallerLimits>,
}

/// Changes routes, services or limits, if the routing is at the version that
/// the change is based on.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RoutingChange {
    /// Version that it makes, above the current one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Version that it is based on; 0 for the first.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Whether it replaces everything; else it changes what it names.
    #[prost(bool, tag = "3")]
    pub full: bool,
    /// Routes set.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<Route>,
    /// Services set.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceRules>,
    /// Limits set, if they are.
    #[prost(message, optional, tag = "6")]
    pub limits: Option<CallerLimits>,
    /// Names of routes removed.
    #[prost(string, repeated, tag = "7")]
    pub removed_routes: Vec<String>,
    /// Names of services removed.
    #[prost(string, repeated, tag = "8")]
    pub removed_services: Vec<String>,
}

/// Takes a data centre out, or returns it, whatever the version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DataCentreOrder {
    /// Data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Whether it is out from now on.
    #[prost(bool, tag = "2")]
    pub out: bool,
}

/// Asks for the routing in force.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RoutingRequest {}
