//! Proposals, replication and heartbeats on the leader.

use super::Replica;
use super::leader::Peer;
use crate::io::Output;
use crate::log::Log;
use bytes::Bytes;
use wire::replica_message::Kind;
use wire::{AppendReply, AppendRequest, LogEntry, LogIndex, ReplicaId, Term};

/// Maximum length of a command. It leaves room for the rest of a message in a
/// wire frame.
const MAX_COMMAND_BYTES: usize = 6 * 1024 * 1024;
/// Maximum bytes of entries in a message, unless a single entry is longer.
const MAX_APPEND_BYTES: usize = 512 * 1024;
/// Maximum number of appends without a reply per peer.
const MAX_APPENDS_IN_FLIGHT: usize = 8;
/// Maximum bytes of commands that are not committed yet.
const MAX_UNCOMMITTED_BYTES: usize = 32 * 1024 * 1024;

impl Replica {
    pub(super) fn propose(&mut self, token: u64, command: Bytes, tx: &mut Vec<Output>) {
        let len = command.len();
        let fits = self
            .leader_state
            .as_ref()
            .is_some_and(|l| l.uncommitted_bytes + len <= MAX_UNCOMMITTED_BYTES);
        let is_valid = len > 0 && len <= MAX_COMMAND_BYTES;
        if !fits || !is_valid || self.is_transferring_leadership() {
            tx.push(Output::Rejected {
                token,
                unknown: false,
            });
            return;
        }
        let index = self.append_as_leader(command, None, tx);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.proposals.insert(index, token);
            leader_state.uncommitted_bytes += len;
        }
    }

    pub(super) fn tick_leader(&mut self, tx: &mut Vec<Output>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if self.now >= leader_state.next_heartbeat {
            leader_state.next_heartbeat = self.now + self.options.heartbeat_interval;
            leader_state.catch_up_index = leader_state.catch_up_index.max(self.commit_index);
            self.start_heartbeat_round(tx);
            self.resend_chunks(tx);
        }
    }

    /// Sends a heartbeat to every peer. It has no entries; the reply shows
    /// whether earlier appends have arrived.
    pub(super) fn broadcast_heartbeat(&mut self, tx: &mut Vec<Output>) {
        for id in self.peer_ids() {
            self.send_append(id, Vec::new(), tx);
        }
    }

    /// Sends every peer the entries that it is missing.
    pub(super) fn replicate(&mut self, tx: &mut Vec<Output>) {
        for id in self.peer_ids() {
            self.send_entries(id, tx);
        }
    }

    pub(super) fn handle_append_reply(
        &mut self,
        term: Term,
        from: ReplicaId,
        reply: &AppendReply,
        tx: &mut Vec<Output>,
    ) {
        if term > self.hard_state.term {
            self.adopt_term(term, tx);
            return;
        }
        if term < self.hard_state.term || !self.record_contact(from, reply.round) {
            return;
        }
        if let Some(peer) = self.peer_mut(from) {
            if reply.success {
                peer.advance(reply.index);
            } else {
                peer.backtrack(reply.index);
            }
        }
        self.advance_commit(tx);
        self.confirm_reads(tx);
        self.send_entries(from, tx);
    }

    pub(super) fn peer_mut(&mut self, id: ReplicaId) -> Option<&mut Peer> {
        self.leader_state.as_mut()?.peers.get_mut(&id)
    }

    pub(super) fn peer_ids(&self) -> Vec<ReplicaId> {
        let peers = self.leader_state.iter().flat_map(|l| l.peers.keys());
        peers.copied().collect()
    }

    /// Sends entries to a peer until its limit of appends without a reply is
    /// reached. Starts a snapshot transfer if the entries are compacted.
    pub(super) fn send_entries(&mut self, id: ReplicaId, tx: &mut Vec<Output>) {
        loop {
            let Some(peer) = self.leader_state.as_ref().and_then(|l| l.peers.get(&id)) else {
                return;
            };
            if peer.transfer.is_some() {
                return;
            }
            if self.log.term_at(peer.next_index - 1).is_none() {
                self.start_transfer(id, tx);
                return;
            }
            if !peer.may_send(&self.log) {
                return;
            }
            let entries = self.log.entries_from(peer.next_index, MAX_APPEND_BYTES);
            self.send_append(id, entries, tx);
        }
    }

    fn send_append(&mut self, id: ReplicaId, entries: Vec<LogEntry>, tx: &mut Vec<Output>) {
        let commit = self.commit_index;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let round = leader_state.round;
        let Some(peer) = leader_state.peers.get_mut(&id) else {
            return;
        };
        let prev = peer.next_index - 1;
        let (prev_index, prev_term) = match self.log.term_at(prev) {
            Some(term) if peer.transfer.is_none() => (prev, term),
            _ => (0, 0),
        };
        if let Some(last) = entries.last() {
            peer.next_index = last.index + 1;
            peer.in_flight.push_back(last.index);
        }
        let req = AppendRequest {
            prev_index,
            prev_term,
            entries,
            commit,
            round,
        };
        let member = peer.member.clone();
        self.send(&member, Kind::AppendRequest(req), tx);
    }

    /// Removes a committed proposal from the uncommitted ones and returns its
    /// token.
    pub(super) fn complete_proposal(&mut self, entry: &LogEntry) -> Option<u64> {
        let leader_state = self.leader_state.as_mut()?;
        let token = leader_state.proposals.remove(&entry.index)?;
        let len = entry.command.len();
        leader_state.uncommitted_bytes = leader_state.uncommitted_bytes.saturating_sub(len);
        Some(token)
    }
}

impl Peer {
    fn may_send(&self, log: &Log) -> bool {
        let allowed = if self.probing {
            1
        } else {
            MAX_APPENDS_IN_FLIGHT
        };
        self.next_index <= log.last_index() && self.in_flight.len() < allowed
    }

    /// Records that the peer's log is synced up to an index.
    pub(super) fn advance(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.probing = false;
        let match_index = self.match_index;
        self.in_flight.retain(|last| *last > match_index);
    }

    /// Moves back to an earlier index after the peer rejected an append, and
    /// probes for the index where the logs match. That index may be below the
    /// synced one: a peer whose log was cut has lost entries that it had
    /// acknowledged.
    fn backtrack(&mut self, index: LogIndex) {
        self.match_index = self.match_index.min(index);
        self.next_index = self.next_index.min(index + 1);
        self.probing = true;
        self.in_flight.clear();
    }
}
