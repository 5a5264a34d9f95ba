//! The control leader's registry and a daemon's view of it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use fleet::{FleetView, HomeOptions, MAX_HOMES, Registry, SUBSCRIPTION_IDLE, homes_hash};
use std::time::Duration;
use test_case::test_case;
use wire::{Announcement, Departure, Heartbeat, ServiceDelta, Subscription};

const LEASE: Duration = Duration::from_secs(4);
const SERVICE: &str = "booking";

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn heartbeat(daemon: &str, incarnation: u64, sequence: u64, slots: u32) -> Heartbeat {
    Heartbeat {
        daemon: daemon.to_owned(),
        incarnation,
        sequence,
        address: format!("{daemon}:7300"),
        data_centre: format!("dc{}", daemon.len() % 2),
        upstream: Some(Announcement {
            service: SERVICE.to_owned(),
            slots,
            boot: "b".to_owned(),
            leaving: false,
            ..Announcement::default()
        }),
        age_ms: 60_000,
        ..Heartbeat::default()
    }
}

/// Returns the subscription of a daemon that knows no later leader than the first.
fn subscription(view: &FleetView) -> Subscription {
    view.subscriptions(1).remove(0)
}

fn view() -> FleetView {
    let mut view = FleetView::default();
    view.subscribe(Duration::ZERO, SERVICE);
    view
}

fn names(view: &FleetView) -> Vec<String> {
    let service = view.service(SERVICE).expect("a view");
    let upstreams = service.upstreams.iter();
    upstreams
        .map(|(name, u)| format!("{name}:{}", u.slots))
        .collect()
}

fn leaving(view: &FleetView) -> Vec<&str> {
    let service = view.service(SERVICE).expect("a view");
    let leaving = service.upstreams.iter().filter(|(_, u)| u.leaving);
    leaving.map(|(name, _)| name.as_str()).collect()
}

/// Returns the record that the upstream beside a daemon has deregistered.
fn departure(daemon: &str) -> Departure {
    Departure {
        daemon: daemon.to_owned(),
        boot: "b".to_owned(),
        incarnation: 1,
        deregistered: true,
        ..Departure::default()
    }
}

/// Checks the leases every 500 ms, so that no pause of the process is detected.
fn expire(registry: &mut Registry, from: u64, to: u64) {
    for half in from * 2..=to * 2 {
        registry.expire(Duration::from_millis(half * 500));
    }
}

#[test]
fn delta_contains_only_what_changed() {
    let mut registry = Registry::new(1, LEASE, secs(0));
    for daemon in ["a", "b", "c"] {
        registry.handle_heartbeat(secs(0), &heartbeat(daemon, 1, 1, 6));
    }
    let mut view = view();
    let full = registry
        .delta(secs(0), &subscription(&view))
        .expect("an update");
    assert!(full.full);
    view.apply(&full);

    registry.handle_heartbeat(secs(1), &heartbeat("b", 1, 2, 3));
    let delta = registry
        .delta(secs(1), &subscription(&view))
        .expect("an update");
    assert!(!delta.full);
    assert_eq!(delta.upstreams.len(), 1);
    view.apply(&delta);
    assert_eq!(names(&view), ["a:6", "b:3", "c:6"]);
    assert_eq!(registry.delta(secs(1), &subscription(&view)), None);
}

#[test]
fn expire_removes_daemons_without_heartbeats() {
    let mut registry = Registry::new(1, LEASE, secs(0));
    registry.handle_heartbeat(secs(0), &heartbeat("a", 1, 1, 6));
    registry.handle_heartbeat(secs(0), &heartbeat("b", 1, 1, 6));
    let mut view = view();
    view.apply(
        &registry
            .delta(secs(0), &subscription(&view))
            .expect("an update"),
    );
    registry.handle_heartbeat(secs(3), &heartbeat("a", 1, 2, 6));
    expire(&mut registry, 0, 5);
    let delta = registry
        .delta(secs(5), &subscription(&view))
        .expect("an update");
    assert_eq!(delta.removed, ["b"]);
    view.apply(&delta);
    assert_eq!(names(&view), ["a:6"]);
}

