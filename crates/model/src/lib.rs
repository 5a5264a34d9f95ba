//! A model of the served systems, for work on decisions about load.
//!
//! Upstreams with slots, callers with deadlines and the network between them
//! are modelled; the daemons are the product's own reducers, fed with the
//! events that the runtime would feed them. Control is a stand-in that answers
//! each heartbeat at once: this is a model of load, and not of the cluster's
//! protocol. Time is the model's, and every run with a seed repeats.

mod central;
mod experiment;
mod faults;
mod fleet;
mod options;
mod report;
mod router;
mod tally;
mod upstream;
mod world;

pub use experiment::{Experiment, Variant};
pub use options::main;
pub use tally::{ClassTally, Tally};
pub use world::play;
