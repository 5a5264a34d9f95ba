//! What a gate keeps when the address of its upstream passes to another start or service.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use gate::{Gate, GateLimits, LoadReport, Outcome};
use std::time::Duration;
use support::slot_request;
use test_case::test_case;
use wire::Announcement;

const SLOTS: u32 = 4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn gate() -> Gate {
    let mut gate = Gate::new(GateLimits {
        cold_slots: SLOTS,
        ramp_answers: 1,
        queue_ratio: 1.0,
        idle: ms(60_000),
        finds_knee: true,
        expects_reports: false,
        unlimited: false,
    });
    // The requests of the start before the first one known would count otherwise.
    announce(&mut gate, ms(0), "booking", "b0");
    announce(&mut gate, ms(0), "booking", "b1");
    gate
}

fn announce(gate: &mut Gate, now: Duration, service: &str, boot: &str) {
    let announcement = Announcement {
        service: service.into(),
        slots: SLOTS,
        boot: boot.into(),
        ..Announcement::default()
    };
    gate.announce(now, announcement);
}

fn run(gate: &mut Gate, ticket: u64, from: Duration, to: Duration) {
    gate.admit(from, &slot_request(ticket)).unwrap();
    gate.finish(to, ticket, Outcome::Whole(200));
}

/// Guards against a start that gets as few requests as the one before it had asked for.
#[test_case("booking", "b2", SLOTS; "another start")]
#[test_case("club", "b2", SLOTS; "another service")]
#[test_case("club", "b1", SLOTS; "another service with the same start")]
#[test_case("booking", "b1", 1; "the same start")]
fn reported_limit_ends_with_its_start(service: &str, boot: &str, limit: u32) {
    let mut gate = gate();
    let report = LoadReport {
        in_flight: 0,
        limit: Some(1),
        slow_percent: None,
    };
    gate.record_report(ms(10), report);
    announce(&mut gate, ms(20), service, boot);
    assert_eq!(gate.load().limit, limit);
}

/// Guards against waits and limits that follow from how long another service takes.
#[test_case("club", "b2", false; "another service")]
#[test_case("club", "b1", false; "another service with the same start")]
#[test_case("booking", "b2", true; "another start")]
fn service_times_end_with_their_service(service: &str, boot: &str, is_known: bool) {
    let mut gate = gate();
    for n in 1..10 {
        run(&mut gate, n, ms(n * 100), ms(n * 100 + 80));
    }
    announce(&mut gate, ms(2_000), service, boot);
    assert_eq!(gate.load().service_us > 0, is_known);
}
