//! Attempts to claim that have ended. A delayed message of such an attempt must
//! not claim again.

use std::collections::{BTreeSet, VecDeque};

/// Maximum number of nonces remembered; the oldest is dropped.
const MAX_NONCES: usize = 65_536;

/// The most recent nonces whose claim was released or given up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClosedNonces {
    nonces: BTreeSet<u64>,
    insertion_order: VecDeque<u64>,
}

impl ClosedNonces {
    pub(crate) fn contains(&self, nonce: u64) -> bool {
        self.nonces.contains(&nonce)
    }

    pub(crate) fn insert(&mut self, nonce: u64) {
        if !self.nonces.insert(nonce) {
            return;
        }
        self.insertion_order.push_back(nonce);
        while self.insertion_order.len() > MAX_NONCES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.nonces.remove(&oldest);
            }
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = u64> {
        self.insertion_order.iter().copied()
    }
}
