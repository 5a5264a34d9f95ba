//! Faults that begin and end.

use super::World;
use crate::experiment::FaultKind;
use crate::faults;
use gate::{Outcome, Ticket};
use std::time::Duration;

impl World<'_> {
    pub(super) fn fault(&mut self, number: usize, begins: bool) {
        let fault = &self.experiment.fault[number];
        let struck = fault.upstreams(self.experiment, &self.upstreams);
        match fault.kind {
            FaultKind::Burst => {}
            FaultKind::Out => {
                let out = faults::out(self.experiment, self.now);
                self.router.out(&out);
            }
            FaultKind::Slow => {
                for upstream in struck {
                    self.upstreams[upstream].pass(self.now);
                    self.upstreams[upstream].fault = if begins { fault.factor } else { 1.0 };
                    self.foresee(upstream);
                }
            }
            FaultKind::Crash if begins => {
                for upstream in struck {
                    self.upstreams[upstream].up = false;
                    let runs: Vec<Ticket> = self.upstreams[upstream].runs.keys().copied().collect();
                    for ticket in runs {
                        self.let_go(upstream, ticket, Outcome::Broken);
                    }
                }
            }
            FaultKind::Crash => {
                for upstream in struck {
                    let back = &mut self.upstreams[upstream];
                    back.up = true;
                    back.start += 1;
                    let cold = Duration::from_secs_f64(back.service.cold.for_s);
                    back.cold_until = self.now + cold;
                    self.route(|router, cx| router.started(upstream, cx));
                }
            }
        }
    }
}
