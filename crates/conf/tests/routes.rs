//! Tests of route lookup, routing changes and their transfer to daemons.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use conf::{ConfigState, Configuration, RouteTable, TransferReceiver, Transfers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;
use wire::{
    CallerLimits, ChangeResult, CustomerRules, DataCentreOrder, Route, RouteDestination, RouteKind,
    Routing, RoutingChange, ServiceRules,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent.into(),
        timeout_ms: 800,
        objective_ms: 200,
        priority: 1,
        attempts: 2,
        destinations: vec![RouteDestination {
            service: "booking".into(),
            weight: 1,
        }],
        ..Route::default()
    }
}

fn service(name: &str) -> ServiceRules {
    ServiceRules {
        name: name.into(),
        ..ServiceRules::default()
    }
}

fn full_change(version: u64, base: u64) -> RoutingChange {
    RoutingChange {
        version,
        base,
        full: true,
        routes: vec![route("r1", "a.example", "/x/")],
        services: vec![service("booking"), service("club")],
        ..RoutingChange::default()
    }
}

fn initialised() -> ConfigState {
    let mut state = ConfigState::default();
    state.initialise();
    state
}

fn result(state: &mut ConfigState, change: &RoutingChange) -> ChangeResult {
    state.apply_routing(change).result()
}

#[test_case("a.example", "/x/1", Some("short"); "one prefix")]
#[test_case("a.example", "/x/y/1", Some("long"); "longest prefix")]
#[test_case("A.Example:8080", "/x/1?q=/x/y/", Some("short"); "port, case and query")]
#[test_case("a.example", "/x", None; "no slash at the end")]
#[test_case("b.example", "/x/1", None; "other host")]
fn find_returns_the_longest_prefix(host: &str, path: &str, expected: Option<&str>) {
    let table = RouteTable::new(Routing {
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
        ],
        ..Routing::default()
    });
    assert_eq!(table.find(host, path).map(|r| r.name.as_str()), expected);
}

/// The index finds what a search through all routes finds.
#[test]
fn find_is_the_same_as_a_search_through_all_routes() {
    let mut rng = SmallRng::seed_from_u64(3);
    let path = |rng: &mut SmallRng| {
        let parts = (0..rng.random_range(0..5)).map(|_| ["a", "b", "é"][rng.random_range(0..3)]);
        format!("/{}", parts.map(|p| format!("{p}/")).collect::<String>())
    };
    for _ in 0..50 {
        let routes = (0..rng.random_range(0..20)).map(|n| {
            let prefix = path(&mut rng);
            route(&format!("r{n}"), "a.example", &prefix)
        });
        let routes: Vec<Route> = routes.collect();
        let table = RouteTable::new(Routing {
            routes: routes.clone(),
            ..Routing::default()
        });
        for _ in 0..50 {
            let path = path(&mut rng) + ["", "x", "é"][rng.random_range(0..3)];
            let matching = routes.iter().rev().filter(|r| path.starts_with(&r.prefix));
            let expected = matching.max_by_key(|r| r.prefix.len());
            assert_eq!(table.find("a.example", &path), expected, "{path}");
        }
    }
}

#[test]
fn apply_routing_repeated_change_gets_the_same_outcome() {
    let mut state = initialised();
    assert_eq!(
        result(&mut state, &full_change(7, 0)),
        ChangeResult::Accepted
    );
    let next = RoutingChange {
        version: 9,
        base: 7,
        removed_routes: vec!["r1".into()],
        ..RoutingChange::default()
    };
    assert_eq!(result(&mut state, &next), ChangeResult::Accepted);
    assert_eq!(
        result(&mut state, &full_change(7, 0)),
        ChangeResult::Accepted
    );
    assert_eq!(result(&mut state, &next), ChangeResult::Accepted);
    let current = state.current().routing.content();
    assert_eq!((current.version, current.routes.len()), (9, 0));
}

#[test]
fn apply_routing_concurrent_changes_have_one_winner() {
    let mut state = initialised();
    result(&mut state, &full_change(7, 0));
    let mut other = full_change(9, 7);
    other.routes[0].timeout_ms = 900;
    assert_eq!(
        result(&mut state, &full_change(9, 7)),
        ChangeResult::Accepted
    );
    assert_eq!(result(&mut state, &other), ChangeResult::Conflict);
    let current = state.current().routing.content();
    assert_eq!(current.routes[0].timeout_ms, 800);
}

