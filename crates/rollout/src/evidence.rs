//! Collects the evidence that gates report during a rollout.
//!
//! Gates report totals, so that a report may be lost or repeated. What a total has grown
//! by is kept by the interval in which it arrived, so that the versions are compared
//! over the same time.

use crate::histogram::Histogram;
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{DaemonId, DataCentreId, RouteEvidence};

/// Time whose responses are kept together: two heartbeat intervals, so that each gate
/// reports in each interval.
const INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of intervals kept.
const MAX_INTERVALS: u64 = 60;
/// Maximum number of routes; the evidence of further ones is ignored.
const MAX_ROUTES: usize = 64;

/// Name of a route.
pub(crate) type RouteName = CompactString;
/// Number of an interval.
pub(crate) type Interval = u64;

/// Whether an upstream runs the new version or another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionGroup {
    /// Another version.
    Old,
    /// The version that the traffic is moved to.
    New,
}

/// One start of a daemon, whose counts begin at zero.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reporter {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Random number that it generated when it started.
    pub incarnation: u64,
    /// Data centre of its upstream.
    pub data_centre: DataCentreId,
    /// Version of its upstream.
    pub group: VersionGroup,
}

/// Responses of an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    pub(crate) responses: u32,
    pub(crate) failures: u32,
    pub(crate) service_times: Histogram,
}

impl Counts {
    fn new(reported: &RouteEvidence) -> Self {
        Self {
            responses: reported.responses,
            failures: reported.failures,
            service_times: Histogram::new(&reported.service_times),
        }
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            responses: self.responses.saturating_sub(earlier.responses),
            failures: self.failures.saturating_sub(earlier.failures),
            service_times: self.service_times.since(&earlier.service_times),
        }
    }

    fn add(&mut self, other: &Self) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failures = self.failures.saturating_add(other.failures);
        self.service_times.add(&other.service_times);
    }
}

/// The responses to one route in one data centre, by interval and upstream.
type Cells = BTreeMap<(Interval, Reporter), Counts>;

/// The evidence of one rollout.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    totals: BTreeMap<(Reporter, RouteName), Counts>,
    cells: BTreeMap<RouteName, BTreeMap<DataCentreId, Cells>>,
}

impl Evidence {
    /// Records the totals that a gate reports.
    pub fn record(&mut self, now: Duration, reporter: &Reporter, routes: &[RouteEvidence]) {
        let interval = interval(now);
        for reported in routes {
            let route = RouteName::from(reported.route.as_str());
            if !self.cells.contains_key(&route) && self.cells.len() >= MAX_ROUTES {
                continue;
            }
            let total = Counts::new(reported);
            let key = (reporter.clone(), route.clone());
            let grown = match self.totals.insert(key, total.clone()) {
                Some(earlier) => total.since(&earlier),
                None => total,
            };
            if grown.responses == 0 {
                continue;
            }
            let centres = self.cells.entry(route).or_default();
            let cells = centres.entry(reporter.data_centre.clone()).or_default();
            let cell = cells.entry((interval, reporter.clone())).or_default();
            cell.add(&grown);
            drop_old(cells, interval);
        }
    }

    /// Returns the number of responses and of failures of a group of upstreams.
    #[must_use]
    pub fn totals(&self, group: VersionGroup) -> (u64, u64) {
        let totals = self.totals.iter().filter(|((r, _), _)| r.group == group);
        totals.fold((0, 0), |(responses, failures), (_, counts)| {
            let responses = responses + u64::from(counts.responses);
            (responses, failures + u64::from(counts.failures))
        })
    }

    /// Returns the cells of each route, by data centre.
    pub(crate) fn routes(
        &self,
    ) -> impl Iterator<Item = (&RouteName, &BTreeMap<DataCentreId, Cells>)> {
        self.cells.iter()
    }
}

/// Removes the cells of intervals that are no longer kept.
fn drop_old(cells: &mut Cells, current: Interval) {
    while let Some(first) = cells.first_entry()
        && first.key().0 + MAX_INTERVALS <= current
    {
        first.remove();
    }
}

/// Returns the number of the interval that contains a time.
pub(crate) fn interval(now: Duration) -> Interval {
    now.as_secs() / INTERVAL.as_secs()
}
