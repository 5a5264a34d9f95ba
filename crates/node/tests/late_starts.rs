//! Announcements of earlier starts of an upstream that arrive late, and later starts whose
//! numbers are lower because the time of day was set back.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod one_daemon;

use node::{Event, Node, admission};
use one_daemon::run;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::{test_case, test_matrix};
use wire::Announcement;

const TARGET: &str = "i-1";
/// Time of day at the boot of the VM, in Unix milliseconds.
const UNIX_MS: u64 = 1_800_000_000_000;
const SEEDS: u64 = 300;

/// How a start ends, as far as the daemon beside it hears of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Silent,
    Draining,
    Deregistered,
}

/// A start of an upstream.
#[derive(Clone, Copy, Debug)]
struct Start {
    target: &'static str,
    /// Time of day at the start.
    born_ms: u64,
    sequence: u64,
}

/// A daemon, and the clocks of its VM.
struct Gate {
    node: Node,
    now_ms: u64,
    unix_ms: u64,
}

impl Gate {
    fn new() -> Self {
        let mut settings = one_daemon::settings("booking-1");
        settings.gate.isolate_suspects = false;
        Self {
            node: one_daemon::node(settings),
            now_ms: 60_000,
            unix_ms: UNIX_MS + 60_000,
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        self.unix_ms += ms;
    }

    fn set_clock_back(&mut self, ms: u64) {
        self.unix_ms -= ms;
    }

    fn start(&self, target: &'static str) -> Start {
        Start {
            target,
            born_ms: self.unix_ms,
            sequence: 0,
        }
    }

    /// Announces a start; returns whether it counts.
    fn announce(&mut self, start: &mut Start, end: Option<End>) -> bool {
        start.sequence += 1;
        self.deliver(announcement(*start, end))
    }

    /// Delivers an announcement, with the age that its start has by the clock now.
    fn deliver(&mut self, announcement: Announcement) -> bool {
        let announcement = Announcement {
            age_ms: self.unix_ms.checked_sub(announcement.incarnation),
            ..announcement
        };
        let stated = (announcement.boot.clone(), announcement.sequence);
        let event = admission::Event::Announced(announcement);
        run(&mut self.node, self.now_ms, Event::Admission(event));
        let known = self.node.admission.announced();
        known.is_some_and(|a| (a.boot.clone(), a.sequence) == stated)
    }

    /// Returns whether the gate takes requests for the upstream that it knows.
    fn is_ready(&self) -> bool {
        let known = self.node.admission.announced();
        known.is_some_and(|a| !a.leaving)
    }
}

fn announcement(start: Start, end: Option<End>) -> Announcement {
    Announcement {
        service: "booking".into(),
        slots: 4,
        target: start.target.into(),
        boot: format!("{}/{}", start.target, start.born_ms),
        incarnation: start.born_ms,
        sequence: start.sequence,
        leaving: matches!(end, Some(End::Draining | End::Deregistered)),
        deregistered: end == Some(End::Deregistered),
        ..Announcement::default()
    }
}

/// Guards against an upstream that has left, or ended, and is used again after a late
/// announcement of its start before (issue 76, review/13).
#[test_matrix(
    [End::Silent, End::Draining, End::Deregistered],
    [true, false],
    [100, 4_900, 5_450, 30_000, 300_000]
)]
fn late_announcement_of_an_earlier_start_is_ignored(end: End, is_known: bool, late_ms: u64) {
    let mut gate = Gate::new();
    let mut first = gate.start(TARGET);
    if is_known {
        assert!(gate.announce(&mut first, None));
    }
    gate.pass(1_000);
    first.sequence += 1;
    let late = announcement(first, None);
    gate.pass(100);
    let mut second = gate.start(TARGET);
    assert!(gate.announce(&mut second, None));
    gate.pass(150);
    if end != End::Silent {
        gate.announce(&mut second, Some(end));
    }
    gate.pass(late_ms);
    assert!(!gate.deliver(late));
    assert_eq!(gate.is_ready(), end == End::Silent);
}

