//! Responses of the upstream during a rollout of its service, by route. The control
//! leader compares those of the new version with those of the others.

use gate::{MIN_SERVER_ERROR, Outcome};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ClassId, Rollout, RouteEvidence, VersionEvidence};

/// Maximum number of routes that are counted separately.
const MAX_ROUTES: usize = 16;
/// Name under which further routes are counted together.
const OTHER: &str = "other";
/// End of the first bucket of service times, in milliseconds.
const FIRST_BUCKET_MS: f64 = 1.0;
/// Buckets for each doubling of the service time, as `rollout` reads them.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Maximum number of buckets; the last one ends at 12 minutes.
const MAX_BUCKETS: usize = 40;
/// Slowness of an upstream at its normal speed, in percent.
const NORMAL_PERCENT: u32 = 100;
/// Slowness above which an upstream reports itself as slow, in percent.
const SLOW_PERCENT: u32 = 150;

/// The state of the upstream at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamState {
    /// Time since the VM booted.
    pub at: Duration,
    /// Service time in percent of the normal one, as the upstream reports it; 0 if it
    /// does not.
    pub slow_percent: u32,
    /// Whether the upstream states that it is cold.
    pub cold: bool,
}

/// A request that was sent to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceRun {
    started: UpstreamState,
    /// State at the head of the response.
    responded: Option<UpstreamState>,
}

/// End of a run that is evidence about the upstream's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Success(Duration),
    Failure,
}

/// Counts of the responses of one version during one rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    rollout: u64,
    version: String,
    routes: BTreeMap<ClassId, RouteCount>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct RouteCount {
    responses: u32,
    failures: u32,
    service_times: Vec<u32>,
}

impl EvidenceRun {
    /// Begins a run in this state of the upstream.
    #[must_use]
    pub fn new(started: UpstreamState) -> Self {
        Self {
            started,
            responded: None,
        }
    }

    /// Records the state of the upstream at the head of the response. The body is not
    /// part of the service time, because the network to the entry may delay it.
    pub fn record_response(&mut self, state: UpstreamState) {
        self.responded.get_or_insert(state);
    }

    /// Returns the end of the run as evidence, or `None` if it is none.
    fn ending(&self, outcome: Outcome, ended: UpstreamState) -> Option<Ending> {
        if self.started.cold || ended.cold {
            return None;
        }
        match outcome {
            Outcome::Whole(status) if status >= MIN_SERVER_ERROR => Some(Ending::Failure),
            Outcome::Whole(_) => {
                let responded = self.responded.unwrap_or(ended);
                Some(Ending::Success(self.normalised(responded)))
            }
            Outcome::Broken => Some(Ending::Failure),
            Outcome::Refused | Outcome::Rejected => None,
        }
    }

    /// Returns the service time at normal speed: divided by the higher of the slowness
    /// at the beginning and at the end.
    fn normalised(&self, responded: UpstreamState) -> Duration {
        let took = responded.at.saturating_sub(self.started.at);
        let slow = self.started.slow_percent.max(responded.slow_percent);
        took * NORMAL_PERCENT / slow.max(NORMAL_PERCENT)
    }
}

impl Evidence {
    /// Sets the rollout and the version of the upstream. Counts of another rollout or
    /// version are discarded.
    pub fn update(&mut self, rollout: Option<&Rollout>, version: &str) {
        let id = rollout.map_or(0, |rollout| rollout.id);
        if id != self.rollout || version != self.version {
            *self = Self {
                rollout: id,
                version: version.to_owned(),
                routes: BTreeMap::new(),
            };
        }
    }

    /// Records that the upstream has ended a run that was not cancelled.
    pub fn record_end(
        &mut self,
        route: &ClassId,
        run: &EvidenceRun,
        outcome: Outcome,
        ended: UpstreamState,
    ) {
        if let Some(ending) = run.ending(outcome, ended) {
            self.count(route, ending);
        }
    }

    /// Records that the deadline of a run passed. It counts as a failure, unless the
    /// upstream reported itself as slow, or has begun to respond: then the network may
    /// be slow.
    pub fn record_timeout(&mut self, route: &ClassId, run: &EvidenceRun, now: UpstreamState) {
        let slow = run.started.slow_percent.max(now.slow_percent) > SLOW_PERCENT;
        if !slow && run.responded.is_none() {
            self.record_end(route, run, Outcome::Broken, now);
        }
    }

    /// Returns the counts, while there is a rollout.
    #[must_use]
    pub fn to_wire(&self) -> Option<VersionEvidence> {
        if self.rollout == 0 {
            return None;
        }
        let routes = self.routes.iter().map(|(route, count)| RouteEvidence {
            route: route.to_string(),
            responses: count.responses,
            failures: count.failures,
            service_times: count.service_times.clone(),
        });
        Some(VersionEvidence {
            rollout: self.rollout,
            version: self.version.clone(),
            routes: routes.collect(),
        })
    }

    fn count(&mut self, route: &ClassId, ending: Ending) {
        if self.rollout == 0 {
            return;
        }
        let full = self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route);
        let route = if full { OTHER.into() } else { route.clone() };
        let count = self.routes.entry(route).or_default();
        count.responses = count.responses.saturating_add(1);
        match ending {
            Ending::Failure => count.failures = count.failures.saturating_add(1),
            Ending::Success(service_time) => count.add_service_time(bucket_of(service_time)),
        }
    }
}

impl RouteCount {
    fn add_service_time(&mut self, bucket: usize) {
        if self.service_times.len() <= bucket {
            self.service_times.resize(bucket + 1, 0);
        }
        if let Some(count) = self.service_times.get_mut(bucket) {
            *count = count.saturating_add(1);
        }
    }
}

/// Returns the bucket of a service time, as described at
/// [`RouteEvidence::service_times`].
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts of floats saturate"
)]
fn bucket_of(service_time: Duration) -> usize {
    let ms = service_time.as_secs_f64() * 1_000.0 / FIRST_BUCKET_MS;
    let bucket = (ms.log2() * BUCKETS_PER_DOUBLING).ceil().max(0.0);
    (bucket as usize).min(MAX_BUCKETS - 1)
}
