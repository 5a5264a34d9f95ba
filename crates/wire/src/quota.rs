//! Messages by which entries share a customer's limits.
//!
//! A customer's home daemon keeps its token bucket and grants *blocks* of requests
//! to the entries, each for a limited time.

/// An entry requests a block from a customer's home daemon and reports its usage.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AllowanceRequest {
    /// Number that the [`Allowance`] repeats; higher for each request of an entry.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Requesting daemon.
    #[prost(string, tag = "2")]
    pub daemon: String,
    /// Customer.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// Requests needed until the next block.
    #[prost(uint32, tag = "4")]
    pub wanted: u32,
    /// Unused requests of earlier blocks, returned to the bucket.
    #[prost(uint32, tag = "5")]
    pub returned: u32,
    /// The customer's requests in flight at the entry.
    #[prost(uint32, tag = "6")]
    pub in_flight: u32,
    /// Configuration version of the entry.
    #[prost(uint64, tag = "7")]
    pub config_version: u64,
    /// Requests admitted without a block since the last request; the home takes
    /// them out of the bucket.
    #[prost(uint32, tag = "8")]
    pub unreserved: u32,
    /// Requests that callers try to start at the entry, per 1,000 seconds.
    #[prost(uint32, tag = "9")]
    pub demand: u32,
    /// Requests that callers tried to start since the last request; under a limit of
    /// the routing, those that wait for the reply.
    #[prost(uint32, tag = "10")]
    pub arrivals: u32,
    /// The customer's limit at the entry if the routing states it, in requests per
    /// 1,000 seconds; 0 if a plan states it.
    #[prost(uint64, tag = "11")]
    pub rate_milli: u64,
    /// Requests that may exceed `rate_milli` at once.
    #[prost(uint32, tag = "12")]
    pub burst: u32,
    /// Random number of the entry's start; its request numbers begin anew with each.
    #[prost(uint64, tag = "13")]
    pub incarnation: u64,
}

/// A block granted by a customer's home daemon.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Allowance {
    /// Number of the [`AllowanceRequest`].
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Requests granted.
    #[prost(uint32, tag = "3")]
    pub granted: u32,
    /// Time for which the block is valid, counted from when it was requested, in
    /// milliseconds.
    #[prost(uint32, tag = "4")]
    pub expires_ms: u32,
    /// The entry's share of the customer's in-flight limit.
    #[prost(uint32, tag = "5")]
    pub in_flight_limit: u32,
    /// Time until the entry may request again, in milliseconds; 0 if the
    /// customer is within its limits.
    #[prost(uint32, tag = "6")]
    pub retry_after_ms: u32,
    /// Number of entries that recently had requests of the customer.
    #[prost(uint32, tag = "7")]
    pub entries: u32,
    /// Time until the entry may again admit a request without a block, in
    /// milliseconds.
    #[prost(uint32, tag = "8")]
    pub unreserved_after_ms: u32,
    /// Whether it replies to a request that states a `rate_milli`.
    #[prost(bool, tag = "9")]
    pub from_routing: bool,
    /// Time from when the home decided until the block may be used, in microseconds.
    #[prost(uint64, tag = "10")]
    pub usable_after_us: u64,
    /// Time until the entry may ask again after a reply that grants nothing, in
    /// milliseconds.
    #[prost(uint32, tag = "11")]
    pub ask_after_ms: u32,
}
