//! The share of the new version during a rollout, kept by counting.
#![allow(clippy::unwrap_used)]

use pick::VersionShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const PPM: u64 = 1_000_000;
const ROLLOUT: u64 = 7;

fn share() -> VersionShare {
    let mut share = VersionShare::default();
    share.update(ROLLOUT, true);
    share
}

/// An attempt in flight: whether it is at the new version, and whether it was charged.
type InFlight = (bool, bool);

/// Guards against an order of attempts, responses, refusals and restarts by which the new
/// version gets more than its share of the attempts that reached an upstream.
#[test_case(80_000, 1; "canary")]
#[test_case(80_000, 2; "canary with another order")]
#[test_case(250_000, 3; "first step of the ramp")]
#[test_case(500_000, 4; "second step of the ramp")]
#[test_case(1, 5; "smallest share")]
fn charge_never_exceeds_share_in_any_order(share_ppm: u32, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut share = share();
    let mut in_flight: Vec<InFlight> = Vec::new();
    let (mut reached, mut reached_new) = (0_u64, 0_u64);
    for _ in 0..20_000 {
        match rng.random_range(0..100) {
            0..50 => {
                let new = share.allows(share_ppm);
                let charged = new && share.charge(share_ppm);
                assert_eq!(new, charged);
                in_flight.push((new, charged));
            }
            50..75 if !in_flight.is_empty() => {
                let (new, _) = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                share.record_response(ROLLOUT, share_ppm);
                reached += 1;
                reached_new += u64::from(new);
            }
            75..90 if !in_flight.is_empty() => {
                let (_, charged) = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                if charged {
                    share.refund(ROLLOUT);
                }
            }
            // A cancelled attempt may have reached its upstream.
            90..99 if !in_flight.is_empty() => {
                let (new, _) = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                reached_new += u64::from(new);
            }
            99 if rng.random_bool(0.01) => {
                share = self::share();
                // What the restarted entry had in flight still reaches its upstream.
                reached_new += in_flight.drain(..).filter(|(new, _)| *new).count() as u64;
            }
            _ => {}
        }
        let at_new = reached_new + in_flight.iter().filter(|(new, _)| *new).count() as u64;
        assert!(at_new * PPM <= u64::from(share_ppm) * reached);
    }
}

/// Guards against evidence that arrives in bursts, or not at all.
#[test]
fn charge_spreads_attempts_evenly() {
    let mut share = share();
    let mut since_last = 0;
    let mut at_new = 0;
    for _ in 0..1_250 {
        since_last += 1;
        if share.allows(80_000) {
            assert!(share.charge(80_000));
            assert!(
                (12..=13).contains(&since_last) || at_new == 0,
                "{since_last}"
            );
            at_new += 1;
            since_last = 0;
        }
        share.record_response(ROLLOUT, 80_000);
    }
    assert_eq!(at_new, 99);
}

/// Guards against a burst at an upstream that appears late.
#[test]
fn allows_only_few_saved_attempts() {
    let mut share = share();
    for _ in 0..10_000 {
        share.record_response(ROLLOUT, 80_000);
    }
    let saved = std::iter::from_fn(|| share.charge(80_000).then_some(()));
    assert_eq!(saved.take(100).count(), 4);
}

#[test]
fn allows_everything_at_full_share_without_counting() {
    let mut share = share();
    for _ in 0..100 {
        assert!(share.allows(1_000_000));
        assert!(!share.charge(1_000_000));
    }
}

#[test]
fn allows_nothing_at_share_of_zero() {
    let mut share = share();
    for _ in 0..100 {
        share.record_response(ROLLOUT, 500_000);
    }
    assert!(share.allows(1));
    assert!(!share.allows(0));
}

/// Guards against a rollout that inherits what another one earned, also through the
/// late ends of attempts that were made during the other one.
#[test]
fn update_to_another_rollout_begins_with_nothing() {
    let mut share = share();
    for _ in 0..100 {
        share.record_response(ROLLOUT, 500_000);
    }
    share.update(ROLLOUT + 1, true);
    assert!(!share.allows(500_000));
    for _ in 0..100 {
        share.record_response(ROLLOUT, 500_000);
        share.refund(ROLLOUT);
    }
    assert!(!share.allows(500_000));
}

/// Guards against a view that lacks the other versions for a while, as after a change of
/// the leader, and lets everything through to the new one.
#[test]
fn is_shared_from_first_sight_of_other_versions() {
    let mut share = VersionShare::default();
    share.update(ROLLOUT, false);
    assert!(!share.is_shared());
    share.update(ROLLOUT, true);
    share.update(ROLLOUT, false);
    assert!(share.is_shared());
    share.update(ROLLOUT + 1, false);
    assert!(!share.is_shared());
}
