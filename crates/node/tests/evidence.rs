//! Evidence that a gate keeps on the version of its upstream.
#![allow(clippy::unwrap_used)]

use gate::Outcome;
use node::admission::{Evidence, EvidenceRun, UpstreamState};
use std::time::Duration;
use test_case::test_case;
use wire::{Rollout, RouteEvidence};

fn state(at_ms: u64, slow_percent: u32) -> UpstreamState {
    UpstreamState {
        at: Duration::from_millis(at_ms),
        slow_percent,
        cold: false,
    }
}

fn rollout(id: u64) -> Rollout {
    Rollout {
        id,
        ..Rollout::default()
    }
}

fn evidence() -> Evidence {
    let mut evidence = Evidence::default();
    evidence.update(Some(&rollout(7)), "v2");
    evidence
}

fn routes(evidence: &Evidence) -> Vec<RouteEvidence> {
    evidence.to_wire().unwrap().routes
}

/// Returns responses, failures and the index of the only bucket in use.
fn counts(evidence: &Evidence) -> Option<(u32, u32, Option<usize>)> {
    let route = routes(evidence).pop()?;
    let bucket = route.service_times.iter().position(|n| *n > 0);
    assert!(route.service_times.iter().sum::<u32>() <= 1);
    Some((route.responses, route.failures, bucket))
}

#[test_case(Outcome::Whole(200), Some((1, 0, Some(0))); "success")]
#[test_case(Outcome::Whole(404), Some((1, 0, Some(0))); "error of the caller")]
#[test_case(Outcome::Whole(500), Some((1, 1, None)); "server error")]
#[test_case(Outcome::Broken, Some((1, 1, None)); "broken off")]
#[test_case(Outcome::Rejected, None; "reported as not run")]
#[test_case(Outcome::Refused, None; "connection refused")]
fn record_end_by_outcome(outcome: Outcome, expected: Option<(u32, u32, Option<usize>)>) {
    let mut evidence = evidence();
    let run = EvidenceRun::new(state(1_000, 100));
    evidence.record_end(&"read".into(), &run, outcome, state(1_001, 100));
    assert_eq!(counts(&evidence), expected);
}

/// Each bucket ends at the square root of two times the end of the one before; the first
/// ends at one millisecond.
#[test_case(0, 0; "zero")]
#[test_case(1_000, 0; "end of the first bucket")]
#[test_case(1_001, 1; "beginning of the second")]
#[test_case(1_414, 1; "end of the second")]
#[test_case(1_415, 2; "beginning of the third")]
#[test_case(2_000, 2; "end of the third")]
#[test_case(100_000, 14; "100 ms")]
#[test_case(100_000_000_000, 39; "longer than the last bucket")]
fn record_end_puts_service_time_in_bucket(took_us: u64, bucket: usize) {
    let mut evidence = evidence();
    let run = EvidenceRun::new(state(0, 0));
    let ended = UpstreamState {
        at: Duration::from_micros(took_us),
        ..state(0, 0)
    };
    evidence.record_end(&"read".into(), &run, Outcome::Whole(200), ended);
    assert_eq!(counts(&evidence), Some((1, 0, Some(bucket))));
}

/// Guards against a good version that is rolled back because of noisy neighbours.
#[test_case(100, 100, 14; "normal speed")]
#[test_case(700, 100, 8; "slow at the beginning")]
#[test_case(100, 700, 8; "slow at the end")]
#[test_case(0, 0, 14; "no report")]
#[test_case(50, 50, 14; "faster than normal")]
fn record_end_divides_by_higher_slowness(began: u32, ended: u32, bucket: usize) {
    let mut evidence = evidence();
    let run = EvidenceRun::new(state(1_000, began));
    let ended = state(1_100, ended);
    evidence.record_end(&"read".into(), &run, Outcome::Whole(200), ended);
    assert_eq!(counts(&evidence), Some((1, 0, Some(bucket))));
}

/// Guards against a slow network that looks like a slow version: the body of a long
/// response is read only as fast as the entry takes it.
#[test]
fn record_end_measures_until_head_of_response() {
    let mut evidence = evidence();
    let mut run = EvidenceRun::new(state(1_000, 100));
    run.record_response(state(1_002, 100));
    evidence.record_end(&"read".into(), &run, Outcome::Whole(200), state(9_000, 100));
    assert_eq!(counts(&evidence), Some((1, 0, Some(2))));
}

#[test_case(true, false; "at the beginning")]
#[test_case(false, true; "at the end")]
fn record_end_ignores_cold_upstream(began_cold: bool, ended_cold: bool) {
    let mut evidence = evidence();
    let cold = |cold, at| UpstreamState {
        cold,
        ..state(at, 100)
    };
    let run = EvidenceRun::new(cold(began_cold, 1_000));
    for outcome in [Outcome::Whole(200), Outcome::Whole(500), Outcome::Broken] {
        evidence.record_end(&"read".into(), &run, outcome, cold(ended_cold, 1_001));
    }
    assert_eq!(counts(&evidence), None);
}

#[test_case(100, 100, false, true; "the upstream hangs")]
#[test_case(200, 100, false, false; "slow by its own report at the beginning")]
#[test_case(100, 200, false, false; "slow by its own report at the end")]
#[test_case(100, 100, true, false; "the response is on its way")]
fn record_timeout_counts_as_failure(began: u32, ended: u32, responded: bool, counted: bool) {
    let mut evidence = evidence();
    let mut run = EvidenceRun::new(state(1_000, began));
    if responded {
        run.record_response(state(1_010, began));
    }
    evidence.record_timeout(&"read".into(), &run, state(1_800, ended));
    assert_eq!(counts(&evidence), counted.then_some((1, 1, None)));
}

/// Guards against counts of one version that are taken for those of another.
#[test_case(Some(8), "v2"; "another rollout")]
#[test_case(Some(7), "v3"; "another version")]
fn update_discards_other_counts(id: Option<u64>, version: &str) {
    let mut evidence = evidence();
    let run = EvidenceRun::new(state(1_000, 100));
    evidence.record_end(&"read".into(), &run, Outcome::Whole(200), state(1_001, 100));
    evidence.update(Some(&rollout(7)), "v2");
    assert_eq!(routes(&evidence).len(), 1);
    evidence.update(id.map(rollout).as_ref(), version);
    assert_eq!(evidence.to_wire().unwrap().routes, []);
}

#[test]
fn to_wire_without_rollout_is_nothing() {
    let mut evidence = evidence();
    evidence.update(None, "v2");
    let run = EvidenceRun::new(state(1_000, 100));
    evidence.record_end(&"read".into(), &run, Outcome::Whole(200), state(1_001, 100));
    assert_eq!(evidence.to_wire(), None);
}

/// Guards against heartbeats that grow with the number of routes.
#[test]
fn record_end_bounds_number_of_routes() {
    let mut evidence = evidence();
    let run = EvidenceRun::new(state(1_000, 100));
    for n in 0..1_000 {
        let route = format!("r{n}").into();
        evidence.record_end(&route, &run, Outcome::Whole(200), state(1_001, 100));
    }
    let routes = routes(&evidence);
    assert_eq!(routes.len(), 17);
    assert_eq!(routes.iter().map(|r| r.responses).sum::<u32>(), 1_000);
}
