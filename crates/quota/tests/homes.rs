//! The choice of customers' homes, and the state that a home keeps.

use conf::Plan;
use quota::{Leases, Ledger, home_of};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{AllowanceRequest, CustomerId, QuotaHome};

const BLOCK_LIFETIME: Duration = Duration::from_secs(1);
const START: Duration = Duration::from_secs(3_600);

const PLAN: Plan = Plan {
    rate: 1,
    burst: 100,
    in_flight: 100,
    share: 1,
};

fn homes(count: usize) -> Vec<QuotaHome> {
    let home = |i| QuotaHome {
        daemon: format!("booking-{i}"),
        address: format!("10.1.0.{i}:7300"),
    };
    (0..count).map(home).collect()
}

fn block_request(id: u64, wanted: u32, returned: u32) -> AllowanceRequest {
    AllowanceRequest {
        id,
        daemon: "entry-1".into(),
        customer: "tc-utrecht".into(),
        wanted,
        returned,
        ..AllowanceRequest::default()
    }
}

#[test]
fn removing_a_home_moves_only_its_own_customers() {
    let before = homes(5);
    let after = &before[..4];
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for i in 0..10_000 {
        let customer = format!("customer-{i}");
        let (Some(old), Some(new)) = (home_of(&customer, &before), home_of(&customer, after))
        else {
            unreachable!("there are homes");
        };
        assert!(old == new || old == &before[4]);
        *counts.entry(&old.daemon).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (1_800..2_200).contains(count)),
        "{counts:?}"
    );
    assert_eq!(home_of("customer-1", &[]), None);
}

/// A delayed message makes the home take a later one for new when it arrives again. What
/// it then puts back is less than what the delayed message took.
#[test]
fn delayed_request_allows_no_second_refund() {
    let mut home = Ledger::new(Duration::ZERO, BLOCK_LIFETIME);
    home.handle_request(START, &block_request(1, 40, 0), &PLAN);
    home.handle_request(START, &block_request(2, 20, 0), &PLAN);
    home.handle_request(START, &block_request(3, 0, 30), &PLAN);
    for _ in 0..3 {
        home.handle_request(START, &block_request(2, 20, 0), &PLAN);
        home.handle_request(START, &block_request(3, 0, 30), &PLAN);
    }
    let used = 40 + 20 - 30;
    let granted = home.handle_request(START, &block_request(4, 100, 0), &PLAN);
    assert!(granted.granted <= 100 - used, "{}", granted.granted);
}

#[test]
fn duplicate_request_returns_tokens_only_once() {
    let mut home = Ledger::new(Duration::ZERO, BLOCK_LIFETIME);
    assert_eq!(
        home.handle_request(START, &block_request(1, 100, 0), &PLAN)
            .granted,
        100
    );
    home.handle_request(START, &block_request(2, 0, 50), &PLAN);
    home.handle_request(START, &block_request(2, 0, 50), &PLAN);
    assert_eq!(
        home.handle_request(START, &block_request(3, 100, 0), &PLAN)
            .granted,
        50
    );
}

#[test]
fn request_returns_at_most_what_was_granted() {
    let mut home = Ledger::new(Duration::ZERO, BLOCK_LIFETIME);
    let neighbour = AllowanceRequest {
        daemon: "entry-2".into(),
        ..block_request(1, 80, 0)
    };
    assert_eq!(home.handle_request(START, &neighbour, &PLAN).granted, 80);
    let granted = home
        .handle_request(START, &block_request(1, 10, 0), &PLAN)
        .granted;
    home.handle_request(START, &block_request(2, 0, 1_000), &PLAN);
    assert_eq!(
        (
            granted,
            home.handle_request(START, &block_request(3, 20, 0), &PLAN)
                .granted
        ),
        (8, 16)
    );
}

#[test]
fn idle_customers_are_removed_at_the_entry_and_the_home() {
    let mut home = Ledger::new(Duration::ZERO, BLOCK_LIFETIME);
    let mut leases = Leases::new("entry-1".into(), BLOCK_LIFETIME);
    let mut requests = Vec::new();
    for i in 0..1_000 {
        let customer = CustomerId::from(format!("customer-{i}"));
        assert_eq!(leases.set_plan(START, &customer, PLAN, 1), Ok(()));
        assert_eq!(leases.admit(START, &customer, &mut requests), Ok(()));
        leases.finished(&customer);
    }
    assert_eq!(requests.len(), 1_000);
    for request in &requests {
        leases.handle_allowance(START, &home.handle_request(START, request, &PLAN));
    }
    let later = START + Duration::from_secs(600);
    (0..100).for_each(|_| home.tick(later));
    leases.tick(later, &mut requests);
    leases.tick(later + Duration::from_secs(600), &mut requests);
    assert_eq!((home.len(), leases.len()), (0, 0));
}
