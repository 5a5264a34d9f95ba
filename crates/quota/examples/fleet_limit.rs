//! Measures how accurately a customer's rate limit is kept over many entries and
//! how many messages that costs, compared with a fixed equal split of the limit
//! between the entries.
//!
//! `cargo run --release -p quota --example fleet_limit [SEED]`
//!
//! All entries and the home run in this process on a simulated clock, with a
//! one-way delay of 1.5 ms between them. Columns: requests admitted in proportion
//! to what the plan allows (`of limit`) or to what was offered, if that is less
//! (`of offered`); messages per second, requests and replies of all entries
//! together; and the same proportion for the equal split.

#[path = "../tests/fake/mod.rs"]
mod fake;

use conf::Plan;
use fake::Fleet;
use quota::{Bucket, per_second};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const BLOCK_LIFETIME: Duration = Duration::from_secs(1);
const HOLD_TIME: Duration = Duration::from_millis(5);
const WARM_UP: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(20);
/// Interval at which the most loaded entries change, in the moving cases.
const MOVE_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_SEED: u64 = 7;

/// Distribution of the requests over the entries.
#[derive(Clone, Copy, PartialEq)]
enum Spread {
    /// Each entry gets the same number.
    Even,
    /// The n-th entry gets a number in proportion to 1/n.
    Skewed,
    /// As `Skewed`, with an order of entries that changes every second.
    Moving,
}

struct Case {
    name: &'static str,
    rate: u32,
    /// Offered requests in proportion to the rate.
    offered: f64,
    spread: Spread,
    /// Whether the home is unreachable after the warm-up.
    home_unreachable: bool,
}

const CASES: [Case; 9] = [
    case("over, even", 1_000, 3.0, Spread::Even, false),
    case("over, skewed", 1_000, 3.0, Spread::Skewed, false),
    case("under, skewed", 1_000, 0.8, Spread::Skewed, false),
    case("under, moving", 1_000, 0.8, Spread::Moving, false),
    case("small, even", 20, 3.0, Spread::Even, false),
    case("small, under", 20, 0.8, Spread::Even, false),
    case("oversized, skewed", 20_000, 3.0, Spread::Skewed, false),
    case("home cut, even", 1_000, 3.0, Spread::Even, true),
    case("home cut, skewed", 1_000, 3.0, Spread::Skewed, true),
];

const fn case(
    name: &'static str,
    rate: u32,
    offered: f64,
    spread: Spread,
    home_unreachable: bool,
) -> Case {
    Case {
        name,
        rate,
        offered,
        spread,
        home_unreachable,
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!(
        "seed {seed}, {} s after {} s",
        MEASURED.as_secs(),
        WARM_UP.as_secs()
    );
    println!("entries | case              | admitted          | messages/s | equal split");
    for entries in [10, 100, 960] {
        CASES.iter().for_each(|case| measure(entries, case, seed));
        first_contact(entries);
    }
}

fn plan(rate: u32) -> Plan {
    Plan {
        rate,
        burst: rate,
        in_flight: rate,
        share: 1,
    }
}

fn measure(entries: usize, case: &Case, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let plan = plan(case.rate);
    let mut fleet = Fleet::new(entries, plan, BLOCK_LIFETIME);
    let mut split = equal_split(fleet.now, entries, &plan);
    let weights = weights(entries, case.spread);
    let start = fleet.now;
    let end = start + WARM_UP + MEASURED;
    let mut at = start;
    let (mut offered, mut admitted, mut admitted_split) = (0_u64, 0_u64, 0_u64);
    let mut messages = 0;
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / (f64::from(case.rate) * case.offered);
        at += Duration::from_secs_f64(gap);
        if at >= end {
            break;
        }
        fleet.run_until(at);
        let measured = at >= start + WARM_UP;
        if measured && messages == 0 {
            messages = fleet.messages;
            fleet.reachable = !case.home_unreachable;
        }
        let moved = match case.spread {
            Spread::Moving => (at.as_millis() / MOVE_INTERVAL.as_millis()) as usize * 7,
            Spread::Even | Spread::Skewed => 0,
        };
        let entry = (random_entry(&weights, &mut rng) + moved) % entries;
        let with_leases = fleet.admit(entry, HOLD_TIME).is_ok();
        let with_split = split[entry].take(at, 1);
        if measured {
            offered += 1;
            admitted += u64::from(with_leases);
            admitted_split += u64::from(with_split);
        }
    }
    let allowed = f64::from(case.rate) * MEASURED.as_secs_f64();
    let (reference, total) = match case.offered > 1.0 {
        true => ("limit", allowed),
        false => ("offered", offered as f64),
    };
    println!(
        "{entries:7} | {:17} | {:.3} of {reference:7} | {:10.0} | {:.3}",
        case.name,
        admitted as f64 / total,
        (fleet.messages - messages) as f64 / MEASURED.as_secs_f64(),
        admitted_split as f64 / total,
    );
}

/// Measures what is admitted when every entry receives the first request of a small
/// customer at the same time, followed by ten times the rate of the plan for a
/// minute.
fn first_contact(entries: usize) {
    let plan = plan(20);
    let minute = Duration::from_secs(60);
    let mut fleet = Fleet::new(entries, plan, BLOCK_LIFETIME);
    let start = fleet.now;
    let at_once = (0..entries)
        .filter(|e| fleet.admit(*e, HOLD_TIME).is_ok())
        .count();
    let mut later = 0;
    let count = plan.rate * 10 * 60;
    for i in 0..count {
        fleet.run_until(start + minute * i / count);
        later += usize::from(fleet.admit(i as usize % entries, HOLD_TIME).is_ok());
    }
    let allowed = (plan.burst + plan.rate * 60) as usize;
    println!(
        "{entries:7} | first contact     | {at_once} at once, {} of {allowed} in the minute",
        at_once + later
    );
}

fn equal_split(now: Duration, entries: usize, plan: &Plan) -> Vec<Bucket> {
    let rate = per_second(plan.rate) / entries as u64;
    let burst = (plan.burst as usize / entries).max(1) as u32;
    vec![Bucket::new(now, rate, burst, Duration::ZERO); entries]
}

/// Returns the cumulative weights of the entries.
fn weights(entries: usize, spread: Spread) -> Vec<f64> {
    let weight = |n: usize| match spread {
        Spread::Even => 1.0,
        Spread::Skewed | Spread::Moving => 1.0 / (n + 1) as f64,
    };
    let sums = (0..entries).scan(0.0, |sum, n| {
        *sum += weight(n);
        Some(*sum)
    });
    sums.collect()
}

fn random_entry(weights: &[f64], rng: &mut SmallRng) -> usize {
    let total = weights.last().copied().unwrap_or(1.0);
    let at = rng.random::<f64>() * total;
    weights
        .partition_point(|sum| *sum < at)
        .min(weights.len() - 1)
}
