//! What the upstream states in its responses: the rate of requests that it takes, and
//! that it is leaving.

use super::Admission;
use crate::context::Cx;
use crate::effect::LogLine;
use gate::{StatedLimit, Statement, Ticket};
use std::time::Duration;
use wire::{Announcement, RefuseReason, Restriction, StartHash, start_hash};

/// What a response states, with the values that cannot be used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadStatement {
    /// What it states.
    pub statement: Statement,
    /// Each header with an unusable value: its name, and the beginning of the value. The
    /// response counts as without it.
    pub unusable: Vec<(&'static str, String)>,
}

/// Counts of statements, and of what was done because of them, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatementCounts {
    /// Headers with unusable values.
    pub unusable: u64,
    /// Requests that were rejected because of a stated rate.
    pub rejected: u64,
    /// Health requests that were not sent because of a stated rate.
    pub probes_skipped: u64,
}

impl Admission {
    /// Returns what this start of the upstream states, as far as it is in force.
    #[must_use]
    pub fn statement(&self) -> Statement {
        self.gate.statement()
    }

    /// Returns the stated rate with its age and the recent arrivals.
    #[must_use]
    pub fn stated_limit(&self) -> StatedLimit {
        self.gate.stated_limit()
    }

    /// Returns what to tell an entry about the upstream's statements; `None` if there is
    /// nothing to tell. An entry that is `informed` already learns that it has ended.
    pub fn restriction_to_send(&mut self, now: Duration, informed: bool) -> Option<Restriction> {
        if !self.gate.has_stated() && !informed {
            return None;
        }
        let start = self.start_hash()?;
        let Statement {
            rate_milli,
            leaving,
            ..
        } = self.gate.statement();
        let entries = self.recent_entries.count(now);
        let pause = self.gate.pause(now, entries);
        Some(Restriction {
            start,
            leaving,
            rate_milli,
            pause_ms: u32::try_from(pause.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Takes over what an entry knows of this start of the upstream, because this gate
    /// may have started again since.
    pub(super) fn on_informed(&mut self, restriction: &Restriction, cx: &mut Cx<'_>) {
        if self.start_hash() != Some(restriction.start) {
            return;
        }
        let statement = Statement {
            rate_milli: restriction.rate_milli,
            leaving: restriction.leaving,
            cold_remaining: None,
        };
        if self.gate.adopt_statement(cx.now, statement) {
            self.on_statement_changed("entry", cx);
        }
    }

    /// Refuses the requests that wait in the queue of an upstream that is leaving, so that
    /// their entries place them elsewhere.
    pub(super) fn refuse_waiting_if_leaving(&mut self, cx: &mut Cx<'_>) {
        for ticket in self.gate.remove_if_leaving() {
            self.jobs.remove(ticket);
            self.refuse(ticket, RefuseReason::Leaving, None, cx);
        }
    }

    fn start_hash(&self) -> Option<StartHash> {
        self.gate.announced().map(|a| start_hash(&a.boot))
    }

    /// Returns counts of statements.
    #[must_use]
    pub fn statement_counts(&self) -> StatementCounts {
        self.statement_counts
    }

    /// Applies what the response to a request states.
    pub(super) fn on_statement(&mut self, ticket: Ticket, read: ReadStatement, cx: &mut Cx<'_>) {
        self.record_unusable(read.unusable, cx);
        if self.gate.record_statement(cx.now, ticket, read.statement) {
            self.on_statement_changed("response", cx);
        }
    }

    /// Applies what the response to a health request states.
    pub(super) fn on_health_statement(&mut self, read: ReadStatement, cx: &mut Cx<'_>) {
        self.record_unusable(read.unusable, cx);
        if self.gate.record_health_statement(cx.now, read.statement) {
            self.on_statement_changed("health", cx);
        }
    }

    /// Returns whether a health request may be sent to the upstream, which counts it as
    /// sent.
    pub(super) fn begin_probe(&mut self, now: Duration) -> bool {
        let may_send = self.gate.begin_probe(now);
        self.statement_counts.probes_skipped += u64::from(!may_send);
        may_send
    }

    pub(super) fn on_statement_changed(&mut self, source: &'static str, cx: &mut Cx<'_>) {
        let Statement {
            rate_milli,
            leaving,
            ..
        } = self.gate.statement();
        if leaving {
            self.refuse_waiting_if_leaving(cx);
            self.announce_leaving(cx);
        }
        let recent = self.gate.stated_limit().recent_arrivals;
        let rate = rate_milli.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        cx.tx.push(crate::Effect::Log(LogLine {
            level: log::Level::Info,
            event: "upstream_statement",
            pairs: vec![
                ("source", source.to_owned()),
                ("rate_milli", rate),
                ("leaving", leaving.to_string()),
                ("recent_arrivals", recent.to_string()),
            ],
        }));
    }

    /// Announces the upstream as leaving, whatever its own announcements say.
    pub(super) fn announce_leaving(&self, cx: &mut Cx<'_>) {
        if let Some(announced) = self.gate.announced() {
            cx.agent.announce(Announcement {
                leaving: true,
                ..announced.clone()
            });
        }
    }

    fn record_unusable(&mut self, unusable: Vec<(&'static str, String)>, cx: &mut Cx<'_>) {
        for (header, value) in unusable {
            self.statement_counts.unusable += 1;
            cx.tx.push(crate::Effect::Log(LogLine {
                level: log::Level::Warn,
                event: "upstream_statement_unusable",
                pairs: vec![("header", header.to_owned()), ("value", value)],
            }));
        }
    }
}
