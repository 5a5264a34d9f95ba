//! Callers: arrival times, request classes and retries.

use super::{CallerRequest, DaemonWork, OK, Origin, PendingCall, SimEvent, Simulation, TIMED_OUT};
use crate::experiment::{Class, Customer};
use crate::faults;
use crate::router::{Arrival, CallId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::time::Duration;

/// Shortest time that callers wait, as a fraction of the class's deadline.
const MIN_WAIT_RATIO: f64 = 0.85;
/// Offset that derives the seed for the draw of a request's customer.
const CUSTOMER_STREAM: u64 = 0x6375_7374;

impl Simulation<'_> {
    pub(super) fn schedule_next_request(&mut self, data_centre: usize) {
        let name = &self.experiment.data_centres[data_centre];
        let data_centre_count = self.experiment.data_centres.len() as f64;
        let rate = self.request_rate / data_centre_count
            * faults::rate_factor(self.experiment, name, self.now);
        let Ok(gap) = Exp::new(rate) else {
            return;
        };
        let after = Duration::from_secs_f64(gap.sample(&mut self.caller_rngs[data_centre]));
        self.schedule(self.now + after, SimEvent::NextRequest(data_centre));
    }

    pub(super) fn draw_request(&mut self, data_centre: usize) {
        let classes = &self.experiment.class;
        let total: f64 = classes.iter().map(|c| c.part).sum();
        let rng = &mut self.caller_rngs[data_centre];
        let seed = rng.random();
        let wait_ratio = rng.random_range(MIN_WAIT_RATIO..1.0);
        let mut drawn = rng.random::<f64>() * total;
        let class = classes.iter().position(|c| {
            drawn -= c.part;
            drawn < 0.0
        });
        let Some(class) = class else {
            return;
        };
        let customer = draw_customer(&self.experiment.customer, seed);
        let caller = CallerRequest {
            class,
            customer,
            data_centre,
            seed,
            first_sent_at: self.now,
            wait_limit: Duration::from_millis(classes[class].deadline_ms).mul_f64(wait_ratio),
        };
        self.send_request(caller, classes[class].returns);
    }

    /// Sends a caller's request to a random daemon of its data centre.
    pub(super) fn send_request(&mut self, caller: CallerRequest, retries: u32) {
        let near = |index: &usize| self.upstreams[*index].data_centre == caller.data_centre;
        let near: Vec<usize> = (0..self.upstreams.len()).filter(near).collect();
        let class = &self.experiment.class[caller.class];
        if near.is_empty() {
            let ended = (TIMED_OUT, Duration::MAX);
            self.tally
                .record((caller.class, class), caller.customer, ended);
            return;
        }
        let mut rng = SmallRng::seed_from_u64(caller.seed.wrapping_add(u64::from(retries)));
        let daemon = near[rng.random_range(0..near.len())];
        let objective = caller.first_sent_at + Duration::from_millis(class.objective_ms);
        let deadline = caller.first_sent_at + caller.wait_limit;
        let worth = class.worth;
        self.start_call(
            (caller.class, daemon, worth, caller.seed),
            (objective, deadline),
            1,
            Origin::Caller(caller, retries),
        );
    }

    pub(super) fn start_call(
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
            work: draw_work(&self.experiment.class[class], seed),
            objective,
            deadline,
            worth,
            customer: match origin {
                Origin::Caller(caller, _) => caller.customer,
                Origin::Run(..) => None,
            },
            depth,
        };
        let repeated = match origin {
            Origin::Caller(..) => false,
            Origin::Run(upstream, ticket) => {
                let run = self.upstreams[upstream].runs.get(&ticket);
                run.is_some_and(|run| run.repeated)
            }
        };
        let pending = PendingCall {
            arrival,
            origin,
            repeated,
            sent_at: self.now,
            admitted: false,
        };
        self.pending.insert(arrival.call, pending);
        self.schedule(deadline, SimEvent::Deadline(arrival.call));
        self.give_to_daemon(daemon, DaemonWork::Arrived(arrival));
    }

    pub(super) fn respond(&mut self, call: CallId, status: u16, retry_after: Option<Duration>) {
        let Some(pending) = self.pending.remove(&call) else {
            return;
        };
        self.tally
            .record_attempt(&pending.attempt(), status, self.now);
        match pending.origin {
            Origin::Run(upstream, ticket) => self.call_responded(upstream, ticket, status),
            Origin::Caller(caller, retries) => {
                let class = &self.experiment.class[caller.class];
                let customer = caller.customer.map(|n| &self.experiment.customer[n]);
                let wait = match class.impatient || customer.is_some_and(|c| c.impatient) {
                    true => Some(Duration::ZERO),
                    false => retry_after,
                };
                let retry_at = wait.map(|wait| self.now + wait);
                let retry_at = retry_at
                    .filter(|at| status != OK && retries > 0 && *at < pending.arrival.deadline);
                if let Some(at) = retry_at {
                    self.schedule(at, SimEvent::Retry(caller, retries - 1));
                } else if caller.first_sent_at >= self.experiment.durations().1 {
                    let latency = self.now - caller.first_sent_at;
                    let ended = (status, latency);
                    self.tally
                        .record((caller.class, class), caller.customer, ended);
                }
            }
        }
    }
}

/// Draws the customer of a request, if customers are told apart.
fn draw_customer(customers: &[Customer], seed: u64) -> Option<usize> {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(CUSTOMER_STREAM));
    let total: f64 = customers.iter().map(|c| c.part).sum();
    let mut drawn = rng.random::<f64>() * total;
    customers.iter().position(|c| {
        drawn -= c.part;
        drawn < 0.0
    })
}

/// Draws the work of a request, in seconds, from a log-normal distribution.
fn draw_work(class: &Class, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mean = class.work_ms / 1_000.0;
    // The mean of a log-normal variable is exp(mu + sigma^2 / 2).
    let mu = mean.ln() - class.spread.powi(2) / 2.0;
    LogNormal::new(mu, class.spread).map_or(mean, |drawn| drawn.sample(&mut rng))
}
