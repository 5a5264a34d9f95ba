//! Routing table: looks up the route of a request and validates a routing.

use crate::customers;
use compact_str::CompactString;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use wire::{CallerLimits, CustomerRules, Route, RouteKind, Routing, ServiceRules};

/// Maximum number of routes.
pub const MAX_ROUTES: usize = 100_000;
/// Difference from which a route's latency objective is too far above its
/// timeout. Such a difference means that the two values were mixed up.
const MAX_OBJECTIVE_ABOVE_TIMEOUT_MS: u64 = 60_000;

/// Routes, services, limits and customers of one version, with indices by host and by
/// key. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    content: Arc<Routing>,
    /// Indices of each host's routes.
    routes_by_host: Arc<HashMap<CompactString, HostRoutes>>,
    /// Index of each customer by key.
    credentials: Arc<credentials::Index>,
    /// Index of each customer by name.
    customers_by_name: Arc<HashMap<CompactString, usize>>,
}

/// The routes of one host by their prefixes.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// Index of the route with a prefix.
    by_prefix: HashMap<CompactString, usize>,
    /// The lengths of prefixes in bytes, the greatest first.
    lengths: BTreeSet<Reverse<usize>>,
}

impl HostRoutes {
    /// Adds a route. Of routes with the same prefix the first one counts.
    fn add(&mut self, prefix: &str, index: usize) {
        self.by_prefix.entry(prefix.into()).or_insert(index);
        self.lengths.insert(Reverse(prefix.len()));
    }

    /// Returns the index of the route with the longest prefix of a path.
    fn find(&self, path: &str) -> Option<usize> {
        let mut prefixes = self
            .lengths
            .iter()
            .filter_map(|length| path.get(..length.0));
        prefixes.find_map(|prefix| self.by_prefix.get(prefix).copied())
    }
}

impl PartialEq for RouteTable {
    fn eq(&self, other: &Self) -> bool {
        self.content == other.content
    }
}

impl Eq for RouteTable {}

impl RouteTable {
    /// Creates the table and indexes the routes by host and the customers by name.
    #[must_use]
    pub fn new(content: Routing) -> Self {
        let mut routes_by_host: HashMap<CompactString, HostRoutes> = HashMap::new();
        for (index, route) in content.routes.iter().enumerate() {
            let routes = routes_by_host.entry(normalise_host(&route.host));
            routes.or_default().add(&route.prefix, index);
        }
        let names = content.customers.iter().map(|c| c.name.as_str().into());
        let customers_by_name = names.zip(0..).collect();
        Self {
            credentials: Arc::new(customers::index(&content)),
            content: Arc::new(content),
            customers_by_name: Arc::new(customers_by_name),
            routes_by_host: Arc::new(routes_by_host),
        }
    }

    /// Returns the routes, services and limits as the operator set them.
    #[must_use]
    pub fn content(&self) -> &Routing {
        &self.content
    }

    /// Returns the route of a request: the one for its host with the longest
    /// prefix of its path. Port, letter case of the host and the query string are
    /// ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes_by_host.get(&normalise_host(host))?;
        let path = path.split('?').next().unwrap_or_default();
        self.content.routes.get(routes.find(path)?)
    }

    /// Returns the rules for a service's upstreams.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRules> {
        self.content.services.iter().find(|s| s.name == name)
    }

    /// Returns the customer that holds a key.
    #[must_use]
    pub fn holder(&self, key: &credentials::Key) -> Option<&CustomerRules> {
        self.content.customers.get(self.credentials.find(key)?)
    }

    /// Returns the number of keys of all customers.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.credentials.len()
    }

    /// Returns the rules of a customer.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<&CustomerRules> {
        let index = self.customers_by_name.get(name)?;
        self.content.customers.get(*index)
    }

    /// Returns the services that are destinations of routes.
    #[must_use]
    pub fn routed_services(&self) -> BTreeSet<&str> {
        let destinations = self.content.routes.iter().flat_map(|r| &r.destinations);
        destinations.map(|d| d.service.as_str()).collect()
    }

    /// Returns the limits on callers' requests and connections.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.content.limits.unwrap_or_default()
    }
}

/// Returns a host without port and in lower case, for comparison.
#[must_use]
pub fn normalise_host(host: &str) -> CompactString {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let mut key = CompactString::from(name);
    key.make_ascii_lowercase();
    key
}

/// Returns all findings in a routing.
pub(crate) fn findings(routing: &Routing) -> Vec<String> {
    let mut problems = customers::findings(&routing.customers);
    let services: BTreeSet<&str> = routing.services.iter().map(|s| s.name.as_str()).collect();
    if services.len() < routing.services.len() || services.contains("") {
        problems.push("a service has no name, or one that stands twice".to_owned());
    }
    if routing.routes.len() > MAX_ROUTES {
        problems.push(format!("there are over {MAX_ROUTES} routes"));
    }
    let mut names = BTreeSet::new();
    let mut patterns = BTreeSet::new();
    for route in &routing.routes {
        if !names.insert(&route.name) {
            problems.push(format!("route {}: the name stands twice", route.name));
        }
        if !patterns.insert((normalise_host(&route.host), &route.prefix)) {
            problems.push(format!("route {}: another one has its place", route.name));
        }
        let findings = route_findings(route, &services);
        problems.extend(
            findings
                .into_iter()
                .map(|f| format!("route {}: {f}", route.name)),
        );
    }
    problems
}

fn route_findings(route: &Route, services: &BTreeSet<&str>) -> Vec<String> {
    let mut problems = Vec::new();
    if route.name.is_empty() {
        problems.push("the name is empty".to_owned());
    }
    if route.host.is_empty() {
        problems.push("the host is empty".to_owned());
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        problems.push("the prefix doesn't begin and end with a slash".to_owned());
    }
    if route.kind() == RouteKind::Unknown {
        problems.push("the kind is not known".to_owned());
    }
    if route.timeout_ms == 0 {
        problems.push("the timeout is 0".to_owned());
    }
    let max_objective_ms = route
        .timeout_ms
        .saturating_add(MAX_OBJECTIVE_ABOVE_TIMEOUT_MS);
    if route.objective_ms >= max_objective_ms {
        problems.push("the objective is a minute or more above the timeout".to_owned());
    }
    if route.attempts == 0 {
        problems.push("no attempt is allowed".to_owned());
    }
    if route.destinations.iter().all(|d| d.weight == 0) {
        problems.push("no service has a weight".to_owned());
    }
    let named = route.destinations.iter().map(|d| &d.service);
    for service in named.chain(&route.unused_service) {
        if !services.contains(service.as_str()) {
            problems.push(format!("service {service:?} is not known"));
        }
    }
    problems
}
