//! The rate and the leaving that an upstream states in its responses.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use gate::{
    Gate, GateLimits, Outcome, Placement, SlotRequest, Statement, Ticket, parse_rate_milli,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;
use support::slot_request;
use test_case::test_case;
use wire::{Announcement, RefuseReason};

/// Span over which arrivals at the upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Slots of the upstream, enough that only the rate limits.
const SLOTS: u32 = 200;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(rate_milli: u64) -> Statement {
    Statement {
        rate_milli: Some(rate_milli),
        ..Statement::default()
    }
}

fn new_gate(now: Duration, boot: &str) -> Gate {
    let mut gate = Gate::new(GateLimits {
        cold_slots: SLOTS,
        ramp_answers: 1,
        queue_ratio: 0.5,
        idle: Duration::MAX,
        finds_knee: false,
        expects_reports: false,
        unlimited: false,
    });
    announce(&mut gate, now, boot);
    gate
}

fn announce(gate: &mut Gate, now: Duration, boot: &str) {
    gate.announce(
        now,
        Announcement {
            service: "booking".to_owned(),
            slots: SLOTS,
            boot: boot.to_owned(),
            ..Announcement::default()
        },
    );
}

/// Returns whether the gate sends a request to the upstream now.
fn send(gate: &mut Gate, now: Duration, ticket: Ticket) -> bool {
    gate.admit(now, &slot_request(ticket)) == Ok(Placement::Running)
}

/// Sends a request to which the upstream responds a millisecond later.
fn respond(gate: &mut Gate, now: Duration, ticket: Ticket, statement: Statement) {
    assert!(send(gate, now, ticket), "request {ticket} was not sent");
    receive(gate, now + ms(1), ticket, statement);
}

fn receive(gate: &mut Gate, now: Duration, ticket: Ticket, statement: Statement) {
    gate.record_statement(now, ticket, statement);
    gate.finish(now, ticket, Outcome::Whole(200));
}

#[test_case("4.9", Some(4_900); "decimal")]
#[test_case("0", Some(0); "zero")]
#[test_case("0.0004", Some(0); "below the unit")]
#[test_case("12", Some(12_000); "whole")]
#[test_case("99999999999999999999999999", Some(u64::MAX); "huge")]
#[test_case("", None; "empty")]
#[test_case("-1", None; "negative")]
#[test_case("+1", None; "signed")]
#[test_case("1e3", None; "exponent")]
#[test_case("inf", None; "infinite")]
#[test_case("nan", None; "not a number")]
#[test_case("5.", None; "no decimals")]
#[test_case(".5", None; "no whole number")]
#[test_case("5.1.2", None; "two points")]
#[test_case("5 a second", None; "text")]
fn parse_rate_milli_value(text: &str, expected: Option<u64>) {
    assert_eq!(parse_rate_milli(text), expected);
}

/// Guards against arrivals beyond the stated rate, over random demand, restarts of the
/// gate that only entries know the rate after, health requests and lost responses.
#[test]
fn arrivals_keep_to_stated_rate_shuffle() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rate_milli = [0, 300, 2_600, 4_900, 30_000][rng.random_range(0..5)];
        let offered_per_second = rng.random_range(1..400_u64);
        let mut gate = new_gate(ms(0), "b1");
        let mut now = ms(1_000);
        let mut in_flight: VecDeque<(Duration, Ticket)> = VecDeque::new();
        let mut arrivals: Vec<Duration> = Vec::new();
        let mut probes: Vec<Duration> = Vec::new();
        respond(&mut gate, now, 0, rate(rate_milli));
        let stated_at = now + ms(1);
        let mut ticket = 0;
        while now < ms(31_000) {
            now += ms(rng.random_range(1..=2_000 / offered_per_second + 1));
            while in_flight.front().is_some_and(|(at, _)| *at <= now) {
                let (_, ended) = in_flight.pop_front().unwrap();
                if rng.random_bool(0.9) {
                    receive(&mut gate, now, ended, rate(rate_milli));
                } else {
                    gate.finish(now, ended, Outcome::Broken);
                }
            }
            if rng.random_bool(0.002) {
                gate = new_gate(now, "b1");
                in_flight.clear();
                gate.adopt_statement(now, rate(rate_milli));
                // Health requests are the gate's own, which its restart excuses.
                probes.clear();
            }
            if gate.begin_probe(now) {
                probes.push(now);
            }
            ticket += 1;
            let request = SlotRequest {
                weight: rng.random_range(1..3),
                ..slot_request(ticket)
            };
            match gate.admit(now, &request) {
                Ok(Placement::Running) => {
                    arrivals.push(now);
                    in_flight.push_back((now + ms(rng.random_range(5..60)), ticket));
                }
                Ok(Placement::Queued { .. }) => {
                    while let Some(admitted) = gate.admit_queued(now) {
                        arrivals.push(now);
                        in_flight.push_back((now + ms(20), admitted));
                    }
                    gate.remove_expired(now);
                }
                Err(reason) => assert_eq!(reason, RefuseReason::Limited),
            }
        }
        let allowed = (rate_milli * 6 / 1_000 + 5) as usize;
        arrivals.extend(probes);
        arrivals.retain(|at| *at > stated_at);
        arrivals.sort_unstable();
        for (first, at) in arrivals.iter().enumerate() {
            let span = arrivals[first..].iter();
            let count = span.take_while(|later| **later < *at + WINDOW).count();
            assert!(
                count <= allowed,
                "seed {seed}: {count} of {allowed} at {at:?}"
            );
        }
    }
}

