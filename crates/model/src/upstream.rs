//! An upstream: slots, and work whose pace changes.

use crate::experiment::Service;
use gate::Ticket;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Work under this many seconds is done: times are kept in nanoseconds.
const DONE: f64 = 1e-9;
/// Hundredths in a unit.
const HUNDREDTHS: f64 = 100.0;

/// A request that an upstream works on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// Whether it counts as a repeat.
    pub(crate) again: bool,
    /// Seconds of work that are left at the usual pace.
    pub(crate) left: f64,
    /// Number of the call that it waits for, if any.
    pub(crate) waits_for: Option<u64>,
    /// Whether its work stands still meanwhile.
    pub(crate) stands: bool,
}

/// An upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// What it is one of.
    pub(crate) service: Service,
    /// Number of its service.
    pub(crate) service_number: usize,
    /// Number of its data centre.
    pub(crate) data_centre: usize,
    /// Whether it is up.
    pub(crate) up: bool,
    /// Number of its start, from 1.
    pub(crate) start: u64,
    /// Until when it is cold.
    pub(crate) cold_until: Duration,
    /// Multiple of the usual time by a fault that it doesn't tell of.
    pub(crate) fault: f64,
    /// Requests that it works on.
    pub(crate) runs: BTreeMap<Ticket, Run>,
    noisy: bool,
    seen: Duration,
}

impl Upstream {
    pub(crate) fn new(service: Service, service_number: usize, data_centre: usize) -> Self {
        Self {
            service,
            service_number,
            data_centre,
            up: true,
            start: 1,
            cold_until: Duration::ZERO,
            fault: 1.0,
            runs: BTreeMap::new(),
            noisy: false,
            seen: Duration::ZERO,
        }
    }

    /// Lets a new spell begin.
    pub(crate) fn new_spell(&mut self, rng: &mut SmallRng) {
        self.noisy = rng.random::<f64>() < self.service.noise.share;
    }

    /// Returns what it says of its pace, in hundredths of the usual time.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "casts of floats saturate"
    )]
    pub(crate) fn told_percent(&self, now: Duration) -> u32 {
        (self.told(now) * HUNDREDTHS).round() as u32
    }

    fn told(&self, now: Duration) -> f64 {
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

    /// Returns by what work takes longer than usual, with some requests more.
    pub(crate) fn slowdown(&self, now: Duration, more: u32) -> f64 {
        let used = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        let knee = self.service.knee.slowdown(used + more, self.service.slots);
        self.told(now) * self.fault * knee
    }

    /// Does the work up to now. Comes before every change of the pace.
    pub(crate) fn pass(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.seen).as_secs_f64();
        let done = elapsed / self.slowdown(self.seen, 0);
        for run in self.runs.values_mut().filter(|run| !run.stands) {
            run.left = (run.left - done).max(0.0);
        }
        self.seen = now;
    }

    /// Returns a request whose work is done and that waits for no call.
    pub(crate) fn done(&self) -> Option<Ticket> {
        let mut done = self.runs.iter().filter(|(_, run)| run.is_done());
        done.next().map(|(ticket, _)| *ticket)
    }

    /// Returns when the next request is done, if the pace stays as it is.
    pub(crate) fn next(&self) -> Option<Duration> {
        let open = self
            .runs
            .values()
            .filter(|run| !run.stands && run.left > DONE);
        let left = open.map(|run| run.left).min_by(f64::total_cmp)?;
        let pace = self.slowdown(self.seen, 0);
        // One nanosecond more, so that rounding leaves nothing to be done.
        let after = Duration::from_secs_f64(left * pace) + Duration::from_nanos(1);
        let warm = Some(self.cold_until).filter(|at| *at > self.seen);
        let at = self.seen + after;
        Some(warm.map_or(at, |warm| warm.min(at)))
    }
}

impl Run {
    fn is_done(&self) -> bool {
        self.left <= DONE && self.waits_for.is_none()
    }
}
