//! How long the upstream usually takes, by class.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::ClassId;

/// Part of a new time in the smoothed time.
const SMOOTHING: f64 = 0.125;
/// Multiple of the usual time up to which a time is normal.
const NORMAL_FACTOR: f64 = 3.0;
/// Difference to the usual time up to which a time is normal, in microseconds.
const NORMAL_SLACK_US: f64 = 2_000.0;
/// Classes whose times are kept.
const MAX_CLASSES: usize = 64;

/// Smoothed service times.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    all: Option<f64>,
    by_class: BTreeMap<ClassId, f64>,
}

impl Pace {
    /// Records a time; returns whether it was normal for the class.
    pub(crate) fn record(&mut self, class: &str, took: Duration) -> bool {
        let us = took.as_secs_f64() * 1e6;
        self.all = Some(smooth(self.all, us));
        let known = self.by_class.get(class).copied();
        if known.is_some() || self.by_class.len() < MAX_CLASSES {
            self.by_class.insert(class.into(), smooth(known, us));
        }
        let Some(usual) = known else {
            return true;
        };
        us <= (usual * NORMAL_FACTOR).max(usual + NORMAL_SLACK_US)
    }

    /// Returns the smoothed service time of a class, in microseconds; 0 when
    /// unknown.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times fit, and casts of floats saturate"
    )]
    pub(crate) fn of_class(&self, class: &str) -> u32 {
        self.by_class.get(class).map_or(0, |us| *us as u32)
    }

    /// Returns the smoothed service time, in microseconds; 0 when unknown.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times fit, and casts of floats saturate"
    )]
    pub(crate) fn service_us(&self) -> u32 {
        self.all.map_or(0, |us| us as u32)
    }
}

fn smooth(old: Option<f64>, new: f64) -> f64 {
    old.map_or(new, |old| old + SMOOTHING * (new - old))
}
