//! Admission control for one upstream: concurrency limit, cold start, queueing
//! and draining.
//!
//! A single process starts and ends all requests of an upstream, so the count
//! is exact and never exceeds what the upstream can handle.

mod cold;
mod crowding;
mod gate;
mod knee;
mod predecessor;
mod queue;
mod ramp;
mod restart;
mod service_times;
mod slot_order;
mod slots;
mod stated_limit;
mod statement;

pub use cold::ColdLimit;
pub use gate::{Gate, GateLimits, LoadReport, MAX_SLOTS, MIN_SERVER_ERROR, Outcome, Placement};
pub use queue::SlotRequest;
pub use slots::Ticket;
pub use stated_limit::StatedLimit;
pub use statement::{Statement, parse_rate_milli};
