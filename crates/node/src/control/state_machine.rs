//! The replicated state machine, which holds the configuration, the claims, and which
//! upstreams have left.

use super::command::{Command, Item, Operation, OrderRollout};
use bytes::Bytes;
use claims::{ClaimKey, Claims, ClaimsSnapshot, Decision, Limits, Settlement};
use conf::{ConfigSnapshot, ConfigState};
use fleet::Departures;
use prost::Message;
use std::fmt;
use wire::{
    ClaimDecision, ClaimOutcome, ClaimRequest, ClaimSettle, Departure, LogIndex, SettleKind,
    control_reply,
};

/// Version of the snapshot format.
const FORMAT: u32 = 1;
/// Number of low bits of a claim number that hold the item's position in its
/// log entry. The high bits hold the index of the entry.
const POSITION_BITS: u32 = 16;

/// Reply to the request that an item came from.
pub(super) type ItemReply = Option<control_reply::Kind>;

/// The reason for which the state machine cannot apply the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StateMachineError {
    /// A log entry cannot be decoded.
    Unreadable(LogIndex),
    /// A log entry holds an operation that this version does not support.
    Unknown(LogIndex),
    /// The snapshot cannot be decoded.
    Snapshot(String),
    /// The snapshot has a format that this version does not support.
    Format(u32),
}

impl fmt::Display for StateMachineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(index) => write!(f, "cannot decode log entry {index}"),
            Self::Unknown(index) => write!(
                f,
                "log entry {index} holds an operation of a newer version of this program"
            ),
            Self::Snapshot(reason) => write!(f, "cannot read the snapshot: {reason}"),
            Self::Format(format) => write!(
                f,
                "cannot read the snapshot: its format is {format}, this version reads format {FORMAT}"
            ),
        }
    }
}

/// What applying a log entry results in.
#[derive(Clone, Debug, Default)]
pub(super) struct Applied {
    /// The replies to its items.
    pub(super) replies: Vec<ItemReply>,
    /// The departures that it records.
    pub(super) departures: Vec<Departure>,
}

/// The replicated state: configuration, claims and departures of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct StateMachine {
    pub(super) config: ConfigState,
    pub(super) claims: Claims,
    pub(super) departures: Departures,
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
    #[prost(message, repeated, tag = "5")]
    departures: Vec<Departure>,
}

impl StateMachine {
    /// Applies a log entry.
    pub(super) fn apply(
        &mut self,
        index: LogIndex,
        command: &Bytes,
    ) -> Result<Applied, StateMachineError> {
        let command =
            Command::decode(command.as_ref()).map_err(|_| StateMachineError::Unreadable(index))?;
        if command.items.iter().any(|i| i.operation.is_none()) {
            return Err(StateMachineError::Unknown(index));
        }
        let limits = Limits {
            retention_ms: command.retention_ms,
            max_claims: command.max_claims,
        };
        self.claims.advance(command.time_ms, limits);
        let numbers = (index << POSITION_BITS)..;
        let items = numbers.zip(command.items);
        let replies = items.map(|(n, item)| self.apply_item(n, item, limits));
        let replies = replies.collect();
        Ok(Applied {
            replies,
            departures: self.record_departures(command.departures),
        })
    }

    fn record_departures(&mut self, mut departures: Vec<Departure>) -> Vec<Departure> {
        let time_ms = self.claims.time_ms();
        self.departures.expire(time_ms);
        for departure in &mut departures {
            departure.at_ms = time_ms;
            self.departures.record(departure.clone(), time_ms);
        }
        departures
    }

    fn apply_item(&mut self, number: u64, item: Item, limits: Limits) -> ItemReply {
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
            Operation::Routing(mut change) => {
                if change.credential_salt.is_empty() {
                    change.credential_salt = credentials::salt(self.claim_salt);
                }
                let outcome = self.config.apply_routing(&change);
                Some(control_reply::Kind::Change(outcome))
            }
            Operation::DataCentre(order) => {
                let outcome = self.config.apply_data_centre(&order);
                Some(control_reply::Kind::Change(outcome))
            }
            Operation::RolloutOrder(OrderRollout { order, share_ppm }) => {
                let time_ms = self.claims.time_ms();
                let outcome = self.config.apply_rollout_order(&order, share_ppm, time_ms);
                Some(control_reply::Kind::Rollout(outcome))
            }
            Operation::RolloutStep(step) => {
                let time_ms = self.claims.time_ms();
                self.config.apply_rollout_step(&step, time_ms);
                None
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

    /// Encodes the state as a snapshot.
    pub(super) fn snapshot(&self) -> Bytes {
        let snapshot = Snapshot {
            format: FORMAT,
            config: self.config.snapshot(),
            claims: self.claims.snapshot(),
            claim_salt: self.claim_salt,
            departures: self.departures.iter().cloned().collect(),
        };
        snapshot.encode_to_vec().into()
    }

    /// Restores the state from a snapshot.
    pub(super) fn restore(state: &Bytes) -> Result<Self, StateMachineError> {
        let unreadable = |reason: String| StateMachineError::Snapshot(reason);
        let snapshot = Snapshot::decode(state.as_ref()).map_err(|e| unreadable(e.to_string()))?;
        if snapshot.format != FORMAT {
            return Err(StateMachineError::Format(snapshot.format));
        }
        let config = ConfigState::restore(snapshot.config)
            .map_err(|findings| unreadable(findings.lines().join("; ")))?;
        Ok(Self {
            config,
            claims: Claims::restore(&snapshot.claims),
            departures: Departures::restore(snapshot.departures),
            claim_salt: snapshot.claim_salt,
        })
    }
}
