//! What the entry and the gate of a daemon do during a rollout.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod one_daemon;
mod requests;

use conf::Settings;
use gate::Outcome;
use node::admission::{self, Arrival, ReadStatement};
use node::entry::{self, Reason, VersionCount};
use node::{Effect, Event, Node, step};
use std::time::Duration;
use test_case::test_case;
use wire::{
    Announcement, Body, ConfigDelta, Heartbeat, HeartbeatReply, LinkKind, Refuse, RefuseReason,
    Rollout, RolloutStage, Route, RouteDestination, RouteKind, Routing, ServiceDelta, UpstreamInfo,
};

const SERVICE: &str = "booking";
const OLD: &str = "v1";
const NEW: &str = "v2";
/// Share of the new version in the canary stage, in millionths.
const CANARY_PPM: u32 = 80_000;
/// Upstreams of the old and of the new version.
const UPSTREAMS: [(&str, &str); 6] = [
    ("o1", OLD),
    ("o2", OLD),
    ("o3", OLD),
    ("n1", NEW),
    ("n2", NEW),
    ("n3", NEW),
];

/// A daemon, and the leader that replies to its heartbeats.
struct Bench {
    node: Node,
    at_ms: u64,
    upstreams: Vec<(&'static str, &'static str)>,
    rollout: Option<Rollout>,
    config_version: u64,
    view_version: u64,
    confirms: bool,
    heartbeats: Vec<Heartbeat>,
    logs: Vec<String>,
    requests: u64,
}

fn settings(name: &str) -> Settings {
    let mut settings = one_daemon::settings(name);
    settings.gate.isolate_suspects = false;
    settings.gate.cold_slots = 2;
    settings.gate.queue_ratio = 1.0;
    settings.routing.repicks = 4;
    settings.routing.by_expected_finish = true;
    settings.routing.retry_ratio = 0.2;
    settings.routing.hedge_ratio = 0.2;
    settings
}

fn routing() -> Routing {
    Routing {
        version: 1,
        routes: vec![Route {
            name: "read".into(),
            host: "a.example".into(),
            prefix: "/read/".into(),
            kind: RouteKind::Idempotent.into(),
            timeout_ms: 800,
            objective_ms: 200,
            attempts: 2,
            destinations: vec![RouteDestination {
                service: SERVICE.into(),
                weight: 1,
            }],
            ..Route::default()
        }],
        ..Routing::default()
    }
}

fn rollout(stage: RolloutStage, share_ppm: u32) -> Rollout {
    let switched = matches!(stage, RolloutStage::Switched | RolloutStage::Complete);
    Rollout {
        id: 7,
        service: SERVICE.into(),
        version: NEW.into(),
        duration_ms: 12_000,
        stage: stage.into(),
        share_ppm,
        replaced_versions: match switched {
            true => vec![OLD.into()],
            false => Vec::new(),
        },
        ..Rollout::default()
    }
}

impl Bench {
    fn new(upstreams: &[(&'static str, &'static str)], rollout: Option<Rollout>) -> Self {
        Self::with_settings(upstreams, rollout, settings("entry-1"))
    }

    fn with_settings(
        upstreams: &[(&'static str, &'static str)],
        rollout: Option<Rollout>,
        settings: Settings,
    ) -> Self {
        let node = one_daemon::node(settings);
        let mut bench = Self {
            node,
            at_ms: 0,
            upstreams: upstreams.to_vec(),
            rollout,
            config_version: 1,
            view_version: 1,
            confirms: true,
            heartbeats: Vec::new(),
            logs: Vec::new(),
            requests: 0,
        };
        bench.pass(4_000);
        bench
    }

    fn run(&mut self, event: Event) -> Vec<Effect> {
        let mut tx = Vec::new();
        step(
            &mut self.node,
            Duration::from_millis(self.at_ms),
            event,
            &mut tx,
        );
        self.logs
            .extend(tx.iter().filter_map(|effect| match effect {
                Effect::Log(line) if line.event == "rollout_state" => {
                    Some(format!("{:?}", line.pairs))
                }
                _ => None,
            }));
        tx
    }

