//! ScoredCandidate of an upstream, and the budgets for probes, retries and hedges.

mod budget;
mod eject;
mod finish;
mod peers;
mod picker;
mod policy;
mod quantile;
mod record;
mod rendezvous;
mod score;
mod straggler;

pub use budget::{MeasuringBudget, MeasuringCount, RatioBudget, RatioLimits};
pub use picker::{Candidate, Estimate, PickRequest, PickSettings, Picker, Reply};
pub use policy::{Policy, ScoredCandidate};
pub use quantile::Quantiles;
pub use rendezvous::rendezvous;
