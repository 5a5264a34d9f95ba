//! The commands of the replicated state machine, as stored in the log.

use conf::{ChangeCommand, RolloutStep};
use wire::{ClaimRequest, ClaimSettle, DataCentreOrder, Departure, RolloutOrder, RoutingChange};

/// A log entry: the items of one batch.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Command {
    /// Log time, in milliseconds. It advances only while there is a leader.
    #[prost(uint64, tag = "1")]
    pub(super) time_ms: u64,
    /// Retention period of claims, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(super) retention_ms: u64,
    /// Maximum number of claims kept.
    #[prost(uint64, tag = "3")]
    pub(super) max_claims: u64,
    /// Items, in the order in which they are applied.
    #[prost(message, repeated, tag = "4")]
    pub(super) items: Vec<Item>,
    /// Upstreams that leave. They are no items, since replicas of earlier versions halt at
    /// an operation that they do not know; they skip these.
    #[prost(message, repeated, tag = "5")]
    pub(super) departures: Vec<Departure>,
}

/// An operation of a log entry.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Item {
    /// The operation; absent if a newer version wrote one that is unknown here.
    #[prost(oneof = "Operation", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub(super) operation: Option<Operation>,
}

/// Creates the first configuration version.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(super) struct Initialise {
    /// Salt of the hashes that identify claims.
    #[prost(fixed64, tag = "1")]
    pub(super) claim_salt: u64,
}

/// Orders a rollout.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(super) struct OrderRollout {
    /// The order.
    #[prost(message, required, tag = "1")]
    pub(super) order: RolloutOrder,
    /// Share of the first stage, in millionths.
    #[prost(uint32, tag = "2")]
    pub(super) share_ppm: u32,
}

/// The kinds of operation.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(super) enum Operation {
    /// Creates the first configuration version.
    #[prost(message, tag = "1")]
    Initialise(Initialise),
    /// Changes the configuration.
    #[prost(message, tag = "2")]
    Change(ChangeCommand),
    /// Claims a non-idempotent request, which then runs at most once.
    #[prost(message, tag = "3")]
    Claim(ClaimRequest),
    /// Records how a claimed request ended.
    #[prost(message, tag = "4")]
    Settle(ClaimSettle),
    /// Changes the routing.
    #[prost(message, tag = "5")]
    Routing(RoutingChange),
    /// Takes a data centre out of service, or returns it to service.
    #[prost(message, tag = "6")]
    DataCentre(DataCentreOrder),
    /// Orders a rollout.
    #[prost(message, tag = "7")]
    RolloutOrder(OrderRollout),
    /// Makes a step of a rollout.
    #[prost(message, tag = "8")]
    RolloutStep(RolloutStep),
}

impl Item {
    pub(super) fn initialise(claim_salt: u64) -> Self {
        Self::new(Operation::Initialise(Initialise { claim_salt }))
    }

    pub(super) fn change(change: ChangeCommand) -> Self {
        Self::new(Operation::Change(change))
    }

    pub(super) fn claim(claim: ClaimRequest) -> Self {
        Self::new(Operation::Claim(claim))
    }

    pub(super) fn settle(settle: ClaimSettle) -> Self {
        Self::new(Operation::Settle(settle))
    }

    pub(super) fn routing(change: RoutingChange) -> Self {
        Self::new(Operation::Routing(change))
    }

    pub(super) fn data_centre(order: DataCentreOrder) -> Self {
        Self::new(Operation::DataCentre(order))
    }

    pub(super) fn rollout_order(order: RolloutOrder, share_ppm: u32) -> Self {
        Self::new(Operation::RolloutOrder(OrderRollout { order, share_ppm }))
    }

    pub(super) fn rollout_step(step: RolloutStep) -> Self {
        Self::new(Operation::RolloutStep(step))
    }

    fn new(operation: Operation) -> Self {
        Self {
            operation: Some(operation),
        }
    }
}
