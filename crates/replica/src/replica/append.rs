//! A leader's side of appending: proposals, replication, heartbeats.

use super::Replica;
use super::leading::Peer;
use crate::io::Output;
use crate::log::Log;
use bytes::Bytes;
use wire::replica_message::Kind;
use wire::{AppendReply, AppendRequest, LogEntry, LogIndex, ReplicaId, Term};

/// Longest command that is taken up; it fits into a frame with room to spare.
const MAX_COMMAND_BYTES: usize = 6 * 1024 * 1024;
/// Bytes of entries in a message, unless a single entry is longer.
const MAX_APPEND_BYTES: usize = 512 * 1024;
/// Appends on their way to a peer at a time.
const MAX_APPENDS_IN_FLIGHT: usize = 8;
/// Bytes of entries that wait for their commit at a time.
const MAX_UNCOMMITTED_BYTES: usize = 32 * 1024 * 1024;

impl Replica {
    pub(super) fn propose(&mut self, token: u64, command: Bytes, tx: &mut Vec<Output>) {
        let len = command.len();
        let room = self
            .leading
            .as_ref()
            .is_some_and(|l| l.uncommitted_bytes + len <= MAX_UNCOMMITTED_BYTES);
        if !room || len == 0 || len > MAX_COMMAND_BYTES {
            tx.push(Output::Rejected {
                token,
                unknown: false,
            });
            return;
        }
        let index = self.append_own(command, None, tx);
        if let Some(leading) = &mut self.leading {
            leading.proposals.insert(index, token);
            leading.uncommitted_bytes += len;
        }
    }

    pub(super) fn tick_leading(&mut self, tx: &mut Vec<Output>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if self.now >= leading.next_heartbeat {
            leading.next_heartbeat = self.now + self.options.heartbeat_interval;
            leading.level_index = leading.level_index.max(self.commit);
            self.start_round(tx);
            self.resend_chunks(tx);
        }
    }

    /// Sends every peer a heartbeat. It carries no entries: the answer tells
    /// whether earlier appends have arrived.
    pub(super) fn broadcast_heartbeat(&mut self, tx: &mut Vec<Output>) {
        for id in self.peer_ids() {
            self.send_append(id, Vec::new(), tx);
        }
    }

    /// Sends every peer the entries that it still lacks.
    pub(super) fn replicate(&mut self, tx: &mut Vec<Output>) {
        for id in self.peer_ids() {
            self.send_entries(id, tx);
        }
    }

    pub(super) fn append_answered(
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
        if term < self.hard_state.term || !self.note_contact(from, reply.round) {
            return;
        }
        if let Some(peer) = self.peer_mut(from) {
            if reply.success {
                peer.advance(reply.index);
            } else {
                peer.back_up(reply.index);
            }
        }
        self.advance_commit(tx);
        self.confirm_reads(tx);
        self.send_entries(from, tx);
    }

    pub(super) fn peer_mut(&mut self, id: ReplicaId) -> Option<&mut Peer> {
        self.leading.as_mut()?.peers.get_mut(&id)
    }

    pub(super) fn peer_ids(&self) -> Vec<ReplicaId> {
        let peers = self.leading.iter().flat_map(|l| l.peers.keys());
        peers.copied().collect()
    }

    /// Sends a peer entries, as many messages as may be on their way.
    pub(super) fn send_entries(&mut self, id: ReplicaId, tx: &mut Vec<Output>) {
        loop {
            let Some(peer) = self.leading.as_ref().and_then(|l| l.peers.get(&id)) else {
                return;
            };
            if peer.transfer.is_some() {
                return;
            }
            if self.log.term_at(peer.next - 1).is_none() {
                self.start_transfer(id, tx);
                return;
            }
            if !peer.may_send(&self.log) {
                return;
            }
            let entries = self.log.entries_from(peer.next, MAX_APPEND_BYTES);
            self.send_append(id, entries, tx);
        }
    }

    fn send_append(&mut self, id: ReplicaId, entries: Vec<LogEntry>, tx: &mut Vec<Output>) {
        let commit = self.commit;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let round = leading.round;
        let Some(peer) = leading.peers.get_mut(&id) else {
            return;
        };
        let position = peer.next - 1;
        let (prev_index, prev_term) = match self.log.term_at(position) {
            Some(term) if peer.transfer.is_none() => (position, term),
            _ => (0, 0),
        };
        if let Some(last) = entries.last() {
            peer.next = last.index + 1;
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

    /// Counts a committed proposal off; returns its token.
    pub(super) fn finish_proposal(&mut self, entry: &LogEntry) -> Option<u64> {
        let leading = self.leading.as_mut()?;
        let token = leading.proposals.remove(&entry.index)?;
        let len = entry.command.len();
        leading.uncommitted_bytes = leading.uncommitted_bytes.saturating_sub(len);
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
        self.next <= log.last_index() && self.in_flight.len() < allowed
    }

    /// Notes that the log there is synced up to an index.
    pub(super) fn advance(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        self.probing = false;
        let matched = self.matched;
        self.in_flight.retain(|last| *last > matched);
    }

    /// Notes that the log there doesn't reach, or differs, where it was asked.
    fn back_up(&mut self, index: LogIndex) {
        self.next = self.next.min(index + 1).max(self.matched + 1);
        self.probing = true;
        self.in_flight.clear();
    }
}