    /// Lets time pass, with a tick every 10 ms; returns the effects.
    fn pass(&mut self, ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for _ in 0..ms / 10 {
            self.at_ms += 10;
            for effect in self.run(Event::Tick { unix_ms: 0 }) {
                match effect {
                    Effect::Send {
                        body: Body::Heartbeat(heartbeat),
                        ..
                    } => effects.extend(self.reply(heartbeat)),
                    other => effects.push(other),
                }
            }
        }
        effects
    }

    fn reply(&mut self, heartbeat: Heartbeat) -> Vec<Effect> {
        let numbered = (1..).zip(&self.upstreams);
        let upstreams = numbered.map(|(n, (name, version))| UpstreamInfo {
            upstream: (*name).into(),
            address: format!("127.0.0.1:{}", 9_000 + n),
            data_centre: "ams".into(),
            slots: 50,
            version: (*version).into(),
            ..UpstreamInfo::default()
        });
        let config = ConfigDelta {
            to: self.config_version,
            last: true,
            routing: Some(routing()),
            rollouts: self.rollout.iter().cloned().collect(),
            ..ConfigDelta::default()
        };
        let reply = HeartbeatReply {
            sequence: heartbeat.sequence,
            confirmed: true,
            config_version: self.config_version,
            config: (heartbeat.config_version < self.config_version).then_some(config),
            services: vec![ServiceDelta {
                service: SERVICE.into(),
                epoch: 1,
                version: self.view_version,
                full: true,
                upstreams: upstreams.collect(),
                ..ServiceDelta::default()
            }],
            term: 1,
            ..HeartbeatReply::default()
        };
        self.heartbeats.push(heartbeat);
        if !self.confirms {
            return Vec::new();
        }
        self.run(Event::Received {
            link: None,
            daemon: "control-1".into(),
            body: Body::HeartbeatReply(reply),
        })
    }

    /// Brings another state of the rollout into force; returns the effects.
    fn roll(&mut self, rollout: Rollout) -> Vec<Effect> {
        self.rollout = Some(rollout);
        self.config_version += 1;
        self.pass(1_000)
    }

    fn show(&mut self, upstreams: &[(&'static str, &'static str)]) {
        self.upstreams = upstreams.to_vec();
        self.view_version += 1;
        self.pass(1_000);
    }

    fn version_of(&self, upstream: &str) -> &'static str {
        let known = self.upstreams.iter().find(|(name, _)| *name == upstream);
        known.unwrap().1
    }

    fn arrive(&mut self) -> (u64, Vec<Effect>) {
        self.requests += 1;
        let id = self.requests;
        let request = entry::Request {
            deadline: Some(Duration::from_millis(700)),
            ..requests::routed_request(id, "/read/x")
        };
        (id, self.run(Event::Entry(entry::Event::Arrived(request))))
    }

    fn refuse(&mut self, attempt: &entry::Attempt, reason: RefuseReason) -> Vec<Effect> {
        let refuse = Refuse {
            reason: reason.into(),
            ..Refuse::default()
        };
        let event = entry::Event::Refused(attempt.request, attempt.attempt, refuse);
        self.run(Event::Entry(event))
    }

    fn respond(&mut self, attempt: &entry::Attempt, status: u16) -> Vec<Effect> {
        let (id, number) = (attempt.request, attempt.attempt);
        let effects = self.run(Event::Entry(entry::Event::ResponseStarted(
            id, number, status, None,
        )));
        self.run(Event::Entry(entry::Event::Ended(id, number, 100, None)));
        effects
    }

    /// Serves requests one after the other; returns the version that each went to.
    fn serve(&mut self, requests: usize) -> Vec<&'static str> {
        let mut versions = Vec::new();
        for _ in 0..requests {
            let attempt = forwarded(&self.arrive().1).unwrap();
            versions.push(self.version_of(&attempt.upstream));
            self.pass(10);
            self.respond(&attempt, 200);
        }
        versions
    }

    /// Returns the first attempt at an upstream of the new version.
    fn first_at_new(&mut self) -> entry::Attempt {
        for _ in 0..100 {
            let attempt = forwarded(&self.arrive().1).unwrap();
            if self.version_of(&attempt.upstream) == NEW {
                return attempt;
            }
            self.pass(10);
            self.respond(&attempt, 200);
        }
        panic!("no attempt at the new version");
    }
}

