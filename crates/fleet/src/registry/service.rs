//! The recent versions of a service, with the upstream that changed in each.

use std::collections::{BTreeSet, VecDeque};
use wire::DaemonId;

/// Maximum number of changes kept for a service; a daemon that is further behind
/// receives the full list of upstreams.
const MAX_CHANGES: usize = 256;

/// Version of a service that has had no upstreams yet.
pub(super) const FIRST_VERSION: u64 = 1;

/// The most recent changes of a service, one for each version.
#[derive(Clone, Debug)]
pub(super) struct ServiceLog {
    version: u64,
    changed: VecDeque<DaemonId>,
}

impl Default for ServiceLog {
    fn default() -> Self {
        Self {
            version: FIRST_VERSION,
            changed: VecDeque::new(),
        }
    }
}

impl ServiceLog {
    /// Returns the current version.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Creates a new version in which an upstream changed.
    pub(super) fn record(&mut self, daemon: &str) {
        self.version += 1;
        self.changed.push_back(daemon.into());
        if self.changed.len() > MAX_CHANGES {
            self.changed.pop_front();
        }
    }

    /// Returns the upstreams that changed after `version`, or `None` if the log
    /// no longer reaches that far back.
    pub(super) fn since(&self, version: u64) -> Option<Vec<DaemonId>> {
        let versions_behind = usize::try_from(self.version.checked_sub(version)?).ok()?;
        let skip = self.changed.len().checked_sub(versions_behind)?;
        let changed: BTreeSet<&DaemonId> = self.changed.iter().skip(skip).collect();
        Some(changed.into_iter().cloned().collect())
    }
}
