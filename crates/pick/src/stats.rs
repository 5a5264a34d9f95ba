//! What an entry knows of one upstream.

use std::time::Duration;
use wire::Load;

/// Part of a new latency in the smoothed latency.
const SMOOTHING: f64 = 0.2;
/// Time in which the memory of a failure halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Failures in a row after which an upstream may be ejected.
const EJECT_FAILURES: u32 = 5;

/// A gate's count, as an answer carried it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
    pub(crate) at: Duration,
    pub(crate) load: Load,
    /// Requests of this entry that the count includes.
    pub(crate) own: u32,
}

/// What an entry knows of one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Requests of this entry under way there.
    pub(crate) own: u32,
    pub(crate) heard: Option<Heard>,
    /// Smoothed latency in seconds, and when it was last measured.
    pub(crate) latency: Option<(f64, Duration)>,
    /// When it appeared among upstreams that were known before it.
    pub(crate) appeared: Option<Duration>,
    /// When it was first sent something that it has not answered yet.
    pub(crate) silent_since: Option<Duration>,
    pub(crate) last_sent: Duration,
    pub(crate) last_word: Option<Duration>,
    pub(crate) shunned_until: Duration,
    pub(crate) ejected_until: Option<Duration>,
    pub(crate) ejections: u32,
    failures: f64,
    failed_at: Duration,
    failures_in_row: u32,
}

impl Record {
    /// Creates a record; `appeared` is when the upstream joined peers that
    /// were known before it.
    pub(crate) fn new(appeared: Option<Duration>) -> Self {
        Self {
            appeared,
            ..Self::default()
        }
    }

    pub(crate) fn sent(&mut self, now: Duration) {
        self.own += 1;
        self.last_sent = now;
        self.silent_since = self.silent_since.or(Some(now));
    }

    /// Takes a sign of life in, on a request that is still counted here but
    /// no longer at the gate.
    pub(crate) fn word(&mut self, now: Duration, load: Option<Load>) {
        self.silent_since = None;
        self.last_word = Some(now);
        if let Some(load) = load.filter(|l| *l != Load::default()) {
            let at_gate = load.in_flight + load.waiting;
            let own = self.own.saturating_sub(1).min(at_gate);
            self.heard = Some(Heard { at: now, load, own });
        }
    }

    /// Takes in what the gate told on its own: everything of this entry that
    /// the gate knows of is still under way.
    pub(crate) fn told(&mut self, now: Duration, load: Load) {
        let own = self.own.min(load.in_flight + load.waiting);
        self.heard = Some(Heard { at: now, load, own });
    }

    pub(crate) fn succeeded(&mut self, now: Duration, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let old = self.latency.map_or(seconds, |(old, _)| old);
        self.latency = Some((old + SMOOTHING * (seconds - old), now));
        self.failures_in_row = 0;
        self.ejections = 0;
    }

    pub(crate) fn failed(&mut self, now: Duration) {
        self.failures = self.recent_failures(now) + 1.0;
        self.failed_at = now;
        self.failures_in_row += 1;
    }

    /// Returns recent failures, fading with time; they count as load.
    pub(crate) fn recent_failures(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failed_at);
        self.failures * half_life(age, FAILURE_HALF_LIFE)
    }

    pub(crate) fn should_be_ejected(&self) -> bool {
        self.failures_in_row >= EJECT_FAILURES && self.ejected_until.is_none()
    }

    /// Lets an ejected upstream return, on the same ramp as a new one.
    pub(crate) fn readmit(&mut self, now: Duration) {
        self.ejected_until = None;
        self.failures_in_row = EJECT_FAILURES - 1;
        self.appeared = Some(now);
    }
}

/// Returns 1 at age 0, a half at the half-life, and so on.
pub(crate) fn half_life(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