fn forwarded(effects: &[Effect]) -> Option<entry::Attempt> {
    effects.iter().find_map(|effect| match effect {
        Effect::Entry(entry::Effect::Forward(attempt)) => Some(attempt.clone()),
        _ => None,
    })
}

fn refusal(effects: &[Effect]) -> Option<Reason> {
    effects.iter().find_map(|effect| match effect {
        Effect::Entry(entry::Effect::Refuse(_, refusal)) => Some(refusal.reason),
        _ => None,
    })
}

fn at_new(versions: &[&str]) -> usize {
    versions.iter().filter(|v| **v == NEW).count()
}

fn canary() -> Rollout {
    rollout(RolloutStage::Canary, CANARY_PPM)
}

#[test]
fn entry_sends_canary_share_evenly() {
    let mut bench = Bench::new(&UPSTREAMS, Some(canary()));
    let versions = bench.serve(500);
    assert_eq!(at_new(&versions), 39);
    for window in versions.windows(100) {
        assert!((7..=8).contains(&at_new(window)), "{}", at_new(window));
    }
}

/// Guards against a share that is exceeded because many requests are in flight at once.
#[test]
fn entry_keeps_share_of_requests_in_flight() {
    let mut bench = Bench::new(&UPSTREAMS, Some(canary()));
    let mut in_flight = Vec::new();
    for _ in 0..100 {
        in_flight.push(forwarded(&bench.arrive().1).unwrap());
    }
    let new = |a: &&entry::Attempt| a.upstream.starts_with('n');
    assert_eq!(in_flight.iter().filter(new).count(), 0);
    bench.pass(10);
    for attempt in &in_flight {
        bench.respond(attempt, 200);
    }
    let next: Vec<_> = (0..50)
        .map(|_| forwarded(&bench.arrive().1).unwrap())
        .collect();
    let count = next.iter().filter(new).count();
    assert!((1..=8).contains(&count), "{count}");
}

/// Guards against attempts that are lost to the evidence, because the picker prefers the
/// old version: it ejects upstreams whose responses are errors.
#[test]
fn entry_sends_share_also_while_new_version_fails() {
    let mut settings = settings("entry-1");
    settings.routing.eject_ratio = 0.5;
    let mut bench = Bench::with_settings(&UPSTREAMS[..4], Some(canary()), settings);
    let mut new = 0;
    for _ in 0..500 {
        let attempt = forwarded(&bench.arrive().1).unwrap();
        let is_new = bench.version_of(&attempt.upstream) == NEW;
        new += usize::from(is_new);
        bench.pass(10);
        bench.respond(&attempt, if is_new { 500 } else { 200 });
    }
    assert_eq!(new, 39);
}

#[test]
fn entry_restarts_with_nothing_sent() {
    for _ in 0..3 {
        let mut bench = Bench::new(&UPSTREAMS, Some(canary()));
        assert_eq!(at_new(&bench.serve(12)), 0);
    }
}

/// An attempt that no upstream received does not count, and costs the request nothing.
#[test]
fn entry_falls_back_and_does_not_count_attempt_that_was_not_run() {
    let mut bench = Bench::new(&UPSTREAMS, Some(canary()));
    let attempt = bench.first_at_new();
    let second = forwarded(&bench.refuse(&attempt, RefuseReason::NoSlot)).unwrap();
    assert_eq!(bench.version_of(&second.upstream), OLD);
    bench.respond(&second, 200);
    let next = forwarded(&bench.arrive().1).unwrap();
    assert_eq!(bench.version_of(&next.upstream), NEW);
}

