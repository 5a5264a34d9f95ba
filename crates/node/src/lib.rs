//! The decision logic of a daemon in all its roles, without I/O.
//!
//! [`step`] takes an event and the current time and returns effects as data.
//! The crate uses no clock, socket, file, thread or source of randomness. The
//! daemon's runtime turns socket, timer and disk activity into events and
//! executes the effects, so that tests can run several daemons
//! deterministically in one process.

pub mod admission;
pub mod agent;
pub mod allowance;
pub mod control;
pub mod entry;

mod context;
mod effect;
mod event;
mod millis;
mod node;
mod verdict;

pub use context::Cx;
pub use effect::{Effect, LogLine};
pub use event::{Event, LinkId};
pub use node::{Node, NodeOptions, step};
pub use pick::Policy;
