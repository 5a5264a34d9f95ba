//! Founding a cluster together.
//!
//! Every founder writes the same first entry by itself: number of the cluster,
//! numbers of the founders and membership follow from their addresses alone. So
//! it doesn't matter which of them starts first or is cut off meanwhile, there
//! is only one cluster, and nothing is agreed before a majority of them votes.

use super::Replica;
use crate::io::Output;
use wire::{LogEntry, Member, Membership, ReplicaId, fingerprint};

/// Term of the entry that founds a cluster.
pub(super) const FIRST_TERM: u64 = 1;

impl Replica {
    /// Begins as one of the founders, if this replica is one and belongs to no
    /// cluster.
    pub(super) fn found_together(&mut self, tx: &mut Vec<Output>) {
        let me = &self.options.address;
        if self.hard_state.id != 0 || !self.options.initial_voters.contains(me) {
            return;
        }
        let mut founders = self.options.initial_voters.clone();
        founders.sort_unstable();
        founders.dedup();
        let voters: Vec<Member> = founders
            .iter()
            .map(|address| Member {
                id: founder_id(address),
                address: address.clone(),
            })
            .collect();
        self.hard_state.id = founder_id(me);
        let cluster = number(&founders.join(" "));
        self.begin_cluster(cluster, voters, tx);
    }

    /// Writes the entry that founds a cluster.
    pub(super) fn begin_cluster(
        &mut self,
        cluster: u64,
        voters: Vec<Member>,
        tx: &mut Vec<Output>,
    ) {
        let entry = LogEntry {
            term: FIRST_TERM,
            index: 1,
            command: bytes::Bytes::new(),
            membership: Some(Membership {
                voters,
                learners: Vec::new(),
            }),
        };
        self.append_entries(vec![entry], tx);
        self.hard_state.cluster = cluster;
        self.hard_state.term = FIRST_TERM;
        self.save_state(tx);
    }
}

fn founder_id(address: &str) -> ReplicaId {
    number(&format!("founder {address}"))
}

/// Returns a number other than 0 that follows from a text.
fn number(text: &str) -> u64 {
    fingerprint(text, "", "", "", &[], None).max(1)
}
