//! Names and numbers that identify objects across daemons.

use compact_str::CompactString;
use xxhash_rust::xxh3::Xxh3;

/// Name of a daemon from its settings, unique in the fleet.
pub type DaemonId = CompactString;
/// Name of an upstream: the name of the daemon on its VM.
pub type UpstreamId = CompactString;
/// Name of a service.
pub type ServiceId = CompactString;
/// Name of a customer.
pub type CustomerId = CompactString;
/// Name of a plan.
pub type PlanId = CompactString;
/// Name of a request class.
pub type ClassId = CompactString;
/// Name of a data centre.
pub type DataCentreId = CompactString;
/// Id chosen by the operator that makes a configuration change idempotent.
pub type ChangeId = CompactString;
/// Id of a control replica, generated when its data folder is created.
pub type ReplicaId = u64;
/// Election term of the replicated log.
pub type Term = u64;
/// Position in the replicated log, from 1.
pub type LogIndex = u64;
/// Version of the configuration, incremented by every accepted change.
pub type ConfigVersion = u64;
/// Number of a request within the daemon that received it from the caller.
pub type RequestId = u64;
/// Number of an attempt within its request, from 1.
pub type AttemptId = u32;
/// Number of a stream within a connection.
pub type StreamId = u64;
/// Hash by which a request is recognised when its caller sends it again.
pub type Fingerprint = u64;

/// Hash of the boot id of a start of an upstream.
pub type StartHash = u64;

/// Hashes the boot id of a start of an upstream.
#[must_use]
pub fn start_hash(boot: &str) -> StartHash {
    xxhash_rust::xxh3::xxh3_64(boot.as_bytes())
}

/// Hashes what identifies a request, independently of its connection.
///
/// `body` is the part of the body that the entry buffered before it sent the request, and
/// `body_len` is the length of the body if all of it was buffered and it is not empty. A
/// declared length does not identify a request: the same body may be sent without one.
#[must_use]
pub fn fingerprint(
    customer: &str,
    service: &str,
    method: &str,
    path: &str,
    body: &[u8],
    body_len: Option<u64>,
) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in [customer, service, method, path] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&body_len.unwrap_or(u64::MAX).to_le_bytes());
    hasher.update(body);
    hasher.digest()
}
