//! Requests that crash upstreams, according to the reports of gates.
//!
//! Gates that isolate suspected requests report convictions. The other gates report
//! how many crashes of their upstreams a request was in flight at, and the leader
//! convicts a request when the sum over all gates reaches [`CONVICTING_CRASHES`].
//! A report states a total, so that it may arrive twice or be repeated to a new
//! leader.

use super::retrials::{Candidate, Retrials};
use crate::millis::millis;
use crate::verdict::{CONVICTING_CRASHES, CRASH_COUNT_TTL, verdict_ttl};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Fingerprint, Suspect, SuspectState, Verdict};

/// Maximum number of convictions, and of other verdicts of a kind, in a heartbeat
/// reply.
const MAX_PUBLISHED: usize = 64;
/// Maximum number of requests whose crashes are counted.
const MAX_COUNTED: usize = 1_024;
/// Maximum lifetime of a conviction.
const MAX_AGE: Duration = Duration::from_secs(3600);
/// Time for which an acquittal is published, and reports of earlier crashes are
/// ignored: several heartbeat intervals.
const ACQUITTAL_TTL: Duration = Duration::from_secs(10);

/// Longest time between the first crashes of requests that are convicted for the same ones.
const CONVICTED_TOGETHER: Duration = Duration::from_secs(60);

/// One start of a daemon, which counts from zero.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Reporter {
    daemon: String,
    incarnation: u64,
}

/// The crashes at which a request was in flight.
#[derive(Debug)]
struct CrashCount {
    /// Service whose upstreams crashed.
    service: String,
    by_reporter: BTreeMap<Reporter, u32>,
    first_at: Duration,
    last_at: Duration,
}

impl CrashCount {
    fn total(&self) -> u32 {
        self.by_reporter.values().sum()
    }
}

#[derive(Debug, Default)]
struct Conviction {
    expires_at: Duration,
    /// First crash, if the conviction follows from a count.
    first_crash_at: Option<Duration>,
}

/// A verdict that a report has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum VerdictChange {
    /// The request is refused from now on, after so many crashes.
    Convicted {
        fingerprint: Fingerprint,
        crashes: u32,
    },
    /// The request has run to its end at a daemon, so its crashes no longer count.
    Acquitted {
        fingerprint: Fingerprint,
        crashes: u32,
        daemon: String,
    },
}

/// The verdicts and counts of a leader.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    convicted: BTreeMap<Fingerprint, Conviction>,
    counts: BTreeMap<Fingerprint, CrashCount>,
    /// Acquitted requests, with the time at which each acquittal expires.
    acquitted: BTreeMap<Fingerprint, Duration>,
    retrials: Retrials,
}

impl Suspects {
    /// Applies the states that a gate reported. Returns the verdicts that follow from
    /// counts.
    pub(super) fn update(&mut self, now: Duration, suspect: &Suspect) -> Vec<VerdictChange> {
        let mut changes = Vec::new();
        for state in &suspect.states {
            let fingerprint = state.fingerprint;
            match state.verdict() {
                Verdict::Convicted => {
                    let age = Duration::from_millis(state.expires_ms).min(MAX_AGE);
                    let since = state.since_ms.map(Duration::from_millis);
                    let first_at = since.map(|since| now.saturating_sub(since));
                    self.convict(fingerprint, now + age, first_at);
                }
                Verdict::Acquitted => {
                    let crashes = self.acquit(now, fingerprint);
                    changes.extend(crashes.map(|crashes| VerdictChange::Acquitted {
                        fingerprint,
                        crashes,
                        daemon: suspect.daemon.clone(),
                    }));
                }
                Verdict::Crashed => {
                    let crashes = self.count(now, suspect, state);
                    changes.extend(crashes.map(|crashes| VerdictChange::Convicted {
                        fingerprint,
                        crashes,
                    }));
                }
                Verdict::Suspected | Verdict::Unknown => {}
            }
        }
        changes
    }

    fn convict(
        &mut self,
        fingerprint: Fingerprint,
        expires_at: Duration,
        first_crash_at: Option<Duration>,
    ) {
        let conviction = self.convicted.entry(fingerprint).or_default();
        conviction.expires_at = conviction.expires_at.max(expires_at);
        conviction.first_crash_at = first_crash_at;
        evict_first(&mut self.convicted, MAX_PUBLISHED, |c| c.expires_at);
    }

    /// Removes a conviction and the count of crashes. Returns the count, if there was one.
    fn acquit(&mut self, now: Duration, fingerprint: Fingerprint) -> Option<u32> {
        self.convicted.remove(&fingerprint);
        let count = self.counts.remove(&fingerprint);
        self.acquitted.insert(fingerprint, now + ACQUITTAL_TTL);
        evict_first(&mut self.acquitted, MAX_PUBLISHED, |expires_at| *expires_at);
        count.map(|count| count.total())
    }

