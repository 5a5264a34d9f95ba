//! Connections between daemons. There is one per peer and kind, dialled on
//! demand, so that request bodies do not delay control traffic.

mod accept;
mod active_read;
mod credit;
mod dial;
mod framing;
mod link;
mod retry;
mod socket;
mod stream;

pub(crate) use accept::serve;
pub(crate) use credit::{Credit, Window};
pub(crate) use dial::{link_to, monitor, send};
pub(crate) use link::Link;
pub use retry::dial_with_retries;
pub(crate) use stream::{SendProgress, StreamHandle};

use compact_str::CompactString;
use node::LinkId;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use wire::LinkKind;

/// Id shared by all connections that this daemon dialled.
const DIALLED: LinkId = 0;
/// Time without frames and streams after which a dialled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time to establish a connection.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to establish a connection for requests, where a caller waits.
const DATA_DIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time of one connection attempt: longer than the round trip to a peer,
/// shorter than the one second after which the kernel retransmits a SYN.
const DIAL_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between liveness checks of dialled connections.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum wait for a peer's `Hello` frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// All open connections to other daemons.
#[derive(Debug, Default)]
pub(crate) struct Links {
    /// Connections that this daemon dialled.
    pub(crate) dialled: Mutex<HashMap<(CompactString, LinkKind), Arc<Link>>>,
    /// Connections that peers dialled.
    pub(crate) accepted: Mutex<HashMap<LinkId, Arc<Link>>>,
}
