//! Callers: when they send, what, and when they come back.

use super::{Caller, OK, Open, Origin, TIMED_OUT, What, World};
use crate::experiment::Class;
use crate::faults;
use crate::router::{Arrival, CallId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::time::Duration;

/// Part of a class's deadline that the least patient callers wait.
const LEAST_PATIENCE: f64 = 0.85;

impl World<'_> {
    pub(super) fn next_request(&mut self, data_centre: usize) {
        let name = &self.experiment.data_centres[data_centre];
        let part = self.experiment.data_centres.len() as f64;
        let rate = self.rate / part * faults::rate(self.experiment, name, self.now);
        let Ok(gap) = Exp::new(rate) else {
            return;
        };
        let after = Duration::from_secs_f64(gap.sample(&mut self.callers[data_centre]));
        self.at(self.now + after, What::Request(data_centre));
    }

    pub(super) fn request(&mut self, data_centre: usize) {
        let classes = &self.experiment.class;
        let parts: f64 = classes.iter().map(|c| c.part).sum();
        let rng = &mut self.callers[data_centre];
        let seed = rng.random();
        let patience = rng.random_range(LEAST_PATIENCE..1.0);
        let mut drawn = rng.random::<f64>() * parts;
        let class = classes.iter().position(|c| {
            drawn -= c.part;
            drawn < 0.0
        });
        let Some(class) = class else {
            return;
        };
        let caller = Caller {
            class,
            data_centre,
            seed,
            first: self.now,
            patience: Duration::from_millis(classes[class].deadline_ms).mul_f64(patience),
        };
        self.send(caller, classes[class].returns);
    }

    /// A caller sends a request to a daemon of its data centre.
    pub(super) fn send(&mut self, caller: Caller, returns: u32) {
        let near = |number: &usize| self.upstreams[*number].data_centre == caller.data_centre;
        let near: Vec<usize> = (0..self.upstreams.len()).filter(near).collect();
        let class = &self.experiment.class[caller.class];
        if near.is_empty() {
            self.tally
                .ended(caller.class, class, TIMED_OUT, Duration::MAX);
            return;
        }
        let mut rng = SmallRng::seed_from_u64(caller.seed.wrapping_add(u64::from(returns)));
        let daemon = near[rng.random_range(0..near.len())];
        let objective = caller.first + Duration::from_millis(class.objective_ms);
        let deadline = caller.first + caller.patience;
        let worth = class.worth;
        self.call(
            (caller.class, daemon, worth, caller.seed),
            (objective, deadline),
            1,
            Origin::Caller(caller, returns),
        );
    }

    pub(super) fn call(
        &mut self,
        (class, daemon, worth, seed): (usize, usize, f64, u64),
        (objective, deadline): (Duration, Duration),
        depth: u32,
        origin: Origin,
    ) {
        self.next_call += 1;
        let arrival = Arrival {
            call: self.next_call,
            class,
            daemon,
            seed,
            work: work(&self.experiment.class[class], seed),
            objective,
            deadline,
            worth,
            depth,
        };
        let again = match origin {
            Origin::Caller(..) => false,
            Origin::Run(upstream, ticket) => {
                let run = self.upstreams[upstream].runs.get(&ticket);
                run.is_some_and(|run| run.again)
            }
        };
        let open = Open {
            arrival,
            origin,
            again,
        };
        self.open.insert(arrival.call, open);
        self.at(deadline, What::Deadline(arrival.call));
        self.route(|router, cx| router.arrived(arrival, cx));
    }

    pub(super) fn answer(&mut self, call: CallId, status: u16, retry_after: Option<Duration>) {
        let Some(open) = self.open.remove(&call) else {
            return;
        };
        match open.origin {
            Origin::Run(upstream, ticket) => self.called(upstream, ticket, status),
            Origin::Caller(caller, returns) => {
                let class = &self.experiment.class[caller.class];
                let wait = match class.impatient {
                    true => Some(Duration::ZERO),
                    false => retry_after,
                };
                let back = wait.map(|wait| self.now + wait);
                let back =
                    back.filter(|at| status != OK && returns > 0 && *at < open.arrival.deadline);
                if let Some(at) = back {
                    self.at(at, What::Return(caller, returns - 1));
                } else if caller.first >= self.experiment.times().1 {
                    let took = self.now - caller.first;
                    self.tally.ended(caller.class, class, status, took);
                }
            }
        }
    }
}

/// Draws the work of a request, in seconds.
fn work(class: &Class, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mean = class.work_ms / 1_000.0;
    // The mean of a log-normal variable is exp(mu + sigma^2 / 2).
    let mu = mean.ln() - class.spread.powi(2) / 2.0;
    LogNormal::new(mu, class.spread).map_or(mean, |drawn| drawn.sample(&mut rng))
}
