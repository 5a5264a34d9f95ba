//! One daemon without a control replica, and events for it.
#![allow(dead_code, unreachable_pub, missing_docs)]

use conf::{DaemonSettings, ListenSettings, Settings};
use node::{Effect, Event, Node, NodeOptions, step};
use std::net::SocketAddr;
use std::time::Duration;

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
