//! Command line and exit codes of the daemon.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::net::TcpListener;
use std::process::{Command, Output};
use test_case::test_case;

const VALID: &str = "[daemon]\nname = booking-1\ndata-centre = ams\n\n\
                     [listen]\ncallers = 127.0.0.1:7100\noperators = 127.0.0.1:7200\n\
                     peers = 127.0.0.1:PORT\n\n[upstream]\naddress = 127.0.0.1:8000\n\n\
                     [control]\nreplicas = 127.0.0.1:7300\n";

fn run(settings: &str, check: bool) -> Output {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("plumhitchd.ini");
    std::fs::write(&path, settings).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_plumhitchd"));
    command.arg("--settings").arg(path);
    if check {
        command.arg("--check");
    }
    command.output().unwrap()
}

#[test]
fn check_valid_settings_exits_with_0() {
    let output = run(&VALID.replace("PORT", "7300"), true);
    assert_eq!(output.status.code(), Some(0));
    assert!(
        String::from_utf8(output.stdout)
            .unwrap()
            .contains("no findings")
    );
}

#[test_case(true; "check")]
#[test_case(false; "start")]
fn settings_with_findings_exit_with_2(check: bool) {
    let invalid = VALID.replace("PORT", "nowhere").replace("name =", "nam =");
    let output = run(&invalid, check);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("nam = booking-1"), "{stderr}");
    assert!(stderr.contains("peers = 127.0.0.1:nowhere"), "{stderr}");
    assert!(stderr.contains("valid: IP:PORT"), "{stderr}");
}

#[test]
fn address_in_use_exits_with_1() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = taken.local_addr().unwrap().port().to_string();
    let output = run(&VALID.replace("PORT", &port), false);
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains(&format!("127.0.0.1:{port}")), "{stderr}");
}
