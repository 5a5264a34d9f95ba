//! `plumhitch explain` and `plumhitch times` on saved logs.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::fs;
use std::process::{Command, Output};
use tempfile::TempDir;

const ENTRY: &str = "\
time=1000 level=INFO event=chosen id=7 attempt_id=a1 attempt=1 class=\"read\" upstream=b-1 \
deadline_ms=800 believed_slow_percent=100 suspected=false
time=1004 level=INFO event=chosen id=7 attempt_id=a1 attempt=2 class=\"read\" upstream=b-2 \
deadline_ms=796 believed_slow_percent=120 suspected=false
time=1005 level=INFO event=chosen id=8 attempt_id=a2 attempt=1 class=\"read\" upstream=b-2 \
deadline_ms=800 believed_slow_percent=120 suspected=false
time=1900 level=INFO event=request id=7 attempt_id=a1 customer=\"\" service=\"s\" class=\"read\" \
outcome=refused reason=deadline run=may-have-run status=0 attempts=2 upstream=b-2 took_us=800000
";
const GATE_1: &str = "\
time=1002 level=INFO event=not_admitted ticket=3 attempt_id=a1 class=read reason=Slow \
deadline_ms=798 believed_slow_percent=100 in_flight=2 waiting=0 limit=6 cold=false slow_percent=700
";
const GATE_2: &str = "\
time=1802 level=INFO event=run ticket=9 attempt_id=a1 class=read service=court upstream=i-2 outcome=Broken cancelled=true \
in_flight=6 waiting=3 limit=6 slow_percent=100 waited_us=12000 took_us=798000
not a line of a log
";

fn run_explain(id: &str) -> Output {
    let folder = TempDir::new().unwrap();
    let files = [("entry", ENTRY), ("gate-1", GATE_1), ("gate-2", GATE_2)].map(|(name, text)| {
        let path = folder.path().join(name);
        fs::write(&path, text).unwrap();
        path
    });
    Command::new(env!("CARGO_BIN_EXE_plumhitch"))
        .arg("explain")
        .arg(id)
        .args(files)
        .output()
        .unwrap()
}

#[test]
fn explain_orders_lines_of_all_processes_by_time() {
    let output = run_explain("a1");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "attempt 1 sent to b-1",
        "did not run it: Slow; 2 of 6 running",
        "attempt 2 sent to b-2",
        "run of court at i-2 ended as Broken after 798000 us (cancelled true), 12000 us in the queue \
         before; at its start 6 of 6",
        "final response: refused deadline may-have-run",
    ];
    assert_eq!(lines.len(), expected.len(), "{text}");
    for (line, expected) in lines.iter().zip(expected) {
        assert!(line.contains(expected), "{line} lacks {expected}");
    }
}

#[test]
fn explain_finds_request_by_daemon_id() {
    let text = String::from_utf8(run_explain("8").stdout).unwrap();
    assert!(text.contains("attempt 1 sent to b-2"), "{text}");
}

const CRASHES: &str = "\
time=1000 level=INFO event=run ticket=1 attempt_id=a1 fingerprint=00000000000000aa class=read \
outcome=Broken took_us=20000
time=1001 level=WARN event=upstream_crashed fingerprints=00000000000000bb,00000000000000aa
time=2000 level=INFO event=run ticket=2 attempt_id=a2 fingerprint=00000000000000aa class=read \
outcome=Broken took_us=20000
time=2500 level=INFO event=run ticket=3 attempt_id=a3 fingerprint=00000000000000cc class=read \
outcome=Whole(200) took_us=20000
";

#[test]
fn explain_finds_all_attempts_by_fingerprint() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("gate");
    fs::write(&file, CRASHES).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_plumhitch"))
        .args(["explain", "00000000000000aa"])
        .arg(file)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.lines().count(), 3, "{text}");
    assert!(text.contains("the upstream ended"), "{text}");
}

/// One file with the lines of all processes, each prefixed with the name of its
/// process, as written by a log collector.
const COLLECTED: &str = "\
e-1 time=900 level=INFO event=started daemon=e-1 data_centre=ams
b-1 time=900 level=INFO event=started daemon=b-1 data_centre=ams
b-2 time=900 level=INFO event=started daemon=b-2 data_centre=utr
b-1 time=1002 level=INFO event=run attempt_id=a1 class=read outcome=Whole(200) took_us=20000
e-1 time=1003 level=INFO event=request id=1 attempt_id=a1 service=\"s\" class=\"read\" \
outcome=answered attempts=1 upstream=b-1 took_us=21000
b-2 time=1005 level=INFO event=run attempt_id=a2 class=read outcome=Whole(200) took_us=20000
e-1 time=1006 level=INFO event=request id=2 attempt_id=a2 service=\"s\" class=\"read\" \
outcome=answered attempts=1 upstream=b-2 took_us=24000
e-1 time=1007 level=INFO event=request id=3 attempt_id=a3 service=\"s\" class=\"read\" \
outcome=refused attempts=1 upstream=b-2 took_us=5000
";

fn run_times(text: &str) -> Output {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("all");
    fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_plumhitch"));
    command.arg("times").arg(path).output().unwrap()
}

#[test]
fn times_reports_added_latency_by_class_and_distance() {
    let output = run_times(COLLECTED);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    let rows: Vec<Vec<&str>> = text
        .lines()
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(rows[1][..4], ["s", "read", "far", "1"], "{text}");
    assert_eq!(rows[2][..4], ["s", "read", "near", "1"], "{text}");
    let added = |row: usize| rows[row][6].parse::<f64>().unwrap();
    assert!(
        (added(1) - 4.0).abs() < 0.01 && (added(2) - 1.0).abs() < 0.01,
        "{text}"
    );
}

/// Guards against requests of unknown data centres that count as near: their start is
/// often not in the saved part of the log.
#[test]
fn times_without_data_centres_states_no_distance() {
    let lines = COLLECTED.lines().filter(|line| !line.contains("started"));
    let text: String = lines.map(|line| format!("{line}\n")).collect();
    let output = run_times(&text);
    let text = String::from_utf8(output.stdout).unwrap();
    let row: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
    assert_eq!(row[..4], ["s", "read", "?", "2"], "{text}");
}

#[test]
fn times_without_answered_requests_fails() {
    let output = run_times("e-1 time=900 level=INFO event=started daemon=e-1 data_centre=ams\n");
    assert!(!output.status.success());
}

#[test]
fn explain_unknown_id_fails() {
    let output = run_explain("nobody");
    assert!(!output.status.success());
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("no line names nobody")
    );
}
