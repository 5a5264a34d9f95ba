//! Peers that are silent, frozen or behind a slow link.

use flow::{Check, Liveness};
use std::time::Duration;

const START: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn check_silent_peer_is_pinged_and_then_fails() {
    let mut liveness = Liveness::new(START);
    assert_eq!(liveness.check(START + ms(249)), Check::Wait);
    assert_eq!(liveness.check(START + ms(250)), Check::Ping);
    assert_eq!(liveness.check(START + ms(749)), Check::Wait);
    assert_eq!(liveness.check(START + ms(750)), Check::Fail);
}

#[test]
fn check_peer_that_sends_frames_is_alive() {
    let mut liveness = Liveness::new(START);
    assert_eq!(liveness.check(START + ms(250)), Check::Ping);
    liveness.record_activity(START + ms(700));
    assert_eq!(liveness.check(START + ms(900)), Check::Wait);
    assert_eq!(liveness.check(START + ms(950)), Check::Ping);
}

#[test]
fn check_peer_that_accepts_a_body_over_a_slow_link_is_alive() {
    let mut liveness = Liveness::new(START);
    for accepted in (100..3_000).step_by(100) {
        liveness.record_activity(START + ms(accepted));
        assert_eq!(liveness.check(START + ms(accepted + 99)), Check::Wait);
    }
}

#[test]
fn check_peer_that_freezes_during_a_body_fails() {
    let mut liveness = Liveness::new(START);
    liveness.record_activity(START + ms(1_000));
    assert_eq!(liveness.check(START + ms(1_250)), Check::Ping);
    assert_eq!(liveness.check(START + ms(1_750)), Check::Fail);
}
