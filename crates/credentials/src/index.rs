//! Finds the holder of a key by its digest.

use crate::digest::{Digest, digest};
use crate::presented::Key;
use bytes::Bytes;
use std::collections::BTreeMap;

/// The holders of all keys. A holder is a number that the creator of the index chose.
#[derive(Clone, Debug, Default)]
pub struct Index {
    salt: Bytes,
    holders: BTreeMap<Digest, usize>,
}

impl Index {
    /// Creates the index of digests that were made with a salt. Entries that do not have
    /// the length of a digest are omitted, so that no key matches them.
    #[must_use]
    pub fn new<'a>(salt: Bytes, digests: impl Iterator<Item = (usize, &'a Bytes)>) -> Self {
        let holders = digests
            .filter_map(|(holder, digest)| Some((Digest::try_from(digest.as_ref()).ok()?, holder)))
            .collect();
        Self { salt, holders }
    }

    /// Returns the holder of a key.
    #[must_use]
    pub fn find(&self, key: &Key) -> Option<usize> {
        let digest = digest(&self.salt, key.as_bytes());
        self.holders.get(&digest).copied()
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
