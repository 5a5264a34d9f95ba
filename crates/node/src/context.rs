//! The shared state that a role can use while it handles an event.

use crate::agent::Agent;
use crate::allowance::Allowances;
use crate::effect::Effect;
use rand::rngs::SmallRng;
use std::time::Duration;

/// The current time, the daemon's shared state, and the effect buffer.
#[derive(Debug)]
pub struct Cx<'a> {
    /// Time since the VM booted, including time during which it was suspended.
    pub now: Duration,
    /// View of the fleet, configuration, and freshness of both.
    pub agent: &'a mut Agent,
    /// Rate and concurrency limits of the customers.
    pub allowances: &'a mut Allowances,
    /// Seeded random generator.
    pub rng: &'a mut SmallRng,
    /// Effects for the runtime to execute.
    pub tx: &'a mut Vec<Effect>,
}
