//! Runs `plumhitch rollout` against fake daemons.

#![allow(clippy::unwrap_used, clippy::panic)]

#[allow(dead_code)]
mod fake_daemon;

use fake_daemon::{FakeDaemon, ScriptedResponse, status};
use serde_json::{Value, json};
use std::process::{Command, Output};
use test_case::test_case;

const DONE: i32 = 0;
const FAILED: i32 = 1;
const FINDINGS: i32 = 2;
const CONFLICT: i32 = 3;
const UNKNOWN: i32 = 4;

const START: [&str; 6] = ["rollout", "start", "booking", "v2", "--within", "90s"];

async fn plumhitch(daemons: &[&FakeDaemon], args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plumhitch"));
    command.env_remove("PLUMHITCH_DAEMONS").arg("--json");
    for daemon in daemons {
        command.args(["--daemon", &daemon.address.to_string()]);
    }
    command.args(args);
    tokio::task::spawn_blocking(move || command.output().unwrap())
        .await
        .unwrap()
}

fn printed(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {output:?}"))
}

async fn daemon(responses: &[ScriptedResponse]) -> FakeDaemon {
    FakeDaemon::start(&[status(7, &[])], responses).await
}

fn rollout(state: &str) -> ScriptedResponse {
    let body = json!({
        "rollout": 9, "service": "booking", "version": "v2", "within_ms": 90_000,
        "state": state, "share_ppm": 80_000,
    });
    ScriptedResponse::Complete(200, body.to_string())
}

fn error(status: u16) -> ScriptedResponse {
    ScriptedResponse::Complete(status, r#"{"error":"why"}"#.into())
}

/// Guards against a second order, or a changed one, when a response is lost.
#[test_case(ScriptedResponse::Lost; "lost")]
#[test_case(error(503); "no leader")]
#[test_case(ScriptedResponse::Complete(200, "{}".into()); "response without a rollout")]
#[tokio::test]
async fn start_sends_same_order_to_next_daemon(first: ScriptedResponse) {
    let a = daemon(&[first]).await;
    let b = daemon(&[rollout("active")]).await;
    let output = plumhitch(&[&a, &b], &START).await;
    assert_eq!(output.status.code(), Some(DONE), "{output:?}");
    assert_eq!(printed(&output)["state"], "active");
    let [sent, again] = [a.requests().remove(0), b.requests().remove(0)];
    assert_eq!(sent.body, again.body);
    assert!(sent.head.starts_with("POST /v1/rollouts "), "{}", sent.head);
    let order: Value = serde_json::from_str(&sent.body).unwrap();
    let expected = json!({"service": "booking", "version": "v2", "within_ms": 90_000});
    assert_eq!(order, expected);
}

#[test_case(error(409), CONFLICT, "conflict"; "another one in progress")]
#[test_case(error(422), FINDINGS, "invalid"; "findings")]
#[test_case(error(400), FAILED, "failed"; "not valid")]
#[tokio::test]
async fn start_refused_exits_with_reason(response: ScriptedResponse, code: i32, outcome: &str) {
    let a = daemon(&[response]).await;
    let output = plumhitch(&[&a], &START).await;
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert_eq!(printed(&output)["outcome"], outcome);
    assert!(printed(&output)["error"].as_str().unwrap().ends_with("why"));
    assert_eq!(a.requests().len(), 1);
}

#[tokio::test]
async fn start_without_outcome_is_unknown() {
    let a = daemon(&[ScriptedResponse::Lost]).await;
    let args = [&["--timeout", "1"][..], &START].concat();
    let output = plumhitch(&[&a], &args).await;
    assert_eq!(output.status.code(), Some(UNKNOWN), "{output:?}");
}

#[test_case("active"; "active")]
#[test_case("complete"; "complete")]
#[test_case("rolled-back"; "rolled back")]
#[tokio::test]
async fn status_shows_state(state: &str) {
    let a = daemon(&[rollout(state)]).await;
    let output = plumhitch(&[&a], &["rollout", "status", "booking"]).await;
    assert_eq!(output.status.code(), Some(DONE), "{output:?}");
    assert_eq!(printed(&output)["state"], state);
    let head = a.requests().remove(0).head;
    assert!(head.starts_with("GET /v1/rollouts/booking "), "{head}");
}

#[tokio::test]
async fn status_without_rollout_fails() {
    let a = daemon(&[error(404)]).await;
    let output = plumhitch(&[&a], &["rollout", "status", "booking"]).await;
    assert_eq!(output.status.code(), Some(FAILED), "{output:?}");
}

#[test_case("0s"; "zero")]
#[test_case("12"; "no unit")]
#[test_case("s"; "no number")]
#[test_case("-1s"; "negative")]
#[test_case("99999999999999999h"; "too long")]
#[tokio::test]
async fn start_refuses_duration(text: &str) {
    let a = daemon(&[rollout("active")]).await;
    let args = ["rollout", "start", "booking", "v2", "--within", text];
    let output = plumhitch(&[&a], &args).await;
    assert_eq!(output.status.code(), Some(FAILED), "{output:?}");
    assert!(a.requests().is_empty());
}
