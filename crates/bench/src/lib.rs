//! Fleets of real processes on loopback, for measurements.
//!
//! Starts daemons and example upstreams, generates load, measures processor
//! time and memory, and kills the processes when the fleet is dropped. Contains
//! no logic of the product.

pub mod cost;
pub mod fit;
pub mod fleet;
pub mod load;
pub mod operator;
pub mod process;
pub mod session;
