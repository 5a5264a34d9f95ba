//! Hedges: when they are sent, their limit over all entries, and what becomes of them.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod one_daemon;
mod requests;
mod routed_entry;

use conf::Settings;
use node::entry::{self, HedgeCount};
use node::{Effect, Event, Node};
use routed_entry::{
    Place, arrive, forwarded, node_with, prepare, refuse, run, send_load_update, serve,
};
use std::time::Duration;
use test_case::test_case;
use wire::{Load, RefuseReason};

/// Upstreams of the service, all in the entry's data centre.
const PLACES: [Place; 3] = [("u1", "ams"), ("u2", "ams"), ("u3", "ams")];
/// Requests of which one is overdue: fewer than the percentile from which on requests are
/// hedged.
const GROUP: u64 = 25;
/// Requests to an entry before a test.
const REQUESTS_BEFORE: u64 = 40;
/// Hedges that an entry may save up for a service.
const SAVED_HEDGES: u64 = 2;

/// Returns an entry to which 40 requests have established a latency of 60 ms.
fn entry_with(change: impl Fn(&mut Settings), places: &[Place]) -> Node {
    let mut node = prepare(node_with(change), 7, places);
    for n in 0..REQUESTS_BEFORE {
        serve(&mut node, 3_000 + n * 100, 100_000 + n, 60);
    }
    node
}

fn count(node: &Node) -> HedgeCount {
    let mut hedges = node.entry.hedges();
    let of_service = hedges.find(|(service, _)| *service == "booking");
    of_service.map(|(_, count)| count).unwrap_or_default()
}

/// Lets time pass until a request is hedged. Returns the time and the hedge.
fn await_hedge(node: &mut Node, from_ms: u64, time_ms: u64) -> Option<(u64, entry::Attempt)> {
    (1..=time_ms / 10).find_map(|n| {
        let at_ms = from_ms + n * 10;
        let effects = run(node, at_ms, Event::Tick { unix_ms: 0 });
        forwarded(&effects).map(|hedge| (at_ms, hedge))
    })
}

fn respond(node: &mut Node, at_ms: u64, id: u64, attempt: u32) -> Vec<Effect> {
    let load = Some(Load {
        in_flight: 1,
        limit: 6,
        slow_percent: 100,
        ..Load::default()
    });
    let started = entry::Event::ResponseStarted(id, attempt, 200, load);
    let effects = run(node, at_ms, Event::Entry(started));
    let ended = entry::Event::Ended(id, attempt, 100, load);
    run(node, at_ms, Event::Entry(ended));
    effects
}

fn cancels(effects: &[Effect], id: u64) -> Vec<u32> {
    let cancelled = effects.iter().filter_map(|effect| match effect {
        Effect::Entry(entry::Effect::Cancel(of, attempt)) if *of == id => Some(*attempt),
        _ => None,
    });
    cancelled.collect()
}

/// Sends groups of 25 requests, of which the last would take half a second. Returns the
/// number of requests.
fn send_groups(node: &mut Node, groups: u64) -> u64 {
    for id in 1..=groups * GROUP {
        straggle(node, 10_000 + id * 1_000, id, id % GROUP == 0);
    }
    groups * GROUP
}

/// Guards against hedges of many entries that add up to more than the operator's limit of a
/// service, and against a limit of a service that is ignored for the general one. Requests
/// are spread unevenly, and few entries have enough of them for a whole hedge.
#[test_case(0.02, None; "general")]
#[test_case(0.9, Some(0.02); "of the service")]
#[test_case(0.0, Some(0.02); "of the service only")]
#[test_case(0.9, Some(0.0); "off for the service")]
fn hedges_of_all_entries_keep_to_limit(general: f64, own: Option<f64>) {
    for by_expected_finish in [false, true] {
        let (mut requests, mut hedges) = (0, 0);
        let ratio = own.unwrap_or(general);
        for entry in 0..24_u64 {
            let change = |settings: &mut Settings| {
                settings.routing.by_expected_finish = by_expected_finish;
                settings.routing.hedge_ratio = general;
                settings.routing.shared_retries = None;
                settings
                    .hedge_ratios
                    .extend(own.map(|ratio| ("booking".into(), ratio)));
            };
            let mut node = entry_with(change, &PLACES);
            requests += REQUESTS_BEFORE + send_groups(&mut node, 1 + entry * entry % 12);
            hedges += count(&node).sent;
        }
        let allowed = ratio * requests as f64;
        assert!(hedges as f64 <= allowed, "{hedges} of {allowed}");
        let wanted = (ratio * requests as f64 * 0.5).floor();
        assert!(hedges as f64 >= wanted, "{hedges} of {wanted}");
    }
}