/// Guards against retries of refused requests by which the new version gets more than its
/// share.
#[test]
fn entry_keeps_share_of_retries() {
    let mut bench = Bench::new(&UPSTREAMS, Some(canary()));
    let (mut reached, mut new) = (0, 0);
    for n in 0..1_000 {
        let mut attempt = forwarded(&bench.arrive().1);
        while let Some(sent) = attempt.take() {
            let is_new = bench.version_of(&sent.upstream) == NEW;
            bench.pass(10);
            match n % 4 {
                0 if sent.attempt == 1 => {
                    attempt = forwarded(&bench.refuse(&sent, RefuseReason::Slow))
                }
                1 if sent.attempt == 1 => {
                    new += usize::from(is_new);
                    let event = entry::Event::Broken(sent.request, 1, None);
                    attempt = forwarded(&bench.run(Event::Entry(event)));
                }
                _ => {
                    new += usize::from(is_new);
                    reached += 1;
                    bench.respond(&sent, 200);
                }
            }
        }
    }
    assert!(
        new * 1_000_000 <= reached * CANARY_PPM as usize,
        "{new} of {reached}"
    );
    assert!(new * 1_000_000 >= reached * 70_000, "{new} of {reached}");
}

/// Guards against hedges by which the new version gets more than its share.
#[test]
fn entry_keeps_share_of_hedges() {
    let mut settings = settings("entry-1");
    settings.routing.by_expected_finish = false;
    let mut bench = Bench::with_settings(&UPSTREAMS, Some(canary()), settings);
    bench.serve(40);
    let (mut responses, mut hedges, mut new) = (0, 0, 0);
    for n in 0..800 {
        let first = forwarded(&bench.arrive().1).unwrap();
        new += usize::from(bench.version_of(&first.upstream) == NEW);
        let mut last = first;
        bench.pass(10);
        for _ in 0..if n % 4 == 0 { 10 } else { 0 } {
            if let Some(hedge) = forwarded(&bench.pass(10)) {
                hedges += 1;
                new += usize::from(bench.version_of(&hedge.upstream) == NEW);
                last = hedge;
                break;
            }
        }
        responses += 1;
        bench.respond(&last, 200);
    }
    assert!(hedges > 100, "{hedges}");
    let allowed = (responses + 40) * CANARY_PPM as usize / 1_000_000;
    assert!(new <= allowed, "{new}, {allowed} are allowed");
    assert!(new * 10 >= allowed * 9, "{new}, {allowed} are allowed");
}

#[test]
fn entry_falls_back_if_new_version_cannot_be_reached() {
    let mut bench = Bench::new(&UPSTREAMS[..5], Some(canary()));
    bench.serve(50);
    for upstream in 4..=5 {
        bench.run(Event::LinkFailed {
            address: format!("127.0.0.1:{}", 9_000 + upstream).into(),
            kind: LinkKind::Data,
            closed_by_peer: false,
        });
    }
    for _ in 0..20 {
        let attempt = forwarded(&bench.arrive().1).unwrap();
        assert_eq!(bench.version_of(&attempt.upstream), OLD);
        bench.respond(&attempt, 200);
    }
}

#[test]
fn entry_ramps_up_to_everything() {
    let mut bench = Bench::new(&UPSTREAMS, Some(canary()));
    bench.serve(20);
    bench.roll(rollout(RolloutStage::Ramp, 500_000));
    let versions = bench.serve(100);
    assert!(
        (48..=54).contains(&at_new(&versions)),
        "{}",
        at_new(&versions)
    );
    bench.roll(rollout(RolloutStage::Ramp, 1_000_000));
    assert_eq!(at_new(&bench.serve(100)), 100);
    // Until the old version is excluded, it takes what finds no room.
    let attempt = bench.first_at_new();
    let second = forwarded(&bench.refuse(&attempt, RefuseReason::NoSlot)).unwrap();
    assert_eq!(bench.version_of(&second.upstream), OLD);
}

#[test]
fn entry_without_confirmation_sends_only_to_old_version() {
    let mut bench = Bench::new(&UPSTREAMS, Some(rollout(RolloutStage::Ramp, 1_000_000)));
    assert_eq!(at_new(&bench.serve(10)), 10);
    bench.confirms = false;
    bench.pass(1_500);
    assert_eq!(at_new(&bench.serve(50)), 0);
    bench.confirms = true;
    bench.pass(1_000);
    assert_eq!(at_new(&bench.serve(10)), 10);
}

