//! The state machine that grants, settles and expires claims.

use crate::closed::ClosedNonces;
use crate::key::ClaimKey;
use std::collections::BTreeMap;
use wire::Fingerprint;

/// Limits from the leader's settings. Each log command contains them, so that
/// all replicas apply the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time for which a claim is kept, in milliseconds of log time.
    pub retention_ms: u64,
    /// Maximum number of claims kept.
    pub max_claims: u64,
}

/// The result of an attempt to claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The claimant may run the request once.
    Granted {
        /// Number of the claim.
        number: u64,
    },
    /// The request has already completed.
    Ran {
        /// HTTP status of the response.
        status: u16,
    },
    /// Another attempt holds the claim: the request is running or may have run.
    MayHaveRun,
    /// The key was used for a different request.
    KeyReused,
    /// The maximum number of claims is reached; nothing was claimed.
    Full,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// It ran and the complete response arrived, with this HTTP status.
    Finished(u16),
    /// It did not run.
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

/// The claims within the retention time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claims {
    claims: BTreeMap<ClaimKey, Claim>,
    /// Keys by claim number, which is also the order in which claims expire.
    order: BTreeMap<u64, ClaimKey>,
    closed: ClosedNonces,
    time_ms: u64,
}

impl Claims {
    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the log time, in milliseconds.
    #[must_use]
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Advances the log time, which never goes back, and removes the claims
    /// whose retention time has passed.
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

    /// Claims the right to run a request once. `number` becomes the number of
    /// a granted claim and must be higher than all earlier ones.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        fingerprint: Fingerprint,
        nonce: u64,
        number: u64,
        limits: Limits,
    ) -> Decision {
        if let Some(held) = self.claims.get(&key) {
            return decide_held(held, fingerprint, nonce);
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

    /// Records how a claimed request ended; returns whether `number` holds the
    /// key. A finished claim can't be released.
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

    /// Gives up an attempt to claim whose outcome never reached the claimant.
    ///
    /// Frees the key if the attempt holds it, and remembers the nonce so that a
    /// delayed message of the attempt can't claim the key later.
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

    pub(crate) fn without_claims(time_ms: u64, closed: ClosedNonces) -> Self {
        Self {
            closed,
            time_ms,
            ..Self::default()
        }
    }
}

/// Decides on an attempt to claim a key that is already held. The attempt that
/// holds it is granted again, so that a claim can be resent.
fn decide_held(held: &Claim, fingerprint: Fingerprint, nonce: u64) -> Decision {
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
