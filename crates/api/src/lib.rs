//! Paths and JSON bodies of a daemon's HTTP endpoints for operators and for the
//! upstream beside it.

mod announce;
mod change;
mod paths;
mod rollout;
mod status;

pub use announce::AnnounceBody;
pub use change::{
    ChangeBody, ErrorBody, HistoryBody, HistoryItem, Operation, OutcomeBody, Verdict,
};
pub use paths::{ANNOUNCE, CHANGES, HEALTH, HISTORY, INITIALISE, METRICS, ROLLOUTS, STATUS};
pub use rollout::{RolloutBody, RolloutOrderBody, RolloutState};
pub use status::{ServiceStatus, StatusBody, UpstreamStatus};
