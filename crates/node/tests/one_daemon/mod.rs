//! One daemon without a control replica, and events for it.
#![allow(dead_code, unreachable_pub, missing_docs)]

use conf::{DaemonSettings, ListenSettings, Settings};
use node::{Effect, Event, Node, NodeOptions, admission, step};
use std::net::SocketAddr;
use std::time::Duration;
use wire::{Body, ConfigDelta, HeartbeatReply};

/// Returns the settings of a daemon that serves with old configuration.
pub fn settings(name: &str) -> Settings {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let listen = ListenSettings {
        callers: Some(address(7100)),
        operators: address(7200),
        peers: address(7300),
    };
    let daemon = DaemonSettings {
        name: name.into(),
        data_centre: "ams".into(),
    };
    let mut settings = Settings::new(daemon, listen, address(8000));
    settings.control.replicas = vec![address(7301)];
    settings.control.serve_stale = true;
    settings
}

/// Returns a daemon that knows nothing yet.
pub fn node(settings: Settings) -> Node {
    Node::new(NodeOptions {
        settings,
        incarnation: 1,
        seed: 1,
        replica: None,
        policy: pick::Policy::default(),
    })
}

pub fn run(node: &mut Node, at_ms: u64, event: Event) -> Vec<Effect> {
    let mut tx = Vec::new();
    step(node, Duration::from_millis(at_ms), event, &mut tx);
    tx
}

/// Returns a daemon with the first configuration, which control has confirmed.
pub fn configured(settings: Settings) -> Node {
    let mut node = node(settings);
    for effect in run(&mut node, 0, Event::Tick { unix_ms: 0 }) {
        let Effect::Send {
            body: Body::Heartbeat(heartbeat),
            ..
        } = effect
        else {
            continue;
        };
        let config = ConfigDelta {
            to: 1,
            last: true,
            ..ConfigDelta::default()
        };
        let reply = HeartbeatReply {
            sequence: heartbeat.sequence,
            confirmed: true,
            config_version: 1,
            config: Some(config),
            term: 1,
            ..HeartbeatReply::default()
        };
        let received = Event::Received {
            link: None,
            daemon: "control-1".into(),
            body: Body::HeartbeatReply(reply),
        };
        run(&mut node, 1, received);
    }
    node
}

/// Passes an event to the gate; returns the gate's effects.
pub fn admit(node: &mut Node, at_ms: u64, event: admission::Event) -> Vec<admission::Effect> {
    let effects = run(node, at_ms, Event::Admission(event)).into_iter();
    let admissions = effects.filter_map(|effect| match effect {
        Effect::Admission(effect) => Some(effect),
        _ => None,
    });
    admissions.collect()
}
