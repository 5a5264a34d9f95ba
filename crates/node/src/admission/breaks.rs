//! Requests whose connections broke, and whether the upstream ended then.
//!
//! An overloaded upstream resets connections and refuses new ones, as one that has
//! ended does, so neither shows that it ended. A new start does, and so does a refusal
//! of all connections for longer than a live upstream goes without a sign of life.

use std::collections::BTreeSet;
use std::time::Duration;
use wire::Fingerprint;

/// Time within which broken connections count as one crash.
pub(super) const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time within which the connections of an upstream that ended are seen to break. A
/// response that is handled in this time may have arrived before the end.
const BREAK_SPREAD: Duration = Duration::from_millis(50);
/// Time of refusals only, after which an upstream has ended though no new start is known.
const ENDED_AFTER: Duration = Duration::from_secs(2);
/// Time after a break within which a new start shows that the upstream ended then.
const RESTART_WINDOW: Duration = Duration::from_secs(10);
/// Time for which an upstream may still work on a request after the end of its
/// connection.
const CANCELLED_WORK: Duration = Duration::from_millis(500);
/// Maximum number of breaks kept.
const MAX_BREAKS: usize = 1_024;

/// A request that was, or may have been, at the upstream when that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LostRequest {
    pub(super) fingerprint: Fingerprint,
    /// Whether it ran exclusively.
    pub(super) exclusive: bool,
}

/// A request whose connection broke, or was closed because the request was cancelled.
#[derive(Clone, Copy, Debug)]
struct Break {
    at: Duration,
    request: LostRequest,
    /// Whether the request was cancelled before its connection ended.
    cancelled: bool,
    /// Whether a connection was refused afterwards, before any sign of life.
    refused: bool,
}

impl Break {
    /// Returns whether the upstream may have ended, or may still end, because of this
    /// request although a response of it is handled now.
    fn outlasts_sign_of_life(&self, now: Duration) -> bool {
        let spread = match self.cancelled {
            true => CANCELLED_WORK,
            false => BREAK_SPREAD,
        };
        self.refused || now.saturating_sub(self.at) < spread
    }

    /// Returns whether an upstream that refuses connections now may have ended with this
    /// request.
    fn is_recent(&self, now: Duration) -> bool {
        let window = match self.cancelled {
            true => CANCELLED_WORK,
            false => CRASH_WINDOW,
        };
        now.saturating_sub(self.at) <= window
    }
}

/// The recent breaks, and the refusals since the upstream's last sign of life.
#[derive(Debug, Default)]
pub(super) struct Breaks {
    breaks: Vec<Break>,
    refused_since: Option<Duration>,
}

impl Breaks {
    /// Records a request whose connection broke.
    pub(super) fn record(&mut self, now: Duration, request: LostRequest) {
        // A connection was open since, so the refusals before it were no end.
        let earlier = |since: Duration| now.saturating_sub(since) >= BREAK_SPREAD;
        self.refused_since = self.refused_since.filter(|since| !earlier(*since));
        self.push(now, request, false);
    }

    /// Records a cancelled request whose connection ended. The upstream may end with it
    /// all the same.
    pub(super) fn record_cancelled(&mut self, now: Duration, request: LostRequest) {
        self.push(now, request, true);
    }

    fn push(&mut self, now: Duration, request: LostRequest, cancelled: bool) {
        if self.breaks.len() >= MAX_BREAKS {
            self.breaks.remove(0);
        }
        self.breaks.push(Break {
            at: now,
            request,
            cancelled,
            refused: false,
        });
    }

    /// Records a response or an announcement of the start that is known: what broke
    /// before without a refusal was no crash. After refusals the upstream may have
    /// started anew, which is not announced yet.
    pub(super) fn record_sign_of_life(&mut self, now: Duration) {
        self.refused_since = None;
        self.breaks.retain(|b| b.outlasts_sign_of_life(now));
    }

    /// Records that the upstream refused a connection. Returns, and clears, the
    /// requests that were in flight at its end, if it has ended for certain.
    pub(super) fn record_refusal(&mut self, now: Duration) -> Vec<LostRequest> {
        let since = *self.refused_since.get_or_insert(now);
        let earliest = since.saturating_sub(CRASH_WINDOW);
        let before_refusals = self.breaks.iter_mut().filter(|b| b.at >= earliest);
        before_refusals.for_each(|b| b.refused = true);
        if now.saturating_sub(since) < ENDED_AFTER {
            return Vec::new();
        }
        let ended = self.breaks.extract_if(.., |b| b.at >= earliest);
        ended.map(|b| b.request).collect()
    }

    /// Returns the requests that the upstream may have ended with: it refuses connections
    /// since they broke.
    pub(super) fn unconfirmed(&self) -> Vec<Fingerprint> {
        let refused = self.breaks.iter().filter(|b| b.refused);
        let fingerprints: BTreeSet<Fingerprint> = refused.map(|b| b.request.fingerprint).collect();
        fingerprints.into_iter().collect()
    }

    /// Returns, and clears, the requests that broke before a new start of the upstream.
    pub(super) fn take_at_restart(&mut self, now: Duration) -> Vec<LostRequest> {
        self.refused_since = None;
        let breaks = std::mem::take(&mut self.breaks).into_iter();
        let lost = breaks.filter(|b| b.refused || now.saturating_sub(b.at) <= CRASH_WINDOW);
        lost.map(|b| b.request).collect()
    }

    /// Returns, and clears, the requests that broke just now.
    pub(super) fn take_recent(&mut self, now: Duration) -> Vec<LostRequest> {
        let breaks = std::mem::take(&mut self.breaks).into_iter();
        let recent = breaks.filter(|b| b.is_recent(now));
        recent.map(|b| b.request).collect()
    }

    /// Drops breaks that are too old to be part of a crash.
    pub(super) fn tick(&mut self, now: Duration) {
        self.breaks.retain(|b| {
            let window = if b.refused {
                RESTART_WINDOW
            } else {
                CRASH_WINDOW
            };
            now.saturating_sub(b.at) <= window
        });
    }
}
