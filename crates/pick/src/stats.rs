//! Statistics that an entry keeps about one upstream.

use std::time::Duration;
use wire::Load;

/// Weight of a new latency in the moving average.
const SMOOTHING: f64 = 0.2;
/// Half-life of a failure.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Consecutive failures after which an upstream may be ejected.
const EJECTION_FAILURES: u32 = 5;

/// Load of a gate as last reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) at: Duration,
    pub(crate) load: Load,
    /// Requests of this entry that are included in the load.
    pub(crate) own_in_flight: u32,
}

/// Time in which an upstream gets no requests from this entry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pause {
    pub(crate) until: Duration,
    /// Length of the pause, which is the interval of this entry's requests.
    pub(crate) interval: Duration,
}

/// Time in which requests awaited a response of an upstream that sent none. Between its
/// requests an upstream has nothing to respond to, so that time is left out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    /// Start, later by the time left out.
    pub(crate) since: Duration,
    /// When the last request in flight ended.
    until: Option<Duration>,
}

impl Silence {
    fn new(now: Duration) -> Self {
        Self {
            since: now,
            until: None,
        }
    }

    /// Returns the silence with a request in flight again.
    fn resume(self, now: Duration) -> Self {
        Self::new(now.saturating_sub(self.length(now)))
    }

    /// Returns the time without a response so far.
    pub(crate) fn length(&self, now: Duration) -> Duration {
        self.until.unwrap_or(now).saturating_sub(self.since)
    }
}

/// Statistics about one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamStats {
    /// Requests of this entry in flight to the upstream.
    pub(crate) own_in_flight: u32,
    pub(crate) reported: Option<ReportedLoad>,
    /// Average latency in seconds, and when it was last measured.
    pub(crate) latency: Option<(f64, Duration)>,
    /// Start of the ramp, if the upstream joined or returned after its peers.
    pub(crate) ramp_start: Option<Duration>,
    /// Silence of the upstream since its last activity, while requests awaited a response.
    pub(crate) silence: Option<Silence>,
    pub(crate) last_sent: Duration,
    pub(crate) last_activity: Option<Duration>,
    pub(crate) unavailable_until: Duration,
    /// Pause because of the rate that the upstream states.
    pub(crate) pause: Pause,
    /// Until when the gate has no slot for requests of this preference or a lower one.
    pub(crate) full: (Duration, u32),
    pub(crate) ejected_until: Option<Duration>,
    pub(crate) ejections: u32,
    failures: f64,
    last_failure: Duration,
    consecutive_failures: u32,
}

impl UpstreamStats {
    /// Creates empty statistics. `ramp_start` is the time at which the upstream
    /// joined its peers, if it joined later than they did.
    pub(crate) fn new(ramp_start: Option<Duration>) -> Self {
        Self {
            ramp_start,
            ..Self::default()
        }
    }

    pub(crate) fn record_sent(&mut self, now: Duration) {
        self.own_in_flight += 1;
        self.last_sent = now;
        // Requests that arrive before the reply states the next pause must wait too.
        self.pause.until = now + self.pause.interval;
        let silence = self.silence.map(|silence| silence.resume(now));
        self.silence = silence.or(Some(Silence::new(now)));
    }

    /// Records that a request ended, whether with a response or cancelled.
    pub(crate) fn record_end(&mut self, now: Duration) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        if self.own_in_flight == 0
            && let Some(silence) = &mut self.silence
        {
            silence.until.get_or_insert(now);
        }
    }

    /// Records that the only request in flight ended, which was sent at `sent_at`, and that
    /// the missing response shows nothing about the upstream.
    pub(crate) fn forget_silence(&mut self, sent_at: Duration) {
        let is_since = |silence: &Silence| silence.since == sent_at;
        if self.own_in_flight == 0 && self.silence.as_ref().is_some_and(is_since) {
            self.silence = None;
        }
    }

    /// Records activity of the upstream, with the load that the gate sent. The
    /// entry still counts the request that the activity belongs to, but the
    /// gate no longer does.
    pub(crate) fn record_activity(&mut self, now: Duration, load: Option<Load>) {
        self.silence = None;
        self.last_activity = Some(now);
        if let Some(load) = load.filter(|l| *l != Load::default()) {
            let at_gate = load.in_flight + load.waiting;
            let own_in_flight = self.own_in_flight.saturating_sub(1).min(at_gate);
            self.reported = Some(ReportedLoad {
                at: now,
                load,
                own_in_flight,
            });
        }
    }

    /// Records a load that the gate sent on its own. Requests of this entry
    /// that the gate counts are still running.
    pub(crate) fn record_load(&mut self, now: Duration, load: Load) {
        let own_in_flight = self.own_in_flight.min(load.in_flight + load.waiting);
        self.reported = Some(ReportedLoad {
            at: now,
            load,
            own_in_flight,
        });
    }

    pub(crate) fn record_success(&mut self, now: Duration, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let old = self.latency.map_or(seconds, |(old, _)| old);
        self.latency = Some((old + SMOOTHING * (seconds - old), now));
        self.consecutive_failures = 0;
        self.ejections = 0;
    }

    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.failures = self.recent_failures(now) + 1.0;
        self.last_failure = now;
        self.consecutive_failures += 1;
    }

    /// Returns the decayed number of failures, which counts as load.
    pub(crate) fn recent_failures(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.last_failure);
        self.failures * decay(age, FAILURE_HALF_LIFE)
    }

    pub(crate) fn should_be_ejected(&self) -> bool {
        self.consecutive_failures >= EJECTION_FAILURES && self.ejected_until.is_none()
    }

    /// Ends an ejection. The upstream starts on the ramp like a new one.
    pub(crate) fn readmit(&mut self, now: Duration) {
        self.ejected_until = None;
        self.consecutive_failures = EJECTION_FAILURES - 1;
        self.ramp_start = Some(now);
    }
}

/// Returns the factor by which a value has decayed: 1 at age 0, 1/2 after one
/// half-life.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
