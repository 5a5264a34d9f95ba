//! Commands of the replicated state machine.

use conf::ChangeCommand;
use wire::{ClaimRequest, ClaimSettle, DataCentreOrder, RoutingChange};

/// One entry of the log: what arrived close together.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Command {
    /// The log's time, in milliseconds; it counts only while there is a leader.
    #[prost(uint64, tag = "1")]
    pub(super) time_ms: u64,
    /// Time that claims are kept, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(super) retention_ms: u64,
    /// Claims kept at most.
    #[prost(uint64, tag = "3")]
    pub(super) max_claims: u64,
    /// What is done, in order.
    #[prost(message, repeated, tag = "4")]
    pub(super) items: Vec<Item>,
}

/// One thing that is done.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Item {
    /// What is done; absent when a newer program wrote it.
    #[prost(oneof = "Operation", tags = "1, 2, 3, 4, 5, 6")]
    pub(super) operation: Option<Operation>,
}

/// Makes the first configuration version.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(super) struct Initialise {
    /// Salt of the hashes by which claims are known.
    #[prost(fixed64, tag = "1")]
    pub(super) claim_salt: u64,
}

/// The kinds of thing that are done.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(super) enum Operation {
    /// Makes the first configuration version.
    #[prost(message, tag = "1")]
    Initialise(Initialise),
    /// Changes the configuration.
    #[prost(message, tag = "2")]
    Change(ChangeCommand),
    /// Claims the only run of a non-idempotent request.
    #[prost(message, tag = "3")]
    Claim(ClaimRequest),
    /// Says how a claimed request ended.
    #[prost(message, tag = "4")]
    Settle(ClaimSettle),
    /// Changes the routing.
    #[prost(message, tag = "5")]
    Routing(RoutingChange),
    /// Takes a data centre out, or returns it.
    #[prost(message, tag = "6")]
    DataCentre(DataCentreOrder),
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

    fn new(operation: Operation) -> Self {
        Self {
            operation: Some(operation),
        }
    }
}
