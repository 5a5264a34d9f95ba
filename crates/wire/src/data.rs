//! Messages of the request path, between an entry and a gate.
//!
//! An entry sends each request on a stream of its own, with credit-based flow
//! control of the bodies. The gate either refuses it without running it, or sends
//! it to the upstream and returns the response.

use bytes::Bytes;

/// One HTTP header.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Header {
    /// Name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value, as bytes because HTTP allows more than UTF-8.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Starts a request at a gate.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Open {
    /// Number of the stream, chosen by the entry and never reused on a connection.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Requested service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Customer whose plan applies to the request.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// Request class.
    #[prost(string, tag = "4")]
    pub class: String,
    /// HTTP method.
    #[prost(string, tag = "5")]
    pub method: String,
    /// Path with the query.
    #[prost(string, tag = "6")]
    pub path: String,
    /// Headers for the upstream.
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<Header>,
    /// Time left until the deadline when the frame was sent, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
    /// Retries that this request and all calls below it may still use.
    #[prost(uint32, tag = "9")]
    pub retry_budget: u32,
    /// Depth in the call tree, from 1.
    #[prost(uint32, tag = "10")]
    pub depth: u32,
    /// Hash by which the request is recognised when it is sent again.
    #[prost(fixed64, tag = "11")]
    pub fingerprint: u64,
    /// Number of the claim under which a non-idempotent request runs, or 0.
    #[prost(uint64, tag = "12")]
    pub claim: u64,
    /// Whether the request may run more than once.
    #[prost(bool, tag = "13")]
    pub idempotent: bool,
    /// Body length in bytes, if the caller declared one.
    #[prost(uint64, optional, tag = "14")]
    pub body_len: Option<u64>,
    /// First bytes of the body.
    #[prost(bytes = "bytes", tag = "15")]
    pub body: Bytes,
    /// Whether `body` is the complete body.
    #[prost(bool, tag = "16")]
    pub end: bool,
    /// Weight of the class under overload; classes of higher weight are shed later.
    #[prost(uint32, tag = "17")]
    pub weight: u32,
    /// Whether the entry saw the request in flight at a crash of an upstream, so
    /// that it must run exclusively.
    #[prost(bool, tag = "18")]
    pub suspected: bool,
    /// Latency objective of the response, in milliseconds; 0 for none.
    #[prost(uint64, tag = "19")]
    pub objective_ms: u64,
    /// Slowness that the entry assumes for the upstream: service time in percent of
    /// the normal one, or 0 if its choice does not depend on that.
    #[prost(uint32, tag = "20")]
    pub believed_slow_percent: u32,
    /// Whether the gate must not run the request before it has received the complete
    /// body, of which the rest follows in [`Data`] frames. Gates of protocol version 1
    /// ignore it.
    #[prost(bool, tag = "21")]
    pub hold_body: bool,
    /// Latest restriction of the upstream that the entry knows, for a gate that has
    /// started again.
    #[prost(message, optional, tag = "22")]
    pub known_restriction: Option<Restriction>,
}

impl Open {
    /// Reduces the times that are left by a time that has passed.
    pub fn subtract_time(&mut self, passed_ms: u64) {
        self.deadline_ms = self.deadline_ms.saturating_sub(passed_ms);
        if self.objective_ms > 0 {
            // Zero would mean that there is no objective.
            self.objective_ms = self.objective_ms.saturating_sub(passed_ms).max(1);
        }
    }
}

/// Bytes of a body, in either direction.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Data {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Position of the first byte in the body; a gap resets the stream.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub bytes: Bytes,
    /// Whether the body is complete with these bytes.
    #[prost(bool, tag = "4")]
    pub end: bool,
    /// With `end` on a response: load of the gate's upstream after the request has
    /// ended.
    #[prost(message, optional, tag = "5")]
    pub load: Option<Load>,
}

/// Allows the peer to send more body bytes on a stream.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Credit {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Number of additional bytes allowed.
    #[prost(uint32, tag = "2")]
    pub bytes: u32,
}

/// Status and headers of a response.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResponseHead {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers for the caller.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Body length in bytes, if the upstream declared one.
    #[prost(uint64, optional, tag = "4")]
    pub body_len: Option<u64>,
    /// Load of the gate's upstream.
    #[prost(message, optional, tag = "5")]
    pub load: Option<Load>,
    /// First bytes of the body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: Bytes,
    /// Whether `body` is the complete body.
    #[prost(bool, tag = "7")]
    pub end: bool,
    /// What the upstream states about itself. Absent if it never stated anything and the
    /// entry knows of nothing.
    #[prost(message, optional, tag = "8")]
    pub restriction: Option<Restriction>,
}

/// What a start of an upstream states in its responses, because of which it gets fewer
/// requests or none.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Restriction {
    /// Hash of the boot id of the start that states it.
    #[prost(fixed64, tag = "1")]
    pub start: u64,
    /// Whether it is leaving.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Maximum rate from all entries together, in thousandths of a request a second.
    #[prost(uint64, optional, tag = "3")]
    pub rate_milli: Option<u64>,
    /// Time for which the entry should send nothing because of the rate, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub pause_ms: u32,
}

