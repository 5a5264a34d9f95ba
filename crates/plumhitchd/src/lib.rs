//! The daemon: turns sockets, timers and disk completions into the reducer's
//! events and carries its effects out. It decides nothing itself.

mod clock;
mod dialect;
mod disk;
mod endpoints;
mod entry_http;
mod gate_http;
mod handle;
mod http_headers;
mod inbox;
mod links;
mod logging;
mod metrics;
mod operators_http;
mod options;
mod process;
mod reload;
mod runtime;
mod stop;

pub use clock::unix_ms;
pub use dialect::{
    Answering, ApiRequest, ApiResponse, Dialect, Endpoint, HeaderNames, ReadSettings, Respond,
    SettingsSource,
};
pub use handle::Handle;
pub use links::persist;
pub use options::{main, run};
