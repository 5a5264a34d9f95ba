//! Pending requests to the control leader, resent until they get a final
//! reply or time out.

use super::{CONTROL_TIMEOUT, RequestResult, Requester};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ClaimRequest, ClaimSettle, ControlReply, ControlRequest, SettleKind, control_request};

/// Timeout of a request whose reply no one waits for.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a request without a reply is resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum random delay before requests are sent to another replica.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of pending requests; further requests time out immediately.
const MAX_PENDING: usize = 20_000;

#[derive(Debug)]
struct Pending {
    requester: Requester,
    kind: control_request::Kind,
    deadline: Duration,
    next_send: Duration,
}

/// The effect of a reply.
pub(super) enum ReplyOutcome {
    /// The request is complete.
    Completed(Box<RequestResult>),
    /// The request is resent; the leader may be at this address.
    Retry(String),
    /// The reply belongs to no pending request.
    Unknown,
}

/// The pending requests by id.
#[derive(Debug, Default)]
pub(super) struct Requests {
    pending: BTreeMap<u64, Pending>,
    last_id: u64,
}

impl Requests {
    /// Adds a request that is due immediately.
    pub(super) fn push(
        &mut self,
        now: Duration,
        requester: Requester,
        kind: control_request::Kind,
    ) {
        let timeout = match requester {
            _ if self.pending.len() >= MAX_PENDING => Duration::ZERO,
            Requester::Detached => DETACHED_TIMEOUT,
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

    /// Returns the requests to send now.
    pub(super) fn due(&mut self, now: Duration) -> Vec<ControlRequest> {
        let mut due = Vec::new();
        for (id, pending) in &mut self.pending {
            if pending.next_send > now || pending.deadline <= now {
                continue;
            }
            pending.next_send = now + RESEND_INTERVAL;
            due.push(ControlRequest {
                id: *id,
                kind: Some(pending.kind.clone()),
            });
        }
        due
    }

    /// Removes the requests that timed out. A claim among them has an unknown
    /// outcome and is released by its nonce: the caller gets a refusal stating
    /// that nothing ran, and must be able to resend the request.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<RequestResult> {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        let expired: Vec<Pending> = expired
            .into_iter()
            .filter_map(|id| self.pending.remove(&id))
            .collect();
        for pending in &expired {
            if let control_request::Kind::Claim(claim) = &pending.kind {
                let settle = control_request::Kind::Settle(release_by_nonce(claim));
                self.push(now, Requester::Detached, settle);
            }
        }
        let results = expired.into_iter();
        results
            .map(|p| RequestResult {
                requester: p.requester,
                reply: None,
            })
            .collect()
    }

    /// Handles a reply. Replies to suspicion reports carry no content.
    pub(super) fn handle_reply(
        &mut self,
        now: Duration,
        reply: ControlReply,
        rng: &mut SmallRng,
    ) -> ReplyOutcome {
        let Some(pending) = self.pending.get_mut(&reply.id) else {
            return ReplyOutcome::Unknown;
        };
        let ack_only = matches!(pending.kind, control_request::Kind::Suspect(_));
        if !reply.leader || (reply.kind.is_none() && !ack_only) {
            pending.next_send = now + resend_delay(rng);
            return ReplyOutcome::Retry(reply.leader_address);
        }
        let requester = pending.requester;
        self.pending.remove(&reply.id);
        ReplyOutcome::Completed(Box::new(RequestResult {
            requester,
            reply: reply.kind,
        }))
    }

    /// Schedules all requests to be resent after a short random delay, because
    /// the daemon switched to another replica.
    pub(super) fn resend_soon(&mut self, now: Duration, rng: &mut SmallRng) {
        for pending in self.pending.values_mut() {
            pending.next_send = now + resend_delay(rng);
        }
    }
}

fn resend_delay(rng: &mut SmallRng) -> Duration {
    MAX_RESEND_DELAY.mul_f64(rng.random::<f64>())
}

fn release_by_nonce(claim: &ClaimRequest) -> ClaimSettle {
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
