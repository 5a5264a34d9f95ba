//! Says from saved logs of several processes how long requests took, and what
//! of that was not their upstream's.

use crate::args::Times;
use crate::failure::Failure;
use crate::saved_logs::{Line, lines, read};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// Digits that times are kept with.
const DIGITS: u8 = 3;
/// Quantiles that are shown.
const MEDIAN: f64 = 0.5;
const TAIL: f64 = 0.99;
/// Microseconds of a millisecond.
const MS: f64 = 1_000.0;

/// Service, class, and whether the upstream stood in the entry's data centre.
type Group<'a> = (&'a str, &'a str, bool);

/// Times of a group, in microseconds.
struct Taken {
    whole: Histogram<u64>,
    added: Histogram<u64>,
}

/// Prints for each class how long answered requests took that needed one
/// attempt, and how much longer than their run at the upstream.
///
/// # Errors
///
/// Returns that a file can't be read, or that no request was answered.
pub(crate) fn times(args: &Times) -> Result<(), Failure> {
    let texts = read(&args.files)?;
    let all = lines(&texts);
    let groups = groups(&all);
    if groups.is_empty() {
        let why = "no answered request, with the run that answered it, is in these logs";
        return Err(Failure::Failed(why.to_owned()));
    }
    println!(
        "{:<14} {:<16} {:<5} {:>8} {:>9} {:>9} {:>9} {:>9}",
        "service", "class", "way", "answers", "p50_ms", "p99_ms", "added_p50", "added_p99"
    );
    for ((service, class, near), taken) in &groups {
        let ms = |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile) as f64 / MS;
        println!(
            "{service:<14} {class:<16} {:<5} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
            if *near { "near" } else { "far" },
            taken.whole.len(),
            ms(&taken.whole, MEDIAN),
            ms(&taken.whole, TAIL),
            ms(&taken.added, MEDIAN),
            ms(&taken.added, TAIL),
        );
    }
    Ok(())
}

fn groups<'a>(all: &'a [Line<'a>]) -> BTreeMap<Group<'a>, Taken> {
    let of_event = |event: &'static str| all.iter().filter(move |l| l.field("event") == event);
    let started = of_event("started");
    let places: BTreeMap<&str, &str> = started
        .map(|l| (l.field("daemon"), l.field("data_centre")))
        .collect();
    let runs = of_event("run");
    let runs: BTreeMap<&str, u64> = runs
        .filter_map(|l| Some((l.field("attempt_id"), took_us(l)?)))
        .collect();
    let mut groups = BTreeMap::new();
    for line in of_event("request") {
        let answered = line.field("outcome") == "answered" && line.field("attempts") == "1";
        let run = runs.get(line.field("attempt_id")).filter(|_| answered);
        let (Some(run), Some(took)) = (run, took_us(line)) else {
            continue;
        };
        let place = |daemon: &str| places.get(daemon).copied();
        let near = place(&line.process) == place(line.field("upstream"));
        let group = (line.field("service"), line.field("class"), near);
        let taken = groups.entry(group).or_insert_with(|| Taken {
            whole: empty(),
            added: empty(),
        });
        taken.whole.saturating_record(took);
        taken.added.saturating_record(took.saturating_sub(*run));
    }
    groups
}

fn took_us(line: &Line<'_>) -> Option<u64> {
    line.field("took_us").parse().ok()
}

#[expect(clippy::expect_used, reason = "the bounds are constants that fit")]
fn empty() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("bounds that fit")
}
