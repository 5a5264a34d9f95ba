//! The load of the gate, and what is spent on measuring and reporting it.

use super::Admission;
use crate::context::Cx;
use pick::MeasuringCount;
use prost::Message;
use std::time::Duration;
use wire::{Body, Load, LoadUpdate};

/// Upper bound of the bytes that reading a load report costs: request and
/// response, with headers.
pub const REPORT_READ_COST_BYTES: u32 = 512;
/// Bytes around a load in a response: its tag and its length.
const LOAD_FIELD_OVERHEAD_BYTES: usize = 2;
/// Bytes of a separate load update besides the message itself, including the
/// headers of a TCP segment.
const LOAD_UPDATE_OVERHEAD_BYTES: usize = 60;

impl Admission {
    /// Returns the gate's exact load.
    #[must_use]
    pub fn load(&self) -> Load {
        self.gate.load()
    }

    /// Returns the load to attach to a response, or `None` if the measuring
    /// budget does not cover its bytes.
    pub fn load_to_send(&mut self, now: Duration) -> Option<Load> {
        let load = self.gate.load();
        let bytes =
            u32::try_from(load.encoded_len() + LOAD_FIELD_OVERHEAD_BYTES).unwrap_or(u32::MAX);
        self.measuring.spend(now, bytes, 0).then_some(load)
    }

    /// Charges the measuring budget for reading the upstream's load report
    /// once; returns whether the budget covers it, and the rate that the upstream
    /// states allows a request for it.
    pub fn may_read_report(&mut self, now: Duration) -> bool {
        self.begin_probe(now) && self.measuring.spend(now, REPORT_READ_COST_BYTES, 1)
    }

    /// Returns what measuring the load has cost so far.
    #[must_use]
    pub fn measuring(&self) -> MeasuringCount {
        self.measuring.count()
    }

    /// Sends the load to the entries that recently sent requests here if the
    /// upstream's slowness has changed, as far as the measuring budget allows.
    pub(super) fn notify_entries(&mut self, cx: &mut Cx<'_>) {
        let load = self.gate.load();
        for link in self
            .recent_entries
            .entries_to_notify(cx.now, load.slow_percent)
        {
            let update = LoadUpdate {
                upstream: cx.agent.name.to_string(),
                load,
            };
            let bytes = u32::try_from(update.encoded_len() + LOAD_UPDATE_OVERHEAD_BYTES)
                .unwrap_or(u32::MAX);
            if !self.measuring.spend(cx.now, bytes, 1) {
                return;
            }
            let body = Body::LoadUpdate(update);
            cx.tx.push(crate::Effect::Reply { link, body });
        }
    }
}
