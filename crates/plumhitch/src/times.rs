//! Computes request latencies from the saved logs of several daemons, and how much
//! of them was added to the time at the upstream.

use crate::args::Times;
use crate::failure::Failure;
use crate::saved_logs::{LogLine, parse_logs, read_logs};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Highest duration that the histograms record, in microseconds.
const MAX_DURATION_US: u64 = 600_000_000;
/// Significant decimal digits of recorded durations.
const SIGNIFICANT_DIGITS: u8 = 3;
const P50: f64 = 0.5;
const P99: f64 = 0.99;
const US_PER_MS: f64 = 1_000.0;

/// Service, class and distance of the upstream.
type GroupKey<'a> = (&'a str, &'a str, Distance);

/// Where the upstream is, seen from the daemon that received the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    /// In another data centre.
    Far,
    /// In the same data centre.
    Near,
    /// The logs do not state the data centre of both.
    Unknown,
}

impl Distance {
    fn between(entry: Option<&str>, upstream: Option<&str>) -> Self {
        match (entry, upstream) {
            (Some(entry), Some(upstream)) if entry == upstream => Self::Near,
            (Some(_), Some(_)) => Self::Far,
            _ => Self::Unknown,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Far => "far",
            Self::Near => "near",
            Self::Unknown => "?",
        }
    }
}

/// Latencies of a group of requests, in microseconds.
struct Latencies {
    total: Histogram<u64>,
    /// Total less the time of the run at the upstream.
    added: Histogram<u64>,
}

/// Prints the latency quantiles of each class, in total and in excess of the run
/// at the upstream. Only answered requests with a single attempt are counted.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no request was answered.
pub(crate) fn times(args: &Times) -> Result<(), Failure> {
    let texts = read_logs(&args.files)?;
    let lines = parse_logs(&texts);
    let groups = group_latencies(&lines);
    if groups.is_empty() {
        let reason = "no answered request, with the run that answered it, is in these logs";
        return Err(Failure::Failed(reason.to_owned()));
    }
    println!(
        "{:<14} {:<16} {:<5} {:>8} {:>9} {:>9} {:>9} {:>9}",
        "service", "class", "way", "answers", "p50_ms", "p99_ms", "added_p50", "added_p99"
    );
    for ((service, class, distance), latencies) in &groups {
        let ms = |latencies: &Histogram<u64>, quantile| {
            latencies.value_at_quantile(quantile) as f64 / US_PER_MS
        };
        println!(
            "{service:<14} {class:<16} {:<5} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
            distance.name(),
            latencies.total.len(),
            ms(&latencies.total, P50),
            ms(&latencies.total, P99),
            ms(&latencies.added, P50),
            ms(&latencies.added, P99),
        );
    }
    Ok(())
}

fn group_latencies<'a>(lines: &'a [LogLine<'a>]) -> BTreeMap<GroupKey<'a>, Latencies> {
    let of_event = |event: &'static str| {
        lines
            .iter()
            .filter(move |line| line.field("event") == event)
    };
    let started = of_event("started");
    let data_centres: BTreeMap<&str, &str> = started
        .map(|line| (line.field("daemon"), line.field("data_centre")))
        .collect();
    let runs = of_event("run");
    let runs: BTreeMap<&str, u64> = runs
        .filter_map(|line| Some((line.field("attempt_id"), took_us(line)?)))
        .collect();
    let mut groups = BTreeMap::new();
    for line in of_event("request") {
        let answered = line.field("outcome") == "answered" && line.field("attempts") == "1";
        let run_us = runs.get(line.field("attempt_id")).filter(|_| answered);
        let (Some(run_us), Some(total_us)) = (run_us, took_us(line)) else {
            continue;
        };
        let data_centre = |daemon: &str| data_centres.get(daemon).copied();
        let upstream = data_centre(line.field("upstream"));
        let distance = Distance::between(data_centre(&line.process), upstream);
        let group = (line.field("service"), line.field("class"), distance);
        let latencies = groups.entry(group).or_insert_with(|| Latencies {
            total: new_histogram(),
            added: new_histogram(),
        });
        latencies.total.saturating_record(total_us);
        latencies
            .added
            .saturating_record(total_us.saturating_sub(*run_us));
    }
    groups
}

fn took_us(line: &LogLine<'_>) -> Option<u64> {
    line.field("took_us").parse().ok()
}

#[expect(clippy::expect_used, reason = "the bounds are valid constants")]
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS).expect("bounds are valid")
}