#[test]
fn expire_after_a_pause_of_the_leader_keeps_all_daemons() {
    let mut registry = Registry::new(1, LEASE, secs(0));
    registry.handle_heartbeat(secs(0), &heartbeat("a", 1, 1, 6));
    registry.expire(secs(60));
    assert_eq!(registry.daemon_count(), 1);
}

#[test]
fn delta_of_a_new_leader_is_withheld_for_one_lease() {
    let mut old = Registry::new(1, LEASE, secs(0));
    old.handle_heartbeat(secs(0), &heartbeat("a", 1, 1, 6));
    old.handle_heartbeat(secs(0), &heartbeat("b", 1, 1, 6));
    let mut view = view();
    view.apply(&old.delta(secs(0), &subscription(&view)).expect("an update"));

    let mut new = Registry::new(2, LEASE, secs(10));
    new.handle_heartbeat(secs(10), &heartbeat("a", 1, 2, 6));
    assert_eq!(new.delta(secs(13), &subscription(&view)), None);
    new.handle_heartbeat(secs(13), &heartbeat("b", 1, 2, 6));
    view.apply(
        &new.delta(secs(14), &subscription(&view))
            .expect("an update"),
    );
    assert_eq!(names(&view), ["a:6", "b:6"]);
}

/// Guards against entries that go on selecting an upstream whose leave was acknowledged, for
/// the lease after a change of the leader (issue 22).
#[test]
fn delta_of_a_new_leader_states_who_leaves() {
    let mut old = Registry::new(1, LEASE, secs(0));
    old.handle_heartbeat(secs(0), &heartbeat("a", 1, 1, 6));
    old.handle_heartbeat(secs(0), &heartbeat("b", 1, 1, 6));
    let mut view = view();
    view.apply(&old.delta(secs(0), &subscription(&view)).expect("an update"));

    let mut new = Registry::new(2, LEASE, secs(10));
    new.record_departure(&departure("a"));
    new.handle_heartbeat(secs(10), &heartbeat("a", 1, 2, 6));
    let delta = new.delta(secs(10), &subscription(&view));
    assert!(view.apply(&delta.expect("an update")));
    assert_eq!(names(&view), ["a:6", "b:6"]);
    assert_eq!(leaving(&view), ["a"]);
    new.handle_heartbeat(secs(13), &heartbeat("b", 1, 2, 6));
    let delta = new.delta(secs(14), &subscription(&view));
    assert!(view.apply(&delta.expect("an update")));
    assert_eq!(leaving(&view), ["a"]);
}

/// Guards against a leave that a leader learns from the log only after a late announcement
/// has registered the upstream (issue 22).
#[test]
fn departure_counts_for_an_upstream_that_is_registered() {
    let mut registry = Registry::new(2, LEASE, secs(0));
    registry.handle_heartbeat(secs(1), &heartbeat("a", 1, 1, 6));
    assert!(!registry.services()[0].upstreams[0].leaving);
    registry.record_departure(&departure("a"));
    assert!(registry.services()[0].upstreams[0].leaving);
    let start = registry.deregistered_start("a").unwrap();
    assert_eq!(start.boot, "b");
}

#[test]
fn delta_of_a_service_without_upstreams_is_empty() {
    let new = Registry::new(2, LEASE, secs(10));
    let old_subscription = Subscription {
        service: SERVICE.to_owned(),
        epoch: 1,
        version: 9,
        checksums: Vec::new(),
    };
    assert_eq!(new.delta(secs(13), &old_subscription), None);
    let delta = new.delta(secs(14), &old_subscription).expect("an update");
    assert!(delta.full && delta.upstreams.is_empty());
}

