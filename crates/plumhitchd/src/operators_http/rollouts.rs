//! Endpoints for rollouts.

use super::{HttpResponse, Operators, error, json, no_outcome};
use crate::handle::Handle;
use api::{RolloutBody, RolloutOrderBody};
use salvo::http::{Request, StatusCode};
use wire::{RolloutOutcome, RolloutResult};

/// Maximum size of an order in bytes.
const MAX_ORDER_BYTES: usize = 16 * 1024;

impl Operators {
    /// Orders a rollout.
    pub(super) async fn start_rollout(
        &self,
        req: &mut Request,
    ) -> Result<HttpResponse, HttpResponse> {
        let body: RolloutOrderBody = self.parse(req, MAX_ORDER_BYTES).await?;
        log::info!(
            "event=rollout_order service={:?} target_version={:?} within_ms={}",
            body.service,
            body.version,
            body.within.as_millis()
        );
        let handle = Handle::new(self.daemon.clone());
        respond(handle.start_rollout(body.into()).await)
    }

    /// Returns the newest rollout of a service.
    pub(super) async fn rollout(&self, service: &str) -> Result<HttpResponse, HttpResponse> {
        let handle = Handle::new(self.daemon.clone());
        respond(handle.read_rollout(service).await)
    }
}

fn respond(outcome: Option<RolloutOutcome>) -> Result<HttpResponse, HttpResponse> {
    let outcome = outcome.ok_or_else(no_outcome)?;
    let findings = outcome.findings.join("; ");
    match (outcome.result(), outcome.rollout) {
        (RolloutResult::Accepted, Some(rollout)) => {
            Ok(json(StatusCode::OK, &RolloutBody::from(rollout)))
        }
        (RolloutResult::InProgress, rollout) => {
            let version = rollout.map(|r| r.version).unwrap_or_default();
            let why = format!("another rollout of the service is in progress, to {version:?}");
            Err(error(StatusCode::CONFLICT, &why))
        }
        (RolloutResult::Invalid, _) => Err(error(StatusCode::UNPROCESSABLE_ENTITY, &findings)),
        (RolloutResult::NotFound, _) => Err(error(
            StatusCode::NOT_FOUND,
            "no rollout was ordered for the service",
        )),
        (RolloutResult::Accepted | RolloutResult::Unknown, _) => Err(no_outcome()),
    }
}
