//! Outcomes of past changes by change id, so that a repeated change gets its
//! first outcome.

use super::ChangeCommand;
use std::collections::{BTreeMap, VecDeque};
use wire::{ChangeId, ChangeOutcome, ChangeResult, ConfigVersion, Fingerprint};

/// Maximum number of change ids whose first outcome is remembered.
pub const MAX_REMEMBERED_CHANGES: usize = 10_000;

#[derive(Clone, Debug, PartialEq)]
struct Remembered {
    digest: Fingerprint,
    outcome: ChangeOutcome,
}

/// The most recent change ids with their first outcomes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RememberedChanges {
    outcomes: BTreeMap<ChangeId, Remembered>,
    order: VecDeque<ChangeId>,
}

impl Eq for RememberedChanges {}

impl RememberedChanges {
    /// Returns the first outcome of the command's change id, or an invalid outcome
    /// if the id was used for a different change.
    pub(super) fn outcome(
        &self,
        command: &ChangeCommand,
        version: ConfigVersion,
    ) -> Option<ChangeOutcome> {
        let first = self.outcomes.get(command.change.as_str())?;
        if first.digest == command.digest {
            return Some(first.outcome.clone());
        }
        Some(ChangeOutcome {
            result: ChangeResult::Invalid as i32,
            version,
            winner: None,
            findings: vec![format!(
                "the change id {} was used for another change",
                command.change
            )],
        })
    }

    /// Adds an outcome and removes the oldest ones beyond the limit.
    pub(super) fn insert(&mut self, change: &str, digest: Fingerprint, outcome: ChangeOutcome) {
        let remembered = Remembered { digest, outcome };
        self.outcomes.insert(change.into(), remembered);
        self.order.push_back(change.into());
        while self.order.len() > MAX_REMEMBERED_CHANGES {
            if let Some(oldest) = self.order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }

    /// Returns ids, digests and outcomes, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&str, Fingerprint, &ChangeOutcome)> {
        self.order.iter().filter_map(|change| {
            let first = self.outcomes.get(change)?;
            Some((change.as_str(), first.digest, &first.outcome))
        })
    }
}
