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
    assert_eq!(liveness.check_requests(START + ms(249)), Check::Wait);
    assert_eq!(liveness.check_requests(START + ms(250)), Check::Ping);
    assert_eq!(liveness.check_requests(START + ms(749)), Check::Wait);
    assert_eq!(liveness.check_requests(START + ms(750)), Check::Fail);
}

#[test]
fn check_peer_that_sends_frames_is_alive() {
    let mut liveness = Liveness::new(START);
    assert_eq!(liveness.check_requests(START + ms(250)), Check::Ping);
    liveness.record_activity(START + ms(700));
    assert_eq!(liveness.check_requests(START + ms(900)), Check::Wait);
    assert_eq!(liveness.check_requests(START + ms(950)), Check::Ping);
}

#[test]
fn check_peer_that_accepts_a_body_over_a_slow_link_is_alive() {
    let mut liveness = Liveness::new(START);
    for accepted in (100..3_000).step_by(100) {
        liveness.record_activity(START + ms(accepted));
        assert_eq!(
            liveness.check_requests(START + ms(accepted + 99)),
            Check::Wait
        );
    }
}

#[test]
fn check_peer_that_freezes_during_a_body_fails() {
    let mut liveness = Liveness::new(START);
    liveness.record_activity(START + ms(1_000));
    assert_eq!(liveness.check_requests(START + ms(1_250)), Check::Ping);
    assert_eq!(liveness.check_requests(START + ms(1_750)), Check::Fail);
}

/// Guards against a connection to control that has gone silent and is kept: with the
/// times of detection, a new connection and a heartbeat, a change must be in force
/// within 3 s.
#[test]
fn check_messages_without_reply_fails_within_a_second() {
    let mut liveness = Liveness::new(START);
    assert_eq!(liveness.check_messages(START + ms(60_000)), Check::Wait);
    let written = START + ms(60_000);
    for n in 0..10 {
        liveness.record_written(written + ms(n * 50));
    }
    assert_eq!(liveness.check_messages(written + ms(499)), Check::Wait);
    assert_eq!(liveness.check_messages(written + ms(500)), Check::Ping);
    liveness.record_written(written + ms(500));
    assert_eq!(liveness.check_messages(written + ms(999)), Check::Wait);
    assert_eq!(liveness.check_messages(written + ms(1_000)), Check::Fail);
}

#[test]
fn check_messages_with_replies_is_alive() {
    let mut liveness = Liveness::new(START);
    for n in 0..20 {
        let written = START + ms(n * 500);
        liveness.record_written(written);
        assert_eq!(liveness.check_messages(written + ms(499)), Check::Wait);
        liveness.record_activity(written + ms(499));
        assert_eq!(liveness.check_messages(written + ms(499)), Check::Wait);
    }
}