/// Load of an upstream, with exact request counts from its gate.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Load {
    /// Requests that run at the upstream.
    #[prost(uint32, tag = "1")]
    pub in_flight: u32,
    /// Requests that the gate currently admits at once; below the announced slots
    /// during a cold start.
    #[prost(uint32, tag = "2")]
    pub limit: u32,
    /// Recent service time, in microseconds.
    #[prost(uint32, tag = "3")]
    pub service_us: u32,
    /// Whether the upstream is in its cold start.
    #[prost(bool, tag = "4")]
    pub cold: bool,
    /// Requests that wait for a slot.
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
    /// Current service time in percent of the normal one; 0 if the upstream does
    /// not report it.
    #[prost(uint32, tag = "6")]
    pub slow_percent: u32,
}

/// A gate reports its load to an entry that recently sent requests to it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoadUpdate {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Load of the upstream.
    #[prost(message, required, tag = "2")]
    pub load: Load,
}

/// Why a gate did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RefuseReason {
    /// Not specified.
    Unknown = 0,
    /// All slots are in use.
    NoSlot = 1,
    /// The upstream is in its cold start and the slots allowed then are in use.
    Cold = 2,
    /// The upstream is leaving.
    Leaving = 3,
    /// Operators have taken the data centre or the upstream out, or a rollout excludes
    /// the version of the upstream.
    Out = 4,
    /// The daemon's state from control is stale.
    Stale = 5,
    /// The daemon is stopping.
    Stopping = 6,
    /// No upstream has announced itself here, or it runs another service.
    NoUpstream = 7,
    /// The deadline has passed.
    Deadline = 8,
    /// The request is suspected of a crash and must run exclusively, at another
    /// upstream.
    Suspect = 9,
    /// The request is convicted of crashing upstreams.
    Convicted = 10,
    /// The upstream refused the connection, so nothing reached it.
    Unreachable = 11,
    /// A request with this claim was already sent to the upstream.
    Duplicate = 12,
    /// The request is not well-formed.
    Malformed = 13,
    /// The upstream received the request and reported that it did not run it.
    Rejected = 14,
    /// The upstream is slower than the entry expected when it chose it.
    Slow = 15,
    /// The upstream has got as many requests as the rate that it states allows. Entries
    /// of protocol versions below 3 get `NoSlot` instead.
    Limited = 16,
}

/// The gate did not run the request, so that it may be sent elsewhere. Unless the
/// reason is `Rejected`, nothing of it has reached the upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refuse {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Reason for the refusal.
    #[prost(enumeration = "RefuseReason", tag = "2")]
    pub reason: i32,
    /// Load of the gate's upstream.
    #[prost(message, optional, tag = "3")]
    pub load: Option<Load>,
    /// Time after which to retry, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub retry_after_ms: u32,
    /// For `Suspect`: the only upstream that may run it.
    #[prost(string, tag = "5")]
    pub only_at: String,
    /// What the upstream states about itself, as in [`ResponseHead`].
    #[prost(message, optional, tag = "6")]
    pub restriction: Option<Restriction>,
    /// For `NoSlot`: time for which the entry should send no request that ranks no higher
    /// than this one, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub pause_ms: u32,
}

/// Why a stream ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResetReason {
    /// Not specified.
    Unknown = 0,
    /// The connection to the upstream failed; the request may have run.
    Broken = 1,
    /// The deadline passed while the request ran.
    Deadline = 2,
    /// Bytes were missing, or exceeded the declared length.
    Corrupt = 3,
}

/// The request was sent to the upstream but has no complete response.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reset {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Reason for the reset.
    #[prost(enumeration = "ResetReason", tag = "2")]
    pub reason: i32,
    /// Load of the gate's upstream.
    #[prost(message, optional, tag = "3")]
    pub load: Option<Load>,
}

/// The entry no longer needs the response: the caller disconnected or the
/// deadline has passed.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Cancel {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
}

/// State of a request that was in flight when an upstream crashed. A request that
/// crashes upstreams would otherwise take down one after the other as it is
/// retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// Not specified.
    Unknown = 0,
    /// It was in flight at one crash; it may only run exclusively, at one upstream.
    Suspected = 1,
    /// It crashed a second upstream while running exclusively; all daemons refuse it.
    Convicted = 2,
    /// It ran to its end without a crash.
    Acquitted = 3,
    /// It was in flight at crashes of one gate's upstream. Sent to the control leader
    /// where suspected requests are not isolated.
    Crashed = 4,
}

/// The verdict on one request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectState {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The verdict.
    #[prost(enumeration = "Verdict", tag = "2")]
    pub verdict: i32,
    /// The only upstream that may run it while it is suspected, or once although it is
    /// convicted.
    #[prost(string, tag = "3")]
    pub only_at: String,
    /// Time for which the verdict is valid, in milliseconds from receipt.
    #[prost(uint64, tag = "4")]
    pub expires_ms: u64,
    /// For [`Verdict::Crashed`]: number of crashes of the gate's upstream at which it was
    /// in flight, since the gate's start.
    #[prost(uint32, tag = "5")]
    pub crashes: u32,
    /// Time since the first crash at which it was in flight, in milliseconds, if the
    /// verdict is based on a count of crashes.
    #[prost(uint64, optional, tag = "6")]
    pub since_ms: Option<u64>,
}

/// A gate reports suspected requests to the other gates of its service, and to the
/// control leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspect {
    /// Service whose upstream crashed.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Verdicts on the requests.
    #[prost(message, repeated, tag = "2")]
    pub states: Vec<SuspectState>,
    /// Name of the reporting daemon, if it counts crashes.
    #[prost(string, tag = "3")]
    pub daemon: String,
    /// Random number of the reporting daemon's start.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
}
