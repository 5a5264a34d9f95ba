//! Tests of the replicated state of rollouts and of its transfer to daemons.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use conf::{ConfigSnapshot, ConfigState, Configuration, RolloutStep, TransferReceiver, Transfers};
use prost::Message;
use test_case::test_case;
use wire::{
    DataCentreOrder, Rollout, RolloutOrder, RolloutOutcome, RolloutResult, RolloutStage,
    RoutingChange, ServiceRules,
};

const SHARE: u32 = 80_000;
const REPEAT_AFTER_MS: u64 = 30_000;

fn initialised() -> ConfigState {
    let mut state = ConfigState::default();
    state.initialise();
    state
}

fn order(version: &str, duration_ms: u64) -> RolloutOrder {
    RolloutOrder {
        service: "booking".to_owned(),
        version: version.to_owned(),
        duration_ms,
        base: None,
    }
}

fn apply(state: &mut ConfigState, order: &RolloutOrder, time_ms: u64) -> RolloutOutcome {
    state.apply_rollout_order(order, SHARE, time_ms)
}

fn current(state: &ConfigState) -> Rollout {
    state.rollout("booking").rollout.expect("ordered")
}

fn step(rollout: &Rollout, stage: RolloutStage) -> RolloutStep {
    RolloutStep {
        service: rollout.service.clone(),
        rollout: rollout.id,
        after: rollout.step,
        stage: stage as i32,
        share_ppm: 500_000,
        replaced_versions: vec!["v1".to_owned()],
        reason: String::new(),
    }
}

/// Orders v2 and makes steps up to a stage.
fn at_stage(stage: RolloutStage) -> ConfigState {
    let mut state = initialised();
    apply(&mut state, &order("v2", 12_000), 1_000);
    let steps = match stage {
        RolloutStage::Canary => vec![],
        RolloutStage::Ramp | RolloutStage::RolledBack => vec![stage],
        RolloutStage::Switched => vec![RolloutStage::Ramp, stage],
        _ => vec![RolloutStage::Ramp, RolloutStage::Switched, stage],
    };
    for stage in steps {
        let step = step(&current(&state), stage);
        assert!(state.apply_rollout_step(&step, 2_000));
    }
    state
}

#[test]
fn apply_rollout_order_makes_a_version_and_starts_the_canary() {
    let mut state = initialised();
    let outcome = apply(&mut state, &order("v2", 12_000), 1_000);
    assert_eq!(outcome.result(), RolloutResult::Accepted);
    let rollout = outcome.rollout.expect("rollout");
    assert_eq!(rollout.stage(), RolloutStage::Canary);
    assert_eq!((rollout.id, state.current().version), (2, 2));
    assert_eq!((rollout.share_ppm, rollout.ordered_ms), (SHARE, 1_000));
    assert_eq!(state.rollout("club").result(), RolloutResult::NotFound);
}

/// Guards against operators who get an error for an order that was accepted, and
/// against an order that is carried out twice.
#[test_case(RolloutStage::Canary)]
#[test_case(RolloutStage::Ramp)]
#[test_case(RolloutStage::Switched)]
#[test_case(RolloutStage::Complete)]
#[test_case(RolloutStage::RolledBack)]
fn apply_rollout_order_repeated_has_no_effect(stage: RolloutStage) {
    let mut state = at_stage(stage);
    let before = state.clone();
    let outcome = apply(&mut state, &order("v2", 12_000), 2_000 + REPEAT_AFTER_MS);
    assert_eq!(outcome.result(), RolloutResult::Accepted);
    assert_eq!(state, before);
}

