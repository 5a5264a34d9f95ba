//! Connections between daemons: one to a peer and kind, dialled on demand.

mod accept;
mod credit;
mod dial;
mod framing;
mod link;
mod retry;
mod socket;
mod stream;

pub(crate) use accept::serve;
pub(crate) use credit::{Credit, Window};
pub(crate) use dial::{link_to, send, watch};
pub(crate) use link::Link;
pub use retry::dial_with_retries;
pub(crate) use stream::StreamHandle;

use compact_str::CompactString;
use node::LinkId;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use wire::LinkKind;

/// Time without a frame or a stream after which a dialled connection closes.
const IDLE: Duration = Duration::from_secs(60);
/// Time that dialling may take.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that dialling may take where a caller waits for it.
const DATA_DIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that one try of dialling may take: longer than the way to a peer and
/// back, shorter than the second after which the system tries again.
const TRY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between looks at connections on which requests are under way.
const WATCH: Duration = Duration::from_millis(150);
/// Time that a peer may take to introduce itself.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Every open connection to another daemon.
#[derive(Debug, Default)]
pub(crate) struct Links {
    /// Connections that this daemon dialled.
    pub(crate) dialled: Mutex<HashMap<(CompactString, LinkKind), Arc<Link>>>,
    /// Connections that peers dialled.
    pub(crate) accepted: Mutex<HashMap<LinkId, Arc<Link>>>,
}
