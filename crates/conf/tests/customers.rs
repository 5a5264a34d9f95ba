//! Tests of customers and their keys in the routing.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use conf::{ConfigState, Configuration, TransferReceiver, Transfers, routing_without_keys};
use credentials::Key;
use prost::Message;
use test_case::test_case;
use wire::{ChangeResult, ConfigDelta, CustomerRules, Routing, RoutingChange};

fn customer(name: &str, keys: &[&str]) -> CustomerRules {
    CustomerRules {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).into()).collect(),
        ..CustomerRules::default()
    }
}

fn full_change(customers: Vec<CustomerRules>) -> RoutingChange {
    RoutingChange {
        version: 7,
        base: 0,
        full: true,
        customers,
        needs_credentials: true,
        credential_salt: credentials::salt(5),
        ..RoutingChange::default()
    }
}

fn patch(version: u64, customers: Vec<CustomerRules>) -> RoutingChange {
    RoutingChange {
        version,
        base: version - 1,
        full: false,
        ..full_change(customers)
    }
}

/// Returns a state with the customers `acme` and `other`.
fn state() -> ConfigState {
    let mut state = ConfigState::default();
    state.initialise();
    let customers = vec![
        customer("acme", &["secret-1", "secret-2"]),
        customer("other", &["secret-3"]),
    ];
    accept(&mut state, &full_change(customers));
    state
}

fn accept(state: &mut ConfigState, change: &RoutingChange) {
    let outcome = state.apply_routing(change);
    assert_eq!(outcome.result(), ChangeResult::Accepted, "{outcome:?}");
}

fn routing(state: &ConfigState) -> &Routing {
    state.current().routing.content()
}

fn page(state: &ConfigState, from: u64) -> ConfigDelta {
    Transfers::default().page(state, from, 0, true).unwrap()
}

fn holder(config: &Configuration, key: &str) -> Option<String> {
    let holder = config.routing.holder(&Key::new(key.as_bytes()));
    holder.map(|customer| customer.name.clone())
}

/// A finding must not reveal a key in a log line or to another operator.
#[test_case(vec![customer("a", &["secret"]), customer("b", &["secret"])], &["\"a\"", "\"b\""]; "shared key")]
#[test_case(vec![customer("a", &["secret", ""])], &["\"a\"", "key is empty"]; "empty key")]
#[test_case(vec![customer("a", &["secret"]), customer("a", &[])], &["\"a\"", "twice"]; "repeated name")]
#[test_case(vec![customer("", &["secret"])], &["name is empty"]; "empty name")]
#[test_case(vec![customer("a\nb", &["secret"])], &["control characters"]; "line break in the name")]
#[test_case(vec![CustomerRules { rate_milli: 10_000_000_001, ..customer("a", &["secret"]) }], &["\"a\"", "rate"]; "absurd rate")]
#[test_case(vec![CustomerRules { rate_milli: 1, burst: 10_000_001, ..customer("a", &["secret"]) }], &["\"a\"", "burst"]; "absurd burst")]
#[test_case(vec![CustomerRules { burst: 1, ..customer("a", &["secret"]) }], &["\"a\"", "burst without"]; "burst without rate")]
fn apply_routing_invalid_customers_changes_nothing(customers: Vec<CustomerRules>, parts: &[&str]) {
    for change in [full_change(customers.clone()), patch(1, customers)] {
        let mut state = ConfigState::default();
        state.initialise();
        let outcome = state.apply_routing(&change);
        assert_eq!(outcome.result(), ChangeResult::Invalid);
        let findings = outcome.findings.join("; ");
        assert!(
            parts.iter().all(|part| findings.contains(part)),
            "{findings}"
        );
        assert!(!findings.contains("secret"), "{findings}");
        assert_eq!(routing(&state), &Routing::default());
    }
}

/// A patch can give a customer the key of another one that it does not mention.
#[test]
fn apply_routing_patch_with_key_of_an_existing_customer_is_invalid() {
    let mut state = state();
    let outcome = state.apply_routing(&patch(8, vec![customer("third", &["secret-3"])]));
    assert_eq!(outcome.result(), ChangeResult::Invalid);
    assert!(outcome.findings[0].contains("other"), "{outcome:?}");
}

#[test]
fn apply_routing_patch_sets_and_removes_customers() {
    let mut state = state();
    let mut change = patch(8, vec![customer("acme", &["secret-4"])]);
    change.removed_customers = vec!["other".into()];
    accept(&mut state, &change);
    let customers = &routing(&state).customers;
    assert_eq!(customers.len(), 1);
    assert_eq!(customers[0].keys, ["secret-4"]);
}