/// The time of day is set back between two starts of an upstream, so that the later one has
/// the lower number. It is used at once, also if the earlier one has left.
#[test_matrix(
    [End::Silent, End::Draining, End::Deregistered],
    [500, 60_000, 3_600_000]
)]
fn later_start_with_a_lower_number_is_accepted_at_once(end: End, back_ms: u64) {
    let mut gate = Gate::new();
    let mut first = gate.start(TARGET);
    assert!(gate.announce(&mut first, None));
    if end != End::Silent {
        gate.pass(10);
        gate.announce(&mut first, Some(end));
    }
    gate.pass(100);
    gate.set_clock_back(back_ms);
    let mut second = gate.start(TARGET);
    gate.pass(100);
    assert!(second.born_ms < first.born_ms);
    assert!(gate.announce(&mut second, None));
    assert!(gate.is_ready());
    // What comes late of the first one does not count although its number is higher.
    first.sequence += 10;
    gate.pass(50);
    let late = announcement(first, None);
    assert!(!gate.deliver(late));
}

/// Where upstreams don't state their ages, one that has left is not taken back for longer
/// than announcements are delayed.
#[test_case(59_999, false)]
#[test_case(60_000, true)]
fn lower_number_without_age_is_accepted_once_the_left_start_is_long_silent(ms: u64, counts: bool) {
    let mut gate = Gate::new();
    let mut first = gate.start(TARGET);
    let unstated = |start, end| Announcement {
        age_ms: None,
        ..announcement(start, end)
    };
    for end in [None, Some(End::Draining)] {
        first.sequence += 1;
        let event = admission::Event::Announced(unstated(first, end));
        run(&mut gate.node, gate.now_ms, Event::Admission(event));
    }
    gate.pass(ms);
    let lower = Start {
        born_ms: first.born_ms - 1,
        ..first
    };
    let event = admission::Event::Announced(unstated(lower, None));
    run(&mut gate.node, gate.now_ms, Event::Admission(event));
    assert_eq!(gate.is_ready(), counts);
}

/// Guards against an upstream that had the address before, and takes it back by a late
/// announcement once the one that has it leaves, which announces itself no more.
#[test_case(End::Draining)]
#[test_case(End::Deregistered)]
fn late_announcement_of_the_upstream_before_takes_no_address(end: End) {
    let mut gate = Gate::new();
    let mut first = gate.start(TARGET);
    assert!(gate.announce(&mut first, None));
    gate.pass(1_000);
    first.sequence += 1;
    let late = announcement(first, None);
    gate.pass(2_100);
    let mut second = gate.start("i-2");
    assert!(gate.announce(&mut second, None));
    gate.pass(200);
    gate.announce(&mut second, Some(end));
    gate.pass(5_450);
    assert!(!gate.deliver(late));
    assert!(!gate.is_ready());
}

/// Guards against the same in any order of starts, ends, clock steps and late announcements:
/// what counts last is the latest start, and one that has left stays out.
#[test]
fn start_shuffle_never_returns_to_an_earlier_start() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut gate = Gate::new();
        let mut current = gate.start(TARGET);
        gate.announce(&mut current, None);
        let mut has_left = false;
        let mut late: Vec<Announcement> = Vec::new();
        for step in 0..60 {
            gate.pass(rng.random_range(1..4_000));
            match rng.random_range(0..10) {
                0..3 if !has_left => {
                    let arrives = rng.random_ratio(2, 3);
                    current.sequence += 1;
                    match arrives {
                        true => assert!(gate.deliver(announcement(current, None))),
                        false => late.push(announcement(current, None)),
                    }
                }
                3 => {
                    if rng.random_ratio(1, 2) {
                        gate.set_clock_back(rng.random_range(1..7_200_000));
                    }
                    current = gate.start(TARGET);
                    has_left = false;
                    assert!(gate.announce(&mut current, None), "seed {seed} step {step}");
                }
                4 if !has_left => {
                    gate.announce(&mut current, Some(End::Deregistered));
                    has_left = true;
                }
                _ if !late.is_empty() => {
                    let n = rng.random_range(0..late.len());
                    gate.deliver(late.remove(n));
                }
                _ => {}
            }
            let known = gate.node.admission.announced().unwrap();
            let boot = format!("{TARGET}/{}", current.born_ms);
            assert_eq!(known.boot, boot, "seed {seed} step {step}");
            assert_eq!(known.leaving, has_left, "seed {seed} step {step}");
        }
    }
}
