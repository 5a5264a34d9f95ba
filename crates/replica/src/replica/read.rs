//! Reads that a majority confirms.

use super::Replica;
use super::leading::PendingRead;
use crate::io::Output;
use std::collections::VecDeque;
use std::time::Duration;
use wire::ReplicaId;

impl Replica {
    /// Takes a read up. It waits for a round that starts after it came in: the
    /// next one, if a round is on its way that earlier reads wait for.
    pub(super) fn read(&mut self, token: u64, tx: &mut Vec<Output>) {
        let Some(leading) = &mut self.leading else {
            tx.push(Output::Rejected {
                token,
                unknown: false,
            });
            return;
        };
        let round = leading.round + 1;
        let busy = !leading.reads.is_empty();
        leading.reads.push_back(PendingRead { token, round });
        if !busy {
            self.start_round(tx);
            self.confirm_reads(tx);
        }
    }

    /// Starts a confirmation round, which is a heartbeat as well.
    pub(super) fn start_round(&mut self, tx: &mut Vec<Output>) {
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.round += 1;
        leading.rounds.push_back((leading.round, now));
        let oldest = now.saturating_sub(self.options.election_timeout * 2);
        while leading.rounds.front().is_some_and(|(_, at)| *at < oldest) {
            leading.rounds.pop_front();
        }
        self.broadcast_heartbeat(tx);
    }

    /// Notes that a peer answered in the current term, and to which round.
    /// Returns whether it is a peer.
    pub(super) fn note_contact(&mut self, id: ReplicaId, round: u64) -> bool {
        let Some(leading) = &mut self.leading else {
            return false;
        };
        let sent = sent_at(&leading.rounds, round);
        let Some(peer) = leading.peers.get_mut(&id) else {
            return false;
        };
        if round <= leading.round {
            peer.round = peer.round.max(round);
        }
        peer.contact = peer.contact.max(sent.unwrap_or_default());
        true
    }

    /// Answers the reads whose round a majority has confirmed, and starts the
    /// round that the others wait for.
    pub(super) fn confirm_reads(&mut self, tx: &mut Vec<Output>) {
        loop {
            let confirmed = self.confirmed_round();
            let commit = self.commit;
            let Some(leading) = &mut self.leading else {
                return;
            };
            if commit < leading.first_index {
                return;
            }
            let ready = leading.reads.partition_point(|r| r.round <= confirmed);
            let reads = leading.reads.drain(..ready);
            tx.extend(reads.map(|r| Output::ReadReady { token: r.token }));
            let newest = leading.round;
            if leading.reads.front().is_none_or(|r| r.round <= newest) {
                return;
            }
            self.start_round(tx);
        }
    }

    /// Returns the newest round that a majority of voters has answered.
    fn confirmed_round(&self) -> u64 {
        let Some(leading) = &self.leading else {
            return 0;
        };
        let voters = &self.log.membership().voters;
        let mut rounds: Vec<u64> = voters
            .iter()
            .map(|v| match leading.peers.get(&v.id) {
                Some(peer) => peer.round,
                None => leading.round,
            })
            .collect();
        rounds.sort_unstable();
        let minority = rounds.len().saturating_sub(1) / 2;
        rounds.get(minority).copied().unwrap_or(0)
    }
}

/// Returns when a round was sent, if it is recent; rounds are without gaps.
fn sent_at(rounds: &VecDeque<(u64, Duration)>, round: u64) -> Option<Duration> {
    let (oldest, _) = rounds.front()?;
    let offset = usize::try_from(round.checked_sub(*oldest)?).ok()?;
    rounds.get(offset).map(|(_, at)| *at)
}
