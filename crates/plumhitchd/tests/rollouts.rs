//! The operators' interface for rollouts of a real daemon, with replies of a stand-in
//! for the control leader.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use futures_util::{SinkExt, StreamExt};
use reqwest::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{Daemon, Options, WAIT_TIMEOUT, free_address};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;
use wire::{
    Body, ConfigDelta, ControlReply, Frame, FrameCodec, HeartbeatReply, Hello, LinkKind,
    OrderPosition, PROTOCOL_VERSION, Rollout, RolloutOrder, RolloutOutcome, RolloutResult,
    RolloutStage, control_reply, control_request,
};

/// Position that orders must state to be taken.
const NEWEST_ORDER: OrderPosition = OrderPosition { term: 1, number: 4 };

/// Stand-in for the control leader.
#[derive(Default)]
struct Leader {
    outcome: Mutex<RolloutOutcome>,
    orders: Mutex<Vec<RolloutOrder>>,
}

impl Leader {
    async fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).await.unwrap();
        let leader = Arc::new(Self::default());
        let shared = leader.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, shared.clone()));
            }
        });
        leader
    }

    fn answer(&self, result: RolloutResult, stage: Option<RolloutStage>) {
        *self.outcome.lock().unwrap() = RolloutOutcome {
            result: result.into(),
            rollout: stage.map(|stage| Rollout {
                id: 9,
                service: "booking".into(),
                version: "v2".into(),
                duration_ms: 90_000,
                stage: stage.into(),
                share_ppm: 80_000,
                ..Rollout::default()
            }),
            findings: vec!["the service is not known".into()],
        };
    }

    fn control_reply(&self, kind: control_request::Kind) -> control_reply::Kind {
        if let control_request::Kind::StartRollout(order) = kind {
            if order.base != Some(NEWEST_ORDER) {
                return control_reply::Kind::NewestOrder(NEWEST_ORDER);
            }
            self.orders.lock().unwrap().push(order);
        }
        control_reply::Kind::Rollout(self.outcome.lock().unwrap().clone())
    }

    fn reply(&self, body: Body) -> Option<Body> {
        match body {
            Body::Heartbeat(heartbeat) => Some(Body::HeartbeatReply(HeartbeatReply {
                sequence: heartbeat.sequence,
                confirmed: true,
                config_version: 1,
                config: (heartbeat.config_version == 0).then(|| ConfigDelta {
                    to: 1,
                    last: true,
                    plans: Some(String::new()),
                    ..ConfigDelta::default()
                }),
                term: 1,
                ..HeartbeatReply::default()
            })),
            Body::ControlRequest(request) => Some(Body::ControlReply(ControlReply {
                id: request.id,
                leader: true,
                kind: request.kind.map(|kind| self.control_reply(kind)),
                ..ControlReply::default()
            })),
            Body::Hello(_) => Some(Body::Hello(Hello {
                version: PROTOCOL_VERSION,
                daemon: "control-1".to_owned(),
                kind: LinkKind::Unknown.into(),
            })),
            Body::Ping(_) => Some(Body::Pong(wire::Pong {})),
            _ => None,
        }
    }
}

async fn serve(stream: TcpStream, leader: Arc<Leader>) {
    let mut frames = Framed::new(stream, FrameCodec::new());
    while let Some(Ok(frame)) = frames.next().await {
        let reply = frame.body.and_then(|body| leader.reply(body));
        if let Some(body) = reply
            && frames.send(Frame::new(body)).await.is_err()
        {
            return;
        }
    }
}

async fn call(daemon: &Daemon, method: Method, path: &str, body: &str) -> (u16, Value) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}{path}", daemon.operators);
    let response = client
        .request(method, url)
        .body(body.to_owned())
        .send()
        .await;
    let response = response.unwrap();
    let status = response.status().as_u16();
    (status, response.json().await.unwrap_or(Value::Null))
}

async fn start() -> (Arc<Leader>, Daemon) {
    let control = free_address();
    let leader = Leader::start(control).await;
    let daemon = Daemon::start(Options {
        name: "booking-1",
        upstream: free_address(),
        peers: free_address(),
        replicas: &[control],
        settings: "",
    });
    leader.answer(RolloutResult::NotFound, None);
    let started = Instant::now();
    loop {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the daemon is not ready");
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let url = format!("http://{}/v1/health", daemon.operators);
        let response = client.get(url).send().await;
        if response.is_ok_and(|res| res.status() == 200) {
            return (leader, daemon);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

const ORDER: &str = r#"{"service":"booking","version":"v2","within_ms":90000}"#;

#[tokio::test(flavor = "multi_thread")]
async fn rollouts_translates_replies_of_leader() {
    let (leader, daemon) = start().await;
    let path = "/v1/rollouts/booking";
    assert_eq!(call(&daemon, Method::GET, path, "").await.0, 404);

    leader.answer(RolloutResult::Accepted, Some(RolloutStage::Canary));
    let body = json!({
        "rollout": 9, "service": "booking", "version": "v2", "within_ms": 90_000,
        "state": "active", "share_ppm": 80_000,
    });
    let ordered = call(&daemon, Method::POST, "/v1/rollouts", ORDER).await;
    assert_eq!(ordered, (200, body.clone()));
    assert_eq!(call(&daemon, Method::GET, path, "").await, (200, body));
    let order = RolloutOrder {
        service: "booking".into(),
        version: "v2".into(),
        duration_ms: 90_000,
        base: Some(NEWEST_ORDER),
    };
    assert_eq!(*leader.orders.lock().unwrap(), [order]);

    let expected = [
        (RolloutResult::InProgress, 409),
        (RolloutResult::Invalid, 422),
        (RolloutResult::Unknown, 503),
    ];
    for (result, status) in expected {
        leader.answer(result, Some(RolloutStage::Canary));
        let answer = call(&daemon, Method::POST, "/v1/rollouts", ORDER).await;
        assert_eq!(answer.0, status, "{answer:?}");
    }
    for (stage, state) in [
        (RolloutStage::Switched, "active"),
        (RolloutStage::Complete, "complete"),
        (RolloutStage::RolledBack, "rolled-back"),
    ] {
        leader.answer(RolloutResult::Accepted, Some(stage));
        let answer = call(&daemon, Method::GET, path, "").await;
        assert_eq!(answer.1["state"], state);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rollouts_refuses_what_is_no_order() {
    let (leader, daemon) = start().await;
    for body in [
        "{}",
        "",
        r#"{"service":"booking","version":"v2","within":"9s"}"#,
    ] {
        let answer = call(&daemon, Method::POST, "/v1/rollouts", body).await;
        assert_eq!(answer.0, 400, "{body}");
    }
    for (method, path) in [
        (Method::GET, "/v1/rollouts/"),
        (Method::GET, "/v1/rollouts"),
        (Method::POST, "/v1/rollouts/booking"),
    ] {
        assert_eq!(call(&daemon, method, path, ORDER).await.0, 404, "{path}");
    }
    assert!(leader.orders.lock().unwrap().is_empty());
}
