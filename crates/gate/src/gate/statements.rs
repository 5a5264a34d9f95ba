//! What the upstream states in its responses: a rate, and that it is leaving.

use super::Gate;
use crate::slots::Ticket;
use crate::stated_limit::{Source, StatedLimit};
use crate::statement::Statement;
use std::time::Duration;

impl Gate {
    /// Applies what the response to a request states. A response of an earlier start of
    /// the upstream is ignored. Returns whether what is in force has changed.
    pub fn record_statement(
        &mut self,
        now: Duration,
        ticket: Ticket,
        statement: Statement,
    ) -> bool {
        self.advance_clock(now);
        let sent_at = self.slots.get(ticket).filter(|r| r.start == self.start);
        let sent_at = sent_at.map(|running| running.since);
        sent_at.is_some_and(|at| self.apply_statement(Source::Response, at, statement))
    }

    /// Applies what the response to the latest health request states. Returns whether
    /// what is in force has changed.
    pub fn record_health_statement(&mut self, now: Duration, statement: Statement) -> bool {
        self.advance_clock(now);
        let sent_at = self.stated_limit.probed_at();
        sent_at.is_some_and(|at| self.apply_statement(Source::Health, at, statement))
    }

    /// Takes over what a response of this start stated to a predecessor of this gate, as
    /// an entry reports. Returns whether what is in force has changed.
    pub fn adopt_statement(&mut self, now: Duration, statement: Statement) -> bool {
        self.advance_clock(now);
        let before = (self.stated_limit.rate_milli(), self.stated_leaving);
        if let Some(rate) = statement.rate_milli {
            self.stated_limit.adopt(now, rate);
        }
        self.set_leaving(statement.leaving);
        before != (self.stated_limit.rate_milli(), self.stated_leaving)
    }

    fn apply_statement(&mut self, source: Source, sent_at: Duration, stated: Statement) -> bool {
        let before = (self.stated_limit.rate_milli(), self.stated_leaving);
        self.stated_limit
            .record(self.clock, source, sent_at, stated);
        self.set_leaving(stated.leaving);
        if let Some(left) = stated.cold_remaining {
            self.cold_rate.set_remaining(self.clock, left);
        }
        before != (self.stated_limit.rate_milli(), self.stated_leaving)
    }

    fn set_leaving(&mut self, leaving: bool) {
        self.stated_leaving |= leaving;
        self.has_stated |= leaving || self.stated_limit.rate_milli().is_some();
        if let Some(announced) = &mut self.announced {
            announced.leaving |= self.stated_leaving;
        }
    }

    /// Returns what this start of the upstream states, as far as it is in force.
    #[must_use]
    pub fn statement(&self) -> Statement {
        Statement {
            rate_milli: self.stated_limit.rate_milli(),
            leaving: self.stated_leaving,
            cold_remaining: None,
        }
    }

    /// Returns whether this start of the upstream stated anything that was in force.
    #[must_use]
    pub fn has_stated(&self) -> bool {
        self.has_stated
    }

    /// Returns the stated rate with its age and the recent arrivals, for display.
    #[must_use]
    pub fn stated_limit(&self) -> StatedLimit {
        self.stated_limit.snapshot(self.clock)
    }

    /// Returns whether a health request may be sent to the upstream now, and counts it
    /// as sent.
    pub fn begin_probe(&mut self, now: Duration) -> bool {
        self.advance_clock(now);
        self.stated_limit.begin_probe(now)
    }

    /// Returns the time for which one of `entries` entries should send nothing, because
    /// of the stated rate.
    pub fn pause(&mut self, now: Duration, entries: usize) -> Duration {
        self.advance_clock(now);
        self.stated_limit.pause(now, entries)
    }
}
