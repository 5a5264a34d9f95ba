//! Parses a daemon's settings and the operators' plan and customer lists, and
//! keeps the versioned configuration as a replicated state machine.
//!
//! Settings and lists are INI. All problems in a text are collected with their
//! locations and reported together.

mod customers;
mod finding;
mod ini;
mod lists;
mod nearest;
mod parse;
mod reader;
mod routes;
mod settings;
mod state;
mod value;

pub use customers::routing_without_keys;
pub use finding::{Finding, Findings};
pub use lists::{
    Class, Customers, KeyRule, MAX_CLASSES, MAX_CUSTOMERS, MAX_LIST_BYTES, MAX_PLANS, Plan, Plans,
    check_lists, parse_customers, parse_lists, parse_plans,
};
pub use routes::{MAX_ROUTES, RouteTable, normalise_host};
pub use settings::{
    ControlSettings, DaemonSettings, GateSettings, LimitSettings, ListenSettings, LogSettings,
    OperatorSettings, QuotaSettings, RolloutSettings, RoutingSettings, Settings, StopSettings,
    UpstreamSettings,
};
pub use state::{
    ChangeCommand, ConfigSnapshot, ConfigState, Configuration, MAX_HISTORY, MAX_PAGE_BYTES,
    MAX_REMEMBERED_CHANGES, PageOutcome, RolloutStep, TransferReceiver, Transfers, prepare_change,
};
