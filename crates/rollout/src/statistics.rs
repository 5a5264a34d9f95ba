//! Compares the responses of the new version with those of the old one.
//!
//! The comparison is stratified (Cochran, Mantel and Haenszel): expected are the bad
//! responses that the new version would have if both versions were alike, for each
//! route, data centre and time. Responses of one upstream within a short time are
//! correlated, because neighbours on its VM slow all of them; the variance is increased
//! by the correlation that is measured among the old upstreams, but at least by an
//! assumed one. Failures are tested first on their own, since neighbours cause none and
//! fewer responses are sufficient.

use crate::Bounds;
use crate::evidence::{Counts, Evidence, Interval, Reporter, VersionGroup, interval};
use crate::histogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use wire::DaemonId;

/// Service time, relative to the median of the old version, above which a response is
/// slow.
const SLOW_RATIO: f64 = 2.5;
/// Minimum number of bad responses of a bad version. It is well below `canary-slack`,
/// because the new version gets further requests until the rollback is in force.
const MIN_BAD: f64 = 8.0;
/// Fraction of `canary-slack` that the minimum number of bad responses may take.
const MIN_BAD_RATIO: f64 = 0.2;
/// Minimum difference of the proportions of bad responses.
const MIN_DIFFERENCE: f64 = 0.05;
/// Minimum difference in standard deviations.
const MIN_Z: f64 = 4.0;
/// Number of responses of each version from which a stratum is complete.
const MIN_STRATUM: f64 = 4.0;
/// Number of upstreams of the new version from which bad responses of only one of
/// them are attributed to that upstream.
const MIN_UPSTREAMS: usize = 3;
/// Assumed correlation between the failures of an upstream in a stratum.
const FAILURE_CORRELATION: f64 = 0.02;
/// Assumed correlation between the slow responses of an upstream in a stratum.
const SLOW_CORRELATION: f64 = 0.3;

/// What counts as a bad response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Failures.
    Failures,
    /// Failures and slow responses.
    All,
}

/// The figures for which a version is bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// Route that was compared; `None` for all routes together.
    pub route: Option<String>,
    /// Whether only responses within the rollback time were compared, not all that are
    /// kept.
    pub recent: bool,
    /// Responses of the new version that were compared.
    pub responses: f64,
    /// Bad responses among them.
    pub bad: f64,
    /// Proportion of bad responses of the new version beyond that of the old one.
    pub difference: f64,
    /// The difference in standard deviations.
    pub z: f64,
    /// Service time above which a response was slow, in milliseconds; 0 if only failures
    /// or several routes were compared.
    pub slow_ms: f64,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let route = self.route.as_deref().unwrap_or("all");
        let window = if self.recent { "recent" } else { "whole" };
        write!(
            f,
            "{:.0} of {:.0} responses bad, difference {:.3}, z {:.1}, route {route}, {window}, slow above {:.1} ms",
            self.bad, self.responses, self.difference, self.z, self.slow_ms
        )
    }
}

/// Returns the figures for which the new version is bad, if it is.
pub(crate) fn verdict(evidence: &Evidence, now: Duration, bounds: Bounds) -> Option<Verdict> {
    let recent = interval(now.saturating_sub(bounds.rollback));
    let mut windows = [0, recent].into_iter();
    windows.find_map(|first| {
        let mut kinds = [Kind::Failures, Kind::All].into_iter();
        kinds.find_map(|kind| compare(evidence, first, kind, bounds))
    })
}

/// Compares the versions from an interval on, on each route and on all together. Interval
/// 0 stands for all evidence that is kept.
fn compare(evidence: &Evidence, first: Interval, kind: Kind, bounds: Bounds) -> Option<Verdict> {
    let recent = first > 0;
    let mut all = Comparison {
        recent,
        ..Comparison::default()
    };
    for (route, centres) in evidence.routes() {
        let centres = centres.values().map(|cells| {
            let cells = cells.iter().filter(|((interval, _), _)| *interval >= first);
            cells.collect::<Vec<_>>()
        });
        let mut comparison = compare_route(&centres.collect::<Vec<_>>(), kind);
        comparison.route = Some(route.to_string());
        comparison.recent = recent;
        if let Some(verdict) = comparison.verdict(bounds) {
            return Some(verdict);
        }
        all.add(&comparison, kind);
    }
    all.verdict(bounds)
}

