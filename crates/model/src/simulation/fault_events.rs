//! Effects of a fault at its start and at its end.

use super::Simulation;
use crate::experiment::FaultKind;
use crate::faults;
use gate::{Outcome, Ticket};
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn apply_fault(&mut self, index: usize, begins: bool) {
        let fault = &self.experiment.fault[index];
        let affected = fault.affected_upstreams(self.experiment, &self.upstreams);
        match fault.kind {
            FaultKind::Burst => {}
            FaultKind::Out => {
                let out = faults::out_data_centres(self.experiment, self.now);
                self.router.set_out_data_centres(&out);
            }
            FaultKind::Slow => {
                for upstream in affected {
                    self.upstreams[upstream].advance(self.now);
                    self.upstreams[upstream].fault_slowdown =
                        if begins { fault.factor } else { 1.0 };
                    self.schedule_completion(upstream);
                }
            }
            FaultKind::Crash if begins => {
                for upstream in affected {
                    self.upstreams[upstream].up = false;
                    let runs: Vec<Ticket> = self.upstreams[upstream].runs.keys().copied().collect();
                    for ticket in runs {
                        self.end_run(upstream, ticket, Outcome::Broken);
                    }
                }
            }
            FaultKind::Crash => {
                for upstream in affected {
                    let restarted = &mut self.upstreams[upstream];
                    restarted.up = true;
                    restarted.start_count += 1;
                    let cold = Duration::from_secs_f64(restarted.service.cold.for_s);
                    restarted.cold_until = self.now + cold;
                    self.with_router(|router, cx| router.upstream_started(upstream, cx));
                }
            }
        }
    }
}
