//! The frame that carries every message, and the handshake.

use crate::control::{ControlReply, ControlRequest};
use crate::data::{Cancel, Credit, Data, LoadUpdate, Open, Refuse, Reset, ResponseHead, Suspect};
use crate::heartbeat::{Heartbeat, HeartbeatReply};
use crate::quota::{Allowance, AllowanceRequest};
use crate::replica::ReplicaMessage;

/// Version of the protocol that this program implements.
pub const PROTOCOL_VERSION: u32 = 3;
/// First version whose gates follow [`Open::hold_body`].
pub const HOLD_BODY_VERSION: u32 = 2;
/// First version whose entries know [`RefuseReason::Limited`](crate::RefuseReason::Limited).
pub const LIMITED_VERSION: u32 = 3;

/// One message on a connection between daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The message; absent if a newer peer sent a kind that is unknown here.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19"
    )]
    pub body: Option<Body>,
}

impl Frame {
    /// Wraps a message in a frame.
    #[must_use]
    pub fn new(body: Body) -> Self {
        Self { body: Some(body) }
    }
}

/// The kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// The first frame in each direction.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Starts a request on a new stream.
    #[prost(message, tag = "2")]
    Open(Open),
    /// Bytes of a request's or a response's body.
    #[prost(message, tag = "3")]
    Data(Data),
    /// Allows the peer to send more body bytes on a stream.
    #[prost(message, tag = "4")]
    Credit(Credit),
    /// Status and headers of a response.
    #[prost(message, tag = "5")]
    Response(ResponseHead),
    /// The gate did not run the request.
    #[prost(message, tag = "6")]
    Refuse(Refuse),
    /// The stream ended without a complete response.
    #[prost(message, tag = "7")]
    Reset(Reset),
    /// The entry no longer needs the response.
    #[prost(message, tag = "8")]
    Cancel(Cancel),
    /// State of requests that may crash upstreams.
    #[prost(message, tag = "9")]
    Suspect(Suspect),
    /// An entry requests a block of a customer's quota.
    #[prost(message, tag = "10")]
    AllowanceRequest(AllowanceRequest),
    /// A home grants a block of a customer's quota.
    #[prost(message, tag = "11")]
    Allowance(Allowance),
    /// A daemon reports to the control leader.
    #[prost(message, tag = "12")]
    Heartbeat(Heartbeat),
    /// The control leader's reply to a heartbeat.
    #[prost(message, tag = "13")]
    HeartbeatReply(HeartbeatReply),
    /// A claim, a configuration change or a query for the control leader.
    #[prost(message, tag = "14")]
    ControlRequest(ControlRequest),
    /// The control leader's reply to a control request.
    #[prost(message, tag = "15")]
    ControlReply(ControlReply),
    /// A message of the replicated log.
    #[prost(message, tag = "16")]
    Replica(ReplicaMessage),
    /// A gate reports the load of its upstream.
    #[prost(message, tag = "17")]
    LoadUpdate(LoadUpdate),
    /// Requests a [`Pong`] from the peer, to detect a dead connection.
    #[prost(message, tag = "18")]
    Ping(Ping),
    /// Replies to a [`Ping`].
    #[prost(message, tag = "19")]
    Pong(Pong),
}

/// Requests a [`Pong`] from the peer, to detect a dead connection.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ping {}

/// Replies to a [`Ping`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Pong {}

/// Identifies a daemon on a new connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sending daemon.
    #[prost(string, tag = "2")]
    pub daemon: String,
    /// What the connection is for.
    #[prost(enumeration = "LinkKind", tag = "3")]
    pub kind: i32,
}

/// What a connection is used for. Each kind has its own connection, so that
/// request bodies never delay control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum LinkKind {
    /// Not specified.
    Unknown = 0,
    /// Requests and responses between an entry and a gate, load and suspicions,
    /// and quota blocks.
    Data = 1,
    /// Heartbeats, claims and changes between a daemon and a control replica.
    Control = 2,
    /// The replicated log, between control replicas.
    Replica = 3,
}