/// Guards against two rollouts of a service at once.
#[test_case(RolloutStage::Canary, order("v3", 12_000), RolloutResult::InProgress; "canary")]
#[test_case(RolloutStage::Ramp, order("v3", 12_000), RolloutResult::InProgress; "ramp")]
#[test_case(RolloutStage::Switched, order("v2", 9_000), RolloutResult::InProgress; "switched")]
#[test_case(RolloutStage::Complete, order("v1", 12_000), RolloutResult::Accepted; "complete")]
#[test_case(RolloutStage::RolledBack, order("v3", 12_000), RolloutResult::Accepted; "rolled_back")]
fn apply_rollout_order_of_another(stage: RolloutStage, other: RolloutOrder, expect: RolloutResult) {
    let mut state = at_stage(stage);
    let before = current(&state);
    let outcome = apply(&mut state, &other, 3_000);
    assert_eq!(outcome.result(), expect);
    let is_new = current(&state).id > before.id;
    assert_eq!(is_new, expect == RolloutResult::Accepted);
}

/// Guards against a bad version that gets requests again with the next rollout.
#[test]
fn apply_rollout_order_keeps_rolled_back_versions_excluded() {
    let mut state = at_stage(RolloutStage::RolledBack);
    apply(&mut state, &order("v3", 12_000), 3_000);
    assert_eq!(current(&state).rejected_versions, ["v2"]);
    let rolled_back = step(&current(&state), RolloutStage::RolledBack);
    assert!(state.apply_rollout_step(&rolled_back, 4_000));
    apply(&mut state, &order("v2", 9_000), 5_000);
    assert_eq!(current(&state).rejected_versions, ["v3"]);
}

/// Guards against an order that can never be tried again, and against one that is
/// tried again because an operator resends it.
#[test_case(REPEAT_AFTER_MS => false; "resent")]
#[test_case(REPEAT_AFTER_MS + 1 => true; "later")]
fn apply_rollout_order_after_roll_back(after_ms: u64) -> bool {
    let mut state = at_stage(RolloutStage::RolledBack);
    let before = current(&state);
    let outcome = apply(&mut state, &order("v2", 12_000), 2_000 + after_ms);
    assert_eq!(outcome.result(), RolloutResult::Accepted);
    current(&state).id > before.id
}

#[test_case(order("", 12_000); "empty_version")]
#[test_case(order("v2", 0); "no_duration")]
#[test_case(order("v2", u64::MAX); "endless")]
#[test_case(RolloutOrder { service: String::new(), ..order("v2", 1) }; "empty_service")]
#[test_case(RolloutOrder { service: "club".into(), ..order("v2", 1) }; "unknown_service")]
fn apply_rollout_order_invalid_changes_nothing(order: RolloutOrder) {
    let mut state = initialised();
    state.apply_routing(&routing());
    let before = state.clone();
    let outcome = apply(&mut state, &order, 1_000);
    assert_eq!(outcome.result(), RolloutResult::Invalid);
    assert_eq!(outcome.findings.len(), 1, "{:?}", outcome.findings);
    assert_eq!(state, before);
}

fn routing() -> RoutingChange {
    RoutingChange {
        version: 7,
        full: true,
        services: vec![ServiceRules {
            name: "booking".to_owned(),
            ..ServiceRules::default()
        }],
        ..RoutingChange::default()
    }
}

#[test]
fn apply_rollout_order_of_a_routed_service_is_accepted() {
    let mut state = initialised();
    state.apply_routing(&routing());
    assert_eq!(state.current().routing.content().version, 7);
    let outcome = apply(&mut state, &order("v2", 1), 1_000);
    assert_eq!(outcome.result(), RolloutResult::Accepted, "{outcome:?}");
}

#[test]
fn apply_rollout_step_changes_the_state_and_makes_a_version() {
    let mut state = at_stage(RolloutStage::Ramp);
    let before = current(&state);
    assert!(state.apply_rollout_step(&step(&before, RolloutStage::Switched), 9_000));
    let rollout = current(&state);
    assert_eq!(rollout.stage(), RolloutStage::Switched);
    assert_eq!(rollout.step, before.step + 1);
    assert_eq!((rollout.stepped_ms, rollout.ordered_ms), (9_000, 1_000));
    assert_eq!(rollout.replaced_versions, ["v1"]);
    assert_eq!(rollout.step_version, state.current().version);
}

