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
            FaultKind::Limit => {
                for upstream in affected {
                    let rate = begins.then(|| thousandths(fault.factor));
                    self.upstreams[upstream].statement.rate_milli = rate;
                    self.stated_since[upstream] = begins.then_some(self.now);
                }
            }
            FaultKind::Leave => {
                for upstream in affected {
                    self.upstreams[upstream].statement.leaving = begins;
                    self.stated_since[upstream] = begins.then_some(self.now);
                }
            }
            FaultKind::DaemonRestart => {
                for upstream in affected.into_iter().filter(|_| begins) {
                    self.with_router(|router, cx| router.restart_daemon(upstream, cx));
                }
            }
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

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts of floats saturate"
)]
fn thousandths(value: f64) -> u64 {
    (value * 1_000.0).round() as u64
}
