//! What the tests of a gate ask it for.
#![allow(unreachable_pub)]

use gate::{SlotRequest, Ticket};

/// Returns a request for a slot of the tests' service.
pub fn ask(ticket: Ticket) -> SlotRequest {
    SlotRequest {
        ticket,
        service: "booking".into(),
        customer: "".into(),
        share: 1,
        class: "page".into(),
        weight: 1,
        objective: None,
    }
}
