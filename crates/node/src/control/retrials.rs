//! Retrials of requests that were convicted together.
//!
//! Requests in flight at the same crashes are convicted with the one that caused them.
//! The leader offers them, one after the other, to one daemon that may run them once. A
//! request that runs to its end is acquitted; one that crashes another upstream is not
//! offered again. A request that was convicted alone is not offered at all.

use std::collections::BTreeSet;
use std::time::Duration;
use wire::Fingerprint;

/// Time for which an offer is published: several heartbeat intervals.
const OFFER_TIME: Duration = Duration::from_millis(1_500);
/// Time after an offer, or after the conviction, within which the leader learns how a
/// request ended that ran.
const OUTCOME_TIME: Duration = Duration::from_secs(6);

/// A daemon that may run a convicted request once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Offer {
    pub(super) fingerprint: Fingerprint,
    pub(super) daemon: String,
    /// Crashes of the request that were counted before.
    crashes: u32,
    at: Duration,
}

/// A convicted request that others were convicted with.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) fingerprint: Fingerprint,
    pub(super) crashes: u32,
    /// Daemons beside the upstreams of its service, in a fixed order.
    pub(super) daemons: Vec<String>,
}

/// The retrials of a leader, one at a time.
#[derive(Debug, Default)]
pub(super) struct Retrials {
    current: Option<Offer>,
    /// When there were candidates first.
    candidates_since: Option<Duration>,
    /// Position of the next daemon in the list of the current candidate.
    turn: usize,
    /// Requests that crashed an upstream during a retrial.
    guilty: BTreeSet<Fingerprint>,
}

impl Retrials {
    /// Returns whether the outcome of an offer is awaited.
    pub(super) fn is_pending(&self, now: Duration) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|offer| now < offer.at + OFFER_TIME + OUTCOME_TIME)
    }

    /// Ends an offer whose outcome is known, and makes the next one. Candidates are in a
    /// fixed order; each is offered to all its daemons before the next one is.
    pub(super) fn review(
        &mut self,
        now: Duration,
        candidates: &[Candidate],
        convicted: &BTreeSet<Fingerprint>,
    ) {
        if let Some(offer) = &self.current {
            let is_guilty =
                |c: &Candidate| c.fingerprint == offer.fingerprint && c.crashes > offer.crashes;
            if candidates.iter().any(is_guilty) {
                self.guilty.insert(offer.fingerprint);
            }
        }
        self.candidates_since = match candidates.is_empty() {
            true => None,
            false => self.candidates_since.or(Some(now)),
        };
        self.guilty.retain(|f| convicted.contains(f));
        self.current = self.next_offer(now, candidates);
    }

    fn next_offer(&mut self, now: Duration, candidates: &[Candidate]) -> Option<Offer> {
        if now < self.candidates_since? + OUTCOME_TIME {
            return None;
        }
        let open = candidates.iter();
        let open = open.filter(|c| !self.guilty.contains(&c.fingerprint) && !c.daemons.is_empty());
        let open: Vec<&Candidate> = open.collect();
        let last = self.current.as_ref().map(|offer| offer.fingerprint);
        let current = open.iter().find(|c| Some(c.fingerprint) == last);
        let unfinished = current.filter(|c| self.turn < c.daemons.len());
        let candidate = match unfinished {
            Some(candidate) => *candidate,
            None => {
                self.turn = 0;
                let following = open.iter().find(|c| Some(c.fingerprint) > last);
                *following.or(open.first())?
            }
        };
        let daemon = candidate.daemons.get(self.turn)?.clone();
        self.turn += 1;
        Some(Offer {
            fingerprint: candidate.fingerprint,
            daemon,
            crashes: candidate.crashes,
            at: now,
        })
    }

    /// Returns the daemon that may run a request once now.
    pub(super) fn daemon(&self, now: Duration, fingerprint: Fingerprint) -> Option<&str> {
        let offer = self.current.as_ref()?;
        let is_published = now < offer.at + OFFER_TIME;
        (is_published && offer.fingerprint == fingerprint).then_some(offer.daemon.as_str())
    }
}
