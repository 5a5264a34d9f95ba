//! A stub of control with fixed routes and a registry of the upstreams that
//! have announced themselves.

use super::{Fleet, ROUTE_HOST};
use crate::experiment::{CONTROL_PORT, Class, Experiment, Service};
use crate::router::{Cx, Output};
use node::Event;
use std::time::Duration;
use wire::{
    Body, ConfigDelta, Heartbeat, HeartbeatReply, ReplicaAddress, Route, RouteDestination,
    RouteKind, Routing, ServiceDelta, ServiceRules, UpstreamInfo,
};

/// Attempts per request, each at another upstream.
const MAX_ATTEMPTS: u32 = 3;
/// One-way latency between a daemon and control.
const CONTROL_LATENCY: Duration = Duration::from_millis(1);
/// Connections that an upstream accepts.
const MAX_CONNECTIONS: u32 = 220;
const MILLI_PER_UNIT: u64 = 1_000;

impl Fleet {
    /// Replies to heartbeats and ignores other messages.
    pub(super) fn handle_control_message(&mut self, daemon: usize, body: Body, cx: &mut Cx<'_>) {
        let Body::Heartbeat(heartbeat) = body else {
            return;
        };
        if self.daemons[daemon].announced != heartbeat.upstream {
            self.daemons[daemon]
                .announced
                .clone_from(&heartbeat.upstream);
            self.registry_version += 1;
        }
        let event = Event::Received {
            link: None,
            daemon: "control".into(),
            body: Body::HeartbeatReply(self.heartbeat_reply(&heartbeat)),
        };
        cx.tx.push(Output::Deliver {
            at: cx.now + CONTROL_LATENCY,
            daemon,
            event: Box::new(event),
        });
    }

    fn heartbeat_reply(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let due = heartbeat.subscriptions.iter();
        let due = due.filter(|s| s.version < self.registry_version);
        HeartbeatReply {
            sequence: heartbeat.sequence,
            confirmed: true,
            term: 1,
            replicas: vec![ReplicaAddress {
                address: format!("127.0.0.1:{CONTROL_PORT}"),
            }],
            config_version: self.config_version,
            config: (heartbeat.config_version < self.config_version).then(|| ConfigDelta {
                from: 0,
                to: self.config_version,
                out_data_centres: self.out_data_centres.clone(),
                last: true,
                routing: Some(self.routing.clone()),
                ..ConfigDelta::default()
            }),
            services: due.map(|s| self.service_delta(&s.service)).collect(),
            ..HeartbeatReply::default()
        }
    }

    fn service_delta(&self, service: &str) -> ServiceDelta {
        let serving = self.daemons.iter().filter_map(|d| {
            let announced = d.announced.as_ref().filter(|a| a.service == service)?;
            Some(UpstreamInfo {
                upstream: d.name.clone(),
                address: d.address.clone(),
                data_centre: d.data_centre.clone(),
                slots: announced.slots,
                leaving: announced.leaving,
                version: announced.version.clone(),
            })
        });
        ServiceDelta {
            service: service.into(),
            epoch: 1,
            version: self.registry_version,
            full: true,
            upstreams: serving.collect(),
            ..ServiceDelta::default()
        }
    }
}

pub(super) fn path_prefix(class: &str) -> String {
    format!("/{class}/")
}

pub(super) fn routing(experiment: &Experiment) -> Routing {
    let route = |class: &Class| Route {
        name: class.name.clone(),
        host: ROUTE_HOST.into(),
        prefix: path_prefix(&class.name),
        kind: match class.idempotent {
            true => RouteKind::Idempotent.into(),
            false => RouteKind::NonIdempotent.into(),
        },
        timeout_ms: class.deadline_ms,
        objective_ms: class.objective_ms,
        priority: class.priority,
        attempts: MAX_ATTEMPTS,
        destinations: vec![RouteDestination {
            service: class.service.clone(),
            weight: 1,
        }],
        ..Route::default()
    };
    let rules = |service: &Service| ServiceRules {
        name: service.name.clone(),
        connections: MAX_CONNECTIONS,
        cold_ms: (service.cold.for_s * 1_000.0) as u64,
        cold_per_s_milli: service.cold.per_s * MILLI_PER_UNIT,
        ..ServiceRules::default()
    };
    Routing {
        version: 1,
        routes: experiment.class.iter().map(route).collect(),
        services: experiment.service.iter().map(rules).collect(),
        ..Routing::default()
    }
}
