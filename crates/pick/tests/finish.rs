//! Tests the choice by expected response time under different load patterns.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use pick::{Candidate, PickRequest, PickSettings, Picker, Policy, Reachability, Reply};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use test_case::test_case;
use wire::Load;

static ALL_REACHABLE: Reachability = Reachability::new();
const WORK: Duration = Duration::from_millis(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn load(in_flight: u32, slow_percent: u32) -> Load {
    Load {
        in_flight,
        limit: 6,
        service_us: 60_000,
        cold: false,
        waiting: 0,
        slow_percent,
    }
}

/// Returns a picker with six upstreams, two per data centre, that have all
/// reported normal speed.
fn picker(far_per_kb: Duration) -> Picker {
    picker_behind(far_per_kb, 0)
}

/// Returns the same on VMs whose network links carry this many bytes a second.
fn picker_behind(far_per_kb: Duration, link_bytes: u64) -> Picker {
    picker_with(PickSettings {
        far_per_kb,
        link_bytes,
        ..settings()
    })
}

fn settings() -> PickSettings {
    PickSettings {
        eject_ratio: 0.3,
        return_ramp: Duration::ZERO,
        far_per_kb: Duration::ZERO,
        far_limit: None,
        late_cost: ms(500),
        link_bytes: 0,
        policy: Policy::EXPECTED_FINISH,
    }
}

fn picker_with(settings: PickSettings) -> Picker {
    let mut picker = Picker::new(settings);
    let candidates = (0..6).map(|n| Candidate {
        upstream: format!("u{n}").into(),
        data_centre: format!("dc{}", n / 2).into(),
        slots: 6,
    });
    picker.update(ms(0), candidates.collect());
    for n in 0..6 {
        picker.record_load(ms(1_000), &format!("u{n}"), load(1, 100));
    }
    picker
}

fn pick_request(bytes: u64) -> PickRequest<'static> {
    PickRequest {
        data_centre: "dc0",
        own_upstream: "u0",
        reachability: &ALL_REACHABLE,
        tried: &[],
        class: "page",
        default_work: WORK,
        bytes,
        objective: None,
        preference: 1,
        late_factor: 1.0,
        deadline: Duration::from_secs(10),
        max_transfer: None,
    }
}

/// Chooses 600 times at the same moment; returns how often each upstream was
/// chosen.
fn choose(picker: &mut Picker, at: u64, bytes: u64) -> [u32; 6] {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut counts = [0; 6];
    for _ in 0..600 {
        let chosen = picker
            .choose(ms(at), &mut rng, pick_request(bytes))
            .unwrap();
        let n: usize = chosen.upstream[1..].parse().unwrap();
        counts[n] += 1;
    }
    counts
}

#[test]
fn choose_avoids_the_third_that_is_slow_in_turn() {
    let mut picker = picker(Duration::ZERO);
    for turn in 0..3_u64 {
        let at = 2_000 + turn * 500;
        for n in 0..6 {
            let slow = n / 2 == turn;
            let percent = if slow { 700 } else { 100 };
            picker.record_load(ms(at), &format!("u{n}"), load(1, percent));
        }
        let counts = choose(&mut picker, at + 10, 0);
        let slow = usize::try_from(turn).unwrap() * 2;
        assert_eq!(counts[slow] + counts[slow + 1], 0, "{counts:?}");
    }
}

/// Load pattern: uploads over network links on which one takes longer than its work.
#[test]
fn choose_large_body_stays_on_the_vm_behind_a_slow_link() {
    let mut picker = picker_behind(Duration::ZERO, 425_000);
    picker.record_load(ms(1_000), "u0", load(5, 100));
    assert_eq!(choose(&mut picker, 1_000, 0)[0], 0);
    assert_eq!(choose(&mut picker, 1_000, 60_000)[0], 600);
}

#[test]
fn choose_large_body_leaves_the_vm_if_its_upstream_is_slow() {
    let mut picker = picker_behind(Duration::ZERO, 425_000);
    picker.record_load(ms(1_000), "u0", load(1, 700));
    assert_eq!(choose(&mut picker, 1_000, 60_000)[0], 0);
}

#[test]
fn estimate_includes_the_time_on_the_network_link() {
    let picker = picker_behind(Duration::ZERO, 425_000);
    let finish = |upstream: &str, bytes| {
        let estimate = picker.estimate(ms(1_000), upstream, pick_request(bytes));
        estimate.unwrap().finish
    };
    assert_eq!(finish("u0", 60_000), finish("u0", 0));
    let transfer = finish("u1", 60_000).saturating_sub(finish("u1", 0));
    assert!((ms(140)..ms(143)).contains(&transfer), "{transfer:?}");
}

