//! What a predecessor of this gate may have left running at the upstream.
//!
//! A gate that starts can't know whether another process of the daemon ran
//! here before it. Until the upstream reports that it is idle, or every
//! request of a predecessor must be over, it admits little or nothing.

use std::time::Duration;

/// Time that the gate waits for reports which its settings promise.
const REPORT_WAIT: Duration = Duration::from_secs(3);
/// Time between the two reports that are believed, because reports lag.
const REPORT_GAP: Duration = Duration::from_millis(500);
/// Longest caution without any report.
const BLIND_HOLD: Duration = Duration::from_secs(10);
/// Longest caution with reports of foreign work.
const REPORTED_HOLD: Duration = Duration::from_secs(300);

#[derive(Clone, Copy, Debug)]
struct Reported {
    first: Duration,
    last: Duration,
    in_flight: u32,
    idle_since: Option<Duration>,
}

/// The caution of a gate that has just started.
#[derive(Debug)]
pub(crate) struct Inheritance {
    expects_reports: bool,
    longest: Duration,
    since: Option<Duration>,
    reported: Option<Reported>,
    over: bool,
}

impl Inheritance {
    pub(crate) fn new(expects_reports: bool) -> Self {
        Self {
            expects_reports,
            longest: BLIND_HOLD,
            since: None,
            reported: None,
            over: false,
        }
    }

    /// Sets the longest time that a request of the predecessor may run.
    pub(crate) fn set_longest(&mut self, longest: Duration) {
        self.longest = longest;
    }

    /// Begins with the first announcement.
    pub(crate) fn begin(&mut self, now: Duration) {
        self.since = self.since.or(Some(now));
    }

    /// Ends: the upstream itself has started again.
    pub(crate) fn end(&mut self) {
        self.over = true;
    }

    /// Takes the upstream's own count in.
    pub(crate) fn report(&mut self, now: Duration, in_flight: u32) {
        let idle_since = match (in_flight, self.reported) {
            (0, Some(old)) => old.idle_since.or(Some(now)),
            (0, None) => Some(now),
            _ => None,
        };
        self.reported = Some(Reported {
            first: self.reported.map_or(now, |old| old.first),
            last: now,
            in_flight,
            idle_since,
        });
        if idle_since.is_some_and(|since| now.saturating_sub(since) >= REPORT_GAP) {
            self.over = true;
        }
    }

    /// Takes in how much of what the upstream works on came from elsewhere, as
    /// it stands at this moment.
    pub(crate) fn report_prompt(&mut self, foreign: u32) {
        self.over |= foreign == 0;
    }

    /// Returns how many requests may run now, if caution still applies.
    pub(crate) fn limit(&self, now: Duration, cold_slots: u32, slots: u32) -> Option<u32> {
        let since = self.since?;
        if self.over {
            return None;
        }
        let age = now.saturating_sub(since);
        let Some(reported) = self.reported else {
            let waiting = self.expects_reports && age < REPORT_WAIT;
            return (age < self.longest.min(BLIND_HOLD)).then_some(if waiting {
                0
            } else {
                cold_slots
            });
        };
        if age >= self.longest.min(REPORTED_HOLD) {
            return None;
        }
        if reported.last.saturating_sub(reported.first) < REPORT_GAP && age < REPORT_WAIT {
            return Some(0);
        }
        Some(cold_slots.min(slots.saturating_sub(reported.in_flight)))
    }
}
