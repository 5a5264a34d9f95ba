//! Requests that wait at this gate or run at its upstream.

use super::breaks::LostRequest;
use super::evidence::EvidenceRun;
use super::message::Arrival;
use gate::Ticket;
use std::collections::BTreeMap;
use std::time::Duration;

/// Progress of a request at this gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for exclusive execution.
    AwaitingExclusive,
    /// It waits for a slot.
    Waiting,
    /// It runs at the upstream.
    Running,
    /// It was cancelled at this time, and the upstream has not finished it yet.
    Cancelled(Duration),
}

impl Stage {
    fn is_dispatched(self) -> bool {
        matches!(self, Self::Running | Self::Cancelled(_))
    }
}

/// A request at this gate.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) arrival: Arrival,
    pub(super) arrived: Duration,
    pub(super) deadline: Duration,
    pub(super) stage: Stage,
    /// Whether it runs, or has to run, exclusively.
    pub(super) exclusive: bool,
    pub(super) stuck: bool,
    /// Its run at the upstream, once it was dispatched.
    pub(super) run: Option<EvidenceRun>,
}

impl Job {
    /// Creates a request that has not been dispatched.
    pub(super) fn new(arrival: Arrival, now: Duration) -> Self {
        Self {
            deadline: now + arrival.deadline,
            arrival,
            arrived: now,
            stage: Stage::AwaitingExclusive,
            exclusive: false,
            stuck: false,
            run: None,
        }
    }

    /// Returns what is kept of this request once the upstream has lost it.
    pub(super) fn lost(&self) -> LostRequest {
        LostRequest {
            fingerprint: self.arrival.fingerprint,
            exclusive: self.exclusive,
        }
    }
}

/// The requests at this gate, by ticket.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    jobs: BTreeMap<Ticket, Job>,
}

impl Jobs {
    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn insert(&mut self, job: Job) {
        self.jobs.insert(job.arrival.ticket, job);
    }

    pub(super) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Job> {
        self.jobs.get_mut(&ticket)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Job> {
        self.jobs.remove(&ticket)
    }

    /// Returns the oldest request that waits for exclusive execution.
    pub(super) fn first_awaiting_exclusive(&self) -> Option<&Job> {
        let waiting = self
            .jobs
            .values()
            .filter(|j| j.stage == Stage::AwaitingExclusive);
        waiting.min_by_key(|j| (j.arrived, j.arrival.ticket))
    }

    pub(super) fn awaiting_exclusive(&self) -> usize {
        let waiting = self
            .jobs
            .values()
            .filter(|j| j.stage == Stage::AwaitingExclusive);
        waiting.count()
    }

    /// Returns whether any request runs at the upstream, cancelled or not.
    pub(super) fn any_dispatched(&self) -> bool {
        self.jobs.values().any(|j| j.stage.is_dispatched())
    }

    /// Returns whether a request was dispatched to the upstream.
    pub(super) fn is_dispatched(&self, ticket: Ticket) -> bool {
        let job = self.jobs.get(&ticket);
        job.is_some_and(|job| job.stage.is_dispatched())
    }

    /// Returns whether any request runs that was not cancelled.
    pub(super) fn any_uncancelled(&self) -> bool {
        self.jobs.values().any(|j| j.stage == Stage::Running)
    }

    /// Returns whether any request runs, or has to run, exclusively.
    pub(super) fn has_exclusive(&self) -> bool {
        self.jobs.values().any(|j| j.exclusive)
    }

    /// Ends the exclusivity of requests that were cancelled at `cancelled_by`
    /// or earlier and that the upstream has not finished.
    pub(super) fn end_hung_exclusivity(&mut self, cancelled_by: Duration) {
        for job in self.jobs.values_mut() {
            if matches!(job.stage, Stage::Cancelled(at) if at <= cancelled_by) {
                job.exclusive = false;
            }
        }
    }

    /// Returns the tickets of the requests that match a predicate.
    pub(super) fn select(&self, f: impl Fn(&Job) -> bool) -> Vec<Ticket> {
        let selected = self.jobs.iter().filter(|(_, job)| f(job));
        selected.map(|(ticket, _)| *ticket).collect()
    }
}