/// Guards against a limit that is not used while callers want more.
#[test_case(1_000; "one a second")]
#[test_case(5_000; "five a second")]
#[test_case(50_000; "fifty a second")]
fn stated_rate_is_used(rate_milli: u64) {
    let mut gate = new_gate(ms(0), "b1");
    respond(&mut gate, ms(1_000), 0, rate(rate_milli));
    let mut sent = 0;
    for step in 0..20_000 {
        let now = ms(1_010 + step);
        if send(&mut gate, now, step + 1) {
            sent += 1;
            receive(&mut gate, now, step + 1, rate(rate_milli));
        }
    }
    let available = rate_milli * 20 / 1_000;
    assert!(sent * 10 >= available * 9, "{sent} of {available}");
}

/// Guards against responses that were under way when the upstream stated its rate, or
/// dropped it, and that end or revive it.
#[test]
fn late_responses_do_not_end_or_revive_rate() {
    let mut gate = new_gate(ms(0), "b1");
    let none = Statement::default();
    assert!(send(&mut gate, ms(100), 1) && send(&mut gate, ms(100), 2));
    respond(&mut gate, ms(200), 3, rate(5_000));
    receive(&mut gate, ms(300), 1, none);
    assert_eq!(
        gate.statement(),
        rate(5_000),
        "ended by an earlier response"
    );
    assert!(send(&mut gate, ms(1_000), 4) && send(&mut gate, ms(1_300), 5));
    receive(&mut gate, ms(1_400), 4, none);
    assert_eq!(gate.statement(), none, "not ended by a later response");
    receive(&mut gate, ms(1_500), 5, rate(5_000));
    receive(&mut gate, ms(1_600), 2, rate(5_000));
    assert_eq!(gate.statement(), none, "revived by a late response");
    respond(&mut gate, ms(1_700), 6, rate(2_000));
    assert_eq!(gate.statement(), rate(2_000), "not stated again");
}

/// Guards against what an earlier start of the upstream stated.
#[test]
fn earlier_start_does_not_limit_the_next() {
    let mut gate = new_gate(ms(0), "b1");
    respond(&mut gate, ms(100), 1, rate(1_000));
    let leaving = Statement {
        leaving: true,
        ..Statement::default()
    };
    assert!(send(&mut gate, ms(1_500), 2));
    announce(&mut gate, ms(1_600), "b2");
    assert_eq!(gate.statement(), Statement::default());
    assert!(!gate.record_statement(ms(1_700), 2, leaving));
    assert!(send(&mut gate, ms(1_800), 3));
}

