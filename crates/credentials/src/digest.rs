//! Salted digests of keys.

use bytes::Bytes;
use sha2::{Digest as _, Sha256};

/// Separates the salt from other values that are derived from the same number.
const SALT_LABEL: &[u8] = b"plumhitch credential salt";
/// Length of a salt, in bytes.
const SALT_BYTES: usize = 16;

/// SHA-256 of a salt followed by a key.
pub type Digest = [u8; 32];

/// Derives a salt from a number that is random and not known to callers.
#[must_use]
pub fn salt(secret: u64) -> Bytes {
    let hash = digest(SALT_LABEL, &secret.to_be_bytes());
    Bytes::copy_from_slice(&hash[..SALT_BYTES])
}

/// Returns the digest of a key. All digests that are compared must have the same salt.
#[must_use]
pub fn digest(salt: &[u8], key: &[u8]) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update(salt);
    hasher.update(key);
    hasher.finalize().into()
}
