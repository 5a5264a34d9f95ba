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
/// Time for which an upstream may still work on a request after the end of its connection
/// and its deadline. The upstream knows the deadline by its own clock, and ends some time
/// after the part of its work that harms it.
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
    /// Time until which the upstream may work on the request, if it was cancelled before its
    /// connection ended.
    working_until: Option<Duration>,
    /// Whether a connection was refused afterwards, before any sign of life.
    refused: bool,
}

impl Break {
    /// Returns whether the upstream may have ended, or may still end, because of this
    /// request although a response of it is handled now.
    fn outlasts_sign_of_life(&self, now: Duration) -> bool {
        let until = self.working_until.unwrap_or(self.at + BREAK_SPREAD);
        self.refused || now < until
    }

    /// Returns whether an upstream that refuses connections now may have ended with this
    /// request.
    fn is_recent(&self, now: Duration) -> bool {
        now <= self.working_until.unwrap_or(self.at + CRASH_WINDOW)
    }

    /// Returns whether the upstream may have ended with this request if that was noticed at
    /// a time.
    fn may_explain_end(&self, noticed_at: Duration) -> bool {
        noticed_at <= self.latest_end()
    }

    /// Returns the latest time at which an end of the upstream because of this request is
    /// noticed.
    fn latest_end(&self) -> Duration {
        let noticed = self.at + CRASH_WINDOW;
        self.working_until
            .map_or(noticed, |until| until.max(noticed))
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
        self.push(now, request, None);
    }

    /// Records a cancelled request whose connection ended. The upstream may work on it up to
    /// its deadline, and end with it.
    pub(super) fn record_cancelled(
        &mut self,
        now: Duration,
        request: LostRequest,
        deadline: Duration,
    ) {
        self.push(now, request, Some(deadline.max(now) + CANCELLED_WORK));
    }

    fn push(&mut self, now: Duration, request: LostRequest, working_until: Option<Duration>) {
        if self.breaks.len() >= MAX_BREAKS {
            self.breaks.remove(0);
        }
        self.breaks.push(Break {
            at: now,
            request,
            working_until,
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
        let before_refusals = self.breaks.iter_mut();
        let before_refusals = before_refusals.filter(|b| b.may_explain_end(since));
        before_refusals.for_each(|b| b.refused = true);
        if now.saturating_sub(since) < ENDED_AFTER {
            return Vec::new();
        }
        let ended = self.breaks.extract_if(.., |b| b.may_explain_end(since));
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
        let lost = breaks.filter(|b| b.refused || b.may_explain_end(now));
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
            let until = match b.refused {
                true => b.latest_end() + (RESTART_WINDOW - CRASH_WINDOW),
                false => b.latest_end(),
            };
            now <= until
        });
    }
}
