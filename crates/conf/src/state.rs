//! The configuration as a replicated state machine.
//!
//! The leader prepares a change against the configuration it is based on, so that
//! the log carries the difference and not the full lists. Applying a command is
//! deterministic: the outcome depends only on the commands applied before it.

mod change;
mod configuration;
mod receiver;
mod recent_changes;
mod remembered;
mod rollouts;
mod routing;
mod snapshot;
mod transfer;

pub use change::{ChangeCommand, prepare_change};
pub use configuration::Configuration;
pub use receiver::{PageOutcome, TransferReceiver};
pub use remembered::MAX_REMEMBERED_CHANGES;
pub use rollouts::RolloutStep;
pub use snapshot::ConfigSnapshot;
pub use transfer::{MAX_PAGE_BYTES, Transfers};

use crate::lists::parse_plans;
use configuration::apply_customer_changes;
use recent_changes::{RecentChange, RecentChanges, RoutingDelta};
use remembered::RememberedChanges;
use routing::AcceptedRoutingChange;
use std::collections::VecDeque;
use wire::{ChangeOutcome, ChangeResult, HistoryEntry};

/// Maximum number of accepted changes in the history.
pub const MAX_HISTORY: usize = 2_000;

/// The current configuration with the records needed to respond to operators and
/// daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigState {
    current: Configuration,
    remembered: RememberedChanges,
    history: VecDeque<HistoryEntry>,
    recent_changes: RecentChanges,
    /// Accepted routing changes, oldest first.
    routing_changes: VecDeque<AcceptedRoutingChange>,
}

impl ConfigState {
    /// Returns the current configuration.
    #[must_use]
    pub fn current(&self) -> &Configuration {
        &self.current
    }

    /// Creates version 1, without lists, unless a version exists already.
    pub fn initialise(&mut self) {
        if self.current.version == 0 {
            self.current.version = 1;
            self.recent_changes.reset(1);
        }
    }

    /// Applies a committed change and returns its outcome. A change with a known
    /// id is not applied again and gets the first outcome.
    pub fn apply(&mut self, command: ChangeCommand) -> ChangeOutcome {
        if let Some(first) = self.earlier_outcome(&command) {
            return first;
        }
        let (change, digest) = (command.change.clone(), command.digest);
        let outcome = self.evaluate(command);
        self.remembered.insert(&change, digest, outcome.clone());
        outcome
    }

    /// Returns the outcome of the first change with the same id, if it is still
    /// remembered.
    #[must_use]
    pub fn earlier_outcome(&self, command: &ChangeCommand) -> Option<ChangeOutcome> {
        self.remembered.outcome(command, self.current.version)
    }

    /// Returns up to `limit` accepted changes, newest first.
    #[must_use]
    pub fn history(&self, limit: usize) -> Vec<HistoryEntry> {
        self.history.iter().rev().take(limit).cloned().collect()
    }

    fn evaluate(&mut self, command: ChangeCommand) -> ChangeOutcome {
        if command.stale || command.base != self.current.version {
            return self.conflict();
        }
        if !command.findings.is_empty() {
            return self.invalid(command.findings);
        }
        let plans = match command.plans.as_deref().map(|t| parse_plans("plans", t)) {
            Some(Err(findings)) => return self.invalid(findings.lines()),
            Some(Ok(plans)) => Some(plans),
            None => None,
        };
        self.accept(command, plans)
    }

    fn accept(&mut self, command: ChangeCommand, plans: Option<crate::Plans>) -> ChangeOutcome {
        self.current.version += 1;
        self.current.set_plans(command.plans.as_deref(), plans);
        apply_customer_changes(&mut self.current.customers, &command.customers);
        self.current
            .apply_operation(command.kind(), &command.target);
        let entry = HistoryEntry {
            version: self.current.version,
            change: command.change,
            author: command.author,
            summary: command.summary,
            at_ms: command.at_ms,
        };
        self.history.push_back(entry);
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        let plans_changed = command.plans.is_some();
        let version = self.current.version;
        self.recent_changes.push(RecentChange {
            version,
            customers: command.customers,
            plans_changed,
            routing: RoutingDelta::None,
        });
        ChangeOutcome {
            result: ChangeResult::Accepted as i32,
            version,
            ..ChangeOutcome::default()
        }
    }

    fn conflict(&self) -> ChangeOutcome {
        ChangeOutcome {
            result: ChangeResult::Conflict as i32,
            version: self.current.version,
            winner: self.history.back().cloned(),
            findings: Vec::new(),
        }
    }

    fn invalid(&self, findings: Vec<String>) -> ChangeOutcome {
        ChangeOutcome {
            result: ChangeResult::Invalid as i32,
            version: self.current.version,
            winner: None,
            findings,
        }
    }
}
