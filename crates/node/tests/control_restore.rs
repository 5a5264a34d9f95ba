//! Restoring the control role from a snapshot.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use conf::{DaemonSettings, ListenSettings, Settings};
use node::{Effect, Event, Node, NodeOptions, step};
use replica::{HardState, Recovered, Replica, ReplicaOptions, Snapshot};
use std::net::SocketAddr;
use std::time::Duration;

/// Returns the log events of a control replica that starts from a snapshot.
fn start_events(state: &'static [u8]) -> Vec<&'static str> {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let listen = ListenSettings {
        callers: None,
        operators: address(7200),
        peers: address(7300),
    };
    let daemon = DaemonSettings {
        name: "control-1".into(),
        data_centre: "ams".into(),
    };
    let recovered = Recovered {
        hard_state: Some(HardState {
            id: 5,
            cluster: 1,
            ..HardState::default()
        }),
        snapshot: Some(Snapshot {
            index: 7,
            term: 1,
            state: state.into(),
            ..Snapshot::default()
        }),
        ..Recovered::default()
    };
    let options = ReplicaOptions::new("127.0.0.1:7300", 1);
    let mut node = Node::new(NodeOptions {
        settings: Settings::new(daemon, listen, address(8000)),
        incarnation: 1,
        seed: 1,
        replica: Some(Replica::new(options, recovered, Duration::ZERO)),
        policy: pick::Policy::default(),
    });
    let mut tx = Vec::new();
    let tick = Event::Tick { unix_ms: 0 };
    step(&mut node, Duration::from_millis(10), tick, &mut tx);
    let lines = tx.into_iter().filter_map(|effect| match effect {
        Effect::Log(line) => Some(line.event),
        _ => None,
    });
    lines.collect()
}

/// Guards against a log that says that a snapshot was restored when it was not.
#[test]
fn snapshot_that_cannot_be_restored_is_logged_as_such_only() {
    let events = start_events(b"\xff\xff\xff");
    assert!(events.contains(&"control_halted"), "{events:?}");
    assert!(!events.contains(&"control_snapshot_restored"), "{events:?}");
}
