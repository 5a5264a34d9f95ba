//! The configuration as a replicated state machine, and its way to daemons.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use conf::{
    ChangeCommand, ConfigState, Configuration, MAX_PAGE_BYTES, MAX_REMEMBERED_CHANGES, PageOutcome,
    TransferReceiver, Transfers, prepare_change,
};
use test_case::test_case;
use wire::{ChangeOperation, ChangeOutcome, ChangeRequest, ChangeResult, Lists, OperationKind};

const PLANS: &str = "[plan gold]\nrate = 5\nin-flight = 2\n[plan basic]\nrate = 1\nin-flight = 1\n";

fn initialised() -> ConfigState {
    let mut state = ConfigState::default();
    state.initialise();
    state
}

fn lists(id: &str, base: u64, customers: Option<String>, plans: Option<&str>) -> ChangeRequest {
    ChangeRequest {
        change: id.to_owned(),
        base,
        author: "op".to_owned(),
        operation: Some(ChangeOperation {
            kind: OperationKind::Lists as i32,
            target: String::new(),
            lists: Some(Lists {
                customers,
                plans: plans.map(str::to_owned),
            }),
        }),
    }
}

fn out(id: &str, base: u64, target: &str) -> ChangeRequest {
    ChangeRequest {
        change: id.to_owned(),
        base,
        author: "op".to_owned(),
        operation: Some(ChangeOperation {
            kind: OperationKind::DataCentreOut as i32,
            target: target.to_owned(),
            lists: None,
        }),
    }
}

fn customers(count: usize, plan: &str) -> String {
    let lines = (0..count).map(|n| format!("customer-{n:06} = {plan}\n"));
    format!("[customers]\n{}", lines.collect::<String>())
}

fn command(state: &ConfigState, request: &ChangeRequest) -> ChangeCommand {
    prepare_change(state.current(), request, 0)
}

fn apply(state: &mut ConfigState, request: &ChangeRequest) -> ChangeOutcome {
    let command = command(state, request);
    state.apply(command)
}

/// Brings a daemon to the newest version; returns the number of pages.
fn transfer(state: &ConfigState, config: &mut Configuration) -> usize {
    let (mut transfers, mut receiver) = (Transfers::default(), TransferReceiver::default());
    let mut pages = 0;
    while let Some(page) = transfers.page(state, config.version, receiver.next_page(), true) {
        let before = config.clone();
        pages += 1;
        match receiver.receive_page(config, 1, page).expect("readable") {
            PageOutcome::Applied => break,
            PageOutcome::Incomplete => assert_eq!(*config, before, "in force before its last page"),
            PageOutcome::Ignored => panic!("ignored"),
        }
    }
    pages
}

#[test]
fn apply_equal_bases_one_wins() {
    let mut state = initialised();
    let first = command(&state, &out("a", 1, "dc1"));
    let second = command(&state, &out("b", 1, "dc2"));
    assert_eq!(state.apply(first).result(), ChangeResult::Accepted);
    let conflict = state.apply(second.clone());
    assert_eq!(conflict.result(), ChangeResult::Conflict);
    assert_eq!(conflict.winner.as_ref().expect("shown").change, "a");
    apply(&mut state, &out("c", 2, "dc3"));
    assert_eq!(state.apply(second), conflict);
}

#[test]
fn apply_change_prepared_when_stale_is_a_conflict() {
    let mut state = initialised();
    let early = command(&state, &out("b", 2, "dc2"));
    apply(&mut state, &out("a", 1, "dc1"));
    assert_eq!(state.apply(early).result(), ChangeResult::Conflict);
}

#[test_case(out("", 1, "dc1"); "without_id")]
#[test_case(out("a", 1, ""); "without_target")]
#[test_case(lists("a", 1, Some("[customers]\nann = gold\n".into()), None); "unknown_plan")]
#[test_case(lists("a", 1, Some("ann".into()), Some("[plan gold]\nrate = x\n")); "unreadable")]
#[test_case(ChangeRequest { change: "a".into(), base: 1, ..ChangeRequest::default() }; "nothing")]
fn apply_bad_change_is_refused_whole(request: ChangeRequest) {
    let mut state = initialised();
    let before = state.current().clone();
    let outcome = apply(&mut state, &request);
    assert_eq!(outcome.result(), ChangeResult::Invalid);
    assert!(!outcome.findings.is_empty());
    assert_eq!(*state.current(), before);
}

#[test]
fn apply_remembers_ids_through_snapshots_up_to_the_bound() {
    let mut state = initialised();
    for n in 0..MAX_REMEMBERED_CHANGES as u64 {
        apply(&mut state, &out(&format!("c{n}"), n + 1, "dc1"));
    }
    let mut state = ConfigState::restore(state.snapshot()).expect("readable");
    let first = apply(&mut state, &out("c0", 1, "dc1"));
    assert_eq!((first.result(), first.version), (ChangeResult::Accepted, 2));
    let last = state.current().version;
    apply(&mut state, &out("one-more", last, "dc1"));
    let forgotten = apply(&mut state, &out("c0", 1, "dc1"));
    assert_eq!(forgotten.result(), ChangeResult::Conflict);
}

