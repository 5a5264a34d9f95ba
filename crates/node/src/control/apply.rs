//! Applies committed commands and snapshots to the state machine.

use super::state_machine::{StateMachine, StateMachineError};
use super::{Control, log_lines, replies};
use crate::effect::Effect;
use bytes::Bytes;
use log::Level;
use wire::LogIndex;

impl Control {
    pub(super) fn apply(
        &mut self,
        index: LogIndex,
        command: &Bytes,
        token: Option<u64>,
        tx: &mut Vec<Effect>,
    ) {
        if self.halted {
            return;
        }
        let applied = match self.state_machine.apply(index, command) {
            Ok(applied) => applied,
            Err(error) => {
                self.halt(&error, tx);
                return;
            }
        };
        for departure in &applied.departures {
            self.registry.record_departure(departure);
        }
        let waiters = token
            .map(|t| self.batch.take_waiters(t))
            .unwrap_or_default();
        for (waiter, kind) in waiters.into_iter().zip(applied.replies) {
            if let Some(waiter) = waiter {
                replies::reply(waiter, true, String::new(), kind, tx);
            }
        }
    }

    pub(super) fn restore(&mut self, index: LogIndex, state: &Bytes, tx: &mut Vec<Effect>) {
        match StateMachine::restore(state) {
            Ok(state_machine) => self.state_machine = state_machine,
            Err(error) => return self.halt(&error, tx),
        }
        tx.push(log_lines::with_value(
            Level::Info,
            "control_snapshot_restored",
            "index",
            index,
        ));
    }

    /// Stops this replica, because its state machine cannot apply the log.
    fn halt(&mut self, error: &StateMachineError, tx: &mut Vec<Effect>) {
        self.halted = true;
        self.step_down(tx);
        tx.push(log_lines::error("control_halted", error.to_string()));
    }
}
