//! Partitions between data centres, as an entry sees them.

use pick::Reachability;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the state after the connections to three upstreams of `fra` failed.
fn partitioned() -> Reachability {
    let mut reachability = Reachability::default();
    for (at, upstream) in [(100, "u1"), (120, "u2"), (140, "u3")] {
        reachability.record_failure(ms(at), "fra", upstream);
    }
    reachability
}

#[test]
fn avoids_data_centre_after_three_of_its_upstreams_failed() {
    let mut reachability = Reachability::default();
    assert!(!reachability.record_failure(ms(100), "fra", "u1"));
    assert!(!reachability.record_failure(ms(110), "fra", "u1"));
    assert!(!reachability.record_failure(ms(120), "fra", "u2"));
    assert!(!reachability.avoids(ms(120), "fra"));
    assert!(reachability.record_failure(ms(140), "fra", "u3"));
    assert!(reachability.avoids(ms(140), "fra"));
    assert!(!reachability.avoids(ms(140), "ams"));
}

#[test]
fn avoids_no_data_centre_that_replies_in_between() {
    let mut reachability = Reachability::default();
    for (at, upstream) in [(100, "u1"), (120, "u2"), (140, "u3"), (160, "u4")] {
        reachability.record_failure(ms(at), "fra", upstream);
        assert!(!reachability.record_reply("fra"));
    }
    assert!(!reachability.avoids(ms(160), "fra"));
}

#[test]
fn avoids_no_data_centre_whose_upstreams_failed_long_apart() {
    let mut reachability = Reachability::default();
    for (at, upstream) in [(100, "u1"), (2_200, "u2"), (4_300, "u3")] {
        reachability.record_failure(ms(at), "fra", upstream);
    }
    assert!(!reachability.avoids(ms(4_300), "fra"));
}

#[test]
fn avoids_unreachable_data_centre_except_for_one_probe_a_second() {
    let mut reachability = partitioned();
    assert!(reachability.avoids(ms(1_139), "fra"));
    assert!(!reachability.avoids(ms(1_140), "fra"));
    reachability.record_sent(ms(1_140), "fra");
    assert!(reachability.avoids(ms(1_141), "fra"));
    assert!(!reachability.record_failure(ms(1_540), "fra", "u4"));
    assert!(reachability.avoids(ms(2_139), "fra"));
    assert!(!reachability.avoids(ms(2_140), "fra"));
}

#[test]
fn record_reply_to_a_probe_makes_the_data_centre_reachable() {
    let mut reachability = partitioned();
    reachability.record_sent(ms(1_140), "fra");
    assert!(reachability.record_reply("fra"));
    assert!(!reachability.avoids(ms(1_150), "fra"));
    reachability.record_failure(ms(1_200), "fra", "u1");
    assert!(!reachability.avoids(ms(1_200), "fra"));
}
