//! Typical service times of the upstream, by class.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::ClassId;

/// Weight of a new sample in the moving average.
const SMOOTHING: f64 = 0.125;
/// Weight of the first sample after [`RENEW_AFTER`].
const RENEWED_SMOOTHING: f64 = 0.5;
/// Time after which the service time of a class does not count until it is renewed.
const RENEW_AFTER: Duration = Duration::from_secs(5);
/// Multiple of the typical service time up to which a service time is normal.
const NORMAL_FACTOR: f64 = 3.0;
/// Deviation from the typical service time up to which a service time is
/// normal, in microseconds.
const NORMAL_SLACK_US: f64 = 2_000.0;
/// Maximum number of classes for which service times are kept.
const MAX_CLASSES: usize = 64;

/// Moving averages of the service times.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    overall: Option<f64>,
    by_class: BTreeMap<ClassId, ClassTime>,
}

/// The service time of a class.
#[derive(Clone, Copy, Debug)]
struct ClassTime {
    us: f64,
    /// When it was last measured, or a request started that renews it.
    renewed_at: Duration,
    /// Whether the next measurement renews one that was outdated.
    renews: bool,
}

impl ClassTime {
    fn is_outdated(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewed_at) >= RENEW_AFTER
    }
}

impl ServiceTimes {
    /// Records a service time; returns whether it is normal for the class.
    pub(crate) fn record(&mut self, now: Duration, class: &str, service_time: Duration) -> bool {
        let us = service_time.as_secs_f64() * 1e6;
        self.overall = Some(smooth(self.overall, us, SMOOTHING));
        let previous = self.by_class.get(class).copied();
        if previous.is_some() || self.by_class.len() < MAX_CLASSES {
            self.insert(now, class, previous, us);
        }
        let Some(ClassTime { us: typical, .. }) = previous else {
            return true;
        };
        us <= (typical * NORMAL_FACTOR).max(typical + NORMAL_SLACK_US)
    }

    fn insert(&mut self, now: Duration, class: &str, previous: Option<ClassTime>, us: f64) {
        let renews = previous.is_some_and(|p| p.renews);
        let weight = match renews {
            true => RENEWED_SMOOTHING,
            false => SMOOTHING,
        };
        let known = ClassTime {
            us: smooth(previous.map(|p| p.us), us, weight),
            renewed_at: now,
            renews: false,
        };
        self.by_class.insert(class.into(), known);
    }

    /// Records that a request of a class starts, which renews an outdated service time: until
    /// it ends the old one counts again, so that not all requests of the class go ahead.
    pub(crate) fn record_start(&mut self, now: Duration, class: &str) {
        let known = self.by_class.get_mut(class);
        if let Some(known) = known.filter(|known| known.is_outdated(now)) {
            known.renewed_at = now;
            known.renews = true;
        }
    }

    /// Returns the average service time of a class in microseconds; 0 if
    /// unknown or outdated.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times fit, and casts of floats saturate"
    )]
    pub(crate) fn of_class(&self, now: Duration, class: &str) -> u32 {
        let known = self.by_class.get(class);
        known
            .filter(|known| !known.is_outdated(now))
            .map_or(0, |known| known.us as u32)
    }

    /// Returns the average service time of all classes in microseconds; 0 if
    /// unknown.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times fit, and casts of floats saturate"
    )]
    pub(crate) fn service_us(&self) -> u32 {
        self.overall.map_or(0, |us| us as u32)
    }
}

fn smooth(old: Option<f64>, new: f64, weight: f64) -> f64 {
    old.map_or(new, |old| old + weight * (new - old))
}
