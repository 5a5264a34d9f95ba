//! How many requests an upstream works on best.
//!
//! Some upstreams slow down when they are nearly full: with a few requests
//! fewer they do more. Where that begins is found from measured times: the
//! step that best divides the times at lower from those at higher levels.

use std::collections::BTreeMap;
use wire::ClassId;

/// Times above, and below, a step without which it is not believed.
const FEWEST: f64 = 12.0;
/// Times above the first level that is tried, without any below, after which
/// that level is tried.
const BLIND: f64 = 40.0;
/// Times of a class at a level that count; older ones fade.
const MOST_COUNTED: f64 = 40.0;
/// Throughput below the step, relative to that of all slots, from which on
/// the limit is worth it.
const WORTH: f64 = 1.08;
/// Classes whose times are kept.
const MAX_CLASSES: usize = 64;
/// Times between two looks for the step.
const LOOK_EVERY: u32 = 4;

/// Number and sum of times, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    count: f64,
    sum: f64,
}

impl Times {
    fn of<'a>(times: impl Iterator<Item = &'a Self>) -> Self {
        times.fold(Self::default(), |all, t| Self {
            count: all.count + t.count,
            sum: all.sum + t.sum,
        })
    }

    fn mean(self) -> f64 {
        self.sum / self.count.max(f64::EPSILON)
    }

    /// Returns how much of the spread of times this group explains.
    fn explained(self) -> f64 {
        self.mean() * self.sum
    }
}

/// Times of one class, by the number of requests that ran at the beginning or
/// at the end, whichever is more.
type Levels = BTreeMap<u32, Times>;

/// A level as the last one below the step.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    level: u32,
    /// How much of the spread of times the step explains.
    explained: f64,
    /// How much longer work takes above it.
    slowdown: f64,
    /// Times on which that rests.
    support: f64,
}

/// What was measured, and the limit that follows.
#[derive(Debug, Default)]
pub(crate) struct Knee {
    classes: BTreeMap<ClassId, Levels>,
    recorded: u32,
    limit: Option<u32>,
}

impl Knee {
    /// Forgets everything: the upstream runs another service.
    pub(crate) fn forget(&mut self) {
        *self = Self::default();
    }

    /// Records a time in seconds of a request beside which `level` of `slots`
    /// ran, itself included.
    pub(crate) fn record(&mut self, class: &str, level: u32, slots: u32, took: f64) {
        if !self.classes.contains_key(class) && self.classes.len() >= MAX_CLASSES {
            return;
        }
        let levels = self.classes.entry(class.into()).or_default();
        let held = levels.entry(level).or_default();
        let kept = (MOST_COUNTED / (held.count + 1.0)).min(1.0);
        held.count = (held.count + 1.0) * kept;
        held.sum = (held.sum + took) * kept;
        self.recorded = self.recorded.wrapping_add(1);
        if self.recorded.is_multiple_of(LOOK_EVERY) {
            self.limit = self.find(slots);
        }
    }

    /// Returns how many requests do best at once, if fewer than the slots do.
    pub(crate) fn limit(&self) -> Option<u32> {
        self.limit
    }

    /// Finds the step, and returns the level below it if that gets more done.
    /// Where only high levels were measured, a lower one is tried.
    fn find(&self, slots: u32) -> Option<u32> {
        let first = slots * 3 / 4;
        let all = self.classes.values();
        let below = Times::of(all.clone().flat_map(|l| l.range(..=first)).map(|(_, t)| t));
        let above = Times::of(all.flat_map(|l| l.range(first + 1..)).map(|(_, t)| t));
        if above.count >= BLIND && below.count < FEWEST {
            return Some(first).filter(|first| *first > 0);
        }
        let steps = (slots / 2..slots).map(|level| self.step(level));
        let known = steps.filter(|step| step.support >= FEWEST);
        let step = known.max_by(|a, b| a.explained.total_cmp(&b.explained))?;
        let gain = f64::from(step.level) * step.slowdown / f64::from(slots);
        (gain > WORTH).then_some(step.level)
    }

    fn step(&self, level: u32) -> Step {
        let mut step = Step {
            level,
            ..Step::default()
        };
        for levels in self.classes.values() {
            let whole = Times::of(levels.values());
            let below = Times::of(levels.range(..=level).map(|(_, t)| t));
            let above = Times::of(levels.range(level + 1..).map(|(_, t)| t));
            let square = whole.mean().powi(2).max(f64::EPSILON);
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
