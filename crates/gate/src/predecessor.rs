//! Limits admission while requests of a predecessor of the gate may still run.
//!
//! A starting gate cannot know whether another process of the daemon ran here
//! before. It admits no more than the slots of a cold start until the upstream
//! reports that it is idle, or a time limit has passed, which is at most the
//! longest deadline of a predecessor's request.

use std::time::Duration;

/// Maximum time that the gate waits for expected reports.
const REPORT_WAIT: Duration = Duration::from_secs(3);
/// Minimum time between two reports before they are trusted, because reports
/// may be outdated.
const REPORT_GAP: Duration = Duration::from_millis(500);
/// Maximum duration of the restriction without any report.
const MAX_UNREPORTED_RESTRICTION: Duration = Duration::from_secs(10);
/// Maximum duration of the restriction while reports count requests that this
/// gate did not send.
const MAX_REPORTED_RESTRICTION: Duration = Duration::from_secs(300);

#[derive(Clone, Copy, Debug)]
struct ReportHistory {
    first: Duration,
    last: Duration,
    in_flight: u32,
    idle_since: Option<Duration>,
}

/// Restricts a gate that has just started.
#[derive(Debug)]
pub(crate) struct PredecessorLoad {
    expects_reports: bool,
    longest_deadline: Duration,
    started_at: Option<Duration>,
    reported: Option<ReportHistory>,
    ended: bool,
}

impl PredecessorLoad {
    pub(crate) fn new(expects_reports: bool) -> Self {
        Self {
            expects_reports,
            longest_deadline: MAX_UNREPORTED_RESTRICTION,
            started_at: None,
            reported: None,
            ended: false,
        }
    }

    /// Sets the maximum run time of a predecessor's request.
    pub(crate) fn set_longest_deadline(&mut self, longest: Duration) {
        self.longest_deadline = longest;
    }

    /// Starts the restriction at the first announcement.
    pub(crate) fn begin(&mut self, now: Duration) {
        self.started_at = self.started_at.or(Some(now));
    }

    /// Ends the restriction, because the upstream has restarted.
    pub(crate) fn end(&mut self) {
        self.ended = true;
    }

    /// Applies a report of the number of requests at the upstream.
    pub(crate) fn record_report(&mut self, now: Duration, in_flight: u32) {
        let idle_since = match (in_flight, self.reported) {
            (0, Some(old)) => old.idle_since.or(Some(now)),
            (0, None) => Some(now),
            _ => None,
        };
        self.reported = Some(ReportHistory {
            first: self.reported.map_or(now, |old| old.first),
            last: now,
            in_flight,
            idle_since,
        });
        if idle_since.is_some_and(|since| now.saturating_sub(since) >= REPORT_GAP) {
            self.ended = true;
        }
    }

    /// Applies a current report of the number of requests that this gate did
    /// not send.
    pub(crate) fn record_prompt_report(&mut self, foreign: u32) {
        self.ended |= foreign == 0;
    }

    /// Returns the concurrency limit while the restriction applies.
    pub(crate) fn limit(&self, now: Duration, cold_slots: u32, slots: u32) -> Option<u32> {
        let started_at = self.started_at?;
        if self.ended {
            return None;
        }
        let age = now.saturating_sub(started_at);
        let Some(reported) = self.reported else {
            let awaiting_report = self.expects_reports && age < REPORT_WAIT;
            return (age < self.longest_deadline.min(MAX_UNREPORTED_RESTRICTION))
                .then_some(if awaiting_report { 0 } else { cold_slots });
        };
        if age >= self.longest_deadline.min(MAX_REPORTED_RESTRICTION) {
            return None;
        }
        if reported.last.saturating_sub(reported.first) < REPORT_GAP && age < REPORT_WAIT {
            return Some(0);
        }
        Some(cold_slots.min(slots.saturating_sub(reported.in_flight)))
    }
}