/// Guards against advances that every entry has: those of 960 entries would be thousands of
/// hedges beyond the limit.
#[test]
fn hedges_of_entry_without_requests_before_are_denied() {
    let mut node = entry_with(|cfg| cfg.routing.hedge_ratio = 0.001, &PLACES);
    send_groups(&mut node, 20);
    assert_eq!((count(&node).sent, count(&node).denied), (0, 20));
}

/// Guards against hedges that take slots from requests while gates refuse for lack of them,
/// and against hedges that stay off when that is over.
#[test]
fn hedges_are_off_while_gates_refuse_for_lack_of_a_slot() {
    let mut node = entry_with(|cfg| cfg.routing.hedge_ratio = 1.0, &PLACES);
    arrive(&mut node, 10_000, 1, "/read/x");
    let again = forwarded(&refuse(&mut node, 10_001, 1, RefuseReason::NoSlot)).unwrap();
    assert_eq!(await_hedge(&mut node, 10_001, 600), None);
    assert_eq!((count(&node).sent, count(&node).denied), (0, 1));
    respond(&mut node, 10_650, 1, again.attempt);
    (100..140).for_each(|id| serve(&mut node, 11_000 + (id - 100) * 100, id, 60));
    arrive(&mut node, 16_000, 2, "/read/x");
    assert!(await_hedge(&mut node, 16_000, 600).is_some());
}

/// Guards against hedges while every upstream is so slow that all requests are late: more
/// work makes them later still.
#[test_case(700, false; "all late")]
#[test_case(100, true; "one is lost, the others are in time")]
fn hedges_are_off_while_all_candidates_are_late(percent: u32, hedged: bool) {
    let mut node = entry_with(|cfg| cfg.routing.hedge_ratio = 1.0, &PLACES);
    report_normal(&mut node, 9_999);
    arrive(&mut node, 10_000, 1, "/read/x");
    let hedge = (1..=60).find_map(|n| {
        let at_ms = 10_000 + n * 10;
        for upstream in ["u1", "u2", "u3"] {
            send_load_update(&mut node, at_ms, upstream, percent);
        }
        let effects = run(&mut node, at_ms, Event::Tick { unix_ms: 0 });
        forwarded(&effects)
    });
    assert_eq!(hedge.is_some() || count(&node).sent > 0, hedged);
    assert_eq!(count(&node).denied > 0, !hedged);
}

/// Guards against a request that runs twice although it may not be repeated.
#[test_case(true; "by expected finish")]
#[test_case(false; "by percentile")]
fn requests_that_may_not_be_repeated_are_never_hedged(by_expected_finish: bool) {
    let change = |cfg: &mut Settings| {
        cfg.routing.hedge_ratio = 1.0;
        cfg.routing.by_expected_finish = by_expected_finish;
    };
    let mut node = entry_with(change, &PLACES);
    for id in 1..40 {
        let attempt = forwarded(&arrive(&mut node, 8_000 + id * 100, id, "/pay/x")).unwrap();
        respond(&mut node, 8_060 + id * 100, id, attempt.attempt);
    }
    arrive(&mut node, 20_000, 100, "/pay/x");
    assert_eq!(await_hedge(&mut node, 20_000, 690), None);
    arrive(&mut node, 21_000, 101, "/read/x");
    assert!(await_hedge(&mut node, 21_000, 690).is_some());
}

/// Guards against a loser that runs on at its gate, and against hedges that are not counted
/// as what became of them.
#[test_case(true; "hedge responds first")]
#[test_case(false; "first attempt responds first")]
fn loser_is_cancelled_and_counted(hedge_wins: bool) {
    let mut node = entry_with(|cfg| cfg.routing.hedge_ratio = 1.0, &PLACES);
    let first = forwarded(&arrive(&mut node, 10_000, 1, "/read/x")).unwrap();
    let (at_ms, hedge) = await_hedge(&mut node, 10_000, 600).unwrap();
    assert_ne!(first.upstream, hedge.upstream);
    let (winner, loser) = match hedge_wins {
        true => (hedge.attempt, first.attempt),
        false => (first.attempt, hedge.attempt),
    };
    let effects = respond(&mut node, at_ms + 5, 1, winner);
    assert_eq!(cancels(&effects, 1), [loser]);
    let expected = HedgeCount {
        sent: 1,
        won: u64::from(hedge_wins),
        cancelled: u64::from(!hedge_wins),
        denied: 0,
    };
    assert_eq!(count(&node), expected);
}