/// Guards against a former leader whose step is committed after those of its successor.
#[test_case(|s| s.after -= 1; "of_an_earlier_state")]
#[test_case(|s| s.after += 1; "of_a_later_state")]
#[test_case(|s| s.rollout -= 1; "of_an_earlier_rollout")]
#[test_case(|s| s.service = "club".to_owned(); "of_another_service")]
#[test_case(|s| s.stage = RolloutStage::Canary as i32; "backwards")]
fn apply_rollout_step_that_does_not_follow_is_ignored(change: fn(&mut RolloutStep)) {
    let mut state = at_stage(RolloutStage::Ramp);
    let mut stale = step(&current(&state), RolloutStage::RolledBack);
    change(&mut stale);
    let before = state.clone();
    assert!(!state.apply_rollout_step(&stale, 9_000));
    assert_eq!(state, before);
}

/// Guards against a step that reopens a rollout which has ended.
#[test_case(RolloutStage::Complete)]
#[test_case(RolloutStage::RolledBack)]
fn apply_rollout_step_after_the_end_is_ignored(stage: RolloutStage) {
    let mut state = at_stage(stage);
    let late = step(&current(&state), RolloutStage::RolledBack);
    let before = state.clone();
    assert!(!state.apply_rollout_step(&late, 9_000));
    assert_eq!(state, before);
}

/// Guards against a rollout that is lost with a snapshot.
#[test_case(RolloutStage::Canary)]
#[test_case(RolloutStage::Ramp)]
#[test_case(RolloutStage::Switched)]
#[test_case(RolloutStage::Complete)]
#[test_case(RolloutStage::RolledBack)]
fn restore_keeps_rollouts(stage: RolloutStage) {
    let state = at_stage(stage);
    let bytes = state.snapshot().encode_to_vec();
    let snapshot = ConfigSnapshot::decode(bytes.as_slice()).unwrap();
    assert_eq!(ConfigState::restore(snapshot).unwrap(), state);
}

/// Guards against a control group that cannot start after an update. The snapshot is in
/// the format before rollouts, encoded by hand: version 2 with data centre `dc1` out.
#[test]
fn restore_of_an_earlier_snapshot_has_no_rollouts() {
    let earlier = [8, 2, 34, 3, b'd', b'c', b'1', 64, 1, 74, 2, 8, 2, 82, 0];
    let snapshot = ConfigSnapshot::decode(earlier.as_slice()).unwrap();
    let state = ConfigState::restore(snapshot).unwrap();
    assert_eq!(state.current().version, 2);
    assert!(state.current().out_data_centres.contains("dc1"));
    assert!(state.current().rollouts.is_empty());
}

/// Guards against daemons that miss a step, whatever version they have.
#[test_case(0; "full")]
#[test_case(1; "delta")]
fn transfer_brings_rollouts(from: u64) {
    let state = at_stage(RolloutStage::Switched);
    let mut config = Configuration {
        version: from,
        ..Configuration::default()
    };
    let mut transfers = Transfers::default();
    let page = transfers.page(&state, from, 0, true).expect("page");
    let mut receiver = TransferReceiver::default();
    receiver.receive_page(&mut config, 1, page).unwrap();
    assert_eq!(config.rollouts, state.current().rollouts);
    assert_eq!(config.version, state.current().version);
}

/// Guards against a change of the configuration that drops rollouts at daemons.
#[test]
fn transfer_of_another_change_keeps_rollouts() {
    let mut state = at_stage(RolloutStage::Ramp);
    let mut config = state.current().clone();
    state.apply_data_centre(&DataCentreOrder {
        data_centre: "dc1".to_owned(),
        out: true,
        base: None,
    });
    let page = Transfers::default().page(&state, config.version, 0, true);
    let mut receiver = TransferReceiver::default();
    let page = page.expect("page");
    receiver.receive_page(&mut config, 1, page).unwrap();
    assert_eq!(config, *state.current());
}
