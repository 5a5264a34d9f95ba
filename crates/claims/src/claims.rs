//! The state machine.

use crate::closed::ClosedNonces;
use crate::key::ClaimKey;
use std::collections::BTreeMap;
use wire::Fingerprint;

/// Bounds, as the leader's settings state them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time that claims are kept, in milliseconds of the log's time.
    pub retention_ms: u64,
    /// Claims kept at most.
    pub max_claims: u64,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The claimant may run the request, once.
    Granted {
        /// Number of the claim.
        number: u64,
    },
    /// It already ran to its end.
    Ran {
        /// HTTP status of the answer.
        status: u16,
    },
    /// Another claim holds it: it runs now, or may have run.
    MayHaveRun,
    /// The key was used for another request.
    KeyReused,
    /// There is no room for another claim; nothing was claimed.
    Full,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// It ran and its whole answer came back, with this HTTP status.
    Finished(u16),
    /// It was not run.
    Released,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) number: u64,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) nonce: u64,
    pub(crate) at_ms: u64,
    pub(crate) status: Option<u16>,
}

/// All claims that are kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claims {
    claims: BTreeMap<ClaimKey, Claim>,
    /// Keys by claim number, which is the order of time too.
    order: BTreeMap<u64, ClaimKey>,
    closed: ClosedNonces,
    time_ms: u64,
}

impl Claims {
    /// Returns how many claims are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the log's time, in milliseconds.
    #[must_use]
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Moves the log's time on, never back, and drops the claims that have
    /// been kept for their time.
    pub fn advance(&mut self, time_ms: u64, limits: Limits) {
        self.time_ms = self.time_ms.max(time_ms);
        while let Some((&number, key)) = self.order.first_key_value() {
            let at_ms = self.claims.get(key).map_or(0, |c| c.at_ms);
            if at_ms.saturating_add(limits.retention_ms) > self.time_ms {
                return;
            }
            self.remove(number);
        }
    }

    /// Claims the only run of a request. `number` is that of the claim if it
    /// is granted, higher than all before.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        fingerprint: Fingerprint,
        nonce: u64,
        number: u64,
        limits: Limits,
    ) -> Decision {
        if let Some(held) = self.claims.get(&key) {
            return repeated(held, fingerprint, nonce);
        }
        if self.closed.contains(nonce) {
            return Decision::MayHaveRun;
        }
        if self.claims.len() as u64 >= limits.max_claims {
            return Decision::Full;
        }
        let claim = Claim {
            number,
            fingerprint,
            nonce,
            at_ms: self.time_ms,
            status: None,
        };
        self.insert(key, claim);
        Decision::Granted { number }
    }

    /// Records how a claimed request ended; returns whether the claim of that
    /// number is held. Only a claim that has not finished is released.
    pub fn settle(&mut self, key: &ClaimKey, number: u64, settlement: Settlement) -> bool {
        let Some(claim) = self.claims.get_mut(key).filter(|c| c.number == number) else {
            return false;
        };
        match settlement {
            Settlement::Finished(status) => {
                claim.status.get_or_insert(status);
            }
            Settlement::Released if claim.status.is_none() => {
                let nonce = claim.nonce;
                self.remove(number);
                self.closed.insert(nonce);
            }
            Settlement::Released => {}
        }
        true
    }

    /// Gives up an attempt to claim whose answer never reached the claimant:
    /// frees the key if the attempt holds it, and keeps a late frame of the
    /// attempt from claiming it.
    pub fn give_up(&mut self, key: &ClaimKey, nonce: u64) {
        let held = self.claims.get(key);
        if let Some(claim) = held.filter(|c| c.nonce == nonce && c.status.is_none()) {
            let number = claim.number;
            self.remove(number);
        }
        self.closed.insert(nonce);
    }

    pub(crate) fn insert(&mut self, key: ClaimKey, claim: Claim) {
        self.order.insert(claim.number, key);
        self.claims.insert(key, claim);
    }

    fn remove(&mut self, number: u64) {
        if let Some(key) = self.order.remove(&number) {
            self.claims.remove(&key);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &Claim)> {
        let keys = self.order.values();
        keys.filter_map(|key| self.claims.get(key).map(|claim| (key, claim)))
    }

    pub(crate) fn closed(&self) -> &ClosedNonces {
        &self.closed
    }

    pub(crate) fn restored(time_ms: u64, closed: ClosedNonces) -> Self {
        Self {
            closed,
            time_ms,
            ..Self::default()
        }
    }
}

/// Decides on a claim of a key that is held.
fn repeated(held: &Claim, fingerprint: Fingerprint, nonce: u64) -> Decision {
    if held.fingerprint != fingerprint {
        return Decision::KeyReused;
    }
    match held.status {
        Some(status) => Decision::Ran { status },
        None if held.nonce == nonce => Decision::Granted {
            number: held.number,
        },
        None => Decision::MayHaveRun,
    }
}
