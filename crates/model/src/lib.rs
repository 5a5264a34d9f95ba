//! A discrete-event simulation of the served systems, for evaluating routing
//! and admission decisions.
//!
//! Upstreams, callers and network latency are modelled. The decisions are made
//! by the daemons' own state machines from the `node` crate, which receive the
//! events that the runtime would send. Control is simulated by a stub that
//! replies to every heartbeat, so the model covers load but not the replication
//! protocol. Time is simulated, and a run with the same seed gives the same
//! result.

mod central_queue;
mod experiment;
mod faults;
mod fleet;
mod options;
mod report;
mod router;
mod simulation;
mod tally;
mod upstream;

pub use experiment::{Experiment, Variant};
pub use options::main;
pub use simulation::simulate;
pub use tally::{ClassTally, CustomerTally, Tally};
