//! Reads that are confirmed by a majority.

use super::Replica;
use super::leader::PendingRead;
use super::quorum::reached_by_quorum;
use crate::io::Output;
use std::collections::VecDeque;
use std::time::Duration;
use wire::ReplicaId;

impl Replica {
    /// Handles a read. It has to be confirmed by a heartbeat round that starts
    /// after the read was requested; if earlier reads wait for a round, that is
    /// the next one.
    pub(super) fn read(&mut self, token: u64, tx: &mut Vec<Output>) {
        let Some(leader_state) = &mut self.leader_state else {
            tx.push(Output::Rejected {
                token,
                unknown: false,
            });
            return;
        };
        let round = leader_state.round + 1;
        let round_pending = !leader_state.reads.is_empty();
        leader_state.reads.push_back(PendingRead { token, round });
        if !round_pending {
            self.start_heartbeat_round(tx);
            self.confirm_reads(tx);
        }
    }

    /// Starts a heartbeat round. Its replies confirm reads and show which peers
    /// are responsive.
    pub(super) fn start_heartbeat_round(&mut self, tx: &mut Vec<Output>) {
        let now = self.now;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.round += 1;
        leader_state.rounds.push_back((leader_state.round, now));
        let oldest = now.saturating_sub(self.options.election_timeout * 2);
        while leader_state
            .rounds
            .front()
            .is_some_and(|(_, at)| *at < oldest)
        {
            leader_state.rounds.pop_front();
        }
        self.broadcast_heartbeat(tx);
    }

    /// Records a peer's reply to a heartbeat round in the current term. Returns
    /// whether the sender is a peer.
    pub(super) fn record_contact(&mut self, id: ReplicaId, round: u64) -> bool {
        let Some(leader_state) = &mut self.leader_state else {
            return false;
        };
        let sent = sent_at(&leader_state.rounds, round);
        let Some(peer) = leader_state.peers.get_mut(&id) else {
            return false;
        };
        if round <= leader_state.round {
            peer.round = peer.round.max(round);
        }
        peer.last_contact = peer.last_contact.max(sent.unwrap_or_default());
        true
    }

    /// Confirms the reads to whose round a majority has replied, and starts the
    /// next round if other reads are waiting.
    pub(super) fn confirm_reads(&mut self, tx: &mut Vec<Output>) {
        loop {
            let confirmed = self.confirmed_round();
            let commit = self.commit_index;
            let Some(leader_state) = &mut self.leader_state else {
                return;
            };
            if commit < leader_state.first_index {
                return;
            }
            let ready = leader_state.reads.partition_point(|r| r.round <= confirmed);
            let reads = leader_state.reads.drain(..ready);
            tx.extend(reads.map(|r| Output::ReadReady { token: r.token }));
            let newest = leader_state.round;
            if leader_state.reads.front().is_none_or(|r| r.round <= newest) {
                return;
            }
            self.start_heartbeat_round(tx);
        }
    }

    /// Returns the newest round to which a quorum has replied.
    fn confirmed_round(&self) -> u64 {
        let Some(leader_state) = &self.leader_state else {
            return 0;
        };
        reached_by_quorum(self.log.membership(), |id| {
            match leader_state.peers.get(&id) {
                Some(peer) => peer.round,
                None => leader_state.round,
            }
        })
    }
}

/// Returns when a round was sent, if it is recent. Rounds are numbered
/// consecutively.
fn sent_at(rounds: &VecDeque<(u64, Duration)>, round: u64) -> Option<Duration> {
    let (oldest, _) = rounds.front()?;
    let offset = usize::try_from(round.checked_sub(*oldest)?).ok()?;
    rounds.get(offset).map(|(_, at)| *at)
}