/// Responses of one upstream in one stratum.
#[derive(Clone, Debug)]
struct Cell {
    daemon: DaemonId,
    group: VersionGroup,
    responses: f64,
    bad: f64,
}

/// Cells that are compared with each other.
type Stratum = Vec<Cell>;
/// A counted cell, by interval and upstream.
type Counted<'a> = (&'a (Interval, Reporter), &'a Counts);

/// Sums over strata.
#[derive(Clone, Debug, Default)]
struct Comparison {
    route: Option<String>,
    recent: bool,
    slow_ms: f64,
    responses: f64,
    bad: f64,
    /// Bad responses of the new version beyond the expected number.
    excess: f64,
    /// Variance of the excess.
    variance: f64,
    /// Sum of the weights of strata, for the difference of proportions.
    weight: f64,
    upstreams: BTreeSet<DaemonId>,
    bad_upstreams: BTreeSet<DaemonId>,
}

impl Comparison {
    /// Adds the comparison of another route. Slowness affects all routes of an upstream
    /// alike, so that the deviations are added, not the variances.
    fn add(&mut self, other: &Self, kind: Kind) {
        let deviation = self.variance.sqrt() + other.variance.sqrt();
        self.variance = match kind {
            Kind::Failures => self.variance + other.variance,
            Kind::All => deviation.powi(2),
        };
        self.responses += other.responses;
        self.bad += other.bad;
        self.excess += other.excess;
        self.weight += other.weight;
        self.upstreams.extend(other.upstreams.iter().cloned());
        let bad = other.bad_upstreams.iter();
        self.bad_upstreams.extend(bad.cloned());
    }

    /// Adds a stratum. `margin` is added to the expected proportion for the variance.
    fn add_stratum(&mut self, stratum: &Stratum, correlation: f64, margin: f64) {
        let (new, new_bad) = sums(stratum, VersionGroup::New);
        let (old, old_bad) = sums(stratum, VersionGroup::Old);
        let all = new + old;
        let expected = (new_bad + old_bad) / all;
        let weighted_size = |group| {
            let cells = stratum.iter().filter(|cell| cell.group == group);
            let terms = cells.map(|c| c.responses * (1.0 + (c.responses - 1.0) * correlation));
            terms.sum::<f64>()
        };
        let variance = weighted_size(VersionGroup::New) * (old / all).powi(2)
            + weighted_size(VersionGroup::Old) * (new / all).powi(2);
        self.responses += new;
        self.bad += new_bad;
        self.excess += new_bad - new * expected;
        let proportion = (expected + margin).min(0.5_f64.max(expected));
        self.variance += proportion * (1.0 - proportion) * variance;
        self.weight += new * old / all;
        for cell in stratum.iter().filter(|c| c.group == VersionGroup::New) {
            self.upstreams.insert(cell.daemon.clone());
            if cell.bad >= 1.0 {
                self.bad_upstreams.insert(cell.daemon.clone());
            }
        }
    }

    fn verdict(&self, bounds: Bounds) -> Option<Verdict> {
        let difference = self.excess / self.weight.max(f64::EPSILON);
        let z = self.excess / self.variance.sqrt().max(f64::EPSILON);
        let slack = f64::from(bounds.canary_slack) * MIN_BAD_RATIO;
        let min_bad = MIN_BAD.min(slack).max(1.0);
        let is_single = self.upstreams.len() >= MIN_UPSTREAMS && self.bad_upstreams.len() < 2;
        if self.bad < min_bad || difference < MIN_DIFFERENCE || z < MIN_Z || is_single {
            return None;
        }
        Some(Verdict {
            route: self.route.clone(),
            recent: self.recent,
            responses: self.responses,
            bad: self.bad,
            difference,
            z,
            slow_ms: self.slow_ms,
        })
    }
}

