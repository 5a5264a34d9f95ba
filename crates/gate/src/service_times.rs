//! Typical service times of the upstream, by class.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::ClassId;

/// Weight of a new sample in the moving average.
const SMOOTHING: f64 = 0.125;
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
    by_class: BTreeMap<ClassId, f64>,
}

impl ServiceTimes {
    /// Records a service time; returns whether it is normal for the class.
    pub(crate) fn record(&mut self, class: &str, service_time: Duration) -> bool {
        let us = service_time.as_secs_f64() * 1e6;
        self.overall = Some(smooth(self.overall, us));
        let previous = self.by_class.get(class).copied();
        if previous.is_some() || self.by_class.len() < MAX_CLASSES {
            self.by_class.insert(class.into(), smooth(previous, us));
        }
        let Some(typical) = previous else {
            return true;
        };
        us <= (typical * NORMAL_FACTOR).max(typical + NORMAL_SLACK_US)
    }

    /// Returns the average service time of a class in microseconds; 0 if
    /// unknown.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times fit, and casts of floats saturate"
    )]
    pub(crate) fn of_class(&self, class: &str) -> u32 {
        self.by_class.get(class).map_or(0, |us| *us as u32)
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

fn smooth(old: Option<f64>, new: f64) -> f64 {
    old.map_or(new, |old| old + SMOOTHING * (new - old))
}
