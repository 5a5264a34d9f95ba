//! Limits of customers that the routing states, over a simulated fleet: how well they are
//! used, and that no failure lets more requests run than the bound allows.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod limit_fleet;

use limit_fleet::{Fleet, WINDOW};
use quota::RateLimit;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use test_case::test_case;

const fn limit(rate: u64, burst: u32) -> RateLimit {
    RateLimit {
        rate_milli: rate * 1_000,
        burst,
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Returns a fleet whose bucket is full.
fn settled(entries: usize, limit: RateLimit) -> Fleet {
    let mut fleet = Fleet::new(entries, limit);
    let fill = u64::from(limit.burst) * 1_000 / limit.rate_milli;
    fleet.run(secs(8 + fill), &vec![0.0; entries]);
    fleet
}

/// Spreads a demand over entries; unevenly, one of them gets half of it.
fn spread(entries: usize, total: f64, evenly: bool) -> Vec<f64> {
    let mut demand = vec![total / entries as f64; entries];
    if !evenly && entries > 1 {
        demand = vec![total / 2.0 / (entries - 1) as f64; entries];
        demand[entries / 2] = total / 2.0;
    }
    demand
}

/// Guards against a limit that is not used: tokens that expire at entries without a
/// request, or wait in the bucket while entries refuse requests.
#[test_case(1, 100, 20, true, 3.0)]
#[test_case(1, 1_000, 1, true, 3.0; "one entry, a burst of 1")]
#[test_case(61, 100, 20, true, 3.0)]
#[test_case(61, 100, 20, false, 3.0; "61 uneven")]
#[test_case(61, 1_000, 1, true, 1.5; "61, a burst of 1")]
#[test_case(61, 1_000, 100, true, 9.0; "61, 9 times the limit")]
#[test_case(61, 5, 5, true, 2.0; "61, a low rate")]
#[test_case(960, 1_000, 100, true, 2.0)]
#[test_case(960, 1_000, 100, false, 2.0; "960 uneven")]
#[test_case(960, 100, 10, true, 5.0; "960, a low rate")]
fn limit_is_used(entries: usize, rate: u64, burst: u32, evenly: bool, factor: f64) {
    let mut fleet = settled(entries, limit(rate, burst));
    let demand = spread(entries, rate as f64 * factor, evenly);
    fleet.run(secs(5), &demand);
    let (admitted, messages, offered) = (fleet.admitted, fleet.messages, fleet.offered);
    fleet.run(secs(10), &demand);
    let admitted = fleet.admitted - admitted;
    let (messages, offered) = (fleet.messages - messages, fleet.offered - offered);
    fleet.assert_bound("use");
    println!("admitted {admitted} messages {messages} of {offered} offered");
    assert!(
        admitted as f64 >= 0.95 * rate as f64 * 10.0,
        "{admitted} of {}",
        rate * 10
    );
}

/// Guards against refusals of a customer that is within its limit.
#[test_case(61, 1_000, 5, 900, 1.0; "one request a second")]
#[test_case(61, 100_000, 10, 90_000, 0.0; "61 entries")]
#[test_case(960, 1_000_000, 100, 900_000, 0.0; "960 entries")]
#[test_case(1, 1_000_000, 100, 950_000, 0.0; "one entry")]
#[test_case(8, 500_000, 200, 450_000, 0.0; "8 entries")]
#[test_case(61, 1_000_000, 20, 950_000, 0.0; "hot, with a small burst")]
fn customer_within_its_limit_is_not_refused(
    entries: usize,
    rate_milli: u64,
    burst: u32,
    demand_milli: u32,
    percent: f64,
) {
    let mut fleet = settled(entries, RateLimit { rate_milli, burst });
    let demand = spread(entries, f64::from(demand_milli) / 1_000.0, true);
    let time = if demand_milli < 1_000 { 400 } else { 20 };
    fleet.run(secs(time), &demand);
    println!(
        "refused {} beyond {} messages {} of {}",
        fleet.refused, fleet.beyond, fleet.messages, fleet.offered
    );
    let allowed = fleet.offered as f64 * percent / 100.0;
    assert!(fleet.refused as f64 <= allowed, "{}", fleet.refused);
}

/// Guards against tokens that stay at the entry from which the demand has moved.
#[test_case(100, 2.0, 0.95)]
#[test_case(1_000, 2.0, 0.95; "hot")]
#[test_case(100, 0.95, 0.94; "within the limit")]
fn limit_is_used_while_the_demand_moves(rate: u64, factor: f64, used: f64) {
    let mut fleet = settled(61, limit(rate, 50));
    fleet.run(secs(3), &spread(61, rate as f64 * factor, true));
    let admitted = fleet.admitted;
    for second in 0..10 {
        let mut demand = vec![0.0; 61];
        demand[second * 13 % 61] = rate as f64 * factor;
        fleet.run(secs(1), &demand);
    }
    let admitted = fleet.admitted - admitted;
    fleet.assert_bound("moving demand");
    assert!(admitted as f64 >= used * 10.0 * rate as f64, "{admitted}");
}

/// Guards against a single entry that admits more at once than burst and slack.
#[test_case(10, 0; "no burst")]
#[test_case(10, 100)]
fn burst_is_admitted_at_once(rate: u64, burst: u32) {
    let mut fleet = settled(61, limit(rate, burst));
    for i in 0..burst + 200 {
        fleet.offer(i as usize % 61);
    }
    fleet.run(Duration::from_millis(200), &[0.0; 61]);
    fleet.assert_bound("burst");
    assert!(fleet.admitted >= u64::from(burst), "{}", fleet.admitted);
    assert_eq!(fleet.offered, fleet.admitted + fleet.refused);
}

/// Runs a demand over the limit for `before`, then causes a failure, then runs on.
/// Returns the requests admitted in the last 5 s.
fn with_failure(
    (entries, limit): (usize, RateLimit),
    fail: impl Fn(&mut Fleet),
    mend: impl Fn(&mut Fleet),
) -> u64 {
    let mut fleet = settled(entries, limit);
    let demand = spread(entries, limit.rate_milli as f64 / 1_000.0 * 3.0, true);
    fleet.run(secs(6), &demand);
    fail(&mut fleet);
    fleet.run(secs(6), &demand);
    mend(&mut fleet);
    fleet.run(secs(9), &demand);
    let admitted = fleet.admitted;
    fleet.run(WINDOW, &demand);
    fleet.assert_bound("failure");
    fleet.admitted - admitted
}

const LIMIT: RateLimit = limit(200, 100);
/// Requests that [`LIMIT`] admits in a window of 5 s in steady state, less 5 %.
const USED: u64 = 950;

fn nothing(_: &mut Fleet) {}

/// Guards against the tokens of a lost home being granted again by the next one.
#[test]
fn bound_holds_when_the_home_is_killed() {
    let kill = |f: &mut Fleet| {
        let home = f.home();
        f.daemons[home].running = false;
    };
    assert!(with_failure((16, LIMIT), kill, nothing) >= USED);
}

/// Guards against a home that starts with a full bucket.
#[test]
fn bound_holds_when_the_home_restarts() {
    let restart = |f: &mut Fleet| {
        let home = f.home();
        f.restart(home);
    };
    assert!(with_failure((16, LIMIT), restart, restart) >= USED);
}

/// Guards against entries that use a block twice across a restart.
#[test]
fn bound_holds_when_entries_restart() {
    let restart = |f: &mut Fleet| {
        let home = f.home();
        (0..16).filter(|i| *i != home).for_each(|i| f.restart(i));
    };
    assert!(with_failure((16, LIMIT), restart, restart) >= USED);
}

/// Guards against a home that grants, once it runs again, what its successor granted.
#[test]
fn bound_holds_when_the_home_is_frozen() {
    let freeze = |f: &mut Fleet| {
        let home = f.home();
        f.daemons[home].frozen = true;
    };
    let thaw = |f: &mut Fleet| f.daemons.iter_mut().for_each(|d| d.frozen = false);
    assert!(with_failure((16, LIMIT), freeze, thaw) >= USED);
}

/// Guards against two homes that both grant: the former one, cut off with some of the
/// entries, and the one that control lists instead.
#[test]
fn bound_holds_when_the_home_is_cut_off_with_entries() {
    let cut = |f: &mut Fleet| {
        let home = f.home();
        for (i, daemon) in f.daemons.iter_mut().enumerate() {
            let cut_off = i == home || i % 2 == 0;
            daemon.cut_off = cut_off;
            daemon.part = u32::from(cut_off);
        }
    };
    let heal = |f: &mut Fleet| {
        for daemon in &mut f.daemons {
            daemon.cut_off = false;
            daemon.part = 0;
        }
    };
    assert!(with_failure((16, LIMIT), cut, heal) >= USED);
}

/// Guards against the tokens of a limit that no longer holds.
#[test]
fn lowered_limit_binds_after_one_window() {
    let mut fleet = settled(61, limit(1_000, 500));
    let demand = spread(61, 3_000.0, true);
    fleet.run(secs(5), &demand);
    fleet.set_limit(limit(10, 5));
    fleet.run(secs(2), &demand);
    let admitted = fleet.admitted;
    fleet.run(WINDOW, &demand);
    fleet.assert_bound("lowered limit");
    assert!(
        fleet.admitted - admitted <= 80,
        "{}",
        fleet.admitted - admitted
    );
}

/// Guards against a bucket that stays in debt with tokens reserved under a higher limit.
#[test]
fn lowered_limit_is_used_after_one_window() {
    let mut fleet = settled(61, limit(1_000, 500));
    let demand = spread(61, 3_000.0, true);
    fleet.run(secs(5), &demand);
    fleet.set_limit(limit(10, 5));
    fleet.run(secs(5), &demand);
    let admitted = fleet.admitted;
    fleet.run(WINDOW, &demand);
    let admitted = fleet.admitted - admitted;
    assert!(admitted >= 47, "{admitted}");
}

/// Guards against refusals that entries remember from before a limit was raised.
#[test]
fn raised_limit_binds_with_its_version() {
    let mut fleet = settled(61, limit(1, 1));
    let demand = spread(61, 900.0, true);
    fleet.run(secs(10), &demand);
    fleet.set_limit(limit(1_000, 100));
    // A heartbeat brings the version to each daemon.
    fleet.run(Duration::from_millis(600), &demand);
    let refused = fleet.refused;
    fleet.run(secs(5), &demand);
    fleet.assert_bound("raised limit");
    assert!(fleet.refused - refused <= 45, "{}", fleet.refused - refused);
}

/// Guards against tokens that are lost with requests that no upstream ran, or counted
/// twice.
#[test]
fn request_that_was_not_run_returns_its_token() {
    let mut fleet = settled(8, LIMIT);
    fleet.not_run_every = 2;
    let demand = spread(8, 1_000.0, true);
    fleet.run(secs(5), &demand);
    let runs = fleet.runs.len();
    fleet.run(secs(10), &demand);
    fleet.assert_bound("not run");
    let ran = fleet.runs.len() - runs;
    assert!(ran >= 1_900, "{ran}");
}

/// Causes a random failure, or mends one.
fn shuffle(fleet: &mut Fleet, rng: &mut SmallRng) {
    let any = rng.random_range(0..fleet.daemons.len());
    let home = fleet.home_or(any);
    let one = if rng.random_bool(0.5) { home } else { any };
    match rng.random_range(0..9) {
        0 => fleet.daemons[one].running = false,
        1 => fleet.restart(one),
        2 => fleet.daemons[one].frozen = true,
        3 => fleet.daemons[one].cut_off = true,
        4 => {
            let cut_control = rng.random_bool(0.5);
            for daemon in &mut fleet.daemons {
                daemon.part = u32::from(rng.random_bool(0.5));
                daemon.cut_off = cut_control && daemon.part == 1;
            }
        }
        5 => {
            let (rate, burst) = (rng.random_range(1..1_000), rng.random_range(0..300));
            fleet.set_limit(limit(rate, burst));
        }
        _ => {
            for i in 0..fleet.daemons.len() {
                if !fleet.daemons[i].running {
                    fleet.restart(i);
                }
                let daemon = &mut fleet.daemons[i];
                daemon.frozen = false;
                daemon.cut_off = false;
                daemon.part = 0;
            }
        }
    }
}

/// Guards against any order of failures in which the parts grant more than the bound.
#[test_case(3, 40, 60)]
#[test_case(16, 20, 60)]
#[test_case(61, 6, 60)]
#[test_case(960, 1, 20)]
fn bound_holds_under_shuffled_failures(entries: usize, seeds: u64, steps: u32) {
    for seed in 0..seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = settled(entries, limit(300, 100));
        fleet.not_run_every = rng.random_range(0..4);
        for _ in 0..steps {
            shuffle(&mut fleet, &mut rng);
            let total = rng.random_range(1.0..2_000.0);
            let demand = spread(entries, total, rng.random_bool(0.5));
            fleet.run(Duration::from_millis(rng.random_range(50..3_000)), &demand);
        }
        fleet.assert_bound(&format!("seed {seed}"));
    }
}

/// Guards against first homes that begin with a full bucket while another one has granted:
/// failures in the first seconds of a fleet, in which its list of homes still changes.
#[test_case(3, 200)]
#[test_case(16, 100)]
#[test_case(61, 20)]
fn bound_holds_for_first_homes_under_shuffled_failures(entries: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(entries, limit(300, 300));
        for _ in 0..12 {
            let demand = spread(entries, 3_000.0, rng.random_bool(0.5));
            fleet.run(Duration::from_millis(rng.random_range(50..800)), &demand);
            shuffle(&mut fleet, &mut rng);
        }
        fleet.run(WINDOW, &spread(entries, 3_000.0, true));
        fleet.assert_bound(&format!("seed {seed}"));
    }
}

/// Guards against a customer within its limit that is refused at the start of a fleet.
#[test]
fn first_requests_within_the_limit_are_served() {
    let mut fleet = Fleet::new(8, LIMIT);
    fleet.run(secs(2), &[0.0; 8]);
    fleet.run(secs(2), &spread(8, 150.0, true));
    assert_eq!(fleet.refused, 0);
}