#[test]
fn heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut registry = Registry::new(1, LEASE, secs(0));
    assert!(registry.handle_heartbeat(secs(0), &heartbeat("a", 9, 5, 6)));
    assert!(registry.handle_heartbeat(secs(1), &heartbeat("a", 4, 1, 3)));
    assert!(!registry.handle_heartbeat(secs(2), &heartbeat("a", 9, 6, 6)));
    assert!(!registry.handle_heartbeat(secs(2), &heartbeat("a", 4, 1, 6)));
    assert!(registry.handle_heartbeat(secs(2), &heartbeat("a", 4, 2, 3)));
    let mut view = view();
    view.apply(
        &registry
            .delta(secs(2), &subscription(&view))
            .expect("an update"),
    );
    assert_eq!(names(&view), ["a:3"]);
}

#[test]
fn heartbeat_of_a_live_daemon_taken_for_an_earlier_incarnation_is_accepted_again() {
    let mut registry = Registry::new(1, LEASE, secs(0));
    assert!(registry.handle_heartbeat(secs(0), &heartbeat("a", 4, 1, 3)));
    // A delayed heartbeat of an incarnation that died before this leader was
    // elected.
    assert!(registry.handle_heartbeat(secs(0), &heartbeat("a", 9, 70, 6)));
    assert!(!registry.handle_heartbeat(secs(1), &heartbeat("a", 4, 2, 3)));
    assert!(registry.handle_heartbeat(secs(2), &heartbeat("a", 4, 3, 3)));
    assert!(!registry.handle_heartbeat(secs(2), &heartbeat("a", 9, 71, 6)));
    assert!(registry.handle_heartbeat(secs(3), &heartbeat("a", 4, 4, 3)));
}

#[test]
fn view_ignores_older_versions() {
    let delta = |epoch, version| ServiceDelta {
        service: SERVICE.to_owned(),
        epoch,
        version,
        full: true,
        ..ServiceDelta::default()
    };
    let mut view = view();
    assert!(view.apply(&delta(2, 5)));
    assert!(!view.apply(&delta(2, 5)));
    assert!(!view.apply(&delta(2, 4)));
    assert!(!view.apply(&delta(1, 9)));
    assert!(view.apply(&delta(3, 1)));
}

#[test]
fn view_prunes_unused_subscriptions() {
    let mut view = view();
    view.subscribe(secs(100), "club");
    view.prune(SUBSCRIPTION_IDLE + secs(50));
    let services = view.subscriptions(1);
    assert_eq!(services.len(), 1);
    assert_eq!(services[0].service, "club");
}

/// Guards against homes that are lost with every daemon beside an upstream that restarts,
/// where daemons with a control replica could be homes.
#[test]
fn homes_are_daemons_with_a_replica_if_there_are_any() {
    let options = HomeOptions {
        lease: secs(2),
        on_replicas: true,
    };
    let replica = |daemon| Heartbeat {
        runs_replica: true,
        ..heartbeat(daemon, 1, 1, 0)
    };
    let mut registry = Registry::new(1, LEASE, secs(0)).with_home_options(options);
    registry.handle_heartbeat(secs(1), &heartbeat("d1", 1, 1, 6));
    registry.handle_heartbeat(secs(1), &replica("c1"));
    registry.handle_heartbeat(secs(1), &replica("c2"));
    assert_eq!(homes(&mut registry, 2), ["c1", "c2"]);
}

/// Guards against a home that is dropped while it is alive and may still grant, when a
/// daemon with a control replica registers later.
#[test]
fn homes_stay_when_a_replica_registers_later() {
    let options = HomeOptions {
        lease: secs(2),
        on_replicas: true,
    };
    let mut registry = Registry::new(1, LEASE, secs(0)).with_home_options(options);
    registry.handle_heartbeat(secs(1), &heartbeat("d1", 1, 1, 6));
    assert_eq!(homes(&mut registry, 2), ["d1"]);
    let replica = Heartbeat {
        runs_replica: true,
        ..heartbeat("c1", 1, 1, 0)
    };
    registry.handle_heartbeat(secs(2), &replica);
    registry.handle_heartbeat(secs(2), &heartbeat("d2", 1, 1, 6));
    assert_eq!(homes(&mut registry, 2), ["c1", "d1"]);
}

