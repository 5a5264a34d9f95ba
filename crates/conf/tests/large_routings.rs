//! Tests of routings with very many routes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use conf::{ConfigState, MAX_ROUTES, RouteTable, Transfers};
use prost::Message;
use std::time::{Duration, Instant};
use wire::{
    ChangeResult, Route, RouteDestination, RouteKind, Routing, RoutingChange, ServiceRules,
};

/// Time within which a change is to be in force at all daemons.
const TARGET: Duration = Duration::from_secs(7);

fn route(n: usize) -> Route {
    Route {
        name: format!("route-{n}"),
        host: "a.example".into(),
        prefix: format!("/{n}/"),
        kind: RouteKind::Idempotent.into(),
        timeout_ms: 800,
        attempts: 2,
        destinations: vec![RouteDestination {
            service: "booking".into(),
            weight: 1,
        }],
        ..Route::default()
    }
}

fn services() -> Vec<ServiceRules> {
    vec![ServiceRules {
        name: "booking".into(),
        ..ServiceRules::default()
    }]
}

/// Sets `count` routes as the next version.
fn set_routes(state: &mut ConfigState, first: usize, count: usize) {
    let base = state.current().routing.content().version;
    let change = RoutingChange {
        version: base + 1,
        base,
        full: base == 0,
        routes: (first..first + count).map(route).collect(),
        services: services(),
        ..RoutingChange::default()
    };
    let outcome = state.apply_routing(&change);
    assert_eq!(
        outcome.result(),
        ChangeResult::Accepted,
        "{:?}",
        outcome.findings
    );
}

/// Guards against work for a change that grows with the square of the number of routes:
/// control replicas then handle nothing else for seconds, and no daemon gets the version.
#[test]
fn apply_routing_of_the_maximum_size_is_within_the_target() {
    let mut state = ConfigState::default();
    state.initialise();
    set_routes(&mut state, 0, MAX_ROUTES / 2);
    let start = Instant::now();
    set_routes(&mut state, MAX_ROUTES / 2, MAX_ROUTES / 2);
    set_routes(&mut state, 7, 1);
    let took = start.elapsed();
    assert!(took < TARGET, "{took:?}");
}

/// Guards against the transfer of the full routing after a large change: over a slow link
/// it takes longer than a change may take to be in force.
#[test]
fn transfer_after_a_large_change_carries_what_changed() {
    let mut state = ConfigState::default();
    state.initialise();
    set_routes(&mut state, 0, 4_200);
    let before = state.current().version;
    set_routes(&mut state, 4_200, 1_900);
    let bytes = |from| {
        let page = Transfers::default().page(&state, from, 0, true);
        page.expect("a page").encoded_len()
    };
    let (changes, full) = (bytes(before), bytes(0));
    assert!(changes < full / 3, "{changes} of {full} bytes");
}

/// Guards against a lookup that takes longer the more routes a host has: each request of
/// every caller would.
#[test]
fn find_does_not_depend_on_the_number_of_routes() {
    let table = |count| {
        RouteTable::new(Routing {
            routes: (0..count).map(route).collect(),
            ..Routing::default()
        })
    };
    let took = |table: &RouteTable| {
        let start = Instant::now();
        (0..100).for_each(|_| assert!(table.find("a.example", "/unknown/").is_none()));
        start.elapsed()
    };
    let fastest = |table: RouteTable| (0..20).map(|_| took(&table)).min().unwrap();
    let (few, many) = (fastest(table(10)), fastest(table(20_000)));
    assert!(many < few * 50, "{many:?}, with few routes {few:?}");
}
