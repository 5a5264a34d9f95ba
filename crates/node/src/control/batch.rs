//! Batches operations into log entries, and tracks proposed entries until they
//! are committed.

use super::command::{Command, Item};
use crate::event::LinkId;
use bytes::Bytes;
use claims::Limits;
use prost::Message;
use std::collections::{BTreeMap, VecDeque};
use wire::Departure;

/// Maximum number of items in an entry. An item's position must fit into the
/// low bits of a claim number.
const MAX_ITEMS: usize = 1_024;
/// Maximum size of an entry, unless it holds a single larger item.
const MAX_BYTES: usize = 1024 * 1024;
/// Maximum number of queued items.
const MAX_QUEUED: usize = 20_000;
/// Maximum number of entries proposed at once. Items that arrive meanwhile are
/// batched into the next entry.
const MAX_PROPOSED: usize = 2;

/// The request of a daemon that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Waiter {
    /// Connection of the daemon.
    pub(super) link: LinkId,
    /// Id of its request.
    pub(super) id: u64,
}

/// The queued items, and the waiters of proposed entries by token.
#[derive(Debug, Default)]
pub(super) struct Batch {
    queue: VecDeque<(Option<Waiter>, Item)>,
    proposed: BTreeMap<u64, Vec<Option<Waiter>>>,
    departures: Vec<Departure>,
    proposed_departures: BTreeMap<u64, Vec<Departure>>,
    /// Whether an entry is proposed even without an item.
    records_time: bool,
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

    pub(super) fn push_detached(&mut self, item: Item) {
        self.queue.push_back((None, item));
    }

    /// Adds a departure, unless it is queued or proposed already.
    pub(super) fn push_departure(&mut self, departure: Departure) {
        let mut proposed = self.proposed_departures.values().flatten();
        let is_known = self.departures.contains(&departure) || proposed.any(|d| *d == departure);
        if !is_known && self.departures.len() < MAX_ITEMS {
            self.departures.push(departure);
        }
    }

    /// Requests an entry that records the log time, even if no item is queued.
    pub(super) fn record_time(&mut self) {
        self.records_time = true;
    }

    /// Returns whether no item is queued and no entry proposed.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.proposed.is_empty()
    }

    /// Returns whether an entry can be proposed now.
    pub(super) fn is_due(&self) -> bool {
        let has_content =
            self.records_time || !self.queue.is_empty() || !self.departures.is_empty();
        has_content && self.proposed.len() < MAX_PROPOSED
    }

    /// Builds an entry from the queued items, up to the limits on its size.
    pub(super) fn take_command(&mut self, token: u64, time_ms: u64, limits: Limits) -> Bytes {
        let mut command = Command {
            time_ms,
            retention_ms: limits.retention_ms,
            max_claims: limits.max_claims,
            items: Vec::new(),
            departures: std::mem::take(&mut self.departures),
        };
        self.records_time = false;
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
        if !command.departures.is_empty() {
            self.proposed_departures
                .insert(token, command.departures.clone());
        }
        command.encode_to_vec().into()
    }

    /// Removes a proposed entry and returns its waiters, one per item.
    pub(super) fn take_waiters(&mut self, token: u64) -> Vec<Option<Waiter>> {
        self.proposed_departures.remove(&token);
        self.proposed.remove(&token).unwrap_or_default()
    }

    /// Removes everything; returns the waiters of queued items, and those of
    /// proposed entries.
    pub(super) fn drain(&mut self) -> (Vec<Waiter>, Vec<Waiter>) {
        self.records_time = false;
        self.departures.clear();
        self.proposed_departures.clear();
        let queued = self.queue.drain(..).filter_map(|(waiter, _)| waiter);
        let queued = queued.collect();
        let proposed = std::mem::take(&mut self.proposed);
        (queued, proposed.into_values().flatten().flatten().collect())
    }
}