/// Guards against a hedge that runs on when its caller has gone.
#[test]
fn hedge_is_cancelled_when_caller_has_gone() {
    let mut node = entry_with(|cfg| cfg.routing.hedge_ratio = 1.0, &PLACES);
    let first = forwarded(&arrive(&mut node, 10_000, 1, "/read/x")).unwrap();
    let (at_ms, hedge) = await_hedge(&mut node, 10_000, 600).unwrap();
    let gone = Event::Entry(entry::Event::CallerGone(1));
    let effects = run(&mut node, at_ms + 1, gone);
    assert_eq!(cancels(&effects, 1), [first.attempt, hedge.attempt]);
    assert_eq!(count(&node).cancelled, 1);
}

/// Guards against hedges of a fast class that wait for the percentile of a slow one of the
/// same service, and of a slow class that all are hedged.
#[test]
fn hedge_waits_for_percentile_of_its_class() {
    let change = |cfg: &mut Settings| {
        cfg.routing.hedge_ratio = 1.0;
        cfg.routing.by_expected_finish = false;
    };
    let mut node = entry_with(change, &PLACES);
    for id in 1..200 {
        let attempt = forwarded(&arrive(&mut node, 8_000 + id * 100, id, "/pay/x")).unwrap();
        respond(&mut node, 8_400 + id * 100, id, attempt.attempt);
    }
    arrive(&mut node, 40_000, 1, "/read/x");
    let (at_ms, _) = await_hedge(&mut node, 40_000, 600).unwrap();
    assert!((60..=80).contains(&(at_ms - 40_000)), "{at_ms}");
}

/// Guards against a hedge to another data centre whose bytes cost more than the time that
/// it may save.
#[test_case(Duration::ZERO, true; "bytes cost nothing")]
#[test_case(Duration::from_secs(10), false; "bytes cost too much")]
fn hedge_to_another_data_centre_must_be_worth_its_bytes(far_per_kb: Duration, hedged: bool) {
    for by_expected_finish in [false, true] {
        let change = |cfg: &mut Settings| {
            cfg.routing.hedge_ratio = 1.0;
            cfg.routing.far_per_kb = far_per_kb;
            cfg.routing.by_expected_finish = by_expected_finish;
        };
        let mut node = entry_with(change, &[("u1", "ams"), ("u2", "fra")]);
        send_load_update(&mut node, 9_990, "u1", 100);
        let first = forwarded(&arrive(&mut node, 10_000, 1, "/read/x")).unwrap();
        if !hedged {
            assert_eq!(first.upstream, "u1");
        }
        let hedge = await_hedge(&mut node, 10_000, 600);
        assert_eq!(hedge.is_some(), hedged, "{by_expected_finish}");
    }
}

/// Guards against a straggler whose requests wait for it although others are free, and
/// counts what that costs.
#[test]
fn straggler_is_overtaken_for_little_extra_work() {
    let mut times = Vec::new();
    for ratio in [0.0, 0.1] {
        let change = |cfg: &mut Settings| cfg.routing.hedge_ratio = ratio;
        let mut node = entry_with(change, &PLACES);
        let took: Vec<u64> = (1..=200)
            .map(|n| straggle(&mut node, 10_000 + n * 1_000, n, n % 20 == 0))
            .collect();
        let hedges = count(&node).sent;
        assert!(hedges <= (ratio * 200.0) as u64 + SAVED_HEDGES, "{hedges}");
        times.push((took.iter().filter(|ms| **ms > 300).count(), hedges));
    }
    assert_eq!(times[0], (10, 0));
    assert_eq!(times[1].0, 0, "{} hedges", times[1].1);
    assert_eq!(times[1].1, 10);
}

/// Lets all upstreams report their normal speed.
fn report_normal(node: &mut Node, at_ms: u64) {
    for (upstream, _) in PLACES {
        send_load_update(node, at_ms, upstream, 100);
    }
}

/// Serves a request whose first attempt takes 60 ms, or 600 ms if it `straggles`; a hedge
/// takes 60 ms. Returns the time to the response in milliseconds.
fn straggle(node: &mut Node, at_ms: u64, id: u64, straggles: bool) -> u64 {
    report_normal(node, at_ms - 1);
    let first = forwarded(&arrive(node, at_ms, id, "/read/x")).unwrap();
    let first_ms = if straggles { 600 } else { 60 };
    let hedge = await_hedge(node, at_ms, first_ms - 10);
    let (took_ms, attempt) = match hedge {
        Some((hedged_ms, hedge)) => (hedged_ms + 60 - at_ms, hedge.attempt),
        None => (first_ms, first.attempt),
    };
    respond(node, at_ms + took_ms, id, attempt);
    took_ms
}
