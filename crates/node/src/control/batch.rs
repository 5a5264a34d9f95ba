//! Items that wait for a proposal, and proposals that wait for a majority.

use super::command::{Command, Item};
use crate::event::LinkId;
use bytes::Bytes;
use claims::Limits;
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// Items of an entry; the position must fit into the low bits of a claim
/// number.
const MAX_ITEMS: usize = 1_024;
/// Bytes of an entry, but for one with a single longer item.
const MAX_BYTES: usize = 1024 * 1024;
/// Items that wait at most.
const MAX_QUEUED: usize = 20_000;
/// Entries under way at once; what arrives meanwhile goes into the next one.
const MAX_PROPOSED: usize = 2;

/// Who gets an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Waiter {
    /// Connection of the asking daemon.
    pub(super) link: LinkId,
    /// Number of its request.
    pub(super) id: u64,
}

/// Items that wait, and proposals under way.
#[derive(Debug, Default)]
pub(super) struct Batch {
    queue: VecDeque<(Option<Waiter>, Item)>,
    proposed: BTreeMap<u64, Vec<Option<Waiter>>>,
}

impl Batch {
    /// Adds an item; returns whether there was room for it.
    #[must_use]
    pub(super) fn push(&mut self, waiter: Waiter, item: Item) -> bool {
        if self.queue.len() >= MAX_QUEUED {
            return false;
        }
        self.queue.push_back((Some(waiter), item));
        true
    }

    pub(super) fn push_unattended(&mut self, item: Item) {
        self.queue.push_back((None, item));
    }

    /// Returns whether nothing waits and nothing is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.proposed.is_empty()
    }

    /// Returns whether an entry can be proposed now.
    pub(super) fn is_due(&self) -> bool {
        !self.queue.is_empty() && self.proposed.len() < MAX_PROPOSED
    }

    /// Makes an entry of what waits, up to its bounds.
    pub(super) fn start(&mut self, token: u64, time_ms: u64, limits: Limits) -> Bytes {
        let mut command = Command {
            time_ms,
            retention_ms: limits.retention_ms,
            max_claims: limits.max_claims,
            items: Vec::new(),
        };
        let mut waiters = Vec::new();
        let mut bytes = 0;
        while let Some((waiter, item)) = self.queue.pop_front() {
            bytes += item.encoded_len();
            let full = command.items.len() >= MAX_ITEMS || bytes > MAX_BYTES;
            if full && !command.items.is_empty() {
                self.queue.push_front((waiter, item));
                break;
            }
            command.items.push(item);
            waiters.push(waiter);
        }
        self.proposed.insert(token, waiters);
        command.encode_to_vec().into()
    }

    /// Returns who waits for an entry that is no longer under way.
    pub(super) fn finish(&mut self, token: u64) -> Vec<Option<Waiter>> {
        self.proposed.remove(&token).unwrap_or_default()
    }

    /// Forgets everything; returns who waited for a proposal, and who for the
    /// outcome of one.
    pub(super) fn drain(&mut self) -> (Vec<Waiter>, Vec<Waiter>) {
        let queued = self.queue.drain(..).filter_map(|(waiter, _)| waiter);
        let queued = queued.collect();
        let proposed = std::mem::take(&mut self.proposed);
        (queued, proposed.into_values().flatten().flatten().collect())
    }
}
