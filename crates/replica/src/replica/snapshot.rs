//! Snapshots: taking them, sending them, installing them.

use super::Replica;
use crate::io::Output;
use crate::stored::Snapshot;
use bytes::{Bytes, BytesMut};
use std::time::Duration;
use wire::replica_message::Kind;
use wire::{LogIndex, Member, ReplicaId, SnapshotChunk, SnapshotReply, Term};

/// Bytes of a snapshot in a message.
const CHUNK_BYTES: usize = 1024 * 1024;
/// Part of the entries between two snapshots that is kept after one, for
/// followers that are a little behind.
const KEPT_PART: u64 = 4;
/// Bytes of those entries.
const KEPT_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of applied entries after which a snapshot is taken, however few they
/// are.
const SNAPSHOT_BYTES: usize = 32 * 1024 * 1024;

/// A snapshot on its way to a peer.
#[derive(Debug)]
pub(super) struct Transfer {
    snapshot: Snapshot,
    offset: u64,
    sent: Duration,
}

/// A snapshot on its way here.
#[derive(Debug, Default)]
pub(super) struct Incoming {
    index: LogIndex,
    index_term: Term,
    bytes: BytesMut,
}

impl Replica {
    /// Asks for a snapshot once enough was applied since the last one.
    pub(super) fn ask_for_snapshot(&mut self, tx: &mut Vec<Output>) {
        let since = self.applied.saturating_sub(self.log.snapshot_index());
        let due =
            since >= self.options.snapshot_entries || self.unsnapshotted_bytes >= SNAPSHOT_BYTES;
        if !self.snapshot_asked && due {
            self.snapshot_asked = true;
            self.unsnapshotted_bytes = 0;
            tx.push(Output::TakeSnapshot {
                index: self.applied,
            });
        }
    }

    pub(super) fn snapshot_taken(&mut self, index: LogIndex, state: Bytes, tx: &mut Vec<Output>) {
        let newer = index > self.log.snapshot_index() && index <= self.applied;
        let term = self.log.term_at(index).filter(|_| newer);
        let Some(term) = term else {
            self.snapshot_asked = false;
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

    pub(super) fn taken_snapshot_saved(&mut self, snapshot: Snapshot) {
        self.snapshot_asked = false;
        if snapshot.index > self.log.snapshot_index() {
            let keep = self.options.snapshot_entries / KEPT_PART;
            self.log.compact(snapshot, keep, KEPT_BYTES);
        }
    }

    /// Begins to send the snapshot to a peer that lacks compacted entries.
    pub(super) fn start_transfer(&mut self, id: ReplicaId, tx: &mut Vec<Output>) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        let now = self.now;
        let Some(peer) = self.peer_mut(id) else {
            return;
        };
        peer.in_flight.clear();
        peer.transfer = Some(Transfer {
            snapshot,
            offset: 0,
            sent: now,
        });
        self.send_chunk(id, tx);
    }

    /// Sends parts again that were not answered for an election timeout.
    pub(super) fn resend_chunks(&mut self, tx: &mut Vec<Output>) {
        let latest = self.now.saturating_sub(self.options.election_timeout);
        for id in self.peer_ids() {
            let transfer = self.peer_mut(id).and_then(|p| p.transfer.as_ref());
            if transfer.is_some_and(|t| t.sent <= latest) {
                self.send_chunk(id, tx);
            }
        }
    }

    pub(super) fn chunk_answered(
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

    pub(super) fn chunk_received(
        &mut self,
        term: Term,
        leader: Member,
        chunk: SnapshotChunk,
        tx: &mut Vec<Output>,
    ) {
        if !self.heed_leader(term, &leader, tx) {
            return;
        }
        if chunk.index <= self.commit {
            let done = chunk.index <= self.log.synced();
            self.answer_chunk(&leader, chunk.index, chunk.offset, done, tx);
            return;
        }
        let index = chunk.index;
        match self.add_chunk(chunk) {
            Ok(snapshot) => self.install(snapshot, leader, tx),
            Err(wanted) => self.answer_chunk(&leader, index, wanted, false, tx),
        }
    }

    pub(super) fn installed_snapshot_saved(
        &mut self,
        index: LogIndex,
        leader: &Member,
        tx: &mut Vec<Output>,
    ) {
        if self.election.leader().is_some_and(|l| l.id == leader.id) {
            self.answer_chunk(leader, index, 0, true, tx);
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
        transfer.sent = now;
        let chunk = transfer.chunk();
        let member = peer.member.clone();
        self.send(&member, Kind::SnapshotChunk(chunk), tx);
    }

    /// Adds a part. Returns the snapshot once it is whole and its checksum
    /// holds, otherwise the position of the part that is wanted.
    fn add_chunk(&mut self, chunk: SnapshotChunk) -> Result<Snapshot, u64> {
        let incoming = self.following.incoming.get_or_insert_default();
        if (incoming.index, incoming.index_term) != (chunk.index, chunk.index_term) {
            *incoming = Incoming {
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
        self.following.incoming = None;
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

    fn install(&mut self, snapshot: Snapshot, leader: Member, tx: &mut Vec<Output>) {
        let index = snapshot.index;
        let state = snapshot.state.clone();
        self.save_installed_snapshot(snapshot, leader, tx);
        self.commit = index;
        self.applied = index;
        self.snapshot_asked = false;
        self.following.matches_up_to(index);
        tx.push(Output::Restore { index, state });
        self.refresh_role(tx);
    }

    fn answer_chunk(
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

impl Transfer {
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
