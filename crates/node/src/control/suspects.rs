//! Requests that gates have convicted of crashing upstreams.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Fingerprint, Suspect, SuspectState, Verdict};

/// Maximum number of convictions kept.
const MAX_CONVICTED: usize = 64;
/// Maximum lifetime of a conviction.
const MAX_AGE: Duration = Duration::from_secs(3600);

/// The convictions, with the time at which each expires.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    convicted: BTreeMap<Fingerprint, Duration>,
}

impl Suspects {
    /// Applies the verdicts that a gate reported. Above the limit, the
    /// convictions that expire first are dropped.
    pub(super) fn update(&mut self, now: Duration, suspect: &Suspect) {
        for state in &suspect.states {
            match state.verdict() {
                Verdict::Convicted => {
                    let age = Duration::from_millis(state.expires_ms).min(MAX_AGE);
                    let expires = self.convicted.entry(state.fingerprint).or_default();
                    *expires = (*expires).max(now + age);
                }
                Verdict::Acquitted => {
                    self.convicted.remove(&state.fingerprint);
                }
                Verdict::Suspected | Verdict::Unknown => {}
            }
        }
        while self.convicted.len() > MAX_CONVICTED {
            let first_to_expire = self.convicted.iter().min_by_key(|(_, expires)| **expires);
            let Some(fingerprint) = first_to_expire.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.convicted.remove(&fingerprint);
        }
    }

    /// Drops expired convictions.
    pub(super) fn expire(&mut self, now: Duration) {
        self.convicted.retain(|_, expires| *expires > now);
    }

    /// Returns the convictions for a heartbeat reply.
    pub(super) fn convicted(&self, now: Duration) -> Vec<SuspectState> {
        let convicted = self.convicted.iter();
        convicted
            .map(|(fingerprint, expires)| SuspectState {
                fingerprint: *fingerprint,
                verdict: Verdict::Convicted as i32,
                only_at: String::new(),
                expires_ms: super::millis(expires.saturating_sub(now)),
            })
            .collect()
    }
}
