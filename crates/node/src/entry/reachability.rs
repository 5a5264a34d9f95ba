//! Which upstreams and data centres the entry can reach.

use super::Entry;
use super::outcome::UNAVAILABLE_TIME;
use crate::context::Cx;
use crate::effect::{Effect, LogLine};
use wire::{DataCentreId, UpstreamId};

impl Entry {
    /// Avoids the upstream to which a connection failed, and its data centre if it
    /// seems unreachable. A peer that closes its connection in order can be reached.
    pub fn link_failed(&mut self, address: &str, closed_by_peer: bool, cx: &mut Cx<'_>) {
        let Some((upstream, data_centre)) = self.upstream_at(address, cx) else {
            return;
        };
        for picker in self.pickers.values_mut() {
            picker.record_unavailable(&upstream, cx.now + UNAVAILABLE_TIME);
        }
        if closed_by_peer {
            return;
        }
        let lost = self
            .reachability
            .record_failure(cx.now, &data_centre, &upstream);
        if lost {
            log_change("data_centre_unreachable", &data_centre, cx);
        }
    }

    /// Records a reply from the gate of an upstream.
    pub(super) fn record_reachable(&mut self, service: &str, upstream: &str, cx: &mut Cx<'_>) {
        let view = cx.agent.service(service);
        let known = view.and_then(|view| view.upstreams.get(upstream));
        let Some(data_centre) = known.map(|u| u.data_centre.clone()) else {
            return;
        };
        if self.reachability.record_reply(&data_centre) {
            log_change("data_centre_reachable", &data_centre, cx);
        }
    }

    fn upstream_at(&self, address: &str, cx: &mut Cx<'_>) -> Option<(UpstreamId, DataCentreId)> {
        self.pickers.keys().find_map(|service| {
            let view = cx.agent.service(service)?;
            let mut upstreams = view.upstreams.iter();
            let (name, upstream) = upstreams.find(|(_, u)| u.address == address)?;
            Some((name.clone(), upstream.data_centre.clone()))
        })
    }
}

fn log_change(event: &'static str, data_centre: &str, cx: &mut Cx<'_>) {
    cx.tx.push(Effect::Log(LogLine {
        level: log::Level::Info,
        event,
        pairs: vec![("data_centre", data_centre.to_owned())],
    }));
}
