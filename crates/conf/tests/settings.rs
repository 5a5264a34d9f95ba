//! Tests of settings files. Each invalid file has its expected findings beside it.

#![allow(clippy::unwrap_used)]

use conf::Settings;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;
use test_case::test_case;

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join(name)
}

fn load(kind: &str, file: &str) -> Result<Settings, conf::Findings> {
    let text = fs::read_to_string(folder(kind).join(file)).unwrap();
    Settings::parse(file, &text)
}

#[test_case("lacking.ini")]
#[test_case("unknown.ini")]
#[test_case("values.ini")]
#[test_case("hedge_ratio.ini")]
#[test_case("together.ini")]
#[test_case("syntax.ini")]
fn invalid_settings(file: &str) {
    let expected = folder("invalid/settings")
        .join(file)
        .with_extension("findings");
    let expected = fs::read_to_string(expected).unwrap();
    let findings = load("invalid/settings", file).unwrap_err();
    assert_eq!(findings.lines().join("\n"), expected.trim_end());
}

#[test]
fn settings_smallest_has_defaults() {
    let settings = load("valid/settings", "smallest.ini").unwrap();
    let mut expected = Settings::new(
        settings.daemon.clone(),
        settings.listen,
        settings.upstream.as_ref().unwrap().address,
    );
    expected.control.replicas = vec![settings.listen.peers];
    assert_eq!(settings, expected);
}

#[test]
fn settings_values_replace_defaults() {
    let cfg = load("valid/settings", "everything.ini").unwrap();
    assert_eq!(cfg.gate.idle_timeout, Duration::from_secs(300));
    assert_eq!(cfg.gate.stuck_timeout, Duration::from_secs(90));
    let hedge_ratios: Vec<(&str, f64)> = cfg.hedge_ratios.iter().map(|(s, r)| (&**s, *r)).collect();
    assert_eq!(hedge_ratios, [("booking", 0.05), ("club.reports", 0.0)]);
    assert_eq!(cfg.quota.block_lifetime, Duration::from_millis(500));
    assert_eq!(cfg.limits.descriptors, Some(4_096));
    assert_eq!(cfg.limits.memory_bytes, Some(160 * 1024 * 1024));
    assert_eq!(cfg.limits.body_timeout, Duration::from_secs(20));
    assert_eq!(cfg.control.replicas.len(), 3);
    let credential_lease = Some(Duration::from_millis(2_500));
    assert_eq!(cfg.control.credential_lease, credential_lease);
    assert_eq!(
        cfg.control.claim_retention,
        Duration::from_secs(7 * 24 * 3600)
    );
    assert_eq!(cfg.rollout.canary_share, 0.2);
    assert_eq!(cfg.rollout.canary_slack, 30);
    assert_eq!(cfg.rollout.rollback, Duration::from_secs(4));
    assert_eq!(cfg.limits.header_bytes, 16 * 1024);
    assert_eq!(cfg.limits.body_bytes, 2 * 1024 * 1024 * 1024);
    let upstream = cfg.upstream.clone().unwrap();
    assert_eq!(upstream.cancel_path.as_deref(), Some("/cancel"));
    let defaults = Settings::new(cfg.daemon.clone(), cfg.listen, upstream.address);
    assert_ne!(cfg.gate.cold_slots, defaults.gate.cold_slots);
    assert_eq!(cfg.gate.queue_ratio, 0.25);
    assert_ne!(cfg.routing, defaults.routing);
    assert_ne!(cfg.limits, defaults.limits);
}

#[test]
fn settings_missing_file_is_a_finding() {
    let findings = Settings::load(Path::new("/no/such/settings.ini")).unwrap_err();
    assert!(findings.to_string().contains("can't be read"), "{findings}");
}

#[test]
fn report_shows_the_source_line() {
    let findings = load("invalid/settings", "unknown.ini").unwrap_err();
    let report = findings.report();
    assert!(report.contains("hartbeat = 1 s"), "{report}");
    assert!(report.contains("'heartbeat'"), "{report}");
}
