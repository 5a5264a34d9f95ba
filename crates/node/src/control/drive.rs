//! Drives the consensus replica: feeds inputs into it and handles its outputs.

use super::{Control, log_lines, replies};
use crate::effect::Effect;
use replica::{Input, Output};
use std::collections::VecDeque;
use std::time::Duration;
use wire::{Body, LinkKind};

impl Control {
    /// Starts the read round or proposal that is due, if there is one.
    pub(super) fn start_due_input(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        if let Some(input) = self.next_input(now) {
            self.drive(now, input, tx);
        }
    }

    /// Feeds an input into the replica, and all further inputs that result.
    pub(super) fn drive(&mut self, now: Duration, input: Input, tx: &mut Vec<Effect>) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            if self.halted {
                return;
            }
            let mut outputs = Vec::new();
            self.replica.step(now, input, &mut outputs);
            for output in outputs {
                self.handle_output(now, output, &mut inputs, tx);
            }
            self.update_leadership(now, tx);
            if inputs.is_empty() {
                inputs.extend(self.next_input(now));
            }
        }
        self.release_held(now, tx);
    }

    /// Returns the read round or proposal that is due, if there is one.
    fn next_input(&mut self, now: Duration) -> Option<Input> {
        self.leadership?;
        if self.reads.is_due(now) {
            let token = self.next_token();
            self.reads.start(now, token);
            return Some(Input::Read { token });
        }
        if !self.batch.is_due() {
            return None;
        }
        let time_ms = self.log_time_ms(now);
        let token = self.next_token();
        let command = self.batch.take_command(token, time_ms, self.limits);
        Some(Input::Propose { token, command })
    }

    fn handle_output(
        &mut self,
        now: Duration,
        output: Output,
        inputs: &mut VecDeque<Input>,
        tx: &mut Vec<Effect>,
    ) {
        match output {
            Output::Send { address, message } => tx.push(Effect::Send {
                address: address.into(),
                kind: LinkKind::Replica,
                body: Body::Replica(message),
            }),
            Output::Disk(op) => tx.push(Effect::Disk(op)),
            Output::Apply {
                index,
                command,
                token,
                ..
            } => self.apply(index, &command, token, tx),
            Output::Restore { index, state } => self.restore(index, &state, tx),
            Output::TakeSnapshot { index } => inputs.push_back(Input::SnapshotTaken {
                index,
                state: self.state_machine.snapshot(),
            }),
            Output::ReadReady { token } => self.read_ready(now, token, tx),
            Output::Rejected { token, unknown } => self.handle_rejected(token, unknown, tx),
            Output::RoleChanged(role) => {
                tx.push(log_lines::role_changed(role, self.replica.term()))
            }
            Output::Fault(reason) => tx.push(log_lines::error("control_fault", reason)),
        }
    }

    fn handle_rejected(&mut self, token: u64, unknown: bool, tx: &mut Vec<Effect>) {
        for read in self.reads.finish(token) {
            self.reply_not_leader(&read, tx);
        }
        let leader = self.leader_hint();
        for waiter in self.batch.take_waiters(token).into_iter().flatten() {
            replies::reply(waiter, unknown, leader.clone(), None, tx);
        }
    }
}
