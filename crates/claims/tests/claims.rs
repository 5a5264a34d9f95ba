//! Claims: which attempt may run a request, and for how long that is remembered.

use claims::{ClaimKey, Claims, Decision, Limits, Settlement};
use test_case::test_case;

const LIMITS: Limits = Limits {
    retention_ms: 1_000,
    max_claims: 3,
};

fn key(name: &str) -> ClaimKey {
    ClaimKey::new(5, "tc", "booking", name)
}

fn claims_with_one_held() -> Claims {
    let mut claims = Claims::default();
    claims.advance(100, LIMITS);
    let decision = claims.claim(key("k"), 7, 1, 10, LIMITS);
    assert_eq!(decision, Decision::Granted { number: 10 });
    claims
}

#[test_case(7, 1 => Decision::Granted { number: 10 }; "same_attempt")]
#[test_case(7, 2 => Decision::MayHaveRun; "other_attempt")]
#[test_case(8, 2 => Decision::KeyReused; "other_request")]
fn claim_held(fingerprint: u64, nonce: u64) -> Decision {
    claims_with_one_held().claim(key("k"), fingerprint, nonce, 11, LIMITS)
}

#[test_case(10, Settlement::Finished(201) => Decision::Ran { status: 201 }; "finished")]
#[test_case(10, Settlement::Released => Decision::Granted { number: 11 }; "released")]
#[test_case(9, Settlement::Finished(201) => Decision::MayHaveRun; "finished_by_another")]
#[test_case(9, Settlement::Released => Decision::MayHaveRun; "released_by_another")]
fn claim_after_settlement(number: u64, settlement: Settlement) -> Decision {
    let mut claims = claims_with_one_held();
    claims.settle(&key("k"), number, settlement);
    claims.claim(key("k"), 7, 2, 11, LIMITS)
}

#[test]
fn settle_finished_is_not_released() {
    let mut claims = claims_with_one_held();
    claims.settle(&key("k"), 10, Settlement::Finished(200));
    claims.settle(&key("k"), 10, Settlement::Released);
    let decision = claims.claim(key("k"), 7, 1, 11, LIMITS);
    assert_eq!(decision, Decision::Ran { status: 200 });
}

#[test]
fn claim_delayed_message_of_a_released_attempt_claims_nothing() {
    let mut claims = claims_with_one_held();
    claims.settle(&key("k"), 10, Settlement::Released);
    let delayed = claims.claim(key("k"), 7, 1, 11, LIMITS);
    assert_eq!(delayed, Decision::MayHaveRun);
    let next = claims.claim(key("k"), 7, 2, 12, LIMITS);
    assert_eq!(next, Decision::Granted { number: 12 });
}

#[test]
fn give_up_before_the_claim_arrives_blocks_it() {
    let mut claims = Claims::default();
    claims.give_up(&key("k"), 1);
    let delayed = claims.claim(key("k"), 7, 1, 10, LIMITS);
    assert_eq!(delayed, Decision::MayHaveRun);
    assert!(claims.is_empty());
}

#[test]
fn give_up_does_not_affect_another_attempt() {
    let mut claims = claims_with_one_held();
    claims.give_up(&key("k"), 2);
    let decision = claims.claim(key("k"), 7, 3, 11, LIMITS);
    assert_eq!(decision, Decision::MayHaveRun);
}

#[test]
fn claim_above_the_limit_is_full_until_a_claim_expires() {
    let mut claims = Claims::default();
    for n in 0..3 {
        claims.advance(n, LIMITS);
        claims.claim(key(&format!("k{n}")), 7, n, n + 1, LIMITS);
    }
    let full = claims.claim(key("k3"), 7, 3, 4, LIMITS);
    assert_eq!(full, Decision::Full);
    claims.advance(1_000, LIMITS);
    let granted = claims.claim(key("k3"), 7, 3, 5, LIMITS);
    assert_eq!(granted, Decision::Granted { number: 5 });
    assert_eq!(claims.len(), 3);
}

#[test]
fn claim_size_does_not_depend_on_key_length() {
    let snapshot = |name: &str| {
        let mut claims = Claims::default();
        claims.claim(key(name), 7, 1, 1, LIMITS);
        prost::Message::encoded_len(&claims.snapshot())
    };
    assert_eq!(size_of::<ClaimKey>(), 16);
    assert_eq!(snapshot("k"), snapshot(&"k".repeat(32_000)));
}

#[test]
fn advance_never_goes_back() {
    let mut claims = claims_with_one_held();
    claims.advance(5, LIMITS);
    assert_eq!(claims.time_ms(), 100);
}

#[test]
fn claim_keys_with_different_part_boundaries_differ() {
    let key = ClaimKey::new(5, "a", "bc", "d");
    assert_ne!(key, ClaimKey::new(5, "ab", "c", "d"));
    assert_ne!(key, ClaimKey::new(5, "a", "b", "cd"));
    assert_ne!(key, ClaimKey::new(6, "a", "bc", "d"));
}

#[test]
fn snapshot_restores_everything() {
    let mut claims = claims_with_one_held();
    claims.claim(key("k2"), 7, 2, 11, LIMITS);
    claims.settle(&key("k2"), 11, Settlement::Finished(404));
    claims.claim(key("k3"), 7, 3, 12, LIMITS);
    claims.settle(&key("k3"), 12, Settlement::Released);
    assert_eq!(Claims::restore(&claims.snapshot()), claims);
}
