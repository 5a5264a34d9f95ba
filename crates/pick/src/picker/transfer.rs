//! The cost of transferring requests and responses between data centres.

use super::{Candidate, PickRequest, Picker};

/// Approximate size of the headers of a request and its response.
const HEADER_BYTES: f64 = 700.0;
const KILOBYTE: f64 = 1_024.0;

impl Picker {
    /// Returns the cost of transferring the request and response between data
    /// centres, in seconds.
    pub(super) fn transfer_cost(&self, request: PickRequest<'_>) -> f64 {
        let per_kb = self.settings.far_per_kb.as_secs_f64();
        let cost = per_kb * self.transferred_bytes(request) / KILOBYTE;
        let limit = self.settings.far_limit.map(|limit| limit.as_secs_f64());
        limit.map_or(cost, |limit| cost.min(limit))
    }

    /// Returns whether the cost of sending a request to a candidate is within the limit of
    /// the request.
    pub(super) fn is_transfer_allowed(
        &self,
        candidate: &Candidate,
        request: PickRequest<'_>,
    ) -> bool {
        let Some(max_transfer) = request.max_transfer else {
            return true;
        };
        candidate.data_centre == request.data_centre
            || self.transfer_cost(request) <= max_transfer.as_secs_f64()
    }

    /// Returns how long the request and response take on a network link, in seconds.
    #[expect(clippy::cast_precision_loss, reason = "links are slow enough")]
    pub(super) fn transfer_time(&self, request: PickRequest<'_>) -> f64 {
        match self.settings.link_bytes {
            0 => 0.0,
            rate => self.transferred_bytes(request) / rate as f64,
        }
    }

    /// Returns the size of the request and the expected response.
    #[expect(clippy::cast_precision_loss, reason = "bodies are short enough")]
    fn transferred_bytes(&self, request: PickRequest<'_>) -> f64 {
        let response = self.response_bytes.get(request.class).copied();
        request.bytes as f64 + response.unwrap_or_default() + HEADER_BYTES
    }
}