#[test]
fn snapshot_restores_everything() {
    let mut state = initialised();
    apply(
        &mut state,
        &lists("a", 1, Some(customers(5, "gold")), Some(PLANS)),
    );
    apply(&mut state, &out("b", 2, "dc1"));
    apply(&mut state, &out("c", 1, "dc2"));
    assert_eq!(ConfigState::restore(state.snapshot()), Ok(state));
}

#[test]
fn prepare_carries_the_difference_only() {
    let mut state = initialised();
    let all = customers(1_000, "gold");
    apply(&mut state, &lists("a", 1, Some(all.clone()), Some(PLANS)));
    let changed = all
        .replace("customer-000007 = gold", "customer-000007 = basic")
        .replace("customer-000008 = gold\n", "")
        .replace("customer-000999 = gold\n", "zoe = gold\n");
    let command = command(&state, &lists("b", 2, Some(changed), None));
    let customers = command.customers.iter();
    let pairs: Vec<_> = customers
        .map(|c| (c.customer.as_str(), c.plan.as_str()))
        .collect();
    let expected = [
        ("customer-000007", "basic"),
        ("customer-000008", ""),
        ("customer-000999", ""),
        ("zoe", "gold"),
    ];
    assert_eq!(pairs, expected);
    assert_eq!(state.apply(command).result(), ChangeResult::Accepted);
    assert_eq!(state.current().customers.len(), 999);
}

#[test]
fn transfer_is_a_delta_for_a_recent_version() {
    let mut state = initialised();
    let all = customers(20_000, "gold");
    apply(&mut state, &lists("a", 1, Some(all.clone()), Some(PLANS)));
    let mut config = Configuration::default();
    assert!(transfer(&state, &mut config) > 1);
    assert_eq!(config, *state.current());

    let changed = all.replace("customer-000007 = gold", "customer-000007 = basic");
    apply(&mut state, &lists("b", 2, Some(changed), None));
    apply(&mut state, &out("c", 3, "dc1"));
    let page = Transfers::default().page(&state, 2, 0, true).expect("news");
    assert_eq!((page.from, page.to, page.customers.len()), (2, 4, 1));
    assert_eq!(page.plans, None);
    assert_eq!(transfer(&state, &mut config), 1);
    assert_eq!(config, *state.current());
}

#[test]
fn transfer_of_100_000_customers_comes_in_bounded_pages() {
    let mut state = initialised();
    let request = lists("a", 1, Some(customers(100_000, "gold")), Some(PLANS));
    assert_eq!(apply(&mut state, &request).result(), ChangeResult::Accepted);
    let mut transfers = Transfers::default();
    let page = transfers.page(&state, 0, 1, true).expect("news");
    assert!(prost::Message::encoded_len(&page) <= MAX_PAGE_BYTES);
    let mut config = Configuration::default();
    transfer(&state, &mut config);
    assert_eq!(config, *state.current());
}

#[test]
fn receiver_starts_over_when_another_version_or_leader_sends() {
    let mut state = initialised();
    let all = customers(20_000, "gold");
    apply(&mut state, &lists("a", 1, Some(all), Some(PLANS)));
    let (mut transfers, mut receiver) = (Transfers::default(), TransferReceiver::default());
    let mut config = Configuration::default();
    let first = transfers.page(&state, 0, 0, true).expect("news");
    receiver
        .receive_page(&mut config, 1, first.clone())
        .expect("readable");
    let second = transfers
        .page(&state, 0, receiver.next_page(), true)
        .expect("news");
    let other_leader = receiver.receive_page(&mut config, 2, second.clone());
    assert_eq!(other_leader, Ok(PageOutcome::Ignored));
    assert_eq!(receiver.next_page(), 0);

    receiver
        .receive_page(&mut config, 2, first)
        .expect("readable");
    apply(&mut state, &out("b", 2, "dc1"));
    let newer = transfers
        .page(&state, 0, receiver.next_page(), true)
        .expect("news");
    assert_eq!(
        receiver.receive_page(&mut config, 2, newer),
        Ok(PageOutcome::Ignored)
    );
    assert_eq!(config.version, 0);
    transfer(&state, &mut config);
    assert_eq!(config, *state.current());
}

#[test]
fn receiver_never_goes_back() {
    let mut state = initialised();
    apply(&mut state, &out("a", 1, "dc1"));
    let old = Transfers::default().page(&state, 0, 0, true).expect("news");
    apply(&mut state, &out("b", 2, "dc2"));
    let mut config = Configuration::default();
    transfer(&state, &mut config);
    let late = TransferReceiver::default().receive_page(&mut config, 1, old);
    assert_eq!(late, Ok(PageOutcome::Ignored));
    assert_eq!(config, *state.current());
}