#[test_case(RolloutStage::Switched, 100; "switched")]
#[test_case(RolloutStage::Complete, 100; "complete")]
#[test_case(RolloutStage::RolledBack, 0; "rolled back")]
fn entry_sends_nothing_to_excluded_version(stage: RolloutStage, expected: usize) {
    let mut bench = Bench::new(&UPSTREAMS, Some(canary()));
    bench.serve(50);
    bench.roll(rollout(stage, 0));
    assert_eq!(at_new(&bench.serve(100)), expected);
    // A version stays excluded while control cannot be reached.
    bench.confirms = false;
    bench.pass(3_000);
    assert_eq!(at_new(&bench.serve(100)), expected);
}

/// Guards against a repick or a retry that goes to an excluded version.
#[test]
fn entry_refuses_if_only_excluded_version_is_left() {
    let mut bench = Bench::new(
        &UPSTREAMS[..4],
        Some(rollout(RolloutStage::Switched, 1_000_000)),
    );
    let attempt = forwarded(&bench.arrive().1).unwrap();
    assert_eq!(attempt.upstream, "n1");
    let effects = bench.refuse(&attempt, RefuseReason::NoSlot);
    assert!(forwarded(&effects).is_none());
    assert!(refusal(&effects).is_some());
}

#[test]
fn entry_sends_to_replaced_version_again_once_new_one_is_gone() {
    let mut bench = Bench::new(&UPSTREAMS, Some(rollout(RolloutStage::Complete, 1_000_000)));
    assert_eq!(at_new(&bench.serve(10)), 10);
    bench.show(&UPSTREAMS[..3]);
    assert_eq!(at_new(&bench.serve(10)), 0);
}

/// Guards against a service that loses its requests because it is ordered to move to the
/// version that it has.
#[test]
fn entry_sends_everything_to_only_version() {
    let mut bench = Bench::new(&UPSTREAMS[3..], Some(canary()));
    bench.pass(1_100);
    assert_eq!(at_new(&bench.serve(30)), 30);
}

/// Guards against a first view that lacks the old version, because the leader has just
/// started like the daemon itself.
#[test]
fn entry_that_has_just_started_keeps_share_while_old_version_is_not_in_view() {
    let mut bench = Bench::new(&UPSTREAMS[3..], Some(canary()));
    assert!(forwarded(&bench.arrive().1).is_none());
}

/// Guards against a view that lacks the old version for a moment.
#[test]
fn entry_keeps_share_while_old_version_is_not_in_view() {
    let mut bench = Bench::new(&UPSTREAMS, Some(canary()));
    bench.serve(5);
    bench.show(&UPSTREAMS[3..]);
    assert!(forwarded(&bench.arrive().1).is_none());
}

/// Guards against other choices for services without a rollout.
#[test]
fn entry_chooses_as_before_without_rollout() {
    let choices = |rollout: Option<Rollout>| {
        let mut bench = Bench::new(&UPSTREAMS, rollout);
        let attempts = (0..300).map(|_| {
            let attempt = forwarded(&bench.arrive().1).unwrap();
            bench.pass(10);
            bench.respond(&attempt, 200);
            attempt.upstream
        });
        attempts.collect::<Vec<_>>()
    };
    let other = Rollout {
        service: "club".into(),
        ..canary()
    };
    assert_eq!(choices(None), choices(Some(other)));
}

#[test]
fn entry_counts_attempts_by_version() {
    let mut bench = Bench::new(&UPSTREAMS, Some(canary()));
    let attempt = bench.first_at_new();
    let second = forwarded(&bench.refuse(&attempt, RefuseReason::NoSlot)).unwrap();
    bench.respond(&second, 503);
    let counts = bench.node.entry.version_counts();
    let count = |version: &str| counts[&(SERVICE.into(), version.into())];
    let new = VersionCount {
        attempts: 1,
        not_run: 1,
        ..VersionCount::default()
    };
    assert_eq!(count(NEW), new);
    assert_eq!((count(OLD).attempts, count(OLD).errors), (14, 1));
}

/// Guards against metrics that grow with the versions that upstreams announce.
#[test]
fn entry_bounds_number_of_counted_versions() {
    let named = |prefix: &str, n: usize| -> &'static str { format!("{prefix}{n}").leak() };
    let upstreams: Vec<_> = (0..100).map(|n| (named("u", n), named("v", n))).collect();
    let mut bench = Bench::new(&upstreams, Some(canary()));
    bench.serve(1_000);
    let counts = bench.node.entry.version_counts();
    assert_eq!(counts.len(), 65);
    assert_eq!(counts.values().map(|c| c.attempts).sum::<u64>(), 1_000);
}

