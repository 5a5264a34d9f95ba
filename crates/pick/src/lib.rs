//! Load balancing among the upstreams of a service, and the budgets for load
//! measurement, retries and hedges.

mod budget;
mod eject;
mod finish;
mod peers;
mod picker;
mod policy;
mod quantile;
mod reachability;
mod rendezvous;
mod score;
mod service_times;
mod stats;
mod straggler;
mod version_share;

pub use budget::{MeasuringBudget, MeasuringCount, RatioBudget, RatioLimits};
pub use picker::{Candidate, Estimate, PickRequest, PickSettings, Picker, Reply};
pub use policy::{Policy, ScoredCandidate};
pub use quantile::LatencyQuantiles;
pub use reachability::Reachability;
pub use rendezvous::rendezvous;
pub use service_times::Basis;
pub use version_share::VersionShare;
