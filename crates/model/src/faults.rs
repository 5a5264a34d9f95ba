//! Queries over the faults of an experiment: when and where they apply.

use crate::experiment::{Experiment, Fault, FaultKind};
use crate::upstream::Upstream;
use std::time::Duration;

impl Fault {
    /// Returns the start and the end of the fault.
    pub(crate) fn period(&self, warm_up: Duration) -> (Duration, Duration) {
        let begins = warm_up + Duration::from_secs_f64(self.at_s);
        (begins, begins + Duration::from_secs_f64(self.for_s))
    }

    /// Returns whether the fault affects a data centre.
    pub(crate) fn affects(&self, data_centre: &str) -> bool {
        let named = self.data_centre.as_ref();
        named.is_none_or(|named| named == data_centre)
    }

    /// Returns the indices of the upstreams that the fault affects.
    pub(crate) fn affected_upstreams(
        &self,
        experiment: &Experiment,
        all: &[Upstream],
    ) -> Vec<usize> {
        let affected = all.iter().enumerate().filter(|(_, u)| {
            let named = self.service.as_ref();
            named.is_none_or(|named| *named == u.service.name)
                && self.affects(&experiment.data_centres[u.data_centre])
        });
        let affected: Vec<usize> = affected.map(|(index, _)| index).collect();
        match self.upstream {
            Some(index) => affected.get(index).copied().into_iter().collect(),
            None => affected,
        }
    }
}

/// Returns the factor of all active bursts on the request rate of a data
/// centre.
pub(crate) fn rate_factor(experiment: &Experiment, data_centre: &str, now: Duration) -> f64 {
    let (_, warm_up) = experiment.durations();
    let bursts = experiment.fault.iter().filter(|f| {
        let (begins, ends) = f.period(warm_up);
        f.kind == FaultKind::Burst && f.affects(data_centre) && (begins..ends).contains(&now)
    });
    bursts.map(|f| f.factor).product()
}

/// Returns the data centres that are out of service at a time.
pub(crate) fn out_data_centres(experiment: &Experiment, now: Duration) -> Vec<String> {
    let (_, warm_up) = experiment.durations();
    let is_out = |name: &&String| {
        experiment.fault.iter().any(|f| {
            let (begins, ends) = f.period(warm_up);
            f.kind == FaultKind::Out && f.affects(name) && (begins..ends).contains(&now)
        })
    };
    experiment
        .data_centres
        .iter()
        .filter(is_out)
        .cloned()
        .collect()
}
