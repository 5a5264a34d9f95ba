//! Taking, sending and installing snapshots.

use super::Replica;
use crate::io::Output;
use crate::stored::Snapshot;
use bytes::{Bytes, BytesMut};
use std::time::Duration;
use wire::replica_message::Kind;
use wire::{LogIndex, Member, ReplicaId, SnapshotChunk, SnapshotReply, Term};

/// Maximum bytes of a snapshot in a message.
const CHUNK_BYTES: usize = 1024 * 1024;
/// Divisor of the snapshot interval that gives the number of entries retained
/// when a snapshot is taken. Followers that lag slightly catch up from them.
const RETAINED_ENTRIES_DIVISOR: u64 = 4;
/// Maximum bytes of the retained entries.
const MAX_RETAINED_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of applied entries after which a snapshot is taken, whatever their
/// number.
const SNAPSHOT_THRESHOLD_BYTES: usize = 32 * 1024 * 1024;

/// A snapshot that is being sent to a peer.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    snapshot: Snapshot,
    offset: u64,
    sent_at: Duration,
}

/// A snapshot that is being received.
#[derive(Debug, Default)]
pub(super) struct IncomingSnapshot {
    index: LogIndex,
    index_term: Term,
    bytes: BytesMut,
}

impl Replica {
    /// Requests a snapshot if enough entries or bytes were applied since the
    /// last one.
    pub(super) fn request_snapshot_if_due(&mut self, tx: &mut Vec<Output>) {
        let entries = self.applied_index.saturating_sub(self.log.snapshot_index());
        let due = entries >= self.options.snapshot_entries
            || self.bytes_since_snapshot >= SNAPSHOT_THRESHOLD_BYTES;
        if !self.snapshot_requested && due {
            self.snapshot_requested = true;
            self.bytes_since_snapshot = 0;
            tx.push(Output::TakeSnapshot {
                index: self.applied_index,
            });
        }
    }

    pub(super) fn handle_snapshot_taken(
        &mut self,
        index: LogIndex,
        state: Bytes,
        tx: &mut Vec<Output>,
    ) {
        let in_range = index > self.log.snapshot_index() && index <= self.applied_index;
        let term = self.log.term_at(index).filter(|_| in_range);
        let Some(term) = term else {
            self.snapshot_requested = false;
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            membership: self.log.membership_at(index).clone(),
            state,
        };
        self.save_taken_snapshot(snapshot, tx);
    }

