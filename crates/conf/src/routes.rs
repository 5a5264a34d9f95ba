//! The routes in force: which one a request takes.

use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wire::{CallerLimits, Route, RouteKind, Routing, ServiceRules};

/// Routes at most.
pub const MAX_ROUTES: usize = 100_000;
/// Time by which an objective may lie above its route's timeout, in
/// milliseconds: beyond it the two were confused.
const MAX_OBJECTIVE_ABOVE_TIMEOUT_MS: u64 = 60_000;

/// Routes, services and limits at one version; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    content: Arc<Routing>,
    /// Positions of each host's routes, the longest prefix first.
    hosts: Arc<BTreeMap<CompactString, Vec<usize>>>,
}

impl PartialEq for RouteTable {
    fn eq(&self, other: &Self) -> bool {
        self.content == other.content
    }
}

impl Eq for RouteTable {}

impl RouteTable {
    /// Indexes the routes.
    #[must_use]
    pub fn new(content: Routing) -> Self {
        let mut hosts: BTreeMap<CompactString, Vec<usize>> = BTreeMap::new();
        for (index, route) in content.routes.iter().enumerate() {
            hosts.entry(host_key(&route.host)).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|i| std::cmp::Reverse(content.routes[*i].prefix.len()));
        }
        Self {
            content: Arc::new(content),
            hosts: Arc::new(hosts),
        }
    }

    /// Returns routes, services and limits as the operator set them.
    #[must_use]
    pub fn content(&self) -> &Routing {
        &self.content
    }

    /// Returns the route of a request: of those with its host, the one with the
    /// longest prefix that its path begins with.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(&host_key(host))?.iter();
        let path = path.split('?').next().unwrap_or_default();
        let mut routes = routes.filter_map(|i| self.content.routes.get(*i));
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Returns what holds for a service's upstreams.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRules> {
        self.content.services.iter().find(|s| s.name == name)
    }

    /// Returns the services that routes lead to.
    #[must_use]
    pub fn routed_services(&self) -> BTreeSet<&str> {
        let parts = self.content.routes.iter().flat_map(|r| &r.destinations);
        parts.map(|p| p.service.as_str()).collect()
    }

    /// Returns the bounds on what callers may send.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.content.limits.unwrap_or_default()
    }
}

/// Returns a host as it is compared: without a port, in lower case.
fn host_key(host: &str) -> CompactString {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let mut key = CompactString::from(name);
    key.make_ascii_lowercase();
    key
}

/// Returns what is wrong with a routing, all of it.
pub(crate) fn findings(routing: &Routing) -> Vec<String> {
    let mut wrong = Vec::new();
    let services: BTreeSet<&str> = routing.services.iter().map(|s| s.name.as_str()).collect();
    if services.len() < routing.services.len() || services.contains("") {
        wrong.push("a service has no name, or one that stands twice".to_owned());
    }
    if routing.routes.len() > MAX_ROUTES {
        wrong.push(format!("there are over {MAX_ROUTES} routes"));
    }
    let mut names = BTreeSet::new();
    let mut places = BTreeSet::new();
    for route in &routing.routes {
        if !names.insert(&route.name) {
            wrong.push(format!("route {}: the name stands twice", route.name));
        }
        if !places.insert((host_key(&route.host), &route.prefix)) {
            wrong.push(format!("route {}: another one has its place", route.name));
        }
        let found = route_findings(route, &services);
        wrong.extend(
            found
                .into_iter()
                .map(|f| format!("route {}: {f}", route.name)),
        );
    }
    wrong
}

fn route_findings(route: &Route, services: &BTreeSet<&str>) -> Vec<String> {
    let mut wrong = Vec::new();
    if route.name.is_empty() {
        wrong.push("the name is empty".to_owned());
    }
    if route.host.is_empty() {
        wrong.push("the host is empty".to_owned());
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        wrong.push("the prefix doesn't begin and end with a slash".to_owned());
    }
    if route.kind() == RouteKind::Unknown {
        wrong.push("the kind is not known".to_owned());
    }
    if route.timeout_ms == 0 {
        wrong.push("the timeout is 0".to_owned());
    }
    if route.objective_ms >= route.timeout_ms + MAX_OBJECTIVE_ABOVE_TIMEOUT_MS {
        wrong.push("the objective is a minute or more above the timeout".to_owned());
    }
    if route.attempts == 0 {
        wrong.push("no attempt is allowed".to_owned());
    }
    if route.destinations.iter().all(|p| p.weight == 0) {
        wrong.push("no service has a weight".to_owned());
    }
    for part in &route.destinations {
        if !services.contains(part.service.as_str()) {
            wrong.push(format!("service {:?} is not known", part.service));
        }
    }
    wrong
}
