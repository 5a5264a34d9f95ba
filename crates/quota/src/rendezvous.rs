//! Assignment of customers to home daemons by rendezvous hashing.

use wire::QuotaHome;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the home of a customer: the daemon with the highest hash of both
/// names. Adding or removing a home moves only the customers of that home.
#[must_use]
pub fn home_of<'a>(customer: &str, homes: &'a [QuotaHome]) -> Option<&'a QuotaHome> {
    let seed = xxh3_64_with_seed(customer.as_bytes(), 0);
    let score = |home: &QuotaHome| xxh3_64_with_seed(home.daemon.as_bytes(), seed);
    homes.iter().max_by_key(|home| (score(home), &home.daemon))
}
