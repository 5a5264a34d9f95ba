//! The daemon's I/O layer: turns socket, timer and disk completions into events
//! of the `node` reducer and executes the effects that it returns. All decisions
//! are made in the reducer.

mod clock;
mod disk;
mod endpoints;
mod entry_http;
mod gate_http;
mod handle;
mod http_headers;
mod http_server;
mod integration;
mod links;
mod listeners;
mod logging;
mod memory;
mod metrics;
mod operators_http;
mod options;
mod process;
mod reload;
mod runtime;
mod settings_file;
mod signals;
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
pub use signals::Signals;
