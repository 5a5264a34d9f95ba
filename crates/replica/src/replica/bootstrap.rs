//! Bootstrapping of a new cluster by several replicas.
//!
//! Every initial voter writes the same first entry on its own: the ids of the
//! cluster and its voters and the membership are derived from their addresses.
//! The order in which the replicas start and network partitions between them
//! therefore do not matter. They can only create one cluster, and nothing is
//! committed in it before a majority of them has voted.

use super::Replica;
use crate::io::Output;
use wire::{LogEntry, Member, Membership, ReplicaId, fingerprint};

/// Term of the entry that creates a cluster.
pub(super) const INITIAL_TERM: u64 = 1;

impl Replica {
    /// Creates the cluster if this replica is one of its initial voters and its
    /// data folder is empty. One that replaces a damaged folder must not: under the id
    /// that follows from its address it may have voted and acknowledged entries.
    pub(super) fn bootstrap(&mut self, tx: &mut Vec<Output>) {
        let own_address = &self.options.address;
        if self.hard_state.id != 0
            || self.join_state.has_seen_cluster()
            || !self.options.initial_voters.contains(own_address)
        {
            return;
        }
        let mut addresses = self.options.initial_voters.clone();
        addresses.sort_unstable();
        addresses.dedup();
        let voters: Vec<Member> = addresses
            .iter()
            .map(|address| Member {
                id: initial_voter_id(address),
                address: address.clone(),
            })
            .collect();
        self.hard_state.id = initial_voter_id(own_address);
        let cluster = hash_id(&addresses.join(" "));
        self.create_cluster(cluster, voters, tx);
    }

    /// Writes the entry that creates a cluster.
    pub(super) fn create_cluster(
        &mut self,
        cluster: u64,
        voters: Vec<Member>,
        tx: &mut Vec<Output>,
    ) {
        let entry = LogEntry {
            term: INITIAL_TERM,
            index: 1,
            command: bytes::Bytes::new(),
            membership: Some(Membership {
                voters,
                learners: Vec::new(),
                outgoing: Vec::new(),
            }),
        };
        self.append_entries(vec![entry], tx);
        self.hard_state.cluster = cluster;
        self.hard_state.term = INITIAL_TERM;
        self.save_state(tx);
    }
}

/// Derives the id of an initial voter. All versions have to derive the same id,
/// so the prefix must not change.
fn initial_voter_id(address: &str) -> ReplicaId {
    hash_id(&format!("founder {address}"))
}

/// Derives a non-zero id from a text.
fn hash_id(text: &str) -> u64 {
    fingerprint(text, "", "", "", &[], None).max(1)
}
