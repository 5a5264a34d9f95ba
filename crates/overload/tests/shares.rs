//! Tests of what customers were served relative to each other.

use overload::CustomerShares;
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn served(counts: &[(&str, u32)]) -> CustomerShares {
    let mut shares = CustomerShares::default();
    for (customer, count) in counts {
        (0..*count).for_each(|_| shares.record_served(at(0), customer, 1));
    }
    shares
}

/// Guards against a customer among few others being starved by a large one.
#[test]
fn is_below_floor_under_a_quarter_of_the_average() {
    let shares = served(&[("large", 40), ("quarter", 8), ("less", 3)]);
    assert!(!shares.is_below_floor(at(0), "large", 1));
    assert!(!shares.is_below_floor(at(0), "quarter", 1));
    assert!(shares.is_below_floor(at(0), "less", 1));
    assert!(shares.is_below_floor(at(0), "new", 1));
}

/// Guards against a change of order where customers are not told apart.
#[test]
fn relative_of_the_only_customer_is_one() {
    let none = CustomerShares::default();
    assert!((none.relative(at(0), "", 1) - 1.0).abs() < f64::EPSILON);
    let shares = served(&[("", 7)]);
    assert!((shares.relative(at(300), "", 1) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a share that counts as one whatever the customer's plan says.
#[test]
fn relative_counts_for_each_share() {
    let mut shares = CustomerShares::default();
    shares.record_served(at(0), "single", 1);
    (0..3).for_each(|_| shares.record_served(at(0), "triple", 3));
    let relative = shares.relative(at(0), "triple", 3);
    assert!((relative - 1.0).abs() < 1e-9, "{relative}");
}

/// Guards against what was served long ago counting for ever.
#[test]
fn relative_forgets_what_was_served_long_ago() {
    let mut shares = served(&[("large", 40), ("small", 1)]);
    assert!(shares.is_below_floor(at(0), "small", 1));
    (0..4).for_each(|_| shares.record_served(at(8_000), "small", 1));
    assert!(!shares.is_below_floor(at(8_000), "small", 1));
    assert!(shares.is_below_floor(at(8_000), "large", 1));
}

/// Guards against a customer that floods and always counts as below its floor, because more
/// customers are served than are tracked.
#[test]
fn untracked_customer_is_not_below_floor() {
    let mut shares = CustomerShares::default();
    for n in 0..300 {
        shares.record_served(Duration::ZERO, &format!("c{n}"), 1);
    }
    assert!(!shares.is_below_floor(Duration::ZERO, "c299", 1));
}
