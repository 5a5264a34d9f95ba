//! Requests to the control leader, sent again until they are answered.

use super::{Answer, CONTROL_TIMEOUT, Requester};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ClaimRequest, ClaimSettle, ControlReply, ControlRequest, SettleKind, control_request};

/// Time that a request nobody waits for may take before it is given up.
const UNATTENDED_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a request without an answer is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(700);
/// Longest delay before a request is sent to another leader.
const MAX_DELAY: Duration = Duration::from_millis(100);
/// Requests under way at most; beyond that they are given up at once.
const MAX_PENDING: usize = 20_000;

#[derive(Debug)]
struct Pending {
    requester: Requester,
    kind: control_request::Kind,
    deadline: Duration,
    next_send: Duration,
}

/// What became of an answer.
pub(super) enum Outcome {
    /// The request is over.
    Answered(Answer),
    /// The request goes on; the leader may be at this address.
    Again(String),
    /// Nobody waits for it.
    Unknown,
}

/// The requests under way.
#[derive(Debug, Default)]
pub(super) struct Requests {
    pending: BTreeMap<u64, Pending>,
    last_id: u64,
}

impl Requests {
    /// Adds a request; it is due at once.
    pub(super) fn push(
        &mut self,
        now: Duration,
        requester: Requester,
        kind: control_request::Kind,
    ) {
        let timeout = match requester {
            _ if self.pending.len() >= MAX_PENDING => Duration::ZERO,
            Requester::Detached => UNATTENDED_TIMEOUT,
            Requester::Operator(_) | Requester::Claim(_) => CONTROL_TIMEOUT,
        };
        self.last_id += 1;
        let pending = Pending {
            requester,
            kind,
            deadline: now + timeout,
            next_send: now,
        };
        self.pending.insert(self.last_id, pending);
    }

    /// Returns the requests to be sent now.
    pub(super) fn due(&mut self, now: Duration) -> Vec<ControlRequest> {
        let mut due = Vec::new();
        for (id, pending) in &mut self.pending {
            if pending.next_send > now || pending.deadline <= now {
                continue;
            }
            pending.next_send = now + RESEND_AFTER;
            due.push(ControlRequest {
                id: *id,
                kind: Some(pending.kind.clone()),
            });
        }
        due
    }

    /// Gives up the requests whose time is over. A claim whose outcome is
    /// unknown is then released by its nonce, so that the caller, who is told
    /// that nothing ran, can send the request again.
    pub(super) fn give_up(&mut self, now: Duration) -> Vec<Answer> {
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        let late: Vec<Pending> = late
            .into_iter()
            .filter_map(|id| self.pending.remove(&id))
            .collect();
        for pending in &late {
            if let control_request::Kind::Claim(claim) = &pending.kind {
                let settle = control_request::Kind::Settle(given_up(claim));
                self.push(now, Requester::Detached, settle);
            }
        }
        let answers = late.into_iter();
        answers
            .map(|p| Answer {
                requester: p.requester,
                kind: None,
            })
            .collect()
    }

    /// Takes an answer in.
    pub(super) fn answered(
        &mut self,
        now: Duration,
        reply: ControlReply,
        rng: &mut SmallRng,
    ) -> Outcome {
        let Some(pending) = self.pending.get_mut(&reply.id) else {
            return Outcome::Unknown;
        };
        let noted = matches!(pending.kind, control_request::Kind::Suspect(_));
        if !reply.leader || (reply.kind.is_none() && !noted) {
            pending.next_send = now + delay(rng);
            return Outcome::Again(reply.leader_address);
        }
        let requester = pending.requester;
        self.pending.remove(&reply.id);
        Outcome::Answered(Answer {
            requester,
            kind: reply.kind,
        })
    }

    /// Sends everything again soon: the daemon turned to another replica.
    pub(super) fn turned(&mut self, now: Duration, rng: &mut SmallRng) {
        for pending in self.pending.values_mut() {
            pending.next_send = now + delay(rng);
        }
    }
}

fn delay(rng: &mut SmallRng) -> Duration {
    MAX_DELAY.mul_f64(rng.random::<f64>())
}

fn given_up(claim: &ClaimRequest) -> ClaimSettle {
    ClaimSettle {
        customer: claim.customer.clone(),
        service: claim.service.clone(),
        key: claim.key.clone(),
        claim: 0,
        kind: SettleKind::Released as i32,
        status: 0,
        nonce: claim.nonce,
    }
}
