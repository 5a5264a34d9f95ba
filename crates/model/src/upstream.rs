//! A simulated upstream: its requests in flight, and the slowdown that noise,
//! faults, concurrency and cold starts cause.

use crate::experiment::Service;
use gate::{Statement, Ticket};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Remaining work, in seconds, below which a run is complete. Times are kept in
/// nanoseconds.
const DONE_S: f64 = 1e-9;
const PERCENT: f64 = 100.0;

/// A request that an upstream processes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// Whether the run counts as a repeat.
    pub(crate) repeated: bool,
    /// Remaining work, in seconds at normal speed.
    pub(crate) remaining_work: f64,
    /// Identifier of the call that it waits for, if any.
    pub(crate) pending_call: Option<u64>,
    /// Whether the work is suspended until that call ends.
    pub(crate) blocked: bool,
}

/// State of an upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Service that the upstream belongs to.
    pub(crate) service: Service,
    /// Index of the service.
    pub(crate) service_index: usize,
    /// Index of the data centre.
    pub(crate) data_centre: usize,
    /// Whether the upstream is running.
    pub(crate) up: bool,
    /// Number of starts so far, including the first.
    pub(crate) start_count: u64,
    /// End of the cold phase.
    pub(crate) cold_until: Duration,
    /// Factor by which a fault slows down the work. Load reports don't include
    /// it.
    pub(crate) fault_slowdown: f64,
    /// What its responses state.
    pub(crate) statement: Statement,
    /// Requests in flight.
    pub(crate) runs: BTreeMap<Ticket, Run>,
    noisy: bool,
    updated_at: Duration,
}

impl Upstream {
    pub(crate) fn new(service: Service, service_index: usize, data_centre: usize) -> Self {
        Self {
            service,
            service_index,
            data_centre,
            up: true,
            start_count: 1,
            cold_until: Duration::ZERO,
            fault_slowdown: 1.0,
            statement: Statement::default(),
            runs: BTreeMap::new(),
            noisy: false,
            updated_at: Duration::ZERO,
        }
    }

    /// Starts a new noise interval and draws whether the upstream is slow in
    /// it.
    pub(crate) fn draw_noise(&mut self, rng: &mut SmallRng) {
        self.noisy = rng.random::<f64>() < self.service.noise.share;
    }

    /// Returns the slowness that load reports state: the service time in percent
    /// of the normal one.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "casts of floats saturate"
    )]
    pub(crate) fn reported_slow_percent(&self, now: Duration) -> u32 {
        (self.reported_slowdown(now) * PERCENT).round() as u32
    }

    fn reported_slowdown(&self, now: Duration) -> f64 {
        let noise = if self.noisy {
            self.service.noise.factor
        } else {
            1.0
        };
        let cold = if now < self.cold_until {
            self.service.cold.factor
        } else {
            1.0
        };
        noise * cold
    }

    /// Returns the factor by which work takes longer with `additional` more
    /// requests in flight.
    pub(crate) fn slowdown(&self, now: Duration, additional: u32) -> f64 {
        let used = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        let knee = self
            .service
            .knee
            .slowdown(used + additional, self.service.slots);
        self.reported_slowdown(now) * self.fault_slowdown * knee
    }

    /// Applies the work done until `now`. Must be called before every change of
    /// the slowdown.
    pub(crate) fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let done = elapsed / self.slowdown(self.updated_at, 0);
        for run in self.runs.values_mut().filter(|run| !run.blocked) {
            run.remaining_work = (run.remaining_work - done).max(0.0);
        }
        self.updated_at = now;
    }

    /// Returns a run whose work is done and that waits for no call.
    pub(crate) fn finished_run(&self) -> Option<Ticket> {
        let mut finished = self.runs.iter().filter(|(_, run)| run.is_done());
        finished.next().map(|(ticket, _)| *ticket)
    }

    /// Returns when the next run completes or the cold phase ends, if nothing
    /// else changes.
    pub(crate) fn next_change(&self) -> Option<Duration> {
        let active = self
            .runs
            .values()
            .filter(|run| !run.blocked && run.remaining_work > DONE_S);
        let remaining = active
            .map(|run| run.remaining_work)
            .min_by(f64::total_cmp)?;
        let slowdown = self.slowdown(self.updated_at, 0);
        // Adds a nanosecond so that rounding leaves no work.
        let after = Duration::from_secs_f64(remaining * slowdown) + Duration::from_nanos(1);
        let warm = Some(self.cold_until).filter(|at| *at > self.updated_at);
        let at = self.updated_at + after;
        Some(warm.map_or(at, |warm| warm.min(at)))
    }
}

impl Run {
    fn is_done(&self) -> bool {
        self.remaining_work <= DONE_S && self.pending_call.is_none()
    }
}
