//! The events that a daemon handles.

use crate::{admission, entry};
use compact_str::CompactString;
use std::net::SocketAddr;
use std::time::Duration;
use wire::{Body, DaemonId, LinkKind, control_request};

/// Id of an accepted connection, unique within one run of a daemon.
pub type LinkId = u64;

/// An input from the runtime.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event is moved only once, into `step`"
)]
pub enum Event {
    /// Time has passed. Sent at least every 20 ms.
    Tick {
        /// Wall clock, in milliseconds since the Unix epoch. Only displayed to
        /// operators; no decision depends on it.
        unix_ms: u64,
    },
    /// A control, replica, allowance, load or suspicion message arrived. Frames
    /// of request streams arrive as [`Event::Entry`] and [`Event::Admission`].
    Received {
        /// Accepted connection, if the peer dialled. Replies are sent over it.
        link: Option<LinkId>,
        /// Daemon that sent the message.
        daemon: DaemonId,
        /// The message.
        body: Body,
    },
    /// An accepted connection closed.
    LinkClosed(LinkId),
    /// A dialled connection failed or could not be established. Messages sent
    /// over it may be lost.
    LinkFailed {
        /// Peer address, `ip:port`.
        address: CompactString,
        /// Kind of connection.
        kind: LinkKind,
        /// Whether the peer closed the connection in order, as when it stops.
        closed_by_peer: bool,
    },
    /// An event of a request that a caller sent to this daemon.
    Entry(entry::Event),
    /// An event of the upstream on the same VM.
    Admission(admission::Event),
    /// An operator sent a request over HTTP.
    Operator {
        /// Id that the reply carries too.
        id: u64,
        /// The request.
        kind: control_request::Kind,
    },
    /// An operator initialises a new cluster with this daemon's empty replica.
    Initialise,
    /// The data folder of a control replica could be opened after all. The replica with
    /// the recovered state replaces the faulty one.
    ReplicaRecovered(replica::Replica),
    /// A disk operation of the control replica completed.
    DiskDone(replica::DiskDone),
    /// The settings were reloaded and list these control replicas.
    Replicas(Vec<SocketAddr>),
    /// The process is about to stop. The control replica passes its leadership and its vote
    /// on, while the daemon still serves.
    LeaveControl,
    /// The daemon begins a graceful shutdown.
    Stop {
        /// Time since the VM booted at which requests in progress are cut off, if any.
        until: Option<Duration>,
    },
    /// A graceful shutdown ends: callers whose requests are still in progress get a final
    /// response.
    CutOff,
}

impl Event {
    /// Returns the kind of the event, for log lines.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Tick { .. } => "tick",
            Self::Received { body, .. } => match body {
                Body::Heartbeat(_) => "heartbeat",
                Body::HeartbeatReply(_) => "heartbeat_reply",
                Body::ControlRequest(_) => "control_request",
                Body::ControlReply(_) => "control_reply",
                Body::Replica(_) => "replica",
                _ => "message",
            },
            Self::LinkClosed(_) | Self::LinkFailed { .. } => "link_ended",
            Self::Entry(_) => "entry",
            Self::Admission(_) => "admission",
            Self::Operator { .. } => "operator",
            Self::Initialise => "initialise",
            Self::ReplicaRecovered(_) => "replica_recovered",
            Self::DiskDone(_) => "disk_done",
            Self::Replicas(_) => "replicas",
            Self::LeaveControl => "leave_control",
            Self::Stop { .. } => "stop",
            Self::CutOff => "cut_off",
        }
    }
}