    pub(super) fn finish_taken_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshot_requested = false;
        if snapshot.index > self.log.snapshot_index() {
            let keep = self.options.snapshot_entries / RETAINED_ENTRIES_DIVISOR;
            self.log.compact(snapshot, keep, MAX_RETAINED_BYTES);
        }
    }

    /// Starts to send the snapshot to a peer that needs compacted entries.
    pub(super) fn start_transfer(&mut self, id: ReplicaId, tx: &mut Vec<Output>) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        let now = self.now;
        let Some(peer) = self.peer_mut(id) else {
            return;
        };
        peer.in_flight.clear();
        peer.transfer = Some(SnapshotTransfer {
            snapshot,
            offset: 0,
            sent_at: now,
        });
        self.send_chunk(id, tx);
    }

    /// Resends chunks that received no reply within an election timeout.
    pub(super) fn resend_chunks(&mut self, tx: &mut Vec<Output>) {
        let latest = self.now.saturating_sub(self.options.election_timeout);
        for id in self.peer_ids() {
            let transfer = self.peer_mut(id).and_then(|p| p.transfer.as_ref());
            if transfer.is_some_and(|t| t.sent_at <= latest) {
                self.send_chunk(id, tx);
            }
        }
    }

    pub(super) fn handle_snapshot_reply(
        &mut self,
        term: Term,
        from: ReplicaId,
        reply: &SnapshotReply,
        tx: &mut Vec<Output>,
    ) {
        if term > self.hard_state.term {
            self.adopt_term(term, tx);
            return;
        }
        if term < self.hard_state.term {
            return;
        }
        let Some(peer) = self.peer_mut(from) else {
            return;
        };
        let Some(transfer) = &mut peer.transfer else {
            return;
        };
        if transfer.snapshot.index != reply.index {
            return;
        }
        if reply.done {
            peer.transfer = None;
            peer.advance(reply.index);
            self.advance_commit(tx);
            self.send_entries(from, tx);
        } else if transfer.offset != reply.offset {
            transfer.offset = reply.offset;
            self.send_chunk(from, tx);
        }
    }

    pub(super) fn handle_snapshot_chunk(
        &mut self,
        term: Term,
        leader: Member,
        chunk: SnapshotChunk,
        tx: &mut Vec<Output>,
    ) {
        if !self.accept_leader(term, &leader, tx) {
            return;
        }
        if chunk.index <= self.commit_index {
            let done = chunk.index <= self.log.synced();
            self.send_snapshot_reply(&leader, chunk.index, chunk.offset, done, tx);
            return;
        }
        let index = chunk.index;
        match self.add_chunk(chunk) {
            Ok(snapshot) => self.install_snapshot(snapshot, leader, tx),
            Err(next_offset) => self.send_snapshot_reply(&leader, index, next_offset, false, tx),
        }
    }

    pub(super) fn finish_installed_snapshot(
        &mut self,
        index: LogIndex,
        leader: &Member,
        tx: &mut Vec<Output>,
    ) {
        if self.election.leader().is_some_and(|l| l.id == leader.id) {
            self.send_snapshot_reply(leader, index, 0, true, tx);
        }
    }

    fn send_chunk(&mut self, id: ReplicaId, tx: &mut Vec<Output>) {
        let now = self.now;
        let Some(peer) = self.peer_mut(id) else {
            return;
        };
        let Some(transfer) = &mut peer.transfer else {
            return;
        };
        transfer.sent_at = now;
        let chunk = transfer.chunk();
        let member = peer.member.clone();
        self.send(&member, Kind::SnapshotChunk(chunk), tx);
    }

    /// Adds a chunk. Returns the snapshot if it is complete and its checksum is
    /// valid, otherwise the offset of the next chunk to send.
    fn add_chunk(&mut self, chunk: SnapshotChunk) -> Result<Snapshot, u64> {
        let incoming = self.follower_state.incoming.get_or_insert_default();
        if (incoming.index, incoming.index_term) != (chunk.index, chunk.index_term) {
            *incoming = IncomingSnapshot {
                index: chunk.index,
                index_term: chunk.index_term,
                bytes: BytesMut::new(),
            };
        }
        if chunk.offset != incoming.bytes.len() as u64 {
            return Err(incoming.bytes.len() as u64);
        }
        incoming.bytes.extend_from_slice(&chunk.bytes);
        if !chunk.last {
            return Err(incoming.bytes.len() as u64);
        }
        let bytes = std::mem::take(&mut incoming.bytes).freeze();
        self.follower_state.incoming = None;
        if crc32fast::hash(&bytes) != chunk.crc {
            return Err(0);
        }
        Ok(Snapshot {
            index: chunk.index,
            term: chunk.index_term,
            membership: chunk.membership.unwrap_or_default(),
            state: bytes,
        })
    }

    fn install_snapshot(&mut self, snapshot: Snapshot, leader: Member, tx: &mut Vec<Output>) {
        let index = snapshot.index;
        let state = snapshot.state.clone();
        self.save_installed_snapshot(snapshot, leader, tx);
        self.commit_index = index;
        self.applied_index = index;
        self.snapshot_requested = false;
        self.follower_state.advance_match_index(index);
        tx.push(Output::Restore { index, state });
        self.refresh_role(tx);
    }

    fn send_snapshot_reply(
        &mut self,
        leader: &Member,
        index: LogIndex,
        offset: u64,
        done: bool,
        tx: &mut Vec<Output>,
    ) {
        let reply = SnapshotReply {
            index,
            offset,
            done,
        };
        self.send(leader, Kind::SnapshotReply(reply), tx);
    }
}

impl SnapshotTransfer {
    fn chunk(&self) -> SnapshotChunk {
        let state = &self.snapshot.state;
        let start = usize::try_from(self.offset).map_or(state.len(), |o| o.min(state.len()));
        let end = state.len().min(start + CHUNK_BYTES);
        let last = end == state.len();
        SnapshotChunk {
            index: self.snapshot.index,
            index_term: self.snapshot.term,
            membership: Some(self.snapshot.membership.clone()),
            offset: start as u64,
            bytes: state.slice(start..end),
            last,
            crc: if last { crc32fast::hash(state) } else { 0 },
        }
    }
}
