//! Checksums of a service's upstreams, by which a new leader recognises the view that
//! a daemon received from the previous one.

use wire::{UpstreamInfo, VIEW_BUCKETS};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Returns the bucket of an upstream, by its name.
pub(crate) fn bucket_of(upstream: &str) -> usize {
    usize::try_from(xxh3_64(upstream.as_bytes())).unwrap_or(usize::MAX) % VIEW_BUCKETS
}

/// Returns the checksum of each bucket. The order of the upstreams does not matter.
pub(crate) fn checksums<'a>(upstreams: impl Iterator<Item = &'a UpstreamInfo>) -> Vec<u64> {
    let mut sums = vec![0; VIEW_BUCKETS];
    for upstream in upstreams {
        if let Some(sum) = sums.get_mut(bucket_of(&upstream.upstream)) {
            *sum ^= checksum(upstream);
        }
    }
    sums
}

fn checksum(info: &UpstreamInfo) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [&info.upstream, &info.address, &info.data_centre] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&info.slots.to_le_bytes());
    hasher.update(&[u8::from(info.leaving)]);
    hasher.digest()
}
