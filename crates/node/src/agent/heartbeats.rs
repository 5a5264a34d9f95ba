//! Schedules heartbeats and tracks those without a reply.

use compact_str::CompactString;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::ConfigVersion;

/// Minimum time between two heartbeats.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Lower bound of the reply timeout, which is half the heartbeat interval.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of heartbeats without a reply that are kept.
const MAX_SENT: usize = 256;

/// A heartbeat that was sent and has no reply yet.
#[derive(Clone, Debug)]
pub(super) struct SentHeartbeat {
    pub(super) at: Duration,
    pub(super) target: CompactString,
    pub(super) config_version: ConfigVersion,
    /// Boot of the upstream that it reports as leaving.
    pub(super) leaving_boot: Option<String>,
}

/// The schedule, and the heartbeats without a reply.
#[derive(Debug)]
pub(super) struct Heartbeats {
    interval: Duration,
    lease: Duration,
    sequence: u64,
    sent: BTreeMap<u64, SentHeartbeat>,
    /// Time of the first heartbeat since the last reply of the target.
    unanswered_since: Option<Duration>,
    next_due: Duration,
    not_before: Duration,
}

impl Heartbeats {
    pub(super) fn new(interval: Duration, lease: Duration) -> Self {
        Self {
            interval,
            lease,
            sequence: 0,
            sent: BTreeMap::new(),
            unanswered_since: None,
            next_due: Duration::ZERO,
            not_before: Duration::ZERO,
        }
    }

    pub(super) fn interval(&self) -> Duration {
        self.interval
    }

    /// Schedules a heartbeat for as soon as the minimum interval allows.
    pub(super) fn schedule_now(&mut self) {
        self.next_due = Duration::ZERO;
    }

    /// Schedules a heartbeat for a delay from now, unless one is due before.
    pub(super) fn schedule_within(&mut self, now: Duration, delay: Duration) {
        self.next_due = self.next_due.min(now + delay);
    }

    /// Schedules the next heartbeat after a delay that [`Self::schedule_now`]
    /// cannot shorten.
    pub(super) fn postpone(&mut self, now: Duration, delay: Duration) {
        self.next_due = now + delay;
        self.not_before = self.not_before.max(now + delay);
        self.unanswered_since = None;
    }

    /// Returns whether a heartbeat is due.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        now >= self.next_due && now >= self.not_before
    }

    /// Returns whether the target has not replied within the timeout.
    pub(super) fn reply_overdue(&self, now: Duration) -> bool {
        let timeout = (self.interval / 2).max(MIN_REPLY_TIMEOUT);
        let late = |sent: Duration| now.saturating_sub(sent) >= timeout;
        self.unanswered_since.is_some_and(late)
    }

    /// Records a sent heartbeat and returns its sequence number.
    pub(super) fn record(&mut self, sent: SentHeartbeat) -> u64 {
        let now = sent.at;
        self.next_due = now + self.interval;
        self.not_before = now + MIN_INTERVAL;
        self.unanswered_since.get_or_insert(now);
        self.sequence += 1;
        self.sent.insert(self.sequence, sent);
        while self.sent.len() > MAX_SENT {
            self.sent.pop_first();
        }
        self.sequence
    }

    /// Returns whether a heartbeat is so old that its reply confirms nothing.
    pub(super) fn is_outdated(&self, now: Duration, sent: &SentHeartbeat) -> bool {
        now.saturating_sub(sent.at) >= self.lease
    }

    /// Removes and returns the heartbeat to which a reply belongs, so that a
    /// duplicate reply is ignored.
    pub(super) fn take_sent(&mut self, sequence: u64) -> Option<SentHeartbeat> {
        let sent = self.sent.remove(&sequence)?;
        self.unanswered_since = None;
        Some(sent)
    }
}
