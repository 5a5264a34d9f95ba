//! The start and end of this replica's leadership.

use super::command::Item;
use super::rollouts::Rollouts;
use super::suspects::Suspects;
use super::unconfirmed_crashes::UnconfirmedCrashes;
use super::{Control, replies};
use crate::effect::Effect;
use fleet::Registry;
use replica::Role;
use std::time::Duration;
use wire::Term;

/// The term in which this replica leads, when it began, and the log time then.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leadership {
    pub(super) term: Term,
    pub(super) since: Duration,
    pub(super) log_time_ms: u64,
    /// Number of operators' orders taken in this term.
    pub(super) orders: u64,
}

impl Control {
    /// Starts or ends leadership according to the role of the replica. A leader
    /// without configuration proposes the first version.
    pub(super) fn update_leadership(&mut self, now: Duration, tx: &mut Vec<Effect>) {
        let term = self.replica.term();
        let is_leader = self.replica.role() == Role::Leader && !self.halted;
        if self
            .leadership
            .is_some_and(|l| !is_leader || l.term != term)
        {
            self.step_down(tx);
        }
        if is_leader && self.leadership.is_none() {
            self.begin_leadership(now, term);
        }
        if is_leader && self.state_machine.config.current().version == 0 && self.batch.is_idle() {
            let salt = self.replica.cluster();
            self.batch.push_detached(Item::initialise(salt));
        }
    }

    fn begin_leadership(&mut self, now: Duration, term: Term) {
        self.leadership = Some(Leadership {
            term,
            since: now,
            log_time_ms: self.state_machine.claims.time_ms(),
            orders: 0,
        });
        self.registry = Registry::new(term, self.lease, now)
            .with_home_options(self.home_options)
            .with_departures(self.state_machine.departures.clone());
        self.suspects = Suspects::default();
        self.unconfirmed_crashes = UnconfirmedCrashes::default();
        self.rollouts = Rollouts::default();
    }

    /// Ends leadership and replies to all waiting requests: for queued items
    /// that this replica does not lead, for proposed ones that the outcome is
    /// unknown.
    pub(super) fn step_down(&mut self, tx: &mut Vec<Effect>) {
        self.leadership = None;
        for read in self.reads.drain() {
            self.reply_not_leader(&read, tx);
        }
        let leader = self.leader_hint();
        let (queued, proposed) = self.batch.drain();
        for waiter in queued {
            replies::reply(waiter, false, leader.clone(), None, tx);
        }
        for waiter in proposed {
            replies::reply(waiter, true, leader.clone(), None, tx);
        }
    }
}