/// Guards against an upstream that states leaving and gets requests because its
/// announcements, or later responses, do not say so.
#[test]
fn stated_leaving_holds_for_the_start() {
    let mut gate = new_gate(ms(0), "b1");
    let leaving = Statement {
        leaving: true,
        ..Statement::default()
    };
    assert!(send(&mut gate, ms(100), 1) && send(&mut gate, ms(100), 2));
    receive(&mut gate, ms(200), 1, leaving);
    receive(&mut gate, ms(300), 2, Statement::default());
    announce(&mut gate, ms(400), "b1");
    let refused = gate.admit(ms(500), &slot_request(3));
    assert_eq!(refused, Err(RefuseReason::Leaving));
    assert!(gate.announced().unwrap().leaving);
    announce(&mut gate, ms(600), "b2");
    assert!(send(&mut gate, ms(700), 4));
}

/// Guards against a rate that health responses do not state and that they end, and
/// against a rate of zero that nothing ends.
#[test]
fn health_response_ends_only_what_health_states() {
    let mut gate = new_gate(ms(0), "b1");
    let none = Statement::default();
    respond(&mut gate, ms(100), 1, rate(0));
    assert!(gate.begin_probe(ms(4_000)));
    assert!(
        !gate.begin_probe(ms(4_100)),
        "health requests are not limited"
    );
    gate.record_health_statement(ms(4_010), none);
    assert_eq!(gate.statement(), rate(0));
    let trial = (0..500).position(|n| send(&mut gate, ms(4_100 + n * 10), 10 + n));
    let trial = trial.expect("no request finds out whether the rate is still stated") as u64;
    receive(&mut gate, ms(4_110 + trial * 10), 10 + trial, none);
    assert_eq!(gate.statement(), none);

    respond(&mut gate, ms(20_000), 1_000, rate(0));
    assert!(gate.begin_probe(ms(23_000)));
    gate.record_health_statement(ms(23_010), rate(0));
    assert!((0..1_000).all(|n| !send(&mut gate, ms(23_100 + n * 10), 2_000 + n)));
    assert!(gate.begin_probe(ms(40_000)));
    gate.record_health_statement(ms(40_010), none);
    assert_eq!(gate.statement(), none, "not ended by a health response");
}

/// Guards against tokens that many requests of low weight take from the few of high
/// weight, and from calls whose parent holds a slot.
#[test_case(8, false; "class of high weight")]
#[test_case(1, true; "calls")]
fn preferred_requests_get_the_few(weight: u32, is_call: bool) {
    let mut gate = new_gate(ms(0), "b1");
    respond(&mut gate, ms(100), 0, rate(5_000));
    let (mut preferred, mut others) = (0, 0);
    for step in 0..2_000 {
        let now = ms(1_000 + step * 5);
        let is_preferred = step % 20 == 0;
        let request = match is_preferred {
            true => SlotRequest {
                weight,
                is_call,
                ..slot_request(step + 1)
            },
            false => slot_request(step + 1),
        };
        if gate.admit(now, &request) == Ok(Placement::Running) {
            *if is_preferred {
                &mut preferred
            } else {
                &mut others
            } += 1;
            receive(&mut gate, now + ms(1), step + 1, rate(5_000));
        }
    }
    assert!(
        preferred >= 4 * others,
        "{preferred} preferred, {others} others"
    );
    assert!(
        preferred + others >= 45,
        "{preferred} preferred, {others} others"
    );
}

/// Guards against rejected callers that are told to come back at the same moment.
#[test]
fn retry_after_follows_rate_and_number_of_callers() {
    let mut gate = new_gate(ms(0), "b1");
    respond(&mut gate, ms(100), 0, rate(5_000));
    let delays: Vec<Duration> = (0..4).map(|_| gate.retry_after_limited(ms(200))).collect();
    assert_eq!(delays, [200, 400, 600, 800].map(ms));
}

/// Guards against health requests that take the rate which callers want, and against an
/// upstream that is asked for its health more seldom although callers leave room.
#[test_case(true, 5; "callers want more")]
#[test_case(false, 8; "callers leave room")]
fn health_requests_come_after_callers(callers: bool, expected: usize) {
    let mut gate = new_gate(ms(0), "b1");
    respond(&mut gate, ms(1_000), 0, rate(4_900));
    let mut probes = 0;
    for n in 1..=1_500_u64 {
        let now = ms(1_000 + n * 10);
        if callers && send(&mut gate, now, n) {
            receive(&mut gate, now, n, rate(4_900));
        }
        probes += usize::from(gate.begin_probe(now));
    }
    assert!(
        (expected - 1..=expected + 1).contains(&probes),
        "{probes} health requests"
    );
}