/// Compares the versions on one route; the cells are given by data centre.
fn compare_route(centres: &[Vec<Counted<'_>>], kind: Kind) -> Comparison {
    let slow_ms = match kind {
        Kind::Failures => None,
        Kind::All => old_median_ms(centres).map(|median| median * SLOW_RATIO),
    };
    let strata: Vec<Stratum> = centres.iter().flat_map(|c| strata(c, slow_ms)).collect();
    let old_cells = strata.iter().flatten();
    let old_cells = old_cells.filter(|c| c.group == VersionGroup::Old).count();
    // With few old cells, it may be by chance that none of them was slowed.
    let (assumed, margin) = match kind {
        Kind::Failures => (FAILURE_CORRELATION, 0.0),
        Kind::All => (SLOW_CORRELATION, 1.0 / old_cells.max(1) as f64),
    };
    let correlation = correlation(&strata).max(assumed);
    let mut comparison = Comparison {
        slow_ms: slow_ms.unwrap_or_default(),
        ..Comparison::default()
    };
    for stratum in &strata {
        comparison.add_stratum(stratum, correlation, margin);
    }
    comparison
}

fn old_median_ms(centres: &[Vec<Counted<'_>>]) -> Option<f64> {
    let mut times = Histogram::default();
    for ((_, reporter), counts) in centres.iter().flatten() {
        if reporter.group == VersionGroup::Old {
            times.add(&counts.service_times);
        }
    }
    times.median_ms()
}

/// Divides the cells of a data centre by time. Intervals are combined until both
/// versions have enough responses.
fn strata(cells: &[Counted<'_>], slow_ms: Option<f64>) -> Vec<Stratum> {
    let mut by_interval: BTreeMap<Interval, Stratum> = BTreeMap::new();
    for ((interval, reporter), counts) in cells {
        let slow = slow_ms.map_or(0.0, |limit| counts.service_times.above(limit));
        by_interval.entry(*interval).or_default().push(Cell {
            daemon: reporter.daemon.clone(),
            group: reporter.group,
            responses: f64::from(counts.responses),
            bad: f64::from(counts.failures) + slow,
        });
    }
    let mut complete = Vec::new();
    let mut current = Stratum::new();
    for mut cells in by_interval.into_values() {
        current.append(&mut cells);
        let groups = [VersionGroup::Old, VersionGroup::New];
        if groups.iter().all(|g| sums(&current, *g).0 >= MIN_STRATUM) {
            complete.push(std::mem::take(&mut current));
        }
    }
    complete
}

/// Returns the numbers of responses and of bad responses of a group.
fn sums(stratum: &Stratum, group: VersionGroup) -> (f64, f64) {
    let cells = stratum.iter().filter(|cell| cell.group == group);
    cells.fold((0.0, 0.0), |(responses, bad), cell| {
        (responses + cell.responses, bad + cell.bad)
    })
}

/// Returns the correlation between bad responses of one old upstream in one stratum,
/// 0 to 1.
fn correlation(strata: &[Stratum]) -> f64 {
    let (mut excess, mut scale) = (0.0, 0.0);
    for stratum in strata {
        let (responses, bad) = sums(stratum, VersionGroup::Old);
        let mean = bad / responses.max(1.0);
        let variance = mean * (1.0 - mean);
        for cell in stratum.iter().filter(|c| c.group == VersionGroup::Old) {
            let n = cell.responses;
            // The mean includes the cell itself, which reduces its deviation.
            let expected = n * variance * (1.0 - n / responses.max(1.0));
            excess += (cell.bad - n * mean).powi(2) - expected;
            scale += n * (n - 1.0) * variance;
        }
    }
    (excess / scale.max(f64::EPSILON)).clamp(0.0, 1.0)
}