    /// Adds a gate's count. Returns the total if it convicts the request now.
    fn count(&mut self, now: Duration, suspect: &Suspect, state: &SuspectState) -> Option<u32> {
        let fingerprint = state.fingerprint;
        if self.acquitted.contains_key(&fingerprint) {
            return None;
        }
        let since = Duration::from_millis(state.since_ms.unwrap_or_default());
        let first_at = now.saturating_sub(since);
        let count = self.counts.entry(fingerprint).or_insert(CrashCount {
            service: suspect.service.clone(),
            by_reporter: BTreeMap::new(),
            first_at,
            last_at: now,
        });
        count.first_at = count.first_at.min(first_at);
        count.last_at = now;
        let reporter = Reporter {
            daemon: suspect.daemon.clone(),
            incarnation: suspect.incarnation,
        };
        let reported = count.by_reporter.entry(reporter).or_default();
        *reported = (*reported).max(state.crashes);
        let total = count.total();
        let first_at = count.first_at;
        evict_first(&mut self.counts, MAX_COUNTED, |count| count.last_at);
        if total < CONVICTING_CRASHES || self.convicted.contains_key(&fingerprint) {
            return None;
        }
        let expires_at = now + verdict_ttl(Verdict::Convicted);
        self.convict(fingerprint, expires_at, Some(first_at));
        Some(total)
    }

    /// Drops what has expired.
    pub(super) fn expire(&mut self, now: Duration) {
        self.convicted.retain(|_, c| c.expires_at > now);
        self.acquitted.retain(|_, expires_at| *expires_at > now);
        self.counts
            .retain(|_, count| count.last_at + CRASH_COUNT_TTL > now);
    }

    /// Offers requests that were convicted together to the daemons of their service, which
    /// `daemons_of` returns in a fixed order.
    pub(super) fn review_retrials(
        &mut self,
        now: Duration,
        daemons_of: impl Fn(&str) -> Vec<String>,
    ) {
        if self.retrials.is_pending(now) {
            return;
        }
        let counted = self
            .convicted
            .iter()
            .filter_map(|(fingerprint, conviction)| {
                let first_at = conviction.first_crash_at?;
                let count = self.counts.get(fingerprint)?;
                Some((*fingerprint, first_at, count))
            });
        let counted: Vec<(Fingerprint, Duration, &CrashCount)> = counted.collect();
        let convicted_together = counted.iter().filter(|(fingerprint, first_at, count)| {
            counted.iter().any(|(other, other_first_at, other_count)| {
                other != fingerprint
                    && other_count.service == count.service
                    && other_first_at.abs_diff(*first_at) < CONVICTED_TOGETHER
            })
        });
        let candidates: Vec<Candidate> = convicted_together
            .map(|(fingerprint, _, count)| Candidate {
                fingerprint: *fingerprint,
                crashes: count.total(),
                daemons: daemons_of(&count.service),
            })
            .collect();
        let convicted = self.convicted.keys().copied().collect();
        self.retrials.review(now, &candidates, &convicted);
    }

    /// Returns the verdicts for a heartbeat reply: convictions, requests that one more
    /// crash convicts, and acquittals.
    pub(super) fn published(&self, now: Duration) -> Vec<SuspectState> {
        let convicted = self.convicted.iter().map(|(fingerprint, conviction)| {
            let since = conviction.first_crash_at.map(|at| now.saturating_sub(at));
            let expires = conviction.expires_at.saturating_sub(now);
            let retrial = self.retrials.daemon(now, *fingerprint);
            SuspectState {
                only_at: retrial.unwrap_or_default().to_owned(),
                ..state(*fingerprint, Verdict::Convicted, expires, since)
            }
        });
        let is_nearly_convicted = |fingerprint: &Fingerprint, count: &CrashCount| {
            count.total() + 1 == CONVICTING_CRASHES && !self.convicted.contains_key(fingerprint)
        };
        let suspected = self
            .counts
            .iter()
            .filter(|(f, count)| is_nearly_convicted(f, count));
        let suspected = suspected.take(MAX_PUBLISHED).map(|(fingerprint, count)| {
            state(
                *fingerprint,
                Verdict::Suspected,
                verdict_ttl(Verdict::Suspected),
                Some(now.saturating_sub(count.first_at)),
            )
        });
        let acquitted = self.acquitted.iter().map(|(fingerprint, expires_at)| {
            let expires = expires_at.saturating_sub(now);
            state(*fingerprint, Verdict::Acquitted, expires, None)
        });
        convicted.chain(suspected).chain(acquitted).collect()
    }
}

fn state(
    fingerprint: Fingerprint,
    verdict: Verdict,
    expires: Duration,
    since: Option<Duration>,
) -> SuspectState {
    SuspectState {
        fingerprint,
        verdict: verdict.into(),
        expires_ms: millis(expires),
        since_ms: since.map(millis),
        ..SuspectState::default()
    }
}

/// Removes the entries with the lowest time while there are more than `max`.
fn evict_first<V>(
    entries: &mut BTreeMap<Fingerprint, V>,
    max: usize,
    time: impl Fn(&V) -> Duration,
) {
    while entries.len() > max {
        let first = entries.iter().min_by_key(|(_, entry)| time(entry));
        let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) else {
            return;
        };
        entries.remove(&fingerprint);
    }
}
