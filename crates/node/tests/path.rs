//! The basic path through the state machine: announcement, view of the service,
//! request, response.

mod requests;

use conf::{DaemonSettings, ListenSettings, Settings};
use node::{Effect, Event, Node, NodeOptions, admission, entry, step};
use replica::DiskDone;
use std::net::SocketAddr;
use std::time::Duration;
use wire::{
    Announcement, Body, ChangeOperation, ChangeRequest, Lists, OperationKind, control_request,
};

fn daemon() -> Node {
    let listen = ListenSettings {
        callers: Some(SocketAddr::from(([127, 0, 0, 1], 7100))),
        operators: SocketAddr::from(([127, 0, 0, 1], 7200)),
        peers: SocketAddr::from(([127, 0, 0, 1], 7300)),
    };
    let daemon = DaemonSettings {
        name: "booking-1".into(),
        data_centre: "ams".into(),
    };
    let mut settings = Settings::new(daemon, listen, SocketAddr::from(([127, 0, 0, 1], 8000)));
    settings.control.replicas = vec![listen.peers];
    Node::new(NodeOptions {
        settings,
        incarnation: 1,
        seed: 1,
        replica: Some(replica::Replica::new(
            replica::ReplicaOptions::new("127.0.0.1:7300", 1),
            replica::Recovered::default(),
            Duration::ZERO,
        )),
        policy: pick::Policy::default(),
    })
}

fn initialised_daemon() -> Node {
    let mut node = daemon();
    for event in [Event::Initialise, Event::Tick { unix_ms: 0 }] {
        let effects = run(&mut node, 0, event);
        loop_back(&mut node, 0, effects);
    }
    let lists = operator_change(Lists {
        customers: Some("[customers]\ntc-utrecht = club\n".into()),
        plans: Some("[plan club]\nrate = 20\nin-flight = 5\n".into()),
    });
    // The second heartbeat delivers the lists.
    for (at_ms, event) in [(1, lists), (1_200, Event::Tick { unix_ms: 0 })] {
        let effects = run(&mut node, at_ms, event);
        loop_back(&mut node, at_ms, effects);
    }
    node
}

fn operator_change(lists: Lists) -> Event {
    let operation = ChangeOperation {
        kind: OperationKind::Lists.into(),
        target: String::new(),
        lists: Some(lists),
    };
    let change = ChangeRequest {
        change: "c-1".into(),
        base: 1,
        author: "anna".into(),
        operation: Some(operation),
    };
    Event::Operator {
        id: 1,
        kind: control_request::Kind::Change(change),
    }
}

fn run(node: &mut Node, at_ms: u64, event: Event) -> Vec<Effect> {
    let mut tx = Vec::new();
    step(node, Duration::from_millis(at_ms), event, &mut tx);
    tx
}

/// Delivers control messages that the daemon sends to itself, and completes its
/// disk operations.
fn loop_back(node: &mut Node, at_ms: u64, effects: Vec<Effect>) -> Vec<Effect> {
    let mut rest = Vec::new();
    for effect in effects {
        let event = match effect {
            Effect::Send { body, .. } | Effect::Reply { body, .. } => {
                let is_request = matches!(body, Body::Heartbeat(_) | Body::ControlRequest(_));
                let link = is_request.then_some(1);
                let daemon = "booking-1".into();
                Event::Received { link, daemon, body }
            }
            Effect::Disk(op) => Event::DiskDone(DiskDone {
                id: op.id,
                result: Ok(()),
            }),
            Effect::Log(_) => continue,
            other => {
                rest.push(other);
                continue;
            }
        };
        let next = run(node, at_ms, event);
        rest.extend(loop_back(node, at_ms, next));
    }
    rest
}

fn request() -> entry::Request {
    entry::Request {
        customer: "tc-utrecht".into(),
        service: "booking".into(),
        fingerprint: 7,
        ..requests::request(1)
    }
}

#[test]
fn request_waits_for_its_service_and_is_forwarded() {
    let mut node = initialised_daemon();
    let sent = run(&mut node, 1310, Event::Tick { unix_ms: 0 });
    loop_back(&mut node, 1311, sent);

    let effects = run(
        &mut node,
        1320,
        Event::Entry(entry::Event::Arrived(request())),
    );
    assert!(effects.is_empty(), "{effects:?}");
    let announced = Announcement {
        service: "booking".into(),
        slots: 6,
        boot: "b1".into(),
        leaving: false,
        ..Announcement::default()
    };
    let effects = run(
        &mut node,
        1325,
        Event::Admission(admission::Event::Announced(announced)),
    );
    assert!(effects.is_empty(), "{effects:?}");
    let sent = run(&mut node, 1330, Event::Tick { unix_ms: 0 });
    let effects = loop_back(&mut node, 1331, sent);
    let [Effect::Entry(entry::Effect::Forward(attempt))] = &effects[..] else {
        panic!("not forwarded: {effects:?}");
    };
    assert_eq!(attempt.upstream, "booking-1");
    assert_eq!(attempt.address, "127.0.0.1:7300");
}

#[test]
fn request_before_first_heartbeat_reply_is_refused_as_not_run() {
    let mut node = daemon();
    let effects = run(&mut node, 0, Event::Entry(entry::Event::Arrived(request())));
    let Some(Effect::Entry(entry::Effect::Refuse(1, refusal))) = effects.first() else {
        panic!("not refused: {effects:?}");
    };
    assert_eq!(refusal.reason, entry::Reason::Stale);
    assert_eq!(refusal.run, entry::RunState::NotRun);
}

#[test]
fn request_of_an_unknown_customer_is_refused_as_not_run() {
    let mut node = initialised_daemon();
    let mut request = request();
    request.customer = "tc-nobody".into();
    let effects = run(
        &mut node,
        1_310,
        Event::Entry(entry::Event::Arrived(request)),
    );
    let Some(Effect::Entry(entry::Effect::Refuse(1, refusal))) = effects.first() else {
        panic!("not refused: {effects:?}");
    };
    assert_eq!(refusal.reason, entry::Reason::UnknownCustomer);
    assert_eq!(refusal.run, entry::RunState::NotRun);
}