/// Guards against a silent home that stays listed for the lease of its registration, and
/// against one that is listed again only when another daemon changes.
#[test]
fn homes_exclude_daemon_while_it_is_silent_for_their_lease() {
    let options = HomeOptions {
        lease: secs(2),
        on_replicas: false,
    };
    let mut registry = Registry::new(1, LEASE, secs(0)).with_home_options(options);
    registry.handle_heartbeat(secs(1), &heartbeat("d2", 1, 1, 6));
    for sequence in 1..=6 {
        let now = Duration::from_millis(500 * sequence);
        registry.handle_heartbeat(now, &heartbeat("d1", 1, sequence, 6));
        registry.expire(now);
    }
    assert_eq!(homes(&mut registry, 3), ["d1"]);
    registry.handle_heartbeat(secs(3), &heartbeat("d2", 1, 2, 6));
    assert_eq!(homes(&mut registry, 3), ["d1", "d2"]);
}

const HOMES: HomeOptions = HomeOptions {
    lease: Duration::from_secs(2),
    on_replicas: false,
};

/// Guards against customers that are refused for a lease after the first election, although
/// no earlier leader can have listed homes that grant.
#[test_case(false, 1; "no limit before")]
#[test_case(true, 0; "limits before")]
fn first_leader_lists_homes_without_the_wait_for_a_predecessor(limited: bool, listed: usize) {
    let mut registry = Registry::new(1, LEASE, secs(0)).with_home_options(HOMES);
    registry.record_limits(|| limited);
    registry.handle_heartbeat(Duration::from_millis(100), &heartbeat("d1", 1, 1, 6));
    assert_eq!(homes(&mut registry, 1).len(), listed);
    registry.record_limits(|| !limited);
    assert_eq!(registry.has_initial_homes("d1"), !limited);
}

/// Guards against a daemon that takes itself for the first home ever although its earlier
/// start may have granted, or another home before it.
#[test_case(&[("d1", 2)]; "started again")]
#[test_case(&[("d2", 1)]; "list has grown")]
fn later_homes_are_not_the_first(heartbeats: &[(&str, u64)]) {
    let mut registry = Registry::new(1, LEASE, secs(0)).with_home_options(HOMES);
    registry.record_limits(|| false);
    registry.handle_heartbeat(secs(1), &heartbeat("d1", 1, 1, 6));
    homes(&mut registry, 1);
    for (daemon, incarnation) in heartbeats {
        registry.handle_heartbeat(secs(2), &heartbeat(daemon, *incarnation, 1, 6));
        homes(&mut registry, 2);
        assert!(!registry.has_initial_homes(daemon));
    }
}

/// Guards against a home that expired and comes back as the first home ever.
#[test]
fn home_that_expired_is_not_the_first() {
    let mut registry = Registry::new(1, LEASE, secs(0)).with_home_options(HOMES);
    registry.record_limits(|| false);
    registry.handle_heartbeat(secs(1), &heartbeat("d1", 1, 1, 6));
    homes(&mut registry, 1);
    for now in 2..=20 {
        registry.expire(Duration::from_millis(500 * now));
    }
    registry.handle_heartbeat(secs(10), &heartbeat("d1", 2, 1, 6));
    homes(&mut registry, 10);
    assert!(!registry.has_initial_homes("d1"));
}

fn homes(registry: &mut Registry, now: u64) -> Vec<String> {
    let homes = registry.homes(secs(now), 0).into_iter();
    homes.map(|home| home.daemon).collect()
}

#[test]
fn homes_are_stable_bounded_and_spread_over_data_centres() {
    let mut registry = Registry::new(1, LEASE, secs(0));
    for n in 0..60 {
        let mut heartbeat = heartbeat(&format!("d{n:02}"), 1, 1, 6);
        heartbeat.age_ms = 1_000 - n;
        heartbeat.data_centre = if n < 50 { "ams" } else { "rtm" }.to_owned();
        registry.handle_heartbeat(secs(0), &heartbeat);
    }
    assert!(registry.homes(secs(3), 0).is_empty());
    let homes = registry.homes(secs(5), 0);
    assert_eq!(homes.len(), MAX_HOMES);
    let in_rtm = homes.iter().filter(|h| h.daemon.as_str() >= "d50").count();
    assert_eq!(in_rtm, 10);
    assert!(registry.homes(secs(5), homes_hash(&homes)).is_empty());

    registry.handle_heartbeat(secs(5), &heartbeat("d00", 2, 1, 6));
    registry.handle_heartbeat(secs(5), &heartbeat("new", 1, 1, 6));
    assert!(registry.homes(secs(5), homes_hash(&homes)).is_empty());
}