#[test]
fn choose_spreads_over_equal_upstreams() {
    let mut picker = picker(Duration::ZERO);
    let counts = choose(&mut picker, 1_000, 0);
    assert!(counts.iter().all(|n| *n > 0), "{counts:?}");
}

/// A straggler that does not report its slowness is detected by its latencies.
#[test]
fn choose_avoids_a_straggler_that_does_not_report_it() {
    let mut picker = picker(Duration::ZERO);
    for round in 0..20 {
        for n in 0..6 {
            let latency = if n == 3 { 400 } else { 60 };
            let at = ms(1_000 + round * 10);
            let upstream = format!("u{n}");
            picker.record_sent(at, &upstream);
            picker.record_reply(
                at,
                &upstream,
                Reply::Success(ms(latency)),
                Some(load(1, 100)),
            );
            picker.record_end(at, &upstream);
        }
    }
    let counts = choose(&mut picker, 1_200, 0);
    assert_eq!(counts[3], 0, "{counts:?}");
}

#[test]
fn choose_a_full_upstream_only_when_the_others_are_slower() {
    let mut picker = picker(Duration::ZERO);
    picker.record_load(ms(1_000), "u0", load(6, 100));
    assert_eq!(choose(&mut picker, 1_000, 0)[0], 0);
    for n in 1..6 {
        picker.record_load(ms(1_000), &format!("u{n}"), load(1, 900));
    }
    assert_eq!(choose(&mut picker, 1_000, 0)[0], 600);
}

#[test_case(400, false; "a short body goes to the fastest upstream")]
#[test_case(60_000, true; "a long body stays local")]
fn choose_weighs_transfer_cost_against_response_time(bytes: u64, stays_local: bool) {
    let mut picker = picker(ms(5));
    for local in ["u0", "u1"] {
        picker.record_load(ms(1_000), local, load(1, 300));
    }
    let counts = choose(&mut picker, 1_000, bytes);
    assert_eq!(counts[0] + counts[1] == 600, stays_local, "{counts:?}");
}

/// A large request stays in the local data centre while upstreams there are
/// merely slower, but not when its response would be late.
#[test_case(200, true; "local in time")]
#[test_case(700, false; "local late")]
fn choose_sends_a_long_body_far_only_to_avoid_a_late_response(percent: u32, stays_local: bool) {
    let mut picker = picker(ms(10));
    for local in ["u0", "u1"] {
        picker.record_load(ms(1_000), local, load(1, percent));
    }
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..100 {
        let request = PickRequest {
            objective: Some(ms(300)),
            ..pick_request(60_000)
        };
        let chosen = picker.choose(ms(1_000), &mut rng, request).unwrap();
        let is_local = ["u0", "u1"].contains(&chosen.upstream.as_str());
        assert_eq!(is_local, stays_local, "{chosen:?}");
    }
}

/// Load pattern: near upstreams are slow for a moment. A large body must not stay there
/// because of its bytes when its caller leaves before the response.
#[test_case(5_000, true; "near before the deadline")]
#[test_case(350, false; "near after the deadline")]
fn choose_sends_a_large_body_far_if_near_misses_the_deadline(deadline: u64, stays_local: bool) {
    let mut picker = picker(ms(100));
    for local in ["u0", "u1"] {
        picker.record_load(ms(1_000), local, load(1, 700));
    }
    let request = PickRequest {
        objective: Some(ms(300)),
        deadline: ms(deadline),
        ..pick_request(60_000)
    };
    let mut rng = SmallRng::seed_from_u64(7);
    let chosen = picker.choose(ms(1_000), &mut rng, request).unwrap();
    let is_local = ["u0", "u1"].contains(&chosen.upstream.as_str());
    assert_eq!(is_local, stays_local, "{chosen:?}");
}

