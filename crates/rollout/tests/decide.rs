//! Tests of the decision in a closed loop, and of its schedule.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod closed_loop;

use closed_loop::{BOUNDS, Request, Scenario, run};
use rand::Rng;
use rand::rngs::SmallRng;
use rollout::{
    ALL_PPM, Decision, Evidence, Fleet, RollBackReason, RolloutView, VersionGroup, decide,
};
use std::time::Duration;
use test_case::test_case;
use wire::{Rollout, RolloutStage};

const SEEDS: std::ops::Range<u64> = 0..8;

fn is_new(request: &Request) -> bool {
    request.group == VersionGroup::New
}

fn good(_: &Request, rng: &mut SmallRng) -> (bool, f64) {
    (rng.random_bool(0.01), 1.0)
}

fn fails(request: &Request, rng: &mut SmallRng) -> (bool, f64) {
    (is_new(request) && rng.random_bool(0.3), 1.0)
}

fn always_fails(request: &Request, _: &mut SmallRng) -> (bool, f64) {
    (is_new(request), 1.0)
}

fn fails_late_in_a_long_canary(request: &Request, rng: &mut SmallRng) -> (bool, f64) {
    fails_from(request, rng, 20_000)
}

/// One upstream of the new version fails; it is at fault, not the version.
fn one_upstream_fails(request: &Request, _: &mut SmallRng) -> (bool, f64) {
    (is_new(request) && request.upstream == 3, 1.0)
}

/// The difference is below the one from which a version is bad.
fn slightly_worse(request: &Request, rng: &mut SmallRng) -> (bool, f64) {
    let ratio = if is_new(request) { 0.025 } else { 0.01 };
    (rng.random_bool(ratio), 1.0)
}

fn is_slow(request: &Request, rng: &mut SmallRng) -> (bool, f64) {
    let slow = is_new(request) && rng.random_bool(0.5);
    (false, if slow { 4.0 } else { 1.0 })
}

fn fails_later(request: &Request, rng: &mut SmallRng) -> (bool, f64) {
    fails_from(request, rng, 5_000)
}

fn fails_from(request: &Request, rng: &mut SmallRng, ms: u64) -> (bool, f64) {
    let failed = is_new(request) && request.at_ms > ms && rng.random_bool(0.3);
    (failed, 1.0)
}

/// The ramp begins at 5.4 s.
fn fails_in_ramp(request: &Request, rng: &mut SmallRng) -> (bool, f64) {
    fails_from(request, rng, 5_600)
}

fn fails_on_rare_route(request: &Request, rng: &mut SmallRng) -> (bool, f64) {
    let failed = is_new(request) && request.route == "rare" && rng.random_bool(0.5);
    (failed, 1.0)
}

/// Fails from a quarter of the load of an upstream on.
fn fails_under_load(request: &Request, rng: &mut SmallRng) -> (bool, f64) {
    let failed = is_new(request) && request.load > 12.0 && rng.random_bool(0.5);
    (failed, 1.0)
}

fn both_fail_in_overload(request: &Request, rng: &mut SmallRng) -> (bool, f64) {
    let overloaded = (4_000..10_000).contains(&request.at_ms);
    let failed = overloaded && rng.random_bool(0.4);
    (failed, if overloaded { 4.0 } else { 1.0 })
}

fn both_slow_in_one_data_centre(request: &Request, _: &mut SmallRng) -> (bool, f64) {
    (false, if request.upstream % 3 == 1 { 5.0 } else { 1.0 })
}

/// Half of the slowness of the slowed quarter of upstreams is normalised away.
fn neighbours(request: &Request, rng: &mut SmallRng) -> (bool, f64) {
    let slow = request.is_slowed && rng.random_bool(0.5);
    (false, if slow { 7.0 } else { 1.0 })
}

fn slowed_entirely(request: &Request, _: &mut SmallRng) -> (bool, f64) {
    (false, if request.is_slowed { 7.0 } else { 1.0 })
}

