//! Reads that wait until a majority confirms that this replica leads.
//!
//! A deposed leader may not have noticed a newer one. Each heartbeat round among
//! the replicas confirms all reads that arrived before it started.

use super::batch::Waiter;
use crate::event::LinkId;
use std::time::Duration;
use wire::{Heartbeat, control_request};

/// Minimum time between the starts of two heartbeat rounds of the replica.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of reads that wait for the next round.
const MAX_WAITING: usize = 10_000;

/// A request that only a confirmed leader may handle.
#[derive(Clone, Debug)]
pub(super) enum PendingRead {
    /// A heartbeat.
    Heartbeat(LinkId, Heartbeat),
    /// A configuration change, or a read of the status, routing or history.
    Request(Waiter, control_request::Kind),
}

impl PendingRead {
    fn link(&self) -> LinkId {
        match self {
            Self::Heartbeat(link, _) => *link,
            Self::Request(waiter, _) => waiter.link,
        }
    }
}

#[derive(Debug)]
struct Round {
    token: u64,
    started: Duration,
    reads: Vec<(Duration, PendingRead)>,
}

/// The current round, and the reads that wait for the next one.
#[derive(Debug, Default)]
pub(super) struct Reads {
    waiting: Vec<(Duration, PendingRead)>,
    round: Option<Round>,
    last_start: Option<Duration>,
}

impl Reads {
    /// Adds a read, or returns it if the limit is reached.
    pub(super) fn push(&mut self, now: Duration, read: PendingRead) -> Option<PendingRead> {
        if self.waiting.len() >= MAX_WAITING {
            return Some(read);
        }
        self.waiting.push((now, read));
        None
    }

    /// Returns whether a round is due.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        let interval_elapsed = |last: Duration| now.saturating_sub(last) >= ROUND_INTERVAL;
        !self.waiting.is_empty()
            && self.round.is_none()
            && self.last_start.is_none_or(interval_elapsed)
    }

    /// Starts a round for the waiting reads. A round can only confirm reads
    /// that arrived before it started.
    pub(super) fn start(&mut self, now: Duration, token: u64) {
        self.last_start = Some(now);
        self.round = Some(Round {
            token,
            started: now,
            reads: std::mem::take(&mut self.waiting),
        });
    }

    /// Ends a round and returns its reads.
    pub(super) fn finish(&mut self, token: u64) -> Vec<PendingRead> {
        let round = self.round.take_if(|round| round.token == token);
        let reads = round.map(|round| round.reads).unwrap_or_default();
        reads.into_iter().map(|(_, read)| read).collect()
    }

    /// Removes and returns the reads that are older than the lease. A reply to
    /// such a heartbeat could not renew the daemon's freshness.
    pub(super) fn drop_expired(&mut self, now: Duration, lease: Duration) -> Vec<PendingRead> {
        let expired = |since: Duration| now.saturating_sub(since) >= lease;
        let round = self.round.take_if(|round| expired(round.started));
        let mut dropped = round.map(|round| round.reads).unwrap_or_default();
        dropped.extend(self.waiting.extract_if(.., |(since, _)| expired(*since)));
        dropped.into_iter().map(|(_, read)| read).collect()
    }

    /// Drops the reads that came over a closed connection.
    pub(super) fn link_closed(&mut self, link: LinkId) {
        self.waiting.retain(|(_, read)| read.link() != link);
        if let Some(round) = &mut self.round {
            round.reads.retain(|(_, read)| read.link() != link);
        }
    }

    /// Removes and returns all reads.
    pub(super) fn drain(&mut self) -> Vec<PendingRead> {
        let round = self.round.take().map(|round| round.reads);
        let mut reads = round.unwrap_or_default();
        reads.append(&mut self.waiting);
        reads.into_iter().map(|(_, read)| read).collect()
    }
}