/// A change of routes only must not lift the need of credentials; a full configuration
/// without customers does.
#[test]
fn apply_routing_without_customers_keeps_or_lifts_the_need() {
    let mut state = state();
    let unrelated = RoutingChange {
        version: 8,
        base: 7,
        ..RoutingChange::default()
    };
    accept(&mut state, &unrelated);
    assert!(routing(&state).needs_credentials);
    assert_eq!(routing(&state).customers.len(), 2);
    let from = state.current().version;
    let without = RoutingChange {
        version: 9,
        base: 8,
        full: true,
        ..RoutingChange::default()
    };
    accept(&mut state, &without);
    assert!(!routing(&state).needs_credentials);
    assert!(!page(&state, from).routing.unwrap().needs_credentials);
}

/// The operator resends an accepted change, and the leader may have another salt.
#[test]
fn apply_routing_repeated_change_is_recognised_without_its_salt() {
    let mut state = state();
    let change = patch(8, vec![customer("acme", &["secret-4"])]);
    accept(&mut state, &change);
    accept(&mut state, &patch(9, vec![]));
    let version = state.current().version;
    let resent = RoutingChange {
        credential_salt: credentials::salt(6),
        ..change
    };
    accept(&mut state, &resent);
    assert_eq!(state.current().version, version);
}

/// Replicas that apply the same log must send the same digests, also from a snapshot.
#[test]
fn digests_are_the_same_on_replicas() {
    let (first, mut second) = (state(), state());
    assert_eq!(routing(&first), routing(&second));
    let restored = ConfigState::restore(first.snapshot()).unwrap();
    assert_eq!(routing(&restored), routing(&first));
    let mut third = restored;
    for state in [&mut second, &mut third] {
        accept(state, &patch(8, vec![customer("new", &["secret-5"])]));
    }
    assert_eq!(routing(&second), routing(&third));
}

/// The salt of the first change with customers stays, or digests that daemons hold would
/// match no key.
#[test]
fn salt_stays_with_later_changes() {
    let mut state = state();
    let change = RoutingChange {
        credential_salt: credentials::salt(6),
        ..patch(8, vec![customer("new", &["secret-5"])])
    };
    accept(&mut state, &change);
    assert_eq!(routing(&state).credential_salt, credentials::salt(5));
    assert_eq!(holder(state.current(), "secret-1").as_deref(), Some("acme"));
    assert_eq!(holder(state.current(), "secret-5").as_deref(), Some("new"));
}

/// Snapshots keep the keys, which operators read back.
#[test]
fn snapshot_keeps_keys() {
    let restored = ConfigState::restore(state().snapshot()).unwrap();
    assert_eq!(
        routing(&restored).customers[0].keys,
        ["secret-1", "secret-2"]
    );
}

/// Only control replicas hold keys.
#[test]
fn transfer_contains_no_key() {
    let mut state = state();
    let from = state.current().version;
    accept(&mut state, &patch(8, vec![customer("acme", &["secret-4"])]));
    for (from, is_full) in [(0, true), (from, false)] {
        let page = page(&state, from);
        assert_eq!(page.routing.is_some(), is_full);
        let bytes = page.encode_to_vec();
        assert!(!bytes.windows(7).any(|part| part == b"secret-"));
    }
}

/// A daemon without a control replica that reads the routing gets no keys either.
#[test]
fn routing_without_keys_has_the_rest() {
    let state = state();
    let stripped = routing_without_keys(routing(&state));
    assert!(stripped.customers.iter().all(|c| c.keys.is_empty()));
    let mut expected = routing(&state).clone();
    expected.customers.iter_mut().for_each(|c| c.keys.clear());
    assert_eq!(stripped, expected);
}

/// A withdrawn key must not stay valid at a daemon that receives only the difference.
#[test]
fn transfer_of_a_difference_replaces_keys() {
    let mut state = state();
    let (mut config, mut receiver) = (Configuration::default(), TransferReceiver::default());
    let first = page(&state, 0);
    receiver.receive_page(&mut config, 1, first).unwrap();
    assert_eq!(holder(&config, "secret-1").as_deref(), Some("acme"));
    assert_eq!(holder(&config, "secret-3").as_deref(), Some("other"));
    let mut change = patch(8, vec![customer("acme", &["secret-2"])]);
    change.removed_customers = vec!["other".into()];
    accept(&mut state, &change);
    let second = page(&state, config.version);
    let sent = second.routing_change.as_ref().unwrap();
    assert_eq!((sent.customers.len(), sent.removed_customers.len()), (1, 1));
    receiver.receive_page(&mut config, 1, second).unwrap();
    assert_eq!(holder(&config, "secret-1"), None);
    assert_eq!(holder(&config, "secret-2").as_deref(), Some("acme"));
    assert_eq!(holder(&config, "secret-3"), None);
}

/// Messages may be logged by their debug output.
#[test]
fn debug_output_has_no_key() {
    let text = format!("{:?}", full_change(vec![customer("acme", &["secret-1"])]));
    assert!(text.contains("acme") && !text.contains("secret"), "{text}");
}