/// Guards against good versions that are rolled back for what affects both versions,
/// or that are not complete by the deadline.
#[test_case(Scenario::new(good); "good")]
#[test_case(Scenario { per_second: 3.0, ..Scenario::new(good) }; "sparse")]
#[test_case(Scenario { old: 1, new: 1, ..Scenario::new(good) }; "single_upstreams")]
#[test_case(Scenario { duration_ms: 6_000, ..Scenario::new(good) }; "short")]
#[test_case(Scenario { duration_ms: 60_000, ..Scenario::new(good) }; "long")]
#[test_case(Scenario::new(both_fail_in_overload); "overload")]
#[test_case(Scenario::new(both_slow_in_one_data_centre); "slow_data_centre")]
#[test_case(Scenario::new(neighbours); "noisy_neighbours")]
#[test_case(Scenario::new(slowed_entirely); "noisy_neighbours_not_normalised")]
#[test_case(Scenario { old: 4, new: 4, ..Scenario::new(neighbours) }; "few_noisy_neighbours")]
#[test_case(Scenario::new(one_upstream_fails); "one_upstream")]
#[test_case(Scenario { per_second: 4_000.0, ..Scenario::new(slightly_worse) }; "small_difference")]
fn decide_completes_a_good_version_in_time(scenario: Scenario) {
    for seed in SEEDS {
        let outcome = run(scenario, seed);
        let in_time = outcome.ended_ms <= scenario.duration_ms;
        let complete = outcome.stage() == RolloutStage::Complete;
        assert!(complete && in_time, "seed {seed}: {outcome:?}");
    }
}

/// Guards against bad versions that are recognised too late.
#[test_case(Scenario::new(fails); "at_once")]
#[test_case(Scenario::new(is_slow); "slow")]
#[test_case(Scenario::new(fails_later); "later")]
#[test_case(Scenario::new(fails_on_rare_route); "one_route")]
#[test_case(Scenario { per_second: 100.0, ..Scenario::new(fails) }; "few_requests")]
#[test_case(Scenario { old: 2, new: 2, ..Scenario::new(fails) }; "few_upstreams")]
#[test_case(Scenario { duration_ms: 60_000, ..Scenario::new(fails_late_in_a_long_canary) }; "late_in_a_long_canary")]
fn decide_rolls_back_a_bad_version_before_50_bad_responses(scenario: Scenario) {
    for seed in SEEDS {
        let outcome = run(scenario, seed);
        let rolled_back = outcome.stage() == RolloutStage::RolledBack;
        assert!(rolled_back, "seed {seed}: {outcome:?}");
        assert!(outcome.bad_at_decision < 50, "seed {seed}: {outcome:?}");
        let limit = outcome.sent_all as f64 * BOUNDS.canary_share + 50.0;
        assert!(
            (outcome.sent_new as f64) < limit,
            "seed {seed}: {outcome:?}"
        );
    }
}

/// Guards against a decision that waits longer than for the first reports. A version
/// whose responses all fail may give 50 of them between two heartbeats.
#[test]
fn decide_rolls_back_a_version_that_always_fails_within_a_second() {
    for seed in SEEDS {
        let outcome = run(Scenario::new(always_fails), seed);
        let rolled_back = outcome.stage() == RolloutStage::RolledBack;
        assert!(rolled_back, "seed {seed}: {outcome:?}");
        assert!(outcome.ended_ms <= 1_000, "seed {seed}: {outcome:?}");
        let limit = outcome.sent_all as f64 * BOUNDS.canary_share + 50.0;
        assert!(
            (outcome.sent_new as f64) < limit,
            "seed {seed}: {outcome:?}"
        );
    }
}

/// Guards against a service with few requests whose bad version gets a larger share,
/// because there are never enough bad responses within a few seconds.
#[test]
fn decide_rolls_back_a_bad_version_with_sparse_requests_in_the_canary() {
    let scenario = Scenario {
        duration_ms: 160_000,
        per_second: 12.0,
        ..Scenario::new(fails)
    };
    for seed in SEEDS {
        let outcome = run(scenario, seed);
        let rolled_back = outcome.stage() == RolloutStage::RolledBack;
        assert!(rolled_back, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.largest_share, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.bad_at_decision < 50, "seed {seed}: {outcome:?}");
    }
}

/// Guards against versions that show their fault only when their share grows. Their
/// share has grown by then, so that more than 50 bad responses may be given.
#[test_case(Scenario::new(fails_in_ramp); "later")]
#[test_case(Scenario::new(fails_under_load); "under_load")]
fn decide_rolls_back_a_version_that_becomes_bad_in_the_ramp(scenario: Scenario) {
    for seed in SEEDS {
        let outcome = run(scenario, seed);
        let rolled_back = outcome.stage() == RolloutStage::RolledBack;
        assert!(rolled_back, "seed {seed}: {outcome:?}");
        let limit = outcome.sent_all as f64 * BOUNDS.canary_share + 50.0;
        assert!(
            (outcome.sent_new as f64) < limit,
            "seed {seed}: {outcome:?}"
        );
    }
}

fn ramp(share_ppm: u32, stepped_ms: u64) -> Rollout {
    Rollout {
        duration_ms: 12_000,
        stage: RolloutStage::Ramp as i32,
        share_ppm,
        stepped_ms,
        ..Rollout::default()
    }
}

