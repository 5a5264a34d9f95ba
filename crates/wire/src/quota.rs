//! Messages by which entries share a customer's allowance.

/// An entry asks a customer's home daemon for a block of the allowance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AllowanceRequest {
    /// Number by which the answer is matched.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Asking daemon.
    #[prost(string, tag = "2")]
    pub daemon: String,
    /// Customer.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// Requests wanted.
    #[prost(uint32, tag = "4")]
    pub wanted: u32,
    /// Requests of earlier blocks given back unused.
    #[prost(uint32, tag = "5")]
    pub returned: u32,
    /// Requests of the customer in flight at the asking entry.
    #[prost(uint32, tag = "6")]
    pub in_flight: u32,
    /// Configuration version under which the entry asks.
    #[prost(uint64, tag = "7")]
    pub config_version: u64,
    /// Requests admitted without a block since the last question.
    #[prost(uint32, tag = "8")]
    pub unreserved: u32,
    /// Requests that callers try to start at the entry in 1,000 seconds.
    #[prost(uint32, tag = "9")]
    pub demand: u32,
    /// Requests that callers tried to start since the last question.
    #[prost(uint32, tag = "10")]
    pub arrivals: u32,
}

/// A block of a customer's allowance, granted by its home daemon.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Allowance {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Requests granted.
    #[prost(uint32, tag = "3")]
    pub granted: u32,
    /// How long the block may be used, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub expires_ms: u32,
    /// This entry's part of the in-flight limit.
    #[prost(uint32, tag = "5")]
    pub in_flight_limit: u32,
    /// When to ask again if nothing was granted, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub retry_after_ms: u32,
    /// Entries that used the customer's allowance lately.
    #[prost(uint32, tag = "7")]
    pub entries: u32,
    /// When a request may be admitted without a block again, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub unreserved_after_ms: u32,
}
