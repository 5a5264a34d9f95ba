//! The daemon: turns sockets, timers and disk completions into the reducer's
//! events and carries its effects out. It decides nothing itself.

mod clock;
mod disk;
mod endpoints;
mod entry_http;
mod gate_http;
mod handle;
mod http_headers;
mod integration;
mod links;
mod logging;
mod metrics;
mod operators_http;
mod options;
mod process;
mod reload;
mod runtime;
mod stop;
mod task_messages;

pub use clock::unix_ms;
pub use handle::Handle;
pub use integration::{
    ApiRequest, ApiResponse, Endpoint, HeaderNames, Integration, ReadSettings, RequestHandler,
    ResponseFuture, SettingsSource,
};
pub use links::dial_with_retries;
pub use options::{main, run};