/// Guards against a request that gets no second attempt, because the only upstream that
/// may run it is one of the new version, whose share is used up.
#[test]
fn entry_isolates_suspected_requests_at_old_version() {
    let mut settings = settings("entry-1");
    settings.gate.isolate_suspects = true;
    let mut bench = Bench::with_settings(&UPSTREAMS, Some(canary()), settings);
    for n in 0..10 {
        bench.serve(10);
        let attempt = forwarded(&bench.arrive().1).unwrap();
        let broken = entry::Event::Broken(attempt.request, attempt.attempt, None);
        let second = forwarded(&bench.run(Event::Entry(broken)));
        let second = second.unwrap_or_else(|| panic!("request {n} has no second attempt"));
        assert_eq!(bench.version_of(&second.upstream), OLD);
        bench.respond(&second, 200);
    }
}

/// One line for each change, also if the configuration changes otherwise.
#[test]
fn each_change_of_rollout_is_logged_once() {
    let mut bench = Bench::new(&UPSTREAMS, Some(canary()));
    assert_eq!(bench.logs.len(), 1);
    bench.config_version += 1;
    bench.pass(1_000);
    assert_eq!(bench.logs.len(), 1);
    bench.roll(Rollout {
        reason: "9 of 20 responses failed".into(),
        ..rollout(RolloutStage::RolledBack, 0)
    });
    assert_eq!(bench.logs.len(), 2);
    assert!(bench.logs[1].contains("RolledBack") && bench.logs[1].contains("9 of 20"));
}

/// Returns the daemon beside an upstream with two slots and a queue.
fn gate(version: &str, rollout: Option<Rollout>) -> Bench {
    gate_with_cold_slots(version, rollout, 2)
}

/// Returns the same with this many slots as long as the gate takes the upstream for cold.
fn gate_with_cold_slots(version: &str, rollout: Option<Rollout>, cold_slots: u32) -> Bench {
    let mut settings = settings("o1");
    settings.gate.cold_slots = cold_slots;
    settings.control.heartbeat_interval = Duration::from_millis(100);
    let mut bench = Bench::with_settings(&UPSTREAMS, rollout, settings);
    announce(&mut bench, version, "b1", 1);
    bench.pass(1_000);
    bench
}

fn announce(bench: &mut Bench, version: &str, boot: &str, sequence: u64) {
    let announcement = Announcement {
        service: SERVICE.into(),
        slots: 2,
        boot: boot.into(),
        incarnation: 1,
        sequence,
        version: version.into(),
        ..Announcement::default()
    };
    admit(bench, admission::Event::Announced(announcement));
}

fn admit(bench: &mut Bench, event: admission::Event) -> Vec<admission::Effect> {
    admissions(bench.run(Event::Admission(event)))
}

fn admissions(effects: Vec<Effect>) -> Vec<admission::Effect> {
    let effects = effects.into_iter();
    let admissions = effects.filter_map(|effect| match effect {
        Effect::Admission(effect) => Some(effect),
        _ => None,
    });
    admissions.collect()
}

fn arrival(ticket: u64) -> Arrival {
    Arrival {
        ticket,
        link: 1,
        believed_slow_percent: 0,
        service: SERVICE.into(),
        customer: "".into(),
        class: "read".into(),
        deadline: Duration::from_secs(5),
        fingerprint: ticket,
        claim: 0,
        idempotent: true,
        weight: 1,
        objective: None,
        is_call: false,
        suspected: false,
    }
}

fn start(bench: &mut Bench, ticket: u64) -> Vec<admission::Effect> {
    admit(bench, admission::Event::Arrived(arrival(ticket)))
}

fn refusals(effects: &[admission::Effect]) -> Vec<(u64, RefuseReason)> {
    let refusals = effects.iter().filter_map(|effect| match effect {
        admission::Effect::Refuse { ticket, reason, .. } => Some((*ticket, *reason)),
        _ => None,
    });
    refusals.collect()
}

