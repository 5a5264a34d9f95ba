//! Admission to one upstream: exact slots, cold start, ramp, drain.
//!
//! One process starts and ends every request of an upstream, so its count is
//! exact and never past what the upstream bears.

mod cold;
mod gate;
mod inheritance;
mod knee;
mod pace;
mod queue;
mod ramp;
mod restart;
mod slots;

pub use cold::ColdLimit;
pub use gate::{Gate, GateLimits, LoadReport, MAX_SLOTS, Outcome, Placement};
pub use queue::SlotRequest;
pub use slots::Ticket;
