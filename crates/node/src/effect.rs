//! The effects that the runtime executes for a daemon.

use crate::event::LinkId;
use crate::{admission, entry};
use compact_str::CompactString;
use wire::{Body, LinkKind, control_reply};

/// An action for the runtime. Effects are executed in order.
#[derive(Debug)]
pub enum Effect {
    /// Sends a message over the connection of this kind to an address. The
    /// connection is dialled on demand.
    Send {
        /// Peer address, `ip:port`.
        address: CompactString,
        /// Kind of connection.
        kind: LinkKind,
        /// The message.
        body: Body,
    },
    /// Sends a reply over an accepted connection, if it is still open.
    Reply {
        /// The connection.
        link: LinkId,
        /// The message.
        body: Body,
    },
    /// An action for a request that a caller sent to this daemon.
    Entry(entry::Effect),
    /// An action for the upstream on the same VM.
    Admission(admission::Effect),
    /// Replies to an operator.
    OperatorReply {
        /// Id of the request.
        id: u64,
        /// The reply, or `None` if no leader confirmed an outcome in time.
        reply: Option<control_reply::Kind>,
    },
    /// Starts a disk operation of the control replica. Operations are executed
    /// in order.
    Disk(replica::DiskOp),
    /// Writes a log line.
    Log(LogLine),
}

/// A log line, written as `event=NAME` and `key=value` pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Severity.
    pub level: log::Level,
    /// Event name in snake case.
    pub event: &'static str,
    /// Keys and values, in the order in which they are written.
    pub pairs: Vec<(&'static str, String)>,
}
