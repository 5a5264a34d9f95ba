//! Membership of the fleet.
//!
//! The control leader registers daemons from their heartbeats in a [`Registry`]
//! and sends each daemon the changes to the services that it subscribes to. A
//! daemon keeps them in a [`FleetView`], and a [`Freshness`] tracks how old
//! control's newest confirmation is.

mod checksums;
mod departures;
mod freshness;
mod homes;
mod registry;
mod rollout;
mod view;

pub use departures::{Departures, DeregisteredStart};
pub use freshness::Freshness;
pub use homes::{MAX_HOMES, homes_hash};
pub use registry::{HomeOptions, RegisteredUpstream, Registry};
pub use rollout::{ROLLOUT_CONFIRMATION, is_excluded, is_shared, is_unfinished};
pub use view::{FleetView, SUBSCRIPTION_IDLE, ServiceView, Upstream};
