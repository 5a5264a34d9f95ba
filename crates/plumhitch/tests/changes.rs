//! Runs `plumhitch` against fake daemons that lose responses, have no leader or
//! report conflicts.

#![allow(clippy::unwrap_used, clippy::panic)]

mod fake_daemon;

use api::Verdict;
use fake_daemon::{FakeDaemon, ScriptedResponse, outcome, status};
use serde_json::Value;
use std::path::Path;
use std::process::{Command, Output};
use test_case::test_case;

const ACCEPTED: i32 = 0;
const FAILED: i32 = 1;
const FINDINGS: i32 = 2;
const CONFLICT: i32 = 3;
const UNKNOWN: i32 = 4;

async fn plumhitch(daemons: &[&FakeDaemon], args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plumhitch"));
    command
        .env_remove("PLUMHITCH_DAEMONS")
        // The token must not be sent to a proxy set in the operator's environment.
        .env("http_proxy", "http://127.0.0.1:1")
        .args(["--json", "--author", "piet"]);
    for daemon in daemons {
        command.args(["--daemon", &daemon.address.to_string()]);
    }
    command.args(args);
    tokio::task::spawn_blocking(move || command.output().unwrap())
        .await
        .unwrap()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {output:?}"))
}

fn unavailable() -> ScriptedResponse {
    ScriptedResponse::Complete(503, r#"{"error":"no leader confirmed an outcome"}"#.into())
}

const OUT: [&str; 3] = ["data-centre", "out", "ams"];

#[test_case(ScriptedResponse::Lost; "lost")]
#[test_case(unavailable(); "unavailable")]
#[test_case(ScriptedResponse::Complete(500, "oops".into()); "server error")]
#[test_case(ScriptedResponse::Truncated(200, r#"{"verdict":"accepted","version":8}"#.into()); "cut short")]
#[test_case(ScriptedResponse::Complete(200, "{}".into()); "response without a verdict")]
#[test_case(ScriptedResponse::Complete(200, r#"{"verdict":"conflict","version":8}"#.into()); "verdict and status differ")]
#[tokio::test]
async fn change_is_retried_with_same_id_at_next_daemon(first: ScriptedResponse) {
    let a = FakeDaemon::start(&[status(7, &[])], &[first]).await;
    let b = FakeDaemon::start(&[status(7, &[])], &[outcome(Verdict::Accepted, 8)]).await;
    let output = plumhitch(&[&a, &b], &OUT).await;
    assert_eq!(output.status.code(), Some(ACCEPTED), "{output:?}");
    assert_eq!(json(&output)["version"], 8);
    assert_eq!(a.changes(), b.changes());
    let [change] = &b.changes()[..] else {
        panic!("{:?}", b.changes());
    };
    assert_eq!((change.base, change.author.as_str()), (7, "piet"));
    assert_eq!(json(&output)["change"], change.change);
}

#[test_case(&[ScriptedResponse::Lost]; "lost")]
#[test_case(&[unavailable()]; "unavailable")]
#[test_case(&[ScriptedResponse::Lost, ScriptedResponse::Complete(403, "".into())]; "lost and then rejected")]
#[test_case(&[ScriptedResponse::Complete(202, r#"{"verdict":"accepted","version":8}"#.into())]; "accepted with another status")]
#[tokio::test]
async fn change_without_outcome_is_unknown_and_prints_its_id(script: &[ScriptedResponse]) {
    let a = FakeDaemon::start(&[status(7, &[])], script).await;
    let output = plumhitch(&[&a], &["--timeout", "1", "data-centre", "out", "ams"]).await;
    assert_eq!(output.status.code(), Some(UNKNOWN), "{output:?}");
    assert_eq!(json(&output)["outcome"], "unknown");
    let changes = a.changes();
    assert_eq!(json(&output)["change"], changes[0].change);
    assert!(changes.iter().all(|c| c == &changes[0]));
}

#[tokio::test]
async fn change_rejected_at_first_attempt_fails() {
    let rejected = ScriptedResponse::Complete(401, r#"{"error":"token"}"#.into());
    let a = FakeDaemon::start(&[status(7, &[])], &[rejected]).await;
    let output = plumhitch(&[&a], &OUT).await;
    assert_eq!(output.status.code(), Some(FAILED), "{output:?}");
}

#[tokio::test]
async fn change_without_reachable_daemon_fails() {
    // Port 1 is below the range from which the system assigns ports, so nothing
    // listens there.
    let args = [
        "--daemon",
        "127.0.0.1:1",
        "--timeout",
        "1",
        "--base",
        "7",
        "upstream",
        "return",
        "a",
    ];
    let output = plumhitch(&[], &args).await;
    assert_eq!(output.status.code(), Some(FAILED), "{output:?}");
}

#[test_case(&["data-centre", "out", "ams"], &[], &[]; "out while the target stays in")]
#[test_case(&["data-centre", "return", "ams"], &["ams"], &["ams", "rtm"]; "return while the target stays out")]
#[tokio::test]
async fn conflict_on_another_target_is_retried(args: &[&str], before: &[&str], after: &[&str]) {
    let responses = [outcome(Verdict::Conflict, 8), outcome(Verdict::Accepted, 9)];
    let a = FakeDaemon::start(&[status(7, before), status(8, after)], &responses).await;
    let output = plumhitch(&[&a], args).await;
    assert_eq!(output.status.code(), Some(ACCEPTED), "{output:?}");
    let [first, second] = &a.changes()[..] else {
        panic!("{:?}", a.changes());
    };
    assert_eq!((first.base, second.base), (7, 8));
    assert_ne!(first.change, second.change);
    assert_eq!(first.operation, second.operation);
}

#[test_case(&["data-centre", "out", "ams"], &["ams"]; "target changed too")]
#[test_case(&["--base", "7", "data-centre", "out", "ams"], &[]; "base given")]
#[test_case(&["--change", "c-1", "data-centre", "out", "ams"], &[]; "id given")]
#[tokio::test]
async fn conflict_is_reported_with_winner(args: &[&str], after: &[&str]) {
    let a = FakeDaemon::start(
        &[status(7, &[]), status(8, after)],
        &[outcome(Verdict::Conflict, 8)],
    )
    .await;
    let output = plumhitch(&[&a], args).await;
    assert_eq!(output.status.code(), Some(CONFLICT), "{output:?}");
    assert_eq!(json(&output)["winner"]["change"], "c-winner");
    assert_eq!(a.changes().len(), 1);
}

fn write_list(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test_case(Verdict::Accepted, ACCEPTED)]
#[test_case(Verdict::Conflict, CONFLICT)]
#[test_case(Verdict::Invalid, FINDINGS)]
#[tokio::test]
async fn apply_sends_lists_once(verdict: Verdict, code: i32) {
    let dir = tempfile::tempdir().unwrap();
    let text = "[customers]\nguest = guest\n";
    let customers = write_list(dir.path(), "customers.ini", text);
    let a = FakeDaemon::start(&[status(7, &[])], &[outcome(verdict, 8)]).await;
    let output = plumhitch(&[&a], &["apply", "--customers", &customers]).await;
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let [change] = &a.changes()[..] else {
        panic!("{:?}", a.changes());
    };
    let expected = api::Operation::Lists {
        customers: Some(text.to_owned()),
        plans: None,
    };
    assert_eq!(change.operation, expected);
}

#[tokio::test]
async fn apply_and_check_report_same_findings() {
    let dir = tempfile::tempdir().unwrap();
    let customers = write_list(dir.path(), "customers.ini", "[customers]\nguest = gust\n");
    let plans = write_list(
        dir.path(),
        "plans.ini",
        "[plan guest]\nrate = 5\nin-flight = 2\n",
    );
    let files = ["--plans", &plans, "--customers", &customers];
    let a = FakeDaemon::start(&[status(7, &[])], &[outcome(Verdict::Accepted, 8)]).await;
    let apply = plumhitch(&[&a], &[&["apply"], &files[..]].concat()).await;
    let check = plumhitch(&[], &[&["check"], &files[..]].concat()).await;
    assert_eq!(apply.status.code(), Some(FINDINGS), "{apply:?}");
    assert_eq!(json(&apply), json(&check));
    assert_eq!(json(&check)["findings"].as_array().map(Vec::len), Some(1));
    assert!(a.requests().is_empty());
}

#[test_case(&["data-centre", "out", "asm"], FAILED; "misspelt")]
#[test_case(&["data-centre", "out", "--unknown", "asm"], ACCEPTED; "unknown allowed")]
#[test_case(&["upstream", "out", "booking-1"], ACCEPTED; "upstream")]
#[test_case(&["--base", "7", "upstream", "out", "ams"], FAILED; "data centre as upstream")]
#[tokio::test]
async fn out_requires_registered_target(args: &[&str], code: i32) {
    let a = FakeDaemon::start(&[status(7, &[])], &[outcome(Verdict::Accepted, 8)]).await;
    let output = plumhitch(&[&a], args).await;
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert_eq!(a.changes().len(), usize::from(code == ACCEPTED));
}

#[tokio::test]
async fn token_is_sent_to_daemon_without_proxy() {
    let dir = tempfile::tempdir().unwrap();
    let token = write_list(dir.path(), "token", "s3cret\n");
    let a = FakeDaemon::start(&[status(7, &[])], &[outcome(Verdict::Accepted, 8)]).await;
    let output = plumhitch(&[&a], &["--token-file", &token, "status"]).await;
    assert_eq!(json(&output)["version"], 7);
    let head = a.requests()[0].head.to_ascii_lowercase();
    assert!(head.contains("authorization: bearer s3cret"), "{head}");
}

#[test_case(1, unavailable(), &[ScriptedResponse::Complete(204, "".into())], ACCEPTED; "done")]
#[test_case(1, unavailable(), &[ScriptedResponse::Complete(409, "".into())], FAILED; "refused")]
#[test_case(1, unavailable(), &[ScriptedResponse::Lost], UNKNOWN; "lost")]
#[test_case(1, status(1, &[]), &[ScriptedResponse::Complete(204, "".into())], FAILED; "fleet exists")]
#[test_case(1, ScriptedResponse::Lost, &[ScriptedResponse::Complete(204, "".into())], FAILED; "status request lost")]
#[test_case(2, unavailable(), &[ScriptedResponse::Complete(204, "".into())], FAILED; "two daemons")]
#[tokio::test]
async fn initialise_is_sent_once_and_only_without_fleet(
    daemons: usize,
    status_response: ScriptedResponse,
    script: &[ScriptedResponse],
    code: i32,
) {
    let sent = daemons == 1 && matches!(status_response, ScriptedResponse::Complete(503, _));
    let a = FakeDaemon::start(&[status_response], script).await;
    let output = plumhitch(&vec![&a; daemons], &["initialise"]).await;
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let requests = a.requests();
    let posts = requests
        .iter()
        .filter(|s| s.head.starts_with("POST /v1/initialise "));
    assert_eq!(posts.count(), usize::from(sent));
}

#[tokio::test]
async fn history_is_printed_as_text() {
    let item =
        r#"{"version":8,"change":"c-1","author":"anna","summary":"lists","at_ms":951782400000}"#;
    let body = format!(r#"{{"entries":[{item}]}}"#);
    let a = FakeDaemon::start(&[status(7, &[])], &[ScriptedResponse::Complete(200, body)]).await;
    let daemon = a.address.to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_plumhitch"));
    command
        .env("PLUMHITCH_DAEMONS", format!("{daemon}, "))
        .args(["history", "--limit", "1"]);
    let output = tokio::task::spawn_blocking(move || command.output().unwrap())
        .await
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(
        text,
        "version 8  2000-02-29 00:00:00 UTC  anna  lists  (change c-1)\n"
    );
    assert!(a.requests()[0].head.starts_with("GET /v1/history?limit=1 "));
}