#[test_case(OLD, RolloutStage::Canary, false; "old in canary")]
#[test_case(NEW, RolloutStage::Canary, false; "new in canary")]
#[test_case(OLD, RolloutStage::Ramp, false; "old in ramp")]
#[test_case(OLD, RolloutStage::Switched, true; "old once switched")]
#[test_case(NEW, RolloutStage::Switched, false; "new once switched")]
#[test_case(OLD, RolloutStage::Complete, true; "old once complete")]
#[test_case(NEW, RolloutStage::RolledBack, true; "new once rolled back")]
#[test_case(OLD, RolloutStage::RolledBack, false; "old once rolled back")]
fn gate_refuses_excluded_version(version: &str, stage: RolloutStage, refused: bool) {
    let mut bench = gate(version, Some(rollout(stage, CANARY_PPM)));
    let expected = match refused {
        true => vec![(1, RefuseReason::Out)],
        false => Vec::new(),
    };
    assert_eq!(refusals(&start(&mut bench, 1)), expected);
    let offered = admit(&mut bench, admission::Event::Offered(arrival(2)));
    assert_eq!(refusals(&offered).len(), expected.len());
}

/// Requests in progress end normally; those that wait are refused as not run at once.
#[test]
fn gate_empties_once_its_version_is_excluded() {
    let mut bench = gate(OLD, Some(rollout(RolloutStage::Ramp, 1_000_000)));
    // A request may wait as long as those before took.
    for ticket in 11..=20 {
        start(&mut bench, ticket);
        bench.pass(190);
        admit(
            &mut bench,
            admission::Event::Ended(ticket, Outcome::Whole(200)),
        );
    }
    for ticket in 1..=3 {
        assert_eq!(refusals(&start(&mut bench, ticket)), []);
    }
    bench.pass(10);
    assert_eq!(bench.node.admission.in_progress(), 3);
    let queued_at = bench.at_ms;
    let effects = {
        bench.rollout = Some(rollout(RolloutStage::Switched, 1_000_000));
        bench.config_version += 1;
        let mut effects = Vec::new();
        while refusals(&effects).is_empty() {
            effects = admissions(bench.pass(10));
            assert!(bench.at_ms < queued_at + 150, "it waited to the end");
        }
        effects
    };
    assert!(matches!(
        refusals(&effects)[..],
        [(3, RefuseReason::Out | RefuseReason::NoSlot)]
    ));
    bench.pass(1_000);
    let last = bench.heartbeats.last().unwrap();
    assert_eq!((last.config_version, last.in_progress), (2, 2));
    for ticket in 1..=2 {
        let ended = admission::Event::Ended(ticket, Outcome::Whole(200));
        assert_eq!(refusals(&admit(&mut bench, ended)), []);
    }
    bench.pass(1_000);
    assert_eq!(bench.heartbeats.last().unwrap().in_progress, 0);
}

/// Guards against a replaced upstream that counts as idle although it took another
/// request before it learned of the switch.
#[test]
fn heartbeat_with_switched_version_reports_every_request() {
    let mut bench = gate(OLD, Some(rollout(RolloutStage::Ramp, 1_000_000)));
    bench.rollout = Some(rollout(RolloutStage::Switched, 1_000_000));
    bench.config_version += 1;
    let mut ticket = 0;
    let mut running = 0;
    for _ in 0..200 {
        ticket += 1;
        let effects = start(&mut bench, ticket);
        let is_run = |e: &admission::Effect| matches!(e, admission::Effect::Run { ticket: t, .. } if *t == ticket);
        running += usize::from(effects.iter().any(is_run));
        bench.pass(10);
    }
    assert!(running > 0);
    let switched = bench.heartbeats.iter().filter(|h| h.config_version == 2);
    for heartbeat in switched {
        assert_eq!(heartbeat.in_progress as usize, running);
    }
}

