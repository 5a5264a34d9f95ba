//! The replicated state machine: configuration and claims.

use super::command::{Command, Item, Operation};
use bytes::Bytes;
use claims::{ClaimKey, Claims, ClaimsSnapshot, Decision, Limits, Settlement};
use conf::{ConfigSnapshot, ConfigState};
use prost::Message;
use std::fmt;
use wire::{
    ClaimDecision, ClaimOutcome, ClaimRequest, ClaimSettle, LogIndex, SettleKind, control_reply,
};

/// Version of the snapshot's format.
const FORMAT: u32 = 1;
/// Low bits of a claim number that hold the position in its log entry.
const POSITION_BITS: u32 = 16;

/// Answer to an item, for whoever asked.
pub(super) type ItemAnswer = Option<control_reply::Kind>;

/// Why the state machine can't follow the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum MachineError {
    /// An entry can't be read.
    Unreadable(LogIndex),
    /// An entry holds something that this program doesn't know.
    Unknown(LogIndex),
    /// The snapshot can't be read.
    Snapshot(String),
    /// The snapshot has a format that this program doesn't know.
    Format(u32),
}

impl fmt::Display for MachineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(index) => write!(f, "log entry {index} can't be read"),
            Self::Unknown(index) => write!(f, "log entry {index} is of a newer program"),
            Self::Snapshot(reason) => write!(f, "the snapshot can't be read: {reason}"),
            Self::Format(format) => write!(f, "the snapshot has the unknown format {format}"),
        }
    }
}

/// Configuration and claims.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Machine {
    pub(super) config: ConfigState,
    pub(super) claims: Claims,
    claim_salt: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Snapshot {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(message, required, tag = "2")]
    config: ConfigSnapshot,
    #[prost(message, required, tag = "3")]
    claims: ClaimsSnapshot,
    #[prost(fixed64, tag = "4")]
    claim_salt: u64,
}

impl Machine {
    /// Applies an entry and returns the answers to its items.
    pub(super) fn apply(
        &mut self,
        index: LogIndex,
        command: &Bytes,
    ) -> Result<Vec<ItemAnswer>, MachineError> {
        let command =
            Command::decode(command.as_ref()).map_err(|_| MachineError::Unreadable(index))?;
        if command.items.iter().any(|i| i.operation.is_none()) {
            return Err(MachineError::Unknown(index));
        }
        let limits = Limits {
            retention_ms: command.retention_ms,
            max_claims: command.max_claims,
        };
        self.claims.advance(command.time_ms, limits);
        let numbers = (index << POSITION_BITS)..;
        let items = numbers.zip(command.items);
        Ok(items.map(|(n, item)| self.item(n, item, limits)).collect())
    }

    fn item(&mut self, number: u64, item: Item, limits: Limits) -> ItemAnswer {
        match item.operation? {
            Operation::Initialise(initialise) => {
                if self.config.current().version == 0 {
                    self.config.initialise();
                    self.claim_salt = initialise.claim_salt;
                }
                None
            }
            Operation::Change(change) => {
                Some(control_reply::Kind::Change(self.config.apply(change)))
            }
            Operation::Claim(claim) => {
                let outcome = self.claim(number, &claim, limits);
                Some(control_reply::Kind::Claim(outcome))
            }
            Operation::Settle(settle) => Some(control_reply::Kind::Claim(self.settle(&settle))),
            Operation::Routing(change) => {
                let outcome = self.config.apply_routing(&change);
                Some(control_reply::Kind::Change(outcome))
            }
            Operation::DataCentre(order) => {
                let outcome = self.config.apply_data_centre(&order);
                Some(control_reply::Kind::Change(outcome))
            }
        }
    }

    fn claim(&mut self, number: u64, claim: &ClaimRequest, limits: Limits) -> ClaimOutcome {
        let key = self.key(&claim.customer, &claim.service, &claim.key);
        let decision = self
            .claims
            .claim(key, claim.fingerprint, claim.nonce, number, limits);
        let (decision, claim, status) = match decision {
            Decision::Granted { number } => (ClaimDecision::Granted, number, 0),
            Decision::Ran { status } => (ClaimDecision::Ran, 0, u32::from(status)),
            Decision::MayHaveRun => (ClaimDecision::MayHaveRun, 0, 0),
            Decision::KeyReused => (ClaimDecision::KeyReused, 0, 0),
            Decision::Full => (ClaimDecision::Full, 0, 0),
        };
        ClaimOutcome {
            decision: decision as i32,
            claim,
            status,
        }
    }

    fn settle(&mut self, settle: &ClaimSettle) -> ClaimOutcome {
        let key = self.key(&settle.customer, &settle.service, &settle.key);
        let status = u16::try_from(settle.status).unwrap_or_default();
        let settled = match settle.kind() {
            SettleKind::Released if settle.claim == 0 => {
                self.claims.give_up(&key, settle.nonce);
                true
            }
            SettleKind::Released => self.claims.settle(&key, settle.claim, Settlement::Released),
            SettleKind::Finished => {
                self.claims
                    .settle(&key, settle.claim, Settlement::Finished(status))
            }
            SettleKind::Unknown => false,
        };
        let decision = if settled {
            ClaimDecision::Settled
        } else {
            ClaimDecision::Unknown
        };
        ClaimOutcome {
            decision: decision as i32,
            claim: settle.claim,
            status: 0,
        }
    }

    fn key(&self, customer: &str, service: &str, key: &str) -> ClaimKey {
        ClaimKey::new(self.claim_salt, customer, service, key)
    }

    /// Returns the state for a snapshot.
    pub(super) fn snapshot(&self) -> Bytes {
        let snapshot = Snapshot {
            format: FORMAT,
            config: self.config.snapshot(),
            claims: self.claims.snapshot(),
            claim_salt: self.claim_salt,
        };
        snapshot.encode_to_vec().into()
    }

    /// Restores the state out of a snapshot.
    pub(super) fn restore(state: &Bytes) -> Result<Self, MachineError> {
        let unreadable = |reason: String| MachineError::Snapshot(reason);
        let snapshot = Snapshot::decode(state.as_ref()).map_err(|e| unreadable(e.to_string()))?;
        if snapshot.format != FORMAT {
            return Err(MachineError::Format(snapshot.format));
        }
        let config = ConfigState::restore(snapshot.config)
            .map_err(|findings| unreadable(findings.lines().join("; ")))?;
        Ok(Self {
            config,
            claims: Claims::restore(&snapshot.claims),
            claim_salt: snapshot.claim_salt,
        })
    }
}
