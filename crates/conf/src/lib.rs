//! Settings of a daemon and the operators' two lists.
//!
//! Both are INI. Everything that is wrong is collected with its place and
//! reported together.

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

pub use finding::{Finding, Findings};
pub use lists::{
    Class, Customers, KeyRule, MAX_CLASSES, MAX_CUSTOMERS, MAX_LIST_BYTES, MAX_PLANS, Plan, Plans,
    check_lists, parse_customers, parse_lists, parse_plans,
};
pub use routes::{MAX_ROUTES, RouteTable};
pub use settings::{
    ControlSettings, DaemonSettings, GateSettings, LimitSettings, ListenSettings, LogSettings,
    OperatorSettings, QuotaSettings, RoutingSettings, Settings, StopSettings, UpstreamSettings,
};
pub use state::{
    ChangeCommand, ConfigSnapshot, ConfigState, Configuration, MAX_HISTORY, MAX_PAGE_BYTES,
    MAX_REMEMBERED_CHANGES, PageOutcome, TransferReceiver, Transfers, prepare_change,
};
