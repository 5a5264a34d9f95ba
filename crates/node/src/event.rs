//! Everything that can happen to a daemon.

use crate::{admission, entry};
use compact_str::CompactString;
use std::net::SocketAddr;
use wire::{Body, DaemonId, LinkKind, control_request};

/// Number of an accepted connection, never used twice by a daemon.
pub type LinkId = u64;

/// Something that happened.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event is moved once, into the step"
)]
pub enum Event {
    /// Time has passed; comes at least every 20 ms.
    Tick {
        /// Wall clock, in milliseconds since the Unix epoch; for people only.
        unix_ms: u64,
    },
    /// A control, replica, allowance or suspicion message arrived. Frames of
    /// request streams come as [`Event::Entry`] and [`Event::Admission`].
    Received {
        /// Accepted connection, if the peer dialled; answers go back over it.
        link: Option<LinkId>,
        /// Sending daemon.
        daemon: DaemonId,
        /// The message.
        body: Body,
    },
    /// An accepted connection closed.
    LinkClosed(LinkId),
    /// A dialled connection failed or could not be made; what was sent on it
    /// may be lost.
    LinkFailed {
        /// Peer address, `ip:port`.
        address: CompactString,
        /// What the connection was for.
        kind: LinkKind,
    },
    /// Something happened to a request that callers sent here.
    Entry(entry::Event),
    /// Something happened at the upstream beside this daemon.
    Admission(admission::Event),
    /// An operator asks something over HTTP.
    Operator {
        /// Number by which the answer is matched.
        id: u64,
        /// What is asked.
        kind: control_request::Kind,
    },
    /// An operator makes this daemon's empty replica the first of a cluster.
    Initialise,
    /// A disk operation of the control replica ended.
    DiskDone(replica::DiskDone),
    /// The settings name these addresses of control replicas now.
    Replicas(Vec<SocketAddr>),
    /// A graceful stop begins.
    Stop,
}