/// Load pattern: near upstreams are slow for a moment. Without a limit on the cost, the
/// bytes of a large body cost more than any late response.
#[test]
fn choose_sends_a_large_body_far_within_the_limit_of_its_cost() {
    let mut picker = picker_with(PickSettings {
        far_per_kb: ms(100),
        far_limit: Some(ms(600)),
        ..settings()
    });
    for local in ["u0", "u1"] {
        picker.record_load(ms(1_000), local, load(1, 700));
    }
    let request = PickRequest {
        objective: Some(ms(300)),
        ..pick_request(60_000)
    };
    let mut rng = SmallRng::seed_from_u64(7);
    let chosen = picker.choose(ms(1_000), &mut rng, request).unwrap();
    assert!(
        !["u0", "u1"].contains(&chosen.upstream.as_str()),
        "{chosen:?}"
    );
}

/// Load pattern: near upstreams are slow for a moment, and bytes to another data centre
/// are costly. Only a request whose late response costs more than they do goes there.
#[test_case(1.0, true; "ordinary request")]
#[test_case(4.0, false; "important request")]
fn choose_sends_only_an_important_request_far_at_high_cost(late_factor: f64, stays_local: bool) {
    let mut picker = picker(ms(100));
    for local in ["u0", "u1"] {
        picker.record_load(ms(1_000), local, load(1, 700));
    }
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..100 {
        let request = PickRequest {
            objective: Some(ms(300)),
            late_factor,
            ..pick_request(12_000)
        };
        let chosen = picker.choose(ms(1_000), &mut rng, request).unwrap();
        let is_local = ["u0", "u1"].contains(&chosen.upstream.as_str());
        assert_eq!(is_local, stays_local, "{chosen:?}");
    }
}

/// The weight of a report decreases with its age.
#[test]
fn estimate_decays_towards_the_average() {
    let mut picker = picker(Duration::ZERO);
    picker.record_load(ms(1_000), "u0", load(1, 700));
    let at = |at| {
        picker
            .estimate(ms(at), "u0", pick_request(0))
            .unwrap()
            .finish
    };
    let (now, later, much_later) = (at(1_000), at(2_000), at(9_000));
    assert!(now > later && later > much_later);
    assert!(much_later > WORK);
}

fn believed_slow_percent(picker: &Picker, at: u64, upstream: &str) -> u32 {
    let estimate = picker.estimate(ms(at), upstream, pick_request(0)).unwrap();
    estimate.believed_slow_percent
}

/// The gate receives the slowness that the choice was based on, so that an
/// upstream whose report has decayed can report that it is still slow.
#[test]
fn believed_slow_percent_is_what_the_choice_was_based_on() {
    let mut picker = picker(Duration::ZERO);
    picker.record_load(ms(1_000), "u0", load(1, 700));
    assert_eq!(believed_slow_percent(&picker, 1_000, "u0"), 700);
    assert!(believed_slow_percent(&picker, 5_000, "u0") < 250);
}

/// Returns a picker with twelve upstreams, the first of which have reported the
/// given slowness.
fn picker_with_reports(percents: &[u32]) -> Picker {
    let mut picker = picker(Duration::ZERO);
    let candidates = (10..22).map(|n| Candidate {
        upstream: format!("u{n}").into(),
        data_centre: "dc0".into(),
        slots: 6,
    });
    picker.update(ms(0), candidates.collect());
    for (n, percent) in (10..).zip(percents) {
        picker.record_load(ms(1_000), &format!("u{n}"), load(1, *percent));
    }
    picker
}

/// All upstreams restart cold at once, and noise slows a third of them further.
/// Upstreams without a report are assumed to be as slow as the others; if most
/// run at normal speed, a few slow ones do not change that assumption.
#[test_case(&[], 100; "no reports")]
#[test_case(&[1_400, 200], 100; "too few reports")]
#[test_case(&[200, 1_400, 200], 200; "all cold")]
#[test_case(&[100, 700, 700, 100, 100, 700], 100; "some slow")]
fn believed_slow_percent_without_a_report_is_that_of_the_peers(percents: &[u32], expected: u32) {
    let picker = picker_with_reports(percents);
    assert_eq!(believed_slow_percent(&picker, 1_000, "u21"), expected);
    assert_eq!(believed_slow_percent(&picker, 4_000, "u21"), 100);
}

/// All upstreams with a report are slow for a moment. The expected response
/// time of the others must stay, because otherwise they would receive no
/// requests and never report.
#[test]
fn estimate_without_a_report_is_normal_while_the_peers_are_slow() {
    let expected = |percents| {
        let picker = picker_with_reports(percents);
        picker
            .estimate(ms(1_000), "u21", pick_request(0))
            .unwrap()
            .finish
    };
    assert_eq!(expected(&[700, 700, 700, 700]), expected(&[]));
}
