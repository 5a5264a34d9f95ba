//! Finds the concurrency at which an upstream has its highest throughput.
//!
//! Some upstreams slow down when nearly all their slots are in use, so that a
//! slightly lower concurrency gives a higher throughput. The knee is found from
//! measured service times: it is the concurrency that best separates the times
//! below it from those above it.

use std::collections::BTreeMap;
use wire::ClassId;

/// Minimum number of samples on each side of a step.
const MIN_SAMPLES: f64 = 12.0;
/// Number of samples above the trial concurrency, three quarters of the slots,
/// from which that concurrency is tried if there are too few samples at or
/// below it.
const EXPLORE_SAMPLES: f64 = 40.0;
/// Maximum number of samples of a class per concurrency; older ones lose
/// weight.
const MAX_SAMPLES: f64 = 40.0;
/// Minimum throughput at the step, relative to the throughput with all slots,
/// for which the limit is lowered.
const MIN_GAIN: f64 = 1.08;
/// Maximum number of classes for which samples are kept.
const MAX_CLASSES: usize = 64;
/// Number of samples between two searches.
const SEARCH_INTERVAL: u32 = 4;

/// Number and sum of service times, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    count: f64,
    sum: f64,
}

impl Samples {
    fn total<'a>(samples: impl Iterator<Item = &'a Self>) -> Self {
        samples.fold(Self::default(), |total, s| Self {
            count: total.count + s.count,
            sum: total.sum + s.sum,
        })
    }

    fn mean(self) -> f64 {
        self.sum / self.count.max(f64::EPSILON)
    }

    /// Returns the contribution of this group to the explained sum of squares.
    fn explained(self) -> f64 {
        self.mean() * self.sum
    }
}

/// Samples of one class by concurrency, which is the larger of the numbers of
/// requests at the beginning and at the end of a request.
type ByConcurrency = BTreeMap<u32, Samples>;

/// A possible step in service time, directly above one concurrency.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    concurrency: u32,
    /// Sum of squares that the step explains.
    explained: f64,
    /// Service time above the step relative to that below.
    slowdown: f64,
    /// Number of samples on the smaller side of the step.
    support: f64,
}

/// Collects samples and derives the concurrency limit.
#[derive(Debug, Default)]
pub(crate) struct KneeFinder {
    classes: BTreeMap<ClassId, ByConcurrency>,
    recorded: u32,
    limit: Option<u32>,
}

impl KneeFinder {
    /// Discards all samples, because the upstream runs another service.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records the service time of a request. `concurrency` is the number of
    /// requests that ran at the same time, including this one.
    pub(crate) fn record(&mut self, class: &str, concurrency: u32, slots: u32, seconds: f64) {
        if !self.classes.contains_key(class) && self.classes.len() >= MAX_CLASSES {
            return;
        }
        let samples = self.classes.entry(class.into()).or_default();
        let entry = samples.entry(concurrency).or_default();
        let scale = (MAX_SAMPLES / (entry.count + 1.0)).min(1.0);
        entry.count = (entry.count + 1.0) * scale;
        entry.sum = (entry.sum + seconds) * scale;
        self.recorded = self.recorded.wrapping_add(1);
        if self.recorded.is_multiple_of(SEARCH_INTERVAL) {
            self.limit = self.find(slots);
        }
    }

    /// Returns the best concurrency, if it is lower than the number of slots.
    pub(crate) fn limit(&self) -> Option<u32> {
        self.limit
    }

    /// Finds the best step and returns the concurrency below it, if that has a
    /// higher throughput. If there are too few samples at or below three
    /// quarters of the slots, that concurrency is tried.
    fn find(&self, slots: u32) -> Option<u32> {
        let trial = slots * 3 / 4;
        let all = self.classes.values();
        let below = Samples::total(all.clone().flat_map(|s| s.range(..=trial)).map(|(_, s)| s));
        let above = Samples::total(all.flat_map(|s| s.range(trial + 1..)).map(|(_, s)| s));
        if above.count >= EXPLORE_SAMPLES && below.count < MIN_SAMPLES {
            return Some(trial).filter(|trial| *trial > 0);
        }
        let steps = (slots / 2..slots).map(|concurrency| self.step(concurrency));
        let supported = steps.filter(|step| step.support >= MIN_SAMPLES);
        let step = supported.max_by(|a, b| a.explained.total_cmp(&b.explained))?;
        let gain = f64::from(step.concurrency) * step.slowdown / f64::from(slots);
        (gain > MIN_GAIN).then_some(step.concurrency)
    }

    fn step(&self, concurrency: u32) -> Step {
        let mut step = Step {
            concurrency,
            ..Step::default()
        };
        for samples in self.classes.values() {
            let all = Samples::total(samples.values());
            let below = Samples::total(samples.range(..=concurrency).map(|(_, s)| s));
            let above = Samples::total(samples.range(concurrency + 1..).map(|(_, s)| s));
            let square = all.mean().powi(2).max(f64::EPSILON);
            step.explained += (below.explained() + above.explained()) / square;
            let support = below.count.min(above.count);
            if support > 0.0 {
                step.support += support;
                step.slowdown += support * above.mean() / below.mean().max(f64::EPSILON);
            }
        }
        step.slowdown /= step.support.max(f64::EPSILON);
        step
    }
}
