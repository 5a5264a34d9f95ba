//! Service times of the classes of requests, as an entry has measured them.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::ClassId;

/// Weight of a new measurement in the moving average.
const SMOOTHING: f64 = 0.1;
/// Weight of the first measurement after [`RENEW_AFTER`].
const RENEWED_SMOOTHING: f64 = 0.5;
/// Time without a measurement after which a request renews an average on which it would be
/// refused.
const RENEW_AFTER: Duration = Duration::from_secs(5);
/// Maximum number of classes.
const MAX_CLASSES: usize = 1_024;

/// What an expected service time rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Measurements at the present upstreams; without any it is a guess, or was measured at
    /// upstreams that have all been replaced.
    pub measurements: u32,
    /// Time since the last one.
    pub age: Duration,
}

/// The average of a class.
#[derive(Clone, Copy, Debug)]
struct ServiceTime {
    /// Average at normal speed, in seconds.
    average: f64,
    measurements: u32,
    measured_at: Duration,
    /// When a request was last sent to renew it.
    renewed_at: Duration,
}

/// Averages by class.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    by_class: BTreeMap<ClassId, ServiceTime>,
}

impl ServiceTimes {
    /// Returns the average of a class, in seconds.
    pub(crate) fn average(&self, class: &str) -> Option<f64> {
        self.by_class.get(class).map(|known| known.average)
    }

    /// Returns what the average of a class rests on.
    pub(crate) fn basis(&self, now: Duration, class: &str) -> Basis {
        let known = self.by_class.get(class);
        known.map_or_else(Basis::default, |known| Basis {
            measurements: known.measurements,
            age: now.saturating_sub(known.measured_at),
        })
    }

    /// Records a service time at normal speed, in seconds.
    pub(crate) fn record(&mut self, now: Duration, class: &str, seconds: f64) {
        let Some(known) = self.by_class.get_mut(class) else {
            return self.insert(now, class, seconds);
        };
        let weight = match known.measurements {
            0 => 1.0,
            _ if now.saturating_sub(known.measured_at) >= RENEW_AFTER => RENEWED_SMOOTHING,
            _ => SMOOTHING,
        };
        known.average += weight * (seconds - known.average);
        known.measurements = known.measurements.saturating_add(1);
        known.measured_at = now;
    }

    /// Returns whether a request may be sent to renew the average of its class, on which it
    /// would be refused; the next one may after [`RENEW_AFTER`].
    pub(crate) fn renew(&mut self, now: Duration, class: &str) -> bool {
        let Some(known) = self.by_class.get_mut(class) else {
            return true;
        };
        let latest = known.measured_at.max(known.renewed_at);
        let is_due = known.measurements == 0 || now.saturating_sub(latest) >= RENEW_AFTER;
        if is_due {
            known.renewed_at = now;
        }
        is_due
    }

    /// Forgets what the averages rest on, because the upstreams have been replaced.
    pub(crate) fn invalidate(&mut self) {
        let known = self.by_class.values_mut();
        known.for_each(|known| known.measurements = 0);
    }

    fn insert(&mut self, now: Duration, class: &str, average: f64) {
        if self.by_class.len() >= MAX_CLASSES {
            return;
        }
        let measured = ServiceTime {
            average,
            measurements: 1,
            measured_at: now,
            renewed_at: Duration::ZERO,
        };
        self.by_class.insert(class.into(), measured);
    }
}
