//! The rules of the limits that the routing states, one by one: what a home grants, and
//! what an entry does with it.

#![allow(clippy::unwrap_used)]

use quota::{HomeTimes, NO_PREDECESSOR, RateAdmission, RateLeases, RateLedger, RateLimit, home_of};
use std::time::Duration;
use wire::{Allowance, AllowanceRequest, CustomerId, QuotaHome};

const CUSTOMER: CustomerId = CustomerId::const_new("tc-utrecht");
const START: Duration = Duration::from_secs(3_600);
const LEASE: Duration = Duration::from_secs(3);
const LIMIT: RateLimit = RateLimit {
    rate_milli: 10_000,
    burst: 1_000,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(id: u64, wanted: u32, returned: u32) -> AllowanceRequest {
    AllowanceRequest {
        id,
        daemon: "entry-1".into(),
        customer: CUSTOMER.to_string(),
        wanted,
        returned,
        arrivals: wanted,
        incarnation: 1,
        ..AllowanceRequest::default()
    }
}

fn granted(home: &mut RateLedger, now: Duration, id: u64, since: Duration) -> u32 {
    let allowance = home.handle_request(now, &request(id, 5_000, 0), LIMIT, since);
    if allowance.usable_after_us > 0 {
        0
    } else {
        allowance.granted
    }
}

/// Guards against a new home that grants what its predecessor may have granted.
#[test]
fn new_home_begins_with_an_empty_bucket() {
    let mut home = RateLedger::new();
    assert_eq!(granted(&mut home, START, 1, START + ms(1)), 0);
    assert_eq!(granted(&mut home, START + ms(1_000), 2, START), 10);
}

/// Guards against a daemon that keeps a full bucket while another one is home.
#[test]
fn daemon_that_is_home_again_begins_with_an_empty_bucket() {
    let mut home = RateLedger::new();
    let old = START - Duration::from_secs(1_000);
    assert_eq!(granted(&mut home, START, 1, old), 1_004);
    let later = START + Duration::from_secs(1_000);
    assert_eq!(granted(&mut home, later, 2, later - ms(1_000)), 10);
}

/// Guards against an entry that returns more than it was granted, late, or twice.
#[test]
fn home_takes_back_at_most_what_it_granted_lately() {
    let mut home = RateLedger::new();
    let since = START - Duration::from_secs(1_000);
    home.handle_request(START, &request(1, 1_004, 0), LIMIT, since);
    home.handle_request(START, &request(2, 0, 50), LIMIT, since);
    home.handle_request(START, &request(2, 0, 50), LIMIT, since);
    assert_eq!(granted(&mut home, START, 3, since), 50);
    home.handle_request(START, &request(4, 0, 5_000), LIMIT, since);
    assert_eq!(granted(&mut home, START, 5, since), 1_004);
    home.handle_request(START + ms(301), &request(6, 0, 500), LIMIT, since);
    assert_eq!(granted(&mut home, START + ms(301), 7, since), 3);
}

/// Guards against tokens that are reserved for an entry that will hardly use them, while
/// requests at other entries are refused.
#[test]
fn home_reserves_tokens_only_for_entries_with_demand() {
    let mut home = RateLedger::new();
    let rare = home.handle_request(START, &request(1, 1, 0), LIMIT, START);
    assert_eq!((rare.granted, rare.retry_after_ms), (0, 100));
    let frequent = AllowanceRequest {
        demand: 5_000,
        ..request(2, 1, 0)
    };
    let reserved = home.handle_request(START, &frequent, LIMIT, START);
    assert_eq!((reserved.granted, reserved.usable_after_us), (1, 100_000));
}

fn homes(names: &[&str]) -> Vec<QuotaHome> {
    let home = |name: &&str| QuotaHome {
        daemon: (*name).to_owned(),
        address: String::new(),
    };
    names.iter().map(home).collect()
}

/// Returns the home among two daemons, and the other one.
fn two_homes() -> (&'static str, &'static str) {
    let list = homes(&["booking-1", "booking-2"]);
    match home_of(&CUSTOMER, &list).unwrap().daemon.as_str() {
        "booking-1" => ("booking-1", "booking-2"),
        _ => ("booking-2", "booking-1"),
    }
}

/// Guards against two homes that grant at once.
#[test]
fn home_waits_for_the_lease_of_a_listed_predecessor() {
    let (first, second) = two_homes();
    let mut times = HomeTimes::new(LEASE);
    times.update(START, &homes(&[second]), true);
    times.update(START + ms(10_000), &homes(&[first, second]), true);
    let since = times.home_since(&CUSTOMER, first);
    assert_eq!(since, Some(START + ms(10_000) + LEASE));
    assert_eq!(times.home_since(&CUSTOMER, second), None);
}

/// Guards against a pause after a home was lost, whose lease has ended then.
#[test]
fn home_does_not_wait_for_a_lost_predecessor() {
    let (first, second) = two_homes();
    let mut times = HomeTimes::new(LEASE);
    times.update(START, &homes(&[first, second]), true);
    times.update(START + ms(10_000), &homes(&[second]), true);
    let since = times.home_since(&CUSTOMER, second);
    assert_eq!(since, Some(START + ms(10_000)));
}

/// Guards against a daemon that has just started, or was unconfirmed, and doesn't know
/// which daemon was home in between.
#[test]
fn home_waits_for_an_unknown_predecessor() {
    let (first, _) = two_homes();
    let mut times = HomeTimes::new(LEASE);
    times.update(START, &homes(&[first]), true);
    assert_eq!(times.home_since(&CUSTOMER, first), Some(START + LEASE));
    times.update(START + ms(10_000), &homes(&[first]), false);
    assert_eq!(times.home_since(&CUSTOMER, first), None);
    times.update(START + ms(11_000), &homes(&[first]), true);
    let since = times.home_since(&CUSTOMER, first);
    assert_eq!(since, Some(START + ms(11_000) + LEASE));
}

/// Guards against a customer within its limit that is refused after the first configuration,
/// until a lease of a predecessor ends that never was.
#[test]
fn first_home_ever_begins_at_once_with_a_full_bucket() {
    let (first, _) = two_homes();
    let mut times = HomeTimes::new(LEASE);
    times.update(START, &[], true);
    times.update(START, &homes(&[first]), true);
    times.mark_initial();
    let since = times.home_since(&CUSTOMER, first);
    assert_eq!(since, Some(NO_PREDECESSOR));
    let mut home = RateLedger::new();
    assert_eq!(granted(&mut home, START, 1, NO_PREDECESSOR), 1_004);
}

/// Guards against a second full bucket for a customer that moves when the first list of
/// homes grows.
#[test]
fn home_waits_for_a_predecessor_of_the_first_list() {
    let (first, second) = two_homes();
    let mut times = HomeTimes::new(LEASE);
    times.update(START, &homes(&[second]), true);
    times.mark_initial();
    times.update(START + ms(100), &homes(&[first, second]), true);
    let since = times.home_since(&CUSTOMER, first);
    assert_eq!(since, Some(START + ms(100) + LEASE));
}

/// Guards against a daemon that takes itself for the first home ever after it was
/// unconfirmed: it has granted before.
#[test]
fn home_that_was_unconfirmed_is_not_the_first() {
    let (first, _) = two_homes();
    let mut times = HomeTimes::new(LEASE);
    times.update(START, &homes(&[first]), true);
    times.mark_initial();
    times.update(START + ms(10_000), &homes(&[first]), false);
    times.update(START + ms(11_000), &homes(&[first]), true);
    times.mark_initial();
    let since = times.home_since(&CUSTOMER, first);
    assert_eq!(since, Some(START + ms(11_000) + LEASE));
}

struct Entry {
    leases: RateLeases,
    requests: Vec<AllowanceRequest>,
}

impl Entry {
    /// Returns an entry that has just got this reply to its first request.
    fn new(reply: Allowance) -> Self {
        let mut leases = RateLeases::new("entry-1".into());
        leases.set_limit(START, &CUSTOMER, LIMIT, 1);
        let mut entry = Self {
            leases,
            requests: Vec::new(),
        };
        assert_eq!(entry.admit(START), RateAdmission::Held);
        let reply = Allowance {
            id: entry.requests[0].id,
            customer: CUSTOMER.to_string(),
            from_routing: true,
            ..reply
        };
        entry
            .leases
            .handle_allowance(START, &reply, &mut entry.requests);
        entry
    }

    fn admit(&mut self, now: Duration) -> RateAdmission {
        let held = (1, now + ms(40));
        self.leases.admit(now, &CUSTOMER, held, &mut self.requests)
    }
}

fn block(tokens: u32) -> Allowance {
    Allowance {
        granted: tokens,
        ..Allowance::default()
    }
}

/// Guards against tokens of a higher limit that are used under a lower one.
#[test]
fn lowered_limit_ends_the_block() {
    let mut entry = Entry::new(block(10));
    assert_eq!(entry.admit(START), RateAdmission::Admitted);
    let lower = RateLimit {
        burst: 999,
        ..LIMIT
    };
    entry.leases.set_limit(START, &CUSTOMER, lower, 2);
    assert_eq!(entry.admit(START), RateAdmission::Held);
}

/// Guards against a refusal that is remembered although the limit was raised.
#[test]
fn raised_limit_ends_the_refusal() {
    let refusal = Allowance {
        retry_after_ms: 700,
        ask_after_ms: 600,
        ..Allowance::default()
    };
    let mut entry = Entry::new(refusal);
    let refused = RateAdmission::Refused(ms(700));
    assert_eq!(entry.admit(START), refused);
    let higher = RateLimit {
        burst: 1_001,
        ..LIMIT
    };
    entry.leases.set_limit(START, &CUSTOMER, higher, 2);
    assert_eq!(entry.admit(START), RateAdmission::Held);
}

/// Guards against a token that is used in a later window.
#[test]
fn block_ends_after_its_lifetime() {
    let mut entry = Entry::new(block(10));
    assert_eq!(entry.admit(START + ms(199)), RateAdmission::Admitted);
    assert_eq!(entry.admit(START + ms(200)), RateAdmission::Held);
}

/// Guards against a request that is admitted by a token that has not arrived yet.
#[test]
fn reserved_block_is_used_from_its_time() {
    let reserved = Allowance {
        granted: 2,
        usable_after_us: 30_000,
        ..Allowance::default()
    };
    let mut entry = Entry::new(reserved);
    assert!(entry.leases.take_decisions().is_empty());
    assert_eq!(entry.admit(START + ms(10)), RateAdmission::Held);
    assert_eq!(entry.admit(START + ms(10)), RateAdmission::Refused(ms(20)));
    entry.leases.tick(START + ms(30), &mut entry.requests);
    let decisions = entry.leases.take_decisions();
    assert_eq!(decisions.len(), 2);
    assert!(decisions.iter().all(|d| d.refused.is_none()));
}

/// Guards against tokens that stay at an entry whose requests have stopped.
#[test]
fn entry_without_requests_returns_its_tokens() {
    let mut entry = Entry::new(block(10));
    entry.requests.clear();
    entry.leases.tick(START + ms(99), &mut entry.requests);
    assert!(entry.requests.is_empty());
    entry.leases.tick(START + ms(100), &mut entry.requests);
    let returned: Vec<_> = entry
        .requests
        .iter()
        .map(|r| (r.wanted, r.returned))
        .collect();
    assert_eq!(returned, [(0, 9)]);
}