#[test]
fn apply_routing_leaves_other_routes_and_services() {
    let mut state = initialised();
    result(&mut state, &full_change(7, 0));
    let change = RoutingChange {
        version: 8,
        base: 7,
        routes: vec![route("r2", "a.example", "/y/")],
        removed_services: vec!["club".into()],
        ..RoutingChange::default()
    };
    assert_eq!(result(&mut state, &change), ChangeResult::Accepted);
    let routing = state.current().routing.content();
    let names: Vec<&str> = routing.routes.iter().map(|r| r.name.as_str()).collect();
    assert_eq!((names, routing.services.len()), (vec!["r1", "r2"], 1));
}

#[test_case(|c| c.version = 7; "version not increased")]
#[test_case(|c| c.routes[0].timeout_ms = 0; "no timeout")]
#[test_case(|c| c.routes[0].objective_ms = 60_800; "objective too far above the timeout")]
#[test_case(|c| c.routes[0].host.clear(); "no host")]
#[test_case(|c| c.routes[0].kind = 0; "unknown kind")]
#[test_case(|c| c.routes[0].destinations[0].service = "none".into(); "unknown service")]
#[test_case(|c| c.routes[0].unused_service = Some("none".into()); "unknown service beside a list")]
#[test_case(|c| c.routes[0].destinations[0].weight = 0; "no weight")]
#[test_case(|c| c.routes[0].prefix = "/x".into(); "prefix without a slash")]
#[test_case(|c| c.routes.push(route("r1", "b.example", "/")); "duplicate name")]
#[test_case(|c| c.routes.push(route("r2", "A.example", "/x/")); "duplicate host and prefix")]
fn apply_routing_invalid_changes_nothing(invalidate: fn(&mut RoutingChange)) {
    let mut state = initialised();
    result(&mut state, &full_change(7, 0));
    let before = state.current().clone();
    let mut change = full_change(9, 7);
    invalidate(&mut change);
    assert_eq!(result(&mut state, &change), ChangeResult::Invalid);
    assert_eq!(state.current(), &before);
}

#[test]
fn apply_data_centre_is_idempotent() {
    let mut state = initialised();
    let order = |out| DataCentreOrder {
        data_centre: "ams".into(),
        out,
        base: None,
    };
    state.apply_data_centre(&order(true));
    let version = state.current().version;
    state.apply_data_centre(&order(true));
    assert_eq!(state.current().version, version);
    assert!(state.current().is_out("booking-1", "ams"));
    state.apply_data_centre(&order(false));
    assert!(!state.current().is_out("booking-1", "ams"));
}

#[test]
fn restore_remembers_accepted_changes() {
    let mut state = initialised();
    result(&mut state, &full_change(7, 0));
    let mut restored = ConfigState::restore(state.snapshot()).unwrap();
    assert_eq!(restored.current(), state.current());
    assert_eq!(
        result(&mut restored, &full_change(7, 0)),
        ChangeResult::Accepted
    );
}

/// The routing is part of a full transfer, and of a delta only if it changed.
#[test]
fn transfer_carries_the_routing_when_it_changed() {
    let mut state = initialised();
    result(&mut state, &full_change(7, 0));
    let (mut transfers, mut config) = (Transfers::default(), Configuration::default());
    let mut receiver = TransferReceiver::default();
    let delta = transfers.page(&state, 0, 0, true).unwrap();
    receiver.receive_page(&mut config, 1, delta).unwrap();
    assert_eq!(config, *state.current());
    state.apply_data_centre(&DataCentreOrder {
        data_centre: "ams".into(),
        out: true,
        base: None,
    });
    let delta = transfers.page(&state, config.version, 0, true).unwrap();
    assert!(delta.routing.is_none());
    receiver.receive_page(&mut config, 1, delta).unwrap();
    assert_eq!(config, *state.current());
}

