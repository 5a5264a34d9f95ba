//! ScoredCandidate by the expected time to the answer, by load pattern.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use pick::{Candidate, PickRequest, PickSettings, Picker, Policy, Reply};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use test_case::test_case;
use wire::Load;

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

/// Six upstreams, two a data centre, that all said that they are as usual.
fn picker(far_per_kb: Duration) -> Picker {
    let mut picker = Picker::new(PickSettings {
        eject_ratio: 0.3,
        return_ramp: Duration::ZERO,
        far_per_kb,
        late_cost: ms(500),
        policy: Policy::EXPECTED_FINISH,
    });
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

fn wanted(bytes: u64) -> PickRequest<'static> {
    PickRequest {
        data_centre: "dc0",
        tried: &[],
        class: "page",
        default_work: WORK,
        bytes,
        objective: None,
    }
}

/// Chooses many times at one moment; returns how often each was taken.
fn choose(picker: &mut Picker, at: u64, bytes: u64) -> [u32; 6] {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut taken = [0; 6];
    for _ in 0..600 {
        let chosen = picker.choose(ms(at), &mut rng, wanted(bytes)).unwrap();
        let n: usize = chosen.upstream[1..].parse().unwrap();
        taken[n] += 1;
    }
    taken
}

#[test]
fn choose_a_third_slow_in_turns_takes_none_of_them() {
    let mut picker = picker(Duration::ZERO);
    for turn in 0..3_u64 {
        let at = 2_000 + turn * 500;
        for n in 0..6 {
            let slow = n / 2 == turn;
            let percent = if slow { 700 } else { 100 };
            picker.record_load(ms(at), &format!("u{n}"), load(1, percent));
        }
        let taken = choose(&mut picker, at + 10, 0);
        let slow = usize::try_from(turn).unwrap() * 2;
        assert_eq!(taken[slow] + taken[slow + 1], 0, "{taken:?}");
    }
}

#[test]
fn choose_spreads_over_equals() {
    let mut picker = picker(Duration::ZERO);
    let taken = choose(&mut picker, 1_000, 0);
    assert!(taken.iter().all(|n| *n > 0), "{taken:?}");
}

/// A straggler that doesn't say that it is slow is known by its answers.
#[test]
fn choose_one_straggler_that_does_not_tell_is_avoided() {
    let mut picker = picker(Duration::ZERO);
    for round in 0..20 {
        for n in 0..6 {
            let took = if n == 3 { 400 } else { 60 };
            let at = ms(1_000 + round * 10);
            let upstream = format!("u{n}");
            picker.record_sent(at, &upstream);
            picker.record_reply(at, &upstream, Reply::Success(ms(took)), Some(load(1, 100)));
            picker.record_end(&upstream);
        }
    }
    let taken = choose(&mut picker, 1_200, 0);
    assert_eq!(taken[3], 0, "{taken:?}");
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

#[test_case(400, false; "a short body goes where it is done first")]
#[test_case(60_000, true; "a long body stays near")]
fn choose_weighs_bytes_against_waiting(bytes: u64, stays: bool) {
    let mut picker = picker(ms(5));
    for near in ["u0", "u1"] {
        picker.record_load(ms(1_000), near, load(1, 300));
    }
    let taken = choose(&mut picker, 1_000, bytes);
    assert_eq!(taken[0] + taken[1] == 600, stays, "{taken:?}");
}

/// A large body stays near an upstream that is busy, but not with one that is
/// so slow that its answer would be late.
#[test_case(200, true; "near in time")]
#[test_case(700, false; "near late")]
fn choose_sends_a_long_body_far_only_against_a_late_answer(percent: u32, stays: bool) {
    let mut picker = picker(ms(10));
    for near in ["u0", "u1"] {
        picker.record_load(ms(1_000), near, load(1, percent));
    }
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..100 {
        let wanted = PickRequest {
            objective: Some(ms(300)),
            ..wanted(60_000)
        };
        let chosen = picker.choose(ms(1_000), &mut rng, wanted).unwrap();
        let near = ["u0", "u1"].contains(&chosen.upstream.as_str());
        assert_eq!(near, stays, "{chosen:?}");
    }
}

/// What was said long ago counts for less and less.
#[test]
fn look_ages_towards_what_is_usual_of_an_unknown_one() {
    let mut picker = picker(Duration::ZERO);
    picker.record_load(ms(1_000), "u0", load(1, 700));
    let at = |at| picker.estimate(ms(at), "u0", wanted(0)).unwrap().finish;
    let (now, later, much_later) = (at(1_000), at(2_000), at(9_000));
    assert!(now > later && later > much_later);
    assert!(much_later > WORK);
}

fn believed(picker: &Picker, at: u64, upstream: &str) -> u32 {
    let look = picker.estimate(ms(at), upstream, wanted(0)).unwrap();
    look.believed_slow_percent
}

/// What the gate is told is what the choice rested on, so that an upstream that
/// was slow long ago and still is, can say so.
#[test]
fn believed_slow_percent_is_what_the_choice_rested_on() {
    let mut picker = picker(Duration::ZERO);
    picker.record_load(ms(1_000), "u0", load(1, 700));
    assert_eq!(believed(&picker, 1_000, "u0"), 700);
    assert!(believed(&picker, 5_000, "u0") < 250);
}

/// Twelve upstreams, the first of which told how slow they are.
fn picker_that_heard(percents: &[u32]) -> Picker {
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

/// Load pattern: all upstreams come back cold at once, and noise slows a third
/// of them further. Those that did not tell yet are as slow as the others, not
/// as usual; where most are as usual, some slow ones say nothing of the rest.
#[test_case(&[], 100; "nothing heard")]
#[test_case(&[1_400, 200], 100; "too few heard")]
#[test_case(&[200, 1_400, 200], 200; "all cold")]
#[test_case(&[100, 700, 700, 100, 100, 700], 100; "some slow")]
fn believed_slow_percent_of_one_unheard_is_that_of_its_peers(percents: &[u32], expected: u32) {
    let picker = picker_that_heard(percents);
    assert_eq!(believed(&picker, 1_000, "u21"), expected);
    assert_eq!(believed(&picker, 4_000, "u21"), 100);
}

/// Load pattern: every upstream that was heard of is slow for a moment. What
/// is expected of the others stays, or no request would go there, and nothing
/// would ever be heard of them.
#[test]
fn look_at_one_unheard_expects_what_is_usual_while_its_peers_are_slow() {
    let expected = |percents| {
        let picker = picker_that_heard(percents);
        picker.estimate(ms(1_000), "u21", wanted(0)).unwrap().finish
    };
    assert_eq!(expected(&[700, 700, 700, 700]), expected(&[]));
}