#[test]
fn gate_isolates_suspected_requests_at_old_version() {
    let mut settings = settings("o1");
    settings.gate.isolate_suspects = true;
    let mut bench = Bench::with_settings(&UPSTREAMS, Some(canary()), settings);
    announce(&mut bench, OLD, "b0", 1);
    bench.pass(1_000);
    let mut isolated = 0;
    for n in 1..=20 {
        start(&mut bench, n);
        bench.pass(10);
        announce(&mut bench, OLD, &format!("b{n}"), n + 1);
        bench.pass(1_000);
        let again = Arrival {
            fingerprint: n,
            ..arrival(1_000 + n)
        };
        for effect in admit(&mut bench, admission::Event::Arrived(again)) {
            if let admission::Effect::Refuse {
                only_at: Some(only_at),
                ..
            } = effect
            {
                assert_eq!(bench.version_of(&only_at), OLD);
                isolated += 1;
            }
        }
    }
    assert!(isolated >= 10, "{isolated}");
}

#[test]
fn heartbeat_reports_evidence_during_rollout() {
    let mut bench = gate(NEW, Some(canary()));
    start(&mut bench, 1);
    bench.pass(100);
    let statement = ReadStatement::default();
    admit(&mut bench, admission::Event::ResponseStarted(1, statement));
    bench.pass(500);
    admit(&mut bench, admission::Event::Ended(1, Outcome::Whole(200)));
    start(&mut bench, 2);
    bench.pass(10);
    admit(&mut bench, admission::Event::Ended(2, Outcome::Whole(500)));
    bench.pass(1_000);
    let evidence = bench.heartbeats.last().unwrap().evidence.clone().unwrap();
    assert_eq!((evidence.rollout, evidence.version.as_str()), (7, NEW));
    let [route] = &evidence.routes[..] else {
        panic!("{evidence:?}");
    };
    assert_eq!(
        (route.route.as_str(), route.responses, route.failures),
        ("read", 2, 1)
    );
    assert_eq!(route.service_times[14..], [1]);
}

#[test_case(None; "no rollout")]
#[test_case(Some(RolloutStage::Complete); "complete")]
#[test_case(Some(RolloutStage::RolledBack); "rolled back")]
fn heartbeat_reports_no_evidence_without_unfinished_rollout(stage: Option<RolloutStage>) {
    let mut bench = gate(OLD, stage.map(|stage| rollout(stage, 0)));
    start(&mut bench, 1);
    bench.pass(10);
    admit(&mut bench, admission::Event::Ended(1, Outcome::Whole(200)));
    bench.pass(1_000);
    assert_eq!(bench.heartbeats.last().unwrap().evidence, None);
}

fn failures(bench: &mut Bench) -> (u32, u32) {
    bench.pass(1_000);
    let evidence = bench.heartbeats.last().unwrap().evidence.clone().unwrap();
    let routes = evidence.routes.iter();
    routes.fold((0, 0), |sum, r| (sum.0 + r.responses, sum.1 + r.failures))
}

/// Requests that were lost with a start of the upstream are failures.
#[test]
fn evidence_counts_requests_lost_at_restart() {
    let mut bench = gate(NEW, Some(canary()));
    start(&mut bench, 1);
    start(&mut bench, 2);
    bench.pass(10);
    announce(&mut bench, NEW, "b2", 2);
    assert_eq!(failures(&mut bench), (2, 2));
}

/// A request that its caller or its entry no longer needs says nothing about the
/// version, but one whose deadline is over does.
#[test_case(100, 0; "cancelled")]
#[test_case(4_970, 1; "cancelled at the deadline of the entry")]
#[test_case(5_200, 1; "the deadline passed at the gate")]
fn evidence_counts_cancelled_request_at_its_deadline(after_ms: u64, expected: u32) {
    let mut bench = gate(NEW, Some(canary()));
    start(&mut bench, 1);
    bench.pass(after_ms);
    admit(&mut bench, admission::Event::Cancelled(1));
    admit(&mut bench, admission::Event::Ended(1, Outcome::Broken));
    assert_eq!(failures(&mut bench), (expected, expected));
}

/// Guards against a broken version that counts as cold after each failure.
#[test]
fn evidence_counts_every_broken_response() {
    let mut bench = gate_with_cold_slots(NEW, Some(canary()), 1);
    for ticket in 1..=10 {
        start(&mut bench, ticket);
        bench.pass(10);
        admit(&mut bench, admission::Event::Ended(ticket, Outcome::Broken));
        bench.pass(10);
    }
    let (responses, failed) = failures(&mut bench);
    assert_eq!(responses, failed);
    assert!(failed >= 8, "{failed}");
}