/// Returns the routing with its lists sorted by name. A daemon that applies
/// changes may have another order, which does not affect route lookup. Daemons receive no
/// keys.
fn sorted(routing: &Routing) -> Routing {
    let mut routing = routing.clone();
    routing.routes.sort_by(|a, b| a.name.cmp(&b.name));
    routing.services.sort_by(|a, b| a.name.cmp(&b.name));
    routing.customers.sort_by(|a, b| a.name.cmp(&b.name));
    routing.customers.iter_mut().for_each(|c| c.keys.clear());
    routing
}

/// Generates a random change that is based on the current routing.
fn random_change(rng: &mut SmallRng, state: &ConfigState) -> RoutingChange {
    let current = state.current().routing.content();
    let mut change = RoutingChange {
        version: current.version + rng.random_range(1..3),
        base: current.version,
        full: rng.random_bool(0.3),
        services: vec![service("booking")],
        ..RoutingChange::default()
    };
    for n in 0..6 {
        let mut route = route(&format!("r{n}"), "a.example", &format!("/{n}/"));
        route.timeout_ms = rng.random_range(500..503);
        match rng.random_range(0..3) {
            0 => change.routes.push(route),
            1 => change.removed_routes.push(route.name),
            _ => {}
        }
    }
    if rng.random_bool(0.3) {
        change.services.push(service("club"));
    }
    if rng.random_bool(0.5) {
        change.needs_credentials = true;
        change.credential_salt = credentials::salt(1);
        for n in 0..4 {
            let name = format!("c{n}");
            match rng.random_range(0..3) {
                0 => change.customers.push(CustomerRules {
                    keys: vec![format!("{name}-{}", rng.random_range(0..3))],
                    name,
                    ..CustomerRules::default()
                }),
                1 => change.removed_customers.push(name),
                _ => {}
            }
        }
    }
    if change.full || rng.random_bool(0.2) {
        change.limits = Some(CallerLimits {
            body_bytes: rng.random_range(1_000..1_005),
            ..CallerLimits::default()
        });
    }
    change
}

/// A transfer brings a daemon at any version to the current routing, also from a
/// leader restored from a snapshot, and to a daemon of an earlier release that
/// supports full transfers of the routing only.
#[test_case(true; "changes")]
#[test_case(false; "full only")]
fn transfer_results_in_the_current_routing(supports_routing_changes: bool) {
    let mut rng = SmallRng::seed_from_u64(11);
    for _ in 0..50 {
        let mut state = initialised();
        assert_eq!(
            result(&mut state, &full_change(7, 0)),
            ChangeResult::Accepted
        );
        let mut daemons = vec![(Configuration::default(), TransferReceiver::default()); 4];
        let mut transfers = Transfers::default();
        for _ in 0..30 {
            let change = random_change(&mut rng, &state);
            result(&mut state, &change);
            if rng.random_bool(0.1) {
                state = ConfigState::restore(state.snapshot()).unwrap();
            }
            let (config, receiver) = &mut daemons[rng.random_range(0..4)];
            if let Some(page) = transfers.page(&state, config.version, 0, supports_routing_changes)
            {
                assert!(supports_routing_changes || page.routing_change.is_none());
                receiver.receive_page(config, 1, page).unwrap();
            }
            let (received, current) = (config.routing.content(), state.current().routing.content());
            assert!(received.customers.iter().all(|c| c.keys.is_empty()));
            assert_eq!(sorted(received), sorted(current));
            assert_eq!(config.version, state.current().version);
        }
    }
}

/// A change of one route out of 200 is transferred as that route only.
#[test]
fn transfer_of_a_small_change_is_small() {
    let mut state = initialised();
    let routes = (0..200).map(|n| route(&format!("r{n}"), "a.example", &format!("/{n}/")));
    let first = RoutingChange {
        routes: routes.collect(),
        ..full_change(7, 0)
    };
    assert_eq!(result(&mut state, &first), ChangeResult::Accepted);
    let daemon_version = state.current().version;
    let mut second = RoutingChange {
        version: 8,
        base: 7,
        ..first
    };
    second.routes[3].timeout_ms = 900;
    assert_eq!(result(&mut state, &second), ChangeResult::Accepted);
    let page = Transfers::default()
        .page(&state, daemon_version, 0, true)
        .unwrap();
    let change = page.routing_change.unwrap();
    assert_eq!((change.routes.len(), change.services.len()), (1, 0));
    assert!(page.routing.is_none());
}
