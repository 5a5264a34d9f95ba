//! Claims: durable permissions to run a non-idempotent request once.

use super::Entry;
use super::refusal::{Reason, RefusalCause};
use super::request::{ActiveRequest, ClaimState};
use crate::agent::Requester;
use crate::context::Cx;
use rand::Rng;
use wire::{
    ClaimDecision, ClaimOutcome, ClaimRequest, ClaimSettle, RequestId, SettleKind, control_reply,
    control_request,
};

impl Entry {
    /// Requests the claim for a request from the control plane.
    pub(super) fn request_claim(&mut self, id: RequestId, cx: &mut Cx<'_>) {
        let nonce = cx.rng.random();
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        active.claim = ClaimState::Requested(nonce);
        let claim = ClaimRequest {
            customer: active.request.customer.to_string(),
            service: active.request.service.to_string(),
            key: active.request.key.clone().unwrap_or_default().into(),
            fingerprint: active.request.fingerprint,
            daemon: cx.agent.name.to_string(),
            nonce,
        };
        let kind = control_request::Kind::Claim(claim);
        cx.agent.request(cx.now, Requester::Claim(id), kind, cx.tx);
    }

    /// Handles the control plane's reply to a claim request.
    pub fn on_claim_reply(
        &mut self,
        request: RequestId,
        reply: Option<control_reply::Kind>,
        cx: &mut Cx<'_>,
    ) {
        let Some(active) = self.active.get_mut(&request) else {
            return;
        };
        if !matches!(active.claim, ClaimState::Requested(_)) {
            return;
        }
        let Some(control_reply::Kind::Claim(outcome)) = reply else {
            return self.refuse(request, Reason::NoControl.into(), cx);
        };
        match granted_claim(&outcome) {
            Ok(claim) => {
                active.claim = ClaimState::Granted(claim);
                self.forward(request, cx);
            }
            Err(cause) => {
                active.claim = ClaimState::Needed;
                self.refuse(request, cause, cx);
            }
        }
    }
}

/// Reports to the control plane how a claimed request ended. A claim that was
/// requested but not granted yet is released by the nonce of the claim request,
/// because nothing was sent under it.
pub(super) fn settle_claim(active: &ActiveRequest, kind: SettleKind, status: u16, cx: &mut Cx<'_>) {
    let (claim, nonce) = match active.claim {
        ClaimState::Granted(claim) => (claim, 0),
        ClaimState::Requested(nonce) => (0, nonce),
        ClaimState::Unneeded | ClaimState::Needed => return,
    };
    let settle = ClaimSettle {
        customer: active.request.customer.to_string(),
        service: active.request.service.to_string(),
        key: active.request.key.clone().unwrap_or_default().into(),
        claim,
        kind: kind.into(),
        status: status.into(),
        nonce,
    };
    let kind = control_request::Kind::Settle(settle);
    cx.agent.request(cx.now, Requester::Detached, kind, cx.tx);
}

fn granted_claim(outcome: &ClaimOutcome) -> Result<u64, RefusalCause> {
    let reason = match outcome.decision() {
        ClaimDecision::Granted if outcome.claim != 0 => return Ok(outcome.claim),
        ClaimDecision::Ran => Reason::AlreadyRan,
        ClaimDecision::MayHaveRun => Reason::MayHaveRun,
        ClaimDecision::KeyReused => Reason::KeyReused,
        ClaimDecision::Full => Reason::ClaimsFull,
        ClaimDecision::Unknown | ClaimDecision::Granted | ClaimDecision::Settled => {
            Reason::NoControl
        }
    };
    let status = u16::try_from(outcome.status).ok().filter(|s| *s > 0);
    Err(RefusalCause {
        status: status.filter(|_| reason == Reason::AlreadyRan),
        ..reason.into()
    })
}
