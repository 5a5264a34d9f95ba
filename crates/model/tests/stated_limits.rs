//! Load patterns in which upstreams state in their responses how many requests a second
//! they take, or that they are leaving, and announce nothing of it.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use model::{Experiment, Tally, simulate};
use test_case::test_case;

const COURT: &str = include_str!("../experiments/court_booking.toml");
const POLICY: &str = "expected_finish";

const ONE_LIMITED: &str = "[[fault]]\nkind = \"limit\"\nat_s = 0.0\nfor_s = 12.0\n\
                           data_centre = \"a\"\nservice = \"booking\"\nupstream = 0\nfactor = 2.5\n";
const DATA_CENTRE_LIMITED: &str = "[[fault]]\nkind = \"limit\"\nat_s = 0.0\nfor_s = 12.0\n\
                                   data_centre = \"a\"\nfactor = 4.9\n";
const ALL_LIMITED: &str = "[[fault]]\nkind = \"limit\"\nat_s = 0.0\nfor_s = 12.0\n\
                           service = \"booking\"\nfactor = 5.0\n";
const ONE_LEAVING: &str = "[[fault]]\nkind = \"leave\"\nat_s = 0.0\nfor_s = 12.0\n\
                           data_centre = \"a\"\nservice = \"booking\"\nupstream = 0\n\
                           factor = 1.0\n";
const RESTARTS: &str = "\
    [[fault]]\nkind = \"daemon_restart\"\nat_s = 4.5\nfor_s = 0.1\ndata_centre = \"a\"\nfactor = 1.0\n\
    [[fault]]\nkind = \"daemon_restart\"\nat_s = 6.0\nfor_s = 0.1\ndata_centre = \"a\"\nfactor = 1.0\n\
    [[fault]]\nkind = \"daemon_restart\"\nat_s = 7.0\nfor_s = 0.1\nfactor = 1.0\n";

fn run(faults: &str, load: f64) -> Tally {
    let experiment = Experiment {
        seconds: 12.0,
        warm_up_s: 2.0,
        ..Experiment::parse(&format!("{COURT}\n{faults}")).unwrap()
    };
    let variant = experiment
        .variant
        .iter()
        .find(|v| v.name == POLICY)
        .unwrap();
    simulate(&experiment, variant, load, 1).unwrap()
}

/// Guards against entries that together send an upstream more than it states it takes.
#[test_case(ONE_LIMITED, ""; "one upstream")]
#[test_case(DATA_CENTRE_LIMITED, ""; "all of a data centre")]
#[test_case(ALL_LIMITED, ""; "all of a service")]
#[test_case(DATA_CENTRE_LIMITED, RESTARTS; "daemons that start again")]
fn upstreams_get_no_more_than_they_state(limits: &str, restarts: &str) {
    for load in [0.5, 1.2] {
        let tally = run(&format!("{limits}{restarts}"), load);
        assert_eq!(tally.stated_excess, 0, "at load {load}");
    }
}

/// Guards against requests to an upstream that states that it is leaving.
#[test_case(""; "daemons run on")]
#[test_case(RESTARTS; "daemons that start again")]
fn upstream_that_states_leaving_gets_nothing(restarts: &str) {
    let tally = run(&format!("{ONE_LEAVING}{restarts}"), 0.5);
    assert_eq!(tally.late_leaving, 0);
}

/// Guards against callers who are rejected because of the rate of one upstream, though the
/// others of its service have room.
#[test]
fn limited_upstream_does_not_reject_callers_while_others_have_room() {
    let (free, limited) = (run("", 0.3), run(ONE_LIMITED, 0.3));
    let answered = |tally: &Tally| -> u64 {
        let classes = tally.classes.iter();
        classes.map(|c| c.in_time + c.late).sum()
    };
    let (free, limited) = (answered(&free) as f64, answered(&limited) as f64);
    assert!(limited >= 0.99 * free, "{limited} of {free} answered");
}
