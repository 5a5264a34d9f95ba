//! Helpers for the tests of the gate.
#![allow(unreachable_pub)]

use gate::{SlotRequest, Ticket};

/// Returns a request for a slot of the service used in the tests.
pub fn slot_request(ticket: Ticket) -> SlotRequest {
    SlotRequest {
        ticket,
        service: "booking".into(),
        customer: "".into(),
        share: 1,
        class: "page".into(),
        weight: 1,
        objective: None,
        is_call: false,
    }
}