/// A leader of term 2 at which these daemons have registered within the lease, and the
/// view that a daemon has from the leader of term 1, where `known` had registered.
fn after_election(known: &[&str], registered: &[(&str, u32)]) -> (Registry, FleetView) {
    let mut old = Registry::new(1, LEASE, secs(0));
    for daemon in known {
        old.handle_heartbeat(secs(0), &heartbeat(daemon, 1, 1, 6));
    }
    let mut view = view();
    view.apply(&old.delta(secs(0), &subscription(&view)).expect("an update"));
    let mut new = Registry::new(2, LEASE, secs(10));
    for (daemon, slots) in registered {
        new.handle_heartbeat(secs(10), &heartbeat(daemon, 1, 2, *slots));
    }
    (new, view)
}

/// Load pattern: an election in a fleet of many daemons. What they know already is not
/// sent to them again.
#[test]
fn delta_after_an_election_contains_nothing_that_is_known() {
    let known = ["a", "b", "c"];
    let (new, mut view) = after_election(&known, &[("a", 6), ("b", 6), ("c", 6)]);
    let states_checksums = view.subscriptions(2).remove(0);
    let delta = new.delta(secs(14), &states_checksums).expect("an update");
    assert!(!delta.full && delta.upstreams.is_empty() && delta.removed.is_empty());
    assert!(view.apply(&delta));
    assert_eq!(names(&view), ["a:6", "b:6", "c:6"]);
    assert_eq!(new.delta(secs(14), &view.subscriptions(2)[0]), None);
}

#[test_case(&[("a", 6), ("b", 3), ("c", 6)], &["a:6", "b:3", "c:6"]; "changed")]
#[test_case(&[("a", 6), ("c", 6)], &["a:6", "c:6"]; "removed")]
#[test_case(&[("a", 6), ("b", 6), ("c", 6), ("d", 2)], &["a:6", "b:6", "c:6", "d:2"]; "added")]
#[test_case(&[], &[]; "all removed")]
fn delta_after_an_election_brings_the_view_up_to_date(
    registered: &[(&str, u32)],
    expected: &[&str],
) {
    let (new, mut view) = after_election(&["a", "b", "c"], registered);
    let delta = new.delta(secs(14), &view.subscriptions(2)[0]);
    assert!(view.apply(&delta.expect("an update")));
    assert_eq!(names(&view), expected);
}

/// An update that was made for an earlier state of the view must not be applied.
#[test]
fn view_ignores_an_update_for_other_checksums() {
    let (new, mut view) = after_election(&["a", "b"], &[("a", 6), ("b", 6), ("c", 6)]);
    let delta = new.delta(secs(14), &view.subscriptions(2)[0]);
    let changed = ServiceDelta {
        service: SERVICE.to_owned(),
        epoch: 1,
        version: 99,
        removed: vec!["a".to_owned()],
        ..ServiceDelta::default()
    };
    assert!(view.apply(&changed));
    assert!(!view.apply(&delta.expect("an update")));
    assert_eq!(names(&view), ["b:6"]);
}

/// A daemon of an earlier program states no checksums and gets the full list.
#[test]
fn delta_after_an_election_without_checksums_is_full() {
    let (new, view) = after_election(&["a", "b"], &[("a", 6), ("b", 6)]);
    let delta = new
        .delta(secs(14), &subscription(&view))
        .expect("an update");
    assert!(delta.full && delta.upstreams.len() == 2);
}

