//! Decisions under overload: which requests an entry sends to gates while most would be
//! refused, and how customers share the room.
//!
//! Without I/O and clock. Below the capacity of a service nothing here refuses a request.

mod asking;
mod shares;

pub use asking::{AskBudget, AskRequest};
pub use shares::CustomerShares;
