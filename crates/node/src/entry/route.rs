//! Resolves the route of a request to a service and the rules that apply.

use super::identity::identify;
use super::message::{Request, RouteKey};
use super::refusal::{Reason, RefusalCause};
use super::request::RequestRules;
use crate::context::Cx;
use conf::{Class, KeyRule};
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;
use wire::{Route, RouteKind, ServiceId};

/// Weight of a class at the highest priority; each lower priority halves it.
const HIGHEST_WEIGHT: u32 = 1 << 10;
/// Lowest priority that is distinguished.
const MAX_PRIORITY: u32 = 10;

/// Finds the route of a request, identifies its customer and chooses a service. The
/// customer's priority goes before that of the route.
pub(super) fn resolve(
    request: &mut Request,
    route_key: &RouteKey,
    cx: &mut Cx<'_>,
) -> Result<RequestRules, RefusalCause> {
    let table = cx.agent.config.routing.clone();
    if table.content().version == 0 {
        return Err(Reason::Stale.into());
    }
    let route = table.find(&route_key.host, &route_key.path);
    let route = route.ok_or(Reason::NoRoute)?;
    let identified = identify(request, &table, route, cx)?;
    let (identity, priority) = identified.unzip();
    let priority = priority.flatten().unwrap_or(route.priority);
    request.service = choose_service(route, cx.rng).ok_or(Reason::NoRoute)?;
    Ok(RequestRules {
        class_name: route.name.as_str().into(),
        class: Class {
            weight: HIGHEST_WEIGHT >> priority.min(MAX_PRIORITY),
            idempotent: route.kind() == RouteKind::Idempotent,
            key: KeyRule::Optional,
            deadline: Duration::from_millis(route.timeout_ms),
        },
        max_reached_upstreams: usize::try_from(route.attempts).unwrap_or(usize::MAX),
        objective: Some(Duration::from_millis(route.objective_ms)),
        identity,
    })
}

/// Chooses a service at random, by the weights of the route's destinations.
fn choose_service(route: &Route, rng: &mut SmallRng) -> Option<ServiceId> {
    let total: u64 = route.destinations.iter().map(|d| u64::from(d.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut drawn = rng.random_range(0..total);
    for destination in &route.destinations {
        let weight = u64::from(destination.weight);
        if drawn < weight {
            return Some(destination.service.as_str().into());
        }
        drawn -= weight;
    }
    None
}