fn staged(stage: RolloutStage) -> Rollout {
    Rollout {
        duration_ms: 12_000,
        stage: stage as i32,
        share_ppm: 80_000,
        ..Rollout::default()
    }
}

const FLEET: Fleet = Fleet {
    is_known: true,
    new_upstreams: 4,
    new_slots: 32,
    old_slots: 32,
    old_empty: false,
    entries_switched: false,
};

fn next(rollout: &Rollout, time_ms: u64, fleet: Fleet) -> Decision {
    decide(&RolloutView {
        rollout,
        time_ms,
        now: Duration::from_millis(time_ms),
        evidence: &Evidence::default(),
        fleet,
        bounds: BOUNDS,
    })
}

#[test_case(5_300, FLEET => Decision::Hold; "in_time")]
#[test_case(5_400, FLEET => Decision::SetShare(250_000); "due")]
#[test_case(5_400, Fleet { new_slots: 4, ..FLEET } => Decision::SetShare(125_000); "few_slots")]
#[test_case(5_400, Fleet { new_slots: 0, ..FLEET } => Decision::Hold; "all_cold")]
#[test_case(9_900, Fleet { new_slots: 0, ..FLEET } => Decision::Hold; "all_cold_late")]
#[test_case(9_900, FLEET => Decision::SetShare(250_000); "late_without_skipping_the_ramp")]
#[test_case(9_900, Fleet { is_known: false, ..FLEET } => Decision::Hold; "fleet_not_known")]
#[test_case(11_900, Fleet { new_upstreams: 0, ..FLEET } => Decision::Hold; "no_upstream")]
#[test_case(12_000, Fleet { new_upstreams: 0, ..FLEET }
    => Decision::RollBack(RollBackReason::NoUpstream); "no_upstream_by_the_deadline")]
fn decide_in_canary(time_ms: u64, fleet: Fleet) -> Decision {
    next(&staged(RolloutStage::Canary), time_ms, fleet)
}

#[test_case(250_000, 6_200, FLEET => Decision::Hold; "before_the_step_has_lasted")]
#[test_case(250_000, 6_280, FLEET => Decision::SetShare(500_000); "second")]
#[test_case(500_000, 6_280, FLEET => Decision::SetShare(ALL_PPM); "third")]
#[test_case(ALL_PPM, 6_280, FLEET => Decision::Switch; "last")]
#[test_case(ALL_PPM, 6_280, Fleet { new_slots: 0, ..FLEET } => Decision::Hold; "last_all_cold")]
#[test_case(250_000, 6_280, Fleet { new_slots: 8, ..FLEET } => Decision::Hold; "no_more_slots")]
#[test_case(250_000, 8_040, Fleet { new_slots: 8, ..FLEET } => Decision::Switch; "no_more_slots_in_time")]
#[test_case(250_000, 8_040, Fleet { new_slots: 0, ..FLEET } => Decision::Hold; "all_cold")]
fn decide_in_ramp(share_ppm: u32, time_ms: u64, fleet: Fleet) -> Decision {
    next(&ramp(share_ppm, 5_400), time_ms, fleet)
}

const EMPTY: Fleet = Fleet {
    old_empty: true,
    ..FLEET
};

#[test_case(10_000, FLEET => Decision::Hold; "requests_in_progress")]
#[test_case(10_000, EMPTY => Decision::Hold; "entries_not_switched")]
#[test_case(10_500, EMPTY => Decision::Complete; "entries_not_switched_for_long")]
#[test_case(30_000, FLEET => Decision::Hold; "requests_in_progress_after_the_deadline")]
#[test_case(10_000, Fleet { entries_switched: true, ..EMPTY } => Decision::Complete; "all_switched")]
#[test_case(30_000, Fleet { is_known: false, ..EMPTY } => Decision::Hold; "fleet_not_known")]
#[test_case(10_000, Fleet { new_upstreams: 0, entries_switched: true, ..EMPTY }
    => Decision::RollBack(RollBackReason::NoUpstream); "new_upstreams_lost")]
fn decide_when_switched(time_ms: u64, fleet: Fleet) -> Decision {
    let rollout = Rollout {
        stepped_ms: 9_000,
        ..staged(RolloutStage::Switched)
    };
    next(&rollout, time_ms, fleet)
}

#[test_case(RolloutStage::Complete)]
#[test_case(RolloutStage::RolledBack)]
fn decide_after_the_end_holds(stage: RolloutStage) {
    assert_eq!(next(&staged(stage), 99_000, FLEET), Decision::Hold);
}
