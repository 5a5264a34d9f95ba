//! Data centres to which connections fail, as when the network between data centres
//! is partitioned.
//!
//! Each connection to a VM behind a partition costs a caller the time until it fails.
//! With hundreds of VMs behind it, finding out for each of them takes longer than
//! most partitions last.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{DataCentreId, UpstreamId};

/// Number of upstreams of a data centre whose connections fail in turn, without a reply
/// from another one, from which on the data centre counts as unreachable.
const MIN_FAILED_UPSTREAMS: usize = 3;
/// Time after which a failure no longer counts.
const FAILURE_TTL: Duration = Duration::from_secs(2);
/// Interval between requests that are sent to an unreachable data centre to find out
/// whether it is reachable again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Which data centres an entry can reach.
#[derive(Debug, Default)]
pub struct Reachability {
    data_centres: BTreeMap<DataCentreId, Failures>,
}

/// Failures of a data centre since its last reply.
#[derive(Debug, Default)]
struct Failures {
    upstreams: BTreeSet<UpstreamId>,
    last_at: Duration,
    /// Time of the next probe, if the data centre is unreachable.
    probe_at: Option<Duration>,
}

impl Reachability {
    /// Creates a state in which every data centre is reachable.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            data_centres: BTreeMap::new(),
        }
    }

    /// Records that the connection to an upstream failed; returns whether its data
    /// centre has become unreachable by that.
    pub fn record_failure(&mut self, now: Duration, data_centre: &str, upstream: &str) -> bool {
        let failures = self.data_centres.entry(data_centre.into()).or_default();
        if failures.probe_at.is_none() && now.saturating_sub(failures.last_at) >= FAILURE_TTL {
            failures.upstreams.clear();
        }
        failures.last_at = now;
        failures.upstreams.insert(upstream.into());
        if failures.probe_at.is_some() || failures.upstreams.len() < MIN_FAILED_UPSTREAMS {
            return false;
        }
        failures.probe_at = Some(now + PROBE_INTERVAL);
        true
    }

    /// Records a reply from a data centre; returns whether it was unreachable.
    pub fn record_reply(&mut self, data_centre: &str) -> bool {
        let failures = self.data_centres.remove(data_centre);
        failures.is_some_and(|f| f.probe_at.is_some())
    }

    /// Records that a request is sent to a data centre. If it is unreachable, the
    /// request is its probe, and the next one is due later.
    pub fn record_sent(&mut self, now: Duration, data_centre: &str) {
        let failures = self.data_centres.get_mut(data_centre);
        if let Some(probe_at) = failures.and_then(|f| f.probe_at.as_mut()) {
            *probe_at = now + PROBE_INTERVAL;
        }
    }

    /// Returns whether no request should be sent to a data centre now.
    #[must_use]
    pub fn avoids(&self, now: Duration, data_centre: &str) -> bool {
        let failures = self.data_centres.get(data_centre);
        let probe_at = failures.and_then(|f| f.probe_at);
        probe_at.is_some_and(|at| now < at)
    }
}
