//! What goes wrong at the upstreams and with the load.

use crate::experiment::{Experiment, Fault, FaultKind};
use crate::upstream::Upstream;
use std::time::Duration;

impl Fault {
    /// Returns when it begins and ends.
    pub(crate) fn times(&self, warm_up: Duration) -> (Duration, Duration) {
        let begins = warm_up + Duration::from_secs_f64(self.at_s);
        (begins, begins + Duration::from_secs_f64(self.for_s))
    }

    /// Returns whether it strikes a data centre.
    pub(crate) fn strikes(&self, data_centre: &str) -> bool {
        let named = self.data_centre.as_ref();
        named.is_none_or(|named| named == data_centre)
    }

    /// Returns the numbers of the upstreams that it strikes.
    pub(crate) fn upstreams(&self, experiment: &Experiment, all: &[Upstream]) -> Vec<usize> {
        let struck = all.iter().enumerate().filter(|(_, u)| {
            let named = self.service.as_ref();
            named.is_none_or(|named| *named == u.service.name)
                && self.strikes(&experiment.data_centres[u.data_centre])
        });
        let struck: Vec<usize> = struck.map(|(number, _)| number).collect();
        match self.upstream {
            Some(one) => struck.get(one).copied().into_iter().collect(),
            None => struck,
        }
    }
}

/// Returns the multiple of the usual rate at which requests come in at a data
/// centre.
pub(crate) fn rate(experiment: &Experiment, data_centre: &str, now: Duration) -> f64 {
    let (_, warm_up) = experiment.times();
    let bursts = experiment.fault.iter().filter(|f| {
        let (begins, ends) = f.times(warm_up);
        f.kind == FaultKind::Burst && f.strikes(data_centre) && (begins..ends).contains(&now)
    });
    bursts.map(|f| f.factor).product()
}

/// Returns the data centres that are taken out.
pub(crate) fn out(experiment: &Experiment, now: Duration) -> Vec<String> {
    let (_, warm_up) = experiment.times();
    let is_out = |name: &&String| {
        experiment.fault.iter().any(|f| {
            let (begins, ends) = f.times(warm_up);
            f.kind == FaultKind::Out && f.strikes(name) && (begins..ends).contains(&now)
        })
    };
    experiment
        .data_centres
        .iter()
        .filter(is_out)
        .cloned()
        .collect()
}
