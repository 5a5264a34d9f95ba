//! Versions that a rollout excludes.
#![allow(clippy::unwrap_used)]

use fleet::{FleetView, ServiceView, is_excluded, is_shared, is_unfinished};
use std::time::Duration;
use test_case::test_case;
use wire::{Rollout, RolloutStage, ServiceDelta, UpstreamInfo};

fn rollout(stage: RolloutStage) -> Rollout {
    Rollout {
        id: 7,
        service: "booking".into(),
        version: "v2".into(),
        stage: stage.into(),
        replaced_versions: vec!["v1".into(), "v0".into()],
        ..Rollout::default()
    }
}

/// Returns a view with an upstream of each version, by whether it is leaving.
fn view(versions: &[(&str, bool)]) -> ServiceView {
    let mut view = FleetView::default();
    view.subscribe(Duration::ZERO, "booking");
    let upstreams = versions.iter().enumerate();
    let upstreams = upstreams.map(|(n, (version, leaving))| UpstreamInfo {
        upstream: format!("u{n}"),
        version: (*version).into(),
        leaving: *leaving,
        ..UpstreamInfo::default()
    });
    view.apply(&ServiceDelta {
        service: "booking".into(),
        epoch: 1,
        version: 1,
        full: true,
        upstreams: upstreams.collect(),
        ..ServiceDelta::default()
    });
    view.service("booking").unwrap().clone()
}

#[test_case(RolloutStage::Canary, &[]; "canary")]
#[test_case(RolloutStage::Ramp, &[]; "ramp")]
#[test_case(RolloutStage::Switched, &["v1", "v0"]; "switched")]
#[test_case(RolloutStage::Complete, &["v1", "v0"]; "complete")]
#[test_case(RolloutStage::RolledBack, &["v2"]; "rolled back")]
#[test_case(RolloutStage::Unknown, &[]; "stage of a later release")]
fn is_excluded_by_stage(stage: RolloutStage, expected: &[&str]) {
    let view = view(&[("v1", false), ("v2", false)]);
    let excluded = |v: &&str| is_excluded(&rollout(stage), v, Some(&view));
    let all = ["v1", "v0", "v2", "v3", ""];
    let excluded: Vec<&str> = all.into_iter().filter(excluded).collect();
    assert_eq!(excluded, expected);
}

/// Guards against a service without any upstream once those of the new version are gone.
#[test_case(&[("v1", false), ("v2", false)], true; "an upstream of the new version")]
#[test_case(&[("v1", false), ("v2", true)], false; "it is leaving")]
#[test_case(&[("v1", false)], false; "none")]
fn is_excluded_after_completion_while_new_version_has_upstream(
    upstreams: &[(&str, bool)],
    expected: bool,
) {
    let view = view(upstreams);
    let complete = rollout(RolloutStage::Complete);
    assert_eq!(is_excluded(&complete, "v1", Some(&view)), expected);
    let switched = rollout(RolloutStage::Switched);
    assert!(is_excluded(&switched, "v1", Some(&view)));
}

/// Guards against a gate that takes requests for a replaced upstream because it does not
/// know its service yet.
#[test]
fn is_excluded_after_completion_without_view() {
    assert!(is_excluded(&rollout(RolloutStage::Complete), "v1", None));
    assert!(!is_excluded(&rollout(RolloutStage::Complete), "v2", None));
}

#[test_case(RolloutStage::Canary, true, true; "canary")]
#[test_case(RolloutStage::Ramp, true, true; "ramp")]
#[test_case(RolloutStage::Switched, false, true; "switched")]
#[test_case(RolloutStage::Complete, false, false; "complete")]
#[test_case(RolloutStage::RolledBack, false, false; "rolled back")]
fn is_shared_and_is_unfinished_by_stage(stage: RolloutStage, shared: bool, unfinished: bool) {
    let rollout = rollout(stage);
    assert_eq!(
        (is_shared(&rollout), is_unfinished(&rollout)),
        (shared, unfinished)
    );
}

/// Guards against a version that was rolled back and counts as an old one in the next
/// rollout.
#[test_case(RolloutStage::Canary)]
#[test_case(RolloutStage::Complete)]
fn is_excluded_at_every_stage_after_an_earlier_rollback(stage: RolloutStage) {
    let rollout = Rollout {
        rejected_versions: vec!["v9".to_owned()],
        ..rollout(stage)
    };
    assert!(is_excluded(&rollout, "v9", None));
}
