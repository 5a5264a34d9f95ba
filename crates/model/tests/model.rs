//! Tests of the simulation itself: runs are reproducible, each request is
//! counted once, and no variant exceeds the reference scheduler.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use model::{Experiment, Tally, simulate};
use test_case::test_case;

const COURT: &str = include_str!("../experiments/court_booking.toml");
const PANEL: &str = include_str!("../experiments/audience_panel.toml");

/// Margin for random variation by which a variant may exceed the bound in a
/// short run.
const SAMPLING_MARGIN: f64 = 0.02;

fn shortened(text: &str) -> Experiment {
    Experiment {
        seconds: 4.0,
        warm_up_s: 3.0,
        ..Experiment::parse(text).unwrap()
    }
}

fn run(experiment: &Experiment, variant: &str, load: f64, seed: u64) -> Tally {
    let mut variants = experiment.variant.iter();
    let variant = variants.find(|v| v.name == variant).unwrap();
    simulate(experiment, variant, load, seed).unwrap()
}

#[test]
fn simulate_repeats_with_the_same_seed() {
    let experiment = shortened(COURT);
    let [a, b] = [(), ()].map(|()| format!("{:?}", run(&experiment, "expected_finish", 0.8, 3)));
    assert_eq!(a, b);
    let other = format!("{:?}", run(&experiment, "expected_finish", 0.8, 4));
    assert_ne!(a, other);
}

#[test_case("expected_finish"; "daemons")]
#[test_case("all_knowing"; "one queue")]
fn simulate_counts_every_request_once(variant: &str) {
    let tally = run(&shortened(PANEL), variant, 1.2, 1);
    for class in &tally.classes {
        let ended = class.in_time + class.late + class.refused + class.failed;
        assert_eq!(class.asked, ended, "{class:?}");
        assert!(class.earned <= class.offered);
    }
    assert!(tally.answered() > 0.5);
}

#[test_case(COURT; "court booking")]
#[test_case(PANEL; "audience panel")]
fn all_knowing_earns_most(text: &str) {
    let experiment = shortened(text);
    let bound = run(&experiment, "all_knowing", 0.95, 1).earned();
    for variant in &experiment.variant {
        let earned = run(&experiment, &variant.name, 0.95, 1).earned();
        assert!(
            earned <= bound + SAMPLING_MARGIN,
            "{}: {earned} {bound}",
            variant.name
        );
    }
}

#[test]
fn all_knowing_answers_nearly_all_at_half_load() {
    let tally = run(&shortened(COURT), "all_knowing", 0.5, 1);
    assert!(tally.answered() > 0.98, "{}", tally.answered());
}

#[test_case("policy = \"random\"", "policy = \"rand\"", "no such policy"; "policy")]
#[test_case("service = \"club\"", "service = \"clubs\"", "no service clubs"; "service")]
#[test_case("class = \"status\"", "class = \"state\"", "no class state"; "call")]
#[test_case("upstreams = [2, 1, 1, 1]", "upstreams = [2]", "a number of upstreams"; "upstreams")]
#[test_case("far-per-kb = 10 ms", "far-per-kb = ten", "far-per-kb"; "settings")]
#[test_case("seconds = 20", "second = 20", "second"; "field")]
fn parse_invalid_is_refused(good: &str, bad: &str, message: &str) {
    let text = COURT.replacen(good, bad, 1);
    let err = Experiment::parse(&text).unwrap_err();
    assert!(format!("{err:?}").contains(message), "{err:?}");
}
