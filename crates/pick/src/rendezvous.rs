//! Rendezvous hashing: daemons with the same set of upstreams choose the same
//! one without communication.

use wire::UpstreamId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the upstream with the highest hash for a key.
pub fn rendezvous<'a>(
    key: u64,
    upstreams: impl Iterator<Item = &'a UpstreamId>,
) -> Option<&'a UpstreamId> {
    upstreams.max_by_key(|name| xxh3_64_with_seed(name.as_bytes(), key))
}
