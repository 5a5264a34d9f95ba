//! Tests of the credit of an entry at the gates of a service.

use overload::{AskBudget, AskRequest};
use std::time::Duration;
use test_case::test_case;

const REQUEST: AskRequest<'_> = AskRequest {
    customer: "",
    weight: 8,
    is_call: false,
    in_time: true,
    has_waited: false,
};
/// Refusals that use up the credit of an entry.
const ALL_CREDIT: u32 = 16;

/// Returns a budget after a number of refusals, and the time, at which nothing is added.
fn refused(count: u32) -> (AskBudget, Duration) {
    let now = Duration::from_secs(10);
    let mut budget = AskBudget::default();
    (0..count).for_each(|_| budget.record_refused(now));
    (budget, now)
}

/// Guards against rejections where there is no overload.
#[test_case(AskRequest { in_time: false, ..REQUEST }; "late")]
#[test_case(AskRequest { weight: 1, ..REQUEST }; "light")]
fn check_with_credit_left_allows(request: AskRequest<'_>) {
    let (mut budget, now) = refused(3);
    assert_eq!(budget.check(now, &REQUEST), Ok(()));
    assert_eq!(budget.check(now, &request), Ok(()));
}

/// Guards against asking gates again and again in vain.
#[test]
fn check_without_credit_rejects() {
    let (mut budget, now) = refused(ALL_CREDIT);
    assert!(budget.check(now, &REQUEST).is_err());
}

/// Guards against a slot that is held while its call is rejected.
#[test]
fn check_call_without_credit_is_allowed() {
    let (mut budget, now) = refused(2 * ALL_CREDIT);
    let call = AskRequest {
        is_call: true,
        ..REQUEST
    };
    assert_eq!(budget.check(now, &call), Ok(()));
}

/// Guards against light, late or new requests that take the room of others.
#[test_case(14, AskRequest { weight: 1, ..REQUEST }, REQUEST; "light before heavy")]
#[test_case(8, AskRequest { in_time: false, ..REQUEST }, AskRequest { weight: 1, ..REQUEST }; "late before light")]
#[test_case(16, REQUEST, AskRequest { has_waited: true, ..REQUEST }; "new before one that waited")]
fn check_rejects_first(refusals: u32, first: AskRequest<'_>, last: AskRequest<'_>) {
    let (mut budget, now) = refused(refusals);
    assert_eq!(budget.check(now, &REQUEST).is_ok(), refusals < ALL_CREDIT);
    // A fraction of a refusal is added in this time, which separates neighbouring ranks.
    let now = now + Duration::from_millis(25);
    assert!(budget.check(now, &first).is_err());
    assert_eq!(budget.check(now, &last), Ok(()));
}

/// Guards against a customer that gets nothing because its requests are light.
#[test]
fn check_customer_below_floor_before_heavier() {
    let (mut budget, now) = refused(ALL_CREDIT);
    (0..20).for_each(|_| budget.record_response(now, "large", 0));
    (0..16).for_each(|_| budget.record_refused(now));
    let of = |customer, weight| AskRequest {
        customer,
        weight,
        ..REQUEST
    };
    assert!(budget.check(now, &of("large", 8)).is_err());
    assert_eq!(budget.check(now, &of("small", 1)), Ok(()));
}

/// Guards against a customer above its share that gets as much as one below it.
#[test]
fn check_rejects_customer_above_share_first() {
    let (mut budget, now) = refused(ALL_CREDIT);
    (0..10).for_each(|_| budget.record_response(now, "large", 0));
    (0..5).for_each(|_| budget.record_response(now, "small", 0));
    (0..16).for_each(|_| budget.record_refused(now));
    let now = now + Duration::from_millis(75);
    let of = |customer| AskRequest {
        customer,
        ..REQUEST
    };
    assert!(budget.check(now, &of("large")).is_err());
    assert_eq!(budget.check(now, &of("small")), Ok(()));
}

/// Guards against refusals that count although the request found a slot elsewhere, as it
/// often does where some upstreams are slow for a moment.
#[test]
fn record_response_gives_back_refusals() {
    let (mut budget, now) = refused(ALL_CREDIT);
    budget.record_response(now, "", ALL_CREDIT);
    let late = AskRequest {
        in_time: false,
        ..REQUEST
    };
    assert_eq!(budget.check(now, &late), Ok(()));
}

/// Guards against an entry that never finds out that there is room again.
#[test]
fn check_allows_again_after_a_while() {
    let (mut budget, now) = refused(2 * ALL_CREDIT);
    assert!(budget.check(now, &REQUEST).is_err());
    let later = now + Duration::from_secs(5);
    assert_eq!(budget.check(later, &REQUEST), Ok(()));
}

/// Guards against callers that are all told to come back at the same time.
#[test]
fn check_tells_callers_to_come_back_one_after_the_other() {
    let (mut budget, mut now) = refused(2 * ALL_CREDIT);
    for _ in 0..4 {
        now += Duration::from_millis(50);
        budget.record_response(now, "", 0);
        budget.record_refused(now);
    }
    let waits = [(); 3].map(|()| budget.check(now, &REQUEST));
    let expected = [50, 100, 150].map(|ms| Err(Duration::from_millis(ms)));
    assert_eq!(waits, expected);
}
