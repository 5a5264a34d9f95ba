//! Messages of the request path, between an entry and a gate.

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
    /// Stream number, chosen by the entry, never used twice on a connection.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Service asked for.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Customer on whose plan the request runs.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// Request class.
    #[prost(string, tag = "4")]
    pub class: String,
    /// HTTP method.
    #[prost(string, tag = "5")]
    pub method: String,
    /// Path with its query.
    #[prost(string, tag = "6")]
    pub path: String,
    /// Headers for the upstream.
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<Header>,
    /// Time left to answer when the frame was sent, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
    /// Retries that the whole call tree below may still spend.
    #[prost(uint32, tag = "9")]
    pub retry_budget: u32,
    /// How many calls deep this call is, from 1.
    #[prost(uint32, tag = "10")]
    pub depth: u32,
    /// What recognises the request when it is sent again.
    #[prost(fixed64, tag = "11")]
    pub fingerprint: u64,
    /// Number of the claim under which a non-idempotent request runs, or 0.
    #[prost(uint64, tag = "12")]
    pub claim: u64,
    /// Whether running the request twice is harmless.
    #[prost(bool, tag = "13")]
    pub idempotent: bool,
    /// Body length in bytes, if the caller announced one.
    #[prost(uint64, optional, tag = "14")]
    pub body_len: Option<u64>,
    /// First bytes of the body.
    #[prost(bytes = "bytes", tag = "15")]
    pub body: Bytes,
    /// Whether `body` is the whole body.
    #[prost(bool, tag = "16")]
    pub end: bool,
    /// Weight of the class under overload; heavier ones are shed later.
    #[prost(uint32, tag = "17")]
    pub weight: u32,
    /// Whether the request was in flight at a crash, as far as the entry saw,
    /// and must run alone.
    #[prost(bool, tag = "18")]
    pub suspected: bool,
    /// Time within which the answer has its full worth, in milliseconds; 0 for
    /// none stated.
    #[prost(uint64, tag = "19")]
    pub objective_ms: u64,
    /// How slow the entry believes the upstream to be, in hundredths of the
    /// usual; 0 when it doesn't choose by that.
    #[prost(uint32, tag = "20")]
    pub believed_slow_percent: u32,
}

/// A piece of a body, in either direction.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Data {
    /// Stream number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Position of the first byte in the body; a gap breaks the stream.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub bytes: Bytes,
    /// Whether the body ends here, whole.
    #[prost(bool, tag = "4")]
    pub end: bool,
    /// With `end` on an answer: the gate's load after the request left.
    #[prost(message, optional, tag = "5")]
    pub load: Option<Load>,
}

/// Allows more body bytes.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Credit {
    /// Stream number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Further bytes allowed.
    #[prost(uint32, tag = "2")]
    pub bytes: u32,
}

/// Status and headers of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResponseHead {
    /// Stream number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers for the caller.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Body length in bytes, if the upstream announced one.
    #[prost(uint64, optional, tag = "4")]
    pub body_len: Option<u64>,
    /// The gate's load.
    #[prost(message, optional, tag = "5")]
    pub load: Option<Load>,
    /// First bytes of the body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: Bytes,
    /// Whether `body` is the whole body.
    #[prost(bool, tag = "7")]
    pub end: bool,
}

/// A gate's exact count of its upstream's work.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Load {
    /// Requests that the upstream works on.
    #[prost(uint32, tag = "1")]
    pub in_flight: u32,
    /// Requests that the gate admits at once now; below the announced slots
    /// during a cold start.
    #[prost(uint32, tag = "2")]
    pub limit: u32,
    /// Recent service time, in microseconds.
    #[prost(uint32, tag = "3")]
    pub service_us: u32,
    /// Whether the upstream is in a cold start.
    #[prost(bool, tag = "4")]
    pub cold: bool,
    /// Requests that wait for a slot.
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
    /// How long work takes there now, in hundredths of the usual; 0 when the
    /// upstream doesn't tell.
    #[prost(uint32, tag = "6")]
    pub slow_percent: u32,
}

/// A gate tells an entry that sent to it lately how loaded its upstream is.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoadUpdate {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its load.
    #[prost(message, required, tag = "2")]
    pub load: Load,
}

/// Why a gate did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RefuseReason {
    /// Not stated.
    Unknown = 0,
    /// Every slot is taken.
    NoSlot = 1,
    /// The upstream is in a cold start and its few slots are taken.
    Cold = 2,
    /// The upstream is leaving.
    Leaving = 3,
    /// Operators have taken the data centre or the upstream out.
    Out = 4,
    /// The daemon has had no fresh word from control.
    Stale = 5,
    /// The daemon is stopping.
    Stopping = 6,
    /// No upstream has announced itself here, or it serves another service.
    NoUpstream = 7,
    /// The deadline has passed.
    Deadline = 8,
    /// The request has crashed an upstream and must run alone, elsewhere.
    Suspect = 9,
    /// The request crashes upstreams.
    Convicted = 10,
    /// The upstream refused the connection, so nothing reached it.
    Unreachable = 11,
    /// A request with this claim was already handed over here.
    Duplicate = 12,
    /// The request is not well-formed.
    Malformed = 13,
    /// The upstream got the request and said that it did not run it.
    Rejected = 14,
    /// The upstream is slower now than the entry believed when it chose.
    Slow = 15,
}

/// The gate did not run the request: nothing of it has reached the upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refuse {
    /// Stream number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Why.
    #[prost(enumeration = "RefuseReason", tag = "2")]
    pub reason: i32,
    /// The gate's load.
    #[prost(message, optional, tag = "3")]
    pub load: Option<Load>,
    /// When to come back, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub retry_after_ms: u32,
    /// For `Suspect`: the only upstream that may run it.
    #[prost(string, tag = "5")]
    pub only_at: String,
}

/// How a stream broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResetReason {
    /// Not stated.
    Unknown = 0,
    /// The upstream broke the connection; the request may have run.
    Broken = 1,
    /// The deadline passed while the request ran.
    Deadline = 2,
    /// Bytes went missing or exceeded what was announced.
    Corrupt = 3,
}

/// The request was handed to the upstream but has no whole answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reset {
    /// Stream number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// How it broke.
    #[prost(enumeration = "ResetReason", tag = "2")]
    pub reason: i32,
    /// The gate's load.
    #[prost(message, optional, tag = "3")]
    pub load: Option<Load>,
}

/// The entry no longer wants the answer: its caller left or the deadline passed.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Cancel {
    /// Stream number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
}

/// What is known about a request that was in flight at a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// Not stated.
    Unknown = 0,
    /// It was in flight at one crash; it runs alone, at one upstream.
    Suspected = 1,
    /// It crashed a second upstream while alone; it is refused everywhere.
    Convicted = 2,
    /// It ran alone without a crash.
    Acquitted = 3,
}

/// One request's standing.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectState {
    /// The request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Its standing.
    #[prost(enumeration = "Verdict", tag = "2")]
    pub verdict: i32,
    /// The only upstream that may run it while suspected.
    #[prost(string, tag = "3")]
    pub only_at: String,
    /// How long the standing holds, in milliseconds from receipt.
    #[prost(uint64, tag = "4")]
    pub expires_ms: u64,
}

/// A gate tells the other gates of its service about suspected requests.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspect {
    /// Service whose upstream crashed.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The requests.
    #[prost(message, repeated, tag = "2")]
    pub states: Vec<SuspectState>,
}