/// Guards against an upstream that has left and is in use again, because its daemon has
/// started again and was reached by an announcement that was delayed.
#[test]
fn restarted_daemon_does_not_bring_back_an_upstream_that_has_left() {
    let announced = |incarnation, sequence, boot: &str, number, leaving| {
        let mut heartbeat = heartbeat("a", incarnation, sequence, 6);
        let upstream = heartbeat.upstream.as_mut().unwrap();
        upstream.boot = boot.to_owned();
        upstream.sequence = number;
        upstream.leaving = leaving;
        heartbeat
    };
    let mut registry = Registry::new(1, LEASE, secs(0));
    let is_leaving = |registry: &Registry| registry.services()[0].upstreams[0].leaving;
    registry.handle_heartbeat(secs(1), &announced(1, 1, "b1", 5, false));
    registry.handle_heartbeat(secs(2), &announced(1, 2, "b1", 7, true));
    let before_any = Heartbeat {
        upstream: None,
        ..heartbeat("a", 2, 1, 6)
    };
    registry.handle_heartbeat(secs(3), &before_any);
    registry.handle_heartbeat(secs(4), &announced(2, 2, "b1", 6, false));
    assert!(
        is_leaving(&registry),
        "brought back by a delayed announcement"
    );
    registry.handle_heartbeat(secs(5), &announced(2, 3, "b1", 8, false));
    assert!(!is_leaving(&registry), "a later announcement counts");
    registry.handle_heartbeat(secs(6), &announced(2, 4, "b1", 9, true));
    registry.handle_heartbeat(secs(7), &announced(3, 1, "b2", 1, false));
    assert!(!is_leaving(&registry), "another start counts");
}

/// Guards against an upstream that has left and is brought back by a delayed announcement,
/// because another one at its address was reported in between.
#[test_case(true, 8; "deregistered")]
#[test_case(false, 6; "draining")]
fn upstream_that_has_left_is_not_brought_back_after_another_one(deregistered: bool, late: u64) {
    let announced = |sequence, boot: &str, number, leaving| {
        let mut heartbeat = heartbeat("a", 1, sequence, 6);
        let upstream = heartbeat.upstream.as_mut().unwrap();
        upstream.boot = boot.to_owned();
        upstream.incarnation = 1;
        upstream.sequence = number;
        upstream.leaving = leaving;
        upstream.deregistered = leaving && deregistered;
        heartbeat
    };
    let mut registry = Registry::new(1, LEASE, secs(0));
    registry.handle_heartbeat(secs(1), &announced(1, "b1", 7, true));
    registry.handle_heartbeat(secs(2), &announced(2, "other", 1, false));
    let known = deregistered.then_some("b1");
    let start = registry.deregistered_start("a");
    assert_eq!(start.as_ref().map(|s| s.boot.as_str()), known);
    registry.handle_heartbeat(secs(3), &announced(3, "b1", late, false));
    assert!(registry.services()[0].upstreams[0].leaving);
}

/// Guards against an upstream that counts as cold again with each heartbeat, or not at all
/// after it has started anew beside a running daemon.
#[test]
fn upstreams_have_the_time_of_their_start() {
    let mut registry = Registry::new(1, secs(4), secs(100));
    let started = |registry: &Registry| {
        let mut upstreams = registry.upstreams("booking");
        upstreams.next().expect("registered").started
    };
    let mut first = heartbeat("a", 1, 1, 6);
    first.age_ms = 30_000;
    first.in_progress = 3;
    registry.handle_heartbeat(secs(100), &first);
    assert_eq!(started(&registry), secs(70));
    let upstream = registry.upstreams("booking").next().expect("registered");
    assert_eq!(upstream.in_progress, 3);
    let mut next = heartbeat("a", 1, 2, 6);
    next.age_ms = 31_000;
    registry.handle_heartbeat(secs(101), &next);
    assert_eq!(started(&registry), secs(70));
    let mut restarted = heartbeat("a", 1, 3, 6);
    if let Some(upstream) = &mut restarted.upstream {
        upstream.boot = "another".to_owned();
    }
    registry.handle_heartbeat(secs(102), &restarted);
    assert_eq!(started(&registry), secs(102));
    assert_eq!(registry.upstreams("club").count(), 0);
}
