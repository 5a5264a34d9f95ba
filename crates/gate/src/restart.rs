//! Detects restarts of the upstream by its boot ids.

use crate::slots::Ticket;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of boot ids kept.
const MAX_BOOT_IDS: usize = 16;
/// Maximum number of freed requests kept.
const MAX_FREED: usize = 1_024;

/// Whether an announcement shows that the upstream has restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Start {
    /// It is the first announcement.
    First,
    /// The upstream has not restarted.
    Same,
    /// The upstream has restarted; requests of the previous instance are lost.
    Restarted,
    /// The boot id is new, but is not accepted as evidence that requests are lost.
    Untrusted,
    /// The boot id is that of an earlier start.
    Earlier,
}

/// Tracks the boot ids of the upstream.
///
/// A known boot id does not count as a restart. Once a request has received a
/// complete response although a new boot id had freed its slot, new boot ids no
/// longer free slots. A slot is then freed only when its request ends.
#[derive(Debug, Default)]
pub(crate) struct RestartDetector {
    boot_ids: VecDeque<String>,
    freed_tickets: BTreeSet<Ticket>,
    boot_ids_untrusted: bool,
}

impl RestartDetector {
    /// Records an announced boot id and classifies it.
    pub(crate) fn record_boot(&mut self, boot_id: &str) -> Start {
        let start = match self.boot_ids.back() {
            None => Start::First,
            Some(last) if last == boot_id => return Start::Same,
            Some(_) if self.boot_ids.iter().any(|b| b == boot_id) => Start::Earlier,
            Some(_) if self.boot_ids_untrusted => Start::Untrusted,
            Some(_) => Start::Restarted,
        };
        self.boot_ids.retain(|b| b != boot_id);
        self.boot_ids.push_back(boot_id.to_owned());
        if self.boot_ids.len() > MAX_BOOT_IDS {
            self.boot_ids.pop_front();
        }
        start
    }

    /// Records the requests whose slots were freed by a restart.
    pub(crate) fn record_freed(&mut self, tickets: &[Ticket]) {
        self.freed_tickets.extend(tickets);
        while self.freed_tickets.len() > MAX_FREED {
            self.freed_tickets.pop_first();
        }
    }

    /// Records the end of a request that holds no slot. `completed` is whether
    /// its complete response was received.
    pub(crate) fn record_end(&mut self, ticket: Ticket, completed: bool) {
        if self.freed_tickets.remove(&ticket) && completed {
            self.boot_ids_untrusted = true;
        }
    }
}
