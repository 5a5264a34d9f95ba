//! Tests the rate limit of cold upstreams.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use gate::{ColdLimit, Gate, GateLimits, LoadReport, Outcome, Placement, Statement};
use std::collections::VecDeque;
use std::time::Duration;
use support::slot_request;
use test_case::test_case;
use wire::Announcement;

const PER_SECOND: u32 = 10;
const COLD: Duration = Duration::from_secs(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn gate() -> Gate {
    let mut gate = Gate::new(GateLimits {
        cold_slots: 100,
        ramp_answers: 1,
        queue_ratio: 0.0,
        idle: ms(600_000),
        finds_knee: false,
        expects_reports: false,
        unlimited: false,
    });
    gate.set_cold_limit(Some(ColdLimit {
        per_second: PER_SECOND,
        duration: COLD,
    }));
    gate
}

fn announcement(boot: &str, cold_ms: u64) -> Announcement {
    Announcement {
        service: "booking".into(),
        slots: 100,
        boot: boot.into(),
        cold_ms,
        ..Announcement::default()
    }
}

/// Sends a request every 5 ms; returns the times at which one was admitted.
fn offer(gate: &mut Gate, from: u64, to: u64) -> Vec<u64> {
    let mut admitted = Vec::new();
    for at in (from..to).step_by(5) {
        if gate.admit(ms(at), &slot_request(at)) == Ok(Placement::Running) {
            admitted.push(at);
            gate.finish(ms(at + 1), at, Outcome::Whole(200));
        }
    }
    admitted
}

/// Returns the maximum number of requests admitted within any second.
fn busiest_second(admitted: &[u64]) -> usize {
    let mut window = VecDeque::new();
    let mut most = 0;
    for at in admitted {
        window.push_back(*at);
        while window.front().is_some_and(|first| at - first >= 1_000) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

#[test]
fn admit_cold_limits_the_rate_in_every_second() {
    let mut gate = gate();
    gate.announce(ms(0), announcement("b1", 3_000));
    let admitted = offer(&mut gate, 0, 3_000);
    assert_eq!(busiest_second(&admitted), PER_SECOND as usize);
}

/// A restarted gate does not know what its predecessor sent in the last second.
#[test]
fn admit_after_a_restart_of_the_gate_counts_the_last_second_as_full() {
    let mut gate = gate();
    gate.announce(ms(5_000), announcement("b1", 3_000));
    let admitted = offer(&mut gate, 5_000, 8_000);
    assert!(admitted[0] >= 6_000, "{admitted:?}");
}

/// A VM or the whole fleet regains power, so that the upstream and the gate
/// start together. No predecessor can have sent requests to this instance,
/// unless it may be older than it seems: a delayed announcement, a changed
/// clock, or no age.
#[test_case(2_990, Some(10), 0; "started together")]
#[test_case(2_960, Some(40), 0; "started just before")]
#[test_case(2_800, Some(200), 1_000; "started before")]
#[test_case(2_990, Some(900), 1_000; "delayed announcement")]
#[test_case(2_100, Some(0), 1_000; "changed clock")]
#[test_case(2_990, None, 1_000; "unknown age")]
fn admit_next_to_an_upstream_that_started(cold_ms: u64, age_ms: Option<u64>, from: u64) {
    let mut gate = gate();
    gate.advance_clock(ms(5_000));
    let announcement = Announcement {
        age_ms,
        ..announcement("b1", cold_ms)
    };
    gate.announce(ms(5_005), announcement);
    let admitted = offer(&mut gate, 5_005, 7_000);
    assert!((from..from + 10).contains(&(admitted[0] - 5_000)));
    assert_eq!(busiest_second(&admitted), PER_SECOND as usize);
}

/// A gate that has run for a second knows all requests of the last second.
#[test]
fn admit_next_to_an_upstream_that_started_later_does_not_wait() {
    let mut gate = gate();
    gate.advance_clock(ms(5_000));
    gate.announce(ms(6_005), announcement("b1", 2_000));
    assert_eq!(offer(&mut gate, 6_005, 7_000)[0], 6_005);
}

/// Reports in a health response how long the upstream stays cold.
fn report_cold(gate: &mut Gate, now: Duration, left: Duration) {
    assert!(gate.begin_probe(now));
    let statement = Statement {
        cold_remaining: Some(left),
        ..Statement::default()
    };
    gate.record_health_statement(now, statement);
}

#[test]
fn admit_counts_what_was_sent_while_warm() {
    let mut gate = gate();
    gate.announce(ms(0), announcement("b1", 0));
    assert_eq!(offer(&mut gate, 2_000, 2_200).len(), 40);
    report_cold(&mut gate, ms(2_200), ms(3_000));
    let admitted = offer(&mut gate, 2_200, 4_000);
    assert!(admitted[0] >= 3_000, "{admitted:?}");
}

#[test_case(Outcome::Refused; "connection refused")]
#[test_case(Outcome::Broken; "connection broken")]
fn admit_after_a_failure_is_cold_until_the_upstream_reports_otherwise(outcome: Outcome) {
    let mut gate = gate();
    gate.announce(ms(0), announcement("b1", 0));
    let first = offer(&mut gate, 2_000, 2_005);
    assert_eq!(first.len(), 1);
    gate.admit(ms(2_010), &slot_request(1)).unwrap();
    gate.finish(ms(2_011), 1, outcome);
    let admitted = offer(&mut gate, 2_015, 2_900);
    assert_eq!(admitted.len() + 2, PER_SECOND as usize);
    report_cold(&mut gate, ms(2_900), ms(0));
    assert_eq!(offer(&mut gate, 2_900, 3_000).len(), 20);
}

/// After a restart of the gate, a report that includes the gate's own requests
/// must not reduce the limit by them.
#[test]
fn report_with_a_response_does_not_count_own_requests_as_foreign() {
    let mut gate = gate();
    gate.announce(ms(0), announcement("b1", 0));
    for ticket in 0..60 {
        assert_eq!(
            gate.admit(ms(2_000), &slot_request(ticket)),
            Ok(Placement::Running)
        );
    }
    gate.record_report(
        ms(2_010),
        LoadReport {
            in_flight: 60,
            limit: None,
            slow_percent: Some(100),
        },
    );
    assert_eq!(
        gate.admit(ms(2_020), &slot_request(60)),
        Ok(Placement::Running)
    );
}

/// Guards against a delayed announcement that ends the cold state which the upstream has
/// reported since.
#[test]
fn delayed_announcement_does_not_end_reported_cold_state() {
    let mut gate = gate();
    gate.announce(ms(0), announcement("b1", 0));
    report_cold(&mut gate, ms(2_000), ms(3_000));
    gate.announce(ms(2_100), announcement("b1", 0));
    let admitted = offer(&mut gate, 2_100, 3_000);
    assert_eq!(admitted.len(), PER_SECOND as usize, "{admitted:?}");
    // What the start before reported does not hold for the next.
    gate.announce(ms(3_100), announcement("b2", 0));
    gate.announce(ms(3_600), announcement("b2", 0));
    assert!(offer(&mut gate, 4_200, 4_400).len() > PER_SECOND as usize);
}
